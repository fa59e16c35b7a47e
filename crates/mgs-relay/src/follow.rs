//! Follows the store on a thread of its own and publishes the configuration and the fleet.
//!
//! Each topic is read in full once and then by its changes. A failed read is retried; what is known
//! stays in force meanwhile. If the store has compacted the history that a read asks for, the topic
//! is read in full again. The version of the configuration never decreases, whatever is read.

mod apply;
mod zones;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mgs_backpressure::warm_up::lease::GatewayList;
use mgs_observe::metrics::Counters;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::bad_rows::BadRows;
use crate::freshness::Freshness;
use crate::peer_fallback;
use crate::read_pause;
use crate::read_pause::ReadPause;
use crate::source::Batch;
use crate::source::Revision;
use crate::source::Source;
use crate::source::SourceError;
use crate::source::SourceFactory;
use crate::source::Topic;
use crate::source::Update;
use crate::store_calls::CallReason;
use crate::store_calls::StoreCalls;
use crate::view::Published;

use crate::holds::HoldWrite;
use crate::membership::Endpoints;
pub use crate::store_calls::StoreMetrics;

/// Settings of following the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Unique name of this gateway.
    pub name: String,
    /// Address on which this gateway receives messages of peers.
    pub peer_address: SocketAddr,
    /// Addresses of peers from the settings, used before the store's list is known. Some of these
    /// gateways may have ended.
    pub seed_peers: Vec<SocketAddr>,
    /// Duration of a long poll for changes of the configuration or the endpoints, in milliseconds,
    /// while this gateway is a reader or hears no fresh report from one. Each answer, also an empty
    /// one, shows that the connection works. The time that is confirmed is that at which the call
    /// began, so what readers know is at most twice this old. A call that hangs since an outage is
    /// given up 1.5 s later, at the latest 3 s after the end of the outage, and hosts must follow
    /// changes 5 s after it.
    pub wait_ms: u64,
    /// The same while peers report often that nothing else is known, in milliseconds. The store
    /// allows 30 s; this is half of it, since a call is the only traffic that keeps a connection
    /// from being dropped on the way.
    pub long_wait_ms: u64,
    /// Duration of a long poll for changes of the list of gateways, in milliseconds. It may be
    /// long, since new gateways send messages to their peers.
    pub gateways_wait_ms: u64,
    /// The same while the configuration limits requests to cold endpoints, since the right to send
    /// to them depends on it. Two polls are within the lease of that right. A longer poll that is
    /// pending when the limits come into force is given up.
    pub gateways_warm_up_wait_ms: u64,
    /// Delay after a read that returned additions only, in milliseconds: endpoints and gateways
    /// start many at a time, and each start would otherwise cost every gateway a call. Shutdowns
    /// and removals cause no delay.
    pub gather_ms: u64,
    /// Delay after any read that returned something, in milliseconds, if there are many gateways
    /// and this one isn't a reader: successive changes then cost one call per delay instead of one
    /// each. 0 for none.
    pub gather_all_ms: u64,
    /// Number of gateways from which on `gather_all_ms` applies; a few gateways cost the store
    /// little.
    pub gather_all_from: usize,
    /// Delay after a failed read, in milliseconds.
    pub retry_ms: u64,
    /// Delay after a failed read at a gateway that isn't a reader, in milliseconds: readers report
    /// when the store is back.
    pub long_retry_ms: u64,
    /// Time that the first read may take before a peer that reports to know a configuration is
    /// asked for its state, in milliseconds. Requests wait up to 250 ms for a configuration.
    pub informed_peer_delay_ms: u64,
    /// Time that the first read may take before other peers are asked, in milliseconds. A slow
    /// store takes some hundred milliseconds, and peers that start at the same time know nothing
    /// either.
    pub bootstrap_delay_ms: u64,
    /// Time over which gateways spread their full reads where many would read at once, in
    /// milliseconds.
    pub reread_jitter_ms: u64,
    /// How long after an outage endpoints that aren't listed any more are still used, in
    /// milliseconds. Their entries may have expired during the outage; live endpoints write theirs
    /// again within two seconds.
    pub expiry_grace_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: String::new(),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            seed_peers: Vec::new(),
            wait_ms: 1_500,
            long_wait_ms: 15_000,
            gateways_wait_ms: 20_000,
            gateways_warm_up_wait_ms: 6_000,
            gather_ms: 300,
            gather_all_ms: 0,
            gather_all_from: 25,
            retry_ms: 500,
            long_retry_ms: 2_000,
            informed_peer_delay_ms: 150,
            bootstrap_delay_ms: 400,
            reread_jitter_ms: 500,
            expiry_grace_ms: 2_200,
        }
    }
}

/// Starts the thread that follows the store; it runs as long as the process.
pub fn start(
    options: Options,
    factory: Box<dyn SourceFactory>,
    published: Arc<Published>,
    tallies: StoreMetrics,
) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    let body = move || {
        let local = LocalSet::new();
        let endpoints = Endpoints::new(options.expiry_grace_ms);
        let endpoints = Rc::new(RefCell::new(endpoints));
        local.spawn_local(peer_fallback::run(
            options.clone(),
            published.clone(),
            endpoints.clone(),
        ));
        let follower = |topic| {
            let endpoints = endpoints.clone();
            let tallies = tallies.clone();
            Follower::new(
                topic,
                options.clone(),
                published.clone(),
                endpoints,
                tallies,
            )
        };
        local.spawn_local(write_holds(
            options.clone(),
            published.clone(),
            StoreCalls::new(Topic::Gateways, tallies.store_calls.clone()),
            factory.source(),
        ));
        local.spawn_local(follow(follower(Topic::Configuration), factory.source()));
        local.spawn_local(follow(follower(Topic::Endpoints), factory.source()));
        let gateways = follow_gateways(follower(Topic::Gateways), factory.source());
        local.block_on(&runtime, gateways);
    };
    let thread = thread::Builder::new().name("follow".to_string());
    thread.spawn(body).map(|_| ())
}

/// Writes this gateway's entry, unless an entry from an earlier run is still valid, and follows the
/// list of gateways.
async fn follow_gateways(mut follower: Follower, mut source: Box<dyn Source>) {
    let seed_peers = follower.options.seed_peers.clone();
    follower.published.put_peers(seed_peers);
    while let Err(error) = follower.register_if_unlisted(source.as_mut()).await {
        log::warn!(error:% = error; "this gateway's entry can't be written");
        sleep(Duration::from_millis(follower.options.retry_ms)).await;
    }
    follow(follower, source).await;
}

async fn follow(mut follower: Follower, mut source: Box<dyn Source>) {
    loop {
        let start_ms = follower.published.now_ms();
        let pause = match follower.read(source.as_mut()).await {
            Some(read) => follower.handle_read(read, start_ms),
            None => follower.note_aborted_wait(),
        };
        follower.pause(pause).await;
        follower.register_again(source.as_mut()).await;
    }
}

/// Writes held requests to the store until the process ends. What can't be written is retried
/// after a delay, unless something newer is to be written for the same request by then.
async fn write_holds(
    options: Options,
    published: Arc<Published>,
    calls: StoreCalls,
    mut source: Box<dyn Source>,
) {
    let holds = published.holds();
    loop {
        for (fingerprint, write) in holds.next_writes().await {
            calls.count(CallReason::Hold);
            let written = match &write {
                HoldWrite::Hold(record) => source.put_hold(record).await,
                HoldWrite::Release => source.remove_hold(fingerprint).await,
            };
            match written {
                Ok(()) => log::info!(work:% = fingerprint; "what is held was written"),
                Err(error) => {
                    log::warn!(work:% = fingerprint, error:% = error; "what is held can't be written");
                    sleep(Duration::from_millis(options.retry_ms)).await;
                    holds.requeue_write(fingerprint, write);
                }
            }
        }
    }
}

/// Whether a batch reports endpoints that were removed.
fn has_removed_endpoints(batch: &Batch) -> bool {
    let is_removal = |update: &Update| matches!(update, Update::EndpointRemoved { .. });
    batch.updates.iter().any(is_removal)
}

/// Follows one topic.
struct Follower {
    topic: Topic,
    options: Options,
    published: Arc<Published>,
    /// Revision up to which all changes are known.
    revision: Option<Revision>,
    /// Era of the last read.
    era: Option<u64>,
    /// When the topic must be read in full again, in milliseconds. By then, the entries of a
    /// restored older copy have expired unless their endpoints are alive, and operators have written
    /// again the orders that it lacks.
    full_read_at_ms: Option<u64>,
    /// Whether the store has lost this gateway's entry, so that it must be written again.
    needs_registration: bool,
    /// Time since which the topic can't be read, in milliseconds.
    store_lost_since_ms: Option<u64>,
    /// Whether the last long poll was given up, so that the next call must not wait.
    wait_was_aborted: bool,
    endpoints: Rc<RefCell<Endpoints>>,
    gateways: HashMap<String, SocketAddr>,
    /// The gateways ever listed, and the times on which the right to send to cold endpoints
    /// depends.
    gateway_list: GatewayList,
    /// When the last call to the store began, in milliseconds since the host was started.
    call_boot_ms: f64,
    /// Malformed times for which endpoints are cold that were logged, by identifier.
    logged_cold: HashMap<String, String>,
    bad_rows: BadRows,
    /// The rows of orders to evacuate zones that can't be used.
    zone_rows: BadRows,
    rollbacks: Counters,
    calls: StoreCalls,
}

impl Follower {
    fn new(
        topic: Topic,
        options: Options,
        published: Arc<Published>,
        endpoints: Rc<RefCell<Endpoints>>,
        tallies: StoreMetrics,
    ) -> Self {
        Self {
            topic,
            gateway_list: GatewayList::new(&options.name),
            call_boot_ms: 0.0,
            logged_cold: HashMap::new(),
            options,
            published,
            revision: None,
            era: None,
            full_read_at_ms: None,
            needs_registration: false,
            store_lost_since_ms: None,
            wait_was_aborted: false,
            endpoints,
            gateways: HashMap::new(),
            zone_rows: BadRows::new(tallies.bad_rows.clone()),
            bad_rows: BadRows::new(tallies.bad_rows),
            rollbacks: tallies.store_rollbacks,
            calls: StoreCalls::new(topic, tallies.store_calls),
        }
    }

    /// The freshness of the topic; `None` for the gateways, which make themselves known by their
    /// messages.
    fn freshness(&self) -> Option<&Freshness> {
        match self.topic {
            Topic::Configuration => Some(self.published.configuration_freshness()),
            Topic::Endpoints => Some(self.published.endpoint_freshness()),
            Topic::Gateways => None,
        }
    }

    /// Reads the list of gateways, and writes this gateway's entry if it isn't listed at its
    /// address.
    async fn register_if_unlisted(&mut self, source: &mut dyn Source) -> Result<(), SourceError> {
        let start_ms = self.published.now_ms();
        self.call_boot_ms = self.published.boot_ms();
        self.calls.count(CallReason::Whole);
        let batch = source.read_all(self.topic).await?;
        self.apply(batch, start_ms);
        let own = self.options.peer_address;
        if self.gateways.get(&self.options.name) == Some(&own) {
            return Ok(());
        }
        self.calls.count(CallReason::Register);
        source.register(&self.options.name, own).await?;
        self.note_registered();
        Ok(())
    }

    /// Records that the store has acknowledged this gateway's entry.
    fn note_registered(&mut self) {
        self.needs_registration = false;
        self.gateway_list
            .acknowledge_entry(self.published.boot_ms());
        self.published.put_gateway_list(self.gateway_list.clone());
    }

    /// Reads the topic in full, or waits for changes. Returns `None` if the wait was given up
    /// because a peer has newer content, because nothing has confirmed the known content recently,
    /// or because the list of gateways must be polled at shorter intervals.
    async fn read(&mut self, source: &mut dyn Source) -> Option<Result<Batch, SourceError>> {
        self.call_boot_ms = self.published.boot_ms();
        let now_ms = self.published.now_ms();
        if self.full_read_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            self.full_read_at_ms = None;
            self.revision = None;
        }
        let Some(after) = self.revision else {
            self.calls.count(CallReason::Whole);
            return Some(source.read_all(self.topic).await);
        };
        let wait_ms = self.wait_ms();
        let is_long = wait_ms > self.options.wait_ms;
        self.calls.count(match (wait_ms, is_long) {
            (0, _) => CallReason::Probe,
            (_, false) => CallReason::Wait,
            (_, true) => CallReason::LongWait,
        });
        let call = source.read_changes(self.topic, after, wait_ms);
        tokio::select! {
            read = call => Some(read),
            () = self.until_aborted(wait_ms) => None,
        }
    }

    /// Completes when a pending long poll should be given up.
    async fn until_aborted(&self, wait_ms: u64) {
        match self.freshness() {
            Some(freshness) if wait_ms > self.options.wait_ms => {
                self.until_outdated(freshness).await
            }
            None if wait_ms > self.options.gateways_warm_up_wait_ms => {
                self.published.until_warm_up_limits().await
            }
            _ => std::future::pending().await,
        }
    }

    /// Completes when the content of a topic is outdated, or may be.
    async fn until_outdated(&self, freshness: &Freshness) {
        loop {
            freshness.notified().await;
            if self.is_stale(freshness) {
                return;
            }
            // The change that a peer has just read should arrive here too, unless this call's
            // connection is dead.
            sleep(Duration::from_millis(self.options.gather_ms)).await;
            if freshness.should_abort_wait() {
                return;
            }
        }
    }

    fn is_stale(&self, freshness: &Freshness) -> bool {
        freshness.is_stale(self.published.now_ms())
    }

    fn wait_ms(&mut self) -> u64 {
        let wait_was_aborted = std::mem::take(&mut self.wait_was_aborted);
        if self.store_lost_since_ms.is_some() {
            // Detect the end of an outage when it comes, not with the next change.
            return 0;
        }
        let Some(freshness) = self.freshness() else {
            let wait_ms = self.options.gateways_wait_ms;
            return match self.published.has_warm_up_limits() {
                true => wait_ms.min(self.options.gateways_warm_up_wait_ms),
                false => wait_ms,
            };
        };
        if wait_was_aborted || self.is_stale(freshness) {
            // Tell past changes apart from future ones, see `note_store_answered`.
            return 0;
        }
        let longest_ms = match self.published.is_reader() {
            true => self.options.wait_ms,
            false => self.options.long_wait_ms,
        };
        let now_ms = self.published.now_ms();
        let due_ms = self.full_read_at_ms.unwrap_or(u64::MAX);
        let longest_ms = longest_ms.min(due_ms.saturating_sub(now_ms));
        match self.topic {
            Topic::Endpoints => self.endpoints.borrow().bounded_wait_ms(longest_ms, now_ms),
            _ => longest_ms,
        }
    }

    /// Records that a long poll was given up.
    fn note_aborted_wait(&mut self) -> ReadPause {
        let Some(freshness) = self.freshness() else {
            log::info!(
                "requests to cold endpoints are limited; the list of gateways is polled more often"
            );
            return ReadPause::None;
        };
        let age_ms = freshness.age_ms(self.published.now_ms());
        log::info!(
            topic = self.topic.name(), age_ms = age_ms.unwrap_or(u64::MAX);
            "a call to the store that waits isn't trusted"
        );
        self.wait_was_aborted = true;
        ReadPause::None
    }

    /// Applies the result of a read, and returns the pause before the next one.
    fn handle_read(&mut self, read: Result<Batch, SourceError>, start_ms: u64) -> ReadPause {
        match read {
            Ok(batch) => {
                let pause = self.pause_after(&batch);
                self.note_store_answered(has_removed_endpoints(&batch));
                self.apply(batch, start_ms);
                pause
            }
            Err(SourceError::EraChanged { from, to }) => {
                log::info!(topic = self.topic.name(), from = from, to = to; "the store is in another era");
                self.revision = None;
                ReadPause::Spread
            }
            Err(SourceError::HistoryCompacted) => {
                log::info!(topic = self.topic.name(); "the store has compacted its history");
                self.note_store_answered(true);
                self.revision = None;
                ReadPause::None
            }
            Err(error) => {
                self.note_store_lost(&error);
                ReadPause::Retry
            }
        }
    }

    /// The pause after a batch, in which further changes may gather.
    fn pause_after(&self, batch: &Batch) -> ReadPause {
        match self.revision {
            None => ReadPause::None,
            Some(_) => read_pause::pause_after(batch, self.is_one_of_many()),
        }
    }

    /// Whether there are so many gateways that this one, not being a reader, must not call the
    /// store at each change.
    fn is_one_of_many(&self) -> bool {
        let are_many = self.published.listed_gateways() >= Some(self.options.gather_all_from);
        are_many && !self.published.is_reader()
    }

    fn note_store_lost(&mut self, error: &SourceError) {
        if self.store_lost_since_ms.is_some() {
            return;
        }
        log::warn!(topic = self.topic.name(), error:% = error; "the store is lost");
        let now_ms = self.published.now_ms();
        self.store_lost_since_ms = Some(now_ms);
        if let Some(freshness) = self.freshness() {
            freshness.mark_store_lost(now_ms);
        }
    }

    /// Records that the store answered. `has_removed_endpoints` says whether entries were removed
    /// by this answer, or may have been.
    fn note_store_answered(&mut self, has_removed_endpoints: bool) {
        let now_ms = self.published.now_ms();
        if self.store_lost_since_ms.is_some() {
            log::info!(topic = self.topic.name(); "the store is back");
        }
        // An outage may also begin and end between two calls. But content also becomes stale when
        // the readers are silent. The first call after that doesn't wait, so entries that it
        // doesn't report as removed haven't expired, and endpoints removed later have left. When
        // every stale period was taken for an outage, endpoints that had left were used for four
        // seconds.
        let unseen_since_ms = self
            .stale_since_ms(now_ms)
            .filter(|_| has_removed_endpoints);
        if let Some(began_ms) = self.store_lost_since_ms.or(unseen_since_ms) {
            self.endpoints
                .borrow_mut()
                .note_outage_end(began_ms, now_ms);
        }
        if let Some(freshness) = self.freshness() {
            freshness.mark_store_recovered();
        }
        self.store_lost_since_ms = None;
    }

    /// When the known content was last confirmed, if it is stale; `None` before the first read.
    fn stale_since_ms(&self, now_ms: u64) -> Option<u64> {
        let freshness = self
            .freshness()
            .filter(|freshness| freshness.is_stale(now_ms))?;
        let age_ms = freshness.age_ms(now_ms).unwrap_or(now_ms);
        self.revision.map(|_| now_ms.saturating_sub(age_ms))
    }

    /// Writes this gateway's entry again if the store has lost it.
    async fn register_again(&mut self, source: &mut dyn Source) {
        if !self.needs_registration {
            return;
        }
        self.calls.count(CallReason::Register);
        let own = self.options.peer_address;
        match source.register(&self.options.name, own).await {
            Ok(()) => self.note_registered(),
            Err(error) => {
                log::warn!(error:% = error; "this gateway's entry can't be written again")
            }
        }
    }

    /// Delay of this gateway's full reads relative to others, where many would read at once.
    /// Derived from its name.
    fn jitter(&self) -> Duration {
        if !self.is_one_of_many() {
            return Duration::ZERO;
        }
        let name_hash = xxh3_64(self.options.name.as_bytes());
        Duration::from_millis(name_hash % self.options.reread_jitter_ms.max(1))
    }

    async fn pause(&self, pause: ReadPause) {
        let options = &self.options;
        match pause {
            ReadPause::None => {}
            ReadPause::Spread => sleep(self.jitter()).await,
            ReadPause::Gather => sleep(Duration::from_millis(options.gather_ms)).await,
            ReadPause::GatherAll => sleep(Duration::from_millis(options.gather_all_ms)).await,
            ReadPause::Retry => {
                sleep(Duration::from_millis(options.retry_ms)).await;
                if self.published.is_reader() {
                    return;
                }
                let more_ms = options.long_retry_ms.saturating_sub(options.retry_ms);
                let Some(freshness) = self.freshness() else {
                    // Other gateways make themselves known by their messages; their list isn't
                    // urgent.
                    sleep(Duration::from_millis(more_ms)).await;
                    return;
                };
                // A notification and a timeout have the same effect: the next read.
                let _ = timeout(Duration::from_millis(more_ms), freshness.notified()).await;
            }
        }
    }
}
