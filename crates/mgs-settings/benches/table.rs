//! What an edit and look-ups cost at the sizes of the table.
//!
//! `cargo bench -p mgs-settings --bench table`

#![allow(missing_docs)]

use std::hint::black_box;

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BenchmarkId;
use criterion::Criterion;
use mgs_schema::settings::Edit;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;
use mgs_schema::settings::Snapshot;
use mgs_settings::row::RowValue;
use mgs_settings::table::key_digest;
use mgs_settings::table::Table;

/// Organisations; each has two rows of limits, and there are a few more endpoints.
const SIZES: [usize; 3] = [44, 440, 4_400];

fn limit(organisation: usize, kind: &str, weight: u32) -> LimitRow {
    LimitRow {
        organisation: format!("org-{organisation}"),
        kind: kind.to_string(),
        weight,
        allotted_ms: 30_000,
        ..LimitRow::default()
    }
}

fn table(organisations: usize) -> Table {
    let limits = (0..organisations).flat_map(|o| [limit(o, "chat", 1), limit(o, "batch", 1)]);
    let organisation = |o: usize| OrganisationRow {
        name: format!("org-{o}"),
        key_digests: vec![key_digest(&format!("key-{o}"))],
        ..OrganisationRow::default()
    };
    let endpoint = |e: usize| EndpointRow {
        name: format!("engine-{e}"),
        kind: EndpointKind::Engine.into(),
        sidecar_address: format!("10.0.0.1:{e}"),
        zone: "a".to_string(),
        models: vec!["m".to_string()],
        started: true,
        ..EndpointRow::default()
    };
    Table::new(Snapshot {
        version: 1,
        limits: limits.collect(),
        organisations: (0..organisations).map(organisation).collect(),
        endpoints: (0..organisations * 6 / 5).map(endpoint).collect(),
    })
}

fn edits(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("adopt_one_edit");
    for organisations in SIZES {
        let table = table(organisations);
        let edit = Edit {
            version: 2,
            changes: vec![RowValue::Limit(limit(organisations / 2, "chat", 7)).set()],
            ..Edit::default()
        };
        let edits = [edit];
        let id = BenchmarkId::from_parameter(organisations);
        group.bench_function(id, |bencher| {
            bencher.iter(|| table.after(black_box(&edits)))
        });
    }
    group.finish();
}

fn look_ups(criterion: &mut Criterion) {
    let table = table(SIZES[2]);
    criterion.bench_function("limit", |bencher| {
        bencher.iter(|| {
            table
                .limit(black_box("org-2000"), black_box("chat"))
                .is_some()
        });
    });
    criterion.bench_function("organisation_of", |bencher| {
        bencher.iter(|| table.organisation_of(black_box("key-2000")).is_some());
    });
}

criterion_group!(benches, edits, look_ups);
criterion_main!(benches);
