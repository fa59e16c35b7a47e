//! Every interleaving of a few events, with equal states visited once.

mod model;

use std::collections::HashSet;

use mgs_ledger::finish::NotStarted;
use mgs_ledger::plant::Plant;
use model::Event;
use model::World;
use rstest::rstest;

/// One request, with each thing that can happen to it.
const ALONE: &[Event] = &[
    Event::Dispatch(1, 1),
    Event::Dispatch(1, 2),
    Event::Withdraw(1),
    Event::Cancel(1),
    Event::NewSession,
    Event::GatewayLost,
    Event::Started(1),
    Event::NotStarted(1, NotStarted::Full),
    Event::NotStarted(1, NotStarted::Unreachable),
    Event::StartBroke(1, true),
    Event::StartBroke(1, false),
    Event::LateStart(1),
    Event::PathGivenUp(1),
    Event::Finished(1),
    Event::CancelsArrive,
    Event::Listed,
    Event::EngineRestart,
    Event::Leave,
    Event::WaitLease,
    Event::WaitDeadline,
];

/// Two requests, of which only one fits into the engine at a time.
const BESIDE: &[Event] = &[
    Event::Dispatch(1, 1),
    Event::Dispatch(3, 1),
    Event::Withdraw(3),
    Event::Cancel(1),
    Event::GatewayLost,
    Event::Started(1),
    Event::Started(3),
    Event::StartBroke(1, true),
    Event::Finished(1),
    Event::CancelsArrive,
    Event::Listed,
    Event::WaitLease,
];

/// A reservation, its export, and a request that uses it.
const SPANNING: &[Event] = &[
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
    Event::StartBroke(2, true),
    Event::Finished(2),
    Event::GatewayLost,
    Event::CancelsArrive,
    Event::Listed,
    Event::EngineRestart,
    Event::WaitLease,
];

/// States seen, or the events that led to the first violation.
fn explore(plant: Plant, alphabet: &[Event], depth: usize) -> Result<usize, String> {
    let mut seen = HashSet::new();
    let mut layer = vec![(World::new(plant), Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in &layer {
            for event in alphabet.iter().filter(|event| world.can(**event)) {
                let mut after = world.clone();
                let mut path = path.clone();
                path.push(*event);
                let told = |error: String| format!("{error}: {path:?}");
                after.step(*event).map_err(told)?;
                if seen.insert(after.clone()) {
                    after.clone().settle().map_err(told)?;
                    next.push((after, path));
                }
            }
        }
        layer = next;
    }
    Ok(seen.len())
}

#[rstest]
#[case::alone(ALONE, 5)]
#[case::beside(BESIDE, 6)]
#[case::spanning(SPANNING, 7)]
fn no_interleaving_breaks_an_invariant(#[case] alphabet: &[Event], #[case] depth: usize) {
    let states = explore(Plant::None, alphabet, depth).unwrap();
    assert!(states > 10_000, "only {states} states");
}

#[rstest]
#[case::dropped_tombstone(Plant::DroppedTombstone, ALONE, "said not to")]
#[case::forgotten_cancel(Plant::ForgottenCancel, ALONE, "still holds")]
#[case::forgotten_free(Plant::ForgottenCancel, SPANNING, "still holds")]
fn a_planted_fault_is_found(#[case] plant: Plant, #[case] alphabet: &[Event], #[case] says: &str) {
    let found = explore(plant, alphabet, 5).unwrap_err();
    assert!(found.contains(says), "{found}");
}
