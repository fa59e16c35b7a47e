//! Preference for engines in the gateway's own availability zone, as long as that costs nothing.

use mgs_fleet::view::EndpointKey;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::load_table::PeerKey;
use mgs_placing::load_table::PeerReport;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::options::PlacementOptions;
use mgs_placing::placement::Candidate;
use mgs_placing::stream_group::StreamGroup;
use mgs_placing::zone::place_prompt;
use mgs_placing::zone::Scope;
use mgs_placing::zone::ScopedPlacement;
use mgs_placing::zone::ZoneCandidates;
use rstest::rstest;

/// Number of engines in all zones.
const ENGINES: u32 = 120;

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

/// An audit, which several engines must prefill to meet its first-token target.
const AUDIT: Need = Need {
    prompt_tokens: 220_000,
    pause_ms: 1_000.0,
    ttft_target_ms: 4_000.0,
    ttft_left_ms: 4_000.0,
    deadline_left_ms: 15_000.0,
    ..QUESTION
};

/// Places a prompt with the first `zone_engines` engines as the own zone.
fn place_with(need: &Need, zone_engines: usize, load_table: &LoadTable) -> ScopedPlacement {
    let candidate = |key| Candidate::of(EndpointKey(key));
    let all: Vec<Candidate> = (0..ENGINES).map(candidate).collect();
    let zones = ZoneCandidates {
        own_zone: &all[..zone_engines],
        all: &all,
    };
    let (model, options) = (EngineModel::default(), PlacementOptions::default());
    place_prompt(need, &zones, load_table, &model, &options, 0.5, 0.0).expect("a placement")
}

/// The load of a zone of forty engines with this much prefill on each.
fn zone_with_prefill(prefill_ms: f64) -> LoadTable {
    let mut load_table = LoadTable::new();
    for key in 0..40 {
        load_table.add_prefill(EndpointKey(key), 0.0, prefill_ms);
    }
    load_table
}

#[rstest]
#[case(&QUESTION)]
#[case(&AUDIT)]
fn a_prompt_with_time_to_spare_stays_in_its_zone(#[case] need: &Need) {
    let placed = place_with(need, 40, &LoadTable::new());
    assert_eq!(placed.scope, Scope::Zone);
    let mut prefill_engines = placed.placement.helpers;
    prefill_engines.push(placed.placement.lead);
    assert!(
        prefill_engines.iter().all(|key| key.0 < 40),
        "{prefill_engines:?}"
    );
}

#[rstest]
#[case(&QUESTION, 900.0)]
#[case(&AUDIT, 9_000.0)]
fn a_prompt_that_would_be_late_in_its_zone_goes_elsewhere(
    #[case] need: &Need,
    #[case] prefill_ms: f64,
) {
    let placed = place_with(need, 40, &zone_with_prefill(prefill_ms));
    assert_eq!(placed.scope, Scope::Fleet);
    assert!(placed.placement.lead.0 >= 40);
    assert!(placed.placement.first_token_ms < need.ttft_left_ms);
}

/// A prompt over many engines takes most of a small zone, and the next one finds no engines there.
#[test]
fn a_small_zone_is_not_preferred() {
    let placed = place_with(&AUDIT, 20, &LoadTable::new());
    assert_eq!(placed.scope, Scope::Fleet);
}

/// A load table with reports of this many peers.
fn with_peers(peers: u64) -> LoadTable {
    let mut load_table = LoadTable::new();
    for peer in 0..peers {
        load_table.replace_peer(PeerKey(peer), 0.0, PeerReport::default());
    }
    load_table
}

/// Guards against short prompts of fifty gateways that all compete for the same engines of the
/// whole fleet: reports of peers take longer than choices follow each other, so several prompts
/// meet on one engine. Thirty gateways before the same engines are served better by all of them.
#[rstest]
#[case::many_gateways(20, 47, Scope::Zone)]
#[case::fewer_gateways(20, 29, Scope::Fleet)]
#[case::a_small_zone(7, 47, Scope::Fleet)]
fn many_gateways_prefer_zones_of_twenty_engines_for_questions(
    #[case] zone_engines: usize,
    #[case] peers: u64,
    #[case] scope: Scope,
) {
    let placed = place_with(&QUESTION, zone_engines, &with_peers(peers));
    assert_eq!(placed.scope, scope);
}

#[test]
fn a_zone_without_free_slots_leaves_its_prompts_to_other_zones() {
    let mut load_table = LoadTable::new();
    let full = EndpointLoad {
        streams: vec![StreamGroup::single(250.0, false, 1.0, 33); 40],
        ..EndpointLoad::default()
    };
    for key in 0..40 {
        load_table.add_own(EndpointKey(key), &full);
    }
    let placed = place_with(&QUESTION, 40, &load_table);
    assert_eq!(placed.scope, Scope::Fleet);
    assert!(placed.placement.lead.0 >= 40);
}
