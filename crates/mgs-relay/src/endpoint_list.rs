//! The list of endpoints as gateways hand it to each other, and which of two lists is newer.
//!
//! Both come from the store, whose revisions rise with each change within an era, so the one read
//! at the greater revision is newer, whoever read it and whenever it arrives.

use std::iter::repeat;

use serde::Deserialize;
use serde::Serialize;

use crate::source::EndpointFacts;
use crate::source::EndpointRow;
use crate::source::Revision;

/// Maximum number of rows of unused endpoints in a message, so that a writer of many rows can't
/// delay a peer that needs the others.
const UNUSED_MAX: usize = 1_000;

/// A list of endpoints, as of one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointList {
    /// Revision at which it was read; `None` from a gateway of an earlier release.
    pub revision: Option<Revision>,
    /// Endpoints that are listed and used.
    pub listed: Vec<EndpointRow>,
    /// Endpoints that aren't listed any more, but are still used since their entry may have expired
    /// in an outage.
    pub expiring: Vec<EndpointRow>,
    /// Listed rows of endpoints that aren't used, since another one has replaced them or the
    /// configuration doesn't name their service. The receiver may know another configuration, and
    /// the row of the other one may be removed.
    pub unused: Vec<EndpointRow>,
    /// Identifiers of endpoints whose rows say that they are ready, although they were seen to shut
    /// down, as their facts here say.
    pub ready_again: Vec<String>,
    /// Whether further rows are listed, so that a receiver must read the store in full.
    pub lacks_rows: bool,
    /// When the endpoints in `expiring` are used no longer, in milliseconds.
    pub expiring_until_ms: u64,
}

/// What a snapshot tells of its endpoints besides their facts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListOrigin {
    revision: Option<Revision>,
    /// Identifiers of the endpoints that aren't listed any more.
    expiring: Vec<String>,
    /// For how long these are still used, in milliseconds.
    expiring_for_ms: u64,
}

impl ListOrigin {
    /// Revision at which the list was read, if it is known.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.revision
    }
}

/// What a snapshot tells of the rows besides, which earlier releases neither send nor read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RowDetails {
    /// Revision at which the row of each endpoint was written, in the order of the endpoints.
    written: Vec<Revision>,
    /// Rows of endpoints that aren't used. Earlier releases would let these replace others.
    unused: Vec<EndpointRow>,
    /// Identifiers of endpoints whose rows say that they are ready, although they were seen to shut
    /// down.
    ready_again: Vec<String>,
    /// Whether further rows are listed, so that a receiver must read the store in full.
    lacks_rows: bool,
}

impl EndpointList {
    /// The facts of all used endpoints, and what a peer needs to know besides.
    pub(crate) fn to_message(&self, now_ms: u64) -> (Vec<EndpointFacts>, ListOrigin, RowDetails) {
        let expiring_id = |row: &EndpointRow| row.facts.incarnation.id.clone();
        let origin = ListOrigin {
            revision: self.revision,
            expiring: self.expiring.iter().map(expiring_id).collect(),
            expiring_for_ms: self.expiring_until_ms.saturating_sub(now_ms),
        };
        let used = || self.listed.iter().chain(&self.expiring);
        let details = RowDetails {
            written: used().map(|row| row.written).collect(),
            unused: self.unused.iter().take(UNUSED_MAX).cloned().collect(),
            ready_again: self.ready_again.clone(),
            lacks_rows: self.lacks_rows || self.unused.len() > UNUSED_MAX,
        };
        let facts = used().map(|row| row.facts.clone()).collect();
        (facts, origin, details)
    }

    /// The list that a peer's message carries.
    pub(crate) fn from_message(
        endpoints: Vec<EndpointFacts>,
        origin: &ListOrigin,
        details: RowDetails,
        now_ms: u64,
    ) -> Self {
        let is_expiring = |row: &EndpointRow| origin.expiring.contains(&row.facts.incarnation.id);
        let written = details
            .written
            .into_iter()
            .chain(repeat(Revision::default()));
        let rows = endpoints.into_iter().zip(written);
        let rows = rows.map(|(facts, written)| EndpointRow { facts, written });
        let (expiring, listed) = rows.partition(is_expiring);
        Self {
            revision: origin.revision,
            listed,
            expiring,
            unused: details.unused,
            ready_again: details.ready_again,
            lacks_rows: details.lacks_rows,
            expiring_until_ms: now_ms + origin.expiring_for_ms,
        }
    }
}
