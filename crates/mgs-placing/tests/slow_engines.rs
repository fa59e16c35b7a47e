//! Engines whose first tokens came later than predicted.

use mgs_fleet::view::EndpointKey;
use mgs_placing::choose::choose_engines;
use mgs_placing::choose::RandomDraw;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::options;
use mgs_placing::placement::Candidate;
use mgs_placing::placement::Placement;
use mgs_placing::placement::PlacementError;
use mgs_placing::stream_group::StreamGroup;

/// A short prompt with little time left.
const URGENT: Need = Need {
    prompt_tokens: 900,
    output_tokens: 200,
    expected_tokens: 200,
    pause_ms: 250.0,
    ttft_target_ms: 150.0,
    ttft_left_ms: 150.0,
    deadline_left_ms: 799.0,
    patience_ms: f64::INFINITY,
};

/// Places a prompt on one engine for each slowness.
fn place(slowness: &[f64], load_table: &LoadTable) -> Result<Placement, PlacementError> {
    let candidate = |(key, slowness): (usize, &f64)| Candidate {
        slowness: *slowness,
        ..Candidate::of(EndpointKey(key as u32))
    };
    let candidates: Vec<Candidate> = slowness.iter().enumerate().map(candidate).collect();
    let options = options::PlacementOptions::default();
    let model = EngineModel::default();
    choose_engines(
        &URGENT,
        &candidates,
        load_table,
        &model,
        &options,
        RandomDraw::default(),
        0.0,
    )
}

/// The load of engines that each decode streams, so that a prompt waits for a pass.
fn engines_with_streams(engines: u32) -> LoadTable {
    let mut load_table = LoadTable::new();
    let streams = EndpointLoad {
        streams: vec![StreamGroup::single(250.0, false, 1.0, 33); 6],
        ..EndpointLoad::default()
    };
    for key in 0..engines {
        load_table.add_own(EndpointKey(key), &streams);
    }
    load_table
}

/// Guards against a gateway that refuses for ever: after a pause of its own, it measured slowness
/// at all engines, refused each urgent prompt as too late and so never measured again.
#[test]
fn slowness_alone_causes_no_refusal() {
    let placement = place(&[20.0, 25.0, 30.0], &engines_with_streams(3)).expect("a placement");
    assert_eq!(
        placement.lead,
        EndpointKey(0),
        "the engine with the least slowness"
    );
}

/// The same fault once one engine had been measured again: all prompts went there, until its
/// backlog made them too late.
#[test]
fn slowness_of_others_does_not_force_prompts_onto_a_backlogged_engine() {
    let mut load_table = engines_with_streams(3);
    load_table.add_prefill(EndpointKey(1), 0.0, 900.0);
    let placement = place(&[20.0, 1.0, 30.0], &load_table).expect("a placement");
    assert_eq!(placement.lead, EndpointKey(0));
}

#[test]
fn an_engine_that_seems_slow_is_avoided_if_another_is_on_time() {
    let placement = place(&[20.0, 1.0, 30.0], &engines_with_streams(3)).expect("a placement");
    assert_eq!(placement.lead, EndpointKey(1));
}

#[test]
fn a_backlog_that_takes_too_long_causes_a_refusal() {
    let mut load_table = engines_with_streams(2);
    for key in 0..2 {
        load_table.add_prefill(EndpointKey(key), 0.0, 5_000.0);
    }
    let refused = place(&[1.0, 1.0], &load_table);
    assert!(
        matches!(refused, Err(PlacementError::TooLate { .. })),
        "{refused:?}"
    );
}
