//! Leases that divide a limit among gateways without a consensus protocol.
//!
//! Rendezvous hashing assigns each row of limits a home gateway among the live gateways. The home
//! gateway grants short leases on shares of the limit, by demand ([`LeaseGrantor`]). A gateway
//! without a valid lease uses an even share, limit ÷ live gateways ([`LeaseHolder`]); the home
//! gateway reserves that share for each live gateway without a lease.
//!
//! Bounds of the overshoot of the rates, with n live gateways:
//!
//! - No overshoot while all gateways have the same list of live gateways and reach the home
//!   gateway.
//! - For at most twice [`Options::valid_ms`] after the list has changed, or after gateways have
//!   lost or regained the connection to the home gateway: one even share for each gateway that
//!   joined or lost the connection, and at most twice the limit in total when the home gateway has
//!   changed. After that time no overshoot, even if the partition persists.
//! - While lists differ: the full limit for each distinct list.
//!
//! In addition, each token bucket may hold a burst of two seconds at its rate.

use std::collections::BTreeMap;

use mgs_schema::wire::LimitLease;
use mgs_schema::wire::LimitLeaseRequest;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Settings of leases.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Duration of a lease, in milliseconds.
    pub valid_ms: u64,
    /// Granted share as a multiple of the demand, while the demands of all gateways fit the limit.
    pub headroom_factor: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            valid_ms: 2_000,
            headroom_factor: 1.5,
        }
    }
}

/// Limits of a row, or the share of them that one gateway may use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limits {
    /// Requests per second; 0 for no limit.
    pub requests_per_s: f64,
    /// Tokens per second; 0 for no limit.
    pub tokens_per_s: f64,
    /// Maximum number of requests in flight; 0 for no limit.
    pub concurrent_requests: u32,
}

impl Limits {
    /// Scales the limits by `share`. An absent limit stays absent, and a concurrency limit stays at
    /// least 1, since 0 would remove it.
    ///
    /// ```
    /// use mgs_admission::lease::Limits;
    ///
    /// let limits = Limits { requests_per_s: 10.0, concurrent_requests: 3, ..Limits::default() };
    /// let half = limits.scaled(0.5);
    /// assert_eq!((half.requests_per_s, half.concurrent_requests), (5.0, 1));
    /// ```
    pub fn scaled(&self, share: f64) -> Self {
        let concurrent = (f64::from(self.concurrent_requests) * share) as u32;
        let concurrent_min = u32::from(self.concurrent_requests > 0);
        Self {
            requests_per_s: self.requests_per_s * share,
            tokens_per_s: self.tokens_per_s * share,
            concurrent_requests: concurrent.max(concurrent_min),
        }
    }

    /// The largest share of any one limit that a gateway requests.
    fn wanted_share(&self, request: &LimitLeaseRequest) -> f64 {
        let share = |wanted: f64, limit: f64| if limit > 0.0 { wanted / limit } else { 0.0 };
        let concurrent = f64::from(request.concurrent_requests);
        share(request.wanted_requests_per_s, self.requests_per_s)
            .max(share(request.wanted_tokens_per_s, self.tokens_per_s))
            .max(share(concurrent, f64::from(self.concurrent_requests)))
    }
}

/// Selects the home gateway of a row among the names of the live gateways; `None` if there are
/// none.
///
/// ```
/// use mgs_admission::lease::home_gateway;
///
/// let all = ["gateway-1", "gateway-2", "gateway-3"];
/// let at = home_gateway("org-1", "chat", &all).unwrap();
/// let others: Vec<&str> = all.iter().copied().filter(|name| *name != at).collect();
/// assert_ne!(home_gateway("org-1", "chat", &others), Some(at));
/// ```
pub fn home_gateway<'a>(organisation: &str, kind: &str, gateways: &[&'a str]) -> Option<&'a str> {
    let seed = xxh3_64_with_seed(
        kind.as_bytes(),
        xxh3_64_with_seed(organisation.as_bytes(), 0),
    );
    let score = |name: &&str| xxh3_64_with_seed(name.as_bytes(), seed);
    gateways.iter().copied().max_by_key(score)
}

/// A granted share and the demand that it answers.
#[derive(Debug, Clone, Copy)]
struct Grant {
    share: f64,
    wanted: f64,
    expires_ms: u64,
}

/// Leases of one row, kept by its home gateway.
#[derive(Debug, Clone)]
pub struct LeaseGrantor {
    options: Options,
    home_since_ms: u64,
    grants: BTreeMap<u64, Grant>,
}

impl LeaseGrantor {
    /// Creates the state when a gateway becomes the home gateway of the row.
    pub fn new(now_ms: u64, options: Options) -> Self {
        Self {
            options,
            home_since_ms: now_ms,
            grants: BTreeMap::new(),
        }
    }

    /// Grants a lease to the requesting gateway; `live` holds the incarnations of the live
    /// gateways, including this one. The home gateway requests its own lease in the same way.
    ///
    /// The granted shares and those reserved for gateways without a lease never exceed the limit.
    ///
    /// ```
    /// use mgs_admission::lease::LeaseGrantor;
    /// use mgs_admission::lease::Limits;
    /// use mgs_admission::lease::Options;
    /// use mgs_schema::wire::LimitLeaseRequest;
    ///
    /// let limits = Limits { requests_per_s: 10.0, ..Limits::default() };
    /// let request = LimitLeaseRequest {
    ///     gateway_incarnation: 1,
    ///     wanted_requests_per_s: 10.0,
    ///     ..LimitLeaseRequest::default()
    /// };
    /// let mut grantor = LeaseGrantor::new(0, Options::default());
    /// let lease = grantor.grant(0, &limits, &[1, 2], &request);
    /// assert_eq!(lease.requests_per_s, 5.0);
    /// ```
    pub fn grant(
        &mut self,
        now_ms: u64,
        limits: &Limits,
        live: &[u64],
        request: &LimitLeaseRequest,
    ) -> LimitLease {
        let requester = request.gateway_incarnation;
        self.grants.retain(|_, grant| grant.expires_ms > now_ms);
        let wanted = limits.wanted_share(request);
        let even_share = 1.0 / live.len().max(1) as f64;
        let others = self
            .grants
            .iter()
            .filter(|(gateway, _)| **gateway != requester);
        let granted_share: f64 = others.clone().map(|(_, grant)| grant.share).sum();
        let wanted_by_all: f64 = wanted + others.map(|(_, grant)| grant.wanted).sum::<f64>();
        let without_share =
            |gateway: &&u64| **gateway != requester && !self.grants.contains_key(gateway);
        let reserved_share = live.iter().filter(without_share).count() as f64 * even_share;
        let available_share = (1.0 - granted_share - reserved_share).max(0.0);
        let target = if wanted_by_all > 1.0 {
            wanted / wanted_by_all
        } else {
            (wanted * self.options.headroom_factor).max(even_share)
        };
        // Leases of the previous home gateway may still be valid; until they have expired, at most
        // the even share is granted.
        let is_new_home = now_ms < self.home_since_ms + self.options.valid_ms;
        let share_max = if is_new_home { even_share } else { 1.0 };
        let share = target.min(available_share).min(share_max);
        let expires_ms = now_ms + self.options.valid_ms;
        self.grants.insert(
            requester,
            Grant {
                share,
                wanted,
                expires_ms,
            },
        );
        let granted_limits = limits.scaled(share);
        LimitLease {
            requests_per_s: granted_limits.requests_per_s,
            tokens_per_s: granted_limits.tokens_per_s,
            concurrent_requests: granted_limits.concurrent_requests,
            valid_ms: self.options.valid_ms,
        }
    }
}

/// Lease of one row, kept by the gateway that uses it.
#[derive(Debug, Clone, Default)]
pub struct LeaseHolder {
    lease: Option<Limits>,
    expires_ms: u64,
}

impl LeaseHolder {
    /// Stores a lease that was requested at `requested_ms`. Its duration counts from then on, so
    /// that it expires here no later than at the home gateway.
    pub fn accept(&mut self, requested_ms: u64, lease: &LimitLease) {
        self.lease = Some(Limits {
            requests_per_s: lease.requests_per_s,
            tokens_per_s: lease.tokens_per_s,
            concurrent_requests: lease.concurrent_requests,
        });
        self.expires_ms = requested_ms + lease.valid_ms;
    }

    /// The limits that this gateway may use now: its lease while that is valid, otherwise the even
    /// share.
    ///
    /// ```
    /// use mgs_admission::lease::Limits;
    /// use mgs_admission::lease::LeaseHolder;
    ///
    /// let limits = Limits { requests_per_s: 9.0, ..Limits::default() };
    /// assert_eq!(LeaseHolder::default().effective_limits(0, &limits, 3).requests_per_s, 3.0);
    /// ```
    pub fn effective_limits(&self, now_ms: u64, limits: &Limits, live_gateways: usize) -> Limits {
        match self.lease {
            Some(lease) if now_ms < self.expires_ms => lease,
            _ => limits.scaled(1.0 / live_gateways.max(1) as f64),
        }
    }

    /// Whether to renew the lease, which is due after half of its duration.
    pub fn is_renewal_due(&self, now_ms: u64, options: &Options) -> bool {
        self.lease.is_none() || now_ms + options.valid_ms / 2 >= self.expires_ms
    }
}
