//! Leaving: what is open ends, nothing new begins, and then the process stops.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

/// When a client may come back to another host, in milliseconds.
pub(crate) const RETRY_AFTER_LEAVING_MS: u64 = 50;

/// Settings of leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long new requests are still taken, in milliseconds. The balancer asks each second and needs
    /// two misses.
    pub accept_ms: u64,
    /// When what is still open is cut, in milliseconds from the signal; before the platform kills.
    pub end_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            accept_ms: 2_800,
            end_ms: 7_700,
        }
    }
}

/// Where leaving stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Serving.
    Serving,
    /// Not ready any more; requests are still taken, connections closed after their answer.
    Closing,
    /// Nothing new is taken.
    Ending,
}

/// The state of leaving, shared by all connections.
#[derive(Debug)]
pub(crate) struct Drain {
    phase: watch::Sender<Phase>,
    open: Cell<usize>,
}

impl Drain {
    pub(crate) fn new() -> Self {
        let (phase, _) = watch::channel(Phase::Serving);
        Self {
            phase,
            open: Cell::new(0),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub(crate) fn watch(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    pub(crate) fn open_requests(&self) -> usize {
        self.open.get()
    }

    pub(crate) fn begin_request(&self) {
        self.open.set(self.open.get() + 1);
    }

    pub(crate) fn end_request(&self) {
        self.open.set(self.open.get().saturating_sub(1));
    }

    /// Leaves: comes back when nothing is open any more, or when time is up.
    pub(crate) async fn leave(&self, options: Options) {
        const LOOK: Duration = Duration::from_millis(50);
        let start = Instant::now();
        self.phase.send_replace(Phase::Closing);
        tokio::time::sleep(Duration::from_millis(options.accept_ms)).await;
        self.phase.send_replace(Phase::Ending);
        let end = Duration::from_millis(options.end_ms);
        // A moment for the last answers to leave the sockets.
        tokio::time::sleep(LOOK).await;
        while self.open.get() > 0 && start.elapsed() < end {
            tokio::time::sleep(LOOK).await;
        }
        tokio::time::sleep(LOOK).await;
    }
}
