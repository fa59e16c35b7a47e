//! How fast a queue has been moving.

/// Backlogged time that must have been seen before a rate is told, in milliseconds.
const SEEN_MIN_MS: f64 = 100.0;

/// Work that left a queue and the time during which the queue wasn't empty, both forgotten
/// exponentially.
#[derive(Debug, Clone, Copy)]
pub struct Drain {
    memory_ms: f64,
    work: f64,
    busy_ms: f64,
    at_ms: u64,
}

impl Drain {
    /// Nothing was seen yet; the rate is remembered over `memory_ms`.
    pub fn new(memory_ms: f64) -> Self {
        Self {
            memory_ms,
            work: 0.0,
            busy_ms: 0.0,
            at_ms: 0,
        }
    }

    /// Lets time pass; `busy` tells whether the queue had work all the while.
    pub fn pass(&mut self, now_ms: u64, busy: bool) {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = self.at_ms.max(now_ms);
        let kept = (-passed_ms / self.memory_ms).exp();
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
    /// `next` is the part of it that leaves at once: a queue that has just stood still is taken to
    /// stand still for as long again, not for ever.
    ///
    /// ```
    /// use mgs_admission::drain::Drain;
    ///
    /// let mut drain = Drain::new(4_000.0);
    /// assert_eq!(drain.time_ms(10.0, 10.0), None);
    /// drain.pass(1_000, true);
    /// assert_eq!(drain.time_ms(50.0, 50.0), Some(1_000));
    /// drain.left(450.0);
    /// assert_eq!(drain.time_ms(100.0, 50.0), Some(200));
    /// ```
    pub fn time_ms(&self, work: f64, next: f64) -> Option<u64> {
        if self.busy_ms < SEEN_MIN_MS {
            return None;
        }
        let rate = (self.work + next.max(1.0)) / self.busy_ms;
        Some((work / rate) as u64)
    }
}
