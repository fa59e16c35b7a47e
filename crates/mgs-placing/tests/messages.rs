//! What peers hold, told in whole and in short messages of which some are lost: the next whole one makes it right.

use mgs_fleet::view::EndpointKey;
use mgs_placing::board::Board;
use mgs_placing::board::Held;
use mgs_placing::board::PeerKey;
use mgs_placing::board::Said;
use mgs_placing::line::Firsts;
use mgs_placing::share::Reads;
use mgs_placing::streams::Streams;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::Strategy;
use proptest::proptest;

const PEER: PeerKey = PeerKey(7);

const ENGINES: u32 = 5;

fn held(passes: u64) -> Held {
    Held {
        streams: vec![Streams::one(250.0, passes.is_multiple_of(2), 0.7, passes)],
        memory_tokens: 1_000 + passes as u32,
        ..Held::default()
    }
}

/// What a peer does next.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// It places an answer of so many passes and tells, or the message is lost.
    Places {
        engine: u32,
        passes: u64,
        is_lost: bool,
    },
    /// The oldest answer ends; nobody is told at once.
    Ends,
    /// It tells all that it holds, or the message is lost.
    TellsAll { is_lost: bool },
    /// It starts anew with nothing, under another incarnation.
    Restarts,
}

fn step() -> impl Strategy<Value = Step> {
    (0..4_u32, 0..ENGINES, 1..40_u64, any::<bool>()).prop_map(|(kind, engine, passes, is_lost)| {
        match kind {
            0 => Step::Ends,
            1 => Step::TellsAll { is_lost },
            2 if passes == 1 => Step::Restarts,
            _ => Step::Places {
                engine,
                passes,
                is_lost,
            },
        }
    })
}

fn own(holds: &[(u32, u64)]) -> Vec<(EndpointKey, Held)> {
    let mut board = Board::new();
    for (engine, passes) in holds {
        board.hold(EndpointKey(*engine), &held(*passes));
    }
    board.own()
}

proptest! {
    #[test]
    fn a_whole_message_makes_good_what_was_lost(steps in vec(step(), 1..60)) {
        let mut board = Board::new();
        let mut peer = PEER;
        let mut holds: Vec<(u32, u64)> = Vec::new();
        let mut now_ms = 0.0;
        for step in steps {
            now_ms += 10.0;
            match step {
                Step::Places { engine, passes, is_lost } => {
                    holds.push((engine, passes));
                    if !is_lost {
                        let more = vec![(EndpointKey(engine), held(passes))];
                        board.hear_more(peer, now_ms, Firsts::default(), more);
                    }
                }
                Step::Ends if holds.is_empty() => {}
                Step::Ends => {
                    holds.remove(0);
                }
                Step::TellsAll { is_lost: true } => {}
                Step::TellsAll { is_lost: false } => {
                    let said = Said { held: own(&holds), ..Said::default() };
                    board.hear(peer, now_ms, said);
                }
                Step::Restarts => {
                    holds.clear();
                    peer = PeerKey(peer.0 + 1);
                }
            }
        }
        // The earlier lives fall silent, and the last one tells all.
        now_ms += 2_000.0;
        let said = Said { held: own(&holds), ..Said::default() };
        board.hear(peer, now_ms, said);
        board.expire(now_ms);
        let mut right = Board::new();
        for (engine, passes) in &holds {
            right.hold(EndpointKey(*engine), &held(*passes));
        }
        for engine in 0..ENGINES {
            let key = EndpointKey(engine);
            let (mut told, mut held) = (board.held(key).clone(), right.held(key).clone());
            told.streams.sort_by_key(|streams| (streams.pause_ms, streams.is_long));
            held.streams.sort_by_key(|streams| (streams.pause_ms, streams.is_long));
            assert_eq!(told, held);
        }
    }
}

/// A prompt that an engine refuses isn't read there. Peers that had heard of it took the engine for busy: after nine
/// refusals of a long prompt, another gateway refused the next one as too late.
#[test]
fn what_a_peer_gave_up_to_read_is_not_waited_for() {
    let (engine, now_ms) = (EndpointKey(1), 1_000.0);
    let mut board = Board::new();
    for _ in 0..9 {
        board.read_elsewhere(engine, now_ms, 600.0, Reads::Part);
        board.read_elsewhere(engine, now_ms, 600.0, Reads::GivenUp);
    }
    assert_eq!(board.backlog_ms(engine, now_ms, 0.25), 0.0);
}
