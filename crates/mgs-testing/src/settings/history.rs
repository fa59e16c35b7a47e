//! What operators were told and processes had in force, against the log of edits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use displaydoc::Display;
use mgs_schema::settings::Edit;
use mgs_settings::row::change_key;
use mgs_settings::row::RowKey;
use mgs_settings::table::Table;
use xxhash_rust::xxh3::xxh3_64;

/// What an operator was told of an edit in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// It is in force from this version on.
    Accepted(u64),
    /// Somebody else changed a row first.
    Conflict,
    /// The store refused it.
    Refused,
}

/// One edit that an operator wanted.
#[derive(Debug, Clone)]
pub struct Intent {
    /// Number of the intent, which the edit's author field carries.
    pub number: u64,
    /// Identifier of the edit.
    pub edit_id: String,
    /// Version of the table that the operator looked at.
    pub base: u64,
    /// The row that it changes.
    pub key: RowKey,
    /// What the operator was told.
    pub told: Told,
}

/// What a process had in force at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sample {
    /// The process.
    pub process: usize,
    /// Version in force.
    pub version: u64,
    /// Fingerprint of the whole table in force.
    pub fingerprint: u64,
}

/// The history of a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Edits that operators wanted.
    pub intents: Vec<Intent>,
    /// What processes had in force, for each process in the order of time.
    pub samples: Vec<Sample>,
    /// How many samples there were when a process started.
    pub starts: BTreeMap<usize, usize>,
    /// Processes that ended before the operators did; they needn't have the newest version.
    pub ended: BTreeSet<usize>,
    /// The log of edits at the end, from the archive and the store.
    pub log: Vec<Edit>,
}

/// Something that must not have happened.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Violation {
    /// the log has version {found} where {expected} must stand
    Gap {
        /// Version that must stand there.
        expected: u64,
        /// Version that does.
        found: u64,
    },
    /// accepted edit {0} isn't in the log at its version
    Lost(String),
    /// edit {0} is in the log although its operator was told that it isn't
    InForceThoughRefused(String),
    /// intent {0} is in the log more than once
    AppliedTwice(u64),
    /// accepted edit {0} overwrote a change that its operator hadn't seen
    Overwrote(String),
    /// process {process} went back from version {from} to {to}
    WentBack {
        /// The process.
        process: usize,
        /// Version before.
        from: u64,
        /// Version after.
        to: u64,
    },
    /// process {process} served version {version} although another had {newest} in force before it started
    ServedOld {
        /// The process.
        process: usize,
        /// Version that it served first.
        version: u64,
        /// Version that another had.
        newest: u64,
    },
    /// process {process} had another table in force at version {version} than the log gives
    Diverged {
        /// The process.
        process: usize,
        /// The version.
        version: u64,
    },
    /// process {process} ended at version {version} and not at the newest
    Behind {
        /// The process.
        process: usize,
        /// Its version.
        version: u64,
    },
}

/// Fingerprint of a table.
pub fn fingerprint(table: &Table) -> u64 {
    let text = serde_json::to_vec(table.snapshot()).expect("a table can be written as JSON");
    xxh3_64(&text)
}

/// Finds every violation.
///
/// ```
/// use mgs_testing::settings::history;
/// use mgs_testing::settings::history::History;
///
/// assert!(history::check(&History::default()).is_empty());
/// ```
pub fn check(history: &History) -> BTreeSet<Violation> {
    let mut violations = BTreeSet::new();
    check_dense(&history.log, &mut violations);
    check_intents(history, &mut violations);
    check_samples(history, &mut violations);
    check_starts(history, &mut violations);
    violations
}

fn check_dense(log: &[Edit], violations: &mut BTreeSet<Violation>) {
    for (expected, edit) in (1..).zip(log) {
        if edit.version != expected {
            violations.insert(Violation::Gap {
                expected,
                found: edit.version,
            });
        }
    }
}

fn check_intents(history: &History, violations: &mut BTreeSet<Violation>) {
    let by_id: HashMap<&str, &Edit> = history
        .log
        .iter()
        .map(|edit| (edit.edit_id.as_str(), edit))
        .collect();
    for intent in &history.intents {
        let found = by_id.get(intent.edit_id.as_str());
        match (intent.told, found) {
            (Told::Accepted(version), Some(edit)) if edit.version == version => {
                check_overwrote(intent, version, &history.log, violations);
            }
            (Told::Accepted(_), _) => {
                violations.insert(Violation::Lost(intent.edit_id.clone()));
            }
            (Told::Conflict | Told::Refused, Some(_)) => {
                let id = intent.edit_id.clone();
                violations.insert(Violation::InForceThoughRefused(id));
            }
            (Told::Conflict | Told::Refused, None) => {}
        }
    }
    let mut applied: BTreeMap<&str, usize> = BTreeMap::new();
    for edit in &history.log {
        *applied.entry(edit.author.as_str()).or_default() += 1;
    }
    let twice = applied.into_iter().filter(|(_, count)| *count > 1);
    let numbers = twice.filter_map(|(author, _)| author.parse().ok());
    violations.extend(numbers.map(Violation::AppliedTwice));
}

fn check_overwrote(
    intent: &Intent,
    version: u64,
    log: &[Edit],
    violations: &mut BTreeSet<Violation>,
) {
    let unseen = log
        .iter()
        .filter(|edit| edit.version > intent.base && edit.version < version);
    let changed = unseen.flat_map(|edit| &edit.changes);
    if changed.filter_map(change_key).any(|key| key == intent.key) {
        violations.insert(Violation::Overwrote(intent.edit_id.clone()));
    }
}

fn check_samples(history: &History, violations: &mut BTreeSet<Violation>) {
    let fingerprints = replay(&history.log);
    let mut last: BTreeMap<usize, u64> = BTreeMap::new();
    for sample in &history.samples {
        let Sample {
            process, version, ..
        } = *sample;
        let from = last.insert(process, version).unwrap_or(0);
        if version < from {
            let to = version;
            violations.insert(Violation::WentBack { process, from, to });
        }
        if fingerprints.get(&version) != Some(&sample.fingerprint) {
            violations.insert(Violation::Diverged { process, version });
        }
    }
    let newest = history.log.len() as u64;
    last.retain(|process, _| !history.ended.contains(process));
    let behind = last.into_iter().filter(|(_, version)| *version != newest);
    violations.extend(behind.map(|(process, version)| Violation::Behind { process, version }));
}

/// A process that starts serves nothing before it is as new as all others were when it started.
fn check_starts(history: &History, violations: &mut BTreeSet<Violation>) {
    for (process, before) in &history.starts {
        let (before, after) = history.samples.split_at(*before);
        let newest = before.iter().map(|sample| sample.version).max();
        let newest = newest.unwrap_or(0);
        let first = after.iter().find(|sample| sample.process == *process);
        if let Some(first) = first.filter(|first| first.version < newest) {
            violations.insert(Violation::ServedOld {
                process: *process,
                version: first.version,
                newest,
            });
        }
    }
}

/// Fingerprint of the table at each version.
fn replay(log: &[Edit]) -> HashMap<u64, u64> {
    let mut table = Table::default();
    let mut fingerprints = HashMap::from([(0, fingerprint(&table))]);
    for edit in log {
        let Ok(next) = table.after(std::slice::from_ref(edit)) else {
            break;
        };
        fingerprints.insert(edit.version, fingerprint(&next));
        table = next;
    }
    fingerprints
}
