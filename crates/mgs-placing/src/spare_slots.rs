//! Short prompts that can't be on time, while streams ask for more places than all engines have.
//!
//! The load that this answers: for seconds, twice as many streams begin as the engines have places for. If all
//! are sent, the engines queue them, each waits for those before it, and soon all are late. So one that can still be on
//! time goes ahead, whenever it came. One that can't waits at its gateway for a place that nobody needs, and is refused
//! as soon as too many wait before it for the places that fall free.

/// How long the places that fell free count, in milliseconds.
const DECAY_MS: f64 = 2_000.0;

/// How many late prompts found a spare place of late.
///
/// ```
/// use mgs_placing::spare_slots::SpareSlotRate;
///
/// let mut spare = SpareSlotRate::default();
/// spare.record(100.0);
/// assert_eq!(spare.per_s(100.0), 0.5);
/// assert!(spare.per_s(10_000.0) < 0.01);
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SpareSlotRate {
    /// Starts, as they fade from memory.
    recent: f64,
    at_ms: f64,
}

impl SpareSlotRate {
    /// A late prompt found a place.
    pub fn record(&mut self, now_ms: f64) {
        self.recent = self.recent(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Places that late prompts find in a second.
    pub fn per_s(&self, now_ms: f64) -> f64 {
        self.recent(now_ms) * 1e3 / DECAY_MS
    }

    fn recent(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.at_ms).max(0.0);
        self.recent * (-age_ms / DECAY_MS).exp()
    }
}
