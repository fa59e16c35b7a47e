//! Engines of the own availability zone first, as long as that costs nothing.

use mgs_fleet::view::EndpointKey;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::options::PlacementOptions;
use mgs_placing::placement::Candidate;
use mgs_placing::stream_group::StreamGroup;
use mgs_placing::zone::place_prompt;
use mgs_placing::zone::Scope;
use mgs_placing::zone::ScopedPlacement;
use mgs_placing::zone::ZoneCandidates;
use rstest::rstest;

const ENGINES: u32 = 120;

const QUESTION: Need = Need {
    prompt_tokens: 4_960,
    output_tokens: 1_680,
    expected_tokens: 1_680,
    pause_ms: 250.0,
    ttft_target_ms: 300.0,
    ttft_left_ms: 300.0,
    deadline_left_ms: 10_000.0,
    patience_ms: f64::INFINITY,
};

const AUDIT: Need = Need {
    prompt_tokens: 220_000,
    pause_ms: 1_000.0,
    ttft_target_ms: 4_000.0,
    ttft_left_ms: 4_000.0,
    deadline_left_ms: 15_000.0,
    ..QUESTION
};

fn place_with(need: &Need, near: usize, board: &LoadTable) -> ScopedPlacement {
    let candidate = |key| Candidate::of(EndpointKey(key));
    let all: Vec<Candidate> = (0..ENGINES).map(candidate).collect();
    let field = ZoneCandidates {
        own_zone: &all[..near],
        all: &all,
    };
    let (model, options) = (EngineModel::default(), PlacementOptions::default());
    place_prompt(need, &field, board, &model, &options, 0.5, 0.0).expect("a place")
}

/// Engines of a zone of forty that read for so long, in milliseconds.
fn reading(read_ms: f64) -> LoadTable {
    let mut board = LoadTable::new();
    for key in 0..40 {
        board.add_prefill(EndpointKey(key), 0.0, read_ms);
    }
    board
}

#[rstest]
#[case(&QUESTION)]
#[case(&AUDIT)]
fn a_prompt_with_time_to_spare_stays_in_its_zone(#[case] need: &Need) {
    let placed = place_with(need, 40, &LoadTable::new());
    assert_eq!(placed.scope, Scope::Zone);
    let mut readers = placed.placement.helpers;
    readers.push(placed.placement.lead);
    assert!(readers.iter().all(|key| key.0 < 40), "{readers:?}");
}

#[rstest]
#[case(&QUESTION, 900.0)]
#[case(&AUDIT, 9_000.0)]
fn a_prompt_that_would_be_late_in_its_zone_goes_elsewhere(
    #[case] need: &Need,
    #[case] read_ms: f64,
) {
    let placed = place_with(need, 40, &reading(read_ms));
    assert_eq!(placed.scope, Scope::Fleet);
    assert!(placed.placement.lead.0 >= 40);
    assert!(placed.placement.first_token_ms < need.ttft_left_ms);
}

/// A wide prompt takes most of a small zone, and whoever comes next finds nothing there.
#[test]
fn a_small_zone_isnt_looked_at_first() {
    let placed = place_with(&AUDIT, 20, &LoadTable::new());
    assert_eq!(placed.scope, Scope::Fleet);
}

#[test]
fn a_zone_without_places_leaves_its_prompts_to_the_others() {
    let mut board = LoadTable::new();
    let full = EndpointLoad {
        streams: vec![StreamGroup::single(250.0, false, 1.0, 33); 40],
        ..EndpointLoad::default()
    };
    for key in 0..40 {
        board.add_own(EndpointKey(key), &full);
    }
    let placed = place_with(&QUESTION, 40, &board);
    assert_eq!(placed.scope, Scope::Fleet);
    assert!(placed.placement.lead.0 >= 40);
}
