//! Decides how often a gateway sends messages to its peers, and whether it accepts requests, by how
//! much of its link is used.
//!
//! This takes effect only if the width of the link is known. A narrow link is noticed in two ways:
//! by the bytes carried; and by the time for which the socket for peers takes nothing more, if the
//! link was reduced to less. As the use grows, messages to peers become rarer. Only when they are as
//! rare as they may be are requests refused.

/// Time constant of the averages, in milliseconds. A link that was half used counts as full after
/// 1.6 s without a pause.
const AVERAGE_MS: f64 = 1_000.0;

/// Use of the link from which on messages become rarer. Header fields and acknowledgements aren't
/// counted and take up to a tenth.
const NARROW_USE: f64 = 0.6;

/// Use of the link at which messages are as rare as they may be.
const SLOWEST_USE: f64 = 0.8;

/// Use of the link from which on requests are refused.
const FULL_USE: f64 = 0.9;

/// The same bounds for the time that the link needs for what was counted at once, in milliseconds.
/// Two bodies of 760 kB take 870 ms of a link of 14 Mbit/s; they are ordinary traffic.
const NARROW_BACKLOG_MS: f64 = 900.0;
const SLOWEST_BACKLOG_MS: f64 = 1_200.0;
const FULL_BACKLOG_MS: f64 = 1_500.0;

/// Longest such time that is remembered, in milliseconds: a link that is wider than its setting says
/// is free again as soon after a burst.
const BACKLOG_MAX_MS: f64 = 3_000.0;

/// The same bounds for the share of time for which the socket for peers takes nothing.
const NARROW_BLOCKED: f64 = 0.05;
const SLOWEST_BLOCKED: f64 = 0.25;
const FULL_BLOCKED: f64 = 0.6;

/// Least time between two messages on a free link, in milliseconds.
pub const SEND_INTERVAL_MIN_MS: u64 = 15;

/// Least time between two messages at most, in milliseconds.
const SEND_INTERVAL_MAX_MS: f64 = 400.0;

/// Time between two full messages on a free link, in milliseconds.
const FULL_INTERVAL_MS: f64 = 300.0;

/// Time between two full messages at most, in milliseconds. Peers learn of ended requests from full
/// messages, so that they see this gateway's load as larger than it is for as long.
const FULL_INTERVAL_MAX_MS: f64 = 1_000.0;

/// Time for which the link must have had more room before that is logged, in milliseconds: two time
/// constants of the averages.
const LOGGED_STATE_MIN_MS: f64 = 2_000.0;

/// Longest time without any message, in milliseconds. Peers take a gateway for silent after 1,200
/// ms, so that one of two messages may be lost.
pub const QUIET_MAX_MS: u64 = 500;

/// The link of this host.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Options {
    /// Bytes per second that it carries in each direction; `None` if that isn't known. Then nothing
    /// depends on its use.
    pub bytes_per_s: Option<f64>,
}

/// What the link has carried since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LinkTotals {
    /// Bytes received.
    pub received_bytes: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Time for which the socket for peers took nothing, in milliseconds.
    pub blocked_ms: f64,
}

/// How often messages are sent to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessagePace {
    /// Least time between two messages, in milliseconds.
    pub send_interval_ms: u64,
    /// Time between two full messages, in milliseconds.
    pub full_interval_ms: u64,
}

/// How much room the link has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum LinkState {
    /// Enough.
    #[default]
    Free,
    /// So little that messages to peers are rarer.
    Narrow,
    /// None for further requests.
    Full,
}

impl LinkState {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::Narrow => "narrow",
            Self::Full => "full",
        }
    }
}

/// The state of the link as it was last logged. A fuller state is logged at once, one with more room
/// only once the fuller one is some time ago. A link near a bound would otherwise log many lines per
/// second.
#[derive(Debug, Clone, Default)]
pub struct LoggedState {
    state: LinkState,
    /// When the link last had no more room than that, in milliseconds.
    seen_ms: f64,
}

impl LoggedState {
    /// Takes the state at a moment; returns whether it must be logged.
    pub fn update(&mut self, now_ms: f64, state: LinkState) -> bool {
        if state >= self.state {
            self.seen_ms = now_ms;
        }
        let is_due = state > self.state
            || state < self.state && now_ms - self.seen_ms >= LOGGED_STATE_MIN_MS;
        if is_due {
            *self = Self {
                state,
                seen_ms: now_ms,
            };
        }
        is_due
    }
}

/// One direction of the link.
#[derive(Debug, Clone, Default)]
struct Direction {
    /// Bytes that were counted, and for which the link needs further time.
    backlog_bytes: f64,
    /// Average of what is carried, in bytes per second.
    per_s: f64,
}

impl Direction {
    /// Takes the bytes that were counted in `passed_ms`. No more is carried than the link can.
    fn observe(&mut self, options: &Options, passed_ms: f64, bytes: u64) {
        let counted_bytes = self.backlog_bytes + bytes as f64;
        let carried_bytes = match options.bytes_per_s {
            None => counted_bytes,
            Some(per_s) => {
                let carried_bytes = counted_bytes.min(per_s * passed_ms / 1e3);
                let backlog_max_bytes = per_s * BACKLOG_MAX_MS / 1e3;
                self.backlog_bytes = (counted_bytes - carried_bytes).min(backlog_max_bytes);
                carried_bytes
            }
        };
        let weight = 1.0 - (-passed_ms / AVERAGE_MS).exp();
        self.per_s += (carried_bytes / passed_ms * 1e3 - self.per_s) * weight;
    }
}

/// Averages of what the link carries.
#[derive(Debug, Clone, Default)]
pub struct LinkUse {
    observed: Option<(f64, LinkTotals)>,
    received: Direction,
    sent: Direction,
    blocked_share: f64,
}

impl LinkUse {
    /// Takes the totals at a moment.
    ///
    /// ```
    /// use mgs_relay::link_use::{LinkState, LinkTotals, LinkUse, Options};
    ///
    /// let options = Options { bytes_per_s: Some(1_750_000.0) };
    /// let mut link = LinkUse::default();
    /// link.observe(&options, 0.0, LinkTotals::default());
    /// assert_eq!(link.state(&options), LinkState::Free);
    /// let totals = LinkTotals { sent_bytes: 8_500_000, ..LinkTotals::default() };
    /// link.observe(&options, 5_000.0, totals);
    /// assert_eq!(link.state(&options), LinkState::Full);
    /// ```
    pub fn observe(&mut self, options: &Options, now_ms: f64, totals: LinkTotals) {
        let Some((before_ms, before)) = self.observed else {
            self.observed = Some((now_ms, totals));
            return;
        };
        let passed_ms = now_ms - before_ms;
        if passed_ms < 1.0 {
            return;
        }
        let received_bytes = totals.received_bytes - before.received_bytes;
        self.received.observe(options, passed_ms, received_bytes);
        let sent_bytes = totals.sent_bytes - before.sent_bytes;
        self.sent.observe(options, passed_ms, sent_bytes);
        // A wait is recorded when it ends, and may be longer than the time since the last
        // observation. It counts by its own length, as if it had been observed throughout.
        let blocked_ms = totals.blocked_ms - before.blocked_ms;
        let kept = (-passed_ms / AVERAGE_MS).exp();
        let blocked_weight = 1.0 - (-blocked_ms / AVERAGE_MS).exp();
        self.blocked_share = (self.blocked_share * kept + blocked_weight).min(1.0);
        self.observed = Some((now_ms, totals));
    }

    /// Used share of the link in the direction that is used more; 0 if its width isn't known.
    pub fn used_share(&self, options: &Options) -> f64 {
        let used_per_s = self.received.per_s.max(self.sent.per_s);
        options.bytes_per_s.map_or(0.0, |width| used_per_s / width)
    }

    /// Time that the link needs for what was counted but can't have been carried yet, in
    /// milliseconds; 0 if its width isn't known.
    pub fn backlog_ms(&self, options: &Options) -> f64 {
        let backlog_bytes = self.received.backlog_bytes.max(self.sent.backlog_bytes);
        options
            .bytes_per_s
            .map_or(0.0, |width| backlog_bytes / width * 1e3)
    }

    /// Share of time for which the socket for peers took nothing; 0 if the width of the link isn't
    /// known, since the limit is off then.
    pub fn blocked_share(&self, options: &Options) -> f64 {
        options.bytes_per_s.map_or(0.0, |_| self.blocked_share)
    }

    /// How often to send messages to peers.
    pub fn pace(&self, options: &Options) -> MessagePace {
        let stretch = self.stretch(options);
        let between = |least: f64, most: f64| (least + (most - least) * stretch) as u64;
        MessagePace {
            send_interval_ms: between(SEND_INTERVAL_MIN_MS as f64, SEND_INTERVAL_MAX_MS),
            full_interval_ms: between(FULL_INTERVAL_MS, FULL_INTERVAL_MAX_MS),
        }
    }

    /// How much room the link has.
    pub fn state(&self, options: &Options) -> LinkState {
        let is_full = self.used_share(options) >= FULL_USE
            || self.backlog_ms(options) >= FULL_BACKLOG_MS
            || self.blocked_share(options) >= FULL_BLOCKED;
        if is_full {
            return LinkState::Full;
        }
        match self.stretch(options) > 0.0 {
            true => LinkState::Narrow,
            false => LinkState::Free,
        }
    }

    /// How far the intervals are from their least values (0) to their greatest (1).
    fn stretch(&self, options: &Options) -> f64 {
        let position =
            |value: f64, from: f64, to: f64| ((value - from) / (to - from)).clamp(0.0, 1.0);
        let by_use = position(self.used_share(options), NARROW_USE, SLOWEST_USE);
        let backlog_ms = self.backlog_ms(options);
        let by_backlog = position(backlog_ms, NARROW_BACKLOG_MS, SLOWEST_BACKLOG_MS);
        let by_blocked = position(self.blocked_share(options), NARROW_BLOCKED, SLOWEST_BLOCKED);
        by_use.max(by_backlog).max(by_blocked)
    }
}
