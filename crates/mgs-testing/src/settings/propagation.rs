//! How long an accepted edit takes to be in force everywhere, and what that costs the store.
//!
//! Each gateway is a thread with a client of its own over HTTP to the platform's stand-in. It
//! does what a gateway does for control: it polls the log, renews its membership, looks at the
//! others, watches the controller's lease and writes confirmations.

mod gateway;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use displaydoc::Display;
use mgs_platform::http;
use mgs_platform::http::Client;
use mgs_settings::follow;
use mgs_settings::store::edit;
use mgs_settings::store::edit::commit;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_settings::table::Table;
use mgs_standin::platform;
use mgs_standin::platform::faults::Counters;
use mgs_standin::platform::Platform;
use serde::Serialize;

use super::race::set_row;
use gateway::Fleet;

/// What happens during the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Nothing.
    Calm,
    /// One gateway is paused for a third of the run.
    Paused,
    /// The store is down for a time, from just after an edit was accepted.
    Outage,
}

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// What happens.
    pub scenario: Scenario,
    /// Gateways.
    pub gateways: usize,
    /// Length of the run without the outage, in milliseconds.
    pub run_ms: u64,
    /// Length of the outage, in milliseconds.
    pub outage_ms: u64,
    /// Time between edits, in milliseconds.
    pub edit_interval_ms: u64,
    /// Rows of limits that the table has at the start.
    pub rows: usize,
    /// The followers' settings.
    pub follow: follow::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            scenario: Scenario::Calm,
            gateways: 20,
            run_ms: 20_000,
            outage_ms: 60_000,
            edit_interval_ms: 500,
            rows: 50,
            follow: follow::Options::default(),
        }
    }
}

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// What happened.
    pub scenario: Scenario,
    /// Gateways.
    pub gateways: usize,
    /// Edits accepted.
    pub edits: usize,
    /// Edits that were in force at every gateway that wasn't paused, before the end.
    pub in_force: usize,
    /// Time from accepted to in force at the last gateway that wasn't paused: median.
    pub last_p50_ms: u64,
    /// The same: greatest.
    pub last_max_ms: u64,
    /// Time from the end of the pause until the paused gateway had the newest edit.
    pub resumed_after_ms: Option<u64>,
    /// Time from the end of the outage until an edit made then was in force at the last gateway.
    pub after_outage_ms: Option<u64>,
    /// Gateways that had the last edit before the outage in force when the outage ended.
    pub had_it_in_outage: Option<usize>,
    /// Reads of the store per second, over the run.
    pub reads_per_s: f64,
    /// Writes of the store per second, without the operator's.
    pub writes_per_s: f64,
    /// Bytes read from the store per second and gateway.
    pub read_bytes_per_s_per_gateway: f64,
    /// Bytes written to the store per second and gateway.
    pub write_bytes_per_s_per_gateway: f64,
    /// Length of the run, in seconds.
    pub seconds: f64,
}

/// Why there is no measurement.
#[derive(Debug, Display)]
pub enum Error {
    /// the stand-in can't start: {0}
    Start(std::io::Error),
    /// an edit failed: {0}
    Edit(edit::Error),
    /// the gateways didn't come up
    NotReady,
}

impl std::error::Error for Error {}

/// Longest wait for gateways to come up, or for an edit after the run.
const LONG: Duration = Duration::from_secs(120);

/// Runs one measurement.
pub fn run(options: &Options) -> Result<Report, Error> {
    let platform = Platform::start(platform::Options::default()).map_err(Error::Start)?;
    let mut operator = Operator::new(&platform.url());
    operator.fill(options.rows).map_err(Error::Edit)?;
    let fleet = Fleet::start(options, &platform.url());
    if !fleet.wait_for(operator.version, LONG) {
        return Err(Error::NotReady);
    }
    let begin = Instant::now();
    let before = platform.faults().counters();
    let mut run = Run {
        options,
        platform: &platform,
        fleet: &fleet,
        operator,
        accepted: Vec::new(),
    };
    let mut seen = Seen::default();
    match options.scenario {
        Scenario::Calm => run.edit_for(options.run_ms)?,
        Scenario::Paused => run.paused(&mut seen)?,
        Scenario::Outage => run.outage(&mut seen)?,
    }
    let after = platform.faults().counters();
    let seconds = begin.elapsed().as_secs_f64();
    let newest = run.operator.version;
    fleet.wait_for(newest, LONG);
    Ok(run.report(&seen, rates(before, after, seconds), seconds))
}

/// What one scenario saw besides.
#[derive(Debug, Default)]
struct Seen {
    resumed_after_ms: Option<u64>,
    after_outage_ms: Option<u64>,
    had_it_in_outage: Option<usize>,
}

struct Run<'a> {
    options: &'a Options,
    platform: &'a Platform,
    fleet: &'a Fleet,
    operator: Operator,
    accepted: Vec<(u64, Instant)>,
}

impl Run<'_> {
    fn edit(&mut self) -> Result<Instant, Error> {
        let version = self.operator.edit().map_err(Error::Edit)?;
        let now = Instant::now();
        self.accepted.push((version, now));
        Ok(now)
    }

    fn edit_for(&mut self, run_ms: u64) -> Result<(), Error> {
        let end = Instant::now() + Duration::from_millis(run_ms);
        while Instant::now() < end {
            self.edit()?;
            thread::sleep(Duration::from_millis(self.options.edit_interval_ms));
        }
        Ok(())
    }

    fn paused(&mut self, seen: &mut Seen) -> Result<(), Error> {
        self.fleet.pause(true);
        self.edit_for(self.options.run_ms * 2 / 3)?;
        self.fleet.pause(false);
        let resumed = Instant::now();
        let newest = self.operator.version;
        if self.fleet.wait_for(newest, LONG) {
            seen.resumed_after_ms = Some(millis(resumed.elapsed()));
        }
        self.edit_for(self.options.run_ms / 3)
    }

    fn outage(&mut self, seen: &mut Seen) -> Result<(), Error> {
        self.edit_for(self.options.run_ms / 2)?;
        self.edit()?;
        let last = self.operator.version;
        thread::sleep(Duration::from_millis(self.options.edit_interval_ms / 2));
        self.platform.faults().set_outage(true);
        thread::sleep(Duration::from_millis(self.options.outage_ms));
        seen.had_it_in_outage = Some(self.fleet.having(last));
        self.platform.faults().set_outage(false);
        let accepted = self.edit()?;
        let newest = self.operator.version;
        if self.fleet.wait_for(newest, LONG) {
            seen.after_outage_ms = Some(millis(accepted.elapsed()));
        }
        self.edit_for(self.options.run_ms / 2)
    }

    fn report(&self, seen: &Seen, rates: Rates, seconds: f64) -> Report {
        let mut last_ms: Vec<u64> = Vec::new();
        for (version, accepted) in &self.accepted {
            let in_force = self.fleet.last_in_force(*version);
            last_ms.extend(in_force.map(|at| millis(at.saturating_duration_since(*accepted))));
        }
        last_ms.sort_unstable();
        Report {
            scenario: self.options.scenario,
            gateways: self.options.gateways,
            edits: self.accepted.len(),
            in_force: last_ms.len(),
            last_p50_ms: last_ms.get(last_ms.len() / 2).copied().unwrap_or(0),
            last_max_ms: last_ms.last().copied().unwrap_or(0),
            resumed_after_ms: seen.resumed_after_ms,
            after_outage_ms: seen.after_outage_ms,
            had_it_in_outage: seen.had_it_in_outage,
            reads_per_s: rates.reads,
            writes_per_s: rates.writes - self.accepted.len() as f64 / seconds,
            read_bytes_per_s_per_gateway: rates.read_bytes / self.options.gateways as f64,
            write_bytes_per_s_per_gateway: rates.write_bytes / self.options.gateways as f64,
            seconds,
        }
    }
}

/// Rates per second.
#[derive(Debug)]
struct Rates {
    reads: f64,
    writes: f64,
    read_bytes: f64,
    write_bytes: f64,
}

fn rates(before: Counters, after: Counters, seconds: f64) -> Rates {
    let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
    Rates {
        reads: rate(before.reads, after.reads),
        writes: rate(before.writes, after.writes),
        read_bytes: rate(before.read_bytes, after.read_bytes),
        write_bytes: rate(before.write_bytes, after.write_bytes),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// One operator, who edits one row after another and knows the newest table.
struct Operator {
    client: Arc<Client>,
    table: Table,
    version: u64,
}

impl Operator {
    fn new(url: &str) -> Self {
        Self {
            client: Arc::new(client(url)),
            table: Table::default(),
            version: 0,
        }
    }

    fn fill(&mut self, rows: usize) -> Result<(), edit::Error> {
        let kinds = (0..rows).map(|row| format!("row-{row}"));
        let changes = kinds.map(|kind| set_row(&kind, 0)).collect();
        self.commit("fill".to_string(), changes)
    }

    fn edit(&mut self) -> Result<u64, edit::Error> {
        let number = self.version;
        let kind = format!("row-{}", number % 50);
        self.commit(number.to_string(), vec![set_row(&kind, number)])?;
        Ok(self.version)
    }

    fn commit(
        &mut self,
        edit_id: String,
        changes: Vec<mgs_schema::settings::Change>,
    ) -> Result<(), edit::Error> {
        let options = edit::Options {
            edit_id,
            author: "operator".to_string(),
            changes,
            ..edit::Options::default()
        };
        let client = Arc::clone(&self.client);
        let store = Store {
            table: client.as_ref(),
            objects: client.as_ref(),
        };
        self.version = commit(store, &self.table, &options)?.version;
        self.table = read::refresh(store, &self.table).map_err(edit::Error::Refused)?;
        Ok(())
    }
}

fn client(url: &str) -> Client {
    Client::new(http::Options {
        base_url: url.to_string(),
        ..http::Options::default()
    })
}
