//! Engines that have just started and tolerate few requests.

use mgs_fleet::view::EndpointKey;
use mgs_placing::choose::choose_engines;
use mgs_placing::choose::RandomDraw;
use mgs_placing::load_table::LoadTable;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::options::PlacementOptions;
use mgs_placing::placement::Candidate;
use rstest::rstest;

const SHORT: Need = Need {
    prompt_tokens: 5_000,
    output_tokens: 1_488,
    expected_tokens: 1_488,
    pause_ms: 250.0,
    ttft_target_ms: 250.0,
    ttft_left_ms: 250.0,
    deadline_left_ms: 15_000.0,
    patience_ms: f64::INFINITY,
};

/// Guards against limits of cold engines that are used up for no gain, and against cold engines that
/// idle while prompts wait at warm ones.
#[rstest]
#[case::as_good(0.0, 1)]
#[case::a_little_busier(30.0, 1)]
#[case::much_busier(400.0, 0)]
fn a_warm_engine_leads_if_it_is_about_as_good(#[case] prefill_ms: f64, #[case] lead: u32) {
    let mut load_table = LoadTable::new();
    load_table.add_prefill(EndpointKey(1), 0.0, prefill_ms);
    let cold = Candidate {
        is_cold: true,
        ..Candidate::of(EndpointKey(0))
    };
    let candidates = [cold, Candidate::of(EndpointKey(1))];
    let placement = choose_engines(
        &SHORT,
        &candidates,
        &load_table,
        &EngineModel::default(),
        &PlacementOptions::default(),
        RandomDraw::default(),
        0.0,
    );
    assert_eq!(placement.expect("there is room").lead, EndpointKey(lead));
}
