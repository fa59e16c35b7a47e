//! Simulates the policies against modelled engines, without sockets or real time, to select what
//! the `load` command then measures. Its figures are trials, not results.
//!
//! `cargo bench -p mgs-routing --bench trial -- [load=0.8] [seconds=120] [seed=1] [flood=1]
//! [slow=1] [only=NAME]`

#![allow(clippy::print_stdout)]

mod engine;
mod run;
mod workload;

use std::sync::Arc;

use mgs_admission::queue;
use mgs_admission::queue::Admission;
use mgs_routing::marigold::Marigold;
use mgs_routing::policy;
use mgs_routing::policy::Policy;

use crate::run::Measurements;
use crate::run::PolicyUnderTest;
use crate::run::Run;

/// Number of simulated gateways.
const GATEWAYS: usize = 3;

/// Tokens per second that 20 engines process when prefill and decode share their steps.
const CAPACITY_TOKENS_PER_S: f64 = 270_000.0;

/// Value of the command-line argument `NAME=VALUE`, or the default.
fn setting(name: &str, default: f64) -> f64 {
    let prefix = format!("{name}=");
    let value = std::env::args().find_map(|a| a.strip_prefix(&prefix).map(str::to_owned));
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Creates a policy per gateway, with the fair admission queue for the default policy and a FIFO
/// queue for the baselines.
fn policy_under_test(name: &str) -> PolicyUnderTest {
    let is_default = name.starts_with("marigold");
    let policy = |_| -> Arc<dyn Policy> {
        match policy::by_name(name) {
            Some(policy) => policy,
            None => Arc::new(Marigold::default()),
        }
    };
    let admission = |_| -> Box<dyn Admission> {
        queue::by_name(if is_default { "fair" } else { "fifo" }).expect("both are known")
    };
    PolicyUnderTest {
        policies: (0..GATEWAYS).map(policy).collect(),
        admissions: (0..GATEWAYS).map(admission).collect(),
    }
}

/// Smallest share of the offered prompt tokens that was answered in time, of all organisations but
/// the first, which may flood; at most 1.
fn least_answered_share(measurements: &Measurements) -> f64 {
    let answered = measurements.by_organisation[1..].iter();
    answered
        .map(|(offered, answered)| *answered as f64 / (*offered).max(1) as f64)
        .fold(1.0, f64::min)
}

fn main() {
    let load = setting("load", 0.8);
    let seconds = setting("seconds", 120.0) as u64;
    let options = |short_only| workload::Options {
        seed: setting("seed", 1.0) as u64,
        seconds,
        tokens_per_s: CAPACITY_TOKENS_PER_S * load,
        short_only,
        flood_factor: setting("flood", 1.0),
        gateways: GATEWAYS,
    };
    let all_requests = workload::generate(&options(false));
    let short_requests = workload::generate(&options(true));
    println!(
        "load {load}, {seconds} s, {} requests, trial figures",
        all_requests.len()
    );
    let only = std::env::args().find_map(|a| a.strip_prefix("only=").map(str::to_owned));
    for name in policy::NAMES {
        if only.as_ref().is_some_and(|only| only != name) {
            continue;
        }
        let run = |arrivals| {
            Run::new(
                arrivals,
                policy_under_test(name),
                seconds,
                setting("slow", 1.0),
            )
            .run_to_end()
        };
        let measurements = run(&all_requests);
        let short_only_measurements = run(&short_requests);
        let p95 = |f: &Measurements, band: usize| f.first_token_ms[band].value_at_quantile(0.95);
        let slowdown =
            p95(&measurements, 0) as f64 / p95(&short_only_measurements, 0).max(1) as f64;
        print!("{name:18}");
        for band in 0..3 {
            let histogram = &measurements.first_token_ms[band];
            let at = |q| histogram.value_at_quantile(q);
            print!(" | {:>6} {:>6} {:>6}", at(0.5), at(0.95), at(0.99));
        }
        for band in 0..3 {
            let count = measurements.first_token_ms[band].len().max(1);
            let means = [
                measurements.queued_ms[band] / count,
                measurements.engine_ms[band] / count,
            ];
            print!(" {means:?}");
        }
        println!(
            " | slowdown {slowdown:5.2} goodput {:>7.0}/s least share {:.2} late {} refused {:?}",
            measurements.answered_tokens as f64 / (seconds as f64 * 0.9),
            least_answered_share(&measurements),
            measurements.expired,
            measurements.refusals,
        );
    }
}
