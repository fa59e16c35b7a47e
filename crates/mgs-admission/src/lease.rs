//! Shares of a limit across gateways, without a vote.
//!
//! Each row of limits has a home among the live gateways, by rendezvous hashing. The home grants
//! the others shares of the limit, for a short time and by demand ([`Grantor`]). A gateway without
//! a valid share uses its part of the limit, limit ÷ live gateways ([`Tenure`]); the home keeps
//! that part free for each live gateway that holds no share.
//!
//! Bound of the overshoot, in rates, with n live gateways:
//!
//! - While all hold the same list of live gateways and reach the home, none.
//! - After the list has changed, or gateways have lost or found their home, for at most twice
//!   [`Options::valid_ms`]: one even part for each gateway that has come or lost its home, and at
//!   most twice the limit in all when the home has moved. After that none, though they stay parted.
//! - While lists differ: the limit for each list in use.
//!
//! Buckets save up two seconds of their rate beside that.

use std::collections::BTreeMap;

use mgs_schema::wire::LimitLease;
use mgs_schema::wire::LimitLeaseRequest;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Settings of leases.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How long a share holds, in milliseconds.
    pub valid_ms: u64,
    /// Share that is given, as a multiple of what is wanted, when there is enough.
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

/// The limits of a row.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limits {
    /// Requests per second; 0 for no limit.
    pub requests_per_s: f64,
    /// Tokens per second; 0 for no limit.
    pub tokens_per_s: f64,
    /// Requests in flight; 0 for no limit.
    pub concurrent_requests: u32,
}

impl Limits {
    /// A part of the limits; no limit stays none, and a limit never rounds to none.
    ///
    /// ```
    /// use mgs_admission::lease::Limits;
    ///
    /// let limits = Limits { requests_per_s: 10.0, concurrent_requests: 3, ..Limits::default() };
    /// let half = limits.part(0.5);
    /// assert_eq!((half.requests_per_s, half.concurrent_requests), (5.0, 1));
    /// ```
    pub fn part(&self, share: f64) -> Self {
        let concurrent = (f64::from(self.concurrent_requests) * share) as u32;
        let least = u32::from(self.concurrent_requests > 0);
        Self {
            requests_per_s: self.requests_per_s * share,
            tokens_per_s: self.tokens_per_s * share,
            concurrent_requests: concurrent.max(least),
        }
    }

    /// The largest share of any of the limits that a gateway wants.
    fn wanted_share(&self, request: &LimitLeaseRequest) -> f64 {
        let share = |wanted: f64, limit: f64| if limit > 0.0 { wanted / limit } else { 0.0 };
        let concurrent = f64::from(request.concurrent_requests);
        share(request.wanted_requests_per_s, self.requests_per_s)
            .max(share(request.wanted_tokens_per_s, self.tokens_per_s))
            .max(share(concurrent, f64::from(self.concurrent_requests)))
    }
}

/// The home of a row among the live gateways, given by their names.
///
/// ```
/// use mgs_admission::lease::home;
///
/// let all = ["gateway-1", "gateway-2", "gateway-3"];
/// let at = home("org-1", "chat", &all).unwrap();
/// let others: Vec<&str> = all.iter().copied().filter(|name| *name != at).collect();
/// assert_ne!(home("org-1", "chat", &others), Some(at));
/// ```
pub fn home<'a>(organisation: &str, kind: &str, gateways: &[&'a str]) -> Option<&'a str> {
    let seed = xxh3_64_with_seed(
        kind.as_bytes(),
        xxh3_64_with_seed(organisation.as_bytes(), 0),
    );
    let draw = |name: &&str| xxh3_64_with_seed(name.as_bytes(), seed);
    gateways.iter().copied().max_by_key(draw)
}

/// A share that was granted.
#[derive(Debug, Clone, Copy)]
struct Grant {
    share: f64,
    wanted: f64,
    until_ms: u64,
}

/// The home's side for one row.
#[derive(Debug, Clone)]
pub struct Grantor {
    options: Options,
    since_ms: u64,
    grants: BTreeMap<u64, Grant>,
}

impl Grantor {
    /// A gateway becomes the home of the row.
    pub fn new(now_ms: u64, options: Options) -> Self {
        Self {
            options,
            since_ms: now_ms,
            grants: BTreeMap::new(),
        }
    }

    /// Answers a gateway, whose incarnation is among those of the `live` gateways. The home asks
    /// itself in the same way.
    ///
    /// What is granted and what is kept free for gateways without a share is never more than the
    /// limit.
    ///
    /// ```
    /// use mgs_admission::lease::Grantor;
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
    /// let mut grantor = Grantor::new(0, Options::default());
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
        let asker = request.gateway_incarnation;
        self.grants.retain(|_, grant| grant.until_ms > now_ms);
        let wanted = limits.wanted_share(request);
        let even = 1.0 / live.len().max(1) as f64;
        let others = self.grants.iter().filter(|(gateway, _)| **gateway != asker);
        let held: f64 = others.clone().map(|(_, grant)| grant.share).sum();
        let wanted_by_all: f64 = wanted + others.map(|(_, grant)| grant.wanted).sum::<f64>();
        let without_share =
            |gateway: &&u64| **gateway != asker && !self.grants.contains_key(gateway);
        let kept = live.iter().filter(without_share).count() as f64 * even;
        let free = (1.0 - held - kept).max(0.0);
        let target = if wanted_by_all > 1.0 {
            wanted / wanted_by_all
        } else {
            (wanted * self.options.headroom_factor).max(even)
        };
        // Shares of the last home may still hold; until they have run out, even parts are given.
        let is_new = now_ms < self.since_ms + self.options.valid_ms;
        let most = if is_new { even } else { 1.0 };
        let share = target.min(free).min(most);
        let until_ms = now_ms + self.options.valid_ms;
        self.grants.insert(
            asker,
            Grant {
                share,
                wanted,
                until_ms,
            },
        );
        let part = limits.part(share);
        LimitLease {
            requests_per_s: part.requests_per_s,
            tokens_per_s: part.tokens_per_s,
            concurrent_requests: part.concurrent_requests,
            valid_ms: self.options.valid_ms,
        }
    }
}

/// A gateway's side for one row.
#[derive(Debug, Clone, Default)]
pub struct Tenure {
    lease: Option<Limits>,
    until_ms: u64,
}

impl Tenure {
    /// Takes an answer to a request that was sent at `asked_ms`; a share runs from then on, so that
    /// it ends here before it ends at the home.
    pub fn take(&mut self, asked_ms: u64, lease: &LimitLease) {
        self.lease = Some(Limits {
            requests_per_s: lease.requests_per_s,
            tokens_per_s: lease.tokens_per_s,
            concurrent_requests: lease.concurrent_requests,
        });
        self.until_ms = asked_ms + lease.valid_ms;
    }

    /// What this gateway may admit now: its share while that holds, then its even part.
    ///
    /// ```
    /// use mgs_admission::lease::Limits;
    /// use mgs_admission::lease::Tenure;
    ///
    /// let limits = Limits { requests_per_s: 9.0, ..Limits::default() };
    /// assert_eq!(Tenure::default().limits(0, &limits, 3).requests_per_s, 3.0);
    /// ```
    pub fn limits(&self, now_ms: u64, limits: &Limits, live_gateways: usize) -> Limits {
        match self.lease {
            Some(lease) if now_ms < self.until_ms => lease,
            _ => limits.part(1.0 / live_gateways.max(1) as f64),
        }
    }

    /// Whether it is time to ask the home again: at half of the share's time.
    pub fn is_due(&self, now_ms: u64, options: &Options) -> bool {
        self.lease.is_none() || now_ms + options.valid_ms / 2 >= self.until_ms
    }
}
