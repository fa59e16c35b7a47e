//! Load reported by peers in full and short reports, some of which are lost: the next full report
//! corrects the load table.

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

/// Key of the first incarnation of the peer.
const FIRST_PEER: PeerKey = PeerKey(7);

const ENGINES: u32 = 5;

/// The load of one answer of this many passes.
fn load_of(passes: u64) -> EndpointLoad {
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

/// The next action of a peer.
#[derive(Debug, Clone, Copy)]
enum PeerAction {
    /// It places an answer of this many passes and sends a short report, which may be lost.
    PlacesAnswer {
        engine: u32,
        passes: u64,
        is_lost: bool,
    },
    /// The oldest answer ends; this is not reported at once.
    AnswerEnds,
    /// It sends a full report, which may be lost.
    SendsFullReport { is_lost: bool },
    /// It restarts without any load, with a new incarnation.
    Restarts,
}

fn peer_action() -> impl Strategy<Value = PeerAction> {
    (0..4_u32, 0..ENGINES, 1..40_u64, any::<bool>()).prop_map(|(kind, engine, passes, is_lost)| {
        match kind {
            0 => PeerAction::AnswerEnds,
            1 => PeerAction::SendsFullReport { is_lost },
            2 if passes == 1 => PeerAction::Restarts,
            _ => PeerAction::PlacesAnswer {
                engine,
                passes,
                is_lost,
            },
        }
    })
}

/// The load of these answers, each given by its engine and passes, as a peer reports it.
fn own_loads(answers: &[(u32, u64)]) -> Vec<(EndpointKey, EndpointLoad)> {
    let mut load_table = LoadTable::new();
    for (engine, passes) in answers {
        load_table.add_own(EndpointKey(*engine), &load_of(*passes));
    }
    load_table.own_loads()
}

proptest! {
    #[test]
    fn a_full_report_corrects_the_load_after_lost_reports(actions in vec(peer_action(), 1..60)) {
        let mut load_table = LoadTable::new();
        let mut peer = FIRST_PEER;
        let mut answers: Vec<(u32, u64)> = Vec::new();
        let mut now_ms = 0.0;
        for action in actions {
            now_ms += 10.0;
            match action {
                PeerAction::PlacesAnswer { engine, passes, is_lost } => {
                    answers.push((engine, passes));
                    if !is_lost {
                        let new_loads = vec![(EndpointKey(engine), load_of(passes))];
                        load_table.extend_peer(peer, now_ms, QueueHeads::default(), new_loads);
                    }
                }
                PeerAction::AnswerEnds if answers.is_empty() => {}
                PeerAction::AnswerEnds => {
                    answers.remove(0);
                }
                PeerAction::SendsFullReport { is_lost: true } => {}
                PeerAction::SendsFullReport { is_lost: false } => {
                    let report = PeerReport { loads: own_loads(&answers), ..PeerReport::default() };
                    load_table.replace_peer(peer, now_ms, report);
                }
                PeerAction::Restarts => {
                    answers.clear();
                    peer = PeerKey(peer.0 + 1);
                }
            }
        }
        // Earlier incarnations fall silent, and the last one sends a full report.
        now_ms += 2_000.0;
        let report = PeerReport { loads: own_loads(&answers), ..PeerReport::default() };
        load_table.replace_peer(peer, now_ms, report);
        load_table.expire_peers(now_ms);
        let mut expected_table = LoadTable::new();
        for (engine, passes) in &answers {
            expected_table.add_own(EndpointKey(*engine), &load_of(*passes));
        }
        for engine in 0..ENGINES {
            let key = EndpointKey(engine);
            let (mut actual, mut expected) =
                (load_table.load(key).clone(), expected_table.load(key).clone());
            actual.streams.sort_by_key(|streams| (streams.pause_ms, streams.is_long));
            expected.streams.sort_by_key(|streams| (streams.pause_ms, streams.is_long));
            assert_eq!(actual, expected);
        }
    }
}

/// Guards against a backlog from refused prompts, which an engine doesn't prefill: peers that knew
/// of the placements took the engine for busy, and after nine refusals of a long prompt another
/// gateway refused the next one as too late.
#[test]
fn prefill_that_a_peer_gave_up_causes_no_backlog() {
    let (engine, now_ms) = (EndpointKey(1), 1_000.0);
    let mut load_table = LoadTable::new();
    for _ in 0..9 {
        load_table.add_peer_prefill(engine, now_ms, 600.0, PrefillPart::Part);
        load_table.add_peer_prefill(engine, now_ms, 600.0, PrefillPart::GivenUp);
    }
    assert_eq!(load_table.backlog_ms(engine, now_ms, 0.25), 0.0);
}
