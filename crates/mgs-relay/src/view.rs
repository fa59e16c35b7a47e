//! The configuration and the fleet as the path of a request reads them: replaced as a whole, never
//! changed in place.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use mgs_fleet::view::EndpointKey;
use mgs_placing::model::EngineModel;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::budget::Options as BudgetOptions;
use crate::drain;
use crate::freshness::ContentKind;
use crate::freshness::Freshness;
use crate::holds::Holds;
use crate::source::EndpointFacts;
use crate::source::Incarnation;

/// What may be done again with a request of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a series of events.
    Streaming {
        /// Whether another endpoint may go on after the last event that was passed on; then it may also
        /// run more than once.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again although it may have run.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Streaming { resumable } => resumable,
        }
    }

    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming { .. } => "streaming",
        }
    }

    /// Whether the answer is a series of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Its weight beside the others.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Start of the paths that it takes.
    pub path_prefix: String,
    /// What may be done again.
    pub kind: RouteKind,
    /// Longest time that a client is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time to an answer (or its first event) that is on time, in milliseconds.
    pub aim_ms: u64,
    /// Longest pause between events that is on time, in milliseconds; 0 if there are no events.
    pub pause_ms: u64,
    /// Longest silence that clients bear before the first event and between two, in milliseconds.
    pub patience_ms: u64,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// The services that it goes to.
    pub shares: Vec<ServiceShare>,
    /// Most endpoints that one request may run on.
    pub attempts_max: u32,
    /// Whether it needs no key.
    pub is_public: bool,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Rank of its requests, before the route's.
    pub priority: Option<u8>,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Service {
    /// Figures of its engines; `None` for a plain service.
    pub engine: Option<Arc<EngineModel>>,
}

/// Bounds on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Bounds for the time before a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A whole configuration.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version; a newer one has a greater number.
    pub version: u64,
    /// Routes by host name in lower case, longest prefix first.
    pub routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Organisations by key; without any, no request needs a key.
    pub organisations: HashMap<String, Arc<Organisation>>,
    /// Whether organisations are in use.
    pub needs_keys: bool,
    /// Bounds on what clients send.
    pub limits: Limits,
}

impl Configuration {
    /// The route of a request: among those of the host, the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Key of this incarnation, stable while the process lives.
    pub key: EndpointKey,
    /// What it says of itself.
    pub facts: EndpointFacts,
}

/// All endpoints that are known.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// By service; leaving ones are listed too.
    pub by_service: HashMap<String, Vec<Arc<Endpoint>>>,
    /// By key.
    pub by_key: HashMap<EndpointKey, Arc<Endpoint>>,
}

impl Fleet {
    /// A fleet of these endpoints.
    pub fn of(endpoints: Vec<Endpoint>) -> Self {
        let mut fleet = Self::default();
        for endpoint in endpoints {
            let endpoint = Arc::new(endpoint);
            fleet.by_key.insert(endpoint.key, endpoint.clone());
            let of_service = fleet.by_service.entry(endpoint.facts.service.clone());
            of_service.or_default().push(endpoint);
        }
        fleet
    }

    /// Whether an endpoint is listed in a later life than this one. One that isn't listed may still serve what it
    /// has.
    pub fn has_restarted(&self, incarnation: &Incarnation) -> bool {
        let is_other = |endpoint: &Arc<Endpoint>| {
            let listed = &endpoint.facts.incarnation;
            listed.id == incarnation.id && listed != incarnation
        };
        self.by_key.values().any(is_other)
    }

    /// The endpoints of a service.
    pub fn of_service(&self, service: &str) -> &[Arc<Endpoint>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }
}

/// Settings that may change while the process runs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LiveSettings {
    /// Second tries.
    pub budget: BudgetOptions,
    /// Leaving.
    pub drain: drain::Options,
}

/// What is in force, published by the thread that follows the store and read by the one that serves.
#[derive(Debug)]
pub struct Published {
    configuration: ArcSwapOption<Configuration>,
    fleet: ArcSwap<Fleet>,
    endpoint_hashes: ArcSwap<HashMap<u64, EndpointKey>>,
    peers: ArcSwap<Vec<SocketAddr>>,
    /// Gateways that the store lists; 0 before it has been read.
    listed_gateways: AtomicUsize,
    live_settings: ArcSwap<LiveSettings>,
    started: Instant,
    configuration_freshness: Freshness,
    endpoint_freshness: Freshness,
    holds: Holds,
    is_reader: AtomicBool,
    completion: Notify,
}

impl Published {
    /// Nothing known yet; the process's clock starts now.
    pub fn new() -> Self {
        Self {
            configuration: ArcSwapOption::empty(),
            fleet: ArcSwap::from_pointee(Fleet::default()),
            endpoint_hashes: ArcSwap::default(),
            peers: ArcSwap::default(),
            listed_gateways: AtomicUsize::new(0),
            live_settings: ArcSwap::default(),
            started: Instant::now(),
            configuration_freshness: Freshness::new(ContentKind::Versions),
            endpoint_freshness: Freshness::new(ContentKind::Hashes),
            holds: Holds::default(),
            is_reader: AtomicBool::new(true),
            completion: Notify::new(),
        }
    }

    /// Milliseconds since the start of the process, on its monotonic clock.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The same with its fraction, for decisions.
    pub fn now_exact_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// The configuration in force, if one is known.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    /// The fleet as last known.
    pub fn fleet(&self) -> Arc<Fleet> {
        self.fleet.load_full()
    }

    /// Puts a configuration in force, unless one as new is in force already; tells whether it did.
    pub fn put_configuration(&self, configuration: Configuration) -> bool {
        let known = self.configuration.load();
        let is_newer = known
            .as_ref()
            .is_none_or(|known| configuration.version > known.version);
        if is_newer {
            self.configuration_freshness
                .set_content_id(configuration.version);
            self.configuration.store(Some(Arc::new(configuration)));
            self.completion.notify_waiters();
        }
        is_newer
    }

    /// Keys of the endpoints by the hash of their incarnations, which gateways tell each other.
    pub fn endpoint_hashes(&self) -> Arc<HashMap<u64, EndpointKey>> {
        self.endpoint_hashes.load_full()
    }

    /// The settings that may change.
    pub fn live_settings(&self) -> Arc<LiveSettings> {
        self.live_settings.load_full()
    }

    /// Replaces the settings that may change.
    pub fn put_live_settings(&self, live_settings: LiveSettings) {
        self.live_settings.store(Arc::new(live_settings));
    }

    /// Where the other gateways listen.
    pub fn peers(&self) -> Arc<Vec<SocketAddr>> {
        self.peers.load_full()
    }

    /// Replaces the addresses of the other gateways.
    pub fn put_peers(&self, peers: Vec<SocketAddr>) {
        self.peers.store(Arc::new(peers));
    }

    /// How many gateways the store lists, this one included; `None` before it has been read.
    pub fn listed_gateways(&self) -> Option<usize> {
        let listed = self.listed_gateways.load(Ordering::Relaxed);
        (listed > 0).then_some(listed)
    }

    /// Sets how many gateways the store lists, this one included.
    pub fn put_listed_gateways(&self, gateways: usize) {
        self.listed_gateways.store(gateways, Ordering::Relaxed);
    }

    /// Replaces the fleet.
    pub fn put_fleet(&self, fleet: Fleet) {
        let hash = |endpoint: &Arc<Endpoint>| endpoint.facts.incarnation.hash_64();
        let hashes = fleet.by_key.values().map(|e| (hash(e), e.key)).collect();
        self.endpoint_hashes.store(Arc::new(hashes));
        self.fleet.store(Arc::new(fleet));
        self.completion.notify_waiters();
    }

    /// How fresh the configuration is.
    pub fn configuration_freshness(&self) -> &Freshness {
        &self.configuration_freshness
    }

    /// Works that are held, as the store keeps them.
    pub fn holds(&self) -> &Holds {
        &self.holds
    }

    /// How fresh the fleet is.
    pub fn endpoint_freshness(&self) -> &Freshness {
        &self.endpoint_freshness
    }

    /// Time since the configuration was last confirmed; `None` if it never was.
    pub fn configuration_age_ms(&self) -> Option<u64> {
        self.configuration_freshness.age_ms(self.now_ms())
    }

    /// Time since the fleet was last confirmed; `None` if it never was.
    pub fn fleet_age_ms(&self) -> Option<u64> {
        self.endpoint_freshness.age_ms(self.now_ms())
    }

    /// Whether this gateway is one of those that ask the store often.
    pub fn is_reader(&self) -> bool {
        self.is_reader.load(Ordering::Relaxed)
    }

    /// Makes it one of them, or not; tells whether that is a change.
    pub fn set_is_reader(&self, is_reader: bool) -> bool {
        self.is_reader.swap(is_reader, Ordering::Relaxed) != is_reader
    }

    /// Comes back when there is what serving needs; waits for nothing if there is.
    pub async fn until_complete(&self) {
        loop {
            let mut changed = std::pin::pin!(self.completion.notified());
            changed.as_mut().enable();
            if self.is_complete() {
                return;
            }
            changed.await;
        }
    }

    /// Whether there is what serving needs: a configuration, and a fleet that was read or heard of.
    pub fn is_complete(&self) -> bool {
        let has_fleet = self.fleet_age_ms().is_some() || !self.fleet.load().by_key.is_empty();
        self.configuration.load().is_some() && has_fleet
    }
}

impl Default for Published {
    fn default() -> Self {
        Self::new()
    }
}
