//! One policy under one load.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::load::call;
use crate::load::call::Ended;
use crate::load::cluster::Cluster;
use crate::load::scenario::Options;
use crate::load::scenario::Scenario;
use crate::load::workload::Arrival;

/// Stack of a caller's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// When engines crash, as shares of the run.
const CRASHES: [f64; 4] = [0.3, 0.31, 0.5, 0.7];

/// A request and how it ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// The request.
    pub arrival: Arrival,
    /// How it ended.
    pub ended: Ended,
    /// How late its caller was to send it, because the machine was busy.
    pub lateness: Duration,
}

/// Offers `arrivals` to a deployment, each at its time whatever became of those before.
pub fn offer(cluster: &Arc<Cluster>, options: &Options, arrivals: &[Arrival]) -> Vec<Sample> {
    let start = Instant::now() + Duration::from_millis(200);
    let crashes = crasher(cluster, options, start);
    let mut callers = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let due = start + Duration::from_secs_f64(arrival.at_s / options.time_scale);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        callers.push(caller(cluster, options, *arrival, due));
    }
    let samples = callers.into_iter().filter_map(|caller| caller.join().ok());
    let samples = samples.collect();
    if let Some(crashes) = crashes {
        // It ends before the last caller, and its end tells nothing.
        let _ = crashes.join();
    }
    samples
}

fn caller(
    cluster: &Arc<Cluster>,
    options: &Options,
    arrival: Arrival,
    due: Instant,
) -> JoinHandle<Sample> {
    let address = cluster.gateway(arrival.gateway);
    let time_scale = options.time_scale;
    let call = move || {
        let lateness = due.elapsed();
        let ended = call::send(address, &arrival, due, time_scale);
        Sample {
            arrival,
            ended,
            lateness,
        }
    };
    let builder = thread::Builder::new().stack_size(STACK_BYTES);
    builder.spawn(call).expect("a thread can be started")
}

fn crasher(cluster: &Arc<Cluster>, options: &Options, start: Instant) -> Option<JoinHandle<()>> {
    if options.scenario != Scenario::EngineLoss {
        return None;
    }
    let cluster = Arc::clone(cluster);
    let run_s = options.run_s / options.time_scale;
    Some(thread::spawn(move || {
        for (number, share) in CRASHES.iter().enumerate() {
            let due = start + Duration::from_secs_f64(run_s * share);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            cluster.crash(number);
        }
    }))
}
