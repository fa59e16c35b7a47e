//! Waiting for the signal to stop, and the graceful end after it.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::error::Error;

const SIGNAL_CHECK_MS: u64 = 50;

/// SIGTERM and SIGINT, taken from the default action at its making.
#[derive(Debug)]
pub struct Stop {
    signals: Signals,
}

impl Stop {
    /// Takes the signals over; make it before the role starts, so that none is lost.
    pub fn new() -> Result<Self, Error> {
        let signals = Signals::new([SIGTERM, SIGINT]);
        let signals = signals.map_err(|error| Error::Failed(format!("no signals: {error}")))?;
        Ok(Self { signals })
    }

    /// Blocks until one of the signals comes.
    pub fn wait(&mut self) {
        self.signals.forever().next();
    }

    /// Blocks until one of the signals comes or `is_over` says that there is no use in going on.
    pub fn wait_unless(&mut self, is_over: impl Fn() -> bool) {
        while !self.is_asked() && !is_over() {
            thread::sleep(Duration::from_millis(SIGNAL_CHECK_MS));
        }
    }

    /// Whether one of the signals came since the last look.
    pub fn is_asked(&mut self) -> bool {
        self.signals.pending().next().is_some()
    }

    /// Runs `drain` on a thread of its own until it is done, its time is over, or another signal
    /// comes. Fails in the last two cases, since work was cut off.
    pub fn drain<F>(&mut self, limit_ms: u64, drain: F) -> Result<(), Error>
    where
        F: FnOnce() + Send + 'static,
    {
        let (done, finished) = mpsc::channel();
        thread::spawn(move || {
            drain();
            // The receiver is gone when the time was over; the process ends then.
            let _ = done.send(());
        });
        let end = Instant::now() + Duration::from_millis(limit_ms);
        let pause = Duration::from_millis(SIGNAL_CHECK_MS);
        loop {
            if finished.recv_timeout(pause).is_ok() {
                return Ok(());
            }
            if self.is_asked() {
                let text = "stopped by a second signal; work in flight was cut off";
                return Err(Error::Failed(text.to_string()));
            }
            if Instant::now() >= end {
                let text = format!(
                    "work was still in flight {limit_ms} ms after the signal and was cut off; \
                     give a longer --drain-ms"
                );
                return Err(Error::Failed(text));
            }
        }
    }
}
