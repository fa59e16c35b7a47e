//! Short streams are grouped on few engines, unless that makes them late.

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
use mgs_placing::stream_group::StreamGroup;

/// A question as on the deployments' specification sheets.
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

fn place(need: &Need, load_table: &LoadTable) -> Placement {
    place_at(need, load_table, &EngineModel::default(), 0.0)
}

fn place_at(need: &Need, load_table: &LoadTable, model: &EngineModel, now_ms: f64) -> Placement {
    let candidate = |key| Candidate::of(EndpointKey(key));
    let candidates: Vec<Candidate> = (0..4).map(candidate).collect();
    let options = options::PlacementOptions::default();
    choose_engines(
        need,
        &candidates,
        load_table,
        model,
        &options,
        RandomDraw::default(),
        now_ms,
    )
    .expect("a placement")
}

/// The load of four engines, of which one has short streams and this much prefill left.
fn one_engine_with_streams(backlog_ms: f64) -> LoadTable {
    let mut load_table = LoadTable::new();
    let streams = EndpointLoad {
        streams: vec![StreamGroup::single(250.0, false, 1.0, 33); 8],
        ..EndpointLoad::default()
    };
    load_table.add_own(EndpointKey(2), &streams);
    load_table.add_prefill(EndpointKey(2), 0.0, backlog_ms);
    load_table
}

#[test]
fn a_question_joins_the_engine_with_short_streams() {
    assert_eq!(
        place(&QUESTION, &one_engine_with_streams(0.0)).lead,
        EndpointKey(2)
    );
}

/// Guards against a fixed cost of the first short stream on an engine: it exceeded the worth of
/// prompts worth a tenth of a question, which were refused as too late while three of four engines
/// were idle.
#[test]
fn a_tiny_prompt_uses_an_idle_engine_instead_of_being_too_late() {
    let tiny = Need {
        prompt_tokens: 900,
        output_tokens: 200,
        expected_tokens: 200,
        deadline_left_ms: 799.0,
        ttft_target_ms: 150.0,
        ttft_left_ms: 150.0,
        ..QUESTION
    };
    let placement = place(&tiny, &one_engine_with_streams(900.0));
    assert_ne!(placement.lead, EndpointKey(2));
    assert!(
        placement.first_token_ms < tiny.ttft_left_ms,
        "{placement:?}"
    );
}

/// Guards against pause limits that are grouped in classes: limits of 130 and 590 ms fell into the
/// same class, that of the least limit of the first deployments. On a deployment with limits of
/// 180, 400 and 700 ms, decisions by the limits as they are sent gained 0.038 of the worth.
#[test]
fn parts_are_prefilled_where_streams_tolerate_the_pause() {
    let load_with_pause = |pause_ms| EndpointLoad {
        streams: vec![StreamGroup::single(pause_ms, false, 1.0, 33); 2],
        ..EndpointLoad::default()
    };
    let mut load_table = LoadTable::new();
    for key in 0..4 {
        let pause_ms = match key {
            1 | 2 => 590.0,
            _ => 130.0,
        };
        load_table.add_own(EndpointKey(key), &load_with_pause(pause_ms));
        load_table.set_pass_ms(EndpointKey(key), 43.0);
    }
    let review = Need {
        prompt_tokens: 45_000,
        pause_ms: 600.0,
        ttft_target_ms: 1_500.0,
        ttft_left_ms: 1_500.0,
        ..QUESTION
    };
    let placement = place(&review, &load_table);
    let mut engines = placement.helpers.clone();
    engines.push(placement.lead);
    for strict in [EndpointKey(0), EndpointKey(3)] {
        assert!(!engines.contains(&strict), "{placement:?}");
    }
}

/// Guards against long answers on engines with much prefill: an answer of a hundred events, which
/// takes 9 s at 85 ms each, missed its deadline of 10 s on an engine that spent a third of its time
/// on prefill. At a low load, 54 of 697 short prompts ended that way.
#[test]
fn a_long_answer_goes_to_an_engine_with_short_passes() {
    let mut load_table = one_engine_with_streams(0.0);
    let mut now_ms = 0.0;
    while now_ms < 3_000.0 {
        load_table.add_prefill(EndpointKey(2), now_ms, 35.0);
        now_ms += 100.0;
    }
    let model = EngineModel {
        stride_steps: 85,
        ..EngineModel::default()
    };
    let place = |need: &Need| place_at(need, &load_table, &model, now_ms);
    let long_answer = Need {
        output_tokens: 9_000,
        expected_tokens: 9_000,
        ttft_target_ms: 1_000.0,
        ttft_left_ms: 1_000.0,
        ..QUESTION
    };
    assert_ne!(place(&long_answer).lead, EndpointKey(2));
    let usual_answer = Need {
        ttft_target_ms: 1_000.0,
        ttft_left_ms: 1_000.0,
        ..QUESTION
    };
    assert_eq!(place(&usual_answer).lead, EndpointKey(2));
}
