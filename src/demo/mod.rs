//! The demonstration: runs every role and stand-in as threads of one process, on loopback sockets,
//! under a mixed load.

pub mod client;
pub mod fleet;
pub mod load;
pub mod plan;
pub mod progress;
pub mod report;
mod table;

use std::io::Write;
use std::time::Instant;

use crate::error::Error;
use fleet::Fleet;
use progress::Progress;
use report::Summary;

/// Options of the demonstration.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Options of the processes.
    pub fleet: fleet::Options,
    /// Options of the load.
    pub plan: plan::Options,
}

/// Starts the fleet, sends the load and prints latencies and the summary. Fails if the fleet doesn't start or the
/// output can't be written.
pub fn run(options: Options, out: &mut dyn Write) -> Result<Summary, Error> {
    let baseline_plan = plan::baseline_requests();
    let mixed_plan = plan::generate(&options.plan);
    let started_at = Instant::now();
    let fleet = Fleet::start(options.fleet)?;
    let ready_ms = started_at.elapsed().as_millis();
    let count = baseline_plan.len() + mixed_plan.len();
    writeln!(
        out,
        "{count} requests to {}, ready in {ready_ms} ms",
        fleet.describe()
    )?;
    let progress = Progress::new(count as u64);
    let baseline = load::run(baseline_plan, &fleet.target(), &progress);
    let mixed = load::run(mixed_plan, &fleet.target(), &progress);
    progress.finish();
    report::print_first_tokens(&mixed, out)?;
    report::print_slowdown(&baseline, &mixed, out)?;
    let records = [baseline, mixed].concat();
    report::print_reasons(&records, out)?;
    let summary = fleet.summarize(&records);
    let line = serde_json::to_string(&summary).map_err(|error| Error::Failed(error.to_string()))?;
    writeln!(out, "{line}")?;
    Ok(summary)
}
