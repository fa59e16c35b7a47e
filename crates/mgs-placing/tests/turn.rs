//! Who is sent, who waits and who is refused.

use mgs_fleet::view::EndpointKey;
use mgs_placing::board::Board;
use mgs_placing::board::Held;
use mgs_placing::choose::choose;
use mgs_placing::line::Firsts;
use mgs_placing::line::Score;
use mgs_placing::line::NOBODY;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::options;
use mgs_placing::turn;
use mgs_placing::turn::score;
use mgs_placing::turn::Turn;
use mgs_placing::way::Candidate;
use mgs_placing::way::Placement;
use rstest::rstest;

/// An audit of 600,000 tokens that can't be on time any more: 37 s of reading on one engine.
fn late_audit(left_ms: f64) -> Need {
    Need {
        prompt_tokens: 600_000,
        output_tokens: 800,
        expected_tokens: 800,
        pause_ms: 1_000.0,
        full_aim_ms: 3_000.0,
        aim_ms: 100.0,
        left_ms,
    }
}

fn model() -> EngineModel {
    EngineModel {
        memory_tokens: 900_000,
        ..EngineModel::default()
    }
}

fn place(need: &Need, board: &Board, engines: u32) -> Placement {
    let candidate = |key| Candidate {
        key: EndpointKey(key),
        slowness: 1.0,
        trial: false,
    };
    let candidates: Vec<Candidate> = (0..engines).map(candidate).collect();
    let options = options::Options::default();
    choose(need, &candidates, board, &model(), &options, 0.0).expect("a place")
}

fn turn_of(need: &Need, placement: &Placement, best_other: Score) -> Turn {
    let waiting = turn::Waiting {
        need,
        placement,
        model: &model(),
        own: score(need, placement, &model()),
        best_other,
        ahead: 0,
        spare_per_s: 0.0,
        gateways: 1,
    };
    turn::turn(&waiting, &turn::Options::default())
}

/// Engines that read for another late prompt; what they read is nearly done.
fn board_with_late_parts(engines: u32) -> Board {
    let mut board = Board::new();
    let part = Held {
        parts: 1,
        late_parts: 1,
        ..Held::default()
    };
    for key in 0..engines {
        board.hold(EndpointKey(key), &part);
    }
    board
}

#[test]
fn a_late_prompt_gets_as_few_engines_as_end_in_time() {
    let board = Board::new();
    let early = place(&late_audit(14_900.0), &board, 69);
    let last = place(&late_audit(7_000.0), &board, 69);
    assert!(early.is_late && last.is_late);
    assert!(early.helpers.len() < 6, "{}", early.helpers.len());
    assert!(last.helpers.len() > early.helpers.len());
}

#[rstest]
#[case::idle_fleet(69, 0)]
#[case::beside_another_late_one(69, 4)]
#[case::small_fleet(21, 0)]
fn a_late_prompt_that_can_wait_waits(#[case] engines: u32, #[case] late_engines: u32) {
    let board = board_with_late_parts(late_engines);
    let need = Need {
        prompt_tokens: 300_000,
        ..late_audit(14_900.0)
    };
    let placement = place(&need, &board, engines);
    assert_eq!(turn_of(&need, &placement, NOBODY), Turn::Wait);
}

#[rstest]
#[case::alone(69, 0, Turn::Go)]
#[case::beside_others(69, 4, Turn::Refuse)]
#[case::alone_in_a_small_fleet(21, 0, Turn::Go)]
#[case::not_alone_there(21, 4, Turn::Refuse)]
fn a_late_prompt_at_its_last_chance(
    #[case] engines: u32,
    #[case] late_engines: u32,
    #[case] expected: Turn,
) {
    let board = board_with_late_parts(late_engines);
    let need = late_audit(7_000.0);
    let placement = place(&need, &board, engines);
    assert_eq!(turn_of(&need, &placement, Score(0)), expected);
}

#[test]
fn late_prompts_have_a_line_of_their_own() {
    let board = Board::new();
    let late = late_audit(14_900.0);
    let on_time = Need {
        aim_ms: 4_000.0,
        prompt_tokens: 150_000,
        ..late
    };
    let score_of = |need: &Need| score(need, &place(need, &board, 69), &model());
    let firsts = Firsts::default()
        .with(score_of(&on_time))
        .with(score_of(&late));
    assert_eq!(firsts.in_line_of(score_of(&late)), score_of(&late));
    assert_eq!(firsts.in_line_of(score_of(&on_time)), score_of(&on_time));
}
