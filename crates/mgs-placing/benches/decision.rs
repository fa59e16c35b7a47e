//! Cost of placing one prompt beside a busy fleet, in zones as the users' deployments have them.
//!
//! `cargo bench -p mgs-placing --bench decision`

#![allow(missing_docs)]

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BenchmarkId;
use criterion::Criterion;
use mgs_fleet::view::EndpointKey;
use mgs_placing::board::Board;
use mgs_placing::board::Held;
use mgs_placing::model::EngineModel;
use mgs_placing::near::place;
use mgs_placing::near::Field;
use mgs_placing::need::Need;
use mgs_placing::options::Options;
use mgs_placing::share::Reads;
use mgs_placing::streams::Streams;
use mgs_placing::way::Candidate;

/// Engines, and how many of them are in the gateway's own availability zone.
const FLEETS: [(u32, usize); 4] = [(23, 8), (78, 26), (172, 35), (500, 100)];

/// Of five engines three write short streams.
const WRITING: [u32; 5] = [6, 0, 4, 0, 7];

/// Prompts that peers placed within the second before.
const PLACED_ELSEWHERE: u32 = 200;

fn need(prompt_tokens: u64, aim_ms: f64) -> Need {
    Need {
        prompt_tokens,
        output_tokens: 1_600,
        expected_tokens: 800,
        pause_ms: 300.0,
        full_aim_ms: aim_ms,
        aim_ms,
        left_ms: 10_000.0,
        patience_ms: 8_000.0,
    }
}

fn board(engines: u32) -> Board {
    let mut board = Board::new();
    for key in 0..engines {
        let count = WRITING[key as usize % WRITING.len()];
        let stream = Streams::one(300.0, false, 1.0, 24);
        let held = Held {
            streams: vec![stream; count as usize],
            memory_tokens: count * 6_000,
            ..Held::default()
        };
        board.hold(EndpointKey(key), &held);
        board.know_pass(EndpointKey(key), 68.0);
    }
    for number in 0..PLACED_ELSEWHERE {
        let key = EndpointKey(number % engines);
        board.read_elsewhere(key, f64::from(number) * 5.0, 30.0, Reads::Whole);
    }
    board
}

fn decision(criterion: &mut Criterion) {
    let (model, options) = (EngineModel::default(), Options::default());
    let prompts = [
        ("short", need(5_000, 400.0)),
        ("long", need(220_000, 4_000.0)),
    ];
    for (name, need) in prompts {
        let mut group = criterion.benchmark_group(name);
        for (engines, near) in FLEETS {
            let board = board(engines);
            let candidate = |key| Candidate::of(EndpointKey(key));
            let all: Vec<Candidate> = (0..engines).map(candidate).collect();
            let field = Field {
                near: &all[..near],
                all: &all,
            };
            group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
                bencher.iter(|| place(&need, &field, &board, &model, &options, 0.5, 1_000.0));
            });
        }
        group.finish();
    }
}

criterion_group!(benches, decision);
criterion_main!(benches);
