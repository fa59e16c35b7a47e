//! Parts of prompts on which runs have begun to write, at this gateway.

use std::collections::HashMap;

use crate::fingerprint::Fingerprint;
use crate::times::forget_oldest;

/// When a run last began to write on each part.
///
/// ```
/// use mgs_quarantine::begun::BegunParts;
/// use mgs_quarantine::fingerprint::Fingerprint;
///
/// let mut begun = BegunParts::default();
/// begun.record(Fingerprint(1), 0.0);
/// begun.record(Fingerprint(2), 5.0);
/// begun.forget(5.0, 10);
/// assert!(!begun.contains(Fingerprint(1)));
/// assert!(begun.contains(Fingerprint(2)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct BegunParts {
    begun_ms: HashMap<Fingerprint, f64>,
}

impl BegunParts {
    /// Records that a run has begun to write on a part.
    pub fn record(&mut self, part: Fingerprint, now_ms: f64) {
        self.begun_ms.insert(part, now_ms);
    }

    /// Whether a run is remembered that began to write on a part.
    pub fn contains(&self, part: Fingerprint) -> bool {
        self.begun_ms.contains_key(&part)
    }

    /// Forgets runs before `before_ms`, and the oldest if there are more than `most` parts.
    pub fn forget(&mut self, before_ms: f64, most: usize) {
        forget_oldest(&mut self.begun_ms, before_ms, most);
    }
}
