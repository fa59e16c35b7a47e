//! Recording from many threads.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use crate::history::Entry;
use crate::history::Event;

/// Takes events from any thread and stamps them with one monotonic clock.
///
/// ```
/// use mgs_testing::history::Event;
/// use mgs_testing::history::Recorder;
///
/// let recorder = Recorder::default();
/// recorder.record(Event::Accepted { version: 1 });
/// assert_eq!(recorder.entries().len(), 1);
/// ```
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    entries: Mutex<Vec<Entry>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            entries: Mutex::new(Vec::new()),
        }
    }
}

impl Recorder {
    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.ms_of(Instant::now())
    }

    /// When `instant` was, in milliseconds since the start of the run; 0 if before it.
    pub fn ms_of(&self, instant: Instant) -> u64 {
        let since = instant.saturating_duration_since(self.start);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// Records an event as happening now.
    pub fn record(&self, event: Event) {
        let mut entries = self.locked();
        // Read under the lock, so that the entries stay in order.
        let at_ms = self.now_ms();
        entries.push(Entry { at_ms, event });
    }

    /// Records an event that happened at `instant`.
    pub fn record_at(&self, instant: Instant, event: Event) {
        let at_ms = self.ms_of(instant);
        self.locked().push(Entry { at_ms, event });
    }

    /// All events so far, in order of time.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.locked().clone();
        entries.sort_by_key(|entry| entry.at_ms);
        entries
    }

    /// A panic while the lock was held leaves a list that is still whole.
    fn locked(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
