//! All that one gateway knows of crashes, and its verdict on a request.

use std::collections::BTreeSet;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::key::WorkKey;
use crate::options::Options;
use crate::record::Bearing;
use crate::record::Crash;
use crate::record::Moments;
use crate::record::Record;

/// Endpoints that a fleet is taken to have before it is known.
const ENDPOINTS_UNKNOWN: usize = 20;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it, or too little.
    Free,
    /// It may be what crashes endpoints: it runs on one endpoint only, the same at each gateway.
    Confined,
    /// It is sent nowhere.
    Held,
}

/// A crash as gateways tell it: by its age, since their clocks differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ToldCrash {
    /// Hash of the incarnation that ended.
    pub incarnation: u64,
    /// Time since, in milliseconds.
    pub age_ms: u32,
    /// Events that the run had made.
    pub reached: u32,
    /// How it bears on the work.
    pub bearing: Bearing,
}

/// What a gateway tells of one work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The work.
    pub key: WorkKey,
    /// Its crashes.
    pub crashes: Vec<ToldCrash>,
    /// Whether it was tried once more since it is held.
    pub was_tried: bool,
    /// Whether it came again some time after its crashes.
    pub came_again: bool,
}

/// What a gateway knows.
///
/// ```
/// use mgs_quarantine::key::WorkKey;
/// use mgs_quarantine::options::Options;
/// use mgs_quarantine::table::Quarantine;
/// use mgs_quarantine::table::Verdict;
///
/// let mut quarantine = Quarantine::new(Options::default());
/// let work = WorkKey(1);
/// for crash in 0..3_u32 {
///     assert_ne!(quarantine.verdict(work), Verdict::Held);
///     quarantine.crashed(work, u64::from(crash), 0, f64::from(crash) * 500.0);
/// }
/// assert_eq!(quarantine.verdict(work), Verdict::Held);
/// ```
#[derive(Debug)]
pub struct Quarantine {
    options: Options,
    records: HashMap<WorkKey, Record>,
    moments: Moments,
    /// Endpoints of the fleet.
    endpoints: usize,
    /// Works that were held when they last changed.
    held: BTreeSet<WorkKey>,
    /// Works of which peers have to be told.
    fresh: BTreeSet<WorkKey>,
    /// Works that were held or let go since this was last asked.
    turned: Vec<(WorkKey, bool)>,
}

impl Quarantine {
    /// Nothing known.
    pub fn new(options: Options) -> Self {
        Self {
            moments: Moments::new(options.moment_ms),
            options,
            endpoints: ENDPOINTS_UNKNOWN,
            records: HashMap::new(),
            held: BTreeSet::new(),
            fresh: BTreeSet::new(),
            turned: Vec::new(),
        }
    }

    /// The fleet has so many endpoints.
    pub fn know_endpoints(&mut self, endpoints: usize) {
        self.endpoints = endpoints;
    }

    /// An endpoint has ended while it ran a work, of which it had made so many events.
    pub fn crashed(&mut self, key: WorkKey, incarnation: u64, reached: u32, now_ms: f64) {
        let crash = Crash {
            incarnation,
            at_ms: now_ms,
            reached,
            bearing: Bearing::Counts,
        };
        self.change(key, now_ms, |record| record.add(crash));
    }

    /// Another endpoint has ended beside the one that ran a work, which had read a part of its prompt. It counts for nothing,
    /// but isn't an end that has nothing to do with the work either.
    pub fn crashed_beside(&mut self, key: WorkKey, incarnation: u64, now_ms: f64) {
        let crash = Crash {
            incarnation,
            at_ms: now_ms,
            reached: 0,
            bearing: Bearing::Cleared,
        };
        self.change(key, now_ms, |record| record.add(crash));
    }

    /// Whether an endpoint is known to have ended under some work.
    pub fn has_ended(&self, incarnation: u64) -> bool {
        self.moments.has_ended(incarnation)
    }

    /// A run of a work has made so many events.
    pub fn reached(&mut self, key: WorkKey, events: u32, now_ms: f64) {
        if self.records.contains_key(&key) {
            self.change(key, now_ms, |record| record.reached(events));
        }
    }

    /// A run of a work has ended whole.
    pub fn ended_whole(&mut self, key: WorkKey, now_ms: f64) {
        if self.records.contains_key(&key) {
            self.change(key, now_ms, Record::ended_whole);
        }
    }

    /// An operator lets a work go: what is known of it counts no more.
    pub fn lift(&mut self, key: WorkKey, now_ms: f64) {
        self.ended_whole(key, now_ms);
    }

    /// A request of this work begins; what may be done with it. Where other endpoints ended at the time of its crashes, more of
    /// them are wanted, but not of what comes again later.
    pub fn begin(&mut self, key: WorkKey, now_ms: f64) -> Verdict {
        let has_come_again = |record: &Record| {
            let is_later = now_ms - record.last_ms() >= self.options.settled_ms;
            let all = record.counting(&self.moments);
            is_later && self.unexplained(key, record, all) >= self.options.hold_crashes
        };
        if self.records.get(&key).is_some_and(has_come_again) {
            self.change(key, now_ms, |record| {
                let is_new = !record.came_again;
                record.came_again = true;
                is_new
            });
        }
        self.verdict(key)
    }

    /// Crashes of a work that no other held work explains, of `all` that count.
    fn unexplained(&self, key: WorkKey, record: &Record, all: usize) -> usize {
        let is_explained = |crash: &Crash| self.is_explained(key, all, crash);
        record.counting_but(&self.moments, is_explained)
    }

    /// What may be done with a work.
    pub fn verdict(&self, key: WorkKey) -> Verdict {
        match self.records.get(&key) {
            None => Verdict::Free,
            Some(record) => self.judge(key, record),
        }
    }

    fn judge(&self, key: WorkKey, record: &Record) -> Verdict {
        let all = record.counting(&self.moments);
        if all < self.options.confine_crashes {
            return Verdict::Free;
        }
        let counting = self.unexplained(key, record, all);
        let is_held = counting >= self.wanted(record)
            || record.not_cleared(&self.moments) >= self.options.hold_crashes_in_all;
        match counting >= self.options.confine_crashes {
            _ if is_held => Verdict::Held,
            true => Verdict::Confined,
            false => Verdict::Free,
        }
    }

    /// Whether another held work explains a crash better: it ran there too, and has crashed more.
    fn is_explained(&self, key: WorkKey, crashes: usize, crash: &Crash) -> bool {
        let others = self.held.iter().filter(|other| **other != key);
        let mut others = others.filter_map(|other| self.records.get(other));
        others.any(|other| other.has(crash.incarnation) && other.counting(&self.moments) > crashes)
    }

    /// Crashes after which a work is held, by how many endpoints end without it.
    fn wanted(&self, record: &Record) -> usize {
        if record.came_again {
            return self.options.hold_crashes;
        }
        let last_ms = record.last_ms();
        let from_ms = last_ms - self.options.others_ms;
        let others = self.moments.others(&record.crashes, from_ms, last_ms);
        let share = others as f64 / self.endpoints.max(1) as f64;
        let more = match others {
            0 => 0,
            _ if share < self.options.many_others_share => 1,
            _ => 2,
        };
        self.options.hold_crashes + more
    }

    /// Takes the one trial that a held work has, some time after its last crash; answers whether there is one. Peers
    /// are told that it is taken.
    pub fn take_trial(&mut self, key: WorkKey, now_ms: f64) -> bool {
        let Some(record) = self.records.get(&key) else {
            return false;
        };
        let is_due = now_ms - record.last_ms() >= self.options.trial_after_ms;
        let is_clear = record.crashes.len() > self.options.trial_crashes_max;
        if record.was_tried || is_clear || !is_due {
            return false;
        }
        self.change(key, now_ms, |record| {
            record.was_tried = true;
            true
        });
        true
    }

    /// What is known of a work.
    pub fn record(&self, key: WorkKey) -> Option<&Record> {
        self.records.get(&key)
    }

    /// Works that are held.
    pub fn held(&self) -> &BTreeSet<WorkKey> {
        &self.held
    }

    /// How many works are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// All works that are remembered.
    pub fn keys(&self) -> Vec<WorkKey> {
        let mut keys: Vec<WorkKey> = self.records.keys().copied().collect();
        keys.sort();
        keys
    }

    /// Takes what a peer, or the store, tells. Peers aren't told of it again: whoever saw it tells all.
    pub fn hear(&mut self, told: &Told, now_ms: f64) {
        let crash = |told: &ToldCrash| Crash {
            incarnation: told.incarnation,
            at_ms: now_ms - f64::from(told.age_ms),
            reached: told.reached,
            bearing: told.bearing,
        };
        let other = Record {
            crashes: told.crashes.iter().map(crash).collect(),
            was_tried: told.was_tried,
            came_again: told.came_again,
        };
        let was_fresh = self.fresh.contains(&told.key);
        self.change(told.key, now_ms, |record| record.merge(&other));
        if !was_fresh {
            self.fresh.remove(&told.key);
        }
    }

    /// What to tell of a work.
    pub fn told(&self, key: WorkKey, now_ms: f64) -> Option<Told> {
        let record = self.records.get(&key)?;
        let crash = |crash: &Crash| ToldCrash {
            incarnation: crash.incarnation,
            age_ms: (now_ms - crash.at_ms).max(0.0) as u32,
            reached: crash.reached,
            bearing: crash.bearing,
        };
        Some(Told {
            key,
            crashes: record.crashes.iter().map(crash).collect(),
            was_tried: record.was_tried,
            came_again: record.came_again,
        })
    }

    /// Works of which something is new here since this was last asked.
    pub fn take_fresh(&mut self) -> Vec<WorkKey> {
        std::mem::take(&mut self.fresh).into_iter().collect()
    }

    /// Works that were held (`true`) or let go since this was last asked.
    pub fn take_turned(&mut self) -> Vec<(WorkKey, bool)> {
        std::mem::take(&mut self.turned)
    }

    fn change(&mut self, key: WorkKey, now_ms: f64, change: impl FnOnce(&mut Record) -> bool) {
        let record = self.records.entry(key).or_default();
        if !change(record) {
            return;
        }
        for crash in &record.crashes {
            if crash.bearing != Bearing::Cleared {
                self.moments.ended(crash.incarnation, crash.at_ms);
            }
        }
        self.fresh.insert(key);
        self.note_turn(key);
        if self.records.len() > 2 * (self.options.suspects_max + self.options.held_max) {
            self.tidy(now_ms);
        }
    }

    /// Takes note if a work is held now and wasn't, or the other way round.
    fn note_turn(&mut self, key: WorkKey) {
        let is_held = self.verdict(key) == Verdict::Held;
        let is_turned = match is_held {
            true => self.held.insert(key),
            false => self.held.remove(&key),
        };
        if is_turned {
            self.turned.push((key, is_held));
        }
    }

    /// Forgets what is old, and what bears least where there is too much; never a hold for the sake of what isn't held.
    /// To be called a few times a second: endpoints that ended at the same moment as others may only be heard of later.
    pub fn tidy(&mut self, now_ms: f64) {
        for key in self.held.clone() {
            self.note_turn(key);
        }
        let known_from_ms = self.moments.forget(now_ms - self.options.kept_ms);
        let held = &self.held;
        self.records.retain(|key, record| {
            if held.contains(key) {
                return true;
            }
            let crashes = &mut record.crashes;
            crashes.retain(|crash| crash.at_ms >= known_from_ms);
            !crashes.is_empty()
        });
        let (suspects_max, held_max) = (self.options.suspects_max, self.options.held_max);
        self.drop_least(suspects_max, false);
        self.drop_least(held_max, true);
    }

    /// Drops works beyond `most` among those that are held, or among the others: those with fewest crashes that count,
    /// then the oldest.
    fn drop_least(&mut self, most: usize, is_held: bool) {
        let concerned = |key: &WorkKey| self.held.contains(key) == is_held;
        let keys = self.records.keys().filter(|key| concerned(key));
        let mut ranked: Vec<(usize, f64, WorkKey)> = Vec::new();
        let count = keys.clone().count();
        if count <= most {
            return;
        }
        for key in keys {
            let record = &self.records[key];
            ranked.push((record.counting(&self.moments), record.last_ms(), *key));
        }
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for (_, _, key) in ranked.into_iter().take(count - most) {
            self.records.remove(&key);
            self.fresh.remove(&key);
            self.held.remove(&key);
        }
    }
}
