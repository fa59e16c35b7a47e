//! A token bucket whose level may become negative.

/// Time over which an idle bucket fills up, in milliseconds; it sets the burst size.
const BURST_MS: f64 = 2_000.0;

/// Minimum capacity, so that low rates still admit one whole request.
const CAPACITY_MIN: f64 = 1.0;

/// A token bucket that refills at a constant rate.
///
/// A cost above the capacity is admitted when the bucket is full and leaves a negative level. The
/// rate thus holds on average, and no request is too large to be ever admitted.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    rate_per_s: f64,
    level: f64,
    updated_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket; a rate of 0 means no limit.
    pub fn new(now_ms: u64, rate_per_s: f64) -> Self {
        let mut bucket = Self {
            rate_per_s,
            level: 0.0,
            updated_ms: now_ms,
        };
        bucket.level = bucket.capacity();
        bucket
    }

    /// Changes the rate and keeps the level, up to the new capacity. A bucket that had no limit
    /// starts full.
    pub fn set_rate(&mut self, now_ms: u64, rate_per_s: f64) {
        self.refill(now_ms);
        let was_unlimited = self.rate_per_s <= 0.0;
        self.rate_per_s = rate_per_s;
        self.level = if was_unlimited {
            self.capacity()
        } else {
            self.level.min(self.capacity())
        };
    }

    /// Takes `cost` from the bucket.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds after which `cost` can be taken, if the level is too low.
    ///
    /// ```
    /// use mgs_admission::bucket::TokenBucket;
    ///
    /// let mut bucket = TokenBucket::new(0, 1.0);
    /// assert!(bucket.take(0, 2.0).is_ok());
    /// assert_eq!(bucket.take(0, 1.0), Err(1_000));
    /// ```
    pub fn take(&mut self, now_ms: u64, cost: f64) -> Result<(), u64> {
        if self.rate_per_s <= 0.0 {
            return Ok(());
        }
        self.refill(now_ms);
        let required = cost.min(self.capacity());
        if self.level >= required {
            self.level -= cost;
            return Ok(());
        }
        let missing = required - self.level;
        Err((missing / self.rate_per_s * 1_000.0).ceil() as u64)
    }

    /// Returns unused cost to the bucket.
    pub fn refund(&mut self, unused: f64) {
        self.level = (self.level + unused).min(self.capacity());
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
        let refilled = self.level + elapsed_ms / 1_000.0 * self.rate_per_s;
        self.level = refilled.min(self.capacity());
    }

    fn capacity(&self) -> f64 {
        (self.rate_per_s * BURST_MS / 1_000.0).max(CAPACITY_MIN)
    }
}
