//! Waits for a signal to stop and bounds the graceful shutdown after it.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::error::Error;

const SIGNAL_POLL_MS: u64 = 50;

/// Handler of SIGTERM and SIGINT, which replaces their default action when it is created.
#[derive(Debug)]
pub struct ShutdownSignals {
    signals: Signals,
}

impl ShutdownSignals {
    /// Installs the handler; create it before the role starts, so that no signal ends the process
    /// without a shutdown. Fails if the handler can't be installed.
    pub fn new() -> Result<Self, Error> {
        let signals = Signals::new([SIGTERM, SIGINT]);
        let signals = signals
            .map_err(|error| Error::Failed(format!("can't install signal handlers: {error}")))?;
        Ok(Self { signals })
    }

    /// Blocks until a signal arrives.
    pub fn wait(&mut self) {
        self.signals.forever().next();
    }

    /// Blocks until a signal arrives or `condition` returns true.
    pub fn wait_or_until(&mut self, condition: impl Fn() -> bool) {
        while !self.take_pending() && !condition() {
            thread::sleep(Duration::from_millis(SIGNAL_POLL_MS));
        }
    }

    /// Whether a signal has arrived since the last call.
    pub fn take_pending(&mut self) -> bool {
        self.signals.pending().next().is_some()
    }

    /// Runs `drain` on a separate thread until it returns, `limit_ms` have passed or another signal
    /// arrives. Fails in the last two cases, since open requests are aborted.
    pub fn drain<F>(&mut self, limit_ms: u64, drain: F) -> Result<(), Error>
    where
        F: FnOnce() + Send + 'static,
    {
        let (completed, completion) = mpsc::channel();
        thread::spawn(move || {
            drain();
            // The receiver is dropped after the time limit; the process is exiting then.
            let _ = completed.send(());
        });
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        let poll_interval = Duration::from_millis(SIGNAL_POLL_MS);
        loop {
            if completion.recv_timeout(poll_interval).is_ok() {
                return Ok(());
            }
            if self.take_pending() {
                let text = "stopped by a second signal; open requests were aborted";
                return Err(Error::Failed(text.to_string()));
            }
            if Instant::now() >= deadline {
                let text = format!(
                    "requests were still open {limit_ms} ms after the signal and were aborted; \
                     give a longer --drain-ms"
                );
                return Err(Error::Failed(text));
            }
        }
    }
}
