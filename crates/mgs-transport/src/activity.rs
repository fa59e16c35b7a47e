//! Whether a connection owes somebody an answer.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// What goes on on a connection.
#[derive(Debug)]
pub(crate) struct Activity {
    /// Calls that wait for their first answer.
    unanswered: AtomicUsize,
    /// Calls that wait for any answer.
    open: AtomicUsize,
    /// Whether anything came since the last look.
    heard: AtomicBool,
}

impl Activity {
    pub(crate) fn new() -> Self {
        Self {
            unanswered: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            heard: AtomicBool::new(false),
        }
    }

    /// Whether the path is to be tried now: a call has had no answer at all, so that the way out
    /// may be dead although answers to others come in; or nothing came since the last look.
    pub(crate) fn is_waiting(&self) -> bool {
        let heard = self.heard.swap(false, Ordering::AcqRel);
        let open = self.open.load(Ordering::Acquire);
        self.unanswered.load(Ordering::Acquire) > 0 || (open > 0 && !heard)
    }
}

/// One call's part in the activity.
#[derive(Debug)]
pub(crate) struct Heard {
    activity: Arc<Activity>,
    waits: bool,
    answered: bool,
}

impl Heard {
    /// A call starts; `waits` unless its answers come whenever they like.
    pub(crate) fn new(activity: &Arc<Activity>, waits: bool) -> Self {
        activity.unanswered.fetch_add(1, Ordering::AcqRel);
        if waits {
            activity.open.fetch_add(1, Ordering::AcqRel);
        }
        Self {
            activity: activity.clone(),
            waits,
            answered: false,
        }
    }

    /// A part of an answer came.
    pub(crate) fn note(&mut self) {
        self.activity.heard.store(true, Ordering::Release);
        if !self.answered {
            self.answered = true;
            self.activity.unanswered.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

impl Drop for Heard {
    fn drop(&mut self) {
        if !self.answered {
            self.activity.unanswered.fetch_sub(1, Ordering::AcqRel);
        }
        if self.waits {
            self.activity.open.fetch_sub(1, Ordering::AcqRel);
        }
    }
}
