//! What this gateway knows of requests that crash endpoints, and what it does by that. Which requests these are is
//! decided by `mgs-quarantine`; peers are told by [`crate::spread`].

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgs_fleet::view::EndpointKey;
use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::options::Options;
use mgs_quarantine::table::Quarantine;
use mgs_quarantine::table::SharedRecord;
use mgs_quarantine::table::Verdict;
use tokio::sync::Notify;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::Core;
use crate::crash::Fate;
use crate::crash::LostRun;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::holds::News;
use crate::holds::Write;
use crate::membership::LAPSE_MS;
use crate::view::Endpoint;
use crate::view::Fleet;

/// When a client of a held request may come back, in milliseconds: longer than it waits, since nothing will have
/// changed by then.
const RETRY_AFTER_HELD_MS: u64 = 30_000;

/// Wait between a crash and a second try that might crash the next endpoint: copies of the same request crash others
/// at about the same time, and whoever sees that tells within a few milliseconds.
pub(crate) const SETTLE: Duration = Duration::from_millis(25);

/// How long the end of an endpoint may be found out after a run broke off there, and how long one that refuses connections
/// is passed over, in milliseconds: its entry has lapsed then.
const ENTRY_MS: f64 = LAPSE_MS as f64;

/// No endpoint starts again sooner after its end, in milliseconds.
const RESTART_MIN_MS: f64 = 500.0;

/// Time between two looks at what is in doubt and at what may be forgotten.
const LOOK: Duration = Duration::from_millis(250);

/// Most runs that are in doubt; more are forgotten.
const DOUBTS_MAX: usize = 1_000;

/// A run that broke off at an endpoint of which it isn't known yet whether it has ended.
struct Doubt {
    run: LostRun,
    at_ms: f64,
}

impl Doubt {
    /// Whether it is about this work at this endpoint.
    fn is_of(&self, run: &LostRun) -> bool {
        self.run.work == run.work && self.run.endpoint.key == run.endpoint.key
    }
}

/// Ends under one identifier within this time count once, in milliseconds. What a request crashes is away for seconds
/// before the request comes again.
const CRASH_LOOP_MS: f64 = 2_000.0;

/// The end of one life of an endpoint.
#[derive(Debug, Clone, Copy)]
struct CountedEnd {
    life: u64,
    at_ms: f64,
}

/// What a gateway knows of crashes.
pub(crate) struct Crashes {
    table: RefCell<Quarantine>,
    /// Works under which this gateway saw an endpoint end.
    seen_here: RefCell<BTreeSet<Fingerprint>>,
    /// Since when endpoints refuse connections from here, in milliseconds.
    refuse_since_ms: RefCell<HashMap<EndpointKey, f64>>,
    /// The last life of each identifier whose end counts, and when it was, in milliseconds.
    counted: RefCell<HashMap<String, CountedEnd>>,
    doubts: RefCell<Vec<Doubt>>,
    /// Something is to be told to peers at once.
    pub(crate) urgent: Notify,
    /// Peers that have just been heard for the first time.
    pub(crate) newcomers: RefCell<Vec<SocketAddr>>,
}

impl Crashes {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            table: RefCell::new(Quarantine::new(options)),
            seen_here: RefCell::new(BTreeSet::new()),
            refuse_since_ms: RefCell::new(HashMap::new()),
            counted: RefCell::new(HashMap::new()),
            doubts: RefCell::new(Vec::new()),
            urgent: Notify::new(),
            newcomers: RefCell::new(Vec::new()),
        }
    }

    /// Whether the end of an endpoint is soon after the end of an earlier life under the same identifier: it starts and ends by
    /// itself then, whatever it runs. One end in a while counts all the same, since a request may do that to a service with
    /// one endpoint.
    fn is_crash_loop(&self, endpoint: &Endpoint, at_ms: f64) -> bool {
        let incarnation = &endpoint.facts.incarnation;
        let life = incarnation.hash_64();
        let mut counted = self.counted.borrow_mut();
        counted.retain(|_, end| at_ms - end.at_ms < CRASH_LOOP_MS);
        let known = counted.get(&incarnation.id);
        if known.is_some_and(|known| known.life != life) {
            return true;
        }
        let end = CountedEnd { life, at_ms };
        counted.entry(incarnation.id.clone()).or_insert(end);
        false
    }

    /// Works of which something is new here.
    pub(crate) fn take_fresh(&self) -> Vec<Fingerprint> {
        self.table.borrow_mut().take_changed()
    }

    /// What to tell of works.
    pub(crate) fn told(&self, keys: &[Fingerprint], now_ms: f64) -> Vec<SharedRecord> {
        let table = self.table.borrow();
        let told = keys.iter().map(|key| table.shared_record(*key, now_ms));
        told.flatten().collect()
    }

    /// Works that a peer must know: held ones, and those that may soon be.
    pub(crate) fn grave(&self) -> Vec<Fingerprint> {
        let table = self.table.borrow();
        let is_grave = |key: &Fingerprint| table.verdict(*key) != Verdict::Allowed;
        table.fingerprints().into_iter().filter(is_grave).collect()
    }
}

/// What may be done with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permission {
    /// As any other.
    Free,
    /// On one endpoint only.
    Confined,
    /// On one endpoint only, once: the trial of a held work.
    Trial,
}

impl Core {
    /// What may be done with a request, or the refusal of one that is held.
    pub(crate) fn permission(&self, work: Fingerprint) -> Result<Permission, Refusal> {
        let verdict = self.crashes.table.borrow().verdict(work);
        Self::permission_by(verdict)
    }

    fn permission_by(verdict: Verdict) -> Result<Permission, Refusal> {
        match verdict {
            Verdict::Allowed => Ok(Permission::Free),
            Verdict::Confined => Ok(Permission::Confined),
            Verdict::Held => Err(Refusal::after(Fault::Quarantined, RETRY_AFTER_HELD_MS)),
        }
    }

    /// The same for a request that begins, which may be the trial of a held work. One gateway only takes that, the
    /// same by the word of all that hear each other.
    pub(crate) fn permission_to_begin(&self, work: Fingerprint) -> Result<Permission, Refusal> {
        let verdict = self.begin(work);
        let refused = match Self::permission_by(verdict) {
            Ok(permission) => return Ok(permission),
            Err(refused) => refused,
        };
        let is_taken = self.is_first_for(work)
            && self
                .crashes
                .table
                .borrow_mut()
                .take_trial(work, self.now_ms());
        if !is_taken {
            return Err(refused);
        }
        log::info!(work:% = work; "a held request is tried once more");
        self.write_hold(work, true);
        self.crashes.urgent.notify_one();
        Ok(Permission::Trial)
    }

    /// What may be done with a work of which a request begins.
    fn begin(&self, work: Fingerprint) -> Verdict {
        let now_ms = self.now_ms();
        let mut table = self.crashes.table.borrow_mut();
        let verdict = table.begin_request(work, now_ms);
        drop(table);
        self.tell_turned();
        verdict
    }

    /// Whether this gateway goes before all that it hears, for one work.
    fn is_first_for(&self, work: Fingerprint) -> bool {
        let rank = |gateway: u64| xxh3_64_with_seed(&work.0.to_le_bytes(), gateway);
        let own = rank(self.incarnation);
        let board = self.board.borrow();
        let mut peers = board.peer_keys();
        peers.all(|peer| rank(peer.0) < own)
    }

    /// An endpoint refuses connections: its process has ended, or a cut keeps it out of reach.
    pub(crate) fn refused_connection(&self, endpoint: EndpointKey) {
        let now_ms = self.now_ms();
        let mut refuse_since_ms = self.crashes.refuse_since_ms.borrow_mut();
        refuse_since_ms.entry(endpoint).or_insert(now_ms);
    }

    /// Whether an endpoint refuses connections, and its entry may not have lapsed yet.
    pub(crate) fn refuses_connections(&self, endpoint: EndpointKey) -> bool {
        let refuse_since_ms = self.crashes.refuse_since_ms.borrow();
        refuse_since_ms.contains_key(&endpoint)
    }

    /// An endpoint has answered.
    pub(crate) fn endpoint_answered(&self, endpoint: &Endpoint) {
        let mut refuse_since_ms = self.crashes.refuse_since_ms.borrow_mut();
        refuse_since_ms.remove(&endpoint.key);
        drop(refuse_since_ms);
        // What broke off just before didn't end it, whenever it ends. After a longer time it may be another life of the
        // same endpoint that answers.
        let now_ms = self.now_ms();
        let mut doubts = self.crashes.doubts.borrow_mut();
        doubts.retain(|doubt| {
            let is_other = doubt.run.endpoint.key != endpoint.key;
            is_other || now_ms - doubt.at_ms > RESTART_MIN_MS
        });
    }

    /// Has the store keep what is known of a work.
    fn write_hold(&self, work: Fingerprint, is_held: bool) {
        let told = self
            .crashes
            .table
            .borrow()
            .shared_record(work, self.now_ms());
        let write = match told.filter(|_| is_held) {
            Some(told) => Write::Hold(told),
            None => Write::LetGo,
        };
        self.published.holds().write(work, write);
    }

    /// Whether an endpoint is known to have ended under some run.
    pub(crate) fn has_crashed(&self, endpoint: &Endpoint) -> bool {
        let incarnation = endpoint.facts.incarnation.hash_64();
        self.crashes.table.borrow().has_ended(incarnation)
    }

    /// An endpoint has ended under a run.
    fn crashed(&self, run: &LostRun, at_ms: f64) {
        if self.crashes.is_crash_loop(&run.endpoint, at_ms) {
            log::info!(
                request_id = run.request_id, work:% = run.work,
                endpoint = run.endpoint.facts.incarnation.id;
                "an endpoint ends again and again"
            );
            return;
        }
        let incarnation = run.endpoint.facts.incarnation.hash_64();
        let mut table = self.crashes.table.borrow_mut();
        table.record_crash(run.work, incarnation, run.reached, at_ms);
        drop(table);
        self.crashes.seen_here.borrow_mut().insert(run.work);
        self.tell_turned();
        self.crashes.urgent.notify_one();
    }

    /// An endpoint has ended that helped with a run whose own endpoint has.
    pub(crate) fn crashed_beside(&self, work: Fingerprint, helper: &Endpoint, at_ms: f64) {
        let incarnation = helper.facts.incarnation.hash_64();
        let mut table = self.crashes.table.borrow_mut();
        table.record_helper_crash(work, incarnation, at_ms);
        self.crashes.urgent.notify_one();
    }

    /// A run of a work has made some events; how many is asked only if something is remembered.
    pub(crate) fn run_reached(&self, work: Fingerprint, events: impl FnOnce() -> u32) {
        let now_ms = self.now_ms();
        let mut table = self.crashes.table.borrow_mut();
        if !table.is_empty() {
            table.record_progress(work, events(), now_ms);
        }
    }

    /// A run of a work has ended whole.
    pub(crate) fn run_ended_whole(&self, work: Fingerprint) {
        let now_ms = self.now_ms();
        let mut table = self.crashes.table.borrow_mut();
        table.record_completion(work, now_ms);
    }

    /// A peer tells of crashes.
    pub(crate) fn hear_crashes(&self, works: &[SharedRecord]) {
        let now_ms = self.now_ms();
        let mut table = self.crashes.table.borrow_mut();
        for told in works {
            table.merge_shared(told, now_ms);
        }
        drop(table);
        self.tell_turned();
    }

    /// Somebody has let a work go: an operator, or a gateway at which it ended whole.
    fn lift(&self, work: Fingerprint) {
        let now_ms = self.now_ms();
        self.crashes.table.borrow_mut().release(work, now_ms);
        self.tell_turned();
    }

    /// A run was lost, and this became of its endpoint.
    pub(crate) fn run_lost(&self, run: LostRun, fate: Fate, at_ms: f64) {
        match fate {
            Fate::Ended => {
                let mut doubts = self.crashes.doubts.borrow_mut();
                doubts.retain(|doubt| !doubt.is_of(&run));
                drop(doubts);
                self.crashed(&run, at_ms);
            }
            Fate::Lives | Fate::Unclear => self.doubt(run, at_ms),
            Fate::Left => {}
        }
    }

    /// Whether it isn't known yet if the endpoint of a run has ended.
    pub(crate) fn is_doubted(&self, run: &LostRun) -> bool {
        let doubts = self.crashes.doubts.borrow();
        let mut doubts = doubts.iter();
        doubts.any(|doubt| doubt.is_of(run))
    }

    /// Keeps the last run of a work that broke off at an endpoint.
    fn doubt(&self, run: LostRun, at_ms: f64) {
        let mut doubts = self.crashes.doubts.borrow_mut();
        doubts.retain(|doubt| !doubt.is_of(&run));
        if doubts.len() < DOUBTS_MAX {
            doubts.push(Doubt { run, at_ms });
        }
    }

    /// Ends doubts by what the store says of the endpoints: one that is gone without a word, or has started again, had
    /// ended under the run.
    fn resolve_doubts(&self) {
        let fleet = self.published.fleet();
        let now_ms = self.now_ms();
        let mut ended = Vec::new();
        self.crashes.doubts.borrow_mut().retain(|doubt| {
            let endpoint = &doubt.run.endpoint;
            match fleet.by_key.get(&endpoint.key) {
                None => {
                    ended.push((doubt.run.clone(), doubt.at_ms));
                    false
                }
                Some(listed) if listed.facts.is_leaving => false,
                Some(_) => now_ms - doubt.at_ms < ENTRY_MS,
            }
        });
        for (run, at_ms) in ended {
            log::info!(
                request_id = run.request_id, work:% = run.work,
                endpoint = run.endpoint.facts.incarnation.id;
                "the endpoint of a lost run has ended"
            );
            self.crashed(&run, at_ms);
        }
    }

    /// Says which works are held now, or let go, and has the store keep those that this gateway saw.
    fn tell_turned(&self) {
        let turned = self.crashes.table.borrow_mut().take_hold_changes();
        for (work, is_held) in turned {
            if self.crashes.seen_here.borrow().contains(&work) {
                self.write_hold(work, is_held);
            }
            let table = self.crashes.table.borrow();
            let crashes = table.record(work).map_or(0, |record| record.crashes.len());
            match is_held {
                true => {
                    self.metrics.quarantine.inc("held");
                    log::warn!(work:% = work, crashes = crashes; "a request that crashes endpoints is held");
                }
                false => {
                    self.metrics.quarantine.inc("let_go");
                    log::info!(work:% = work, crashes = crashes; "a held request is let go");
                }
            }
        }
    }
}

/// Looks at what is in doubt and forgets what is old, until the process ends.
pub(crate) async fn watch(core: Rc<Core>) {
    loop {
        sleep(LOOK).await;
        core.resolve_doubts();
        let now_ms = core.now_ms();
        let mut refuse_since_ms = core.crashes.refuse_since_ms.borrow_mut();
        refuse_since_ms.retain(|_, since_ms| now_ms - *since_ms < ENTRY_MS);
        drop(refuse_since_ms);
        let endpoints = core.published.fleet().by_key.len();
        let mut table = core.crashes.table.borrow_mut();
        table.set_endpoint_count(endpoints);
        table.prune(now_ms);
        let mut seen_here = core.crashes.seen_here.borrow_mut();
        seen_here.retain(|work| table.record(*work).is_some());
        core.metrics.held_works.set(table.held().len() as i64);
        drop((table, seen_here));
        core.tell_turned();
    }
}

/// Takes what the store says is held, until the process ends.
pub(crate) async fn follow_store(core: Rc<Core>) {
    loop {
        for news in core.published.holds().heard().await {
            match news {
                News::Held(told) => core.hear_crashes(&[told]),
                News::LetGo(work) => core.lift(work),
            }
        }
    }
}

/// Writes what is held again whenever the store may have lost it, until the process ends. Whoever saw the crashes does, and the
/// first for each work, should those have ended since; twice does no harm.
pub(crate) async fn rewrite(core: Rc<Core>) {
    loop {
        core.published.holds().rewrite_wanted().await;
        let held = core.crashes.table.borrow().held().clone();
        let mut written = 0;
        for work in held {
            let is_seen_here = core.crashes.seen_here.borrow().contains(&work);
            if is_seen_here || core.is_first_for(work) {
                core.write_hold(work, true);
                written += 1;
            }
        }
        log::info!(works = written; "what is held is written again");
    }
}

/// All present endpoints but the one on which a work may run, the same at each gateway that knows the same fleet;
/// `tried` are passed over.
pub(crate) fn closed_to(
    fleet: &Fleet,
    service: &str,
    work: Fingerprint,
    tried: &[EndpointKey],
) -> Vec<EndpointKey> {
    let present = fleet.of_service(service).iter();
    let present = present.filter(|endpoint| !endpoint.facts.is_leaving);
    let rank = |endpoint: &Endpoint| {
        let seed = endpoint.facts.incarnation.hash_64();
        xxh3_64_with_seed(&work.0.to_le_bytes(), seed)
    };
    let open = present
        .clone()
        .filter(|endpoint| !tried.contains(&endpoint.key))
        .max_by_key(|endpoint| rank(endpoint));
    let open = open.map(|endpoint| endpoint.key);
    let closed = present.map(|endpoint| endpoint.key);
    closed.filter(|key| Some(*key) != open).collect()
}
