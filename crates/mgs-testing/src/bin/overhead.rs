//! Measures what gateway and sidecar add to a call of the engine, and what a gateway spends on
//! many open streams. `--help` tells how.

use std::io;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::value_parser;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use mgs_testing::argument::given;
use mgs_testing::argument::number;
use mgs_testing::measure::open;
use mgs_testing::measure::overhead;
use mgs_testing::measure::overhead::Spread;
use mgs_testing::measure::system;
use mgs_testing::measure::system::System;
use mgs_testing::measure::Error;
use serde_json::json;

/// Time of a decode step while the two ways are compared, in milliseconds.
const COMPARED_STEP_MS: f64 = 5.0;

fn command() -> Command {
    Command::new("overhead")
        .about("Measures what gateway and sidecar add to a call of the engine")
        .long_about(
            "Starts one gateway and one sidecar as processes, and an engine's stand-in. Sends the \
             same requests in turns to the engine itself and through both, and then keeps 1, 100 \
             and 1,000 streams open at the gateway. Build first: cargo build --release. The last \
             line is JSON.",
        )
        .arg(
            Arg::new("binary")
                .long("binary")
                .help("The marigoldstage binary, if not the one beside this program")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(number(
            "requests",
            "Requests on each of the two ways",
            "300",
        ))
        .arg(number(
            "measure-ms",
            "Time of each measurement with open streams",
            "8000",
        ))
        .arg(number("step-ms", "Decode step with open streams", "50"))
        .arg(
            Arg::new("streams")
                .long("streams")
                .help("Open streams, separated by commas")
                .default_value("1,100,1000")
                .value_delimiter(',')
                .value_parser(value_parser!(usize)),
        )
}

fn start(matches: &ArgMatches, decode_step_ms: f64) -> Result<System, Error> {
    System::start(&system::Options {
        binary: matches.get_one("binary").cloned(),
        engine: overhead::engine_options(decode_step_ms),
        gateway_arguments: flags(&["--open-max", "4096"]),
        sidecar_arguments: flags(&["--running-max", "4096", "--waiting-max", "4096"]),
        ..system::Options::default()
    })
}

fn flags(flags: &[&str]) -> Vec<String> {
    flags.iter().map(ToString::to_string).collect()
}

/// Sends the same requests both ways, to a system of its own.
fn compare(matches: &ArgMatches, out: &mut dyn Write) -> Result<overhead::Outcome, Error> {
    let system = start(matches, COMPARED_STEP_MS)?;
    let options = overhead::Options {
        requests: given(matches, "requests") as usize,
        ..overhead::Options::default()
    };
    let compared = overhead::run(&system, &options)?;
    writeln!(out, "time in ms                    p1      p50      p99")?;
    line(out, "first token, engine", compared.direct.first_token)?;
    line(
        out,
        "first token, through both",
        compared.through.first_token,
    )?;
    line(out, "token gap, engine", compared.direct.gap)?;
    line(out, "token gap, through both", compared.through.gap)?;
    Ok(compared)
}

/// Keeps each count of streams open in turn.
fn hold_open(
    matches: &ArgMatches,
    step_ms: f64,
    out: &mut dyn Write,
) -> Result<Vec<open::Outcome>, Error> {
    let system = start(matches, step_ms)?;
    writeln!(
        out,
        "streams  requests/s  tokens/s  failed  gateway MB  threads  core share  ms/request  sidecar MB  threads"
    )?;
    let mut outcomes = Vec::new();
    for streams in matches.get_many("streams").expect("it has a default") {
        let outcome = open::run(
            &system,
            &open::Options {
                streams: *streams,
                prompt_tokens: 1_000,
                answer_tokens: 20,
                settle_ms: 4_000,
                measure_ms: given(matches, "measure-ms"),
            },
        )?;
        row(out, &outcome)?;
        outcomes.push(outcome);
    }
    Ok(outcomes)
}

fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let compared = compare(matches, out)?;
    let step_ms = given(matches, "step-ms") as f64;
    let outcomes = hold_open(matches, step_ms, out)?;
    let report = json!({
        "compared": compared,
        "compared_step_ms": COMPARED_STEP_MS,
        "open_step_ms": step_ms,
        "open": outcomes,
    });
    writeln!(out, "{report}")?;
    Ok(())
}

fn line(out: &mut dyn Write, name: &str, spread: Spread) -> io::Result<()> {
    let Spread {
        p1_ms,
        p50_ms,
        p99_ms,
    } = spread;
    writeln!(out, "{name:26}{p1_ms:8.2} {p50_ms:8.2} {p99_ms:8.2}")
}

fn row(out: &mut dyn Write, outcome: &open::Outcome) -> io::Result<()> {
    writeln!(
        out,
        "{:7}  {:10.1}  {:8.0}  {:6}  {:10.1}  {:7}  {:10.3}  {:10.3}  {:10.1}  {:7}",
        outcome.streams,
        outcome.requests_per_s,
        outcome.tokens_per_s,
        outcome.failed,
        outcome.gateway_resident_mb,
        outcome.gateway_threads,
        outcome.gateway_cpu_share,
        outcome.gateway_cpu_ms_per_request,
        outcome.sidecar_resident_mb,
        outcome.sidecar_threads
    )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Nothing is left to do when the error can't be written.
            let _ = writeln!(io::stderr(), "{error}");
            ExitCode::FAILURE
        }
    }
}
