//! Engines that seem slow.

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

/// A short prompt with little time.
const HURRIED: Need = Need {
    prompt_tokens: 900,
    output_tokens: 200,
    expected_tokens: 200,
    pause_ms: 250.0,
    ttft_target_ms: 150.0,
    ttft_left_ms: 150.0,
    deadline_left_ms: 799.0,
    patience_ms: f64::INFINITY,
};

fn place(slowness: &[f64], board: &LoadTable) -> Result<Placement, PlacementError> {
    let candidate = |(key, slowness): (usize, &f64)| Candidate {
        slowness: *slowness,
        ..Candidate::of(EndpointKey(key as u32))
    };
    let candidates: Vec<Candidate> = slowness.iter().enumerate().map(candidate).collect();
    let options = options::PlacementOptions::default();
    let model = EngineModel::default();
    choose_engines(
        &HURRIED,
        &candidates,
        board,
        &model,
        &options,
        RandomDraw::default(),
        0.0,
    )
}

/// Streams at each engine, so that a prompt waits for a pass.
fn busy(engines: u32) -> LoadTable {
    let mut board = LoadTable::new();
    let streams = EndpointLoad {
        streams: vec![StreamGroup::single(250.0, false, 1.0, 33); 6],
        ..EndpointLoad::default()
    };
    for key in 0..engines {
        board.add_own(EndpointKey(key), &streams);
    }
    board
}

/// Suspected behind red seeds of the soak, and true: a gateway that has measured its own pause at all engines
/// refused each hurried prompt as too late, and so never measured again.
#[test]
fn slowness_alone_refuses_nobody() {
    let placement = place(&[20.0, 25.0, 30.0], &busy(3)).expect("a place");
    assert_eq!(
        placement.lead,
        EndpointKey(0),
        "the one that seems least slow"
    );
}

/// The same once one engine had been measured anew: all went there, until it had a backlog too.
#[test]
fn slowness_of_the_others_leaves_nobody_to_one_engine_alone() {
    let mut board = busy(3);
    board.add_prefill(EndpointKey(1), 0.0, 900.0);
    let placement = place(&[20.0, 1.0, 30.0], &board).expect("a place");
    assert_eq!(placement.lead, EndpointKey(0));
}

#[test]
fn an_engine_that_seems_slow_is_passed_over_where_another_will_do() {
    let placement = place(&[20.0, 1.0, 30.0], &busy(3)).expect("a place");
    assert_eq!(placement.lead, EndpointKey(1));
}

#[test]
fn a_backlog_that_takes_too_long_refuses() {
    let mut board = busy(2);
    for key in 0..2 {
        board.add_prefill(EndpointKey(key), 0.0, 5_000.0);
    }
    let refused = place(&[1.0, 1.0], &board);
    assert!(
        matches!(refused, Err(PlacementError::TooLate { .. })),
        "{refused:?}"
    );
}
