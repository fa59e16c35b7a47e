//! Limits of cold endpoints: how many requests this gateway may send to an endpoint that has just
//! started.
//!
//! A cold endpoint tolerates a number of requests per second from all gateways together, including
//! those that can't communicate. Counting alone doesn't bound the sum, since with equal shares each
//! of many gateways would get less than one request. So only gateways that hold a [`lease`] send,
//! and of these only those of the lowest ranks, each within its own quota. The quotas of any set of
//! gateways that send within one window sum to at most the limit:
//!
//! - The list of each sender contains all senders of the window, see [`lease`]. A sender's rank in
//!   its own list is therefore at least its rank among the senders.
//! - Each sender counts at least as many senders as there are, or the maximum, which is the same at
//!   all gateways; so at most that many have a rank that lets them send.
//! - A quota falls with the rank and with the number of senders, and the quotas of all ranks sum to
//!   the limit.
//!
//! All times are milliseconds of a clock that continues while the host is suspended.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::table::IncarnationHash;
use crate::warm_up::lease::GatewayList;

pub mod lease;

/// How long the signs of an endpoint that isn't listed are kept, in milliseconds: its entry may be
/// unreadable or lapse in an outage of the store and come back.
const SIGNS_KEPT_MS: f64 = 120_000.0;

/// Upper bound on the time for which an endpoint says that it stays cold, in milliseconds, so that
/// one that names days by mistake is used fully again.
pub const COLD_MAX_MS: f64 = 300_000.0;

/// Settings of the limits of cold endpoints. They must be the same at all gateways.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// How long a confirmation of the list of gateways entitles to send, in milliseconds. It covers
    /// two polls of the list, 6 s each, and a failed call.
    pub lease_ms: f64,
    /// By how much the entry of a gateway must be older than the lease, in milliseconds. Without
    /// it, a gateway with a list from the start of its lease and one that was registered just
    /// after could both send within one window. It must exceed the window.
    pub entry_margin_ms: f64,
    /// Time in which a gateway may use its quota once, in milliseconds. Requests that are sent
    /// within one second have permits from 1.4 s; the rest covers delays between the last check and
    /// the network.
    pub window_ms: f64,
    /// How long a permit is valid, in milliseconds.
    pub permit_ms: f64,
    /// Share of the limit that is used; the rest covers requests that are delayed on the way.
    pub usable_share: f64,
    /// Least mean quota by which the number of senders is bounded, in requests.
    pub quota_min: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease_ms: 15_000.0,
            entry_margin_ms: 2_000.0,
            window_ms: 1_500.0,
            permit_ms: 400.0,
            usable_share: 0.9,
            quota_min: 2.0,
        }
    }
}

/// The limit of the endpoints of a service while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests that may be sent and arrive within one second, from all gateways together.
    pub requests_per_s: f64,
    /// How long an endpoint is cold after its start, in milliseconds.
    pub start_ms: f64,
}

/// A listed endpoint with a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdEndpoint {
    /// Its incarnation.
    pub incarnation: IncarnationHash,
    /// Hash of its identifier without its start, by which gateways are ranked and requests counted.
    /// Gateways learn of a start at different times, and would otherwise use the ranks of two
    /// incarnations at once.
    pub identifier: u64,
    /// Its limit.
    pub limit: ColdLimit,
    /// Until when it is cold by what the store says, in milliseconds.
    pub cold_until_ms: f64,
}

/// The permission to send one request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Permit {
    /// When it expires, in milliseconds; `None` if the endpoint wasn't cold.
    expires_ms: Option<f64>,
}

/// What gateways observe of an endpoint beyond its entry in the store.
#[derive(Debug, Clone, Copy, Default)]
struct Signs {
    /// Until when it is cold, in milliseconds.
    cold_until_ms: f64,
    /// When it was last seen to have ended, if no request was sent to it since, in milliseconds.
    ended_ms: Option<f64>,
    /// When an endpoint that has ended isn't cold any more for a gateway that may not send to it
    /// while it is cold, in milliseconds: it was seen to listen long enough before.
    warm_from_ms: Option<f64>,
}

impl Signs {
    /// When the endpoint is no longer cold, in milliseconds; infinite if it may not have restarted
    /// yet. A gateway with a quota finds out when with its next request.
    fn cold_end_ms(&self, has_quota: bool) -> f64 {
        let restarted_ms = match (self.ended_ms, self.warm_from_ms) {
            (Some(_), Some(warm_from_ms)) if !has_quota => warm_from_ms,
            (Some(_), _) => f64::INFINITY,
            (None, _) => f64::NEG_INFINITY,
        };
        self.cold_until_ms.max(restarted_ms)
    }
}

/// Requests that `rank`, counted from 0, may send within a window, of `gateways` listed ones.
///
/// ```
/// use mgs_backpressure::warm_up::quota;
/// use mgs_backpressure::warm_up::Options;
///
/// let quotas = |gateways| (0..gateways).map(move |rank| {
///     quota(44.0, gateways, rank, &Options::default())
/// });
/// assert_eq!(quotas(4).collect::<Vec<_>>(), [10, 10, 10, 9]);
/// assert_eq!(quotas(300).sum::<usize>(), 39);
/// assert_eq!(quotas(300).filter(|quota| *quota > 0).count(), 19);
/// ```
pub fn quota(limit: f64, gateways: usize, rank: usize, options: &Options) -> usize {
    let usable = (options.usable_share * limit) as usize;
    let senders_max = ((options.usable_share * limit / options.quota_min) as usize).max(1);
    let senders = gateways.clamp(1, senders_max);
    match rank < senders {
        true => usable.saturating_sub(rank).div_ceil(senders),
        false => 0,
    }
}

/// The limits of cold endpoints at one gateway.
///
/// ```
/// use std::sync::Arc;
///
/// use mgs_backpressure::table::IncarnationHash;
/// use mgs_backpressure::warm_up::lease::GatewayList;
/// use mgs_backpressure::warm_up::ColdEndpoint;
/// use mgs_backpressure::warm_up::ColdLimit;
/// use mgs_backpressure::warm_up::Options;
/// use mgs_backpressure::warm_up::WarmUp;
///
/// let mut warm_up = WarmUp::new(Options::default());
/// let incarnation = IncarnationHash(7);
/// let limit = ColdLimit { requests_per_s: 5.0, start_ms: 3_000.0 };
/// let cold_until_ms = 23_000.0;
/// let endpoint = ColdEndpoint { incarnation, identifier: 7, limit, cold_until_ms };
/// warm_up.set_endpoints(vec![endpoint], 20_000.0);
/// assert!(warm_up.permit(incarnation, 20_000.0).is_err());
/// let mut list = GatewayList::new("gateway-1");
/// list.acknowledge_entry(0.0);
/// list.confirm(19_000.0, 19_000.0, true);
/// warm_up.set_gateways(Arc::new(list));
/// let sent = (0..10).filter(|_| warm_up.permit(incarnation, 20_000.0).is_ok());
/// assert_eq!(sent.count(), 4);
/// assert!(warm_up.permit(incarnation, 21_500.0).is_ok());
/// assert!(warm_up.permit(incarnation, 23_000.0).is_ok());
/// ```
#[derive(Debug, Default)]
pub struct WarmUp {
    options: Options,
    gateways: Arc<GatewayList>,
    endpoints: HashMap<IncarnationHash, ColdEndpoint>,
    signs: HashMap<IncarnationHash, Signs>,
    /// Times of the permits of the last window, by identifier.
    sent_ms: HashMap<u64, VecDeque<f64>>,
    /// Cached ranks, by identifier.
    ranks: RefCell<HashMap<u64, usize>>,
    /// When no endpoint is cold any more, in milliseconds.
    all_warm_from_ms: f64,
}

/// What a decision about a request to a cold endpoint is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Basis {
    /// How long the endpoint stays cold, in milliseconds; infinite if it may not have restarted
    /// yet.
    pub cold_for_ms: f64,
    /// Requests that this gateway may send within a window.
    pub quota: usize,
    /// Permits of the last window.
    pub sent: usize,
    /// Number of listed gateways.
    pub gateways: usize,
    /// Rank of this gateway among them at the endpoint.
    pub rank: usize,
    /// Time since the list was confirmed, in milliseconds; `None` if it never was.
    pub list_age_ms: Option<f64>,
    /// Time since this gateway's own entry was known to be in the store, in milliseconds; `None` if
    /// it may be missing.
    pub entry_age_ms: Option<f64>,
}

impl WarmUp {
    /// Creates a state without endpoints.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Replaces the endpoints with a limit.
    pub fn set_endpoints(&mut self, endpoints: Vec<ColdEndpoint>, now_ms: f64) {
        self.endpoints = endpoints.into_iter().map(|e| (e.incarnation, e)).collect();
        let is_listed = |incarnation: &IncarnationHash| self.endpoints.contains_key(incarnation);
        self.signs.retain(|incarnation, signs| {
            let last_ms = signs.ended_ms.unwrap_or(signs.cold_until_ms);
            is_listed(incarnation) || now_ms - last_ms < SIGNS_KEPT_MS
        });
        let window_ms = self.options.window_ms;
        self.sent_ms.retain(|_, sent_ms| {
            let last_ms = sent_ms.back().copied();
            last_ms.is_some_and(|last_ms| now_ms - last_ms < window_ms)
        });
        self.update_all_warm_from();
    }

    /// Replaces the list of gateways.
    pub fn set_gateways(&mut self, gateways: Arc<GatewayList>) {
        if Arc::ptr_eq(&gateways, &self.gateways) {
            return;
        }
        if gateways.gateways() != self.gateways.gateways() {
            self.ranks.get_mut().clear();
        }
        self.gateways = gateways;
    }

    /// Whether no endpoint has a limit.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Records that an endpoint says it stays cold for this time. Returns whether it wasn't cold.
    pub fn extend_cold(
        &mut self,
        incarnation: IncarnationHash,
        cold_for_ms: f64,
        now_ms: f64,
    ) -> bool {
        if !self.endpoints.contains_key(&incarnation) {
            return false;
        }
        let was_cold = self.is_cold(incarnation, now_ms);
        let until_ms = now_ms + cold_for_ms.min(COLD_MAX_MS);
        let signs = self.signs.entry(incarnation).or_default();
        signs.cold_until_ms = signs.cold_until_ms.max(until_ms);
        self.update_all_warm_from();
        !was_cold && cold_for_ms > 0.0
    }

    /// Records that the process of an endpoint has ended or refuses connections. It may start again
    /// under its identifier. Returns whether that is news about an endpoint with a limit.
    pub fn record_end(&mut self, incarnation: IncarnationHash, now_ms: f64) -> bool {
        if !self.endpoints.contains_key(&incarnation) {
            return false;
        }
        let signs = self.signs.entry(incarnation).or_default();
        let is_new = signs.ended_ms.is_none() || signs.warm_from_ms.is_some();
        signs.ended_ms = Some(now_ms);
        signs.warm_from_ms = None;
        self.update_all_warm_from();
        is_new
    }

    /// Endpoints that were seen to have ended and not yet to listen again.
    pub fn ended_endpoints(&self) -> Vec<IncarnationHash> {
        let is_ended = |incarnation: &&IncarnationHash| {
            let signs = self.signs.get(incarnation);
            signs.is_some_and(|signs| signs.ended_ms.is_some() && signs.warm_from_ms.is_none())
        };
        self.endpoints.keys().filter(is_ended).copied().collect()
    }

    /// Records that an endpoint that had ended accepts connections: it has started by now.
    pub fn record_listening(&mut self, incarnation: IncarnationHash, now_ms: f64) {
        let Some(endpoint) = self.endpoints.get(&incarnation) else {
            return;
        };
        if let Some(signs) = self.signs.get_mut(&incarnation) {
            signs.warm_from_ms = Some(now_ms + endpoint.limit.start_ms);
        }
        self.update_all_warm_from();
    }

    /// Whether an endpoint is cold and has a limit.
    pub fn is_cold(&self, incarnation: IncarnationHash, now_ms: f64) -> bool {
        now_ms < self.cold_end_ms(incarnation, now_ms)
    }

    /// When an endpoint is no longer cold, in milliseconds.
    fn cold_end_ms(&self, incarnation: IncarnationHash, now_ms: f64) -> f64 {
        let Some(endpoint) = self.endpoints.get(&incarnation) else {
            return f64::NEG_INFINITY;
        };
        let Some(signs) = self.signs.get(&incarnation) else {
            return endpoint.cold_until_ms;
        };
        let has_quota = signs.warm_from_ms.is_some() && self.quota(endpoint, now_ms) > 0;
        endpoint.cold_until_ms.max(signs.cold_end_ms(has_quota))
    }

    fn update_all_warm_from(&mut self) {
        let entries_ms = self.endpoints.values().map(|e| e.cold_until_ms);
        let signs_ms = self.signs.values().map(|signs| signs.cold_end_ms(true));
        let ends_ms = entries_ms.chain(signs_ms);
        self.all_warm_from_ms = ends_ms.fold(f64::NEG_INFINITY, f64::max);
    }

    /// The cold endpoints.
    pub fn cold_endpoints(&self, now_ms: f64) -> Vec<IncarnationHash> {
        if now_ms >= self.all_warm_from_ms {
            return Vec::new();
        }
        let incarnations = self.endpoints.keys().copied();
        incarnations.filter(|i| self.is_cold(*i, now_ms)).collect()
    }

    /// Time until a request may be sent to an endpoint by this or another gateway, in milliseconds;
    /// 0 if this one may send now.
    pub fn blocked_for_ms(&mut self, incarnation: IncarnationHash, now_ms: f64) -> f64 {
        let endpoint = self.endpoints.get(&incarnation).copied();
        let is_cold = self.is_cold(incarnation, now_ms);
        let Some(endpoint) = endpoint.filter(|_| is_cold) else {
            return 0.0;
        };
        let quota = self.quota(&endpoint, now_ms);
        let window_ms = self.options.window_ms;
        let sent_ms = self.sent_ms.entry(endpoint.identifier).or_default();
        while sent_ms.front().is_some_and(|at| now_ms - at >= window_ms) {
            sent_ms.pop_front();
        }
        if sent_ms.len() < quota {
            return 0.0;
        }
        // The request that must leave the window before another one may be sent.
        let oldest_ms = (quota > 0).then(|| sent_ms[sent_ms.len() - quota]);
        oldest_ms.map_or(window_ms, |at| at + window_ms - now_ms)
    }

    /// Counts a request that is to be sent now. Returns for how many milliseconds the endpoint is
    /// blocked if the request may not be sent.
    pub fn permit(&mut self, incarnation: IncarnationHash, now_ms: f64) -> Result<Permit, f64> {
        let blocked_for_ms = self.blocked_for_ms(incarnation, now_ms);
        if blocked_for_ms > 0.0 {
            return Err(blocked_for_ms);
        }
        if !self.is_cold(incarnation, now_ms) {
            return Ok(Permit::default());
        }
        if let Some(endpoint) = self.endpoints.get(&incarnation) {
            let sent_ms = self.sent_ms.entry(endpoint.identifier).or_default();
            sent_ms.push_back(now_ms);
        }
        Ok(Permit {
            expires_ms: Some(now_ms + self.options.permit_ms),
        })
    }

    /// Whether the request of a permit may still be sent, right before it is: a permit for a cold
    /// endpoint expires, and one for a warm endpoint ends when the endpoint becomes cold.
    pub fn confirm_send(
        &mut self,
        incarnation: IncarnationHash,
        permit: Permit,
        now_ms: f64,
    ) -> bool {
        let may_send = match permit.expires_ms {
            Some(expires_ms) => now_ms < expires_ms,
            None => !self.is_cold(incarnation, now_ms),
        };
        if may_send {
            self.note_first_request(incarnation, now_ms);
        }
        may_send
    }

    /// Starts the warm-up of an endpoint that may have restarted, with the first request to it.
    fn note_first_request(&mut self, incarnation: IncarnationHash, now_ms: f64) {
        let Some(endpoint) = self.endpoints.get(&incarnation) else {
            return;
        };
        let was_cold = self.is_cold(incarnation, now_ms);
        let Some(signs) = self.signs.get_mut(&incarnation) else {
            return;
        };
        if signs.ended_ms.take().is_some() && was_cold {
            let until_ms = now_ms + endpoint.limit.start_ms;
            signs.cold_until_ms = signs.cold_until_ms.max(until_ms);
        }
        signs.warm_from_ms = None;
        self.update_all_warm_from();
    }

    /// What a decision about a cold endpoint is based on; `None` if it isn't cold.
    pub fn basis(&self, incarnation: IncarnationHash, now_ms: f64) -> Option<Basis> {
        let endpoint = self.endpoints.get(&incarnation).copied();
        let is_cold = self.is_cold(incarnation, now_ms);
        let endpoint = endpoint.filter(|_| is_cold)?;
        let quota = self.quota(&endpoint, now_ms);
        let sent_ms = self.sent_ms.get(&endpoint.identifier);
        let gateways = &self.gateways;
        let age_ms = |at_ms: f64| now_ms - at_ms;
        Some(Basis {
            cold_for_ms: self.cold_end_ms(incarnation, now_ms) - now_ms,
            quota,
            sent: sent_ms.map_or(0, VecDeque::len),
            gateways: gateways.gateways(),
            rank: self.rank(endpoint.identifier),
            list_age_ms: gateways.confirmed_ms().map(age_ms),
            entry_age_ms: gateways.entry_since_ms().map(age_ms),
        })
    }

    /// Requests that this gateway may send to an endpoint within a window.
    fn quota(&self, endpoint: &ColdEndpoint, now_ms: f64) -> usize {
        if !self.gateways.may_send(now_ms, &self.options) {
            return 0;
        }
        quota(
            endpoint.limit.requests_per_s,
            self.gateways.gateways(),
            self.rank(endpoint.identifier),
            &self.options,
        )
    }

    /// The rank of this gateway at an endpoint.
    fn rank(&self, identifier: u64) -> usize {
        let mut ranks = self.ranks.borrow_mut();
        let rank = ranks.entry(identifier);
        *rank.or_insert_with(|| self.gateways.rank(identifier))
    }
}
