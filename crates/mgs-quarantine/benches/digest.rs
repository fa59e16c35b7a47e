//! Cost of a fingerprint: a digest of the whole body, computed once for each request.

use std::hint::black_box;

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use mgs_quarantine::fingerprint::RequestIdentity;

/// Bodies of a short prompt, a long prompt and a prompt of a million tokens, in bytes.
const BODIES_BYTES: [usize; 3] = [2_000, 100_000, 4_000_000];

fn digest(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("digest");
    for body_bytes in BODIES_BYTES {
        let body = vec![7; body_bytes];
        group.throughput(Throughput::Bytes(body_bytes as u64));
        let id = BenchmarkId::from_parameter(body_bytes);
        group.bench_with_input(id, &body, |bencher, body| {
            let request = RequestIdentity {
                service: "model",
                host: "shop.example",
                method: "POST",
                target: "/talk/1",
                caller: "nursery",
                body,
            };
            bencher.iter(|| black_box(request).fingerprint());
        });
    }
    group.finish();
}

criterion_group!(benches, digest);
criterion_main!(benches);
