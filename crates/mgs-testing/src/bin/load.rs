//! Offers a fixed load to a whole deployment under several policies, and measures them side by
//! side. `--help` tells how.

use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::builder::PossibleValuesParser;
use clap::value_parser;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use displaydoc::Display;
use mgs_routing::policy;
use mgs_testing::load::cluster;
use mgs_testing::load::cluster::Cluster;
use mgs_testing::load::figures;
use mgs_testing::load::plot;
use mgs_testing::load::report;
use mgs_testing::load::report::Named;
use mgs_testing::load::run;
use mgs_testing::load::run::Sample;
use mgs_testing::load::scenario;
use mgs_testing::load::scenario::Options;
use mgs_testing::load::scenario::Scenario;
use mgs_testing::load::workload;
use mgs_testing::load::workload::Arrival;

/// Why there are no figures.
#[derive(Debug, Display)]
enum Error {
    /// the deployment can't start: {0}
    Cluster(cluster::Error),
    /// {0}
    Plot(plot::Error),
    /// can't write: {0}
    Write(io::Error),
}

fn command() -> Command {
    Command::new("load")
        .about("Offers a fixed load to a whole deployment and measures each policy")
        .long_about(
            "Starts gateways, sidecars and stand-in engines in this process, with real sockets on \
             loopback, offers each policy the same arrivals, and prints what callers saw. Arrivals \
             don't wait for answers, and times run from the intended arrival. The last line is JSON.",
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .default_value("sahel")
                .value_parser(PossibleValuesParser::new(scenario::NAMES)),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .help("Policies, separated by commas")
                .value_delimiter(',')
                .default_values(policy::NAMES)
                .value_parser(PossibleValuesParser::new(policy::NAMES)),
        )
        .arg(number("seed", "1", "Seed of the arrivals").value_parser(value_parser!(u64)))
        .arg(
            number("seconds", "60", "Length of a run, in the model's seconds")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            number("time-scale", "2", "How much faster than the model everything runs")
                .value_parser(value_parser!(f64)),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .help("Directory for plots and the table")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn options(matches: &ArgMatches) -> Options {
    let defaults = Options::default();
    let one = |name: &str| matches.get_one::<f64>(name).copied();
    let name = matches.get_one::<String>("scenario");
    let scenario = name.and_then(|name| name.parse::<Scenario>().ok());
    let policies = matches.get_many::<String>("policy");
    Options {
        scenario: scenario.unwrap_or(defaults.scenario),
        policies: policies.map_or(defaults.policies, |names| names.cloned().collect()),
        seed: matches.get_one("seed").copied().unwrap_or(defaults.seed),
        run_s: one("seconds").unwrap_or(defaults.run_s),
        time_scale: one("time-scale").unwrap_or(defaults.time_scale),
        ..defaults
    }
}

fn measure(options: &Options, policy: &str, arrivals: &[Arrival]) -> Result<Vec<Sample>, Error> {
    let cluster = Cluster::start(options, policy).map_err(Error::Cluster)?;
    Ok(run::offer(&Arc::new(cluster), options, arrivals))
}

/// Offers all arrivals, then only the short ones of the first phase, to a fresh deployment each.
fn policy(options: &Options, policy: &str, out: Option<&Path>) -> Result<Named, Error> {
    let arrivals = workload::generate(options);
    let samples = measure(options, policy, &arrivals)?;
    let is_alone = |a: &&Arrival| a.is_short() && a.phase == 0;
    let alone: Vec<Arrival> = arrivals.iter().filter(is_alone).copied().collect();
    let alone = figures::short(&measure(options, policy, &alone)?, options);
    let mut figures = figures::figures(&samples, options);
    let beside = figures
        .phases
        .first()
        .map_or(figures.short, |phase| phase.short);
    let beside = if figures.phases.len() > 1 {
        beside
    } else {
        figures.short
    };
    figures.short_slowdown_p95 = beside.p95_ms as f64 / alone.p95_ms.max(1) as f64;
    if let Some(out) = out {
        let path = out.join(format!("requests-{policy}.svg"));
        plot::requests(&path, policy, &samples, options).map_err(Error::Plot)?;
    }
    Ok(Named {
        name: policy.to_owned(),
        figures,
    })
}

fn all(options: &Options, out: Option<&Path>) -> Result<(), Error> {
    if let Some(out) = out {
        std::fs::create_dir_all(out).map_err(Error::Write)?;
    }
    let mut named = Vec::new();
    for name in &options.policies {
        named.push(policy(options, name, out)?);
    }
    let table = report::table(options, &named);
    let json = report::json(&named);
    if let Some(out) = out {
        plot::bands(&out.join("bands.svg"), &named).map_err(Error::Plot)?;
        std::fs::write(out.join("report.txt"), &table).map_err(Error::Write)?;
        std::fs::write(out.join("report.json"), &json).map_err(Error::Write)?;
    }
    writeln!(io::stdout(), "{table}\n{json}").map_err(Error::Write)
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let out = matches.get_one::<PathBuf>("out").map(PathBuf::as_path);
    match all(&options(&matches), out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Without a stderr there is nobody to tell.
            let _ = writeln!(io::stderr(), "{error}");
            ExitCode::FAILURE
        }
    }
}
