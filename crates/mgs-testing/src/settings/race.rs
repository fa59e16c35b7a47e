//! Operators who race, a store with faults, compaction, and followers with skewed polling.

mod report;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use mgs_platform::object::Objects;
use mgs_platform::table::Table as TableService;
use mgs_schema::settings::LimitRow;
use mgs_settings::follow;
use mgs_settings::follow::Follower;
use mgs_settings::follow::NoPeers;
use mgs_settings::row::RowKey;
use mgs_settings::row::RowValue;
use mgs_settings::store::compact;
use mgs_settings::store::edit;
use mgs_settings::store::edit::commit;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_settings::table::Table;
use mgs_standin::platform::faults;
use mgs_standin::platform::memory::Memory;
use rand::Rng as _;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::history;
use super::history::History;
use super::history::Intent;
use super::history::Sample;
use super::history::Told;
use super::plant::Blind;
use super::plant::Plant;
pub use report::Outcome;
pub use report::Report;

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Seed of every choice.
    pub seed: u64,
    /// Operators.
    pub operators: usize,
    /// Edits that each operator makes.
    pub edits: usize,
    /// Rows that they edit; few rows make many conflicts.
    pub rows: u64,
    /// Processes that follow.
    pub followers: usize,
    /// Edits that stay in the log when it is compacted.
    pub keep_edits: u64,
    /// A deliberate fault.
    pub plant: Plant,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            operators: 6,
            edits: 100,
            rows: 8,
            followers: 6,
            keep_edits: 32,
            plant: Plant::Nothing,
        }
    }
}

struct Bench {
    options: Options,
    memory: Arc<Memory>,
    table: Arc<dyn TableService>,
    numbers: AtomicU64,
    intents: Mutex<Vec<Intent>>,
    samples: Mutex<Vec<Sample>>,
    starts: Mutex<BTreeMap<usize, usize>>,
    ended: Mutex<BTreeSet<usize>>,
    compactions: AtomicU64,
    /// Operators are done: the faults end, and followers read what is left.
    done: AtomicBool,
}

/// Runs operators, followers, the compactor and the faults to their end.
///
/// ```
/// use mgs_testing::settings::history;
/// use mgs_testing::settings::race;
///
/// let options = race::Options { operators: 2, edits: 5, ..race::Options::default() };
/// assert!(history::check(&race::run(options).history).is_empty());
/// ```
pub fn run(options: Options) -> Outcome {
    let bench = Bench::new(options);
    thread::scope(|scope| {
        let bench = &bench;
        let background = [
            scope.spawn(|| bench.break_store()),
            scope.spawn(|| bench.compact()),
        ];
        let followers: Vec<_> = (0..bench.options.followers)
            .map(|process| scope.spawn(move || bench.follow(process)))
            .collect();
        let operators: Vec<_> = (0..bench.options.operators)
            .map(|operator| scope.spawn(move || bench.operate(operator)))
            .collect();
        for thread in operators {
            thread.join().expect("operators don't panic");
        }
        bench.done.store(true, Ordering::Release);
        for thread in background.into_iter().chain(followers) {
            thread.join().expect("the other threads don't panic");
        }
    });
    bench.finish()
}

impl Bench {
    fn new(options: Options) -> Self {
        let memory = Arc::new(Memory::default());
        let table: Arc<dyn TableService> = match options.plant {
            Plant::BlindWrites => Arc::new(Blind(memory.clone())),
            _ => memory.clone(),
        };
        Self {
            options,
            memory,
            table,
            numbers: AtomicU64::new(0),
            intents: Mutex::default(),
            samples: Mutex::default(),
            starts: Mutex::default(),
            ended: Mutex::default(),
            compactions: AtomicU64::new(0),
            done: AtomicBool::new(false),
        }
    }

    fn store(&self) -> Store<'_> {
        Store {
            table: self.table.as_ref(),
            objects: self.memory.as_ref(),
        }
    }

    fn random(&self, part: u64) -> ChaCha8Rng {
        let mut random = ChaCha8Rng::seed_from_u64(self.options.seed);
        random.set_stream(part);
        random
    }

    fn is_done(&self) -> bool {
        self.done.load(Ordering::Acquire)
    }

    /// Outages of a few milliseconds and single lost replies.
    fn break_store(&self) {
        let mut random = self.random(1_000);
        let faults = self.memory.faults();
        while !self.is_done() {
            match random.random_range(0..3) {
                0 => faults.set_outage(true),
                _ => faults.lose_next_replies(random.random_range(1..4)),
            }
            pause(&mut random, 4);
            faults.set_outage(false);
            pause(&mut random, 6);
        }
        faults.set(faults::Settings::default());
    }

    fn compact(&self) {
        let mut random = self.random(2_000);
        let options = compact::Options {
            keep_edits: self.options.keep_edits,
        };
        while !self.is_done() {
            if let Ok(compact::Outcome::Compacted(_)) = compact::run(self.store(), &options) {
                self.compactions.fetch_add(1, Ordering::Relaxed);
            }
            pause(&mut random, 5);
        }
    }

    fn operate(&self, operator: usize) {
        let mut random = self.random(operator as u64);
        for _ in 0..self.options.edits {
            let intent = self.edit(&mut random);
            lock(&self.intents).push(intent);
        }
    }

    /// One edit of one row, tried until the operator knows what came of it.
    fn edit(&self, random: &mut ChaCha8Rng) -> Intent {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let kind = format!("kind-{}", random.random_range(0..self.options.rows));
        let base = self.look();
        pause(random, 3);
        let mut options = edit::Options {
            edit_id: format!("{number}-0"),
            author: number.to_string(),
            changes: vec![set_row(&kind, number)],
            ..edit::Options::default()
        };
        let told = self.try_until_known(&base, &mut options);
        Intent {
            number,
            edit_id: options.edit_id,
            base: base.version(),
            key: RowKey::limit("*", &kind),
            told,
        }
    }

    fn look(&self) -> Table {
        loop {
            match read::load(self.store()) {
                Ok(table) => return table,
                Err(_) => thread::sleep(STORE_PAUSE),
            }
        }
    }

    fn try_until_known(&self, base: &Table, options: &mut edit::Options) -> Told {
        for attempt in 1.. {
            let base = match self.options.plant {
                Plant::BlindRebase | Plant::NewIdentifier => self.look(),
                _ => base.clone(),
            };
            match commit(self.store(), &base, options) {
                Ok(outcome) if outcome.already && self.options.plant == Plant::NewIdentifier => {
                    options.edit_id = format!("{}-{attempt}", options.author);
                }
                Ok(outcome) => return Told::Accepted(outcome.version),
                Err(edit::Error::Conflict(..)) => return Told::Conflict,
                Err(edit::Error::Refused(_) | edit::Error::Faults(..)) => return Told::Refused,
                Err(edit::Error::Unknown(_)) => options.retried = true,
            }
            thread::sleep(STORE_PAUSE);
        }
        unreachable!("the loop ends by returning")
    }

    /// One place, whose process is started again now and then; each start is a process of its own.
    fn follow(&self, place: usize) {
        let mut random = self.random(3_000 + place as u64);
        for start in 0.. {
            let process = place + start * self.options.followers;
            if self.follow_until_restart(process, place, &mut random) {
                return;
            }
            lock(&self.ended).insert(process);
        }
    }

    /// Returns whether all is done.
    fn follow_until_restart(&self, process: usize, place: usize, random: &mut ChaCha8Rng) -> bool {
        let objects: Arc<dyn Objects> = self.memory.clone();
        let options = follow::Options::default();
        let follower = Follower::new(options, self.table.clone(), objects, Box::new(NoPeers));
        let mut older = Table::default();
        let before = lock(&self.samples).len();
        lock(&self.starts).insert(process, before);
        while self.is_done() || !random.random_ratio(1, RESTARTED_POLLS) {
            let done = self.is_done();
            let outcome = follower.poll(1, random.next_u64());
            let current = follower.holder().table();
            if follower.ready() || self.options.plant == Plant::ServesEarly {
                let goes_back = self.options.plant == Plant::GoesBack && random.random_ratio(1, 20);
                let in_force = if goes_back { &older } else { current.as_ref() };
                self.sample(process, in_force);
            }
            if older.version() == 0 {
                older = current.as_ref().clone();
            }
            if done && outcome.error.is_none() && !outcome.changed && follower.ready() {
                return true;
            }
            pause(random, 2 + place as u64 * 3);
        }
        false
    }

    fn sample(&self, process: usize, in_force: &Table) {
        lock(&self.samples).push(Sample {
            process,
            version: in_force.version(),
            fingerprint: history::fingerprint(in_force),
        });
    }

    fn finish(self) -> Outcome {
        self.memory.faults().set(faults::Settings::default());
        let log = read::history(self.store(), 1, u64::MAX);
        let history = History {
            log: log.unwrap_or_default(),
            intents: take(self.intents),
            samples: take(self.samples),
            starts: take(self.starts),
            ended: take(self.ended),
        };
        Outcome {
            history,
            counters: self.memory.faults().counters(),
            compactions: self.compactions.into_inner(),
        }
    }
}

/// A process is started again after so many polls, on average.
const RESTARTED_POLLS: u32 = 60;

const STORE_PAUSE: Duration = Duration::from_millis(1);

fn pause(random: &mut ChaCha8Rng, most_ms: u64) {
    thread::sleep(Duration::from_micros(
        random.random_range(0..=most_ms * 1_000),
    ));
}

pub(crate) fn set_row(kind: &str, number: u64) -> mgs_schema::settings::Change {
    let row = LimitRow {
        organisation: "*".to_string(),
        kind: kind.to_string(),
        weight: 1,
        allotted_ms: 1 + number,
        ..LimitRow::default()
    };
    RowValue::Limit(row).set()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn take<T>(mutex: Mutex<T>) -> T {
    mutex.into_inner().unwrap_or_else(PoisonError::into_inner)
}
