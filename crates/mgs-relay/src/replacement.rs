//! Decides which of the endpoints listed at one address has replaced the others.
//!
//! A decision over the rows as they are listed now: it removes nothing, so a replaced endpoint is
//! used again as soon as the row that replaces it is removed, changes or can't be used any more.

use std::collections::HashSet;
use std::net::SocketAddr;

use crate::source::Revision;

/// What one row says of the endpoint at its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim<'a> {
    /// Key of the row.
    pub id: &'a str,
    /// The address.
    pub address: SocketAddr,
    /// When the endpoint started, in Unix milliseconds, if it reports it.
    pub born_ms: Option<u64>,
    /// Revision at which the row was written.
    pub written: Revision,
    /// Whether the store lists the row. One that isn't listed may have expired in an outage.
    pub is_listed: bool,
    /// Whether it can replace others: its service is named by the configuration in force.
    pub can_replace: bool,
}

/// Identifiers of the endpoints that another one at their address has replaced.
///
/// If both report when they started, the later start replaces the earlier one; if neither does, the
/// row written later replaces the other. If only one of them does, both are used: a request names
/// the incarnation that it is meant for, and the other one refuses it without running it. An
/// endpoint whose row isn't listed replaces none whose row is.
///
/// ```
/// use mgs_relay::replacement::replaced;
/// use mgs_relay::replacement::Claim;
/// use mgs_relay::source::Revision;
///
/// let claim = |id, born_ms, can_replace| Claim {
///     id,
///     address: ([10, 0, 0, 1], 8080).into(),
///     born_ms: Some(born_ms),
///     written: Revision::default(),
///     is_listed: true,
///     can_replace,
/// };
/// let rows = vec![claim("i-1", 10, true), claim("i-2", 20, true)];
/// assert!(replaced(rows).contains("i-1"));
/// let of_unnamed_service = vec![claim("i-1", 10, true), claim("i-2", 20, false)];
/// assert!(replaced(of_unnamed_service).is_empty());
/// ```
pub fn replaced(mut claims: Vec<Claim<'_>>) -> HashSet<&str> {
    claims.sort_unstable_by_key(|claim| claim.address);
    let at_one_address = claims.chunk_by(|one, other| one.address == other.address);
    let mut replaced = HashSet::new();
    for claims in at_one_address.filter(|claims| claims.len() > 1) {
        let latest = Latest::of(claims);
        let ids = claims.iter().filter(|claim| latest.replaces(claim));
        replaced.extend(ids.map(|claim| claim.id));
    }
    replaced
}

/// The latest of the rows at one address that can replace others.
#[derive(Debug, Default)]
struct Latest {
    listed: LatestRows,
    any: LatestRows,
}

/// The latest start, and the latest write of those that don't report their start.
#[derive(Debug, Default)]
struct LatestRows {
    born_ms: Option<u64>,
    written: Option<Revision>,
}

impl Latest {
    fn of(claims: &[Claim<'_>]) -> Self {
        let mut latest = Self::default();
        for claim in claims.iter().filter(|claim| claim.can_replace) {
            latest.any.add(claim);
            if claim.is_listed {
                latest.listed.add(claim);
            }
        }
        latest
    }

    fn replaces(&self, claim: &Claim<'_>) -> bool {
        match claim.is_listed {
            true => self.listed.replaces(claim),
            false => self.any.replaces(claim),
        }
    }
}

impl LatestRows {
    fn add(&mut self, claim: &Claim<'_>) {
        match claim.born_ms {
            Some(_) => self.born_ms = self.born_ms.max(claim.born_ms),
            None => self.written = self.written.max(Some(claim.written)),
        }
    }

    fn replaces(&self, claim: &Claim<'_>) -> bool {
        match claim.born_ms {
            Some(_) => self.born_ms > claim.born_ms,
            None => self.written > Some(claim.written),
        }
    }
}
