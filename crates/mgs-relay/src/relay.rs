//! Starts a relay: binds its sockets, runs its tasks on the calling thread and drains them at
//! shutdown.

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
use mgs_backpressure::table::Backpressure;
use mgs_placing::dispatch;
use mgs_placing::length_counts::LengthCounter;
use mgs_placing::load_table::LoadTable;
use mgs_placing::load_table::ZoneKey;
use mgs_placing::options;
use mgs_placing::refusal_at_arrival::RefusalOptions;
use mgs_placing::spare_slots::SpareSlotRate;
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

use crate::arrival_refusal::ArrivalDemand;
use crate::budget::RetryBudget;
use crate::client;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::drain::Drain;
use crate::engine_speeds;
use crate::gateway_count::GatewayCount;
use crate::held_bytes::HeldBytes;
use crate::link_use::LinkState;
use crate::link_use::LinkUse;
use crate::metrics::Metrics;
use crate::organisation_shares::OrganisationShares;
use crate::peer_snapshot;
use crate::peers;
use crate::quarantine;
use crate::quarantine::CrashTracker;
use crate::readiness;
use crate::traffic;
use crate::traffic::Traffic;
use crate::view::Published;
use crate::warm_up::WarmUpState;

pub use crate::budget::Options as BudgetOptions;
use crate::helper_refusals::HelperRefusals;
use crate::lost_run::EndpointProbes;
pub use crate::serve::StartOptions;

/// Settings of a relay.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Availability zone of this host.
    pub zone: String,
    /// Address on which client connections are accepted.
    pub client_listen: SocketAddr,
    /// Address on which the load balancer's readiness checks are answered.
    pub ready_listen: SocketAddr,
    /// Address on which messages of peers are received: datagrams over UDP, snapshot requests over
    /// TCP.
    pub peer_listen: SocketAddr,
    /// Timeout for connecting to an endpoint, in milliseconds. TCP retransmits a lost SYN only
    /// after one second; trying another endpoint is faster.
    pub connect_timeout_ms: u64,
    /// Placement of prompts on engines.
    pub placing: options::PlacementOptions,
    /// Order in which long prompts are dispatched.
    pub dispatch: dispatch::DispatchOptions,
    /// Refusal of prompts that would wait too long.
    pub refusal: RefusalOptions,
    /// Detection of failing endpoints, which are then skipped for a while.
    pub outliers: outlier::Options,
    /// Quarantine of requests that crash endpoints.
    pub quarantine: mgs_quarantine::options::Options,
    /// Rate limits that endpoints announce.
    pub backpressure: mgs_backpressure::options::Options,
    /// Requests that arrive while the process starts.
    pub start: StartOptions,
    /// Seed of the random generator used for placement; drawn afresh at each start if `None`. Two
    /// gateways with the same seed choose the same engines.
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
            placing: options::PlacementOptions::default(),
            dispatch: dispatch::DispatchOptions::default(),
            refusal: RefusalOptions::default(),
            outliers: outlier::Options {
                // An unreachable endpoint never answers, and each request that finds this out costs
                // its client the time to connect elsewhere.
                consecutive_failures: 2,
                ejection_ms: 1_000,
                ejection_max_ms: 8_000,
                ..outlier::Options::default()
            },
            quarantine: mgs_quarantine::options::Options::default(),
            backpressure: mgs_backpressure::options::Options::default(),
            start: StartOptions::default(),
            random_seed: None,
        }
    }
}

/// Errors that prevent a relay from starting.
#[derive(Debug, Display)]
pub enum Error {
    /// can't listen on {address} for {purpose}: {source}
    Listen {
        /// The address that couldn't be bound.
        address: SocketAddr,
        /// What the socket is for.
        purpose: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// can't create the runtime or read system random numbers: {0}
    System(String),
}

impl std::error::Error for Error {}

/// Local addresses of a started relay, with the ports that were bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addresses {
    /// Address for client connections.
    pub client: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
}

/// Runs a relay on the calling thread until `stop` resolves and open requests have ended or were
/// cut off. Calls `on_started` once all sockets are bound.
pub fn run(
    options: Options,
    dialect: Box<dyn Dialect>,
    published: Arc<Published>,
    metrics: Metrics,
    on_started: impl FnOnce(Addresses),
    stop: impl Future<Output = ()> + 'static,
) -> Result<(), Error> {
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(|error| Error::System(error.to_string()))?;
    let core = new_core(options, dialect, published, metrics)?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, serve(core, on_started, stop));
    // The end of the process closes open sockets, so tasks that can't finish aren't waited for.
    runtime.shutdown_background();
    result
}

fn new_core(
    options: Options,
    dialect: Box<dyn Dialect>,
    published: Arc<Published>,
    metrics: Metrics,
) -> Result<Rc<Core>, Error> {
    let system = |error: rand::rngs::SysError| Error::System(error.to_string());
    let incarnation = SysRng.try_next_u64().map_err(system)?;
    let started_ms = published.now_exact_ms();
    Ok(Rc::new(Core {
        dialect,
        published,
        load_table: RefCell::new(LoadTable::new()),
        unreported_prefills: RefCell::new(Vec::new()),
        unreported_loads: RefCell::new(Vec::new()),
        full_message_wanted: Cell::new(false),
        broadcast_wanted: Notify::new(),
        waiting_for_spare: RefCell::new(BTreeSet::new()),
        spare: RefCell::new(SpareSlotRate::default()),
        lengths: RefCell::new(LengthCounter::default()),
        waiting: RefCell::new(HashMap::new()),
        outliers: OutlierDetector::new(options.outliers),
        helpers: RefCell::new(HelperRefusals::default()),
        backpressure: RefCell::new(Backpressure::new(options.backpressure.clone())),
        warm_up: WarmUpState::default(),
        first_answers: RefCell::default(),
        budget: RefCell::new(RetryBudget::started_at(started_ms)),
        shares: RefCell::new(OrganisationShares::default()),
        speeds: RefCell::default(),
        arrival_demand: RefCell::new(ArrivalDemand::default()),
        endpoint_probes: RefCell::new(EndpointProbes::default()),
        crashes: CrashTracker::new(options.quarantine.clone()),
        evacuation_newcomers: RefCell::default(),
        encoded_orders: RefCell::default(),
        metrics,
        traffic: Traffic::default(),
        held: HeldBytes::default(),
        link: RefCell::new(LinkUse::default()),
        link_state: Cell::new(LinkState::Free),
        logged_link_state: RefCell::default(),
        connections_refused: Rc::new(()),
        drain: Drain::new(),
        gateway_count: RefCell::new(GatewayCount::default()),
        random: RefCell::new(ChaCha8Rng::seed_from_u64(
            options.random_seed.unwrap_or(incarnation),
        )),
        last_serial: Cell::new(0),
        zone: zone_key(&options.zone),
        incarnation,
        options,
    }))
}

/// Hashes the name of an availability zone, so that gateways agree on its key without a shared list
/// of zones.
fn zone_key(name: &str) -> ZoneKey {
    ZoneKey(xxh3_64(name.as_bytes()) as u32)
}

async fn serve(
    core: Rc<Core>,
    on_started: impl FnOnce(Addresses),
    stop: impl Future<Output = ()>,
) -> Result<(), Error> {
    let options = &core.options;
    let client_listener = listen(options.client_listen, "clients")?;
    let ready_listener = listen(options.ready_listen, "the balancer")?;
    let (peer_socket, snapshot_listener) = listen_for_peers(options.peer_listen).await?;
    on_started(Addresses {
        client: local_address(client_listener.local_addr(), options.client_listen),
        ready: local_address(ready_listener.local_addr(), options.ready_listen),
        peer: local_address(peer_socket.local_addr(), options.peer_listen),
    });
    tokio::task::spawn_local(client::accept(core.clone(), client_listener));
    tokio::task::spawn_local(readiness::accept(core.clone(), ready_listener));
    tokio::task::spawn_local(peers::run(core.clone(), peer_socket));
    tokio::task::spawn_local(engine_speeds::tick(core.clone()));
    tokio::task::spawn_local(traffic::report(core.clone()));
    tokio::task::spawn_local(quarantine::watch(core.clone()));
    tokio::task::spawn_local(quarantine::follow_store(core.clone()));
    tokio::task::spawn_local(quarantine::rewrite(core.clone()));
    tokio::task::spawn_local(peer_snapshot::serve(core.clone(), snapshot_listener));
    stop.await;
    log::info!(open_requests = core.drain.open_requests(); "leaving");
    let drain = core.published.live_settings().drain;
    core.drain.drain_requests(drain).await;
    log::info!(open_requests = core.drain.open_requests(); "left");
    Ok(())
}

/// Binds the UDP socket and the TCP listener for peers to the same port. If the system chooses the
/// port, one that is free for UDP may be taken for TCP; then another is tried.
async fn listen_for_peers(
    address: SocketAddr,
) -> Result<(UdpSocket, tokio::net::TcpListener), Error> {
    const ATTEMPTS_MAX: usize = 20;
    let mut last = None;
    for _ in 0..ATTEMPTS_MAX {
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

fn local_address(local: io::Result<SocketAddr>, requested: SocketAddr) -> SocketAddr {
    local.unwrap_or(requested)
}

fn listen(address: SocketAddr, purpose: &'static str) -> Result<tokio::net::TcpListener, Error> {
    client::listen(address).map_err(|source| Error::Listen {
        address,
        purpose,
        source,
    })
}
