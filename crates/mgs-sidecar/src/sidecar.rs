//! Starting and stopping a sidecar.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use displaydoc::Display;
use mgs_engine::engine::Engine;
use mgs_ledger::cache;
use mgs_ledger::ledger;
use mgs_observe::admin;
use mgs_observe::admin::AdminServer;
use mgs_observe::admin::Health;
use mgs_observe::metrics::Registry;
use mgs_platform::host::Hosts;
use mgs_platform::table::Table;
use mgs_schema::settings::EndpointKind;
use mgs_transport::runtime;
use mgs_transport::runtime::Runtime;
use mgs_transport::server;
use mgs_transport::server::Server;

use crate::caller;
use crate::handler::CallHandler;
use crate::member::Membership;
use crate::order::Orders;
use crate::service;
use crate::state::Endpoint;
use crate::state::Shared;
use crate::watcher::Watcher;

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
    /// Time between looks at whether the endpoint is there, in milliseconds.
    pub endpoint_poll_ms: u64,
    /// Time between comparisons with the engine's own lists, in milliseconds.
    pub reconcile_ms: u64,
    /// Longest wait for the engine's answer to a short call, in milliseconds.
    pub call_timeout_ms: u64,
    /// Longest silence of a stream before it is read on over a new connection, in milliseconds.
    pub stream_silence_ms: u64,
    /// How long an engine that doesn't answer is asked for a stream, in milliseconds.
    pub endpoint_silence_ms: u64,
    /// How long a start whose answer was lost is looked up, in milliseconds.
    pub start_lookup_ms: u64,
    /// How long an order to unload a model waits for its requests before it is answered, in
    /// milliseconds.
    pub unload_wait_ms: u64,
    /// Time between looks at the sidecar's own row in the table service, in milliseconds.
    pub member_poll_ms: u64,
    /// Time between readings of the platform's list of hosts, in milliseconds.
    pub hosts_poll_ms: u64,
    /// Threads that drive connections.
    pub transport_threads: usize,
    /// Settings of the connections from gateways.
    pub server: server::Options,
    /// Settings of the ledger.
    pub ledger: ledger::Options,
    /// Settings of the index of the engine's cache.
    pub cache: cache::Options,
    /// Where the metrics are registered.
    pub registry: Registry,
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
            endpoint_poll_ms: 250,
            reconcile_ms: 2_000,
            call_timeout_ms: 1_000,
            stream_silence_ms: 1_000,
            endpoint_silence_ms: 10_000,
            start_lookup_ms: 3_000,
            unload_wait_ms: 2_000,
            member_poll_ms: 10_000,
            hosts_poll_ms: 5_000,
            transport_threads: 2,
            server: server::Options {
                reply_backlog_max: 1 << 20,
                ..server::Options::default()
            },
            ledger: ledger::Options::default(),
            cache: cache::Options::default(),
            registry: Registry::new(),
        }
    }
}

/// What stands around a sidecar, as trait objects.
#[derive(Default)]
pub struct Parts {
    /// The engine; the one at `endpoint_url` if not given.
    pub engine: Option<Box<dyn Engine>>,
    /// The table service; the one at `platform_url` if not given.
    pub table: Option<Arc<dyn Table>>,
    /// The list of hosts; the one at `platform_url` if not given.
    pub hosts: Option<Arc<dyn Hosts>>,
}

/// Why a sidecar can't start.
#[derive(Debug, Display)]
pub enum Error {
    /// can't listen on {0}: {1}
    Listen(SocketAddr, io::Error),
    /// can't start threads: {0}
    Threads(io::Error),
    /// {0}
    Admin(admin::Error),
}

impl std::error::Error for Error {}

/// Time given to the transport to send what was answered last, in milliseconds.
const FLUSH_MS: u64 = 250;

/// A running sidecar; stops when dropped.
pub struct Sidecar {
    shared: Arc<Shared>,
    server: Option<Server>,
    address: SocketAddr,
    admin: Option<AdminServer>,
    threads: Vec<JoinHandle<()>>,
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
        Self::start_with(options, Parts::default())
    }

    /// Starts a sidecar before a given engine.
    pub fn start_with_engine(options: Options, engine: Box<dyn Engine>) -> Result<Self, Error> {
        let parts = Parts {
            engine: Some(engine),
            ..Parts::default()
        };
        Self::start_with(options, parts)
    }

    /// Starts a sidecar among given parts.
    pub fn start_with(options: Options, mut parts: Parts) -> Result<Self, Error> {
        let listen = options.listen;
        let listener = TcpListener::bind(listen).map_err(|error| Error::Listen(listen, error))?;
        let runtime_options = runtime::Options {
            threads: options.transport_threads,
        };
        let runtime = Runtime::new(&runtime_options).map_err(Error::Threads)?;
        let endpoint = endpoint(&options, parts.engine.take());
        add_platform(&options, &mut parts);
        let orders = Orders::new(
            &options.name,
            parts.table.clone(),
            options.ledger.injected_fault,
        );
        let incarnation = rand::random_range(1..=u64::MAX);
        let shared = Arc::new(Shared::new(options, incarnation, endpoint, orders));
        let mut watcher = Watcher::default();
        // What the engine holds is known before the first gateway asks.
        watcher.look(&shared);
        let handler = Arc::new(CallHandler {
            shared: shared.clone(),
        });
        let server = Server::start(&runtime, listener, &shared.options.server, handler)
            .map_err(Error::Threads)?;
        let mut sidecar = Self {
            address: server.address(),
            shared,
            server: Some(server),
            admin: None,
            threads: Vec::new(),
            _runtime: runtime,
        };
        sidecar.spawn(watcher, parts).map_err(Error::Threads)?;
        sidecar.serve_admin().map_err(Error::Admin)?;
        Ok(sidecar)
    }

    fn spawn(&mut self, watcher: Watcher, parts: Parts) -> io::Result<()> {
        self.threads.extend(caller::spawn(&self.shared)?);
        let shared = self.shared.clone();
        self.spawn_one("sidecar-watcher", move || watcher.run(&shared))?;
        let shared = self.shared.clone();
        self.spawn_one("sidecar-timer", move || run_timer(&shared))?;
        if let (Some(table), Some(hosts)) = (parts.table, parts.hosts) {
            let membership = Membership {
                table,
                hosts,
                address: self.address.to_string(),
            };
            let shared = self.shared.clone();
            self.spawn_one("sidecar-platform", move || membership.run(&shared))?;
        }
        Ok(())
    }

    fn spawn_one(&mut self, name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let builder = std::thread::Builder::new().name(name.to_string());
        self.threads.push(builder.spawn(run)?);
        Ok(())
    }

    fn serve_admin(&mut self) -> Result<(), admin::Error> {
        let Some(listen) = self.shared.options.admin_listen else {
            return Ok(());
        };
        let options = admin::Options {
            listen: listen.to_string(),
        };
        let registry = self.shared.options.registry.clone();
        self.admin = Some(admin::serve(options, registry, self.health())?);
        Ok(())
    }

    /// Where gateways reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where operators reach it.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(AdminServer::address)
    }

    /// Number that this start has and no other.
    pub fn incarnation(&self) -> u64 {
        self.shared.incarnation
    }

    /// Whether a newer process has taken its name over; drain it and stop.
    pub fn is_superseded(&self) -> bool {
        self.shared.is_superseded()
    }

    /// What it says of itself.
    pub fn health(&self) -> Arc<dyn Health> {
        Arc::new(Readiness {
            shared: self.shared.clone(),
        })
    }

    /// Refuses new work from now on, tells the gateways, and waits until what runs has ended and
    /// its answers are sent.
    pub fn drain(&self) {
        self.shared.set_leaving(|leaving| leaving.drain = true);
        let pause = Duration::from_millis(self.shared.options.tick_ms);
        let sent = || self.server.as_ref().is_none_or(|s| s.unsent() == 0);
        while !self.shared.look(|ledger| ledger.is_idle()) || !sent() {
            std::thread::sleep(pause);
        }
        std::thread::sleep(Duration::from_millis(FLUSH_MS));
    }

    /// Stops at once; what runs is cut off from its readers.
    pub fn stop(mut self) {
        self.halt();
    }

    fn halt(&mut self) {
        self.shared.stop();
        self.server = None;
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!("a thread of the sidecar panicked");
            }
        }
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.halt();
    }
}

fn endpoint(options: &Options, engine: Option<Box<dyn Engine>>) -> Endpoint {
    if let Some(engine) = engine {
        return Endpoint::Engine(engine);
    }
    match options.kind {
        EndpointKind::Service => Endpoint::Service(service::Client::new(service::Options {
            base_url: options.endpoint_url.clone(),
            ..service::Options::default()
        })),
        EndpointKind::Engine | EndpointKind::Unspecified => {
            let client = mgs_engine::http::Client::new(mgs_engine::http::Options {
                base_url: options.endpoint_url.clone(),
                call_timeout_ms: options.call_timeout_ms,
                silence_timeout_ms: options.stream_silence_ms,
                ..mgs_engine::http::Options::default()
            });
            Endpoint::Engine(Box::new(client))
        }
    }
}

fn add_platform(options: &Options, parts: &mut Parts) {
    let Some(base_url) = &options.platform_url else {
        return;
    };
    let client = Arc::new(mgs_platform::http::Client::new(
        mgs_platform::http::Options {
            base_url: base_url.clone(),
            ..mgs_platform::http::Options::default()
        },
    ));
    parts.table.get_or_insert(client.clone());
    parts.hosts.get_or_insert(client);
}

fn run_timer(shared: &Arc<Shared>) {
    let pause = Duration::from_millis(shared.options.tick_ms);
    while !shared.is_stopped() {
        shared.tell(|ledger, now_ms| ledger.tick(now_ms));
        shared.reporter.send_due(shared);
        std::thread::sleep(pause);
    }
}

/// The sidecar as operators' probes see it.
struct Readiness {
    shared: Arc<Shared>,
}

impl Health for Readiness {
    fn healthy(&self) -> bool {
        !self.shared.is_stopped()
    }

    fn ready(&self) -> Result<(), String> {
        let (is_leaving, is_down) = self
            .shared
            .look(|ledger| (ledger.is_leaving(), ledger.is_down()));
        if is_leaving {
            return Err("the endpoint is leaving".to_string());
        }
        if is_down {
            return Err("the endpoint doesn't answer".to_string());
        }
        Ok(())
    }
}
