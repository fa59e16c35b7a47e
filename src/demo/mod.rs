//! The demonstration: every role and stand-in as threads of one process, on real loopback sockets,
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

/// Settings of the demonstration.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The processes.
    pub fleet: fleet::Options,
    /// The load.
    pub plan: plan::Options,
}

/// Brings the fleet up, sends the load, prints what was measured and counted.
pub fn run(options: Options, out: &mut dyn Write) -> Result<Summary, Error> {
    let alone = plan::alone();
    let planned = plan::make(&options.plan);
    let begun = Instant::now();
    let fleet = Fleet::start(options.fleet)?;
    let ready_ms = begun.elapsed().as_millis();
    let count = alone.len() + planned.len();
    writeln!(
        out,
        "{count} requests to {}, ready in {ready_ms} ms",
        fleet.describe()
    )?;
    let progress = Progress::new(count as u64);
    let alone = load::run(alone, &fleet.target(), &progress);
    let mixed = load::run(planned, &fleet.target(), &progress);
    progress.finish();
    report::print_first_tokens(&mixed, out)?;
    report::print_slowdown(&alone, &mixed, out)?;
    let records = [alone, mixed].concat();
    report::print_reasons(&records, out)?;
    let summary = fleet.audit(&records);
    let line = serde_json::to_string(&summary).map_err(|error| Error::Failed(error.to_string()))?;
    writeln!(out, "{line}")?;
    Ok(summary)
}
