//! Runs real processes under a seeded schedule of faults and checks the history.
//!
//! The last line of output is JSON. Exit status: 0 clean, 1 a violation, 2 bad usage.

#![forbid(unsafe_code)]

use std::io;
use std::io::Write;
use std::path::PathBuf;
use std::process;
use std::process::ExitCode;
use std::thread;

use clap::value_parser;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use mgs_testing::chaos;
use mgs_testing::chaos::Options;
use mgs_testing::chaos::Scenario;
use mgs_testing::cluster;

const VIOLATED: u8 = 1;

const USAGE: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let Some(options) = options(&matches) else {
        return ExitCode::from(USAGE);
    };
    if let Err(error) = end_on_signal() {
        print(&serde_json::json!({ "error": error.to_string() }).to_string());
        return ExitCode::from(VIOLATED);
    }
    match chaos::run(&options) {
        Ok(report) => {
            print(&report.json());
            match report.is_clean() {
                true => ExitCode::SUCCESS,
                false => ExitCode::from(VIOLATED),
            }
        }
        Err(error) => {
            print(&serde_json::json!({ "error": error.to_string() }).to_string());
            ExitCode::from(VIOLATED)
        }
    }
}

/// Leaves no process behind when this one is told to end.
fn end_on_signal() -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            cluster::kill_all();
            process::exit(i32::from(VIOLATED));
        }
    });
    Ok(())
}

fn command() -> Command {
    Command::new("chaos")
        .about("Run real processes under faults and check what must always hold")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of the schedule and of the callers"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("20")
                .help("How long requests are sent and faults injected"),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .value_parser(Scenario::names().collect::<Vec<_>>())
                .default_value("mixed")
                .help("Which faults"),
        )
        .arg(
            Arg::new("unkeyed")
                .long("unkeyed")
                .action(ArgAction::SetTrue)
                .help("Send no idempotency keys"),
        )
        .arg(
            Arg::new("plant")
                .long("plant")
                .default_value("")
                .help("Deliberate bug that the processes have"),
        )
        .arg(
            Arg::new("binary")
                .long("binary")
                .value_parser(value_parser!(PathBuf))
                .help("The marigoldstage binary, if not the one beside this program"),
        )
}

fn options(matches: &ArgMatches) -> Option<Options> {
    let scenario: &String = matches.get_one("scenario")?;
    Some(Options {
        seed: *matches.get_one("seed")?,
        seconds: *matches.get_one("seconds")?,
        scenario: Scenario::from_name(scenario)?,
        keyed: !matches.get_flag("unkeyed"),
        plant: matches.get_one::<String>("plant")?.clone(),
        binary: matches.get_one("binary").cloned(),
        ..Options::default()
    })
}

fn print(line: &str) {
    // Nobody is left to tell if standard output is gone.
    let _ = writeln!(io::stdout(), "{line}");
}
