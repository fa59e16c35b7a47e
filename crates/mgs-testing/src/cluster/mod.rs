//! A small system of real processes behind the fault proxy.
//!
//! Gateways and sidecars are processes of the `marigoldstage` binary; the platform, the engines
//! and the plain services are stand-ins in this process, so that their counters can be read. Each
//! connection between two of them passes a [`crate::proxy::Route`].

mod binary;
mod endpoint;
mod fleet;
mod member;
mod process;
mod table;
mod warm;

use std::io;

use displaydoc::Display;

pub use binary::find as find_binary;
pub use endpoint::Endpoint;
pub use endpoint::Run;
pub use endpoint::Standin;
pub use fleet::Cluster;
pub use fleet::Options;
pub use member::Member;
pub use process::kill_all;
pub use table::BEARER_KEY;
pub use table::MODEL;
pub use table::SERVICE;

/// Why the system can't be run.
#[derive(Debug, Display)]
pub enum Error {
    /// no `marigoldstage` binary beside {0}: build it first, or name it
    NoBinary(String),
    /// {0}: {1}
    Process(String, io::Error),
    /// {0} is not ready after {1} ms; its log is {2}
    NotReady(String, u64, String),
    /// the table isn't accepted: {0}
    Table(String),
    /// no proxy or stand-in: {0}
    Io(io::Error),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
