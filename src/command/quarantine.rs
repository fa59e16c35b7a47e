//! `marigoldstage quarantine`: the requests that the relays hold since they crash endpoints.

use std::io::Write;
use std::net::SocketAddr;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use marigoldstage_platform::lift_hold;
use marigoldstage_platform::list_holds;
use marigoldstage_platform::HoldError;
use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::table::SharedRecord;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

use crate::error::Error;
use crate::error::EXIT_CODES;
use crate::setting::value;
use crate::setting::Values;

const STORE: &str = "store";
const WORK: &str = "work";

const EXAMPLES: &str = "\
Examples:
  marigoldstage quarantine list --store 10.200.1.7:8223
  marigoldstage quarantine lift 0e1c5b0f7a3d4c2e9b8a7f6e5d4c3b2a --store 10.200.1.7:8223

A relay holds requests for the same work (path, caller, service and body) after they have crashed a few endpoints. The lines
of its log name the work of each request. Lift a hold when the endpoints were mended; if the work still crashes them, it is
held again after as many as the first time.";

/// Declares the subcommand.
pub fn command() -> Command {
    let store = || value(STORE, "ADDRESS", "Where the users' platform has its store");
    Command::new("quarantine")
        .about("List the requests that the relays hold since they crash endpoints, and lift holds")
        .after_help(format!("{EXAMPLES}\n\n{EXIT_CODES}"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("list")
                .about("Show the works that are held")
                .arg(store()),
        )
        .subcommand(
            Command::new("lift")
                .about("Let requests for a work go to endpoints again")
                .arg(
                    Arg::new(WORK)
                        .value_name("WORK")
                        .required(true)
                        .value_parser(parse_work)
                        .help("The work, as the logs and the list name it"),
                )
                .arg(store()),
        )
}

fn parse_work(text: &str) -> Result<Fingerprint, String> {
    text.parse()
        .map_err(|_| "a work has 32 hexadecimal digits".to_string())
}

/// Lists or lifts.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let (verb, matches) = matches
        .subcommand()
        .expect("BUG: the parser requires a subcommand");
    let mut values = Values::new(matches);
    let store = values.address(STORE);
    values.finish()?;
    match verb {
        "list" => list(store, out),
        _ => {
            let work: &Fingerprint = matches.get_one(WORK).expect("BUG: the parser requires it");
            lift(store, *work, out)
        }
    }
}

fn list(store: SocketAddr, out: &mut dyn Write) -> Result<(), Error> {
    let holds = LocalSet::new().block_on(&runtime()?, list_holds(store));
    let holds = holds.map_err(failed)?;
    writeln!(out, "{:<32}  crashes  last, s ago  tried again", "work")?;
    for told in &holds {
        let tried = if told.trial_taken { "yes" } else { "no" };
        writeln!(
            out,
            "{}  {:>7}  {:>11}  {tried}",
            told.fingerprint,
            told.crashes.len(),
            last_s(told)
        )?;
    }
    Ok(())
}

/// Time since the last crash, in seconds.
fn last_s(told: &SharedRecord) -> u32 {
    let ages_ms = told.crashes.iter().map(|crash| crash.age_ms);
    ages_ms.min().unwrap_or(0) / 1_000
}

fn lift(store: SocketAddr, work: Fingerprint, out: &mut dyn Write) -> Result<(), Error> {
    let lifted = LocalSet::new().block_on(&runtime()?, lift_hold(store, work));
    lifted.map_err(failed)?;
    writeln!(out, "{work} is let go")?;
    Ok(())
}

fn failed(error: HoldError) -> Error {
    match error {
        HoldError::Store(_) => Error::Unavailable(error.to_string()),
        HoldError::Unknown => Error::Failed(error.to_string()),
    }
}

fn runtime() -> Result<Runtime, Error> {
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build();
    runtime.map_err(|error| Error::Failed(error.to_string()))
}
