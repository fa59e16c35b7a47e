//! Sliding-window sum of the work dispatched recently, by dispatch time.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Duration of one bucket, in milliseconds.
const BUCKET_MS: u64 = 32;

/// Number of buckets in the ring. Load reports are expected to include work older than the ring.
const BUCKETS: usize = 64;

/// Low bits of a bucket, which hold its sum; the bits above hold the bucket number.
const SUM_BITS: u32 = 32;

/// Mask of the low [`SUM_BITS`] bits.
const SUM_MASK: u64 = (1 << SUM_BITS) - 1;

/// Lock-free ring of sums, one per bucket of time.
#[derive(Debug)]
pub struct RecentWork {
    buckets: [AtomicU64; BUCKETS],
}

impl Default for RecentWork {
    fn default() -> Self {
        Self {
            buckets: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl RecentWork {
    /// Adds `work` to the bucket of `now_ms`. The sum of a bucket saturates at 32 bits.
    ///
    /// ```
    /// use mgs_routing::recent::RecentWork;
    ///
    /// let recent = RecentWork::default();
    /// recent.add(1_000, 7);
    /// assert_eq!(recent.since(900, 1_000), 7);
    /// assert_eq!(recent.since(1_200, 1_300), 0);
    /// ```
    pub fn add(&self, now_ms: u64, work: u64) {
        let number = bucket_number(now_ms);
        let bucket = &self.buckets[number as usize % BUCKETS];
        let updated = |old: u64| {
            let is_current = old >> SUM_BITS == number & SUM_MASK;
            let sum = if is_current { old & SUM_MASK } else { 0 };
            let sum = (sum + work).min(SUM_MASK);
            Some((number & SUM_MASK) << SUM_BITS | sum)
        };
        // The closure never returns `None`, so the update can't fail.
        let _ = bucket.fetch_update(Ordering::Relaxed, Ordering::Relaxed, updated);
    }

    /// Sums the work added from `since_ms`, rounded down to the start of its bucket, until
    /// `now_ms`. Work older than the ring isn't included.
    pub fn since(&self, since_ms: u64, now_ms: u64) -> u64 {
        let last = bucket_number(now_ms);
        let first = bucket_number(since_ms).max((last + 1).saturating_sub(BUCKETS as u64));
        (first..=last).map(|n| self.bucket_sum(n)).sum()
    }

    /// Sum of the bucket `number`; 0 if its slot in the ring holds another bucket.
    fn bucket_sum(&self, number: u64) -> u64 {
        let bucket = self.buckets[number as usize % BUCKETS].load(Ordering::Relaxed);
        if bucket >> SUM_BITS == number & SUM_MASK {
            bucket & SUM_MASK
        } else {
            0
        }
    }
}

/// Number of the bucket that contains `at_ms`. Numbers start at 1, so that an unused slot, whose
/// value is 0, matches no bucket.
fn bucket_number(at_ms: u64) -> u64 {
    at_ms / BUCKET_MS + 1
}
