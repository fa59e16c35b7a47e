//! `marigoldstage account`: summarises outcomes and losses from the logs of the gateways.

use std::fs;
use std::io::Write;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::account::csv_export;
use crate::account::plot;
use crate::account::Account;
use crate::command::explain::io_error;
use crate::command::explain::logs_argument;
use crate::command::explain::read_logs;
use crate::command::explain::LOGS;
use crate::error::Error;
use crate::explain::LogLine;

const CSV: &str = "csv";
const PLOT: &str = "plot";

const EXAMPLES: &str = "\
Examples:
  marigoldstage account /var/log/front-*.log
  collect-logs | marigoldstage account --csv day.csv --plot day.svg

Reads JSON lines as `explain` does. Prints the share of the requests' worth that was lost, by kind, length of the prompt,
availability zone, cause and second, which endpoints refused to help with others' prompts, and calls to the store
and bytes by purpose. A request's worth is 1 for the mean of its kind; longer ones are worth more,
late ones a quarter. A client that retries is counted as another request.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("account")
        .about("Summarise outcomes and losses from the logs of the gateways")
        .after_help(EXAMPLES)
        .arg(
            Arg::new(CSV)
                .long(CSV)
                .value_name("FILE")
                .help("Write a row for each second, kind, length, zone and cause"),
        )
        .arg(
            Arg::new(PLOT)
                .long(PLOT)
                .value_name("FILE")
                .help("Plot the share lost by each kind, second by second, as SVG"),
        )
        .arg(logs_argument())
}

/// Reads the logs, prints the summary and writes the CSV and the plot that are asked for.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let files: Vec<&String> = matches.get_many(LOGS).into_iter().flatten().collect();
    let lines = read_logs(&files, &|text, file| LogLine::parse(text, file))?;
    let account = Account::from_lines(lines);
    if let Some(file) = matches.get_one::<String>(CSV) {
        let text =
            csv_export::to_csv(&account).map_err(|error| Error::Failed(error.to_string()))?;
        write_file(file, &text)?;
    }
    if let Some(file) = matches.get_one::<String>(PLOT) {
        let drawing = plot::svg(&account).map_err(Error::Failed)?;
        write_file(file, &drawing)?;
    }
    write!(out, "{account}").map_err(|error| io_error("standard output", &error))
}

fn write_file(file: &str, text: &str) -> Result<(), Error> {
    fs::write(file, text).map_err(|error| io_error(file, &error))
}
