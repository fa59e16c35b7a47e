//! The platform's list of hosts, which lags behind what happens.

use serde::Deserialize;
use serde::Serialize;

use crate::Error;

/// Whether a host stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It stays.
    Live,
    /// It leaves soon.
    Leaving,
}

/// One host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// IP number, or `IP:PORT` where several stand-ins share one number.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Whether it stays.
    pub state: State,
}

/// The list of hosts.
pub trait Hosts: Send + Sync {
    /// Reads the whole list.
    fn list(&self) -> Result<Vec<Host>, Error>;
}
