//! `marigoldstage explain`: what happened to one request, from the logs of the gateways.

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

const REQUEST: &str = "request-id";
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
taken for its source. Prints the request's lines in order of time and then why it ended as it did. Exit
code 1 if no line names it. Times are those of each host's own clock. With --all, counts by route why
requests weren't on time; with --sizes, tells by route whether the longest are answered as often as the others.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("explain")
        .about("Tell what happened to one request, from the logs of the gateways")
        .after_help(EXAMPLES)
        .arg(
            Arg::new(REQUEST)
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

/// The files that are read.
pub(super) fn logs_argument() -> Arg {
    Arg::new(LOGS)
        .value_name("FILE")
        .action(ArgAction::Append)
        .num_args(0..)
        .help("Logs; standard input without any")
}

/// Reads the logs and prints the story.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let first: Option<&String> = matches.get_one(REQUEST);
    let mut files: Vec<&String> = matches.get_many(LOGS).into_iter().flatten().collect();
    if matches.get_flag(ALL) || matches.get_flag(SIZES) {
        // Without an identifier, what stands in its place is the first file.
        files.splice(0..0, first);
        let lines = read_all(&files, &|text, file| {
            LogLine::parse_request_line(text, file)
        })?;
        let told = match matches.get_flag(ALL) {
            true => write!(out, "{}", Summary::from_lines(lines)),
            false => write!(out, "{}", SizeReport::from_lines(lines)),
        };
        return told.map_err(|error| failed("standard output", &error));
    }
    let request_id = first.expect("BUG: clap requires it");
    let lines = read_all(&files, &|text, file| {
        LogLine::parse_for_request(text, request_id, file)
    })?;
    let trace = RequestTrace::from_lines(lines);
    let is_known = !trace.lines.is_empty();
    let told = writeln!(out, "{trace}{}", describe(&trace));
    told.map_err(|error| failed("standard output", &error))?;
    match is_known {
        true => Ok(()),
        false => Err(Error::Failed(format!("{request_id} isn't in these logs"))),
    }
}

/// Understands a line of a file, or passes it over.
pub(super) type Reader<'a> = &'a dyn Fn(&str, &str) -> Option<LogLine>;

pub(super) fn read_all(files: &[&String], reader: Reader<'_>) -> Result<Vec<LogLine>, Error> {
    let mut lines = Vec::new();
    for file in files {
        let opened = File::open(file).map_err(|error| failed(file, &error))?;
        read(BufReader::new(opened), reader, file, &mut lines)?;
    }
    if files.is_empty() {
        read(stdin().lock(), reader, "-", &mut lines)?;
    }
    Ok(lines)
}

fn read(
    log: impl BufRead,
    reader: Reader<'_>,
    file: &str,
    lines: &mut Vec<LogLine>,
) -> Result<(), Error> {
    // Bytes that are no text, as of a line that was cut, spoil their own line only.
    for line in log.split(b'\n') {
        let line = line.map_err(|error| failed(file, &error))?;
        let line = String::from_utf8_lossy(&line);
        lines.extend(reader(&line, file));
    }
    Ok(())
}

pub(super) fn failed(what: &str, error: &std::io::Error) -> Error {
    Error::Failed(format!("{what}: {error}"))
}
