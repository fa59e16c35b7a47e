//! A token bucket that may go into debt.

/// Time over which unused rate is saved up, in milliseconds.
const BURST_MS: f64 = 2_000.0;

/// Smallest capacity, so that slow rates admit whole requests.
const CAPACITY_MIN: f64 = 1.0;

/// A bucket filled at a rate.
///
/// What costs more than the bucket holds passes when the bucket is full and leaves it in debt, so
/// that the rate holds over time and nothing is too large for ever.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bucket {
    rate_per_s: f64,
    level: f64,
    at_ms: u64,
}

impl Bucket {
    /// A full bucket; a rate of 0 sets no limit.
    pub fn new(now_ms: u64, rate_per_s: f64) -> Self {
        let mut bucket = Self {
            rate_per_s,
            level: 0.0,
            at_ms: now_ms,
        };
        bucket.level = bucket.capacity();
        bucket
    }

    /// Changes the rate; what was saved or is owed stays.
    pub fn set_rate(&mut self, now_ms: u64, rate_per_s: f64) {
        self.fill(now_ms);
        let was_unlimited = self.rate_per_s <= 0.0;
        self.rate_per_s = rate_per_s;
        self.level = if was_unlimited {
            self.capacity()
        } else {
            self.level.min(self.capacity())
        };
    }

    /// Takes `cost`, or tells in how many milliseconds it could be taken.
    ///
    /// ```
    /// use mgs_admission::bucket::Bucket;
    ///
    /// let mut bucket = Bucket::new(0, 1.0);
    /// assert!(bucket.take(0, 2.0).is_ok());
    /// assert_eq!(bucket.take(0, 1.0), Err(1_000));
    /// ```
    pub fn take(&mut self, now_ms: u64, cost: f64) -> Result<(), u64> {
        if self.rate_per_s <= 0.0 {
            return Ok(());
        }
        self.fill(now_ms);
        let wanted = cost.min(self.capacity());
        if self.level >= wanted {
            self.level -= cost;
            return Ok(());
        }
        let missing = wanted - self.level;
        Err((missing / self.rate_per_s * 1_000.0).ceil() as u64)
    }

    /// Gives back what wasn't used.
    pub fn refund(&mut self, unused: f64) {
        self.level = (self.level + unused).min(self.capacity());
    }

    fn fill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = self.at_ms.max(now_ms);
        let filled = self.level + passed_ms / 1_000.0 * self.rate_per_s;
        self.level = filled.min(self.capacity());
    }

    fn capacity(&self) -> f64 {
        (self.rate_per_s * BURST_MS / 1_000.0).max(CAPACITY_MIN)
    }
}
