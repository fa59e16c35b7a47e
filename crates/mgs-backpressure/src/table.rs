//! The backpressure state of all endpoints at one gateway, and whether a request may be sent to one
//! of them now.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::advice::Advice;
use crate::advice::Field;
use crate::limit::Limit;
use crate::limit::SharingContext;
use crate::options::Options;
use crate::peer_update::LimitUpdate;
use crate::peer_update::PeerUpdate;
use crate::share::Gateways;
use crate::share::SharedClock;
use crate::warm_up::Permit;
use crate::warm_up::WarmUp;

/// Most endpoints in one message to peers; the others follow in the next message. The message must
/// also have room for the placements of the gateway.
const UPDATES_PER_MESSAGE_MAX: usize = 12;

/// One incarnation of an endpoint, by a hash that is the same at all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationHash(pub u64);

/// A change of an endpoint's state that a response brings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdviceChange {
    /// The endpoint announces a limit, or changes it, in requests per second.
    Limited(f64),
    /// The endpoint removes its limit.
    Unlimited,
    /// The endpoint is shutting down.
    Leaving,
    /// The endpoint asks this gateway to back off for this time, in milliseconds.
    BackoffRequested(f64),
    /// The first malformed limit from the endpoint.
    InvalidLimit,
    /// The first malformed announcement of a shutdown from the endpoint.
    InvalidLeaving,
    /// The first malformed backoff from the endpoint.
    InvalidBackoff,
    /// The endpoint is cold for this time, in milliseconds, and wasn't known to be.
    Cold(f64),
    /// The first malformed time for which the endpoint is cold.
    InvalidCold,
}

impl AdviceChange {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Limited(_) => "limited",
            Self::Unlimited => "unlimited",
            Self::Leaving => "leaves",
            Self::BackoffRequested(_) => "wants_rest",
            Self::InvalidLimit => "unusable_limit",
            Self::InvalidLeaving => "unusable_leaving",
            Self::InvalidBackoff => "unusable_rest",
            Self::Cold(_) => "cold",
            Self::InvalidCold => "unusable_cold",
        }
    }
}

/// Why no request may be sent to an endpoint now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockReason {
    /// The endpoint is shutting down.
    Leaving,
    /// The endpoint refused a request of this gateway and asked it to back off.
    Backoff,
    /// The limit shared by all gateways is used up, or other gateways are its holders now.
    Limit,
    /// The operators have ordered the endpoint's availability zone to be evacuated.
    Evacuated,
    /// The endpoint is cold, and this gateway has used up its part of the limit or has none.
    WarmUp,
}

impl BlockReason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Backoff => "rest",
            Self::Limit => "limit",
            Self::Evacuated => "evacuated",
            Self::WarmUp => "warm_up",
        }
    }

    /// Whether this also excludes the endpoint as a helper that prefills a part of another
    /// endpoint's prompt. Limits, also those of cold endpoints, only restrict the endpoint's own
    /// requests.
    pub fn blocks_helpers(self) -> bool {
        !matches!(self, Self::Limit | Self::WarmUp)
    }
}

/// No request may be sent to an endpoint now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Blocked {
    /// Why.
    pub reason: BlockReason,
    /// Time until a request may be sent, by this or another gateway, in milliseconds; infinite if
    /// the endpoint is shutting down or its zone is evacuated.
    pub blocked_for_ms: f64,
}

/// The time of a check, on two clocks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CheckTime {
    /// The process's monotonic clock, in milliseconds.
    pub now_ms: f64,
    /// A clock that continues while the host is suspended, in milliseconds.
    pub boot_ms: f64,
}

impl From<f64> for CheckTime {
    /// The same reading on both clocks.
    fn from(now_ms: f64) -> Self {
        Self {
            now_ms,
            boot_ms: now_ms,
        }
    }
}

/// A request may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Permission {
    /// Whether peers should be told.
    pub is_news: bool,
    /// The permission as to a cold endpoint, to be confirmed right before the request is sent.
    pub warm_up: Permit,
}

/// The state of one incarnation.
#[derive(Debug, Clone, Default)]
struct IncarnationState {
    limit: Limit,
    /// Whether the endpoint announced its shutdown, to this gateway or to a peer. It is never
    /// reset.
    is_leaving: bool,
    /// Whether it announced that to this gateway, which then tells its peers.
    is_leaving_first_hand: bool,
    /// End of the backoff that it asked this gateway for, in milliseconds.
    backoff_until_ms: f64,
    /// When the state was last sent to peers, in milliseconds; `None` if it has changed since.
    sent_to_peers_ms: Option<f64>,
    /// Malformed fields that were already reported.
    reported_invalid: Vec<AdviceChange>,
    /// When a response or a peer last brought backpressure for it, in milliseconds.
    last_advice_ms: f64,
}

/// The backpressure state of all endpoints at one gateway.
///
/// ```
/// use mgs_backpressure::advice::Advice;
/// use mgs_backpressure::advice::Field;
/// use mgs_backpressure::options::Options;
/// use mgs_backpressure::share::Gateways;
/// use mgs_backpressure::table::Backpressure;
/// use mgs_backpressure::table::IncarnationHash;
///
/// let mut table = Backpressure::new(Options::default());
/// table.set_gateways(Gateways { count: Some(1), ..Gateways::default() });
/// let limit = Advice { limit_per_s: Field::Value(1.0), ..Advice::default() };
/// table.apply_advice(IncarnationHash(7), limit, 0.0, 20.0);
/// assert!(table.permit(IncarnationHash(7), 30.0).is_ok());
/// assert!(table.permit(IncarnationHash(7), 40.0).is_err());
/// assert!(table.permit(IncarnationHash(7), 1_100.0).is_ok());
/// // A response without a limit, to a request that was sent later.
/// let none = Advice { limit_per_s: Field::Absent, ..Advice::default() };
/// table.apply_advice(IncarnationHash(7), none, 1_100.0, 1_120.0);
/// assert!(table.permit(IncarnationHash(7), 1_130.0).is_ok());
/// ```
#[derive(Debug, Default)]
pub struct Backpressure {
    options: Options,
    states: HashMap<IncarnationHash, IncarnationState>,
    gateways: Gateways,
    /// Changes whenever cached allocations become invalid: with the gateways and with steps of the
    /// shared clock.
    allocation_version: u64,
    clock: SharedClock,
    warm_up: WarmUp,
}

impl Backpressure {
    /// Creates an empty state.
    pub fn new(options: Options) -> Self {
        Self {
            warm_up: WarmUp::new(options.warm_up.clone()),
            options,
            ..Self::default()
        }
    }

    /// The limits of cold endpoints.
    pub fn warm_up(&mut self) -> &mut WarmUp {
        &mut self.warm_up
    }

    /// Applies the fields of a response whose request was sent at `sent_ms`. Returns what changes.
    /// A response without a limit removes a known limit only if its request was sent after the
    /// limit arrived, since responses may overtake each other.
    pub fn apply_advice(
        &mut self,
        incarnation: IncarnationHash,
        advice: Advice,
        sent_ms: f64,
        now_ms: f64,
    ) -> Vec<AdviceChange> {
        if !self.states.contains_key(&incarnation) && !advice.has_any_field() {
            return Vec::new();
        }
        let state = self.states.entry(incarnation).or_default();
        if advice.has_any_field() {
            state.last_advice_ms = now_ms;
        }
        let limit = state.apply_limit(advice.limit_per_s, sent_ms, now_ms);
        let leaving = state.apply_leaving(advice.leaving);
        let backoff_max_ms = self.options.backoff_max_ms;
        let backoff = state.apply_backoff(advice.backoff_ms, backoff_max_ms, now_ms);
        let cold = match advice.cold_ms {
            Field::Invalid => state.report_invalid(AdviceChange::InvalidCold),
            _ => None,
        };
        let changes = limit.into_iter().chain(leaving).chain(backoff);
        changes.chain(cold).collect()
    }

    /// Counts an answered request that was sent at `sent_ms` against the limit of its endpoint, if
    /// no limit was known then. Without this, the gateways of a fleet that starts together would
    /// use the whole limit on top of what they have sent before their first answers. Returns
    /// whether peers should be told.
    ///
    /// ```
    /// use mgs_backpressure::advice::Advice;
    /// use mgs_backpressure::advice::Field;
    /// use mgs_backpressure::options::Options;
    /// use mgs_backpressure::share::Gateways;
    /// use mgs_backpressure::table::Backpressure;
    /// use mgs_backpressure::table::IncarnationHash;
    ///
    /// let mut table = Backpressure::new(Options::default());
    /// table.set_gateways(Gateways { count: Some(1), ..Gateways::default() });
    /// let limit = Advice { limit_per_s: Field::Value(1.0), ..Advice::default() };
    /// table.apply_advice(IncarnationHash(7), limit, 0.0, 20.0);
    /// assert!(table.record_uncounted(IncarnationHash(7), 0.0));
    /// assert!(table.permit(IncarnationHash(7), 30.0).is_err());
    /// assert!(!table.record_uncounted(IncarnationHash(7), 30.0));
    /// ```
    pub fn record_uncounted(&mut self, incarnation: IncarnationHash, sent_ms: f64) -> bool {
        let Some(state) = self.states.get_mut(&incarnation) else {
            return false;
        };
        let is_counted = state.limit.record_sent_before(sent_ms);
        if is_counted {
            state.sent_to_peers_ms = None;
        }
        is_counted
    }

    /// Applies an update from a peer.
    pub fn apply_peer_update(
        &mut self,
        peer: u64,
        incarnation: IncarnationHash,
        update: PeerUpdate,
        now_ms: f64,
    ) {
        let state = self.states.entry(incarnation).or_default();
        state.last_advice_ms = now_ms;
        state.limit.record_peer_sent(peer, update.sent_requests);
        state.is_leaving |= update.is_leaving;
        if let Some(limit) = update.limit {
            state.limit.apply_update(limit, false, now_ms);
        }
    }

    /// The updates to send to peers, those sent longest ago first: all first-hand state if
    /// `is_full`, otherwise only what has changed since it was last sent. State that came from
    /// peers isn't forwarded, since it would look newer each time.
    pub fn take_peer_updates(
        &mut self,
        is_full: bool,
        now_ms: f64,
    ) -> Vec<(IncarnationHash, PeerUpdate)> {
        let is_due = |state: &IncarnationState| is_full || state.sent_to_peers_ms.is_none();
        let states = self.states.iter_mut();
        let mut due: Vec<(IncarnationHash, &mut IncarnationState)> = states
            .filter(|(_, state)| is_due(state) && state.peer_update().is_worth_sending(now_ms))
            .map(|(incarnation, state)| (*incarnation, state))
            .collect();
        let sent_to_peers_ms =
            |state: &IncarnationState| state.sent_to_peers_ms.unwrap_or(f64::NEG_INFINITY);
        due.sort_by(|(a, x), (b, y)| {
            sent_to_peers_ms(x)
                .total_cmp(&sent_to_peers_ms(y))
                .then(a.cmp(b))
        });
        due.truncate(UPDATES_PER_MESSAGE_MAX);
        let mut updates = Vec::new();
        for (incarnation, state) in due {
            state.sent_to_peers_ms = Some(now_ms);
            updates.push((incarnation, state.peer_update()));
        }
        updates
    }

    /// Replaces the gateways that share limits.
    pub fn set_gateways(&mut self, gateways: Gateways) {
        if gateways == self.gateways {
            return;
        }
        let present: HashSet<u64> = gateways.others.iter().copied().collect();
        for state in self.states.values_mut() {
            state
                .limit
                .retain_gateways(|gateway| present.contains(&gateway));
        }
        self.gateways = gateways;
        self.allocation_version += 1;
    }

    /// Reading of the clock that the gateways share, in milliseconds.
    pub fn clock_ms(&self, now_ms: f64) -> f64 {
        self.clock.read_ms(now_ms)
    }

    /// Applies the reading of a peer's clock.
    pub fn observe_peer_clock(&mut self, peer_clock_ms: f64, now_ms: f64) {
        if self.clock.advance(peer_clock_ms, now_ms) {
            self.allocation_version += 1;
        }
    }

    /// Endpoints to which no request may be sent now.
    pub fn blocked(&mut self, time: impl Into<CheckTime>) -> Vec<(IncarnationHash, Blocked)> {
        let time = time.into();
        let mut incarnations: Vec<IncarnationHash> = self.states.keys().copied().collect();
        let cold = self.warm_up.cold_endpoints(time.boot_ms).into_iter();
        incarnations.extend(cold.filter(|cold| !self.states.contains_key(cold)));
        let blocked = |incarnation: IncarnationHash| {
            Some((incarnation, self.check(incarnation, time).err()?))
        };
        incarnations.into_iter().filter_map(blocked).collect()
    }

    /// Checks whether a request may be sent right now, and counts it.
    pub fn permit(
        &mut self,
        incarnation: IncarnationHash,
        time: impl Into<CheckTime>,
    ) -> Result<Permission, Blocked> {
        let time = time.into();
        self.check(incarnation, time)?;
        let warm_up = self.warm_up.permit(incarnation, time.boot_ms);
        let warm_up = warm_up.map_err(blocked_by_warm_up)?;
        let state = self.states.get_mut(&incarnation);
        let is_news = state.is_some_and(|state| {
            let is_limited = state.limit.record_sent();
            if is_limited {
                state.sent_to_peers_ms = None;
            }
            is_limited
        });
        Ok(Permission { is_news, warm_up })
    }

    fn check(&mut self, incarnation: IncarnationHash, time: CheckTime) -> Result<(), Blocked> {
        self.check_advice(incarnation, time.now_ms)?;
        match self.warm_up.blocked_for_ms(incarnation, time.boot_ms) {
            blocked_for_ms if blocked_for_ms > 0.0 => Err(blocked_by_warm_up(blocked_for_ms)),
            _ => Ok(()),
        }
    }

    /// Checks what the endpoint and peers have said.
    fn check_advice(&mut self, incarnation: IncarnationHash, now_ms: f64) -> Result<(), Blocked> {
        let Some(state) = self.states.get_mut(&incarnation) else {
            return Ok(());
        };
        let context = SharingContext {
            gateways: &self.gateways,
            allocation_version: self.allocation_version,
            clock_ms: self.clock.read_ms(now_ms),
            now_ms,
            options: &self.options,
        };
        if state.is_leaving {
            return Err(Blocked {
                reason: BlockReason::Leaving,
                blocked_for_ms: f64::INFINITY,
            });
        }
        if now_ms < state.backoff_until_ms {
            return Err(Blocked {
                reason: BlockReason::Backoff,
                blocked_for_ms: state.backoff_until_ms - now_ms,
            });
        }
        let blocked_for_ms = state.limit.blocked_for_ms(incarnation, &context);
        if blocked_for_ms > 0.0 {
            return Err(Blocked {
                reason: BlockReason::Limit,
                blocked_for_ms,
            });
        }
        Ok(())
    }

    /// The limit that the endpoint last announced and hasn't removed, in requests per second.
    pub fn limit_per_s(&self, incarnation: IncarnationHash) -> Option<f64> {
        self.states.get(&incarnation)?.limit.per_s()
    }

    /// Whether there is no state for any endpoint.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty() && self.warm_up.is_empty()
    }

    /// Removes endpoints that are no longer listed or have no active backpressure, once
    /// [`Options::retention_ms`] has passed since their last update.
    pub fn expire(&mut self, now_ms: f64, is_listed: impl Fn(IncarnationHash) -> bool) {
        let retention_ms = self.options.retention_ms;
        self.states.retain(|incarnation, state| {
            let is_in_force = state.has_active_advice(now_ms) && is_listed(*incarnation);
            is_in_force || now_ms - state.last_advice_ms < retention_ms
        });
    }
}

fn blocked_by_warm_up(blocked_for_ms: f64) -> Blocked {
    Blocked {
        reason: BlockReason::WarmUp,
        blocked_for_ms,
    }
}

impl IncarnationState {
    /// The update to send to peers.
    fn peer_update(&self) -> PeerUpdate {
        PeerUpdate {
            is_leaving: self.is_leaving_first_hand,
            ..self.limit.peer_update()
        }
    }

    fn has_active_advice(&self, now_ms: f64) -> bool {
        self.is_leaving || now_ms < self.backoff_until_ms || self.limit.per_s().is_some()
    }

    fn apply_limit(
        &mut self,
        field: Field<f64>,
        sent_ms: f64,
        now_ms: f64,
    ) -> Option<AdviceChange> {
        let (per_s, at_ms) = match field {
            Field::Value(per_s) => (Some(per_s), now_ms),
            Field::Absent => (None, sent_ms),
            Field::Unknown => return None,
            Field::Invalid => return self.report_invalid(AdviceChange::InvalidLimit),
        };
        let update = LimitUpdate { per_s, at_ms };
        if !self.limit.apply_update(update, true, now_ms) {
            return None;
        }
        self.sent_to_peers_ms = None;
        Some(per_s.map_or(AdviceChange::Unlimited, AdviceChange::Limited))
    }

    fn apply_leaving(&mut self, field: Field<()>) -> Option<AdviceChange> {
        match field {
            Field::Value(()) if !self.is_leaving_first_hand => {
                self.is_leaving = true;
                self.is_leaving_first_hand = true;
                self.sent_to_peers_ms = None;
                Some(AdviceChange::Leaving)
            }
            Field::Invalid => self.report_invalid(AdviceChange::InvalidLeaving),
            _ => None,
        }
    }

    /// Keeps the backoff that ends last: responses may arrive out of order.
    fn apply_backoff(
        &mut self,
        field: Field<f64>,
        backoff_max_ms: f64,
        now_ms: f64,
    ) -> Option<AdviceChange> {
        match field {
            Field::Value(backoff_ms) if backoff_ms > 0.0 => {
                let backoff_ms = backoff_ms.min(backoff_max_ms);
                self.backoff_until_ms = self.backoff_until_ms.max(now_ms + backoff_ms);
                Some(AdviceChange::BackoffRequested(backoff_ms))
            }
            Field::Invalid => self.report_invalid(AdviceChange::InvalidBackoff),
            _ => None,
        }
    }

    /// Returns the change only the first time.
    fn report_invalid(&mut self, change: AdviceChange) -> Option<AdviceChange> {
        if self.reported_invalid.contains(&change) {
            return None;
        }
        self.reported_invalid.push(change);
        Some(change)
    }
}
