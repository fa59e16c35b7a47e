//! Tracks endpoint crashes and holds the requests that cause them.
//!
//! `mgs-quarantine` decides which request is held, that is, refused at all gateways;
//! [`crate::crash_gossip`] tells peers. Identical requests share a [`Fingerprint`] and count as one
//! request here.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgs_fleet::view::EndpointKey;
use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::fingerprint::PromptPart;
use mgs_quarantine::options::Options;
use mgs_quarantine::table::PlacedPart;
use mgs_quarantine::table::Quarantine;
use mgs_quarantine::table::SharedRecord;
use mgs_quarantine::table::Verdict;
use tokio::sync::Notify;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::Core;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::holds::HoldUpdate;
use crate::holds::HoldWrite;
use crate::lost_run::EndpointFate;
use crate::lost_run::LostRun;
use crate::membership::ENTRY_EXPIRY_MS;
use crate::view::Endpoint;
use crate::view::Fleet;

/// `Retry-After` for a held request, in milliseconds; longer than a client waits, since
/// nothing will have changed by then.
const RETRY_AFTER_HELD_MS: u64 = 30_000;

/// Delay between a crash and a retry that might crash the next endpoint. Copies of the same request
/// crash other endpoints at about the same time, and gateways report that within a few
/// milliseconds.
pub(crate) const CRASH_REPORT_DELAY: Duration = Duration::from_millis(25);

/// How long after a lost run its endpoint may still be found to have crashed, and how long an
/// endpoint that refuses connections is excluded, in milliseconds; its entry in the store has
/// lapsed by then.
const ENTRY_LAPSE_MS: f64 = ENTRY_EXPIRY_MS as f64;

/// Gateways that tell all others that runs have begun to write on a part of prompts, of those that
/// know.
const TELLERS: f64 = 8.0;

/// Shortest time in which an endpoint restarts, in milliseconds.
const RESTART_MIN_MS: f64 = 500.0;

/// Interval between checks of unresolved losses and of expired state.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Most unresolved losses that are kept; further ones are dropped.
const UNRESOLVED_MAX: usize = 1_000;

/// A lost run whose endpoint isn't known yet to have crashed or survived.
struct UnresolvedLoss {
    run: LostRun,
    at_ms: f64,
}

impl UnresolvedLoss {
    /// Whether this is the loss of the same request at the same endpoint.
    fn is_same_loss(&self, run: &LostRun) -> bool {
        self.run.keys.request == run.keys.request && self.run.endpoint.key == run.endpoint.key
    }
}

/// Crashes under one identifier within this time count once, in milliseconds. An endpoint that a
/// request crashes is away for seconds before the request can reach it again.
const CRASH_LOOP_MS: f64 = 2_000.0;

/// The last crash that counts under one identifier.
#[derive(Debug, Clone, Copy)]
struct CountedCrash {
    incarnation_hash: u64,
    at_ms: f64,
}

/// A gateway's record of crashes.
pub(crate) struct CrashTracker {
    table: RefCell<Quarantine>,
    /// Requests under which this gateway itself saw an endpoint crash.
    witnessed: RefCell<BTreeSet<Fingerprint>>,
    /// Since when endpoints refuse connections from here, in milliseconds.
    refuse_since_ms: RefCell<HashMap<EndpointKey, f64>>,
    /// The last crash that counts, by the identifier of its endpoint.
    counted: RefCell<HashMap<String, CountedCrash>>,
    unresolved: RefCell<Vec<UnresolvedLoss>>,
    /// Signals changes to report to peers at once.
    pub(crate) urgent: Notify,
    /// Peers heard for the first time, which have yet to be told of such requests.
    pub(crate) newcomers: RefCell<Vec<SocketAddr>>,
}

impl CrashTracker {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            table: RefCell::new(Quarantine::new(options)),
            witnessed: RefCell::new(BTreeSet::new()),
            refuse_since_ms: RefCell::new(HashMap::new()),
            counted: RefCell::new(HashMap::new()),
            unresolved: RefCell::new(Vec::new()),
            urgent: Notify::new(),
            newcomers: RefCell::new(Vec::new()),
        }
    }

    /// Whether an endpoint crashed soon after an earlier incarnation with the same identifier: it
    /// then crashes by itself, whatever it runs. The first crash in a while counts all the same,
    /// since a request may repeatedly crash a service with a single endpoint.
    fn is_crash_loop(&self, endpoint: &Endpoint, at_ms: f64) -> bool {
        let incarnation = &endpoint.facts.incarnation;
        let incarnation_hash = incarnation.hash_64();
        let mut counted = self.counted.borrow_mut();
        counted.retain(|_, end| at_ms - end.at_ms < CRASH_LOOP_MS);
        let known = counted.get(&incarnation.id);
        if known.is_some_and(|known| known.incarnation_hash != incarnation_hash) {
            return true;
        }
        let end = CountedCrash {
            incarnation_hash,
            at_ms,
        };
        counted.entry(incarnation.id.clone()).or_insert(end);
        false
    }

    /// Takes the requests whose record has changed.
    pub(crate) fn take_changed(&self) -> Vec<Fingerprint> {
        self.table.borrow_mut().take_changed()
    }

    /// Records of requests, as reported to peers.
    pub(crate) fn shared_records(
        &self,
        fingerprints: &[Fingerprint],
        now_ms: f64,
    ) -> Vec<SharedRecord> {
        let table = self.table.borrow();
        let records = fingerprints
            .iter()
            .map(|fingerprint| table.shared_record(*fingerprint, now_ms));
        records.flatten().collect()
    }

    /// Requests that peers must know: held ones, and those that may soon be.
    pub(crate) fn confined_or_held(&self) -> Vec<Fingerprint> {
        let table = self.table.borrow();
        let is_confined_or_held =
            |fingerprint: &Fingerprint| table.verdict(*fingerprint) != Verdict::Allowed;
        table
            .fingerprints()
            .into_iter()
            .filter(is_confined_or_held)
            .collect()
    }
}

/// What is allowed for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permission {
    /// May run on any endpoint.
    Free,
    /// May run on a single endpoint, the same at all gateways for this key.
    Confined(Fingerprint),
    /// May run once, on a single endpoint, to test whether what is held still crashes it.
    Trial(Fingerprint),
}

impl Permission {
    /// The key by which all gateways choose the same endpoint; `None` if any endpoint will do.
    pub(crate) fn confined_by(self) -> Option<Fingerprint> {
        match self {
            Self::Free => None,
            Self::Confined(key) | Self::Trial(key) => Some(key),
        }
    }
}

/// The keys under which crashes of one request count.
#[derive(Debug, Clone)]
pub(crate) struct CrashKeys {
    /// The request, repetitions included.
    pub(crate) request: Fingerprint,
    /// The parts of its prompt that other requests may share, in their order.
    pub(crate) parts: Rc<[PlacedPart]>,
}

impl CrashKeys {
    /// The keys of a request for a service whose prompt has these shared parts.
    pub(crate) fn new(request: Fingerprint, service: &str, shared_parts: &[String]) -> Self {
        let placed = |(depth, id): (usize, &String)| {
            let name = PromptPart {
                service: service.to_string(),
                id: id.clone(),
            };
            PlacedPart {
                fingerprint: name.fingerprint(),
                name,
                depth: u16::try_from(depth).unwrap_or(u16::MAX),
            }
        };
        Self {
            request,
            parts: shared_parts.iter().enumerate().map(placed).collect(),
        }
    }

    /// Identifiers of the parts, separated by commas.
    pub(crate) fn part_names(&self) -> String {
        let names: Vec<&str> = self.parts.iter().map(|p| p.name.id.as_str()).collect();
        names.join(",")
    }

    /// All keys: the request and its parts.
    fn all(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let parts = self.parts.iter().map(|part| part.fingerprint);
        std::iter::once(self.request).chain(parts)
    }
}

fn held_refusal() -> Refusal {
    Refusal::after(Fault::Held, RETRY_AFTER_HELD_MS)
}

impl Core {
    /// What is allowed for a request, or the refusal if it or a part of its prompt is held.
    pub(crate) fn permission(&self, keys: &CrashKeys) -> Result<Permission, Refusal> {
        let table = self.crashes.table.borrow();
        if table.is_empty() {
            return Ok(Permission::Free);
        }
        let mut permission = Permission::Free;
        for key in keys.all() {
            match table.verdict(key) {
                Verdict::Allowed => {}
                Verdict::Confined => permission = Permission::Confined(key),
                Verdict::Held => return Err(held_refusal()),
            }
        }
        Ok(permission)
    }

    /// Like [`Core::permission`], for a request that is refused if a key is held; logs which.
    pub(crate) fn permission_to_go_on(
        &self,
        request_id: &str,
        keys: &CrashKeys,
    ) -> Result<Permission, Refusal> {
        let permission = self.permission(keys);
        if permission.is_err() {
            self.log_held_request(request_id, keys, &self.held_keys(keys));
        }
        permission
    }

    /// Like [`Core::permission`], for a request that begins. If one of its keys is held, it may become
    /// the trial of that key. Only one gateway runs the trial: the first by rank among those that hear
    /// each other.
    pub(crate) fn permission_to_begin(
        &self,
        request_id: &str,
        keys: &CrashKeys,
    ) -> Result<Permission, Refusal> {
        self.begin(keys.request);
        let refused = match self.permission(keys) {
            Ok(permission) => return Ok(permission),
            Err(refused) => refused,
        };
        let held = self.held_keys(keys);
        if let [key] = held.as_slice() {
            if self.take_trial(*key) {
                return Ok(Permission::Trial(*key));
            }
        }
        self.log_held_request(request_id, keys, &held);
        Err(refused)
    }

    /// Those keys of a request that are held.
    fn held_keys(&self, keys: &CrashKeys) -> Vec<Fingerprint> {
        let table = self.crashes.table.borrow();
        let is_held = |key: &Fingerprint| table.verdict(*key) == Verdict::Held;
        keys.all().filter(is_held).collect()
    }

    fn take_trial(&self, key: Fingerprint) -> bool {
        let is_taken = self.is_first_for(key)
            && self
                .crashes
                .table
                .borrow_mut()
                .take_trial(key, self.now_ms());
        if is_taken {
            log::info!(work:% = key; "a held request is tried once more");
            self.write_hold(key, true);
            self.crashes.urgent.notify_one();
        }
        is_taken
    }

    fn log_held_request(&self, request_id: &str, keys: &CrashKeys, held: &[Fingerprint]) {
        let mut parts = keys.parts.iter();
        let part = parts.find(|part| held.contains(&part.fingerprint));
        log::info!(
            request_id = request_id,
            work:% = held.first().copied().unwrap_or(keys.request),
            part = part.map_or("", |part| part.name.id.as_str());
            "refused since it is held"
        );
    }

    /// Records that a request begins.
    fn begin(&self, fingerprint: Fingerprint) {
        let now_ms = self.now_ms();
        let mut table = self.crashes.table.borrow_mut();
        table.begin_request(fingerprint, now_ms);
        drop(table);
        self.apply_verdict_changes();
    }

    /// Whether this gateway ranks before all peers that it hears, for one request.
    fn is_first_for(&self, fingerprint: Fingerprint) -> bool {
        let rank = |gateway: u64| xxh3_64_with_seed(&fingerprint.0.to_le_bytes(), gateway);
        let own = rank(self.incarnation);
        let load_table = self.load_table.borrow();
        let mut peers = load_table.peer_keys();
        peers.all(|peer| rank(peer.0) < own)
    }

    /// Records that an endpoint refuses connections: its process has ended, or a network cut makes
    /// it unreachable.
    pub(crate) fn record_connection_refused(&self, endpoint: EndpointKey) {
        let now_ms = self.now_ms();
        let mut refuse_since_ms = self.crashes.refuse_since_ms.borrow_mut();
        refuse_since_ms.entry(endpoint).or_insert(now_ms);
    }

    /// Whether an endpoint refuses connections and its entry in the store may not have lapsed yet.
    pub(crate) fn refuses_connections(&self, endpoint: EndpointKey) -> bool {
        let refuse_since_ms = self.crashes.refuse_since_ms.borrow();
        refuse_since_ms.contains_key(&endpoint)
    }

    /// Records that an endpoint has responded.
    pub(crate) fn record_response(&self, endpoint: &Endpoint) {
        let mut refuse_since_ms = self.crashes.refuse_since_ms.borrow_mut();
        refuse_since_ms.remove(&endpoint.key);
        drop(refuse_since_ms);
        // The endpoint has survived recent losses, so a later crash isn't due to them. After a
        // longer time, the response may come from another incarnation of the endpoint.
        let now_ms = self.now_ms();
        let mut unresolved = self.crashes.unresolved.borrow_mut();
        unresolved.retain(|loss| {
            let is_other = loss.run.endpoint.key != endpoint.key;
            is_other || now_ms - loss.at_ms > RESTART_MIN_MS
        });
    }

    /// Writes to the store whether a request is held, with its record.
    fn write_hold(&self, fingerprint: Fingerprint, is_held: bool) {
        let record = self
            .crashes
            .table
            .borrow()
            .shared_record(fingerprint, self.now_ms());
        let write = match record.filter(|_| is_held) {
            Some(record) => HoldWrite::Hold(record),
            None => HoldWrite::Release,
        };
        self.published.holds().write(fingerprint, write);
    }

    /// Whether an endpoint is known to have crashed under some run.
    pub(crate) fn has_crashed(&self, endpoint: &Endpoint) -> bool {
        let incarnation = endpoint.facts.incarnation.hash_64();
        self.crashes.table.borrow().has_ended(incarnation)
    }

    /// Records that an endpoint has crashed under a run.
    fn record_crash(&self, run: &LostRun, at_ms: f64) {
        if self.crashes.is_crash_loop(&run.endpoint, at_ms) {
            log::info!(
                request_id = run.request_id, work:% = run.keys.request,
                endpoint = run.endpoint.facts.incarnation.id;
                "an endpoint ends again and again"
            );
            return;
        }
        let incarnation = run.endpoint.facts.incarnation.hash_64();
        let mut table = self.crashes.table.borrow_mut();
        table.record_crash(run.keys.request, incarnation, run.reached, at_ms);
        let parts = run.suspected_parts();
        table.record_part_crashes(parts, incarnation, at_ms);
        drop(table);
        let mut witnessed = self.crashes.witnessed.borrow_mut();
        witnessed.insert(run.keys.request);
        witnessed.extend(parts.iter().map(|part| part.fingerprint));
        drop(witnessed);
        self.apply_verdict_changes();
        self.crashes.urgent.notify_one();
    }

    /// Records that a helper has crashed together with the endpoint of a run.
    pub(crate) fn record_helper_crash(
        &self,
        fingerprint: Fingerprint,
        helper: &Endpoint,
        at_ms: f64,
    ) {
        let incarnation = helper.facts.incarnation.hash_64();
        let mut table = self.crashes.table.borrow_mut();
        table.record_helper_crash(fingerprint, incarnation, at_ms);
        self.crashes.urgent.notify_one();
    }

    /// Records the progress of a run of a request; `events` is called only if there are records.
    pub(crate) fn record_progress(&self, fingerprint: Fingerprint, events: impl FnOnce() -> u32) {
        let now_ms = self.now_ms();
        let mut table = self.crashes.table.borrow_mut();
        if !table.is_empty() {
            table.record_progress(fingerprint, events(), now_ms);
        }
    }

    /// Records that a run has got further than [`BEGINNING_EVENTS`], and its endpoint has not crashed.
    pub(crate) fn record_begun(&self, keys: &CrashKeys) {
        let now_ms = self.now_ms();
        let mut table = self.crashes.table.borrow_mut();
        for part in keys.parts.iter() {
            table.record_part_begun(part.fingerprint, now_ms);
        }
        drop(table);
        self.apply_verdict_changes();
    }

    /// Records that a run of a request has completed.
    pub(crate) fn record_completion(&self, keys: &CrashKeys) {
        let now_ms = self.now_ms();
        let mut table = self.crashes.table.borrow_mut();
        table.record_completion(keys.request, now_ms);
        drop(table);
        self.record_begun(keys);
    }

    /// Takes the crashes that a peer reports.
    pub(crate) fn record_peer_crashes(&self, records: &[SharedRecord]) {
        let now_ms = self.now_ms();
        let mut table = self.crashes.table.borrow_mut();
        table.merge_all(records, now_ms);
        let newly_begun = table.take_newly_begun();
        // Many gateways may know the same, and a few of them are enough to tell all.
        let tellers = TELLERS / self.gateway_count.borrow().heard_gateways() as f64;
        for part in newly_begun {
            if self.random_unit() < tellers {
                table.mark_changed(part);
                self.crashes.urgent.notify_one();
            }
        }
        drop(table);
        self.apply_verdict_changes();
    }

    /// Releases a request: an operator released it, or it completed at another gateway.
    fn release_request(&self, fingerprint: Fingerprint) {
        let now_ms = self.now_ms();
        self.crashes.table.borrow_mut().release(fingerprint, now_ms);
        self.apply_verdict_changes();
    }

    /// Records that a run was lost and what became of its endpoint.
    pub(crate) fn record_loss(&self, run: LostRun, fate: EndpointFate, at_ms: f64) {
        match fate {
            EndpointFate::Ended => {
                let mut unresolved = self.crashes.unresolved.borrow_mut();
                unresolved.retain(|loss| !loss.is_same_loss(&run));
                drop(unresolved);
                self.record_crash(&run, at_ms);
            }
            EndpointFate::Alive | EndpointFate::Unclear => self.keep_unresolved(run, at_ms),
            EndpointFate::Left => {}
        }
    }

    /// Whether it is still unknown if the endpoint of a run has crashed.
    pub(crate) fn is_unresolved(&self, run: &LostRun) -> bool {
        let unresolved = self.crashes.unresolved.borrow();
        let mut unresolved = unresolved.iter();
        unresolved.any(|loss| loss.is_same_loss(run))
    }

    /// Keeps a loss as unresolved; it replaces an earlier loss of the same request at the same
    /// endpoint.
    fn keep_unresolved(&self, run: LostRun, at_ms: f64) {
        let mut unresolved = self.crashes.unresolved.borrow_mut();
        unresolved.retain(|loss| !loss.is_same_loss(&run));
        if unresolved.len() < UNRESOLVED_MAX {
            unresolved.push(UnresolvedLoss { run, at_ms });
        }
    }

    /// Resolves losses by the fleet that the store lists. An endpoint that vanished without
    /// leaving, or has restarted, had crashed under the run.
    fn resolve_losses(&self) {
        let fleet = self.published.fleet();
        let now_ms = self.now_ms();
        let mut ended = Vec::new();
        self.crashes.unresolved.borrow_mut().retain(|loss| {
            let endpoint = &loss.run.endpoint;
            match fleet.by_key.get(&endpoint.key) {
                None => {
                    ended.push((loss.run.clone(), loss.at_ms));
                    false
                }
                Some(listed) if listed.facts.is_leaving => false,
                Some(_) => now_ms - loss.at_ms < ENTRY_LAPSE_MS,
            }
        });
        for (run, at_ms) in ended {
            log::info!(
                request_id = run.request_id, work:% = run.keys.request,
                endpoint = run.endpoint.facts.incarnation.id;
                "the endpoint of a lost run has ended"
            );
            self.record_crash(&run, at_ms);
        }
    }

    /// Logs which requests are held or released now, and writes to the store those whose crashes
    /// this gateway witnessed.
    fn apply_verdict_changes(&self) {
        let changed = self.crashes.table.borrow_mut().take_hold_changes();
        for (fingerprint, is_held) in changed {
            if self.crashes.witnessed.borrow().contains(&fingerprint) {
                self.write_hold(fingerprint, is_held);
            }
            let table = self.crashes.table.borrow();
            let record = table.record(fingerprint);
            let crashes = record.map_or(0, |record| record.crashes.len());
            let part = record.and_then(|record| record.part.as_ref());
            let part = part.map_or("", |part| part.name.id.as_str());
            match is_held {
                true => {
                    self.metrics.quarantine.inc("held");
                    log::warn!(
                        work:% = fingerprint, part = part, crashes = crashes;
                        "a request that crashes endpoints is held"
                    );
                }
                false => {
                    self.metrics.quarantine.inc("let_go");
                    log::info!(
                        work:% = fingerprint, part = part, crashes = crashes;
                        "a held request is let go"
                    );
                }
            }
        }
    }
}

/// Resolves losses and drops expired state, until the process ends.
pub(crate) async fn watch(core: Rc<Core>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        core.resolve_losses();
        let now_ms = core.now_ms();
        let mut refuse_since_ms = core.crashes.refuse_since_ms.borrow_mut();
        refuse_since_ms.retain(|_, since_ms| now_ms - *since_ms < ENTRY_LAPSE_MS);
        drop(refuse_since_ms);
        let endpoints = core.published.fleet().by_key.len();
        let mut table = core.crashes.table.borrow_mut();
        table.set_endpoint_count(endpoints);
        table.prune(now_ms);
        let mut witnessed = core.crashes.witnessed.borrow_mut();
        witnessed.retain(|fingerprint| table.record(*fingerprint).is_some());
        core.metrics.held_works.set(table.held().len() as i64);
        drop((table, witnessed));
        core.apply_verdict_changes();
    }
}

/// Applies held requests read from the store, until the process ends.
pub(crate) async fn follow_store(core: Rc<Core>) {
    loop {
        for update in core.published.holds().next_updates().await {
            match update {
                HoldUpdate::Held(record) => core.record_peer_crashes(&[record]),
                HoldUpdate::Released(fingerprint) => core.release_request(fingerprint),
            }
        }
    }
}

/// Writes held requests again whenever the store may have lost them, until the process ends. The
/// gateways that witnessed the crashes do so, and for each request the gateway with the first rank,
/// in case the witnesses have ended. Writing twice does no harm.
pub(crate) async fn rewrite(core: Rc<Core>) {
    loop {
        core.published.holds().rewrite_wanted().await;
        let held = core.crashes.table.borrow().held().clone();
        let mut written = 0;
        for fingerprint in held {
            let is_witnessed = core.crashes.witnessed.borrow().contains(&fingerprint);
            if is_witnessed || core.is_first_for(fingerprint) {
                core.write_hold(fingerprint, true);
                written += 1;
            }
        }
        log::info!(works = written; "what is held is written again");
    }
}

/// All active endpoints but the one on which a request may run. The choice is the same at each
/// gateway that knows the same fleet; `tried` endpoints are skipped.
pub(crate) fn barred_endpoints(
    fleet: &Fleet,
    service: &str,
    fingerprint: Fingerprint,
    tried: &[EndpointKey],
) -> Vec<EndpointKey> {
    let present = fleet.of_service(service).iter();
    let present = present.filter(|endpoint| !endpoint.facts.is_leaving);
    let rank = |endpoint: &Endpoint| {
        let seed = endpoint.facts.incarnation.hash_64();
        xxh3_64_with_seed(&fingerprint.0.to_le_bytes(), seed)
    };
    let open = present
        .clone()
        .filter(|endpoint| !tried.contains(&endpoint.key))
        .max_by_key(|endpoint| rank(endpoint));
    let open = open.map(|endpoint| endpoint.key);
    let closed = present.map(|endpoint| endpoint.key);
    closed.filter(|key| Some(*key) != open).collect()
}
