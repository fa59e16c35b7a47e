//! The relay: sockets, the one thread, and its end.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use displaydoc::Display;
use mgs_backpressure::table::Table;
use mgs_placing::board::Board;
use mgs_placing::board::ZoneKey;
use mgs_placing::lengths::Lengths;
use mgs_placing::options;
use mgs_placing::spare::Spare;
use mgs_placing::turn;
use mgs_routing::outlier;
use mgs_routing::outlier::OutlierDetector;
use rand::rngs::SysRng;
use rand::SeedableRng;
use rand::TryRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use xxhash_rust::xxh3::xxh3_64;

use crate::budget::Budget;
use crate::client;
use crate::core::Core;
use crate::crash::Looks;
use crate::dialect::Dialect;
use crate::drain::Drain;
use crate::handover;
use crate::headcount::Headcount;
use crate::helpers::Helpers;
use crate::metrics::Metrics;
use crate::peers;
use crate::quarantine;
use crate::quarantine::Crashes;
use crate::readiness;
use crate::traffic;
use crate::traffic::Traffic;
use crate::view::Published;

pub use crate::budget::Options as BudgetOptions;

/// Settings of a relay.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Availability zone of this host.
    pub zone: String,
    /// Where clients connect.
    pub client_listen: SocketAddr,
    /// Where the balancer asks whether this host takes connections.
    pub ready_listen: SocketAddr,
    /// Where peers send their messages.
    pub peer_listen: SocketAddr,
    /// Longest wait for a connection to an endpoint, in milliseconds. A lost first packet is sent again
    /// after a second; asking another endpoint is sooner.
    pub connect_timeout_ms: u64,
    /// Placing of prompts.
    pub placing: options::Options,
    /// Order among long prompts.
    pub turns: turn::Options,
    /// Endpoints that are passed over.
    pub outliers: outlier::Options,
    /// Requests that crash endpoints.
    pub quarantine: mgs_quarantine::options::Options,
    /// Limits that endpoints name.
    pub backpressure: mgs_backpressure::options::Options,
    /// Where the numbers by which gateways choose differently begin; a new one each time if it isn't set. Two gateways
    /// with the same seed choose the same engines.
    pub random_seed: Option<u64>,
}

impl Default for Options {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            zone: String::new(),
            client_listen: any_port,
            ready_listen: any_port,
            peer_listen: any_port,
            connect_timeout_ms: 300,
            placing: options::Options::default(),
            turns: turn::Options::default(),
            outliers: outlier::Options {
                // An endpoint that went dark answers nothing; each request that finds out costs its
                // client the time to connect elsewhere.
                consecutive_failures: 2,
                ejection_ms: 1_000,
                ejection_max_ms: 8_000,
                ..outlier::Options::default()
            },
            quarantine: mgs_quarantine::options::Options::default(),
            backpressure: mgs_backpressure::options::Options::default(),
            random_seed: None,
        }
    }
}

/// Why a relay can't start.
#[derive(Debug, Display)]
pub enum Error {
    /// can't listen on {address} for {purpose}: {source}
    Listen {
        /// The address.
        address: SocketAddr,
        /// For whom.
        purpose: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// the system has no threads, timers or random numbers to give: {0}
    System(String),
}

impl std::error::Error for Error {}

/// What a relay tells the thread that started it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Where clients connect.
    pub client: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    /// Where peers send.
    pub peer: SocketAddr,
}

/// Serves on this thread until `stop` resolves and what is open has ended.
pub fn run(
    options: Options,
    dialect: Box<dyn Dialect>,
    published: Arc<Published>,
    metrics: Metrics,
    started: impl FnOnce(Addresses),
    stop: impl Future<Output = ()> + 'static,
) -> Result<(), Error> {
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(|error| Error::System(error.to_string()))?;
    let core = core(options, dialect, published, metrics)?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, serve(core, started, stop));
    // Open sockets are closed by the end of the process; nobody waits for tasks that can't end.
    runtime.shutdown_background();
    result
}

fn core(
    options: Options,
    dialect: Box<dyn Dialect>,
    published: Arc<Published>,
    metrics: Metrics,
) -> Result<Rc<Core>, Error> {
    let system = |error: rand::rngs::SysError| Error::System(error.to_string());
    let incarnation = SysRng.try_next_u64().map_err(system)?;
    Ok(Rc::new(Core {
        dialect,
        published,
        board: RefCell::new(Board::new()),
        fresh_reads: RefCell::new(Vec::new()),
        fresh_held: RefCell::new(Vec::new()),
        whole_wanted: Cell::new(false),
        board_changed: Notify::new(),
        waiting_for_spare: RefCell::new(BTreeSet::new()),
        spare: RefCell::new(Spare::default()),
        lengths: RefCell::new(Lengths::default()),
        waiting: RefCell::new(HashMap::new()),
        outliers: OutlierDetector::new(options.outliers),
        helpers: RefCell::new(Helpers::default()),
        backpressure: RefCell::new(Table::new(options.backpressure.clone())),
        budget: RefCell::new(Budget::default()),
        looks: RefCell::new(Looks::default()),
        crashes: Crashes::new(options.quarantine.clone()),
        metrics,
        traffic: Traffic::default(),
        drain: Drain::new(),
        headcount: RefCell::new(Headcount::default()),
        random: RefCell::new(ChaCha8Rng::seed_from_u64(
            options.random_seed.unwrap_or(incarnation),
        )),
        last_number: Cell::new(0),
        zone: zone_key(&options.zone),
        incarnation,
        options,
    }))
}

/// Names an availability zone among gateways, whatever their order of names.
fn zone_key(name: &str) -> ZoneKey {
    ZoneKey(xxh3_64(name.as_bytes()) as u32)
}

async fn serve(
    core: Rc<Core>,
    started: impl FnOnce(Addresses),
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let options = &core.options;
    let clients = listen(options.client_listen, "clients")?;
    let balancer = listen(options.ready_listen, "the balancer")?;
    let (peers, starting) = listen_for_peers(options.peer_listen).await?;
    started(Addresses {
        client: local_address(clients.local_addr(), options.client_listen),
        ready: local_address(balancer.local_addr(), options.ready_listen),
        peer: local_address(peers.local_addr(), options.peer_listen),
    });
    tokio::task::spawn_local(client::accept(core.clone(), clients));
    tokio::task::spawn_local(readiness::accept(core.clone(), balancer));
    tokio::task::spawn_local(peers::run(core.clone(), peers));
    tokio::task::spawn_local(traffic::tell(core.clone()));
    tokio::task::spawn_local(quarantine::watch(core.clone()));
    tokio::task::spawn_local(quarantine::follow_store(core.clone()));
    tokio::task::spawn_local(quarantine::rewrite(core.clone()));
    tokio::task::spawn_local(handover::serve(core.clone(), starting));
    stop.await;
    log::info!(open_requests = core.drain.open_requests(); "leaving");
    let drain = core.published.live().drain;
    core.drain.leave(drain).await;
    log::info!(open_requests = core.drain.open_requests(); "left");
    Ok(())
}

/// Binds the two sockets of peers, datagrams and connections, to one port. Where any port will do, a number
/// that is free for one of them may be taken for the other; then another is tried.
async fn listen_for_peers(
    address: SocketAddr,
) -> Result<(UdpSocket, tokio::net::TcpListener), Error> {
    const TRIES: usize = 20;
    let mut last = None;
    for _ in 0..TRIES {
        let datagrams = UdpSocket::bind(address)
            .await
            .map_err(|source| Error::Listen {
                address,
                purpose: "peers",
                source,
            })?;
        let bound = local_address(datagrams.local_addr(), address);
        match listen(bound, "peers") {
            Ok(connections) => return Ok((datagrams, connections)),
            Err(error) if address.port() == 0 => last = Some(error),
            Err(error) => return Err(error),
        }
    }
    Err(last.expect("BUG: there was at least one try"))
}

fn local_address(known: io::Result<SocketAddr>, asked: SocketAddr) -> SocketAddr {
    known.unwrap_or(asked)
}

fn listen(address: SocketAddr, purpose: &'static str) -> Result<tokio::net::TcpListener, Error> {
    client::listen(address).map_err(|source| Error::Listen {
        address,
        purpose,
        source,
    })
}
