//! Exhaustive exploration of all interleavings of a few events; equal states are visited once.

mod model;

use std::collections::HashSet;

use mgs_ledger::execution::NotStarted;
use mgs_ledger::fault::InjectedFault;
use model::Event;
use model::Model;
use rstest::rstest;

/// One request, with every event that can affect it.
const SINGLE_REQUEST: &[Event] = &[
    Event::Dispatch(1, 1),
    Event::Dispatch(1, 2),
    Event::Withdraw(1),
    Event::Cancel(1),
    Event::NewSession,
    Event::GatewayLost,
    Event::Started(1),
    Event::NotStarted(1, NotStarted::Full),
    Event::NotStarted(1, NotStarted::Unreachable),
    Event::StartConnectionLost(1, true),
    Event::StartConnectionLost(1, false),
    Event::LateStart(1),
    Event::StreamAbandoned(1),
    Event::Finished(1),
    Event::CancelsArrive,
    Event::Reconcile,
    Event::EngineRestart,
    Event::Leave,
    Event::WaitLease,
    Event::WaitDeadline,
];

/// Two requests, of which only one at a time fits into the engine's memory.
const TWO_REQUESTS: &[Event] = &[
    Event::Dispatch(1, 1),
    Event::Dispatch(3, 1),
    Event::Withdraw(3),
    Event::Cancel(1),
    Event::GatewayLost,
    Event::Started(1),
    Event::Started(3),
    Event::StartConnectionLost(1, true),
    Event::Finished(1),
    Event::CancelsArrive,
    Event::Reconcile,
    Event::WaitLease,
];

/// A span reservation, an export under it, and a request that uses it.
const RESERVATION: &[Event] = &[
    Event::Reserve,
    Event::Export,
    Event::ExportEnds(true),
    Event::ExportEnds(false),
    Event::LateExport,
    Event::Release,
    Event::Dispatch(2, 1),
    Event::Import(2),
    Event::Started(2),
    Event::NotStarted(2, NotStarted::Full),
    Event::StartConnectionLost(2, true),
    Event::Finished(2),
    Event::GatewayLost,
    Event::CancelsArrive,
    Event::Reconcile,
    Event::EngineRestart,
    Event::WaitLease,
];

/// Returns the number of states visited, or the first violation with the events that led to it.
fn explore(
    injected_fault: InjectedFault,
    alphabet: &[Event],
    depth: usize,
) -> Result<usize, String> {
    let mut seen = HashSet::new();
    let mut layer = vec![(Model::new(injected_fault), Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (model, path) in &layer {
            for event in alphabet.iter().filter(|event| model.can(**event)) {
                let mut after = model.clone();
                let mut path = path.clone();
                path.push(*event);
                let outcome_reported = |error: String| format!("{error}: {path:?}");
                after.step(*event).map_err(outcome_reported)?;
                if seen.insert(after.clone()) {
                    after.clone().settle().map_err(outcome_reported)?;
                    next.push((after, path));
                }
            }
        }
        layer = next;
    }
    Ok(seen.len())
}

#[rstest]
#[case::alone(SINGLE_REQUEST, 5)]
#[case::beside(TWO_REQUESTS, 6)]
#[case::spanning(RESERVATION, 7)]
fn no_interleaving_breaks_an_invariant(#[case] alphabet: &[Event], #[case] depth: usize) {
    let states = explore(InjectedFault::None, alphabet, depth).unwrap();
    assert!(states > 10_000, "only {states} states");
}

#[rstest]
#[case::dropped_tombstone(InjectedFault::DroppedTombstone, SINGLE_REQUEST, "said not to")]
#[case::forgotten_cancel(InjectedFault::ForgottenCancel, SINGLE_REQUEST, "still holds")]
#[case::forgotten_free(InjectedFault::ForgottenCancel, RESERVATION, "still holds")]
fn an_injected_fault_is_found(
    #[case] injected_fault: InjectedFault,
    #[case] alphabet: &[Event],
    #[case] says: &str,
) {
    let found = explore(injected_fault, alphabet, 5).unwrap_err();
    assert!(found.contains(says), "{found}");
}
