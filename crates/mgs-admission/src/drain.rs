//! How fast a queue has been moving.

/// Time over which the rate is remembered, in milliseconds.
const MEMORY_MS: f64 = 4_000.0;

/// Backlogged time that must have been seen before a rate is told, in milliseconds.
const SEEN_MIN_MS: f64 = 100.0;

/// Work that left a queue and the time during which the queue wasn't empty, both forgotten
/// exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub struct Drain {
    work: f64,
    busy_ms: f64,
    at_ms: u64,
}

impl Drain {
    /// Lets time pass; `busy` tells whether the queue had work all the while.
    pub fn pass(&mut self, now_ms: u64, busy: bool) {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = self.at_ms.max(now_ms);
        let kept = (-passed_ms / MEMORY_MS).exp();
        self.work *= kept;
        self.busy_ms *= kept;
        if busy {
            self.busy_ms += passed_ms;
        }
    }

    /// Work left the queue after it had waited.
    pub fn left(&mut self, work: f64) {
        self.work += work;
    }

    /// Time in which `work` would leave, in milliseconds; `None` while too little was seen.
    ///
    /// ```
    /// use mgs_admission::drain::Drain;
    ///
    /// let mut drain = Drain::default();
    /// assert_eq!(drain.time_ms(10.0), None);
    /// drain.pass(1_000, true);
    /// drain.left(500.0);
    /// assert_eq!(drain.time_ms(50.0), Some(100));
    /// ```
    pub fn time_ms(&self, work: f64) -> Option<u64> {
        if self.busy_ms < SEEN_MIN_MS {
            return None;
        }
        let rate = self.work.max(1.0) / self.busy_ms;
        Some((work / rate) as u64)
    }
}
