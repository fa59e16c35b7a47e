//! What is assumed of the prefill of long prompts whose first token isn't known yet.

use mgs_fleet::view::EndpointKey;
use mgs_placing::choose::choose_engines;
use mgs_placing::choose::RandomDraw;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::load_table::PeerKey;
use mgs_placing::load_table::PeerReport;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::options::PlacementOptions;
use mgs_placing::placement::Candidate;
use mgs_placing::stream_group::StreamGroup;

/// The backlog of the engines chosen for a long prompt while each engine has a part of 400 ms whose
/// first token isn't known yet, and decodes these streams.
fn backlog_with_unfinished_parts_ms(peers: u64, streams: Vec<StreamGroup>) -> f64 {
    let need = Need {
        prompt_tokens: 154_000,
        output_tokens: 800,
        expected_tokens: 800,
        pause_ms: 1_000.0,
        ttft_target_ms: 3_000.0,
        ttft_left_ms: 3_000.0,
        deadline_left_ms: 15_000.0,
        patience_ms: 12_000.0,
    };
    let part = EndpointLoad {
        parts: 1,
        shared_read_ms: 400,
        streams,
        ..EndpointLoad::default()
    };
    let mut load_table = LoadTable::new();
    (0..20).for_each(|key| load_table.add_own(EndpointKey(key), &part));
    for peer in 0..peers {
        load_table.replace_peer(PeerKey(peer), 0.0, PeerReport::default());
    }
    let engines: Vec<Candidate> = (0..20).map(|key| Candidate::of(EndpointKey(key))).collect();
    let (model, options) = (EngineModel::default(), PlacementOptions::default());
    let random = RandomDraw::default();
    choose_engines(&need, &engines, &load_table, &model, &options, random, 0.0)
        .expect("a placement")
        .backlog_ms
}

/// Guards against engines without prefill while long prompts wait: with many gateways, the next
/// prompt waited until the first token of the one before was known everywhere.
#[test]
fn many_gateways_dispatch_the_next_prompt_before_a_first_token_is_known() {
    let backlog_ms = backlog_with_unfinished_parts_ms(47, Vec::new());
    assert!(backlog_ms <= 60.0, "{backlog_ms}");
}

/// Guards against a change for few gateways, whose reports arrive before the next choice.
#[test]
fn few_gateways_wait_for_a_quarter_of_unfinished_parts() {
    assert_eq!(backlog_with_unfinished_parts_ms(10, Vec::new()), 100.0);
}

/// Guards against prompts that are dispatched to engines far behind the prediction: under overload,
/// when all engines decode short streams, goodput fell from 0.64 to 0.37.
#[test]
fn engines_with_short_streams_count_a_quarter_of_unfinished_parts() {
    let stream = StreamGroup::single(250.0, false, 1.0, 20);
    assert_eq!(backlog_with_unfinished_parts_ms(47, vec![stream]), 100.0);
}
