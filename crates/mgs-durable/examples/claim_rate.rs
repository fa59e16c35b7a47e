//! Measures keyed requests against the platform's stand-in over HTTP: claim, mark and end.
//!
//! `cargo run --release -p mgs-durable --example claim_rate -- GATEWAYS CALLERS SECONDS WINDOW_MS
//! WRITES_PER_S` prints one JSON line. Each gateway has so many callers, which send one keyed
//! request after another; 0 writes per second is no limit.

#![allow(clippy::print_stdout)]

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_durable::claim::Asked;
use mgs_durable::claim::Claimed;
use mgs_durable::durable::Durable;
use mgs_durable::durable::Options;
use mgs_durable::entry::Ending;
use mgs_durable::entry::Target;
use mgs_durable::executor::Answer;
use mgs_durable::executor::Executor;
use mgs_durable::executor::Permit;
use mgs_durable::executor::Permits;
use mgs_durable::executor::Work;
use mgs_durable::grouper;
use mgs_durable::pursuit::Proof;
use mgs_platform::http;
use mgs_standin::platform;
use mgs_standin::platform::faults::Settings;
use mgs_standin::platform::Platform;

/// Nothing is run here; only the store is measured.
#[derive(Debug)]
struct Nobody;

impl Executor for Nobody {
    fn run(&self, _work: &Work, _budget_ms: u64, _permits: &dyn Permits) -> Answer {
        Answer::without_body(Ending::Refused, "busy")
    }

    fn resume(&self, _work: &Work, _target: &Target, _budget_ms: u64) -> Answer {
        Answer::without_body(Ending::Failed, "path")
    }

    fn withdraw(&self, _target: &Target, _tombstone_ms: u64) -> Proof {
        Proof::CannotTell
    }

    fn cancel(&self, _target: &Target) {}
}

fn argument(place: usize, default: u64) -> u64 {
    let text = std::env::args().nth(place);
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// One keyed request; its time on the caller's path in microseconds, or nothing if refused.
fn one(durable: &Durable, key: String) -> Option<u64> {
    let asked = Asked {
        organisation: "o".to_string(),
        kind: "order".to_string(),
        key,
        digest: String::new(),
        idempotent: false,
        budget_ms: 10_000,
    };
    let began = Instant::now();
    let Claimed::Run(tenure) = durable.claim(&asked) else {
        return None;
    };
    let target = Target {
        endpoint: "e".to_string(),
        sidecar_incarnation: 1,
        request_origin: 1,
        request_serial: 1,
    };
    if tenure.before_dispatch(&target) != Permit::Go {
        return None;
    }
    let took = began.elapsed().as_micros() as u64;
    let mut answer = Answer::without_body(Ending::Answered, "");
    answer.body = vec![b'x'; 200];
    tenure.finish(answer);
    Some(took)
}

fn main() {
    let (gateways, callers) = (argument(1, 3), argument(2, 16));
    let (seconds, window_ms, writes_per_s) = (argument(3, 5), argument(4, 5), argument(5, 0));
    let platform = Platform::start(platform::Options::default()).expect("a free port");
    let start = |gateway: u64| {
        let client: Arc<http::Client> = Arc::new(http::Client::new(http::Options {
            base_url: platform.url(),
            ..http::Options::default()
        }));
        let options = Options {
            gateway,
            grouper: grouper::Options {
                window_ms,
                ..grouper::Options::default()
            },
            // The window is the measurement's own, whatever the count of gateways.
            txns_per_s: u64::MAX,
            ..Options::default()
        };
        let table: Arc<http::Client> = Arc::clone(&client);
        Durable::start(options, table, client, Arc::new(Nobody))
    };
    let durables: Vec<Durable> = (1..=gateways).map(start).collect();
    while !durables.iter().all(Durable::ready) {
        thread::sleep(Duration::from_millis(10));
    }
    platform.faults().set(Settings {
        writes_per_s: writes_per_s as f64,
        ..Settings::default()
    });
    let txns =
        |durables: &[Durable]| -> u64 { durables.iter().map(|d| d.metrics().txns.get()).sum() };
    let writes =
        |durables: &[Durable]| -> u64 { durables.iter().map(|d| d.metrics().writes.get()).sum() };
    let (txns_before, writes_before) = (txns(&durables), writes(&durables));
    let began = Instant::now();
    let until = began + Duration::from_secs(seconds);
    let mut refused = 0u64;
    let mut times: Vec<u64> = Vec::new();
    thread::scope(|scope| {
        let mut threads = Vec::new();
        for (place, durable) in durables.iter().enumerate() {
            for caller in 0..callers {
                threads.push(scope.spawn(move || {
                    let (mut times, mut refused, mut number) = (Vec::new(), 0u64, 0u64);
                    while Instant::now() < until {
                        number += 1;
                        match one(durable, format!("{place}-{caller}-{number}")) {
                            Some(time) => times.push(time),
                            None => refused += 1,
                        }
                    }
                    (times, refused)
                }));
            }
        }
        for thread in threads {
            let (more, also) = thread.join().expect("no caller panics");
            times.extend(more);
            refused += also;
        }
    });
    let took = began.elapsed().as_secs_f64();
    times.sort_unstable();
    let at = |share: f64| {
        times
            .get((times.len() as f64 * share) as usize)
            .copied()
            .unwrap_or(0)
    };
    let (txns, writes) = (
        txns(&durables) - txns_before,
        writes(&durables) - writes_before,
    );
    println!(
        "{{\"gateways\":{gateways},\"callers\":{},\"window_ms\":{window_ms},\
         \"writes_per_s_limit\":{writes_per_s},\"keyed_per_s\":{:.0},\"refused\":{refused},\
         \"p50_ms\":{:.1},\"p95_ms\":{:.1},\"p99_ms\":{:.1},\"txns_per_s\":{:.0},\
         \"rows_per_s\":{:.0},\"rows_per_txn\":{:.1}}}",
        gateways * callers,
        times.len() as f64 / took,
        at(0.50) as f64 / 1e3,
        at(0.95) as f64 / 1e3,
        at(0.99) as f64 / 1e3,
        txns as f64 / took,
        writes as f64 / took,
        writes as f64 / txns.max(1) as f64,
    );
}
