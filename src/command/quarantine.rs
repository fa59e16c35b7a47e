//! `marigoldstage quarantine`: lists and lifts the holds that relays put on requests that crash
//! endpoints.

use std::io::Write;
use std::net::SocketAddr;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use marigoldstage_platform::list_held_requests;
use marigoldstage_platform::release_held_request;
use marigoldstage_platform::QuarantineError;
use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::shared::SharedRecord;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

use crate::error::Error;
use crate::error::EXIT_CODES;
use crate::setting::value_argument;
use crate::setting::SettingValues;

const STORE: &str = "store";
const FINGERPRINT: &str = "work";

const EXAMPLES: &str = "\
Examples:
  marigoldstage quarantine list --store 10.200.1.7:8223
  marigoldstage quarantine lift 0e1c5b0f7a3d4c2e9b8a7f6e5d4c3b2a --store 10.200.1.7:8223

A relay holds requests for the same work (path, caller, service and body) after they have crashed a few endpoints, and
requests with a part of a prompt under which endpoints crash, whatever else is in them. Its log lines name the work, and the
part where it is one. Lift a hold once the endpoints are fixed; if the work still crashes them, it is
held again after the same number of crashes as the first time.";

/// Declares the subcommand.
pub fn command() -> Command {
    let store = || {
        value_argument(
            STORE,
            "ADDRESS",
            "Address of the store of the users' platform",
        )
    };
    Command::new("quarantine")
        .about("List the requests that relays hold because they crashed endpoints, and lift holds")
        .after_help(format!("{EXAMPLES}\n\n{EXIT_CODES}"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("list")
                .about("List the works that are held")
                .arg(store()),
        )
        .subcommand(
            Command::new("lift")
                .about("Let requests for a work be dispatched to endpoints again")
                .arg(
                    Arg::new(FINGERPRINT)
                        .value_name("WORK")
                        .required(true)
                        .value_parser(parse_work_key)
                        .help("Key of the work, as shown in the logs and the list"),
                )
                .arg(store()),
        )
}

fn parse_work_key(text: &str) -> Result<Fingerprint, String> {
    text.parse()
        .map_err(|_| "the key of a work has 32 hexadecimal digits".to_string())
}

/// Lists the holds or lifts one; fails with [`Error::Unavailable`] if the store can't be reached.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let (subcommand, matches) = matches
        .subcommand()
        .expect("BUG: the parser requires a subcommand");
    let mut values = SettingValues::new(matches);
    let store = values.address(STORE);
    values.finish()?;
    match subcommand {
        "list" => list(store, out),
        _ => {
            let fingerprint: &Fingerprint = matches
                .get_one(FINGERPRINT)
                .expect("BUG: the parser requires it");
            lift(store, *fingerprint, out)
        }
    }
}

fn list(store: SocketAddr, out: &mut dyn Write) -> Result<(), Error> {
    let holds = LocalSet::new().block_on(&runtime()?, list_held_requests(store));
    let holds = holds.map_err(hold_error)?;
    writeln!(
        out,
        "{:<32}  crashes  last, s ago  tried again  part of prompts",
        "work"
    )?;
    for hold in &holds {
        let was_tried = if hold.trial_taken { "yes" } else { "no" };
        writeln!(
            out,
            "{}  {:>7}  {:>11}  {was_tried:<11}  {}",
            hold.fingerprint,
            hold.crashes.len(),
            seconds_since_last_crash(hold),
            part_name(hold)
        )?;
    }
    Ok(())
}

/// Time since the last crash, in seconds.
fn seconds_since_last_crash(hold: &SharedRecord) -> u32 {
    let ages_ms = hold.crashes.iter().map(|crash| crash.age_ms);
    ages_ms.min().unwrap_or(0) / 1_000
}

/// The part of prompts that is held, as `SERVICE/PART`; `-` if a request is held.
fn part_name(hold: &SharedRecord) -> String {
    let name = hold.part.as_ref().map(|part| &part.name);
    name.map_or("-".to_string(), |name| {
        format!("{}/{}", name.service, name.id)
    })
}

fn lift(store: SocketAddr, fingerprint: Fingerprint, out: &mut dyn Write) -> Result<(), Error> {
    let lifted = LocalSet::new().block_on(&runtime()?, release_held_request(store, fingerprint));
    lifted.map_err(hold_error)?;
    writeln!(out, "the hold on {fingerprint} is lifted")?;
    Ok(())
}

fn hold_error(error: QuarantineError) -> Error {
    match error {
        QuarantineError::Store(_) => Error::Unavailable(error.to_string()),
        QuarantineError::NotHeld => Error::Failed(error.to_string()),
    }
}

fn runtime() -> Result<Runtime, Error> {
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build();
    runtime.map_err(|error| Error::Failed(error.to_string()))
}
