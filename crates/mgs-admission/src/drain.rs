//! Estimate of the rate at which a queue drains.

/// Minimum observed busy time before an estimate is given, in milliseconds.
const BUSY_MIN_MS: f64 = 100.0;

/// Drain rate of a queue: the work that left it divided by the time during which it wasn't empty.
/// Both decay exponentially.
#[derive(Debug, Clone, Copy)]
pub struct DrainRate {
    decay_ms: f64,
    /// Work that left the queue, decayed.
    work: f64,
    /// Time during which the queue was non-empty, decayed.
    busy_ms: f64,
    updated_ms: u64,
}

impl DrainRate {
    /// Creates an estimate without observations; `decay_ms` is the time constant of its decay.
    pub fn new(decay_ms: f64) -> Self {
        Self {
            decay_ms,
            work: 0.0,
            busy_ms: 0.0,
            updated_ms: 0,
        }
    }

    /// Advances the time to `now_ms`; `busy` tells whether the queue was non-empty since the last
    /// call.
    pub fn advance(&mut self, now_ms: u64, busy: bool) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
        let decay = (-elapsed_ms / self.decay_ms).exp();
        self.work *= decay;
        self.busy_ms *= decay;
        if busy {
            self.busy_ms += elapsed_ms;
        }
    }

    /// Records work that left the queue after a wait.
    pub fn record_departure(&mut self, work: f64) {
        self.work += work;
    }

    /// Expected time until `work` has left the queue, in milliseconds; `None` without enough
    /// observations.
    ///
    /// `immediate_work` is the part of `work` that leaves in one step. It is counted as if it had
    /// already left, so a queue that hasn't moved for a while is expected to stall for as long
    /// again and not forever.
    ///
    /// ```
    /// use mgs_admission::drain::DrainRate;
    ///
    /// let mut drain = DrainRate::new(4_000.0);
    /// assert_eq!(drain.drain_time_ms(10.0, 10.0), None);
    /// drain.advance(1_000, true);
    /// assert_eq!(drain.drain_time_ms(50.0, 50.0), Some(1_000));
    /// drain.record_departure(450.0);
    /// assert_eq!(drain.drain_time_ms(100.0, 50.0), Some(200));
    /// ```
    pub fn drain_time_ms(&self, work: f64, immediate_work: f64) -> Option<u64> {
        if self.busy_ms < BUSY_MIN_MS {
            return None;
        }
        let rate = (self.work + immediate_work.max(1.0)) / self.busy_ms;
        Some((work / rate) as u64)
    }
}
