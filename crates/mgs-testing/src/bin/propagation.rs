//! Measures how long an accepted edit takes to be in force everywhere, and what it costs the
//! store; what a consistent read costs; and what comes of racing operators. Prints one JSON line
//! for each number of gateways.

use std::error::Error;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use mgs_testing::argument::given;
use mgs_testing::argument::number;
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
            number(GATEWAYS, "Gateways; several by commas", "20")
                .action(ArgAction::Append)
                .value_delimiter(','),
        )
        .arg(number(
            RUN_MS,
            "Length of the run without the outage",
            "20000",
        ))
        .arg(number(OUTAGE_MS, "Length of the outage", "60000"))
        .arg(number(ROWS, "Rows of limits at the start", "50"))
        .arg(number(SEED, "Seed of a race", "1"))
        .arg(number(
            EDITS,
            "Edits of each of six racing operators",
            "100",
        ))
}

fn options(matches: &ArgMatches, gateways: u64) -> Options {
    let scenario = matches.get_one::<String>(SCENARIO).map(String::as_str);
    Options {
        scenario: match scenario {
            Some("paused") => Scenario::Paused,
            Some("outage") => Scenario::Outage,
            _ => Scenario::Calm,
        },
        gateways: gateways as usize,
        run_ms: given(matches, RUN_MS),
        outage_ms: given(matches, OUTAGE_MS),
        rows: given(matches, ROWS) as usize,
        ..Options::default()
    }
}

fn measure(matches: &ArgMatches, gateways: u64) -> Result<String, Box<dyn Error>> {
    let options = options(matches, gateways);
    let line = match matches.get_one::<String>(SCENARIO).map(String::as_str) {
        Some(CONSISTENT) => serde_json::to_string(&consistent::run(options.rows)),
        Some(RACE) => {
            let outcome = race::run(race::Options {
                seed: given(matches, SEED),
                edits: given(matches, EDITS) as usize,
                ..race::Options::default()
            });
            serde_json::to_string(&outcome.report(given(matches, SEED)))
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
