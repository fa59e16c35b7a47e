//! Short streams gather on few engines, as far as that serves them.

use mgs_fleet::view::EndpointKey;
use mgs_placing::board::Board;
use mgs_placing::board::Held;
use mgs_placing::choose;
use mgs_placing::choose::choose;
use mgs_placing::choose::Candidate;
use mgs_placing::choose::Placement;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;

/// A short question as on the sheets.
const QUESTION: Need = Need {
    prompt_tokens: 4_960,
    output_tokens: 1_680,
    pause_ms: 250.0,
    aim_ms: 300.0,
    left_ms: 10_000.0,
};

fn place(need: &Need, board: &Board) -> Placement {
    let candidate = |key| Candidate {
        key: EndpointKey(key),
        slowness: 1.0,
        trial: false,
    };
    let candidates: Vec<Candidate> = (0..4).map(candidate).collect();
    let options = choose::Options::default();
    let model = EngineModel::default();
    choose(need, &candidates, board, &model, &options, 0.0).expect("a place")
}

/// One engine with short streams and this much reading left.
fn gathered(backlog_ms: f64) -> Board {
    let mut board = Board::new();
    let streams = Held {
        writers: [8, 0, 0],
        ..Held::default()
    };
    board.hold(EndpointKey(2), &streams);
    board.read(EndpointKey(2), 0.0, backlog_ms);
    board
}

#[test]
fn a_question_goes_where_others_are() {
    assert_eq!(place(&QUESTION, &gathered(0.0)).first, EndpointKey(2));
}

/// Found by the soak (seeds 5 and 38): prompts of a tenth of a question's worth, for which an engine of their
/// own cost more than they are worth, were refused as too late while three of four engines were idle.
#[test]
fn a_tiny_prompt_opens_an_engine_rather_than_come_too_late() {
    let tiny = Need {
        prompt_tokens: 900,
        output_tokens: 200,
        left_ms: 799.0,
        aim_ms: 150.0,
        ..QUESTION
    };
    let placement = place(&tiny, &gathered(900.0));
    assert_ne!(placement.first, EndpointKey(2));
    assert!(placement.first_token_ms < tiny.aim_ms, "{placement:?}");
}
