//! Which waiting prompts are dispatched, keep waiting or are refused.

use mgs_fleet::view::EndpointKey;
use mgs_placing::choose::choose_engines;
use mgs_placing::choose::RandomDraw;
use mgs_placing::dispatch;
use mgs_placing::dispatch::score;
use mgs_placing::dispatch::DispatchDecision;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::options;
use mgs_placing::placement::Candidate;
use mgs_placing::placement::Placement;
use mgs_placing::placement::PlacementError;
use mgs_placing::queue_order::QueueHeads;
use mgs_placing::queue_order::Score;
use mgs_placing::queue_order::NONE_WAITING;
use mgs_placing::stream_group::StreamGroup;
use rstest::rstest;

/// An audit of 600,000 tokens that can't be on time any more: its prefill takes 37 s on one engine.
fn late_audit(left_ms: f64) -> Need {
    Need {
        prompt_tokens: 600_000,
        output_tokens: 800,
        expected_tokens: 800,
        pause_ms: 1_000.0,
        ttft_target_ms: 3_000.0,
        ttft_left_ms: 100.0,
        deadline_left_ms: left_ms,
        patience_ms: f64::INFINITY,
    }
}

fn model() -> EngineModel {
    EngineModel {
        memory_tokens: 900_000,
        ..EngineModel::default()
    }
}

fn place(need: &Need, load_table: &LoadTable, engines: u32) -> Placement {
    let candidate = |key| Candidate::of(EndpointKey(key));
    let candidates: Vec<Candidate> = (0..engines).map(candidate).collect();
    let options = options::PlacementOptions::default();
    choose_engines(
        need,
        &candidates,
        load_table,
        &model(),
        &options,
        RandomDraw::default(),
        0.0,
    )
    .expect("a placement")
}

/// The decision on a prompt of the only gateway, with the best score of another waiting prompt.
fn decision_for(need: &Need, placement: &Placement, best_other: Score) -> DispatchDecision {
    let waiting = dispatch::WaitingPrompt {
        need,
        placement,
        model: &model(),
        score: score(
            need,
            placement,
            &model(),
            1.0,
            &dispatch::DispatchOptions::default(),
        ),
        others: QueueHeads::default().with_score(best_other),
        ahead: 0,
        spare_per_s: 0.0,
        gateways: 1,
    };
    dispatch::decide(&waiting, &dispatch::DispatchOptions::default())
}

/// The load of engines that prefill parts of another late prompt and have nearly finished them.
fn load_with_late_parts(engines: u32) -> LoadTable {
    let mut load_table = LoadTable::new();
    let part = EndpointLoad {
        parts: 1,
        late_parts: 1,
        ..EndpointLoad::default()
    };
    for key in 0..engines {
        load_table.add_own(EndpointKey(key), &part);
    }
    load_table
}

#[test]
fn a_late_prompt_gets_as_few_engines_as_end_in_time() {
    let load_table = LoadTable::new();
    let early = place(&late_audit(14_900.0), &load_table, 69);
    let last = place(&late_audit(7_000.0), &load_table, 69);
    assert!(early.is_late && last.is_late);
    assert!(early.helpers.len() < 6, "{}", early.helpers.len());
    assert!(last.helpers.len() > early.helpers.len());
}

/// Score of another waiting prompt that can be on time.
const ON_TIME_SCORE: Score = Score(500);

#[rstest]
#[case::while_others_can_be_on_time(ON_TIME_SCORE, DispatchDecision::Wait)]
#[case::alone(NONE_WAITING, DispatchDecision::Dispatch)]
fn a_late_prompt_lets_prompts_go_first_that_can_be_on_time(
    #[values((69, 0), (69, 4), (21, 0))] engines: (u32, u32),
    #[case] best_other: Score,
    #[case] expected: DispatchDecision,
) {
    let (engines, late_engines) = engines;
    let load_table = load_with_late_parts(late_engines);
    let need = Need {
        prompt_tokens: 300_000,
        ..late_audit(14_900.0)
    };
    let placement = place(&need, &load_table, engines);
    assert_eq!(decision_for(&need, &placement, best_other), expected);
}

#[rstest]
#[case::alone(69, 0, DispatchDecision::Dispatch)]
#[case::beside_others(69, 4, DispatchDecision::Wait)]
#[case::alone_in_a_small_fleet(21, 0, DispatchDecision::Dispatch)]
#[case::not_alone_there(21, 4, DispatchDecision::Wait)]
fn a_late_prompt_at_its_last_chance(
    #[case] engines: u32,
    #[case] late_engines: u32,
    #[case] expected: DispatchDecision,
) {
    let load_table = load_with_late_parts(late_engines);
    let need = late_audit(7_000.0);
    let placement = place(&need, &load_table, engines);
    assert_eq!(decision_for(&need, &placement, ON_TIME_SCORE), expected);
}

#[rstest]
#[case::alone(69, 0)]
#[case::beside_others(69, 4)]
#[case::in_a_small_fleet(21, 0)]
fn a_late_prompt_that_cannot_end_in_time_is_refused(
    #[case] engines: u32,
    #[case] late_engines: u32,
    #[values(NONE_WAITING, ON_TIME_SCORE)] best_other: Score,
) {
    let load_table = load_with_late_parts(late_engines);
    let need = late_audit(4_000.0);
    let placement = place(&need, &load_table, engines);
    assert_eq!(
        decision_for(&need, &placement, best_other),
        DispatchDecision::Refuse
    );
}

/// The load of engines that decode streams whose clients disconnect after two seconds of silence.
fn load_with_streams(engines: u32) -> LoadTable {
    let mut load_table = LoadTable::new();
    let streams = EndpointLoad {
        streams: vec![StreamGroup::single(250.0, false, 1.0, 33).with_patience(2_000.0); 6],
        ..EndpointLoad::default()
    };
    for key in 0..engines {
        load_table.add_own(EndpointKey(key), &streams);
        load_table.set_pass_ms(EndpointKey(key), model().min_pass_ms());
    }
    load_table
}

#[test]
fn a_late_prompt_is_not_sent_where_it_harms_others_more_than_it_is_worth() {
    let need = Need {
        prompt_tokens: 300_000,
        ..late_audit(14_900.0)
    };
    let among_streams = place(&need, &load_with_streams(69), 69);
    assert_eq!(
        decision_for(&need, &among_streams, NONE_WAITING),
        DispatchDecision::Wait
    );
    let away_from_streams = place(&need, &load_with_streams(60), 69);
    assert!(away_from_streams.harm_units < 0.1, "{away_from_streams:?}");
    assert_eq!(
        decision_for(&need, &away_from_streams, NONE_WAITING),
        DispatchDecision::Dispatch
    );
}

#[test]
fn of_two_prompts_that_can_be_on_time_a_seldom_dispatched_length_goes_first() {
    let load_table = LoadTable::new();
    let long = Need {
        prompt_tokens: 400_000,
        ttft_left_ms: 4_000.0,
        ttft_target_ms: 4_000.0,
        ..late_audit(14_900.0)
    };
    let shorter = Need {
        prompt_tokens: 150_000,
        ..long
    };
    let options = dispatch::DispatchOptions::default();
    let score_of = |need: &Need, sent_ratio: f64| {
        score(
            need,
            &place(need, &load_table, 69),
            &model(),
            sent_ratio,
            &options,
        )
    };
    assert!(score_of(&long, 1.0) > score_of(&shorter, 1.0));
    assert!(score_of(&long, 0.5) < score_of(&shorter, 1.0));
}

#[test]
fn late_prompts_have_a_queue_of_their_own() {
    let load_table = LoadTable::new();
    let late = late_audit(14_900.0);
    let on_time = Need {
        ttft_left_ms: 4_000.0,
        prompt_tokens: 150_000,
        ..late
    };
    let score_of = |need: &Need| {
        score(
            need,
            &place(need, &load_table, 69),
            &model(),
            1.0,
            &dispatch::DispatchOptions::default(),
        )
    };
    let heads = QueueHeads::default()
        .with_score(score_of(&on_time))
        .with_score(score_of(&late));
    assert_eq!(heads.head_for(score_of(&late)), score_of(&late));
    assert_eq!(heads.head_for(score_of(&on_time)), score_of(&on_time));
}

/// Guards against one limit for two resources: the number of engines that short streams don't need
/// also limited the engines on which memory may be reserved, and when short prompts arrived,
/// thirteen waiting prompts were refused as full within 0.13 s with three quarters of the memory
/// free.
#[test]
fn a_prompt_beyond_one_engines_memory_is_not_refused_as_full_while_short_streams_need_all_engines()
{
    let model = EngineModel {
        slots: 12,
        memory_tokens: 267_750,
        ..EngineModel::default()
    };
    let candidate = |key| Candidate::of(EndpointKey(key));
    let candidates: Vec<Candidate> = (0..69).map(candidate).collect();
    let mut load_table = LoadTable::new();
    let streams = EndpointLoad {
        streams: vec![StreamGroup::single(250.0, false, 0.5, 33); 7],
        memory_tokens: 60_000,
        ..EndpointLoad::default()
    };
    for key in 0..69 {
        load_table.add_own(EndpointKey(key), &streams);
    }
    let need = Need {
        prompt_tokens: 500_000,
        ttft_left_ms: -2_000.0,
        ..late_audit(14_900.0)
    };
    let options = options::PlacementOptions::default();
    let placed = choose_engines(
        &need,
        &candidates,
        &load_table,
        &model,
        &options,
        RandomDraw::default(),
        0.0,
    );
    let is_full = matches!(placed, Err(PlacementError::Full { .. }));
    assert!(!is_full, "{placed:?}");
}

/// Guards against cut answers and needless retries when hosts stop one after the other while long
/// prompts wait there to be dispatched.
#[rstest]
#[case::while_it_would_end_long_before_the_host(7_700.0, false)]
#[case::while_it_would_just_end(6_500.0, false)]
#[case::when_it_would_be_cut(2_000.0, true)]
fn a_prompt_at_a_stopping_host_is_returned_when_its_answer_would_be_cut_off(
    #[case] host_left_ms: f64,
    #[case] expected: bool,
) {
    let need = Need {
        ttft_left_ms: 3_000.0,
        ..late_audit(14_900.0)
    };
    let placement = place(&need, &LoadTable::new(), 69);
    let options = dispatch::DispatchOptions::default();
    let waiting = dispatch::WaitingPrompt {
        need: &need,
        placement: &placement,
        model: &model(),
        score: score(&need, &placement, &model(), 1.0, &options),
        others: QueueHeads::default().with_score(ON_TIME_SCORE),
        ahead: 0,
        spare_per_s: 0.0,
        gateways: 1,
    };
    assert_eq!(
        dispatch::should_return_to_client(&waiting, host_left_ms, &options),
        expected
    );
}
