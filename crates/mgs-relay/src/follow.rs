//! Follows the store on a thread of its own and publishes what is in force.
//!
//! Each topic is read as a whole once and then by its changes. A reading that fails is repeated; what is
//! known stays in force meanwhile. A history that the store has dropped is replaced by a whole reading. A
//! configuration never goes back, whatever is read.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mgs_fleet::view::EndpointKey;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::handover;
use crate::source::Batch;
use crate::source::EndpointFacts;
use crate::source::Source;
use crate::source::SourceError;
use crate::source::SourceFactory;
use crate::source::Topic;
use crate::source::Update;
use crate::view::Configuration;
use crate::view::Endpoint;
use crate::view::Fleet;
use crate::view::Published;

/// Settings of following.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Name of this gateway, unique.
    pub name: String,
    /// Where this gateway hears peers.
    pub peer_address: SocketAddr,
    /// Peers known from the settings; some may be gone.
    pub first_peers: Vec<SocketAddr>,
    /// Longest wait of the store for a change of configuration or endpoints, in milliseconds. An answer
    /// each time shows that the connection lives. A call that hangs since an outage is given up 1.5 s
    /// later, so changes are in force 4 s after an outage's end at the latest; hosts are held to them
    /// 5 s after it. Calls are the largest price of a fleet of 27 hosts.
    pub wait_ms: u64,
    /// The same for gateways: new ones make themselves heard.
    pub gateways_wait_ms: u64,
    /// Wait after a reading that failed, in milliseconds.
    pub retry_ms: u64,
    /// How long the first reading may take before peers are asked, in milliseconds: a slow store takes some
    /// hundred, and without a configuration nobody is served.
    pub start_patience_ms: u64,
    /// How long after an outage endpoints that aren't listed any more are still used, in milliseconds:
    /// their entries may have lapsed in the outage, and those that live are back within two seconds.
    pub lapse_grace_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: String::new(),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            first_peers: Vec::new(),
            wait_ms: 2_500,
            gateways_wait_ms: 20_000,
            retry_ms: 500,
            start_patience_ms: 400,
            lapse_grace_ms: 2_200,
        }
    }
}

/// Starts to follow; the thread lives as long as the process.
pub fn start(
    options: Options,
    factory: Box<dyn SourceFactory>,
    published: Arc<Published>,
) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    let body = move || {
        let local = LocalSet::new();
        local.spawn_local(follow(
            Topic::Configuration,
            options.clone(),
            factory.source(),
            published.clone(),
        ));
        local.spawn_local(follow(
            Topic::Endpoints,
            options.clone(),
            factory.source(),
            published.clone(),
        ));
        let gateways = follow_gateways(options, factory.source(), published);
        local.block_on(&runtime, gateways);
    };
    let thread = thread::Builder::new().name("follow".to_string());
    thread.spawn(body).map(|_| ())
}

async fn follow_gateways(options: Options, mut source: Box<dyn Source>, published: Arc<Published>) {
    published.put_peers(options.first_peers.clone());
    while let Err(error) = source.register(&options.name, options.peer_address).await {
        log::warn!(error:% = error; "this gateway can't be listed");
        sleep(Duration::from_millis(options.retry_ms)).await;
    }
    follow(Topic::Gateways, options, source, published).await;
}

async fn follow(
    topic: Topic,
    options: Options,
    mut source: Box<dyn Source>,
    published: Arc<Published>,
) {
    let mut follower = Follower::new(topic, options, published);
    loop {
        let start_ms = follower.published.now_ms();
        let read = match follower.revision {
            None => follower.read_all(source.as_mut()).await,
            Some(after) => {
                let wait_ms = follower.wait_ms();
                source.read_changes(topic, after, wait_ms).await
            }
        };
        let is_lost = read.is_err();
        let pause_ms = follower.take(read, start_ms);
        if is_lost && follower.knows_nothing() {
            follower.ask_peers().await;
        }
        if pause_ms > 0 {
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

/// What is known of one topic.
struct Follower {
    topic: Topic,
    options: Options,
    published: Arc<Published>,
    revision: Option<u64>,
    is_lost: bool,
    endpoints: Endpoints,
    gateways: HashMap<String, SocketAddr>,
}

impl Follower {
    fn new(topic: Topic, options: Options, published: Arc<Published>) -> Self {
        let endpoints = Endpoints::new(options.lapse_grace_ms);
        Self {
            topic,
            options,
            published,
            revision: None,
            is_lost: false,
            endpoints,
            gateways: HashMap::new(),
        }
    }

    fn wait_ms(&self) -> u64 {
        let now_ms = self.published.now_ms();
        match self.topic {
            Topic::Gateways => self.options.gateways_wait_ms,
            // What has lapsed in an outage is to be dropped in time.
            Topic::Endpoints => self.endpoints.wait_ms(self.options.wait_ms, now_ms),
            Topic::Configuration => self.options.wait_ms,
        }
    }

    /// Reads all; at the start of the process peers are asked meanwhile if the store takes long.
    async fn read_all(&mut self, source: &mut dyn Source) -> Result<Batch, SourceError> {
        let mut reading = source.read_all(self.topic);
        if !self.knows_nothing() {
            return reading.await;
        }
        let patience = sleep(Duration::from_millis(self.options.start_patience_ms));
        tokio::select! {
            read = &mut reading => return read,
            () = patience => {}
        }
        self.ask_peers().await;
        reading.await
    }

    /// Whether the topic was never read and nobody told of it.
    fn knows_nothing(&self) -> bool {
        match self.topic {
            Topic::Configuration => self.published.configuration().is_none(),
            Topic::Endpoints => self.endpoints.entries.is_empty(),
            Topic::Gateways => false,
        }
    }

    /// Takes what a peer knows of the topic.
    async fn ask_peers(&mut self) {
        let Some(handover) = handover::ask(&self.options.first_peers).await else {
            return;
        };
        match self.topic {
            Topic::Configuration => {
                let configuration = Configuration::clone(&handover.configuration);
                self.published.put_configuration(configuration);
            }
            Topic::Endpoints => {
                for facts in handover.endpoints {
                    self.endpoints.see(facts);
                }
                self.published.put_fleet(self.endpoints.fleet());
            }
            Topic::Gateways => {}
        }
    }

    /// Takes a reading; answers how long to wait before the next.
    fn take(&mut self, read: Result<Batch, SourceError>, start_ms: u64) -> u64 {
        match read {
            Ok(batch) => {
                self.found();
                self.apply(batch, start_ms);
                0
            }
            Err(SourceError::HistoryGone) => {
                log::info!(topic = self.topic.name(); "the store has dropped its history");
                self.found();
                self.revision = None;
                0
            }
            Err(error) => {
                self.lost(&error);
                self.options.retry_ms
            }
        }
    }

    fn lost(&mut self, error: &SourceError) {
        if !self.is_lost {
            log::warn!(topic = self.topic.name(), error:% = error; "the store is lost");
        }
        self.is_lost = true;
    }

    fn found(&mut self) {
        if self.is_lost {
            log::info!(topic = self.topic.name(); "the store is back");
            self.endpoints.outage_ended(self.published.now_ms());
        }
        self.is_lost = false;
    }

    fn apply(&mut self, batch: Batch, start_ms: u64) {
        let is_whole = self.revision.is_none();
        self.revision = Some(batch.revision);
        match self.topic {
            Topic::Configuration => self.apply_configuration(batch.updates, start_ms),
            Topic::Endpoints => self.apply_endpoints(batch.updates, is_whole, start_ms),
            Topic::Gateways => self.apply_gateways(batch.updates, is_whole),
        }
    }

    fn apply_configuration(&mut self, updates: Vec<Update>, start_ms: u64) {
        for update in updates {
            let Update::Configuration(configuration) = update else {
                continue;
            };
            let version = configuration.version;
            let routes: usize = configuration.routes.values().map(Vec::len).sum();
            let is_newer = self.published.put_configuration(*configuration);
            log::info!(version = version, routes = routes, in_force = is_newer; "configuration read");
        }
        self.published.confirm_configuration(start_ms);
    }

    fn apply_endpoints(&mut self, updates: Vec<Update>, is_whole: bool, start_ms: u64) {
        let now_ms = self.published.now_ms();
        if is_whole {
            self.endpoints.miss_all(&updates, now_ms);
        }
        for update in updates {
            match update {
                Update::Endpoint(facts) => self.endpoints.see(facts),
                Update::EndpointGone { id } => self.endpoints.miss(&id, now_ms),
                _ => {}
            }
        }
        self.endpoints.drop_missing(now_ms);
        if self.endpoints.take_changed() || is_whole {
            self.published.put_fleet(self.endpoints.fleet());
        }
        self.published.confirm_fleet(start_ms);
    }

    fn apply_gateways(&mut self, updates: Vec<Update>, is_whole: bool) {
        if is_whole {
            self.gateways.clear();
        }
        for update in updates {
            match update {
                Update::Gateway { name, address } => {
                    self.gateways.insert(name, address);
                }
                Update::GatewayGone { name } => {
                    self.gateways.remove(&name);
                }
                _ => {}
            }
        }
        let own = self.options.peer_address;
        let mut peers: Vec<SocketAddr> = self.gateways.values().copied().collect();
        peers.extend(&self.options.first_peers);
        peers.retain(|address| *address != own);
        peers.sort();
        peers.dedup();
        log::info!(peers = peers.len(); "gateways read");
        self.published.put_peers(peers);
    }
}

/// An endpoint and since when it isn't listed.
#[derive(Debug, Clone)]
struct Entry {
    key: EndpointKey,
    facts: EndpointFacts,
    missing_since_ms: Option<u64>,
}

/// The endpoints that are listed, and those whose entry may only have lapsed in an outage.
#[derive(Debug)]
pub struct Endpoints {
    entries: HashMap<String, Entry>,
    next_key: u32,
    grace_ms: u64,
    outage_ended_ms: Option<u64>,
    is_changed: bool,
}

impl Endpoints {
    /// None yet.
    pub fn new(grace_ms: u64) -> Self {
        Self {
            entries: HashMap::new(),
            next_key: 0,
            grace_ms,
            outage_ended_ms: None,
            is_changed: false,
        }
    }

    /// The store can be read again.
    pub fn outage_ended(&mut self, now_ms: u64) {
        self.outage_ended_ms = Some(now_ms);
    }

    /// An endpoint is listed.
    pub fn see(&mut self, facts: EndpointFacts) {
        self.replace_at(&facts);
        if let Some(entry) = self.entries.get_mut(&facts.id) {
            let is_same = entry.facts == facts && entry.missing_since_ms.is_none();
            if is_same {
                return;
            }
            log::info!(endpoint = facts.id, leaving = facts.is_leaving; "endpoint changed");
            entry.facts = facts;
            entry.missing_since_ms = None;
        } else {
            log::info!(
                endpoint = facts.id, service = facts.service, address:% = facts.address,
                leaving = facts.is_leaving;
                "endpoint listed"
            );
            let key = EndpointKey(self.next_key);
            self.next_key += 1;
            let entry = Entry {
                key,
                facts: facts.clone(),
                missing_since_ms: None,
            };
            self.entries.insert(facts.id, entry);
        }
        self.is_changed = true;
    }

    /// A later incarnation at the same address ends the earlier one.
    fn replace_at(&mut self, facts: &EndpointFacts) {
        let is_earlier =
            |entry: &Entry| entry.facts.address == facts.address && entry.facts.id != facts.id;
        let before = self.entries.len();
        self.entries.retain(|_, entry| !is_earlier(entry));
        self.is_changed |= self.entries.len() != before;
    }

    /// An endpoint isn't listed any more.
    pub fn miss(&mut self, id: &str, now_ms: u64) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.missing_since_ms.is_none() {
            log::info!(endpoint = id; "endpoint not listed any more");
            entry.missing_since_ms = Some(now_ms);
        }
    }

    /// All were read: those that aren't among them aren't listed any more.
    fn miss_all(&mut self, updates: &[Update], now_ms: u64) {
        let is_listed = |id: &String| {
            updates
                .iter()
                .any(|update| matches!(update, Update::Endpoint(facts) if facts.id == *id))
        };
        let missing: Vec<String> = self
            .entries
            .keys()
            .filter(|id| !is_listed(id))
            .cloned()
            .collect();
        for id in missing {
            self.miss(&id, now_ms);
        }
    }

    /// Drops those that aren't listed, except shortly after an outage. One that was leaving is dropped at
    /// once: it was to go.
    pub fn drop_missing(&mut self, now_ms: u64) {
        let grace_ms = self.grace_ms;
        let ended_ms = self.outage_ended_ms;
        let in_grace = ended_ms.is_some_and(|ended_ms| now_ms < ended_ms + grace_ms);
        let before = self.entries.len();
        self.entries.retain(|id, entry| {
            let is_missing = entry.missing_since_ms.is_some();
            let stays = !is_missing || (in_grace && !entry.facts.is_leaving);
            if !stays {
                log::info!(endpoint = id; "endpoint dropped");
            }
            stays
        });
        self.is_changed |= self.entries.len() != before;
    }

    /// How long to wait for changes, at most `longest_ms`.
    fn wait_ms(&self, longest_ms: u64, now_ms: u64) -> u64 {
        let has_missing = self.entries.values().any(|e| e.missing_since_ms.is_some());
        let Some(ended_ms) = self.outage_ended_ms.filter(|_| has_missing) else {
            return longest_ms;
        };
        let due_ms = (ended_ms + self.grace_ms).saturating_sub(now_ms);
        longest_ms.min(due_ms.max(50))
    }

    fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// All that may be used.
    pub fn fleet(&self) -> Fleet {
        let endpoint = |entry: &Entry| Endpoint {
            key: entry.key,
            id: entry.facts.id.clone(),
            service: entry.facts.service.clone(),
            address: entry.facts.address,
            zone: entry.facts.zone.clone(),
            slots: entry.facts.slots,
            is_leaving: entry.facts.is_leaving,
        };
        let mut endpoints: Vec<Endpoint> = self.entries.values().map(endpoint).collect();
        endpoints.sort_by_key(|endpoint| endpoint.key);
        Fleet::of(endpoints)
    }
}
