//! Where the calls of a stand-in wait while it is frozen, and notice that it has crashed.

use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Debug, Clone, Copy, Default)]
struct State {
    frozen: bool,
    life: u64,
}

/// A switch for freezing and a count of crashes.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    state: Mutex<State>,
    changed: Condvar,
}

impl Gate {
    /// Waits until it isn't frozen and says which life this is; a crash begins another one.
    pub(crate) fn pass(&self) -> u64 {
        let state = self.state.lock().expect("no holder panics");
        let state = self.changed.wait_while(state, |state| state.frozen);
        state.expect("no holder panics").life
    }

    /// Says which life this is, frozen or not.
    pub(crate) fn life(&self) -> u64 {
        self.state.lock().expect("no holder panics").life
    }

    /// Sleeps until a time, or until the life ends.
    pub(crate) fn sleep_until(&self, life: u64, until: Instant) {
        let state = self.state.lock().expect("no holder panics");
        let timeout = until.saturating_duration_since(Instant::now());
        let lives = |state: &mut State| state.life == life;
        let slept = self.changed.wait_timeout_while(state, timeout, lives);
        drop(slept.expect("no holder panics"));
    }

    /// Freezes or thaws.
    pub(crate) fn freeze(&self, frozen: bool) {
        self.state.lock().expect("no holder panics").frozen = frozen;
        self.changed.notify_all();
    }

    /// Begins another life.
    pub(crate) fn crash(&self) {
        self.state.lock().expect("no holder panics").life += 1;
        self.changed.notify_all();
    }
}
