//! Who is sent, who waits and who is refused.

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

/// An audit of 600,000 tokens that can't be on time any more: 37 s of reading on one engine.
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

fn place(need: &Need, board: &LoadTable, engines: u32) -> Placement {
    let candidate = |key| Candidate::of(EndpointKey(key));
    let candidates: Vec<Candidate> = (0..engines).map(candidate).collect();
    let options = options::PlacementOptions::default();
    choose_engines(
        need,
        &candidates,
        board,
        &model(),
        &options,
        RandomDraw::default(),
        0.0,
    )
    .expect("a place")
}

fn turn_of(need: &Need, placement: &Placement, best_other: Score) -> DispatchDecision {
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

/// Engines that read for another late prompt; what they read is nearly done.
fn board_with_late_parts(engines: u32) -> LoadTable {
    let mut board = LoadTable::new();
    let part = EndpointLoad {
        parts: 1,
        late_parts: 1,
        ..EndpointLoad::default()
    };
    for key in 0..engines {
        board.add_own(EndpointKey(key), &part);
    }
    board
}

#[test]
fn a_late_prompt_gets_as_few_engines_as_end_in_time() {
    let board = LoadTable::new();
    let early = place(&late_audit(14_900.0), &board, 69);
    let last = place(&late_audit(7_000.0), &board, 69);
    assert!(early.is_late && last.is_late);
    assert!(early.helpers.len() < 6, "{}", early.helpers.len());
    assert!(last.helpers.len() > early.helpers.len());
}

/// The least score of somebody who can be on time.
const ON_TIME: Score = Score(500);

#[rstest]
#[case::while_others_can_be_on_time(ON_TIME, DispatchDecision::Wait)]
#[case::alone(NONE_WAITING, DispatchDecision::Dispatch)]
fn a_late_prompt_lets_those_go_first_that_can_be_on_time(
    #[values((69, 0), (69, 4), (21, 0))] engines: (u32, u32),
    #[case] best_other: Score,
    #[case] expected: DispatchDecision,
) {
    let (engines, late_engines) = engines;
    let board = board_with_late_parts(late_engines);
    let need = Need {
        prompt_tokens: 300_000,
        ..late_audit(14_900.0)
    };
    let placement = place(&need, &board, engines);
    assert_eq!(turn_of(&need, &placement, best_other), expected);
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
    let board = board_with_late_parts(late_engines);
    let need = late_audit(7_000.0);
    let placement = place(&need, &board, engines);
    assert_eq!(turn_of(&need, &placement, ON_TIME), expected);
}

#[rstest]
#[case::alone(69, 0)]
#[case::beside_others(69, 4)]
#[case::in_a_small_fleet(21, 0)]
fn a_late_prompt_that_can_t_end_in_time_is_refused(
    #[case] engines: u32,
    #[case] late_engines: u32,
    #[values(NONE_WAITING, ON_TIME)] best_other: Score,
) {
    let board = board_with_late_parts(late_engines);
    let need = late_audit(4_000.0);
    let placement = place(&need, &board, engines);
    assert_eq!(
        turn_of(&need, &placement, best_other),
        DispatchDecision::Refuse
    );
}

/// Streams whose clients leave after two seconds, on each engine.
fn board_with_streams(engines: u32) -> LoadTable {
    let mut board = LoadTable::new();
    let streams = EndpointLoad {
        streams: vec![StreamGroup::single(250.0, false, 1.0, 33).with_patience(2_000.0); 6],
        ..EndpointLoad::default()
    };
    for key in 0..engines {
        board.add_own(EndpointKey(key), &streams);
        board.set_pass_ms(EndpointKey(key), model().min_pass_ms());
    }
    board
}

#[test]
fn a_late_prompt_doesn_t_go_where_others_lose_more_than_it_is_worth() {
    let need = Need {
        prompt_tokens: 300_000,
        ..late_audit(14_900.0)
    };
    let among_streams = place(&need, &board_with_streams(69), 69);
    assert_eq!(
        turn_of(&need, &among_streams, NONE_WAITING),
        DispatchDecision::Wait
    );
    let beside_them = place(&need, &board_with_streams(60), 69);
    assert!(beside_them.harm_units < 0.1, "{beside_them:?}");
    assert_eq!(
        turn_of(&need, &beside_them, NONE_WAITING),
        DispatchDecision::Dispatch
    );
}

#[test]
fn of_two_that_can_be_on_time_the_one_of_a_length_that_is_seldom_sent_goes_first() {
    let board = LoadTable::new();
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
            &place(need, &board, 69),
            &model(),
            sent_ratio,
            &options,
        )
    };
    assert!(score_of(&long, 1.0) > score_of(&shorter, 1.0));
    assert!(score_of(&long, 0.5) < score_of(&shorter, 1.0));
}

#[test]
fn late_prompts_have_a_line_of_their_own() {
    let board = LoadTable::new();
    let late = late_audit(14_900.0);
    let on_time = Need {
        ttft_left_ms: 4_000.0,
        prompt_tokens: 150_000,
        ..late
    };
    let score_of = |need: &Need| {
        score(
            need,
            &place(need, &board, 69),
            &model(),
            1.0,
            &dispatch::DispatchOptions::default(),
        )
    };
    let firsts = QueueHeads::default()
        .with_score(score_of(&on_time))
        .with_score(score_of(&late));
    assert_eq!(firsts.head_for(score_of(&late)), score_of(&late));
    assert_eq!(firsts.head_for(score_of(&on_time)), score_of(&on_time));
}

/// Thirteen waiting prompts were refused as full within 0.13 s when short ones came, with three quarters of the memory
/// free: the engines that short streams leave bounded those that may hold its memory, too.
#[test]
fn a_prompt_beyond_one_engine_s_memory_isn_t_full_while_short_streams_need_all_engines() {
    let model = EngineModel {
        slots: 12,
        memory_tokens: 267_750,
        ..EngineModel::default()
    };
    let candidate = |key| Candidate::of(EndpointKey(key));
    let candidates: Vec<Candidate> = (0..69).map(candidate).collect();
    let mut board = LoadTable::new();
    let streams = EndpointLoad {
        streams: vec![StreamGroup::single(250.0, false, 0.5, 33); 7],
        memory_tokens: 60_000,
        ..EndpointLoad::default()
    };
    for key in 0..69 {
        board.add_own(EndpointKey(key), &streams);
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
        &board,
        &model,
        &options,
        RandomDraw::default(),
        0.0,
    );
    let is_full = matches!(placed, Err(PlacementError::Full { .. }));
    assert!(!is_full, "{placed:?}");
}

/// The load that this answers: hosts stop one after the other while long prompts wait there for their turn.
#[rstest]
#[case::while_it_would_end_long_before_the_host(7_700.0, false)]
#[case::while_it_would_just_end(6_500.0, false)]
#[case::when_it_would_be_cut(2_000.0, true)]
fn what_waits_at_a_host_that_stops_is_given_back_when_it_would_be_cut(
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
        others: QueueHeads::default().with_score(ON_TIME),
        ahead: 0,
        spare_per_s: 0.0,
        gateways: 1,
    };
    assert_eq!(
        dispatch::should_return_to_client(&waiting, host_left_ms, &options),
        expected
    );
}
