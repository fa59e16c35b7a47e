//! Graceful shutdown: open requests end, no new ones are accepted, and then the process stops.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

/// `Retry-After` while this host shuts down, in milliseconds; the client then reaches another host.
pub(crate) const RETRY_AFTER_LEAVING_MS: u64 = 50;

/// Time before the end at which requests without a response are told that they get none: it takes as
/// long until the last of these answers is sent.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// Settings of the graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// How long new requests are still accepted, in milliseconds. The balancer checks every second
    /// and needs two failed checks.
    pub accept_ms: u64,
    /// When requests that are still open are aborted, in milliseconds from the signal; must be
    /// before the platform kills the process.
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

/// Phase of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Normal operation.
    Serving,
    /// Reports not ready. Requests are still accepted, and connections close after their response.
    Closing,
    /// New requests are refused.
    Ending,
}

/// Shutdown state, shared by all connections.
#[derive(Debug)]
pub(crate) struct Drain {
    phase: watch::Sender<Phase>,
    /// When requests that are still open are aborted, once a shutdown has begun.
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

    /// Time until open requests are aborted, in milliseconds; `None` without a shutdown.
    pub(crate) fn left_ms(&self) -> Option<f64> {
        let end_at = self.end_at.get()?;
        let left = end_at.saturating_duration_since(Instant::now());
        Some(left.as_secs_f64() * 1e3)
    }

    /// Returns when requests that have no response yet must be told that they get none, shortly before
    /// they would be aborted; never without a shutdown.
    pub(crate) async fn until_last_answers(&self) {
        let mut phase = self.subscribe();
        // The sender lives as long as this.
        let _ = phase.wait_for(|phase| *phase != Phase::Serving).await;
        match self.end_at.get() {
            Some(end_at) => tokio::time::sleep_until((end_at - LAST_ANSWERS).into()).await,
            None => std::future::pending().await,
        }
    }

    /// Whether new requests are refused, and one that may last as long as this could be aborted.
    pub(crate) fn may_abort(&self, longest: Duration) -> bool {
        let end_at = self.end_at.get().filter(|_| self.phase() == Phase::Ending);
        end_at.is_some_and(|end_at| Instant::now() + longest > end_at - LAST_ANSWERS)
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Phase> {
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

    /// Shuts down; returns when no request is open any more or the time is up.
    pub(crate) async fn drain_requests(&self, options: Options) {
        const POLL_INTERVAL: Duration = Duration::from_millis(50);
        let end_at = Instant::now() + Duration::from_millis(options.end_ms);
        self.end_at.set(Some(end_at));
        self.phase.send_replace(Phase::Closing);
        tokio::time::sleep(Duration::from_millis(options.accept_ms)).await;
        self.phase.send_replace(Phase::Ending);
        // Leaves time for the last responses to be sent.
        tokio::time::sleep(POLL_INTERVAL).await;
        while self.open.get() > 0 && Instant::now() < end_at {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
