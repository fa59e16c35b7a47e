//! Measures how the cost of control grows with the fleet. `--help` tells how.

use std::io;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::builder::PossibleValuesParser;
use clap::value_parser;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use mgs_testing::measure::control;
use mgs_testing::measure::control::Node;
use mgs_testing::measure::plot;
use mgs_testing::measure::slopes;
use mgs_testing::measure::slopes::Axis;
use mgs_testing::measure::slopes::Point;
use mgs_testing::measure::slopes::Report;
use mgs_testing::measure::system;
use mgs_testing::measure::Error;

fn command() -> Command {
    Command::new("slopes")
        .about("Measures how the cost of control grows with the fleet")
        .long_about(
            "Starts gateways and sidecars as processes, without any request, and measures what one \
             of each spends on control: payload bytes at the sockets, processor time, memory, and \
             calls of the platform. Fits a line to each along each count, and works out the value \
             at the size that the design is for. Build first: cargo build --release. Needs ss \
             (iproute2). The last line is JSON.",
        )
        .arg(
            Arg::new("binary")
                .long("binary")
                .help("The marigoldstage binary, if not the one beside this program")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("axis")
                .long("axis")
                .help("What grows, separated by commas; all if not given")
                .value_delimiter(',')
                .value_parser(PossibleValuesParser::new(slopes::AXES.map(Axis::name))),
        )
        .arg(number("settle-ms", "Time before each sample", "5000"))
        .arg(number("window-ms", "Time of each sample", "10000"))
        .arg(
            Arg::new("plot")
                .long("plot")
                .help("Where to write the plot, an SVG file")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn given(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("it has a default")
}

fn is_chosen(matches: &ArgMatches, axis: Axis) -> bool {
    let chosen = matches.get_many::<String>("axis");
    chosen.is_none_or(|mut names| names.any(|name| name == axis.name()))
}

fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let base = system::Options {
        binary: matches.get_one("binary").cloned(),
        ..system::Options::default()
    };
    let options = control::Options {
        settle_ms: given(matches, "settle-ms"),
        window_ms: given(matches, "window-ms"),
    };
    let mut report = Report::new();
    let mut measured = Vec::new();
    writeln!(
        out,
        "role     by             count    bytes/s  core share  resident MB  store ops/s"
    )?;
    for axis in slopes::AXES {
        if !is_chosen(matches, axis) {
            continue;
        }
        let mut points = Vec::new();
        for count in axis.counts() {
            let point = slopes::measure(axis, *count, &base, &options)?;
            rows(out, axis, &point)?;
            points.push(point);
        }
        report.extend(slopes::fit(axis, &points));
        measured.push((axis, points));
    }
    fits(out, &report)?;
    if let Some(path) = matches.get_one::<PathBuf>("plot") {
        plot::growth(path, &measured)?;
    }
    let json = serde_json::to_string(&report).map_err(io::Error::other)?;
    writeln!(out, "{json}")?;
    Ok(())
}

fn rows(out: &mut dyn Write, axis: Axis, point: &Point) -> io::Result<()> {
    for role in axis.roles() {
        let Node {
            control_bytes_per_s,
            cpu_share,
            resident_mb,
            store_ops_per_s,
        } = role.node(&point.sample);
        writeln!(
            out,
            "{:8} {:13} {:6} {control_bytes_per_s:10.0}  {cpu_share:10.4}  {resident_mb:11.1}  \
             {store_ops_per_s:11.2}  {:11.1}  {:8.1}",
            role.name(),
            axis.name(),
            point.count,
            point.sample.reads_per_s,
            point.sample.writes_per_s,
        )?;
    }
    out.flush()
}

fn fits(out: &mut dyn Write, report: &Report) -> io::Result<()> {
    writeln!(
        out,
        "{:26} {:20} {:>10} {:>12} {:>10} {:>8} {:>10} {:>8}",
        "line", "metric", "intercept", "slope", "error", "target", "at target", "budget"
    )?;
    for (name, growths) in report {
        for (metric, growth) in growths {
            writeln!(
                out,
                "{name:26} {metric:20} {:10.4} {:12.6} {:10.6} {:8.0} {:10.3} {:8.3}",
                growth.line.intercept,
                growth.line.slope_per_peer,
                growth.line.error,
                growth.target,
                growth.at_target,
                growth.budget
            )?;
        }
    }
    Ok(())
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
