//! Follows the store on a thread of its own and publishes what is in force.
//!
//! Each topic is read as a whole once and then by its changes. A reading that fails is repeated; what is
//! known stays in force meanwhile. A history that the store has dropped is replaced by a whole reading. A
//! configuration never goes back, whatever is read.

mod apply;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mgs_observe::metrics::Counters;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use crate::bad_rows::BadRows;
use crate::calls::Calls;
use crate::calls::Reason;
use crate::freshness::Freshness;
use crate::gather;
use crate::gather::Pause;
use crate::help;
use crate::holds::Write;
use crate::membership::Endpoints;
use crate::source::Batch;
use crate::source::Revision;
use crate::source::Source;
use crate::source::SourceError;
use crate::source::SourceFactory;
use crate::source::Topic;
use crate::source::Update;
use crate::view::Published;

pub use crate::calls::Tallies;

/// Settings of following.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Name of this gateway, unique.
    pub name: String,
    /// Where this gateway hears peers.
    pub peer_address: SocketAddr,
    /// Peers known from the settings; some may be gone.
    pub seed_peers: Vec<SocketAddr>,
    /// Longest wait of the store for a change of configuration or endpoints, in milliseconds, where this
    /// gateway is a reader or hears nothing fresh from one. An answer each time shows that the connection
    /// lives. What is confirmed is the moment at which a call began, so what readers know is at most twice
    /// as old; a call that hangs since an outage is given up 1.5 s later, 3 s after the outage's end at
    /// the latest, and hosts are held to changes 5 s after it.
    pub wait_ms: u64,
    /// The same where peers say often that nothing else is known, in milliseconds. The store allows 30 s;
    /// half of it, since a call is the only thing that keeps a connection from being forgotten on the way.
    pub long_wait_ms: u64,
    /// The wait for changes among gateways, in milliseconds: new ones make themselves heard.
    pub gateways_wait_ms: u64,
    /// Wait after a reading that brought newcomers only, in milliseconds: endpoints and gateways start many
    /// at a time, and each of them would be a call at each gateway. Who leaves or goes is read at once.
    pub gather_ms: u64,
    /// Wait after any other reading that brought something, in milliseconds, where the gateway isn't a reader and there
    /// are many: changes that follow each other cost one call for each wait then, not one each. 0 for none.
    pub gather_all_ms: u64,
    /// Gateways from which on that is done: a few cost the store little.
    pub gather_all_from: usize,
    /// Wait after a reading that failed, in milliseconds.
    pub retry_ms: u64,
    /// The same where readers say when the store is back, in milliseconds.
    pub long_retry_ms: u64,
    /// How long the first reading may take before peers are asked, in milliseconds: a slow store takes some
    /// hundred, and without a configuration nobody is served.
    pub bootstrap_delay_ms: u64,
    /// Time over which gateways spread their readings of all that there is, where many would read at once, in
    /// milliseconds.
    pub reread_jitter_ms: u64,
    /// How long after an outage endpoints that aren't listed any more are still used, in milliseconds:
    /// their entries may have lapsed in the outage, and those that live are back within two seconds.
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
            gather_ms: 300,
            gather_all_ms: 0,
            gather_all_from: 25,
            retry_ms: 500,
            long_retry_ms: 2_000,
            bootstrap_delay_ms: 400,
            reread_jitter_ms: 500,
            expiry_grace_ms: 2_200,
        }
    }
}

/// Starts to follow; the thread lives as long as the process.
pub fn start(
    options: Options,
    factory: Box<dyn SourceFactory>,
    published: Arc<Published>,
    tallies: Tallies,
) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    let body = move || {
        let local = LocalSet::new();
        let endpoints = Endpoints::new(options.expiry_grace_ms);
        let endpoints = Rc::new(RefCell::new(endpoints));
        local.spawn_local(help::run(
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
            Calls::new(Topic::Gateways, tallies.store_calls.clone()),
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

/// Lists this gateway, unless it is listed from an earlier life, and follows the others.
async fn follow_gateways(mut follower: Follower, mut source: Box<dyn Source>) {
    let seed_peers = follower.options.seed_peers.clone();
    follower.published.put_peers(seed_peers);
    while let Err(error) = follower.register_if_unlisted(source.as_mut()).await {
        log::warn!(error:% = error; "this gateway can't be listed");
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

/// Writes to the store what is held, until the process ends; what can't be written now is written when the store is back.
async fn write_holds(
    options: Options,
    published: Arc<Published>,
    calls: Calls,
    mut source: Box<dyn Source>,
) {
    let holds = published.holds();
    loop {
        for (work, write) in holds.to_write().await {
            calls.count(Reason::Hold);
            let written = match &write {
                Write::Hold(hold) => source.put_hold(hold).await,
                Write::LetGo => source.remove_hold(work).await,
            };
            match written {
                Ok(()) => log::info!(work:% = work; "what is held was written"),
                Err(error) => {
                    log::warn!(work:% = work, error:% = error; "what is held can't be written");
                    sleep(Duration::from_millis(options.retry_ms)).await;
                    holds.write_if_none(work, write);
                }
            }
        }
    }
}

/// Whether a batch tells of endpoints that are gone.
fn has_removed_endpoints(batch: &Batch) -> bool {
    let is_gone = |update: &Update| matches!(update, Update::EndpointGone { .. });
    batch.updates.iter().any(is_gone)
}

/// What is known of one topic.
struct Follower {
    topic: Topic,
    options: Options,
    published: Arc<Published>,
    /// Up to where all changes are known.
    revision: Option<Revision>,
    /// The era of the last reading.
    era: Option<u64>,
    /// When all is to be read again, in milliseconds: what an older copy listed has lapsed by then, or lives.
    read_all_at_ms: Option<u64>,
    /// Whether this gateway isn't listed any more and has to list itself again.
    needs_registration: bool,
    /// Since when the store can't be read for it, in milliseconds.
    store_lost_since_ms: Option<u64>,
    /// Whether a peer knows better than the call that waited.
    wait_was_aborted: bool,
    endpoints: Rc<RefCell<Endpoints>>,
    gateways: HashMap<String, SocketAddr>,
    bad_rows: BadRows,
    rollbacks: Counters,
    calls: Calls,
}

impl Follower {
    fn new(
        topic: Topic,
        options: Options,
        published: Arc<Published>,
        endpoints: Rc<RefCell<Endpoints>>,
        tallies: Tallies,
    ) -> Self {
        Self {
            topic,
            options,
            published,
            revision: None,
            era: None,
            read_all_at_ms: None,
            needs_registration: false,
            store_lost_since_ms: None,
            wait_was_aborted: false,
            endpoints,
            gateways: HashMap::new(),
            bad_rows: BadRows::new(tallies.bad_rows),
            rollbacks: tallies.store_rollbacks,
            calls: Calls::new(topic, tallies.store_calls),
        }
    }

    /// How fresh the topic is; gateways tell of themselves.
    fn freshness(&self) -> Option<&Freshness> {
        match self.topic {
            Topic::Configuration => Some(self.published.configuration_freshness()),
            Topic::Endpoints => Some(self.published.endpoint_freshness()),
            Topic::Gateways => None,
        }
    }

    /// Reads the gateways, and adds this one if it isn't listed where it is.
    async fn register_if_unlisted(&mut self, source: &mut dyn Source) -> Result<(), SourceError> {
        let start_ms = self.published.now_ms();
        self.calls.count(Reason::Whole);
        let batch = source.read_all(self.topic).await?;
        self.apply(batch, start_ms);
        let own = self.options.peer_address;
        if self.gateways.get(&self.options.name) == Some(&own) {
            return Ok(());
        }
        self.calls.count(Reason::Register);
        source.register(&self.options.name, own).await
    }

    /// Reads all, or waits for changes; `None` if the wait was given up, since a peer knows better.
    async fn read(&mut self, source: &mut dyn Source) -> Option<Result<Batch, SourceError>> {
        let now_ms = self.published.now_ms();
        if self.read_all_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
            self.read_all_at_ms = None;
            self.revision = None;
        }
        let Some(after) = self.revision else {
            self.calls.count(Reason::Whole);
            return Some(source.read_all(self.topic).await);
        };
        let wait_ms = self.wait_ms();
        let is_long = wait_ms > self.options.wait_ms;
        self.calls.count(match (wait_ms, is_long) {
            (0, _) => Reason::Probe,
            (_, false) => Reason::Wait,
            (_, true) => Reason::LongWait,
        });
        let reading = source.read_changes(self.topic, after, wait_ms);
        match self.freshness().filter(|_| is_long) {
            None => Some(reading.await),
            Some(freshness) => tokio::select! {
                read = reading => Some(read),
                () = self.until_outdated(freshness) => None,
            },
        }
    }

    /// Comes back when a call that waits long isn't to be trusted.
    async fn until_outdated(&self, freshness: &Freshness) {
        loop {
            freshness.notified().await;
            if self.is_stale(freshness) {
                return;
            }
            // What a peer has just read is on its way here too, unless this call is dead.
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
            // The end of an outage is to be known when it comes, not with the next change.
            return 0;
        }
        let Some(freshness) = self.freshness() else {
            return self.options.gateways_wait_ms;
        };
        if wait_was_aborted || self.is_stale(freshness) {
            // What has happened until now is to be told apart from what happens next: see `note_store_answered`.
            return 0;
        }
        let longest_ms = match self.published.is_reader() {
            true => self.options.wait_ms,
            false => self.options.long_wait_ms,
        };
        let now_ms = self.published.now_ms();
        match self.topic {
            Topic::Endpoints => {
                let due_ms = self.read_all_at_ms.unwrap_or(u64::MAX);
                let longest_ms = longest_ms.min(due_ms.saturating_sub(now_ms));
                self.endpoints.borrow().bounded_wait_ms(longest_ms, now_ms)
            }
            _ => longest_ms,
        }
    }

    /// A waiting call was given up.
    fn note_aborted_wait(&mut self) -> Pause {
        let age_ms = self
            .freshness()
            .and_then(|b| b.age_ms(self.published.now_ms()));
        log::info!(
            topic = self.topic.name(), age_ms = age_ms.unwrap_or(u64::MAX);
            "a call to the store that waits isn't trusted"
        );
        self.wait_was_aborted = true;
        Pause::None
    }

    /// Takes a reading.
    fn handle_read(&mut self, read: Result<Batch, SourceError>, start_ms: u64) -> Pause {
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
                Pause::Spread
            }
            Err(SourceError::HistoryCompacted) => {
                log::info!(topic = self.topic.name(); "the store has dropped its history");
                self.note_store_answered(true);
                self.revision = None;
                Pause::None
            }
            Err(error) => {
                self.note_store_lost(&error);
                Pause::Retry
            }
        }
    }

    /// Whether to wait for more of what a batch tells.
    fn pause_after(&self, batch: &Batch) -> Pause {
        match self.revision {
            None => Pause::None,
            Some(_) => gather::after(batch, self.is_one_of_many()),
        }
    }

    /// Whether so many gateways follow the store that this one, which isn't a reader, must not call it at each change.
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

    /// The store answers. `has_removed_endpoints`: whether entries are gone, by this answer, or may be.
    fn note_store_answered(&mut self, has_removed_endpoints: bool) {
        let now_ms = self.published.now_ms();
        if self.store_lost_since_ms.is_some() {
            log::info!(topic = self.topic.name(); "the store is back");
        }
        // An outage may also pass between two calls. But a belief grows old too when those who ask often are silent;
        // the first call after that waits for nothing, so what it doesn't tell of hasn't lapsed, and what goes
        // later has left. Taken for an outage each time, endpoints that had left were used for four seconds.
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

    /// When what is known was last confirmed, if that is long ago; nothing is known before the first reading.
    fn stale_since_ms(&self, now_ms: u64) -> Option<u64> {
        let freshness = self
            .freshness()
            .filter(|freshness| freshness.is_stale(now_ms))?;
        let age_ms = freshness.age_ms(now_ms).unwrap_or(now_ms);
        self.revision.map(|_| now_ms.saturating_sub(age_ms))
    }

    /// Lists this gateway again, if the store has lost that.
    async fn register_again(&mut self, source: &mut dyn Source) {
        if !self.needs_registration {
            return;
        }
        self.calls.count(Reason::Register);
        let own = self.options.peer_address;
        match source.register(&self.options.name, own).await {
            Ok(()) => self.needs_registration = false,
            Err(error) => log::warn!(error:% = error; "this gateway can't be listed again"),
        }
    }

    /// Time by which this gateway reads later than others where many would read all at once.
    fn jitter(&self) -> Duration {
        if !self.is_one_of_many() {
            return Duration::ZERO;
        }
        let name_hash = xxh3_64(self.options.name.as_bytes());
        Duration::from_millis(name_hash % self.options.reread_jitter_ms.max(1))
    }

    async fn pause(&self, pause: Pause) {
        let options = &self.options;
        match pause {
            Pause::None => {}
            Pause::Spread => sleep(self.jitter()).await,
            Pause::Gather => sleep(Duration::from_millis(options.gather_ms)).await,
            Pause::GatherAll => sleep(Duration::from_millis(options.gather_all_ms)).await,
            Pause::Retry => {
                sleep(Duration::from_millis(options.retry_ms)).await;
                if self.published.is_reader() {
                    return;
                }
                let more_ms = options.long_retry_ms.saturating_sub(options.retry_ms);
                let Some(freshness) = self.freshness() else {
                    // Other gateways make themselves heard; nobody waits for their list.
                    sleep(Duration::from_millis(more_ms)).await;
                    return;
                };
                // Whether there is news or time is up is all the same.
                let _ = timeout(Duration::from_millis(more_ms), freshness.notified()).await;
            }
        }
    }
}
