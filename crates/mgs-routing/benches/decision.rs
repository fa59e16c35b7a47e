//! Benchmark of one routing decision: admits a request, chooses its endpoint and records its end.
//!
//! `cargo bench -p mgs-routing --bench decision`

#![allow(missing_docs)]

use std::cell::RefCell;
use std::sync::Arc;

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BenchmarkId;
use criterion::Criterion;
use mgs_admission::fair::FairQueue;
use mgs_admission::queue::Admission;
use mgs_admission::queue::AdmissionRequest;
use mgs_admission::queue::Capacity;
use mgs_fleet::fleet::Fleet;
use mgs_fleet::fleet::Options;
use mgs_fleet::view::View;
use mgs_routing::marigold::Marigold;
use mgs_routing::policy::Choice;
use mgs_routing::policy::Policy;
use mgs_routing::policy::RoutingRequest;
use mgs_schema::key::RequestId;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::LoadReport;
use mgs_schema::wire::Outcome;

/// Organisations that send requests.
const ORGANISATIONS: usize = 4_400;
const ZONES: usize = 19;
const MODEL: &str = "m0";
const PREFIX_BLOCKS: u64 = 32;

/// Time of all load reports, in milliseconds.
const REPORTED_MS: u64 = 1_000_000;

/// Age of the reports when an endpoint is chosen, in milliseconds.
const REPORT_AGE_MS: u64 = 100;

/// Time passed for dispatches, in milliseconds. It lies before the load reports, so that these
/// include the dispatched work: the benchmark dispatches far more per second than the modelled
/// fleet could process.
const DISPATCHED_MS: u64 = REPORTED_MS - 1_000;

/// Adapter by which the admission queue asks the policy for an endpoint.
struct FleetRoom<'a> {
    policy: &'a Marigold,
    view: &'a View,
    prefix_hashes: &'a [u64],
    now_ms: u64,
    random: u64,
    last_choice: RefCell<Option<Choice>>,
}

impl FleetRoom<'_> {
    fn request(&self, offer: &AdmissionRequest) -> RoutingRequest<'_> {
        RoutingRequest {
            kind: EndpointKind::Engine,
            model: MODEL,
            prompt_tokens: offer.prompt_tokens,
            max_tokens: offer.max_tokens,
            priority: 1,
            prefix_hashes: self.prefix_hashes,
            zone: "zone-0",
            excluded: &[],
            budget_ms: 10_000,
            now_ms: self.now_ms,
        }
    }
}

impl Capacity for FleetRoom<'_> {
    fn first_token_ms(&self, offer: &AdmissionRequest) -> Option<u64> {
        let choice = self
            .policy
            .choose(self.view, &self.request(offer), self.random);
        let choice = choice.ok()?;
        let first_token_ms = choice.first_token_ms;
        self.last_choice.replace(Some(choice));
        Some(first_token_ms)
    }

    fn reserve(&mut self, offer: &AdmissionRequest) {
        if let Some(choice) = self.last_choice.borrow().as_ref() {
            let request = RoutingRequest {
                now_ms: DISPATCHED_MS,
                ..self.request(offer)
            };
            self.policy.dispatched(choice.endpoint, &request);
        }
    }
}

fn settings(endpoints: usize, models: usize) -> Snapshot {
    let endpoint = |i: usize| EndpointRow {
        name: format!("engine-{i}"),
        kind: EndpointKind::Engine.into(),
        sidecar_address: "127.0.0.1:7000".into(),
        zone: format!("zone-{}", i % ZONES),
        models: vec![format!("m{}", i % models)],
        started: true,
        ..EndpointRow::default()
    };
    let limit = |i: usize| LimitRow {
        organisation: format!("organisation-{i}"),
        kind: "*".into(),
        weight: 1,
        priority: 1,
        requests_per_s: 1e9,
        tokens_per_s: 1e12,
        concurrent_requests: 1_000_000,
        ..LimitRow::default()
    };
    Snapshot {
        version: 1,
        limits: (0..ORGANISATIONS).map(limit).collect(),
        endpoints: (0..endpoints).map(endpoint).collect(),
        ..Snapshot::default()
    }
}

fn live_view(settings: &Snapshot) -> Arc<View> {
    let mut fleet = Fleet::new(Options {
        process: "gateway".into(),
        zone: "zone-0".into(),
        ..Options::default()
    });
    fleet.apply_settings(settings);
    let keys: Vec<_> = fleet
        .view()
        .endpoints
        .iter()
        .flatten()
        .map(|e| e.key)
        .collect();
    for key in keys {
        fleet.apply_welcome(key, 1, "");
        let report = LoadReport {
            incarnation: 1,
            report: 1,
            state: EndpointState::Live.into(),
            prefill_waiting_tokens: u64::from(key.0) * 37 % 4_000,
            short_prefill_waiting_tokens: u64::from(key.0) * 37 % 4_000,
            kv_capacity_tokens: 400_000,
            prefill_tokens_per_s: 20_000.0,
            decode_step_ms: 12.0,
            cached_hashes: (0..u64::from(key.0 % 20)).collect(),
            ..LoadReport::default()
        };
        fleet.apply_report(REPORTED_MS, key, &report);
    }
    fleet.view()
}

fn admit_and_route(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit_and_route");
    // Number of endpoints, and of models distributed over them.
    for (endpoints, models) in [(20, 1), (5_300, 6), (5_300, 1)] {
        let settings = settings(endpoints, models);
        let view = live_view(&settings);
        let policy = Marigold::default();
        let mut admission = FairQueue::default();
        admission.apply_settings(0, &settings);
        let prefix_hashes: Vec<u64> = (0..PREFIX_BLOCKS).collect();
        let offers: Vec<AdmissionRequest> = (0..ORGANISATIONS)
            .map(|i| AdmissionRequest {
                id: RequestId {
                    origin: 1,
                    serial: 0,
                },
                organisation: format!("organisation-{i}"),
                kind: "chat".into(),
                model: MODEL.into(),
                prompt_tokens: PREFIX_BLOCKS * 256,
                max_tokens: 256,
                arrived_ms: 0,
                deadline_ms: u64::MAX / 2,
            })
            .collect();
        let mut serial = 0u64;
        let id = BenchmarkId::new(format!("models-{models}"), endpoints);
        group.bench_function(id, |b| {
            b.iter(|| {
                serial += 1;
                let now_ms = serial;
                let mut offer = offers[serial as usize % ORGANISATIONS].clone();
                offer.id.serial = serial;
                admission.submit(now_ms, &offer);
                let mut room = FleetRoom {
                    policy: &policy,
                    view: &view,
                    prefix_hashes: &prefix_hashes,
                    now_ms: REPORTED_MS + REPORT_AGE_MS,
                    random: serial.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                    last_choice: RefCell::new(None),
                };
                let actions = admission.schedule(now_ms, &mut room);
                assert_eq!(actions.len(), 1);
                let endpoint = room.last_choice.borrow().as_ref().map(|c| c.endpoint);
                let endpoint = endpoint.expect("it was chosen");
                let request = room.request(&offer);
                policy.finished(endpoint, &request, Outcome::Answered);
                admission.finished(now_ms, offer.id, 100);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, admit_and_route);
criterion_main!(benches);
