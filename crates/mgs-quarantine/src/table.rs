//! The records of one gateway.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::begun::BegunParts;
use crate::completed::CompletedRequests;
use crate::fingerprint::Fingerprint;
use crate::options::Options;
use crate::record::Crash;
use crate::record::CrashStatus;
use crate::record::PartFacts;
use crate::record::RecentEnds;
use crate::record::Record;
use crate::shared::PlacedPart;
use crate::shared::SharedCrash;
use crate::shared::SharedRecord;
use crate::verdict::Verdict;

/// Size that a fleet is assumed to have until it is known.
const ASSUMED_ENDPOINTS: usize = 20;

/// The records of one gateway, and its verdict on a request.
///
/// ```
/// use mgs_quarantine::fingerprint::Fingerprint;
/// use mgs_quarantine::options::Options;
/// use mgs_quarantine::table::Quarantine;
/// use mgs_quarantine::verdict::Verdict;
///
/// let mut quarantine = Quarantine::new(Options::default());
/// let fingerprint = Fingerprint(1);
/// for crash in 0..3_u32 {
///     assert_ne!(quarantine.verdict(fingerprint), Verdict::Held);
///     quarantine.record_crash(fingerprint, u64::from(crash), 0, f64::from(crash) * 500.0);
/// }
/// assert_eq!(quarantine.verdict(fingerprint), Verdict::Held);
/// ```
#[derive(Debug)]
pub struct Quarantine {
    pub(crate) options: Options,
    pub(crate) records: HashMap<Fingerprint, Record>,
    pub(crate) recent_ends: RecentEnds,
    /// Number of endpoints in the fleet.
    pub(crate) endpoint_count: usize,
    /// Latest time passed to this table, in milliseconds.
    pub(crate) now_ms: f64,
    /// Parts of prompts on which runs of this gateway have begun to write.
    begun_parts: BegunParts,
    /// When runs of requests last completed at this gateway.
    pub(crate) completed: CompletedRequests,
    /// Records to which this gateway has added what other gateways don't know.
    unknown_to_peers: Vec<Fingerprint>,
    /// Fingerprints with enough crashes to be confined or held.
    pub(crate) suspects: BTreeSet<Fingerprint>,
    /// Fingerprints that were held when their record last changed.
    pub(crate) held: BTreeSet<Fingerprint>,
    /// Fingerprints whose records have to be sent to peers.
    changed: BTreeSet<Fingerprint>,
    /// Fingerprints that were held or released since this was last taken.
    hold_changes: Vec<(Fingerprint, bool)>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(options: Options) -> Self {
        Self {
            recent_ends: RecentEnds::new(options.simultaneous_ms),
            options,
            endpoint_count: ASSUMED_ENDPOINTS,
            records: HashMap::new(),
            now_ms: 0.0,
            begun_parts: BegunParts::default(),
            completed: CompletedRequests::default(),
            unknown_to_peers: Vec::new(),
            suspects: BTreeSet::new(),
            held: BTreeSet::new(),
            changed: BTreeSet::new(),
            hold_changes: Vec::new(),
        }
    }

    /// Sets the number of endpoints in the fleet.
    pub fn set_endpoint_count(&mut self, endpoint_count: usize) {
        self.endpoint_count = endpoint_count;
    }

    /// Records that an endpoint ended while it ran a request that had produced this number of
    /// events. `now_ms` is when the run was lost; its endpoint may be found to have ended only later,
    /// and a run that has completed in between clears the crash.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: u64,
        events: u32,
        now_ms: f64,
    ) {
        let crash = Crash {
            incarnation,
            at_ms: now_ms,
            events,
            status: CrashStatus::Counts,
        };
        let completed_ms = self.completed.last_ms(fingerprint);
        self.update(fingerprint, now_ms, |record| {
            let is_new = record.add(crash);
            completed_ms.is_some_and(|at_ms| record.mark_cleared_before(at_ms)) || is_new
        });
    }

    /// Records that an endpoint ended when a run on a prompt with these parts had written next to
    /// nothing: it may just have begun to write.
    pub fn record_part_crashes(&mut self, parts: &[PlacedPart], incarnation: u64, now_ms: f64) {
        let crash = Crash {
            incarnation,
            at_ms: now_ms,
            events: 0,
            status: CrashStatus::Counts,
        };
        let mut changed = Vec::new();
        for part in parts {
            let facts = PartFacts {
                name: part.name.clone(),
                depth: part.depth,
                has_begun: self.begun_parts.contains(part.fingerprint),
            };
            let has_changed = self.apply(part.fingerprint, now_ms, |record| {
                let is_new_part = record.add_part(&facts);
                record.add(crash) || is_new_part
            });
            if has_changed {
                changed.push(part.fingerprint);
            }
        }
        self.update_holds(changed);
    }

    /// Records that a run has begun to write on a part: the crashes under the part so far have
    /// another cause.
    pub fn record_part_begun(&mut self, fingerprint: Fingerprint, now_ms: f64) {
        self.begun_parts.record(fingerprint, now_ms);
        let Some(record) = self.records.get(&fingerprint) else {
            return;
        };
        // A single crash has no effect at peers, so they needn't be told.
        let is_shared = record.counted_crashes(&self.recent_ends) >= self.options.confine_crashes
            || !record.has_begun();
        let was_changed = self.changed.contains(&fingerprint);
        self.update(fingerprint, now_ms, |record| {
            let was_cleared = record.mark_cleared();
            let is_first = !record.has_begun();
            if let Some(part) = &mut record.part {
                part.has_begun = true;
            }
            was_cleared || is_first
        });
        if !is_shared && !was_changed {
            self.changed.remove(&fingerprint);
        }
    }

    /// Takes the fingerprints of peers' records to which this gateway has added something: runs that
    /// have begun to write on a part, or have completed a request.
    pub fn take_unknown_to_peers(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.unknown_to_peers)
    }

    /// Has a record sent to peers.
    pub fn mark_changed(&mut self, fingerprint: Fingerprint) {
        self.changed.insert(fingerprint);
    }

    /// Records that a helper, which had prefilled a part of the request's prompt, ended together
    /// with the endpoint that ran the request. It doesn't count against the request, but isn't an
    /// unrelated end either.
    pub fn record_helper_crash(&mut self, fingerprint: Fingerprint, incarnation: u64, now_ms: f64) {
        let crash = Crash {
            incarnation,
            at_ms: now_ms,
            events: 0,
            status: CrashStatus::Cleared,
        };
        self.update(fingerprint, now_ms, |record| record.add(crash));
    }

    /// Whether an endpoint is known to have ended under some request.
    pub fn has_ended(&self, incarnation: u64) -> bool {
        self.recent_ends.has_ended(incarnation)
    }

    /// Records that a run has produced this number of events.
    pub fn record_progress(&mut self, fingerprint: Fingerprint, events: u32, now_ms: f64) {
        if self.records.contains_key(&fingerprint) {
            self.update(fingerprint, now_ms, |record| record.mark_passed(events));
        }
    }

    /// Records that a run has completed.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now_ms: f64) {
        self.completed.record(fingerprint, now_ms);
        self.release(fingerprint, now_ms);
    }

    /// Releases a request for an operator: its crashes no longer count.
    pub fn release(&mut self, fingerprint: Fingerprint, now_ms: f64) {
        if self.records.contains_key(&fingerprint) {
            self.update(fingerprint, now_ms, Record::mark_cleared);
        }
    }

    /// Returns the verdict on a request that arrives. Where unrelated endpoints ended around its
    /// crashes, more crashes are required for a hold, unless the request is repeated some time
    /// later.
    pub fn begin_request(&mut self, fingerprint: Fingerprint, now_ms: f64) -> Verdict {
        let is_recurrence = |record: &Record| {
            let is_later = now_ms - record.last_crash_ms() >= self.options.recurrence_ms;
            let counted = record.counted_crashes(&self.recent_ends);
            is_later
                && self.unexplained_crashes(fingerprint, record, counted)
                    >= self.options.hold_crashes
        };
        if self.records.get(&fingerprint).is_some_and(is_recurrence) {
            self.update(fingerprint, now_ms, |record| {
                let is_new = !record.has_recurred;
                record.has_recurred = true;
                is_new
            });
        }
        self.verdict(fingerprint)
    }

    /// Takes the one trial run that a held request gets some time after its last crash. Returns
    /// whether it gets one now. Peers are told that it is taken.
    pub fn take_trial(&mut self, fingerprint: Fingerprint, now_ms: f64) -> bool {
        let Some(record) = self.records.get(&fingerprint) else {
            return false;
        };
        let is_due = now_ms - record.last_crash_ms() >= self.options.trial_after_ms;
        let has_exhausted_trials = record.crashes.len() > self.options.trial_crashes_max;
        if record.trial_taken || has_exhausted_trials || !is_due {
            return false;
        }
        self.update(fingerprint, now_ms, |record| {
            record.trial_taken = true;
            true
        });
        true
    }

    /// The record of a fingerprint.
    pub fn record(&self, fingerprint: Fingerprint) -> Option<&Record> {
        self.records.get(&fingerprint)
    }

    /// Fingerprints that are held.
    pub fn held(&self) -> &BTreeSet<Fingerprint> {
        &self.held
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All fingerprints with a record.
    pub fn fingerprints(&self) -> Vec<Fingerprint> {
        let mut fingerprints: Vec<Fingerprint> = self.records.keys().copied().collect();
        fingerprints.sort();
        fingerprints
    }

    /// Merges records from a peer or from the store. They aren't forwarded to peers: the gateway that
    /// saw the crash sends them to all.
    pub fn merge_all(&mut self, records: &[SharedRecord], now_ms: f64) {
        let mut changed = Vec::new();
        for shared in records {
            if self.merge_one(shared, now_ms) {
                changed.push(shared.fingerprint);
            }
        }
        self.update_holds(changed);
    }

    /// As [`Self::merge_all`], for one record.
    pub fn merge_shared(&mut self, shared: &SharedRecord, now_ms: f64) {
        self.merge_all(std::slice::from_ref(shared), now_ms);
    }

    fn merge_one(&mut self, shared: &SharedRecord, now_ms: f64) -> bool {
        let crash = |shared: &SharedCrash| Crash {
            incarnation: shared.incarnation,
            at_ms: now_ms - f64::from(shared.age_ms),
            events: shared.events,
            status: shared.status,
        };
        let other = Record {
            crashes: shared.crashes.iter().map(crash).collect(),
            trial_taken: shared.trial_taken,
            has_recurred: shared.has_recurred,
            part: shared.part.clone(),
        };
        let was_changed = self.changed.contains(&shared.fingerprint);
        let is_new = self.apply(shared.fingerprint, now_ms, |record| record.merge(&other));
        let is_own = self.add_own_knowledge(shared.fingerprint);
        if !was_changed {
            self.changed.remove(&shared.fingerprint);
        }
        is_new || is_own
    }

    /// Adds to a peer's record what this gateway knows: that one of its runs has begun to write on the
    /// part, or has completed the request after a crash. Returns whether that changes the record.
    fn add_own_knowledge(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        let has_changed = match &mut record.part {
            Some(part) => {
                let has_begun = self.begun_parts.contains(fingerprint) && !part.has_begun;
                part.has_begun |= has_begun;
                has_begun
            }
            None => {
                let completed_ms = self.completed.last_ms(fingerprint);
                completed_ms.is_some_and(|at_ms| record.mark_cleared_before(at_ms))
            }
        };
        if has_changed {
            self.unknown_to_peers.push(fingerprint);
        }
        has_changed
    }

    /// The record to send to peers and to store.
    pub fn shared_record(&self, fingerprint: Fingerprint, now_ms: f64) -> Option<SharedRecord> {
        let record = self.records.get(&fingerprint)?;
        let crash = |crash: &Crash| SharedCrash {
            incarnation: crash.incarnation,
            age_ms: (now_ms - crash.at_ms).max(0.0) as u32,
            events: crash.events,
            status: crash.status,
        };
        Some(SharedRecord {
            fingerprint,
            crashes: record.crashes.iter().map(crash).collect(),
            trial_taken: record.trial_taken,
            has_recurred: record.has_recurred,
            part: record.part.clone(),
        })
    }

    /// Takes the fingerprints whose records have changed here since the last call.
    pub fn take_changed(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.changed).into_iter().collect()
    }

    /// Takes the fingerprints that were held (`true`) or released since the last call.
    pub fn take_hold_changes(&mut self) -> Vec<(Fingerprint, bool)> {
        std::mem::take(&mut self.hold_changes)
    }

    fn update(
        &mut self,
        fingerprint: Fingerprint,
        now_ms: f64,
        change: impl FnOnce(&mut Record) -> bool,
    ) {
        if self.apply(fingerprint, now_ms, change) {
            self.update_holds(vec![fingerprint]);
        }
    }

    /// Changes a record; returns whether it did. Then [`Self::update_holds`] must follow.
    fn apply(
        &mut self,
        fingerprint: Fingerprint,
        now_ms: f64,
        change: impl FnOnce(&mut Record) -> bool,
    ) -> bool {
        self.now_ms = self.now_ms.max(now_ms);
        let record = self.records.entry(fingerprint).or_default();
        if !change(record) {
            return false;
        }
        for crash in &record.crashes {
            if crash.status != CrashStatus::Cleared {
                self.recent_ends.record_end(crash.incarnation, crash.at_ms);
            }
        }
        self.changed.insert(fingerprint);
        if self.records.len() > 2 * (self.options.suspects_max + self.options.held_max) {
            self.prune(now_ms);
        }
        true
    }

    /// Records which of these fingerprints became held or were released, and what follows for others
    /// under which the same endpoints crashed.
    fn update_holds(&mut self, mut changed: Vec<Fingerprint>) {
        // The deepest first, so that a part is not held for a moment instead of the cause.
        changed.sort_by_key(|fingerprint| {
            let record = self.records.get(fingerprint);
            Reverse(record.map(Record::depth))
        });
        let mut has_changed = false;
        for fingerprint in changed {
            has_changed |= self.update_hold(fingerprint);
        }
        if has_changed {
            for fingerprint in self.suspects.clone() {
                self.update_hold(fingerprint);
            }
        }
    }

    /// Records whether a fingerprint became held or was released; returns whether it did.
    fn update_hold(&mut self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        let crashes = record.map_or(0, |record| record.counted_crashes(&self.recent_ends));
        match crashes >= self.options.confine_crashes {
            true => self.suspects.insert(fingerprint),
            false => self.suspects.remove(&fingerprint),
        };
        let is_held = self.verdict(fingerprint) == Verdict::Held;
        let has_changed = match is_held {
            true => self.held.insert(fingerprint),
            false => self.held.remove(&fingerprint),
        };
        if has_changed {
            self.hold_changes.push((fingerprint, is_held));
        }
        has_changed
    }

    /// Removes old crashes, and the least relevant records where there are too many; a held record
    /// is never evicted in favour of one that isn't held. To be called a few times a second, since
    /// further ends at the moment of a crash may only be learned later.
    pub fn prune(&mut self, now_ms: f64) {
        self.now_ms = self.now_ms.max(now_ms);
        let begun_from_ms = now_ms - self.options.begun_memory_ms;
        self.begun_parts
            .forget(begun_from_ms, self.options.begun_max);
        let evaluated: BTreeSet<Fingerprint> = self.held.union(&self.suspects).copied().collect();
        for fingerprint in evaluated {
            self.update_hold(fingerprint);
        }
        let known_from_ms = self.recent_ends.prune(now_ms - self.options.retention_ms);
        let held = &self.held;
        self.records.retain(|fingerprint, record| {
            if held.contains(fingerprint) {
                return true;
            }
            let crashes = &mut record.crashes;
            crashes.retain(|crash| crash.at_ms >= known_from_ms);
            !crashes.is_empty()
        });
        let (suspects_max, held_max) = (self.options.suspects_max, self.options.held_max);
        self.evict(suspects_max, false);
        self.evict(held_max, true);
    }

    /// Evicts records beyond `most` among those that are held, or among the others: those with the
    /// fewest counted crashes first, then the oldest.
    fn evict(&mut self, most: usize, is_held: bool) {
        let is_candidate = |fingerprint: &Fingerprint| self.held.contains(fingerprint) == is_held;
        let candidates = self
            .records
            .keys()
            .filter(|fingerprint| is_candidate(fingerprint));
        let mut ranked: Vec<(usize, f64, Fingerprint)> = Vec::new();
        let count = candidates.clone().count();
        if count <= most {
            return;
        }
        for fingerprint in candidates {
            let record = &self.records[fingerprint];
            ranked.push((
                record.counted_crashes(&self.recent_ends),
                record.last_crash_ms(),
                *fingerprint,
            ));
        }
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for (_, _, fingerprint) in ranked.into_iter().take(count - most) {
            self.records.remove(&fingerprint);
            self.changed.remove(&fingerprint);
            self.held.remove(&fingerprint);
            self.suspects.remove(&fingerprint);
        }
    }
}
