//! `marigoldstage explain`: traces one request through the logs of the gateways.

use std::fs::File;
use std::io::stdin;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use crate::error::Error;
use crate::explain::explanation::describe;
use crate::explain::sizes::SizeReport;
use crate::explain::summary::Summary;
use crate::explain::LogLine;
use crate::explain::RequestTrace;

const REQUEST_ID: &str = "request-id";
pub(super) const LOGS: &str = "logs";
const ALL: &str = "all";
const SIZES: &str = "sizes";

const EXAMPLES: &str = "\
Examples:
  marigoldstage explain 9c41d07be2a35f68 /var/log/front-*.log
  collect-logs | marigoldstage explain 9c41d07be2a35f68
  marigoldstage explain --all /var/log/front-*.log
  marigoldstage explain --sizes /var/log/front-*.log

Reads JSON lines, from files or from standard input; text before a line's JSON, such as a host's name, is
shown as its source. Prints the request's lines in order of time and then the cause of its outcome. Exit
code 1 if no line names it. Times are those of each host's own clock. With --all, counts by route why
requests weren't on time; with --sizes, shows by route whether the longest are answered as often as the others.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("explain")
        .about("Show what happened to one request, from the logs of the gateways")
        .after_help(EXAMPLES)
        .arg(
            Arg::new(REQUEST_ID)
                .value_name("REQUEST-ID")
                .required_unless_present_any([ALL, SIZES])
                .help("The identifier that the client sent"),
        )
        .arg(
            Arg::new(ALL)
                .long(ALL)
                .action(ArgAction::SetTrue)
                .help("Count the causes of all requests instead"),
        )
        .arg(
            Arg::new(SIZES)
                .long(SIZES)
                .action(ArgAction::SetTrue)
                .conflicts_with(ALL)
                .help("Compare the longest prompts of each route with the others instead"),
        )
        .arg(logs_argument())
}

/// Declares the log files to read.
pub(super) fn logs_argument() -> Arg {
    Arg::new(LOGS)
        .value_name("FILE")
        .action(ArgAction::Append)
        .num_args(0..)
        .help("Log files; standard input if none is given")
}

/// Reads the logs and prints what happened to the request, or statistics over all requests.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let first_argument: Option<&String> = matches.get_one(REQUEST_ID);
    let mut files: Vec<&String> = matches.get_many(LOGS).into_iter().flatten().collect();
    if matches.get_flag(ALL) || matches.get_flag(SIZES) {
        // No identifier is given here, so the first positional argument is a log file.
        files.splice(0..0, first_argument);
        let lines = read_logs(&files, &|text, file| {
            LogLine::parse_request_line(text, file)
        })?;
        let printed = match matches.get_flag(ALL) {
            true => write!(out, "{}", Summary::from_lines(lines)),
            false => write!(out, "{}", SizeReport::from_lines(lines)),
        };
        return printed.map_err(|error| io_error("standard output", &error));
    }
    let request_id = first_argument.expect("BUG: clap requires it");
    let lines = read_logs(&files, &|text, file| {
        LogLine::parse_for_request(text, request_id, file)
    })?;
    let trace = RequestTrace::from_lines(lines);
    let is_found = !trace.lines.is_empty();
    let printed = writeln!(out, "{trace}{}", describe(&trace));
    printed.map_err(|error| io_error("standard output", &error))?;
    match is_found {
        true => Ok(()),
        false => Err(Error::Failed(format!("{request_id} isn't in these logs"))),
    }
}

/// Parses a line of the file whose name is the second argument; `None` for lines to skip.
pub(super) type LineParser<'a> = &'a dyn Fn(&str, &str) -> Option<LogLine>;

pub(super) fn read_logs(files: &[&String], parser: LineParser<'_>) -> Result<Vec<LogLine>, Error> {
    let mut lines = Vec::new();
    for file in files {
        let opened = File::open(file).map_err(|error| io_error(file, &error))?;
        read_log(BufReader::new(opened), parser, file, &mut lines)?;
    }
    if files.is_empty() {
        read_log(stdin().lock(), parser, "-", &mut lines)?;
    }
    Ok(lines)
}

fn read_log(
    log: impl BufRead,
    parser: LineParser<'_>,
    file: &str,
    lines: &mut Vec<LogLine>,
) -> Result<(), Error> {
    // Invalid UTF-8, such as from a truncated line, affects only its own line.
    for line in log.split(b'\n') {
        let line = line.map_err(|error| io_error(file, &error))?;
        let line = String::from_utf8_lossy(&line);
        lines.extend(parser(&line, file));
    }
    Ok(())
}

pub(super) fn io_error(what: &str, error: &std::io::Error) -> Error {
    Error::Failed(format!("{what}: {error}"))
}
