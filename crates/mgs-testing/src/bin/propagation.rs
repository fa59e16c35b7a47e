//! Measures how long an accepted edit takes to be in force everywhere, and what it costs the
//! store; what a consistent read costs; and what comes of racing operators. Prints one JSON line
//! for each number of gateways.

use std::error::Error;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use mgs_testing::settings::consistent;
use mgs_testing::settings::propagation;
use mgs_testing::settings::propagation::Options;
use mgs_testing::settings::propagation::Scenario;
use mgs_testing::settings::race;

const SCENARIO: &str = "scenario";
const CONSISTENT: &str = "consistent";
const RACE: &str = "race";
const SEED: &str = "seed";
const EDITS: &str = "edits";
const GATEWAYS: &str = "gateways";
const RUN_MS: &str = "run-ms";
const OUTAGE_MS: &str = "outage-ms";
const ROWS: &str = "rows";

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(clap::value_parser!(u64))
            .help(help)
    };
    Command::new("propagation")
        .about(
            "Time from an accepted edit to in force everywhere, and reads and writes of the store",
        )
        .arg(
            Arg::new(SCENARIO)
                .long(SCENARIO)
                .value_parser(["calm", "paused", "outage", CONSISTENT, RACE])
                .default_value("calm")
                .help("What happens during the run"),
        )
        .arg(
            number(GATEWAYS, "20", "Gateways; several by commas")
                .action(ArgAction::Append)
                .value_delimiter(','),
        )
        .arg(number(
            RUN_MS,
            "20000",
            "Length of the run without the outage",
        ))
        .arg(number(OUTAGE_MS, "60000", "Length of the outage"))
        .arg(number(ROWS, "50", "Rows of limits at the start"))
        .arg(number(SEED, "1", "Seed of a race"))
        .arg(number(
            EDITS,
            "100",
            "Edits of each of six racing operators",
        ))
}

fn options(matches: &ArgMatches, gateways: u64) -> Options {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let scenario = matches.get_one::<String>(SCENARIO).map(String::as_str);
    Options {
        scenario: match scenario {
            Some("paused") => Scenario::Paused,
            Some("outage") => Scenario::Outage,
            _ => Scenario::Calm,
        },
        gateways: gateways as usize,
        run_ms: number(RUN_MS),
        outage_ms: number(OUTAGE_MS),
        rows: number(ROWS) as usize,
        ..Options::default()
    }
}

fn measure(matches: &ArgMatches, gateways: u64) -> Result<String, Box<dyn Error>> {
    let options = options(matches, gateways);
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let line = match matches.get_one::<String>(SCENARIO).map(String::as_str) {
        Some(CONSISTENT) => serde_json::to_string(&consistent::run(options.rows)),
        Some(RACE) => {
            let outcome = race::run(race::Options {
                seed: number(SEED),
                edits: number(EDITS) as usize,
                ..race::Options::default()
            });
            serde_json::to_string(&outcome.report(number(SEED)))
        }
        _ => serde_json::to_string(&propagation::run(&options)?),
    };
    Ok(line?)
}

#[allow(clippy::print_stdout, clippy::print_stderr)]
fn main() -> ExitCode {
    let matches = command().get_matches();
    for gateways in matches.get_many::<u64>(GATEWAYS).unwrap_or_default() {
        match measure(&matches, *gateways) {
            Ok(line) => println!("{line}"),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
