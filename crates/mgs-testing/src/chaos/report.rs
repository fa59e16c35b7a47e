//! What a run found, as one line of JSON.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;

use crate::chaos::measure::Moves;
use crate::chaos::run::Options;
use crate::chaos::schedule::Fault;
use crate::check::Finding;
use crate::check::Invariant;
use crate::history::Call;
use crate::history::Ending;
use crate::history::Entry;
use crate::history::Event;
use crate::history::NotRun;
use crate::history::Request;

/// Most violations of one invariant that are told in full.
const VIOLATIONS_TOLD: usize = 5;

/// What a run found.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Its scenario.
    pub scenario: String,
    /// Whether some requests carried an idempotency key.
    pub keyed: bool,
    /// Its length, in seconds.
    pub seconds: u64,
    /// The deliberate bug.
    pub plant: String,
    /// Whether no check found a violation.
    pub clean: bool,
    /// Faults injected, by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// Requests.
    pub requests: usize,
    /// Calls, by outcome.
    pub outcomes: BTreeMap<&'static str, usize>,
    /// Calls that ended with an error, by its reason.
    pub reasons: BTreeMap<String, usize>,
    /// Calls that met a fault and ended as unknown, by kind of fault.
    pub unknown_by_fault: BTreeMap<String, Share>,
    /// Durable requests that the system promised to keep.
    pub kept: usize,
    /// Runs at the endpoints.
    pub executions: usize,
    /// Non-idempotent requests that ran more than once.
    pub doubled: usize,
    /// Calls without an answer or an error although nothing excuses it, and late ones.
    pub lost: usize,
    /// What each check found.
    pub invariants: Vec<Finding>,
    /// Times from a path's silence to the next piece of its streams, by kind and path.
    pub moves: BTreeMap<String, Moves>,
    /// Times from an endpoint\'s leaving to the last request that it began.
    pub leaving: Moves,
    /// Orders sent by contenders for the controller's lease.
    pub orders_given: u64,
    /// Pauses of such contenders that were longer than the lease.
    pub pauses_beyond_lease: u64,
    /// What the tool itself could not do.
    pub failures: Vec<String>,
    /// Where the logs and the history are, if the run isn't clean.
    pub logs: Option<String>,
}

/// A share of calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Share {
    /// Calls that met the fault.
    pub calls: usize,
    /// Those that ended as unknown.
    pub unknown: usize,
}

impl Report {
    pub(super) fn new(
        options: &Options,
        faults: &[Fault],
        entries: &[Entry],
        findings: Vec<Finding>,
    ) -> Self {
        let violations = |invariant: Invariant| {
            let found = findings.iter().find(|one| one.invariant == invariant);
            found.map_or(0, |finding| finding.violations.len())
        };
        Self {
            seed: options.seed,
            scenario: options.scenario.name().to_string(),
            keyed: options.keyed,
            seconds: options.seconds,
            plant: options.plant.clone(),
            clean: findings.iter().all(|one| one.violations.is_empty()),
            faults: count(faults.iter().map(|fault| fault.kind.name())),
            requests: requests(entries),
            outcomes: count(endings(entries).map(outcome)),
            reasons: count(endings(entries).filter_map(reason)),
            unknown_by_fault: unknown_by_fault(entries),
            kept: events(entries, |event| matches!(event, Event::Kept { .. })),
            executions: events(entries, |event| matches!(event, Event::Started { .. })),
            doubled: violations(Invariant::AtMostOnce),
            lost: violations(Invariant::InTime),
            invariants: findings,
            moves: BTreeMap::new(),
            leaving: Moves::default(),
            orders_given: 0,
            pauses_beyond_lease: 0,
            failures: Vec::new(),
            logs: None,
        }
    }

    /// Whether no check found a violation.
    pub fn is_clean(&self) -> bool {
        self.clean
    }

    /// One line of JSON; of many violations of one kind the first few are told.
    pub fn json(&self) -> String {
        let mut told = self.clone();
        for finding in &mut told.invariants {
            finding.violations.truncate(VIOLATIONS_TOLD);
        }
        serde_json::to_string(&told).unwrap_or_else(|error| error.to_string())
    }
}

fn count<K: Ord>(keys: impl Iterator<Item = K>) -> BTreeMap<K, usize> {
    let mut counts = BTreeMap::new();
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    counts
}

fn endings(entries: &[Entry]) -> impl Iterator<Item = &Ending> {
    entries.iter().filter_map(|entry| match &entry.event {
        Event::Ended { ending, .. } => Some(ending),
        _ => None,
    })
}

fn outcome(ending: &Ending) -> &'static str {
    match ending {
        Ending::Answered { .. } => "answered",
        Ending::Error { not_run, .. } => match not_run {
            NotRun::True => "refused",
            NotRun::False => "failed",
            NotRun::Unknown => "unknown",
        },
        Ending::Broken { .. } => "broken",
        Ending::Silent => "silent",
    }
}

fn reason(ending: &Ending) -> Option<String> {
    match ending {
        Ending::Error { reason, .. } => Some(format!("{} {reason}", outcome(ending))),
        _ => None,
    }
}

fn requests(entries: &[Entry]) -> usize {
    let requests: BTreeSet<Request> = entries.iter().filter_map(request_sent).collect();
    requests.len()
}

fn request_sent(entry: &Entry) -> Option<Request> {
    match &entry.event {
        Event::Sent { request, .. } => Some(*request),
        _ => None,
    }
}

fn events(entries: &[Entry], wanted: impl Fn(&Event) -> bool) -> usize {
    let entries = entries.iter();
    entries.filter(|entry| wanted(&entry.event)).count()
}

/// Counts, for each kind of fault, the calls that were open during one.
fn unknown_by_fault(entries: &[Entry]) -> BTreeMap<String, Share> {
    let mut faults: BTreeMap<&str, usize> = BTreeMap::new();
    let mut open: BTreeMap<Call, BTreeSet<&str>> = BTreeMap::new();
    let mut shares: BTreeMap<String, Share> = BTreeMap::new();
    for entry in entries {
        match &entry.event {
            Event::Sent { call, .. } => {
                let going_on = faults.iter().filter(|(_, count)| **count > 0);
                open.insert(*call, going_on.map(|(kind, _)| *kind).collect());
            }
            Event::FaultBegun { kind, .. } => {
                *faults.entry(kind).or_default() += 1;
                open.values_mut().for_each(|met| {
                    met.insert(kind);
                });
            }
            Event::FaultEnded { kind, .. } => {
                let going_on = faults.entry(kind).or_default();
                *going_on = going_on.saturating_sub(1);
            }
            Event::Ended { call, ending } => {
                for kind in open.remove(call).unwrap_or_default() {
                    let share = shares.entry(kind.to_string()).or_default();
                    share.calls += 1;
                    share.unknown += usize::from(outcome(ending) == "unknown");
                }
            }
            _ => {}
        }
    }
    shares
}
