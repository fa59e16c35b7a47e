//! Tracks endpoint crashes and holds the requests that cause them.
//!
//! `mgs-quarantine` decides which request or part of prompts is held, that is, refused at all
//! gateways; [`crate::confinement`] refuses it, and [`crate::crash_gossip`] tells peers. Identical
//! requests share a [`Fingerprint`] and count as one request here.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgs_fleet::view::EndpointKey;
use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::options::Options;
use mgs_quarantine::shared::SharedRecord;
use mgs_quarantine::table::Quarantine;
use mgs_quarantine::verdict::Verdict;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::core::Core;
use crate::crash_keys::CrashKeys;
use crate::holds::HoldUpdate;
use crate::holds::HoldWrite;
use crate::lost_run::EndpointFate;
use crate::lost_run::LostRun;
use crate::membership::ENTRY_EXPIRY_MS;
use crate::view::Endpoint;

/// Delay between a crash and a retry that might crash the next endpoint. Copies of the same request
/// crash other endpoints at about the same time, and gateways report that within a few
/// milliseconds.
pub(crate) const CRASH_REPORT_DELAY: Duration = Duration::from_millis(25);

/// How long after a lost run its endpoint may still be found to have crashed, and how long an
/// endpoint that refuses connections is excluded, in milliseconds; its entry in the store has
/// lapsed by then.
const ENTRY_LAPSE_MS: f64 = ENTRY_EXPIRY_MS as f64;

/// Gateways that tell all others that runs have begun to write on a part of prompts or have completed
/// a request, of those that know.
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
    pub(crate) table: RefCell<Quarantine>,
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

impl Core {
    /// Records that an endpoint refuses connections: its process has ended, or a network cut makes
    /// it unreachable.
    pub(crate) fn record_connection_refused(&self, endpoint: EndpointKey) {
        let now_ms = self.now_ms();
        let mut refuse_since_ms = self.crashes.refuse_since_ms.borrow_mut();
        refuse_since_ms.entry(endpoint).or_insert(now_ms);
        drop(refuse_since_ms);
        if let Some(endpoint) = self.published.fleet().by_key.get(&endpoint) {
            self.record_end(endpoint);
        }
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
    pub(crate) fn write_hold(&self, fingerprint: Fingerprint, is_held: bool) {
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
        let unknown_to_peers = table.take_unknown_to_peers();
        // Many gateways may know the same, and a few of them are enough to tell all.
        let tellers = TELLERS / self.gateway_count.borrow().heard_gateways() as f64;
        for fingerprint in unknown_to_peers {
            if self.random_unit() < tellers {
                table.mark_changed(fingerprint);
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
                self.record_end(&run.endpoint);
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
    pub(crate) fn apply_verdict_changes(&self) {
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
