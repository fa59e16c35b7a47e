//! Counters, for the gateway to publish.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::batch::Written;

/// A counter that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds to it.
    pub fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// Its value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// What a process counts of its entries.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Transactions sent.
    pub txns: Counter,
    /// Writes that took effect.
    pub writes: Counter,
    /// Writes that met another one.
    pub conflicts: Counter,
    /// Writes given up because the store couldn't be reached.
    pub unavailable: Counter,
    /// Writes given up without knowing whether they took effect.
    pub unknown: Counter,
    /// Lost replies that were read back.
    pub settled: Counter,
    /// Entries taken over from another gateway.
    pub taken_over: Counter,
    /// Keyed requests answered with an earlier one's answer.
    pub replayed: Counter,
    /// Durable requests accepted.
    pub submitted: Counter,
    /// Durable requests ended.
    pub finished: Counter,
    /// Entries deleted after their time.
    pub swept: Counter,
}

impl Metrics {
    /// Counts the outcome of a write.
    pub fn count_write(&self, written: &Written) {
        match written {
            Written::Done(_) => self.writes.add(1),
            Written::Conflict(_) => self.conflicts.add(1),
            Written::Unavailable => self.unavailable.add(1),
            Written::Unknown => self.unknown.add(1),
        }
    }

    /// Every counter with its name, for publishing.
    ///
    /// ```
    /// let metrics = mgs_durable::metrics::Metrics::default();
    /// metrics.swept.add(2);
    /// assert!(metrics.list().contains(&("swept", 2)));
    /// ```
    pub fn list(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("txns", self.txns.get()),
            ("writes", self.writes.get()),
            ("conflicts", self.conflicts.get()),
            ("unavailable", self.unavailable.get()),
            ("unknown", self.unknown.get()),
            ("settled", self.settled.get()),
            ("taken_over", self.taken_over.get()),
            ("replayed", self.replayed.get()),
            ("submitted", self.submitted.get()),
            ("finished", self.finished.get()),
            ("swept", self.swept.get()),
        ]
    }
}
