//! `marigoldstage status`: what each process says of itself.

use std::io::Write;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use mgs_platform::http::Client;

use super::process;
use crate::error::Error;
use crate::setting::switch;
use crate::setting::value;
use crate::setting::Values;
use crate::status;
use crate::status::member;
use crate::status::Process;

const ADMIN: &str = "admin-address";
const TIMEOUT_MS: &str = "status-timeout-ms";
const JSON: &str = "json";

const EXAMPLES: &str = "\
Examples:
  marigoldstage status --platform http://10.0.0.2:7400     processes that have a row there
  marigoldstage status --admin-address 10.0.0.5:7101,10.0.1.7:7301
  marigoldstage status --admin-address 10.0.0.5:7101 --json | jq '.[].metrics'

With --admin-address each process is asked itself: exit code 0 if every one is ready, 1 if one
isn't, 4 if none can be reached. Without it the platform is asked, which knows names, addresses and
the version of the settings that each process has confirmed; a process that died may still be
listed for a while.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("status")
        .about("Show what each process says of itself: readiness and main counters")
        .after_help(EXAMPLES)
        .arg(admin_argument())
        .args(process::platform_arguments())
        .arg(value(TIMEOUT_MS, "MS", "Longest wait for each process").default_value("2000"))
        .arg(switch(
            JSON,
            "Print JSON with every metric, instead of a table",
        ))
}

fn admin_argument() -> Arg {
    value(
        ADMIN,
        "IP:PORT",
        "Operators' address (--admin) of a process; several by commas or by repeating the flag",
    )
    .action(ArgAction::Append)
    .value_delimiter(',')
}

/// Asks each process and prints what it says.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let mut values = Values::new(matches);
    let addresses = values.addresses(ADMIN);
    let platform = process::platform_options(&mut values);
    let timeout_ms = values.number(TIMEOUT_MS, 1..=3_600_000);
    let json = values.switch(JSON);
    values.finish()?;

    if addresses.is_empty() {
        return run_platform(&Client::new(platform), json, out);
    }
    let timeout = Duration::from_millis(timeout_ms);
    let ask = |address| status::ask(address, timeout);
    let processes: Vec<Process> = addresses.into_iter().map(ask).collect();
    if json {
        process::print_json(&processes, out)?;
    } else {
        status::print_table(&processes, out)?;
    }
    judge(&processes)
}

/// Prints what the platform knows.
fn run_platform(client: &Client, json: bool, out: &mut dyn Write) -> Result<(), Error> {
    let known = member::read(client)?;
    if json {
        return process::print_json(&known, out);
    }
    member::print_table(&known, out)?;
    Ok(())
}

fn judge(processes: &[Process]) -> Result<(), Error> {
    let ready = processes.iter().filter(|process| process.ready).count();
    if ready == processes.len() {
        return Ok(());
    }
    let of = format!("{ready} of {} processes are ready", processes.len());
    if processes.iter().any(|process| process.reached) {
        return Err(Error::Failed(of));
    }
    Err(Error::Unavailable(format!(
        "{of}; none could be reached; check --admin-address"
    )))
}
