//! The configuration and the fleet as request handling reads them. Both are immutable snapshots
//! that are replaced as a whole.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use mgs_backpressure::warm_up::lease::GatewayList;
use mgs_fleet::view::EndpointKey;
use mgs_placing::model::EngineModel;
use rustix::time::clock_gettime;
use rustix::time::ClockId;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::budget::Options as BudgetOptions;
use crate::drain;
use crate::endpoint_list::EndpointList;
use crate::evacuation::Evacuations;
use crate::evacuation::ZoneOrder;
use crate::evacuation_state::EvacuationState;
use crate::evacuation_state::OrderOrigin;
use crate::freshness::ContentKind;
use crate::freshness::Freshness;
use crate::held_bytes;
use crate::holds::Holds;
use crate::link_use;
use crate::membership::Endpoints;
use crate::source::EndpointFacts;
use crate::source::Incarnation;
use crate::warm_up;
use crate::warm_up::ColdSigns;
use crate::warm_up::ServiceWarmUp;

/// How a route's requests are answered, and whether they may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a stream of events.
    Streaming {
        /// Whether another endpoint may continue after the last event that was passed on; the
        /// request may then run more than once.
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

    /// Whether the answer is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A service that receives a weighted share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Prefix of the paths that it serves.
    pub path_prefix: String,
    /// How its requests are answered, and whether they may run more than once.
    pub kind: RouteKind,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency of the answer, or of its first event, in milliseconds.
    pub aim_ms: u64,
    /// Target for the longest pause between two events, in milliseconds; 0 if there are no events.
    pub pause_ms: u64,
    /// Longest silence that clients tolerate before the first event and between two events, in
    /// milliseconds.
    pub patience_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that its requests are split between.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of endpoints that one request may run on.
    pub attempts_max: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
}

/// An organisation, that is, a customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Priority of its requests; replaces the route's if set.
    pub priority: Option<u8>,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Service {
    /// Performance model of its engines; `None` for a plain service.
    pub engine: Option<Arc<EngineModel>>,
    /// How many requests its endpoints tolerate while they are cold; `None` without a limit. Peers
    /// are told separately, so that they get the same bytes where there is none.
    #[serde(skip)]
    pub warm_up: Option<ServiceWarmUp>,
}

/// Limits on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Timeout of an idle connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A complete configuration.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; a newer configuration has a greater one.
    pub version: u64,
    /// Routes by lower-case host name, longest path prefix first.
    pub routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Organisations by API key; without any, no request needs a key.
    pub organisations: HashMap<String, Arc<Organisation>>,
    /// Whether organisations are in use.
    pub needs_keys: bool,
    /// Limits on what clients may send.
    pub limits: Limits,
}

impl Configuration {
    /// Whether any service limits requests to cold endpoints.
    pub fn has_warm_up_limits(&self) -> bool {
        let mut services = self.services.values();
        services.any(|service| service.warm_up.is_some())
    }

    /// Finds the route of a request: the one of the host with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}

/// An endpoint of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Key of this incarnation, unique and stable within this process.
    pub key: EndpointKey,
    /// What the endpoint reports about itself.
    pub facts: EndpointFacts,
    /// When it was or will be cold.
    pub cold: ColdSigns,
}

/// All known endpoints.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Endpoints by service, including those that are shutting down.
    pub by_service: HashMap<String, Vec<Arc<Endpoint>>>,
    /// Endpoints by key.
    pub by_key: HashMap<EndpointKey, Arc<Endpoint>>,
}

impl Fleet {
    /// Builds a fleet of the given endpoints.
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

    /// Whether another incarnation is listed under the same identifier. An incarnation that isn't
    /// listed at all may still serve the requests that it has.
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
    /// Retry budget.
    pub budget: BudgetOptions,
    /// Graceful shutdown.
    pub drain: drain::Options,
    /// Bounds of the bytes held for clients and endpoints.
    pub held: held_bytes::Options,
    /// The link of this host.
    pub link: link_use::Options,
    /// By how much the limit of cold endpoints may be exceeded.
    pub warm_up: warm_up::Bounds,
    /// Whether organisations are held to shares when engines are short, if there are organisations.
    pub organisation_shares: bool,
    /// Whether speeds of engines are estimated from what all gateways observe.
    pub shared_speeds: bool,
    /// Whether prompts that can't be served are refused at arrival.
    pub refusal_at_arrival: bool,
    /// Whether endpoints that have answered this process, and those that have none of its requests,
    /// are preferred.
    pub prefer_answered: bool,
}

/// The state that the thread following the store publishes and the serving thread reads.
#[derive(Debug)]
pub struct Published {
    configuration: ArcSwapOption<Configuration>,
    fleet: ArcSwap<Fleet>,
    endpoint_keys_by_hash: ArcSwap<HashMap<u64, EndpointKey>>,
    /// The endpoints as they are handed to peers.
    endpoint_list: ArcSwap<EndpointList>,
    peers: ArcSwap<Vec<SocketAddr>>,
    /// Peers that reported to know a configuration while this gateway knew none.
    informed_peers: ArcSwap<Vec<SocketAddr>>,
    /// Number of gateways that the store lists, including this one; 0 before the list was read.
    listed_gateways: AtomicUsize,
    gateway_list: ArcSwap<GatewayList>,
    live_settings: ArcSwap<LiveSettings>,
    started: Instant,
    configuration_freshness: Freshness,
    endpoint_freshness: Freshness,
    holds: Holds,
    evacuations: EvacuationState,
    is_reader: AtomicBool,
    completion: Notify,
}

impl Published {
    /// Creates a state in which nothing is known yet. The process's clock starts here.
    pub fn new() -> Self {
        Self {
            configuration: ArcSwapOption::empty(),
            fleet: ArcSwap::from_pointee(Fleet::default()),
            endpoint_keys_by_hash: ArcSwap::default(),
            endpoint_list: ArcSwap::default(),
            peers: ArcSwap::default(),
            informed_peers: ArcSwap::default(),
            listed_gateways: AtomicUsize::new(0),
            gateway_list: ArcSwap::default(),
            live_settings: ArcSwap::default(),
            started: Instant::now(),
            configuration_freshness: Freshness::new(ContentKind::Versions),
            endpoint_freshness: Freshness::new(ContentKind::Hashes),
            holds: Holds::default(),
            evacuations: EvacuationState::default(),
            is_reader: AtomicBool::new(true),
            completion: Notify::new(),
        }
    }

    /// Milliseconds since the start of the process, on its monotonic clock.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The same time with its fraction, for decisions.
    pub fn now_exact_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Time since the host was started, in milliseconds. It continues while the host is suspended,
    /// unlike the other clock.
    pub fn boot_ms(&self) -> f64 {
        let time = clock_gettime(ClockId::Boottime);
        time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
    }

    /// The configuration in force, if one is known.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    /// The fleet as last known.
    pub fn fleet(&self) -> Arc<Fleet> {
        self.fleet.load_full()
    }

    /// Puts a configuration in force unless the one in force is as new or newer; returns whether it
    /// did.
    pub fn put_configuration(&self, configuration: Configuration) -> bool {
        let known = self.configuration.load();
        // A peer of an earlier release passes on a configuration without limits of cold endpoints.
        let adds_limits = |known: &Configuration| {
            let is_same = configuration.version == known.version;
            is_same && configuration.has_warm_up_limits() && !known.has_warm_up_limits()
        };
        let is_newer = known
            .as_ref()
            .is_none_or(|known| configuration.version > known.version || adds_limits(known));
        if is_newer {
            self.configuration_freshness
                .set_content_id(configuration.version);
            self.configuration.store(Some(Arc::new(configuration)));
            self.completion.notify_waiters();
        }
        is_newer
    }

    /// Endpoint keys by the hash of their incarnations, by which gateways name endpoints to each
    /// other.
    pub fn endpoint_keys_by_hash(&self) -> Arc<HashMap<u64, EndpointKey>> {
        self.endpoint_keys_by_hash.load_full()
    }

    /// The settings that may change at run time.
    pub fn live_settings(&self) -> Arc<LiveSettings> {
        self.live_settings.load_full()
    }

    /// Replaces the settings that may change at run time.
    pub fn put_live_settings(&self, live_settings: LiveSettings) {
        self.live_settings.store(Arc::new(live_settings));
    }

    /// Addresses of the other gateways.
    pub fn peers(&self) -> Arc<Vec<SocketAddr>> {
        self.peers.load_full()
    }

    /// Replaces the addresses of the other gateways.
    pub fn put_peers(&self, peers: Vec<SocketAddr>) {
        self.peers.store(Arc::new(peers));
    }

    /// Number of gateways that the store lists, including this one; `None` before the list was
    /// read.
    pub fn listed_gateways(&self) -> Option<usize> {
        let listed = self.listed_gateways.load(Ordering::Relaxed);
        (listed > 0).then_some(listed)
    }

    /// Sets the number of gateways that the store lists, including this one.
    pub fn put_listed_gateways(&self, gateways: usize) {
        self.listed_gateways.store(gateways, Ordering::Relaxed);
    }

    /// The gateways that the store lists, as the right to send to cold endpoints needs them.
    pub fn gateway_list(&self) -> Arc<GatewayList> {
        self.gateway_list.load_full()
    }

    /// Replaces the list of gateways.
    pub fn put_gateway_list(&self, list: GatewayList) {
        self.gateway_list.store(Arc::new(list));
    }

    /// Limits on what a client may send: the usual ones until a configuration is known.
    pub fn client_limits(&self) -> Limits {
        let configuration = self.configuration();
        configuration.map(|c| c.limits).unwrap_or_default()
    }

    /// Whether the configuration in force limits requests to cold endpoints.
    pub fn has_warm_up_limits(&self) -> bool {
        let configuration = self.configuration.load();
        configuration
            .as_ref()
            .is_some_and(|configuration| configuration.has_warm_up_limits())
    }

    /// Waits until the configuration in force limits requests to cold endpoints.
    pub async fn until_warm_up_limits(&self) {
        loop {
            let mut changed = std::pin::pin!(self.completion.notified());
            changed.as_mut().enable();
            if self.has_warm_up_limits() {
                return;
            }
            changed.await;
        }
    }

    /// Replaces the fleet.
    pub fn put_fleet(&self, fleet: Fleet) {
        let hash = |endpoint: &Arc<Endpoint>| endpoint.facts.incarnation.hash_64();
        let hashes = fleet.by_key.values().map(|e| (hash(e), e.key)).collect();
        self.endpoint_keys_by_hash.store(Arc::new(hashes));
        self.fleet.store(Arc::new(fleet));
        self.completion.notify_waiters();
    }

    /// Derives the endpoints anew from the services that the configuration in force names, and
    /// publishes them if that changes anything.
    pub(crate) fn apply_services(&self, endpoints: &mut Endpoints) {
        if let Some(configuration) = self.configuration() {
            endpoints.set_services(configuration.services.keys().map(String::as_str));
        }
        if endpoints.take_changed() {
            self.put_endpoints(endpoints, true);
        }
    }

    /// Publishes the endpoints: the list for peers, what identifies it, and, if `is_changed`, the
    /// fleet.
    pub(crate) fn put_endpoints(&self, endpoints: &Endpoints, is_changed: bool) {
        self.endpoint_list.store(Arc::new(endpoints.list()));
        self.endpoint_freshness
            .set_content_id(endpoints.content_hash());
        if is_changed {
            self.put_fleet(endpoints.fleet());
        }
    }

    /// The endpoints as they are handed to peers.
    pub(crate) fn endpoint_list(&self) -> Arc<EndpointList> {
        self.endpoint_list.load_full()
    }

    /// Freshness of the configuration.
    pub fn configuration_freshness(&self) -> &Freshness {
        &self.configuration_freshness
    }

    /// The held requests as the store keeps them.
    pub fn holds(&self) -> &Holds {
        &self.holds
    }

    /// The operators' orders to evacuate zones.
    pub fn evacuations(&self) -> &EvacuationState {
        &self.evacuations
    }

    /// Changes the orders to evacuate zones, see [`EvacuationState::update`].
    pub fn update_evacuations(
        &self,
        origin: OrderOrigin,
        apply: impl FnOnce(&mut Evacuations) -> Vec<ZoneOrder>,
    ) {
        let store_age_ms = self.configuration_age_ms();
        self.evacuations.update(origin, store_age_ms, apply);
    }

    /// Freshness of the list of endpoints.
    pub fn endpoint_freshness(&self) -> &Freshness {
        &self.endpoint_freshness
    }

    /// Time since the configuration was last confirmed, in milliseconds; `None` if it never was.
    pub fn configuration_age_ms(&self) -> Option<u64> {
        self.configuration_freshness.age_ms(self.now_ms())
    }

    /// Time since the list of endpoints was last confirmed, in milliseconds; `None` if it never
    /// was.
    pub fn fleet_age_ms(&self) -> Option<u64> {
        self.endpoint_freshness.age_ms(self.now_ms())
    }

    /// Whether this gateway is a reader, one of the few that poll the store at short intervals.
    pub fn is_reader(&self) -> bool {
        self.is_reader.load(Ordering::Relaxed)
    }

    /// Sets whether this gateway is a reader; returns whether that changed.
    pub fn set_is_reader(&self, is_reader: bool) -> bool {
        self.is_reader.swap(is_reader, Ordering::Relaxed) != is_reader
    }

    /// Waits until a configuration and at least one endpoint are known. The store may list no
    /// endpoint yet when all hosts start at once.
    pub async fn until_usable(&self) {
        loop {
            let mut changed = std::pin::pin!(self.completion.notified());
            changed.as_mut().enable();
            if self.is_complete() && !self.fleet.load().by_key.is_empty() {
                return;
            }
            changed.await;
        }
    }

    /// Records that a peer knows a configuration, while this gateway lacks what serving needs.
    pub fn record_informed_peer(&self, peer: SocketAddr) {
        if self.is_complete() || self.informed_peers.load().contains(&peer) {
            return;
        }
        self.informed_peers.rcu(|known| {
            let mut peers = Vec::clone(known);
            peers.push(peer);
            peers
        });
    }

    /// The peers that know a configuration, in the order in which they were heard.
    pub fn informed_peers(&self) -> Arc<Vec<SocketAddr>> {
        self.informed_peers.load_full()
    }

    /// Whether everything is known that serving needs: a configuration, and a list of endpoints
    /// from the store or a peer.
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
