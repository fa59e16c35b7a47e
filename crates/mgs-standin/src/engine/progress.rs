//! How far a stream has come, shared by the scheduler and the stream's readers.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct End {
    /// Prompt tokens found in the cache.
    pub(super) cached_tokens: u64,
    /// Whether it was cancelled.
    pub(super) cancelled: bool,
}

/// What a reader sees.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Seen {
    /// Tokens generated.
    pub(super) generated: u64,
    /// The end, if it has come.
    pub(super) end: Option<End>,
    /// Whether the engine has crashed or stopped.
    pub(super) broken: bool,
    /// Whether a reader has been given the end.
    pub(super) end_read: bool,
}

/// The progress of one stream.
#[derive(Debug)]
pub(super) struct Progress {
    /// Names the prompt.
    pub(super) prompt_hash: u64,
    /// Tokens of the prompt.
    pub(super) prompt_tokens: u64,
    seen: Mutex<Seen>,
    changed: Condvar,
}

impl Progress {
    /// A stream that has generated nothing.
    pub(super) fn new(prompt_hash: u64, prompt_tokens: u64) -> Self {
        Self {
            prompt_hash,
            prompt_tokens,
            seen: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().expect("no holder panics")
    }

    /// What there is now.
    pub(super) fn seen(&self) -> Seen {
        *self.lock()
    }

    /// Waits until there are more than `read` tokens, or the end.
    pub(super) fn wait(&self, read: u64) -> Seen {
        let nothing =
            |seen: &mut Seen| seen.generated <= read && seen.end.is_none() && !seen.broken;
        let seen = self.changed.wait_while(self.lock(), nothing);
        *seen.expect("no holder panics")
    }

    /// Adds a token.
    pub(super) fn generate(&self) {
        self.lock().generated += 1;
        self.changed.notify_all();
    }

    /// Ends it.
    pub(super) fn end(&self, end: End) {
        self.lock().end = Some(end);
        self.changed.notify_all();
    }

    /// Cuts its readers.
    pub(super) fn cut(&self) {
        self.lock().broken = true;
        self.changed.notify_all();
    }

    /// Notes that a reader has been given the end.
    pub(super) fn note_end_read(&self) {
        self.lock().end_read = true;
    }
}
