//! Starting and stopping a sidecar.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use displaydoc::Display;
use mgs_engine::engine::Engine;
use mgs_schema::settings::EndpointKind;
use mgs_transport::runtime;
use mgs_transport::runtime::Runtime;
use mgs_transport::server;
use mgs_transport::server::Server;

use crate::handler::Door;
use crate::report::load_report;
use crate::service;
use crate::state::Endpoint;
use crate::state::Shared;

/// Settings of a sidecar.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the endpoint.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// What stands behind it.
    pub kind: EndpointKind,
    /// Where gateways reach it.
    pub listen: SocketAddr,
    /// Where `/metrics`, `/healthz` and `/readyz` are served; nowhere if not given.
    pub admin_listen: Option<SocketAddr>,
    /// Base address of the endpoint, `http://IP:PORT`.
    pub endpoint_url: String,
    /// Base address of the platform's services; none are used if not given.
    pub platform_url: Option<String>,
    /// Time between looks at what is due, in milliseconds.
    pub tick_ms: u64,
    /// Threads that drive connections.
    pub transport_threads: usize,
    /// Settings of the connections from gateways.
    pub server: server::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "endpoint-1".to_string(),
            zone: "zone-1".to_string(),
            kind: EndpointKind::Engine,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            admin_listen: None,
            endpoint_url: "http://127.0.0.1:7500".to_string(),
            platform_url: None,
            tick_ms: 20,
            transport_threads: 2,
            server: server::Options {
                reply_backlog_max: 1 << 20,
                ..server::Options::default()
            },
        }
    }
}

/// Why a sidecar can't start.
#[derive(Debug, Display)]
pub enum Error {
    /// can't listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// can't start threads: {0}
    Threads(std::io::Error),
}

impl std::error::Error for Error {}

/// A running sidecar; stops when dropped.
pub struct Sidecar {
    shared: Arc<Shared>,
    server: Option<Server>,
    address: SocketAddr,
    timer: Option<JoinHandle<()>>,
    _runtime: Runtime,
}

impl Sidecar {
    /// Starts a sidecar for the endpoint that the options name.
    ///
    /// ```
    /// use mgs_sidecar::sidecar::Options;
    /// use mgs_sidecar::sidecar::Sidecar;
    ///
    /// let sidecar = Sidecar::start(Options { name: "engine-1".into(), ..Options::default() }).unwrap();
    /// assert_ne!(sidecar.address().port(), 0);
    /// sidecar.stop();
    /// ```
    pub fn start(options: Options) -> Result<Self, Error> {
        let endpoint = match options.kind {
            EndpointKind::Service => Endpoint::Service(service::Client::new(service::Options {
                base_url: options.endpoint_url.clone(),
                ..service::Options::default()
            })),
            _ => Endpoint::Engine(Box::new(mgs_engine::http::Client::new(
                mgs_engine::http::Options {
                    base_url: options.endpoint_url.clone(),
                    ..mgs_engine::http::Options::default()
                },
            ))),
        };
        Self::run(options, endpoint)
    }

    /// Starts a sidecar before a given engine.
    pub fn start_with_engine(options: Options, engine: Box<dyn Engine>) -> Result<Self, Error> {
        Self::run(options, Endpoint::Engine(engine))
    }

    fn run(options: Options, endpoint: Endpoint) -> Result<Self, Error> {
        let listen = options.listen;
        let listener = TcpListener::bind(listen).map_err(|error| Error::Listen(listen, error))?;
        let runtime = Runtime::new(&runtime::Options {
            threads: options.transport_threads,
        })
        .map_err(Error::Threads)?;
        let incarnation = rand::random_range(1..=u64::MAX);
        let shared = Arc::new(Shared::new(options, incarnation, endpoint));
        let door = Arc::new(Door {
            shared: shared.clone(),
        });
        let server = Server::start(&runtime, listener, &shared.options.server, door)
            .map_err(Error::Threads)?;
        let timer = spawn_timer(&shared)?;
        Ok(Self {
            address: server.address(),
            shared,
            server: Some(server),
            timer: Some(timer),
            _runtime: runtime,
        })
    }

    /// Where gateways reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number that this start has and no other.
    pub fn incarnation(&self) -> u64 {
        self.shared.incarnation
    }

    /// Refuses new work from now on, tells the gateways, and waits until what runs has ended.
    pub fn drain(&self) {
        self.shared.leaving.store(true, Ordering::Release);
        let shared = &self.shared;
        let now_ms = shared.now_ms();
        shared
            .reporter
            .send(now_ms, true, |first| load_report(shared, first));
        let pause = Duration::from_millis(shared.options.tick_ms);
        while shared.entries().values().any(|e| !e.answer.is_ended()) {
            std::thread::sleep(pause);
        }
    }

    /// Stops at once; what runs is cut off from its readers.
    pub fn stop(mut self) {
        self.halt();
    }

    fn halt(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        self.server = None;
        if let Some(timer) = self.timer.take() {
            // A panic of the timer was logged by its thread.
            let _ = timer.join();
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.halt();
    }
}

fn spawn_timer(shared: &Arc<Shared>) -> Result<JoinHandle<()>, Error> {
    let shared = shared.clone();
    std::thread::Builder::new()
        .name("sidecar-timer".to_string())
        .spawn(move || {
            let pause = Duration::from_millis(shared.options.tick_ms);
            while !shared.is_stopped() {
                let now_ms = shared.now_ms();
                shared
                    .reporter
                    .send(now_ms, false, |first| load_report(&shared, first));
                std::thread::sleep(pause);
            }
        })
        .map_err(Error::Threads)
}
