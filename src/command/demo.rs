//! `marigoldstage demo`: runs the whole system in one process, under a mixed load.

use std::io::Write;
use std::net::SocketAddr;

use clap::ArgMatches;
use clap::Command;

use super::common;
use crate::demo;
use crate::demo::fleet;
use crate::demo::fleet::Fleet;
use crate::demo::load::Target;
use crate::demo::plan;
use crate::error::Error;
use crate::setting::switch_argument;
use crate::setting::value_argument;
use crate::setting::SettingValues;
use crate::shutdown::ShutdownSignals;

const SERVE: &str = "serve";
const LISTEN: &str = "listen";
const LOAD_MS: &str = "load-ms";
const REQUESTS_PER_S: &str = "requests-per-s";
const SEED: &str = "seed";
const ENGINES: &str = "engines";
const TIME_SCALE: &str = "time-scale";

const EXAMPLES: &str = "\
Examples:
  marigoldstage demo                                  10 seconds of mixed load
  marigoldstage demo --load-ms 60000 --requests-per-s 30
  marigoldstage demo --serve --listen 127.0.0.1:7100  keep running and print commands to try

It starts 2 gateways, 4 engines with their sidecars in 2 availability zones, a plain service and
the platform, all in this process, on loopback sockets. Engines and platform are stand-ins: answers
are meaningless words, and times are those of a fixed cost model, sped up by --time-scale.

Each engine holds 450k tokens: longer prompts are spread over several engines, the longest over
three. With fewer engines than a prompt needs, it is refused.

The load: prompts of 1k to 1M tokens from 4 organisations; answers streamed, whole, or kept and
fetched later; calls of the plain service; a quarter are non-idempotent, and some of those are sent
to both gateways at once under one Idempotency-Key.

The last line of standard output is JSON:
  admitted   requests that the gateways admitted; one sent to both may count at both
  answered   callers that got the whole answer, equal to what the engine produced
  refused    callers told that their request was not run
  failed     callers told that it ran, or partly ran, without a whole answer
  unknown    callers told that it may have run
  lost       requests that were sent and got no outcome
  ran_twice  non-idempotent requests that the endpoints ran more than once, by the endpoints' own count
Exit code 1 if lost or ran_twice is not 0.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about("Run the whole system in this process, under a mixed load")
        .after_help(EXAMPLES)
        .arg(switch_argument(
            SERVE,
            "Send no load; run until a signal and print commands to try",
        ))
        .arg(
            value_argument(
                LISTEN,
                "IP:PORT",
                "Address the first gateway listens on; port 0 picks a free one",
            )
            .default_value("127.0.0.1:0"),
        )
        .arg(
            value_argument(LOAD_MS, "MS", "Duration over which requests are sent")
                .default_value("10000"),
        )
        .arg(value_argument(REQUESTS_PER_S, "N", "Requests sent per second").default_value("20"))
        .arg(
            value_argument(
                SEED,
                "N",
                "Seed of the load; the same seed sends the same requests",
            )
            .default_value("1"),
        )
        .arg(value_argument(ENGINES, "N", "Engines, each with its sidecar").default_value("4"))
        .arg(
            value_argument(
                TIME_SCALE,
                "X",
                "Factor by which engines run faster than the cost model",
            )
            .default_value("20"),
        )
        .arg(common::log_argument().default_value("error"))
}

/// Runs the demonstration; fails if a request was lost or ran twice.
pub fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<(), Error> {
    let mut values = SettingValues::new(matches);
    let logs = common::log_options(&mut values);
    let options = options(&mut values);
    let serve_only = values.is_set(SERVE);
    values.finish()?;

    let _logs = common::start_log(&logs)?;
    if serve_only {
        return serve(options, out);
    }
    let summary = demo::run(options, out)?;
    if summary.is_clean() {
        return Ok(());
    }
    let text = format!("{} lost, {} ran twice", summary.lost, summary.ran_twice);
    Err(Error::Failed(text))
}

fn options(values: &mut SettingValues<'_>) -> demo::Options {
    let first_gateway = values.address(LISTEN);
    let second_gateway = SocketAddr::from(([127, 0, 0, 1], 0));
    demo::Options {
        fleet: fleet::Options {
            gateways: vec![first_gateway, second_gateway],
            engines: values.number(ENGINES, 1..=64),
            time_scale: values.number(TIME_SCALE, 0.01..=1_000.0),
            ..fleet::Options::default()
        },
        plan: plan::Options {
            load_ms: values.number(LOAD_MS, 1..=86_400_000),
            requests_per_s: values.number(REQUESTS_PER_S, 0.1..=10_000.0),
            seed: values.number(SEED, 0..=u64::MAX),
        },
    }
}

fn serve(options: demo::Options, out: &mut dyn Write) -> Result<(), Error> {
    let mut signals = ShutdownSignals::new()?;
    let fleet = Fleet::start(options.fleet)?;
    writeln!(out, "up: {}; stop with Ctrl-C", fleet.describe())?;
    writeln!(out, "\nas an operator, in another shell:")?;
    let program = program_path();
    let admin: Vec<String> = fleet
        .admin_addresses()
        .iter()
        .map(ToString::to_string)
        .collect();
    writeln!(out, "{program} status --admin-address {}", admin.join(","))?;
    let platform = fleet.platform_url();
    writeln!(out, "{program} table show --platform {platform}")?;
    writeln!(
        out,
        "{program} table set '*' query weight=8 --wait --platform {platform}"
    )?;
    writeln!(out, "\nas a caller:")?;
    writeln!(out, "{}", curl_command(&fleet.target()))?;
    out.flush()?;
    signals.wait();
    Ok(())
}

/// Path of this program, or its bare name if the path is unknown or not UTF-8.
fn program_path() -> String {
    let path = std::env::current_exe().ok();
    let path = path.and_then(|path| path.into_os_string().into_string().ok());
    path.unwrap_or_else(|| "marigoldstage".to_string())
}

fn curl_command(target: &Target) -> String {
    format!(
        "curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {}' \
         -H 'Request-Kind: {}' -H 'Content-Type: application/json' \
         -d '{{\"model\":\"{}\",\"stream\":true,\"max_tokens\":16,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
        target.gateways[0],
        target.bearer_keys[0],
        plan::KINDS[0].name,
        plan::MODEL,
    )
}
