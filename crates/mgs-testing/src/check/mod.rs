//! Looks through the history of a run for violations of what must always hold.
//!
//! One module checks one [`Invariant`]. Each is a pure function of the history and the
//! [`Limits`]; it also counts what it could judge, so that a run that shows nothing is seen.

mod at_most_once;
mod graceful;
mod in_force;
mod in_time;
mod index;
mod leaving;
mod memory;
mod not_run;
mod orders;
mod whole_answer;

use std::fmt;

use serde::Serialize;

use crate::check::index::Index;
use crate::history::Entry;

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// Every admitted request finishes or fails within its allotted time.
    InTime,
    /// No engine loses memory permanently.
    Memory,
    /// Each caller gets the whole answer to its own request.
    WholeAnswer,
    /// A request refused as not run was not run.
    NotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work after a few seconds.
    Leaving,
    /// A graceful stop cuts off no request.
    Graceful,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    InForce,
    /// An accepted edit is not lost, not overwritten unseen and not made twice.
    Edits,
    /// An endpoint obeys no order from the past, and one holder at most uses a fencing number.
    Orders,
}

/// Times that the checks allow, beyond what the system promises, for a busy machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long after its allotted time a call may end.
    pub slack_ms: u64,
    /// How long after it was told to leave an endpoint may get new work.
    pub leaving_ms: u64,
    /// How long after its acceptance an edit may not be in force somewhere.
    pub in_force_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slack_ms: 2_000,
            leaving_ms: 3_000,
            in_force_ms: 12_000,
        }
    }
}

/// One thing that must not have happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// When, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// What happened, for people.
    pub detail: String,
}

/// What one check found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The invariant.
    pub invariant: Invariant,
    /// Cases that could be judged.
    pub checked: usize,
    /// Those that violate it.
    pub violations: Vec<Violation>,
}

impl Finding {
    fn new(invariant: Invariant) -> Self {
        Self {
            invariant,
            checked: 0,
            violations: Vec::new(),
        }
    }

    /// Counts a case; `fault` is what is wrong with it.
    fn judge(&mut self, at_ms: u64, fault: Option<impl fmt::Display>) {
        self.checked += 1;
        if let Some(fault) = fault {
            let detail = fault.to_string();
            self.violations.push(Violation { at_ms, detail });
        }
    }
}

/// Runs all checks, in the order of the invariants.
///
/// ```
/// use mgs_testing::check;
/// use mgs_testing::check::Limits;
///
/// let findings = check::all(&[], &Limits::default());
/// assert!(findings.iter().all(|finding| finding.violations.is_empty()));
/// ```
pub fn all(entries: &[Entry], limits: &Limits) -> Vec<Finding> {
    let index = Index::new(entries);
    vec![
        in_time::check(&index, limits),
        memory::check(&index),
        whole_answer::check(&index),
        not_run::check(&index),
        at_most_once::check(&index),
        leaving::check(&index, limits),
        graceful::check(&index),
        in_force::check(&index, limits),
        orders::check(&index),
    ]
}
