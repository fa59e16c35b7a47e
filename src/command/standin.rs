//! `marigoldstage standin`: runs an in-memory substitute for an engine, a plain service or the
//! platform, for trials.

use std::io::Write;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use mgs_standin::engine;
use mgs_standin::engine::Engine;
use mgs_standin::platform;
use mgs_standin::platform::faults;
use mgs_standin::platform::Platform;
use mgs_standin::service;
use mgs_standin::service::Service;

use super::common;
use crate::error::Error;
use crate::setting::switch_argument;
use crate::setting::value_argument;
use crate::setting::SettingValues;
use crate::shutdown::ShutdownSignals;

const LISTEN: &str = "listen";
const DELAY_MS: &str = "delay-ms";
const HOSTS_LAG_MS: &str = "hosts-lag-ms";
const MODELS: &str = "models";
const KV_CAPACITY: &str = "kv-capacity-tokens";
const PREFILL_RATE: &str = "prefill-tokens-per-s";
const DECODE_STEP_MS: &str = "decode-step-ms";
const TIME_SCALE: &str = "time-scale";
const IGNORE_FENCING: &str = "ignore-fencing";
const OUTAGE: &str = "outage";

const DELAY_MS_MAX: u64 = 3_600_000;

const EXAMPLES: &str = "\
Examples:
  marigoldstage standin platform --listen 127.0.0.1:7400
  marigoldstage standin engine --listen 127.0.0.1:7500 --kv-capacity-tokens 2000000
  marigoldstage standin service --listen 127.0.0.1:7600 --delay-ms 20

A stand-in keeps its state in memory only and loses it when it exits. It isn't meant for deployments.
Its first line on standard output is its base address.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("standin")
        .about("Run a stand-in for an engine, a plain service or the platform, for trials")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(engine_command())
        .subcommand(service_command())
        .subcommand(platform_command())
}

/// Runs the stand-in until a signal; fails if it can't listen on its address.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("engine", matches)) => run_engine(matches, out),
        Some(("service", matches)) => run_service(matches, out),
        Some(("platform", matches)) => run_platform(matches, out),
        _ => unreachable!("BUG: the parser requires one of them"),
    }
}

fn listen_argument(default: &'static str) -> Arg {
    value_argument(
        LISTEN,
        "IP:PORT",
        "Address to listen on; port 0 picks a free one",
    )
    .default_value(default)
}

fn engine_command() -> Command {
    Command::new("engine")
        .about("A model engine with a fixed cost model; its answers are meaningless words")
        .arg(listen_argument("127.0.0.1:7500"))
        .arg(
            value_argument(MODELS, "NAMES", "Models served, separated by commas")
                .default_value("model-a"),
        )
        .arg(
            value_argument(KV_CAPACITY, "N", "Total KV cache memory, in tokens")
                .default_value("400000"),
        )
        .arg(
            value_argument(PREFILL_RATE, "N", "Prompt tokens processed per second")
                .default_value("20000"),
        )
        .arg(
            value_argument(
                DECODE_STEP_MS,
                "MS",
                "Duration of a decode step, for any batch size",
            )
            .default_value("12"),
        )
        .arg(
            value_argument(
                TIME_SCALE,
                "X",
                "Factor by which it runs faster than these times",
            )
            .default_value("1"),
        )
        .arg(switch_argument(
            IGNORE_FENCING,
            "Accept orders with any fencing number",
        ))
        .arg(common::log_argument())
}

fn run_engine(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let mut values = SettingValues::new(matches);
    let logs = common::log_options(&mut values);
    let models = values.required_text(MODELS);
    let options = engine::Options {
        listen: values.address(LISTEN).to_string(),
        models: models
            .split(',')
            .map(|name| name.trim().to_string())
            .collect(),
        kv_capacity_tokens: values.number(KV_CAPACITY, 1..=1_000_000_000),
        prefill_tokens_per_s: values.number(PREFILL_RATE, 1.0..=1e9),
        decode_step_ms: values.number(DECODE_STEP_MS, 0.0..=60_000.0),
        time_scale: values.number(TIME_SCALE, 0.01..=1_000.0),
        check_fencing: !values.is_set(IGNORE_FENCING),
        ..engine::Options::default()
    };
    values.finish()?;

    let mut signals = ShutdownSignals::new()?;
    let _logs = common::start_log(&logs)?;
    let engine = Engine::start(options.clone()).map_err(|e| bind_error(&options.listen, &e))?;
    print_url(out, &engine.url())?;
    signals.wait();
    Ok(())
}

fn service_command() -> Command {
    Command::new("service")
        .about("A plain service that answers each call with the number of times it has run it")
        .arg(listen_argument("127.0.0.1:7600"))
        .arg(value_argument(DELAY_MS, "MS", "Duration of a call").default_value("0"))
        .arg(common::log_argument())
}

fn run_service(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let mut values = SettingValues::new(matches);
    let logs = common::log_options(&mut values);
    let options = service::Options {
        listen: values.address(LISTEN).to_string(),
        delay_ms: values.number(DELAY_MS, 0..=DELAY_MS_MAX),
    };
    values.finish()?;

    let mut signals = ShutdownSignals::new()?;
    let _logs = common::start_log(&logs)?;
    let service = Service::start(options.clone()).map_err(|e| bind_error(&options.listen, &e))?;
    print_url(out, &service.url())?;
    signals.wait();
    Ok(())
}

fn platform_command() -> Command {
    Command::new("platform")
        .about("The platform's table service, object store, weight store and list of hosts")
        .arg(listen_argument("127.0.0.1:7400"))
        .arg(
            value_argument(
                HOSTS_LAG_MS,
                "MS",
                "Delay before a change in the list of hosts becomes visible",
            )
            .default_value("0"),
        )
        .arg(value_argument(DELAY_MS, "MS", "Delay before a call takes effect").default_value("0"))
        .arg(switch_argument(
            OUTAGE,
            "Start in an outage; POST /faults ends it",
        ))
        .arg(common::log_argument())
}

fn run_platform(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let mut values = SettingValues::new(matches);
    let logs = common::log_options(&mut values);
    let options = platform::Options {
        listen: values.address(LISTEN).to_string(),
        hosts_lag_ms: values.number(HOSTS_LAG_MS, 0..=DELAY_MS_MAX),
        faults: faults::Settings {
            outage: values.is_set(OUTAGE),
            delay_ms: values.number(DELAY_MS, 0..=DELAY_MS_MAX),
            ..faults::Settings::default()
        },
        ..platform::Options::default()
    };
    values.finish()?;

    let mut signals = ShutdownSignals::new()?;
    let _logs = common::start_log(&logs)?;
    let platform = Platform::start(options.clone()).map_err(|e| bind_error(&options.listen, &e))?;
    print_url(out, &platform.url())?;
    signals.wait();
    Ok(())
}

fn print_url(out: &mut dyn Write, url: &str) -> Result<(), Error> {
    writeln!(out, "{url}")?;
    out.flush()?;
    Ok(())
}

fn bind_error(listen: &str, error: &std::io::Error) -> Error {
    Error::Failed(format!(
        "can't listen on {listen}: {error}; give another --listen"
    ))
}
