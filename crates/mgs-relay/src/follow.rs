//! Follows the store on a thread of its own and publishes the configuration and the fleet.
//!
//! Each topic is read in full once and then by its changes. A failed read is retried; what is known
//! stays in force meanwhile. If the store has compacted the history that a read asks for, the topic
//! is read in full again. The version of the configuration never decreases, whatever is read.

mod apply;
mod contact;
mod waiting;
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

use self::contact::StoreLoss;
use self::waiting::AbortReason;
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
    /// one, shows that the connection works, and an empty one confirms what is known as of the end
    /// of the wait. A call on a connection that has fallen silent is given up half a second after
    /// its answer was due, since hosts must follow changes 3 s after such a silence.
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
    /// Interval between two status reports of an endpoint, in milliseconds.
    pub report_interval_ms: u64,
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
            report_interval_ms: 1_200,
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
            ReadEnd::Read { read, waited_ms } => {
                let as_of_ms = follower.time_call(&read, start_ms, waited_ms);
                follower.handle_read(read, as_of_ms)
            }
            ReadEnd::Aborted(reason) => follower.note_aborted_wait(reason),
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

/// How a read ended.
enum ReadEnd {
    /// With the store's answer, for which it was asked to wait, or an error.
    Read {
        read: Result<Batch, SourceError>,
        waited_ms: u64,
    },
    /// It was given up while it waited.
    Aborted(AbortReason),
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
    /// When the operators' table must be read in full again, in milliseconds. By then, operators
    /// have written again the orders that a restored older copy lacks.
    full_read_at_ms: Option<u64>,
    /// Whether the store has lost this gateway's entry, so that it must be written again.
    needs_registration: bool,
    /// How the store was lost, while the topic can't be read.
    store_loss: Option<StoreLoss>,
    /// How long the last call without a wait took, in milliseconds.
    call_ms: u64,
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
            store_loss: None,
            call_ms: 0,
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

    /// Reads the topic in full, or waits for changes.
    async fn read(&mut self, source: &mut dyn Source) -> ReadEnd {
        self.call_boot_ms = self.published.boot_ms();
        let now_ms = self.published.now_ms();
        if self.full_read_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            self.full_read_at_ms = None;
            self.revision = None;
        }
        if self.topic == Topic::Endpoints && self.endpoints.borrow().needs_full_read(now_ms) {
            self.revision = None;
        }
        let Some(after) = self.revision else {
            self.calls.count(CallReason::Whole);
            let read = source.read_all(self.topic).await;
            return ReadEnd::Read { read, waited_ms: 0 };
        };
        let wait_ms = self.next_wait_ms();
        let is_long = wait_ms > self.options.wait_ms;
        self.calls.count(match (wait_ms, is_long) {
            (0, _) => CallReason::Probe,
            (_, false) => CallReason::Wait,
            (_, true) => CallReason::LongWait,
        });
        let call = source.read_changes(self.topic, after, wait_ms);
        tokio::select! {
            biased;
            read = call => ReadEnd::Read { read, waited_ms: wait_ms },
            reason = self.until_aborted(wait_ms) => ReadEnd::Aborted(reason),
        }
    }

    /// Records how long a call took that began at `start_ms` and asked the store to wait for
    /// `waited_ms`, and returns the time as of which its answer tells what the store holds, in
    /// milliseconds: an answer without changes was given at the end of the wait.
    fn time_call(
        &mut self,
        read: &Result<Batch, SourceError>,
        start_ms: u64,
        waited_ms: u64,
    ) -> u64 {
        let took_ms = self.published.now_ms().saturating_sub(start_ms);
        let Ok(batch) = read else {
            return start_ms;
        };
        if waited_ms == 0 {
            self.call_ms = took_ms;
        }
        let has_waited = batch.updates.is_empty() && took_ms >= waited_ms;
        match has_waited {
            true => start_ms + waited_ms,
            false => start_ms,
        }
    }

    /// Applies the result of a read as of `as_of_ms`, and returns the pause before the next one.
    fn handle_read(&mut self, read: Result<Batch, SourceError>, as_of_ms: u64) -> ReadPause {
        match read {
            Ok(batch) => {
                let pause = self.pause_after(&batch);
                self.note_store_answered(has_removed_endpoints(&batch));
                self.apply(batch, as_of_ms);
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
