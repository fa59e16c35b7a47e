//! What came of a run, and its figures.

use mgs_standin::platform::faults;
use serde::Serialize;

use crate::settings::history;
use crate::settings::history::History;
use crate::settings::history::Told;
use crate::settings::history::Violation;

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The history.
    pub history: History,
    /// Faults that the store had.
    pub counters: faults::Counters,
    /// Compactions.
    pub compactions: u64,
}

impl Outcome {
    /// Edits that ended so.
    pub fn count(&self, ended: impl Fn(Told) -> bool) -> usize {
        let intents = self.history.intents.iter();
        intents.filter(|intent| ended(intent.told)).count()
    }
}

/// A run in figures.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Edits that operators wanted.
    pub raced: usize,
    /// Edits accepted.
    pub accepted: usize,
    /// Edits that ended in a conflict.
    pub conflicts: usize,
    /// Edits that the store refused.
    pub refused: usize,
    /// Accepted edits that were lost, overwritten or made twice.
    pub lost: usize,
    /// Times that a process went back or had another table than the log gives.
    pub reverted: usize,
    /// Looks at processes.
    pub samples: usize,
    /// Replies that the store lost.
    pub replies_lost: u64,
    /// Calls that outages refused.
    pub calls_refused: u64,
    /// Compactions of the log.
    pub compactions: u64,
    /// Every violation.
    pub violations: Vec<String>,
}

impl Outcome {
    /// Checks the history and counts.
    pub fn report(&self, seed: u64) -> Report {
        let violations = history::check(&self.history);
        let reverts = |violation: &&Violation| {
            matches!(
                violation,
                Violation::WentBack { .. }
                    | Violation::ServedOld { .. }
                    | Violation::Diverged { .. }
                    | Violation::Behind { .. }
            )
        };
        let reverted = violations.iter().filter(reverts).count();
        Report {
            seed,
            raced: self.history.intents.len(),
            accepted: self.count(|told| matches!(told, Told::Accepted(_))),
            conflicts: self.count(|told| told == Told::Conflict),
            refused: self.count(|told| told == Told::Refused),
            lost: violations.len() - reverted,
            reverted,
            samples: self.history.samples.len(),
            replies_lost: self.counters.replies_lost,
            calls_refused: self.counters.refused,
            compactions: self.compactions,
            violations: violations.iter().map(ToString::to_string).collect(),
        }
    }
}
