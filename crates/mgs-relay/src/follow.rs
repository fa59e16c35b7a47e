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
use crate::belief::Belief;
use crate::holds::HoldWrite;
use crate::membership::Endpoints;
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

pub use crate::store_calls::StoreMetrics;

/// Settings of following.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Name of this gateway, unique.
    pub name: String,
    /// Where this gateway hears peers.
    pub peer_address: SocketAddr,
    /// Peers known from the settings; some may be gone.
    pub first_peers: Vec<SocketAddr>,
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
    pub start_patience_ms: u64,
    /// Time over which gateways spread their readings of all that there is, where many would read at once, in
    /// milliseconds.
    pub spread_ms: u64,
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
            wait_ms: 1_500,
            long_wait_ms: 15_000,
            gateways_wait_ms: 20_000,
            gather_ms: 300,
            gather_all_ms: 0,
            gather_all_from: 25,
            retry_ms: 500,
            long_retry_ms: 2_000,
            start_patience_ms: 400,
            spread_ms: 500,
            lapse_grace_ms: 2_200,
        }
    }
}

/// Starts to follow; the thread lives as long as the process.
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
        let endpoints = Endpoints::new(options.lapse_grace_ms);
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
        local.spawn_local(keep_holds(
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

/// Lists this gateway, unless it is listed from an earlier life, and follows the others.
async fn follow_gateways(mut follower: Follower, mut source: Box<dyn Source>) {
    let first_peers = follower.options.first_peers.clone();
    follower.published.put_peers(first_peers);
    while let Err(error) = follower.join(source.as_mut()).await {
        log::warn!(error:% = error; "this gateway can't be listed");
        sleep(Duration::from_millis(follower.options.retry_ms)).await;
    }
    follow(follower, source).await;
}

async fn follow(mut follower: Follower, mut source: Box<dyn Source>) {
    loop {
        let start_ms = follower.published.now_ms();
        let pause = match follower.read(source.as_mut()).await {
            Some(read) => follower.take(read, start_ms),
            None => follower.doubt(),
        };
        follower.pause(pause).await;
        follower.list_again(source.as_mut()).await;
    }
}

/// Writes to the store what is held, until the process ends; what can't be written now is written when the store is back.
async fn keep_holds(
    options: Options,
    published: Arc<Published>,
    calls: StoreCalls,
    mut source: Box<dyn Source>,
) {
    let holds = published.holds();
    loop {
        for (work, write) in holds.next_writes().await {
            calls.count(CallReason::Hold);
            let written = match &write {
                HoldWrite::Hold(hold) => source.put_hold(hold).await,
                HoldWrite::LetGo => source.remove_hold(work).await,
            };
            match written {
                Ok(()) => log::info!(work:% = work; "what is held was written"),
                Err(error) => {
                    log::warn!(work:% = work, error:% = error; "what is held can't be written");
                    sleep(Duration::from_millis(options.retry_ms)).await;
                    holds.requeue_write(work, write);
                }
            }
        }
    }
}

/// Whether a batch tells of endpoints that are gone.
fn has_gone(batch: &Batch) -> bool {
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
    is_unlisted: bool,
    /// Since when the store can't be read for it, in milliseconds.
    lost_since_ms: Option<u64>,
    /// Whether a peer knows better than the call that waited.
    is_doubtful: bool,
    endpoints: Rc<RefCell<Endpoints>>,
    gateways: HashMap<String, SocketAddr>,
    rows: BadRows,
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
            options,
            published,
            revision: None,
            era: None,
            read_all_at_ms: None,
            is_unlisted: false,
            lost_since_ms: None,
            is_doubtful: false,
            endpoints,
            gateways: HashMap::new(),
            rows: BadRows::new(tallies.bad_rows),
            rollbacks: tallies.store_rollbacks,
            calls: StoreCalls::new(topic, tallies.store_calls),
        }
    }

    /// How fresh the topic is; gateways tell of themselves.
    fn belief(&self) -> Option<&Belief> {
        match self.topic {
            Topic::Configuration => Some(self.published.configuration_belief()),
            Topic::Endpoints => Some(self.published.endpoint_belief()),
            Topic::Gateways => None,
        }
    }

    /// Reads the gateways, and adds this one if it isn't listed where it is.
    async fn join(&mut self, source: &mut dyn Source) -> Result<(), SourceError> {
        let start_ms = self.published.now_ms();
        self.calls.count(CallReason::Whole);
        let batch = source.read_all(self.topic).await?;
        self.apply(batch, start_ms);
        let own = self.options.peer_address;
        if self.gateways.get(&self.options.name) == Some(&own) {
            return Ok(());
        }
        self.calls.count(CallReason::Register);
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
        let reading = source.read_changes(self.topic, after, wait_ms);
        match self.belief().filter(|_| is_long) {
            None => Some(reading.await),
            Some(belief) => tokio::select! {
                read = reading => Some(read),
                () = self.doubted(belief) => None,
            },
        }
    }

    /// Comes back when a call that waits long isn't to be trusted.
    async fn doubted(&self, belief: &Belief) {
        loop {
            belief.news().await;
            if self.is_stale(belief) {
                return;
            }
            // What a peer has just read is on its way here too, unless this call is dead.
            sleep(Duration::from_millis(self.options.gather_ms)).await;
            if belief.doubts() {
                return;
            }
        }
    }

    fn is_stale(&self, belief: &Belief) -> bool {
        belief.is_stale(self.published.now_ms())
    }

    fn wait_ms(&mut self) -> u64 {
        let is_doubtful = std::mem::take(&mut self.is_doubtful);
        if self.lost_since_ms.is_some() {
            // The end of an outage is to be known when it comes, not with the next change.
            return 0;
        }
        let Some(belief) = self.belief() else {
            return self.options.gateways_wait_ms;
        };
        if is_doubtful || self.is_stale(belief) {
            // What has happened until now is to be told apart from what happens next: see `found`.
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
                self.endpoints.borrow().wait_ms(longest_ms, now_ms)
            }
            _ => longest_ms,
        }
    }

    /// A waiting call was given up.
    fn doubt(&mut self) -> ReadPause {
        let age_ms = self
            .belief()
            .and_then(|b| b.age_ms(self.published.now_ms()));
        log::info!(
            topic = self.topic.name(), age_ms = age_ms.unwrap_or(u64::MAX);
            "a call to the store that waits isn't trusted"
        );
        self.is_doubtful = true;
        ReadPause::None
    }

    /// Takes a reading.
    fn take(&mut self, read: Result<Batch, SourceError>, start_ms: u64) -> ReadPause {
        match read {
            Ok(batch) => {
                let pause = self.gathering(&batch);
                self.found(has_gone(&batch));
                self.apply(batch, start_ms);
                pause
            }
            Err(SourceError::EraOver { from, to }) => {
                log::info!(topic = self.topic.name(), from = from, to = to; "the store is in another era");
                self.revision = None;
                ReadPause::Spread
            }
            Err(SourceError::HistoryGone) => {
                log::info!(topic = self.topic.name(); "the store has dropped its history");
                self.found(true);
                self.revision = None;
                ReadPause::None
            }
            Err(error) => {
                self.lost(&error);
                ReadPause::Retry
            }
        }
    }

    /// Whether to wait for more of what a batch tells.
    fn gathering(&self, batch: &Batch) -> ReadPause {
        match self.revision {
            None => ReadPause::None,
            Some(_) => read_pause::pause_after(batch, self.is_one_of_many()),
        }
    }

    /// Whether so many gateways follow the store that this one, which isn't a reader, must not call it at each change.
    fn is_one_of_many(&self) -> bool {
        let are_many = self.published.listed_gateways() >= Some(self.options.gather_all_from);
        are_many && !self.published.is_reader()
    }

    fn lost(&mut self, error: &SourceError) {
        if self.lost_since_ms.is_some() {
            return;
        }
        log::warn!(topic = self.topic.name(), error:% = error; "the store is lost");
        let now_ms = self.published.now_ms();
        self.lost_since_ms = Some(now_ms);
        if let Some(belief) = self.belief() {
            belief.lose(now_ms);
        }
    }

    /// The store answers. `has_gone`: whether entries are gone, by this answer, or may be.
    fn found(&mut self, has_gone: bool) {
        let now_ms = self.published.now_ms();
        if self.lost_since_ms.is_some() {
            log::info!(topic = self.topic.name(); "the store is back");
        }
        // An outage may also pass between two calls. But a belief grows old too when those who ask often are silent;
        // the first call after that waits for nothing, so what it doesn't tell of hasn't lapsed, and what goes
        // later has left. Taken for an outage each time, endpoints that had left were used for four seconds.
        let unseen_since_ms = self.stale_since_ms(now_ms).filter(|_| has_gone);
        if let Some(began_ms) = self.lost_since_ms.or(unseen_since_ms) {
            self.endpoints.borrow_mut().outage_ended(began_ms, now_ms);
        }
        if let Some(belief) = self.belief() {
            belief.find();
        }
        self.lost_since_ms = None;
    }

    /// When what is known was last confirmed, if that is long ago; nothing is known before the first reading.
    fn stale_since_ms(&self, now_ms: u64) -> Option<u64> {
        let belief = self.belief().filter(|belief| belief.is_stale(now_ms))?;
        let age_ms = belief.age_ms(now_ms).unwrap_or(now_ms);
        self.revision.map(|_| now_ms.saturating_sub(age_ms))
    }

    /// Lists this gateway again, if the store has lost that.
    async fn list_again(&mut self, source: &mut dyn Source) {
        if !self.is_unlisted {
            return;
        }
        self.calls.count(CallReason::Register);
        let own = self.options.peer_address;
        match source.register(&self.options.name, own).await {
            Ok(()) => self.is_unlisted = false,
            Err(error) => log::warn!(error:% = error; "this gateway can't be listed again"),
        }
    }

    /// Time by which this gateway reads later than others where many would read all at once.
    fn spread(&self) -> Duration {
        if !self.is_one_of_many() {
            return Duration::ZERO;
        }
        let drawn = xxh3_64(self.options.name.as_bytes());
        Duration::from_millis(drawn % self.options.spread_ms.max(1))
    }

    async fn pause(&self, pause: ReadPause) {
        let options = &self.options;
        match pause {
            ReadPause::None => {}
            ReadPause::Spread => sleep(self.spread()).await,
            ReadPause::Gather => sleep(Duration::from_millis(options.gather_ms)).await,
            ReadPause::GatherAll => sleep(Duration::from_millis(options.gather_all_ms)).await,
            ReadPause::Retry => {
                sleep(Duration::from_millis(options.retry_ms)).await;
                if self.published.is_reader() {
                    return;
                }
                let more_ms = options.long_retry_ms.saturating_sub(options.retry_ms);
                let Some(belief) = self.belief() else {
                    // Other gateways make themselves heard; nobody waits for their list.
                    sleep(Duration::from_millis(more_ms)).await;
                    return;
                };
                // Whether there is news or time is up is all the same.
                let _ = timeout(Duration::from_millis(more_ms), belief.news()).await;
            }
        }
    }
}
