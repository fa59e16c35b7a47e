//! `marigoldstage status`: shows the readiness and main counters of each process.

use std::io::Write;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use mgs_platform::http::Client;

use super::common;
use crate::error::Error;
use crate::setting::switch_argument;
use crate::setting::value_argument;
use crate::setting::SettingValues;
use crate::status;
use crate::status::member;
use crate::status::ProcessStatus;

const ADMIN_ADDRESS: &str = "admin-address";
const TIMEOUT_MS: &str = "status-timeout-ms";
const JSON: &str = "json";

const EXAMPLES: &str = "\
Examples:
  marigoldstage status --platform http://10.0.0.2:7400     processes registered there
  marigoldstage status --admin-address 10.0.0.5:7101,10.0.1.7:7301
  marigoldstage status --admin-address 10.0.0.5:7101 --json | jq '.[].metrics'

With --admin-address each process is queried directly: exit code 0 if every one is ready, 1 if one
isn't, 4 if none can be reached. Without it the platform is queried, which knows names, addresses and
the version of the settings that each process has confirmed; a process that has crashed may remain
listed for some time.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("status")
        .about("Show the readiness and main counters of each process")
        .after_help(EXAMPLES)
        .arg(admin_argument())
        .args(common::platform_arguments())
        .arg(
            value_argument(TIMEOUT_MS, "MS", "Timeout of each call to a process")
                .default_value("2000"),
        )
        .arg(switch_argument(
            JSON,
            "Print JSON with every metric, instead of a table",
        ))
}

fn admin_argument() -> Arg {
    value_argument(
        ADMIN_ADDRESS,
        "IP:PORT",
        "Admin address (--admin) of a process; separate several by commas or repeat the flag",
    )
    .action(ArgAction::Append)
    .value_delimiter(',')
}

/// Queries each process and prints its status. Fails with [`Error::Unavailable`] if none answers
/// and with [`Error::Failed`] if one isn't ready. Without addresses, prints the processes that are
/// registered on the platform.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let mut values = SettingValues::new(matches);
    let addresses = values.addresses(ADMIN_ADDRESS);
    let platform = common::platform_options(&mut values);
    let timeout_ms = values.number(TIMEOUT_MS, 1..=3_600_000);
    let as_json = values.is_set(JSON);
    values.finish()?;

    if addresses.is_empty() {
        return print_members(&Client::new(platform), as_json, out);
    }
    let timeout = Duration::from_millis(timeout_ms);
    let query = |address| status::query(address, timeout);
    let processes: Vec<ProcessStatus> = addresses.into_iter().map(query).collect();
    if as_json {
        common::print_json(&processes, out)?;
    } else {
        status::print_table(&processes, out)?;
    }
    readiness_result(&processes)
}

/// Prints the processes that are registered on the platform.
fn print_members(client: &Client, as_json: bool, out: &mut dyn Write) -> Result<(), Error> {
    let members = member::read(client)?;
    if as_json {
        return common::print_json(&members, out);
    }
    member::print_table(&members, out)?;
    Ok(())
}

fn readiness_result(processes: &[ProcessStatus]) -> Result<(), Error> {
    let ready = processes.iter().filter(|process| process.ready).count();
    if ready == processes.len() {
        return Ok(());
    }
    let summary = format!("{ready} of {} processes are ready", processes.len());
    if processes.iter().any(|process| process.reached) {
        return Err(Error::Failed(summary));
    }
    Err(Error::Unavailable(format!(
        "{summary}; none could be reached; check --admin-address"
    )))
}
