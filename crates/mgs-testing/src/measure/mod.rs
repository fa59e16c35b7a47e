//! Measuring real processes: what they hold, send and spend, and how it grows.

pub mod control;
pub mod fit;
pub mod open;
pub mod overhead;
pub mod plot;
pub mod process;
pub mod relay;
pub mod slopes;
pub mod socket;
pub mod system;

use std::io;

use displaydoc::Display;

use crate::cluster;

/// Why something can't be measured.
#[derive(Debug, Display)]
pub enum Error {
    /// the system can't be run: {0}
    System(cluster::Error),
    /// input or output: {0}
    Io(io::Error),
    /// a process can't be watched: {0}
    Watch(String),
    /// a call ended without a whole answer: {0}
    Call(String),
    /// a plot can't be written: {0}
    Plot(String),
    /// not ready in time: {0}
    NotReady(String),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<cluster::Error> for Error {
    fn from(error: cluster::Error) -> Self {
        Self::System(error)
    }
}
