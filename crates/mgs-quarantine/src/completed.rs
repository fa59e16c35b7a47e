//! When requests last completed, at this gateway.

use std::collections::HashMap;

use crate::fingerprint::Fingerprint;

/// Longest time for which a generation takes up requests, in milliseconds.
const GENERATION_MS: f64 = 300_000.0;

/// Most requests of a generation. A request that is sent often enough to run on all endpoints is
/// recorded again in each of them.
const GENERATION_MAX: usize = 4_096;

/// When requests last completed, in two generations: the older one is forgotten as a whole, so that
/// recording and forgetting take constant time.
///
/// ```
/// use mgs_quarantine::completed::CompletedRequests;
/// use mgs_quarantine::fingerprint::Fingerprint;
///
/// let mut completed = CompletedRequests::default();
/// completed.record(Fingerprint(1), 50.0);
/// assert_eq!(completed.last_ms(Fingerprint(1)), Some(50.0));
/// assert_eq!(completed.last_ms(Fingerprint(2)), None);
/// ```
#[derive(Debug, Default)]
pub struct CompletedRequests {
    current: HashMap<Fingerprint, f64>,
    previous: HashMap<Fingerprint, f64>,
    current_since_ms: f64,
}

impl CompletedRequests {
    /// Records that a run of a request has completed.
    pub fn record(&mut self, fingerprint: Fingerprint, now_ms: f64) {
        let is_old = now_ms - self.current_since_ms > GENERATION_MS;
        if is_old || self.current.len() >= GENERATION_MAX {
            self.previous = std::mem::take(&mut self.current);
            self.current_since_ms = now_ms;
        }
        self.current.insert(fingerprint, now_ms);
    }

    /// When a run of a request last completed, in milliseconds, if that is remembered.
    pub fn last_ms(&self, fingerprint: Fingerprint) -> Option<f64> {
        let current = self.current.get(&fingerprint);
        current.or(self.previous.get(&fingerprint)).copied()
    }
}
