//! One gateway with many open streams: requests a second, memory, threads, processor time.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::measure::overhead;
use crate::measure::process;
use crate::measure::process::Usage;
use crate::measure::system::System;
use crate::measure::Error;

const STACK_BYTES: usize = 256 * 1024;
const BYTES_PER_MB: f64 = 1e6;
const MS_PER_S: f64 = 1_000.0;

/// Settings of the measurement.
#[derive(Debug, Clone)]
pub struct Options {
    /// Streams open at once; each caller begins its next one when its last one has ended.
    pub streams: usize,
    /// Tokens of each prompt.
    pub prompt_tokens: usize,
    /// Tokens of each answer.
    pub answer_tokens: u64,
    /// Time before the measurement, in milliseconds.
    pub settle_ms: u64,
    /// Time of the measurement, in milliseconds.
    pub measure_ms: u64,
}

/// What one gateway did meanwhile.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Outcome {
    /// Streams open at once.
    pub streams: usize,
    /// Answers read whole and compared in a second.
    pub requests_per_s: f64,
    /// Tokens carried in a second.
    pub tokens_per_s: f64,
    /// Calls without a whole answer.
    pub failed: u64,
    /// Why the first one of them failed.
    pub failure: Option<String>,
    /// Resident memory of the gateway, in millions of bytes.
    pub gateway_resident_mb: f64,
    /// Threads of the gateway.
    pub gateway_threads: u64,
    /// Share of one core that the gateway took.
    pub gateway_cpu_share: f64,
    /// Processor time of the gateway for each answer, in milliseconds.
    pub gateway_cpu_ms_per_request: f64,
    /// Resident memory of the sidecar, in millions of bytes.
    pub sidecar_resident_mb: f64,
    /// Threads of the sidecar.
    pub sidecar_threads: u64,
}

#[derive(Debug, Default)]
struct Counts {
    stopped: AtomicBool,
    answered: AtomicU64,
    failed: AtomicU64,
    failure: Mutex<Option<String>>,
}

/// Keeps so many streams open and looks at the processes meanwhile.
pub fn run(system: &System, options: &Options) -> Result<Outcome, Error> {
    let counts = Counts::default();
    thread::scope(|scope| {
        for caller in 0..options.streams {
            let counts = &counts;
            let work = move || keep_calling(system, options, caller, counts);
            thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn_scoped(scope, work)?;
        }
        let outcome = watch(system, options, &counts);
        counts.stopped.store(true, Ordering::Release);
        outcome
    })
}

fn keep_calling(system: &System, options: &Options, caller: usize, counts: &Counts) {
    let gateway = system.gateways[0].address;
    let mut number = 0_u64;
    while !counts.stopped.load(Ordering::Acquire) {
        let marker = format!("open-{}-{caller}-{number}", options.streams);
        let prompt = overhead::prompt(options.prompt_tokens, &marker);
        number += 1;
        match overhead::call_gateway(gateway, &prompt, options.answer_tokens) {
            Ok(_) => {
                counts.answered.fetch_add(1, Ordering::Relaxed);
            }
            Err(error) => {
                counts.failed.fetch_add(1, Ordering::Relaxed);
                let mut failure = counts.failure.lock().expect("no holder panics");
                failure.get_or_insert_with(|| error.to_string());
            }
        }
    }
}

fn watch(system: &System, options: &Options, counts: &Counts) -> Result<Outcome, Error> {
    thread::sleep(Duration::from_millis(options.settle_ms));
    let begun = Instant::now();
    let before = look(system)?;
    let answered_before = counts.answered.load(Ordering::Relaxed);
    thread::sleep(Duration::from_millis(options.measure_ms));
    let after = look(system)?;
    let time = begun.elapsed();
    let answered = counts.answered.load(Ordering::Relaxed) - answered_before;
    let requests_per_s = answered as f64 / time.as_secs_f64();
    let cpu_s = after.0.cpu_s - before.0.cpu_s;
    Ok(Outcome {
        streams: options.streams,
        requests_per_s,
        tokens_per_s: requests_per_s * options.answer_tokens as f64,
        failed: counts.failed.load(Ordering::Relaxed),
        failure: counts.failure.lock().expect("no holder panics").clone(),
        gateway_resident_mb: after.0.resident_bytes as f64 / BYTES_PER_MB,
        gateway_threads: after.0.threads,
        gateway_cpu_share: process::cpu_share(before.0, after.0, time),
        gateway_cpu_ms_per_request: cpu_s * MS_PER_S / answered.max(1) as f64,
        sidecar_resident_mb: after.1.resident_bytes as f64 / BYTES_PER_MB,
        sidecar_threads: after.1.threads,
    })
}

fn look(system: &System) -> Result<(Usage, Usage), Error> {
    let gateway = system.gateways[0].process.usage()?;
    let sidecar = system.sidecars[0].process.usage()?;
    Ok((gateway, sidecar))
}
