//! Waiting for the signal to stop.

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::error::Error;

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
}
