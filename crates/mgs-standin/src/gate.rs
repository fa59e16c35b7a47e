//! Where the calls of a stand-in wait while it is frozen, and notice that it has crashed.

use std::sync::Condvar;
use std::sync::Mutex;

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
