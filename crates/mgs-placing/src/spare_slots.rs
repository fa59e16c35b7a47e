//! Slots for short prompts that can't be on time while all engines are nearly full.
//!
//! If twice as many streams start for seconds as the engines have slots for, and all are
//! dispatched, the engines queue them behind each other and soon all are late. So a prompt that can
//! still be on time goes first, whenever it arrived. One that can't waits at its gateway for a
//! spare slot, which no other prompt needs, and is refused as soon as too many wait before it for
//! the slots that become free.

/// Time constant with which the count of found slots decays, in milliseconds.
const DECAY_MS: f64 = 2_000.0;

/// Recent rate at which late prompts found a spare slot.
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
    /// Slots found, with exponential decay, as of `at_ms`.
    recent: f64,
    at_ms: f64,
}

impl SpareSlotRate {
    /// Records that a late prompt found a slot.
    pub fn record(&mut self, now_ms: f64) {
        self.recent = self.recent(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Slots that late prompts find per second.
    pub fn per_s(&self, now_ms: f64) -> f64 {
        self.recent(now_ms) * 1e3 / DECAY_MS
    }

    fn recent(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.at_ms).max(0.0);
        self.recent * (-age_ms / DECAY_MS).exp()
    }
}
