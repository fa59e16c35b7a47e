//! What peers hold, told in whole and in short messages of which some are lost: the next whole one makes it right.

use mgs_fleet::view::EndpointKey;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::load_table::PeerKey;
use mgs_placing::load_table::PeerReport;
use mgs_placing::peer_message::PrefillPart;
use mgs_placing::queue_order::QueueHeads;
use mgs_placing::stream_group::StreamGroup;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::Strategy;
use proptest::proptest;

const PEER: PeerKey = PeerKey(7);

const ENGINES: u32 = 5;

fn held(passes: u64) -> EndpointLoad {
    EndpointLoad {
        streams: vec![StreamGroup::single(
            250.0,
            passes.is_multiple_of(2),
            0.7,
            passes,
        )],
        memory_tokens: 1_000 + passes as u32,
        ..EndpointLoad::default()
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

fn own(holds: &[(u32, u64)]) -> Vec<(EndpointKey, EndpointLoad)> {
    let mut board = LoadTable::new();
    for (engine, passes) in holds {
        board.add_own(EndpointKey(*engine), &held(*passes));
    }
    board.own_loads()
}

proptest! {
    #[test]
    fn a_whole_message_makes_good_what_was_lost(steps in vec(step(), 1..60)) {
        let mut board = LoadTable::new();
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
                        board.extend_peer(peer, now_ms, QueueHeads::default(), more);
                    }
                }
                Step::Ends if holds.is_empty() => {}
                Step::Ends => {
                    holds.remove(0);
                }
                Step::TellsAll { is_lost: true } => {}
                Step::TellsAll { is_lost: false } => {
                    let said = PeerReport { loads: own(&holds), ..PeerReport::default() };
                    board.replace_peer(peer, now_ms, said);
                }
                Step::Restarts => {
                    holds.clear();
                    peer = PeerKey(peer.0 + 1);
                }
            }
        }
        // The earlier lives fall silent, and the last one tells all.
        now_ms += 2_000.0;
        let said = PeerReport { loads: own(&holds), ..PeerReport::default() };
        board.replace_peer(peer, now_ms, said);
        board.expire_peers(now_ms);
        let mut right = LoadTable::new();
        for (engine, passes) in &holds {
            right.add_own(EndpointKey(*engine), &held(*passes));
        }
        for engine in 0..ENGINES {
            let key = EndpointKey(engine);
            let (mut told, mut held) = (board.load(key).clone(), right.load(key).clone());
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
    let mut board = LoadTable::new();
    for _ in 0..9 {
        board.add_peer_prefill(engine, now_ms, 600.0, PrefillPart::Part);
        board.add_peer_prefill(engine, now_ms, 600.0, PrefillPart::GivenUp);
    }
    assert_eq!(board.backlog_ms(engine, now_ms, 0.25), 0.0);
}
