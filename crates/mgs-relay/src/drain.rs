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
    /// When what is still open is cut, once that is known.
    end_at: Cell<Option<Instant>>,
    open: Cell<usize>,
}

impl Drain {
    pub(crate) fn new() -> Self {
        let (phase, _) = watch::channel(Phase::Serving);
        Self {
            phase,
            end_at: Cell::new(None),
            open: Cell::new(0),
        }
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Time until what is still open is cut, in milliseconds; `None` while this host stays.
    pub(crate) fn left_ms(&self) -> Option<f64> {
        let end_at = self.end_at.get()?;
        let left = end_at.saturating_duration_since(Instant::now());
        Some(left.as_secs_f64() * 1e3)
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
        let end_at = Instant::now() + Duration::from_millis(options.end_ms);
        self.end_at.set(Some(end_at));
        self.phase.send_replace(Phase::Closing);
        tokio::time::sleep(Duration::from_millis(options.accept_ms)).await;
        self.phase.send_replace(Phase::Ending);
        // A moment for the last answers to leave the sockets.
        tokio::time::sleep(LOOK).await;
        while self.open.get() > 0 && Instant::now() < end_at {
            tokio::time::sleep(LOOK).await;
        }
        tokio::time::sleep(LOOK).await;
    }
}
