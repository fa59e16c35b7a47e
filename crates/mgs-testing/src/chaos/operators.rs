//! Operators who race on a few rows of the table while the run goes on.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use mgs_settings::row::RowKey;
use mgs_settings::store::edit;
use mgs_settings::store::edit::commit;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_settings::table::Table;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::check::Finding;
use crate::check::Invariant;
use crate::check::Violation;
use crate::cluster::Cluster;
use crate::history::Event;
use crate::history::Recorder;
use crate::settings::history;
use crate::settings::history::History;
use crate::settings::history::Intent;
use crate::settings::history::Told;
use crate::settings::race::set_row;

/// Rows that they edit; few rows make many conflicts.
const ROWS: u64 = 4;

/// Longest pause between two edits, in milliseconds.
const THINK_MAX_MS: u64 = 400;

/// Longest time that an operator looks at the table before the edit, in milliseconds.
const LOOK_MAX_MS: u64 = 100;

const AGAIN: Duration = Duration::from_millis(100);

/// The operators of one run.
pub(super) struct Operators<'a> {
    cluster: &'a Cluster,
    recorder: &'a Recorder,
    numbers: AtomicU64,
    intents: Mutex<Vec<Intent>>,
}

impl<'a> Operators<'a> {
    pub(super) fn new(cluster: &'a Cluster, recorder: &'a Recorder) -> Self {
        Self {
            cluster,
            recorder,
            numbers: AtomicU64::new(0),
            intents: Mutex::default(),
        }
    }

    /// One operator; ends when told to, once what came of the last edit is known.
    pub(super) fn operate(&self, seed: u64, stop: &AtomicBool) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        while !stop.load(Ordering::Acquire) {
            let intent = self.edit(&mut random);
            if let Told::Accepted(version) = intent.told {
                self.recorder.record(Event::Accepted { version });
            }
            let mut intents = self.intents.lock().unwrap_or_else(PoisonError::into_inner);
            intents.push(intent);
            drop(intents);
            pause(&mut random, THINK_MAX_MS);
        }
    }

    /// What the log says of what operators were told.
    pub(super) fn finding(&self) -> Result<Finding, mgs_settings::store::Error> {
        let intents = self.intents.lock().unwrap_or_else(PoisonError::into_inner);
        let history = History {
            intents: intents.clone(),
            log: read::history(self.store(), 1, u64::MAX)?,
            ..History::default()
        };
        let at_ms = self.recorder.now_ms();
        let violations = history::check(&history).into_iter();
        let told = violations.map(|violation| Violation {
            at_ms,
            detail: violation.to_string(),
        });
        Ok(Finding {
            invariant: Invariant::Edits,
            checked: history.intents.len(),
            violations: told.collect(),
        })
    }

    fn store(&self) -> Store<'a> {
        let memory = self.cluster.platform.memory().as_ref();
        Store {
            table: memory,
            objects: memory,
        }
    }

    fn edit(&self, random: &mut ChaCha8Rng) -> Intent {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let kind = format!("operators-{}", random.random_range(0..ROWS));
        let base = self.look();
        pause(random, LOOK_MAX_MS);
        let mut options = edit::Options {
            edit_id: format!("operators-{number}"),
            author: number.to_string(),
            changes: vec![set_row(&kind, number)],
            ..edit::Options::default()
        };
        Intent {
            number,
            edit_id: options.edit_id.clone(),
            base: base.version(),
            key: RowKey::limit("*", &kind),
            told: self.try_until_known(&base, &mut options),
        }
    }

    fn look(&self) -> Table {
        loop {
            match read::load(self.store()) {
                Ok(table) => return table,
                Err(_) => thread::sleep(AGAIN),
            }
        }
    }

    fn try_until_known(&self, base: &Table, options: &mut edit::Options) -> Told {
        loop {
            match commit(self.store(), base, options) {
                Ok(outcome) => return Told::Accepted(outcome.version),
                Err(edit::Error::Conflict(..)) => return Told::Conflict,
                Err(edit::Error::Refused(_) | edit::Error::Faults(..)) => return Told::Refused,
                Err(edit::Error::Unknown(_)) => options.retried = true,
            }
            thread::sleep(AGAIN);
        }
    }
}

fn pause(random: &mut ChaCha8Rng, most_ms: u64) {
    thread::sleep(Duration::from_millis(random.random_range(0..=most_ms)));
}
