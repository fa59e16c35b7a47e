//! A model engine: continuous batching by a stated cost model, over HTTP.
//!
//! It speaks the protocol of [`mgs_engine`]. Its cost model is told at [`Options`], its text at
//! [`text`], its memory at [`memory`]. Beside the protocol, for when it is a process:
//!
//! | call | request | answer |
//! |---|---|---|
//! | crash | `POST /control/crash` | 204 |
//! | freeze | `POST /control/freeze`, `POST /control/thaw` | 204 |
//! | runs | `GET /control/executions` | 200, a list |
//! | orders | `GET /control/orders` | 200, a list |
//! | memory | `GET /control/memory` | 200, [`MemoryUse`] |

mod batch;
mod core;
mod held;
mod job;
mod journal;
pub mod memory;
mod options;
mod progress;
mod report;
mod server;
pub mod text;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

pub use self::core::MemoryUse;
pub use journal::Execution;
pub use journal::OrderSeen;
pub use journal::RunEnd;
pub use options::Options;

use self::core::Core;
use crate::http::Server;

/// The engine's stand-in as a server; it stops when dropped.
pub struct Engine {
    core: Arc<Core>,
    server: Server,
    scheduler: Option<JoinHandle<()>>,
}

impl Engine {
    /// Starts the server and the scheduler.
    ///
    /// ```
    /// use mgs_engine::engine::Engine as _;
    /// use mgs_standin::engine::Engine;
    /// use mgs_standin::engine::Options;
    ///
    /// let engine = Engine::start(Options { time_scale: 100.0, ..Options::default() })?;
    /// let client = mgs_engine::http::Client::new(mgs_engine::http::Options {
    ///     base_url: engine.url(),
    ///     ..mgs_engine::http::Options::default()
    /// });
    /// assert_eq!(client.info().map(|info| info.role), Ok("serve".to_string()));
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(options: Options) -> io::Result<Self> {
        let listen = options.listen.clone();
        let core = Arc::new(Core::new(options));
        let handler = server::EngineHandler::new(Arc::clone(&core));
        let server = Server::start(&listen, "engine", Arc::new(handler))?;
        let scheduler = {
            let core = Arc::clone(&core);
            let name = "engine-batch".to_string();
            thread::Builder::new()
                .name(name)
                .spawn(move || core.run())?
        };
        Ok(Self {
            core,
            server,
            scheduler: Some(scheduler),
        })
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The base address for [`mgs_engine::http::Options`].
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Random at the start and after each crash.
    pub fn boot(&self) -> u64 {
        self.core.info().boot
    }

    /// Forgets streams, memory, models and orders, cuts all connections and begins anew.
    pub fn crash(&self) {
        self.core.crash();
    }

    /// Stops to answer and to generate, or goes on; connections stay.
    pub fn freeze(&self, frozen: bool) {
        self.core.gate.freeze(frozen);
    }

    /// The memory as it is now.
    pub fn memory(&self) -> MemoryUse {
        self.core.memory()
    }

    /// Everything that ever ran here; a crash doesn't forget it.
    pub fn executions(&self) -> Vec<Execution> {
        self.core.journal.executions()
    }

    /// How often a stream ran here.
    pub fn executions_of(&self, stream: &str) -> usize {
        let executions = self.executions();
        executions.iter().filter(|run| run.stream == stream).count()
    }

    /// Every order that ever came; a crash doesn't forget it.
    pub fn orders(&self) -> Vec<OrderSeen> {
        self.core.journal.orders()
    }

    /// Stops the scheduler, cuts all streams and takes no more calls.
    pub fn stop(&mut self) {
        self.core.stop();
        self.server.stop();
        if let Some(scheduler) = self.scheduler.take() {
            scheduler.join().expect("the scheduler doesn't panic");
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop();
    }
}
