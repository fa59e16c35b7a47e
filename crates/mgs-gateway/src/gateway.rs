//! Starting and stopping a gateway.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use displaydoc::Display;
use mgs_admission::queue;
use mgs_durable::durable;
use mgs_durable::durable::Durable;
use mgs_observe::admin;
use mgs_observe::admin::AdminServer;
use mgs_observe::admin::Health;
use mgs_observe::metrics::Registry;
use mgs_request::budget;
use mgs_request::injected_bug::InjectedBug;
use mgs_routing::policy;
use mgs_routing::span;
use mgs_settings::follow;
use mgs_settings::follow::Follower;
use mgs_settings::hold::Holder;
use mgs_settings::member;
use mgs_transport::client;
use mgs_transport::pool::Pool;
use mgs_transport::runtime;
use mgs_transport::runtime::Runtime;
use mgs_transport::server;
use mgs_transport::server::Server;

use crate::core::Core;
use crate::duty;
use crate::duty::links::Links;
use crate::duty::links::SettingsPeers;
use crate::duty::shares::Home;
use crate::duty::Duties;
use crate::duty::Platform;
use crate::hub;
use crate::keeper;
use crate::lent::Lent;
use crate::listen;
use crate::parting::Parting;
use crate::peer::Peers;
use crate::span::keep::Keeper;

/// Says whether the settings are fresh enough to serve by.
pub type Ready = Arc<dyn Fn() -> bool + Send + Sync>;

/// Settings of a gateway.
#[derive(Clone)]
pub struct Options {
    /// Name of the process.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where other gateways reach it; nowhere if not given.
    pub peer_listen: Option<SocketAddr>,
    /// Where `/metrics`, `/healthz` and `/readyz` are served; nowhere if not given.
    pub admin_listen: Option<SocketAddr>,
    /// The platform's services. With them, the gateway follows the settings itself, holds its
    /// name, confirms what is in force and may be the controller.
    pub platform: Option<Platform>,
    /// The table in force, which someone keeps up to date; replaced if there is a platform.
    pub settings: Arc<Holder>,
    /// Whether that table may be served by; replaced if there is a platform.
    pub ready: Ready,
    /// How settings are followed.
    pub follow: follow::Options,
    /// How the name is held.
    pub member: member::Options,
    /// Other gateways' `peer_listen` addresses, asked for settings at a start without the store.
    pub peers: Vec<SocketAddr>,
    /// Whether it may be the controller.
    pub control: bool,
    /// Name of the routing policy.
    pub policy: String,
    /// Name of the queue.
    pub admission: String,
    /// Bounds on callers.
    pub callers: listen::Options,
    /// Time between load reports that it asks of sidecars, in milliseconds.
    pub report_interval_ms: u64,
    /// Time that each session beyond the twentieth adds to that, in milliseconds, which bounds the
    /// reports that the gateway takes in a second.
    pub report_ms_per_session: u64,
    /// Connections to sidecars.
    pub transport: client::Options,
    /// Threads that drive those connections.
    pub transport_threads: usize,
    /// Whether idempotent requests are attempted a second time beside a slow first attempt.
    pub hedge: bool,
    /// How prompts that exceed one engine's memory are spread.
    pub spans: span::Options,
    /// Retries as a share of traffic.
    pub retry_budget: budget::Options,
    /// Time between the first sign of leaving and the refusal of new requests, in milliseconds.
    pub leave_grace_ms: u64,
    /// Where its metrics are registered.
    pub registry: Registry,
    /// A deliberate bug, for fault runs only.
    pub plant: InjectedBug,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "gateway-1".to_string(),
            zone: "zone-1".to_string(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            peer_listen: None,
            admin_listen: None,
            platform: None,
            follow: follow::Options::default(),
            member: member::Options::default(),
            peers: Vec::new(),
            control: true,
            settings: Arc::default(),
            ready: Arc::new(|| true),
            policy: policy::NAMES[0].to_string(),
            admission: queue::NAMES[0].to_string(),
            callers: listen::Options::default(),
            report_interval_ms: 200,
            report_ms_per_session: 17,
            transport: client::Options::default(),
            transport_threads: 2,
            hedge: true,
            spans: span::Options::default(),
            retry_budget: budget::Options::default(),
            leave_grace_ms: 1_000,
            registry: Registry::new(),
            plant: InjectedBug::None,
        }
    }
}

impl fmt::Debug for Options {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Options")
            .field("name", &self.name)
            .field("zone", &self.zone)
            .field("listen", &self.listen)
            .field("policy", &self.policy)
            .finish_non_exhaustive()
    }
}

/// Why a gateway can't start.
#[derive(Debug, Display)]
pub enum Error {
    /// unknown policy: {0}
    UnknownPolicy(String),
    /// unknown queue: {0}
    UnknownAdmission(String),
    /// can't listen on {0}: {1}
    Listen(SocketAddr, io::Error),
    /// can't start threads: {0}
    Threads(io::Error),
    /// {0}
    Admin(admin::Error),
}

impl std::error::Error for Error {}

/// A running gateway. Dropping it stops it at once and cuts off what it serves.
pub struct Gateway {
    core: Arc<Core>,
    address: SocketAddr,
    peers: Option<Server>,
    admin: Option<AdminServer>,
}

/// What follows the settings, before there is a gateway.
struct Following {
    platform: Platform,
    follower: Arc<Follower>,
    links: Arc<Links>,
    home: Arc<Home>,
}

impl Following {
    fn new(platform: Platform, options: &Options, runtime: &Runtime) -> Self {
        let pool = Pool::new(runtime.clone(), options.transport.clone());
        let links = Arc::new(Links::new(pool, options.peers.clone()));
        let follower = Follower::new(
            options.follow.clone(),
            platform.table.clone(),
            platform.objects.clone(),
            Box::new(SettingsPeers(links.clone())),
        );
        Self {
            platform,
            follower: Arc::new(follower),
            links,
            home: Arc::default(),
        }
    }

    fn shares(&self) -> (Arc<Links>, Arc<Home>) {
        (self.links.clone(), self.home.clone())
    }

    /// Starts the keeping of keyed and durable requests.
    fn durable(&self, core: &Arc<Core>) -> Durable {
        let options = durable::Options {
            gateway: core.incarnation,
            ..durable::Options::default()
        };
        let lent = Arc::new(Lent { core: core.clone() });
        let (table, objects) = (self.platform.table.clone(), self.platform.objects.clone());
        Durable::start(options, table, objects, lent)
    }

    fn duties(self, core: &Arc<Core>, peer_address: SocketAddr) -> Duties {
        Duties {
            core: core.clone(),
            platform: self.platform,
            follower: self.follower,
            links: self.links,
            home: self.home,
            peer_address: peer_address.to_string(),
        }
    }
}

/// Time between looks at what is still open while draining.
const DRAIN_LOOK: Duration = Duration::from_millis(10);

impl Gateway {
    /// Starts a gateway.
    ///
    /// ```
    /// use mgs_gateway::gateway::Gateway;
    /// use mgs_gateway::gateway::Options;
    ///
    /// let gateway = Gateway::start(Options::default()).unwrap();
    /// assert_ne!(gateway.address().port(), 0);
    /// assert!(gateway.health().ready().is_err(), "no settings yet");
    /// ```
    pub fn start(mut options: Options) -> Result<Self, Error> {
        let policy = policy::by_name(&options.policy)
            .ok_or_else(|| Error::UnknownPolicy(options.policy.clone()))?;
        let admission = queue::by_name(&options.admission)
            .ok_or_else(|| Error::UnknownAdmission(options.admission.clone()))?;
        let listen = options.listen;
        let listener =
            listen::bind(listen, &options.callers).map_err(|error| Error::Listen(listen, error))?;
        let address = listener
            .local_addr()
            .map_err(|error| Error::Listen(listen, error))?;
        let runtime = Runtime::new(&runtime::Options {
            threads: options.transport_threads,
        })
        .map_err(Error::Threads)?;
        let parting = Parting::start().map_err(Error::Threads)?;
        let following = options.platform.clone().map(|platform| {
            let following = Following::new(platform, &options, &runtime);
            let follower = following.follower.clone();
            options.settings = follower.holder().clone();
            options.ready = Arc::new(move || follower.ready());
            following
        });
        let spans = Keeper::start().map_err(Error::Threads)?;
        let core = Core::new(options, policy, admission, runtime, parting, spans);
        let core = Arc::new(core);
        let mut gateway = Self {
            core,
            address,
            peers: None,
            admin: None,
        };
        gateway.open(listener, following)?;
        Ok(gateway)
    }

    fn open(&mut self, listener: TcpListener, following: Option<Following>) -> Result<(), Error> {
        let core = &self.core;
        keeper::start(core).map_err(Error::Threads)?;
        hub::start(core).map_err(Error::Threads)?;
        let shares = following.as_ref().map(Following::shares);
        let peers = core.options.peer_listen;
        let peers = peers.map(|at| serve_peers(core, at, shares));
        self.peers = peers.transpose()?;
        self.admin = core
            .options
            .admin_listen
            .map(|at| serve_admin(core, at))
            .transpose()?;
        if let Some(following) = following {
            let peer_address = self.peer_address().unwrap_or(self.address);
            core.set_durable(Some(Arc::new(following.durable(core))));
            duty::start(following.duties(core, peer_address)).map_err(Error::Threads)?;
        }
        listen::start(core, listener).map_err(Error::Threads)
    }

    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where other gateways reach it.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peers.as_ref().map(Server::address)
    }

    /// Where operators reach it.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin.as_ref().map(AdminServer::address)
    }

    /// Number that this start has and no other.
    pub fn incarnation(&self) -> u64 {
        self.core.incarnation
    }

    /// Its health, as operators see it.
    pub fn health(&self) -> Arc<dyn Health> {
        self.core.clone()
    }

    /// What its threads share, for other parts of the role.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Leaves: `/readyz` fails at once, new requests are refused after the grace, and what is open
    /// is finished. Returns whether nothing was open when the limit was reached.
    pub fn drain(&self, limit_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(limit_ms);
        self.core.leave();
        log::info!("leaving");
        std::thread::sleep(Duration::from_millis(
            self.core.options.leave_grace_ms.min(limit_ms),
        ));
        self.core.close();
        while self.core.open_requests() > 0 {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(DRAIN_LOOK);
        }
        self.drain_durable(until);
        true
    }
}

impl Gateway {
    /// Finishes the durable requests at work, or leaves them to other gateways.
    fn drain_durable(&self, until: Instant) {
        let Some(durable) = self.core.set_durable(None).and_then(Arc::into_inner) else {
            return;
        };
        let left = until.saturating_duration_since(Instant::now());
        durable.drain(left.as_millis() as u64);
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.core.stop();
    }
}

fn serve_peers(
    core: &Arc<Core>,
    at: SocketAddr,
    shares: Option<(Arc<Links>, Arc<Home>)>,
) -> Result<Server, Error> {
    let listener = TcpListener::bind(at).map_err(|error| Error::Listen(at, error))?;
    let core = core.clone();
    let handler = Arc::new(Peers {
        core: core.clone(),
        shares,
    });
    let options = server::Options::default();
    Server::start(&core.runtime, listener, &options, handler).map_err(Error::Threads)
}

fn serve_admin(core: &Arc<Core>, at: SocketAddr) -> Result<AdminServer, Error> {
    let options = admin::Options {
        listen: at.to_string(),
    };
    let registry = core.options.registry.clone();
    admin::serve(options, registry, core.clone()).map_err(Error::Admin)
}
