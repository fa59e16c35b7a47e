//! Cost of placing one prompt on a loaded fleet with typical availability zones.
//!
//! `cargo bench -p mgs-placing --bench decision`

#![allow(missing_docs)]

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BenchmarkId;
use criterion::Criterion;
use mgs_fleet::view::EndpointKey;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::options::PlacementOptions;
use mgs_placing::peer_message::PrefillPart;
use mgs_placing::placement::Candidate;
use mgs_placing::stream_group::StreamGroup;
use mgs_placing::zone::place_prompt;
use mgs_placing::zone::ZoneCandidates;

/// Number of engines in the fleet, and of those in the gateway's own availability zone.
const FLEETS: [(u32, usize); 5] = [(23, 8), (69, 23), (78, 26), (172, 35), (500, 100)];

/// Short streams on each engine, repeated over the fleet: three of five engines decode some.
const STREAMS: [u32; 5] = [6, 0, 4, 0, 7];

/// Prompts that peers placed within the preceding second.
const PEER_PLACEMENTS: u32 = 200;

fn need(prompt_tokens: u64, aim_ms: f64) -> Need {
    Need {
        prompt_tokens,
        output_tokens: 1_600,
        expected_tokens: 800,
        pause_ms: 300.0,
        ttft_target_ms: aim_ms,
        ttft_left_ms: aim_ms,
        deadline_left_ms: 10_000.0,
        patience_ms: 8_000.0,
    }
}

fn load_table(engines: u32) -> LoadTable {
    let mut load_table = LoadTable::new();
    for key in 0..engines {
        let count = STREAMS[key as usize % STREAMS.len()];
        let stream = StreamGroup::single(300.0, false, 1.0, 24);
        let load = EndpointLoad {
            streams: vec![stream; count as usize],
            memory_tokens: count * 6_000,
            ..EndpointLoad::default()
        };
        load_table.add_own(EndpointKey(key), &load);
        load_table.set_pass_ms(EndpointKey(key), 68.0);
    }
    for number in 0..PEER_PLACEMENTS {
        let key = EndpointKey(number % engines);
        load_table.add_peer_prefill(key, f64::from(number) * 5.0, 30.0, PrefillPart::Whole);
    }
    load_table
}

fn decision(criterion: &mut Criterion) {
    let (model, options) = (EngineModel::default(), PlacementOptions::default());
    let prompts = [
        ("short", need(5_000, 400.0)),
        ("long", need(220_000, 4_000.0)),
    ];
    for (name, need) in prompts {
        let mut group = criterion.benchmark_group(name);
        for (engines, near) in FLEETS {
            let load_table = load_table(engines);
            let candidate = |key| Candidate::of(EndpointKey(key));
            let all: Vec<Candidate> = (0..engines).map(candidate).collect();
            let zones = ZoneCandidates {
                own_zone: &all[..near],
                all: &all,
            };
            group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
                bencher.iter(|| {
                    place_prompt(&need, &zones, &load_table, &model, &options, 0.5, 1_000.0)
                });
            });
        }
        group.finish();
    }
}

criterion_group!(benches, decision);
criterion_main!(benches);
