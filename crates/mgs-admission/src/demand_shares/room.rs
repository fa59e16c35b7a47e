//! Whether engines have time left for prompts beyond the share of their organisation.

use super::shortage::Strain;
use super::shortage::OVERESTIMATED_SHARE;
use super::ENGINE_TIME_PER_S;

/// Wait for engines below which prompts are admitted beyond the share of their organisation, in
/// milliseconds. Less than half of the first-token target of short prompts (250 ms), so that a long
/// prompt that arrives next, which delays others by 64 ms, doesn't make them late.
pub(super) const ROOM_WAIT_MS: f64 = 100.0;

/// Least value to which [`ROOM_WAIT_MS`] is reduced, in milliseconds: engines are nearly idle.
const ROOM_WAIT_MIN_MS: f64 = 20.0;

/// Wait from which on short prompts are late, in milliseconds: their first-token target less their
/// prefill.
const LATE_WAIT_MS: f64 = 220.0;

/// Longest wait that counts, in milliseconds. Beyond it all short prompts are late, so that a longer
/// one makes no difference.
pub(super) const WAIT_COUNTED_MAX_MS: f64 = 300.0;

/// Share of time for which short prompts may be late because of what is admitted beyond shares: two
/// thirds of the on-time share that others may lose (0.03).
const LATE_SHARE: f64 = 0.02;

/// Time of lateness that reduces the wait that is allowed by a factor of e, in milliseconds.
const REDUCE_MS: f64 = 500.0;

/// Time for which no engine has been seen idle until prompts are refused without a surge, in
/// milliseconds. Engines that were all busy for a moment, as when long prompts come together, have
/// room before a client could come back.
const IDLE_SEEN_MS: f64 = 1_000.0;

/// Longest time that one update stands for, in milliseconds.
const UPDATE_MAX_MS: f64 = 1_000.0;

/// What the engines have left, as seen at the last refresh.
#[derive(Debug, Clone, Copy)]
pub(super) struct Room {
    /// Time of all usable engines, in milliseconds per second.
    engine_time: f64,
    /// Share of cost that engines refuse; with much of it, their figures promise too much.
    refused_share: f64,
    /// Time until an engine begins with a prompt, in milliseconds.
    wait_ms: f64,
    /// Wait up to which there is room, in milliseconds.
    wait_max_ms: f64,
    /// Whether what came before the shortage was noticed has been served.
    is_settled: bool,
    /// When an engine was last seen idle.
    idle_ms: f64,
    has_surge: bool,
    updated_ms: f64,
}

impl Room {
    pub(super) fn started_at(now_ms: f64) -> Self {
        Self {
            engine_time: 0.0,
            refused_share: 0.0,
            wait_ms: 0.0,
            wait_max_ms: ROOM_WAIT_MS,
            is_settled: false,
            idle_ms: now_ms,
            has_surge: false,
            updated_ms: now_ms,
        }
    }

    /// Takes what is seen of the engines. During a surge, less wait is allowed if short prompts are
    /// late for more than [`LATE_SHARE`] of the time: engines may be slower than declared.
    pub(super) fn update(&mut self, now_ms: f64, strain: &Strain, is_short: bool) {
        let elapsed_ms = (now_ms - self.updated_ms).clamp(0.0, UPDATE_MAX_MS);
        self.updated_ms = now_ms;
        self.engine_time = strain.engine_time;
        self.refused_share = strain.refused_share;
        self.wait_ms = strain.wait_ms;
        self.has_surge = strain.has_surge;
        if self.wait_ms <= 0.0 {
            self.idle_ms = now_ms;
        }
        self.is_settled =
            is_short && self.has_surge && (self.is_settled || self.wait_ms < self.wait_max_ms);
        if !self.is_settled {
            self.wait_max_ms = ROOM_WAIT_MS;
            return;
        }
        let late_ms = match self.wait_ms >= LATE_WAIT_MS {
            true => elapsed_ms,
            false => 0.0,
        };
        let change = (elapsed_ms * LATE_SHARE - late_ms) / REDUCE_MS;
        let changed_ms = self.wait_max_ms * change.exp();
        self.wait_max_ms = changed_ms.clamp(ROOM_WAIT_MIN_MS, ROOM_WAIT_MS);
    }

    /// Whether a prompt beyond its organisation's share makes no other late. `priority_factor` is the
    /// part of the wait that the organisation's priority allows.
    pub(super) fn is_left(&self, priority_factor: f64) -> bool {
        let is_refusing = self.refused_share >= OVERESTIMATED_SHARE;
        let was_idle = !self.has_surge && self.updated_ms - self.idle_ms < IDLE_SEEN_MS;
        !is_refusing && (was_idle || self.wait_ms < self.wait_max_ms * priority_factor)
    }

    /// Counts a prompt that is admitted, since the wait is seen anew only at the next refresh.
    pub(super) fn take(&mut self, cost_ms: f64) {
        let engines = self.engine_time / ENGINE_TIME_PER_S;
        self.wait_ms += cost_ms / engines.max(1.0);
    }
}
