//! The platform: table service, object store, weight store and list of hosts.
//!
//! [`memory::Memory`] keeps all four and brings about their faults; tests without sockets use it
//! alone. [`Platform`] serves it over HTTP by the protocol of [`mgs_platform::http`], and besides:
//!
//! | call | request | answer |
//! |---|---|---|
//! | faults | `GET`, `POST /faults`, [`faults::Settings`] | 200 |
//! | counters | `GET /counters` | 200, [`faults::Counters`] |
//! | hosts | `PUT /hosts`, a list of [`Host`](mgs_platform::host::Host) | 204 |

pub mod faults;
pub mod memory;
mod server;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::http::Server;
use faults::Faults;
use memory::Memory;

/// Settings of the platform's stand-in.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where to listen, `IP:PORT`; port 0 takes a free one.
    pub listen: String,
    /// How long a change of the list of hosts stays unseen, in milliseconds.
    pub hosts_lag_ms: u64,
    /// Loads of weights permitted in a second.
    pub weights_per_s: f64,
    /// Loads of weights permitted at once.
    pub weights_burst: f64,
    /// Faults at the start.
    pub faults: faults::Settings,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: "127.0.0.1:0".to_string(),
            hosts_lag_ms: 0,
            weights_per_s: 1_000.0,
            weights_burst: 1_000.0,
            faults: faults::Settings::default(),
        }
    }
}

/// The platform's stand-in as a server; it stops when dropped.
pub struct Platform {
    memory: Arc<Memory>,
    server: Server,
}

impl Platform {
    /// Starts the server.
    ///
    /// ```
    /// use mgs_standin::platform::Options;
    /// use mgs_standin::platform::Platform;
    ///
    /// let platform = Platform::start(Options::default())?;
    /// assert!(platform.url().starts_with("http://127.0.0.1:"));
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(options: Options) -> io::Result<Self> {
        let listen = options.listen.clone();
        let memory = Arc::new(Memory::new(options));
        let handler = server::PlatformHandler::new(Arc::clone(&memory));
        let server = Server::start(&listen, "platform", Arc::new(handler))?;
        Ok(Self { memory, server })
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The base address for [`mgs_platform::http::Options`].
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// What the server serves.
    pub fn memory(&self) -> &Arc<Memory> {
        &self.memory
    }

    /// The faults and counters.
    pub fn faults(&self) -> &Faults {
        self.memory.faults()
    }

    /// Stops to take calls.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}
