//! Work dispatched in the last seconds, by the time of its dispatch.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Length of one bucket of time, in milliseconds.
const BUCKET_MS: u64 = 32;

/// Buckets kept; older work must be in the reports by now.
const BUCKETS: usize = 64;

/// Bits of a bucket's value; the bits above hold the bucket's number.
const VALUE_BITS: u32 = 32;

const VALUE_MASK: u64 = (1 << VALUE_BITS) - 1;

/// A ring of sums by time, written and read without a lock.
#[derive(Debug)]
pub struct Recent {
    buckets: [AtomicU64; BUCKETS],
}

impl Default for Recent {
    fn default() -> Self {
        Self {
            buckets: std::array::from_fn(|_| AtomicU64::new(0)),
        }
    }
}

impl Recent {
    /// Adds work at a time.
    ///
    /// ```
    /// use mgs_routing::recent::Recent;
    ///
    /// let recent = Recent::default();
    /// recent.add(1_000, 7);
    /// assert_eq!(recent.since(900, 1_000), 7);
    /// assert_eq!(recent.since(1_200, 1_300), 0);
    /// ```
    pub fn add(&self, now_ms: u64, work: u64) {
        let number = number(now_ms);
        let bucket = &self.buckets[number as usize % BUCKETS];
        let next = |old: u64| {
            let same = old >> VALUE_BITS == number & VALUE_MASK;
            let sum = if same { old & VALUE_MASK } else { 0 };
            let sum = (sum + work).min(VALUE_MASK);
            Some((number & VALUE_MASK) << VALUE_BITS | sum)
        };
        // The closure never returns `None`, so the update can't fail.
        let _ = bucket.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
    }

    /// Sum of the work added from `since_ms` (to the start of its bucket) until `now_ms`.
    pub fn since(&self, since_ms: u64, now_ms: u64) -> u64 {
        let last = number(now_ms);
        let first = number(since_ms).max((last + 1).saturating_sub(BUCKETS as u64));
        (first..=last).map(|n| self.value(n)).sum()
    }

    fn value(&self, number: u64) -> u64 {
        let bucket = self.buckets[number as usize % BUCKETS].load(Ordering::Relaxed);
        if bucket >> VALUE_BITS == number & VALUE_MASK {
            bucket & VALUE_MASK
        } else {
            0
        }
    }
}

/// Number of the bucket of a time; from 1, so that an untouched bucket matches none.
fn number(at_ms: u64) -> u64 {
    at_ms / BUCKET_MS + 1
}
