//! `marigoldstage gateway`: the entry host's process, which callers talk to.

mod numbers;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use mgs_gateway::gateway;
use mgs_request::plant::Plant;
use mgs_routing::policy;
use mgs_settings::follow;

use super::process;
use crate::error::Error;
use crate::role::gateway::Options;
use crate::role::gateway::Running;
use crate::setting::number;
use crate::setting::number::MS_MAX;
use crate::setting::switch;
use crate::setting::value;
use crate::setting::Values;
use crate::stop::Stop;
use numbers::NUMBERS;

const NAME: &str = "name";
const ZONE: &str = "zone";
const LISTEN: &str = "listen";
const PEER_LISTEN: &str = "peer-listen";
const POLICY: &str = "policy";
const NO_HEDGE: &str = "no-hedge";
const POLL_INTERVAL_MS: &str = "settings-poll-interval-ms";
const POLL_READS_PER_S: &str = "settings-reads-per-s";

const EXAMPLES: &str = "\
Examples:
  # on an entry host, behind the balancer
  marigoldstage gateway --name gateway-1 --zone north-1 --listen 10.0.0.5:7100 \\
      --admin 10.0.0.5:7102 --platform http://10.0.0.2:7400

  # by environment
  MARIGOLDSTAGE_PLATFORM=http://10.0.0.2:7400 marigoldstage gateway

Point the balancer's check at /readyz of --admin: it fails until the settings are read, and again
from the signal to stop on.
SIGTERM or SIGINT: /readyz fails, after --leave-grace-ms new requests are refused as not run, what
is open is finished within --drain-ms, then exit 0.
A second signal, or the end of that time, cuts the rest off: exit 1.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("gateway")
        .about("Run the entry host's process, which callers talk to")
        .after_help(EXAMPLES)
        .args(host_arguments())
        .args(number::arguments(&NUMBERS))
        .arg(switch(
            NO_HEDGE,
            "Never attempt an idempotent request beside a slow first attempt",
        ))
        .args(settings_arguments())
        .args(process::platform_arguments())
        .args(process::arguments("127.0.0.1:7102", "600000"))
        .args(process::plant_arguments())
}

fn host_arguments() -> [Arg; 5] {
    [
        value(
            NAME,
            "NAME",
            "Name of this process, unique among gateways [default: gateway-IP:PORT of --listen]",
        ),
        value(ZONE, "ZONE", "Availability zone of this host").default_value("zone-1"),
        value(LISTEN, "IP:PORT", "Where callers reach this process")
            .default_value("127.0.0.1:7100"),
        value(
            PEER_LISTEN,
            "IP:PORT",
            "Where other gateways reach this process",
        )
        .default_value("127.0.0.1:7101"),
        value(
            POLICY,
            "NAME",
            "How endpoints are chosen: marigold, round-robin, least-outstanding or prefix-affinity",
        )
        .default_value(policy::NAMES[0]),
    ]
}

fn settings_arguments() -> [Arg; 2] {
    [
        value(
            POLL_INTERVAL_MS,
            "MS",
            "Time between looks for edits of the settings",
        )
        .default_value("1000"),
        value(
            POLL_READS_PER_S,
            "N",
            "Reads per second that all gateways together spend on them",
        )
        .default_value("200"),
    ]
}

/// Runs until a signal.
pub fn run(matches: &ArgMatches, _out: &mut dyn Write) -> Result<(), Error> {
    let mut values = Values::new(matches);
    let process = process::options(&mut values);
    let options = Options {
        gateway: gateway::Options {
            admin_listen: Some(process.admin),
            plant: plant(&mut values),
            ..gateway_options(&mut values)
        },
        platform: process::platform_options(&mut values),
        follow: follow::Options {
            poll_interval_ms: values.number(POLL_INTERVAL_MS, 10..=MS_MAX),
            reads_per_s: values.number(POLL_READS_PER_S, 1..=100_000),
        },
    };
    values.finish()?;

    let mut stop = Stop::new()?;
    let _logs = process::start_log(&process.logs)?;
    let running = Arc::new(Running::start(options)?);
    let gateway = running.gateway();
    log::info!(
        address:% = gateway.address(),
        admin_address:? = gateway.admin_address(),
        incarnation = gateway.incarnation();
        "gateway started"
    );
    stop.wait();
    let drain_ms = process.drain_ms;
    let draining = running.clone();
    stop.drain(drain_ms, move || {
        draining.gateway().drain(drain_ms);
    })
}

fn gateway_options(values: &mut Values<'_>) -> gateway::Options {
    let listen = values.address(LISTEN);
    let mut options = gateway::Options {
        name: name(values, listen),
        zone: values.text(ZONE),
        listen,
        peer_listen: Some(values.address(PEER_LISTEN)),
        policy: policy_name(values),
        hedge: !values.switch(NO_HEDGE),
        ..gateway::Options::default()
    };
    number::read(&NUMBERS, values, &mut options);
    options
}

/// Two gateways of one name would each take the other for its successor, so no fixed default.
fn name(values: &mut Values<'_>, listen: SocketAddr) -> String {
    if values.optional(NAME).is_none() {
        return format!("gateway-{listen}");
    }
    values.text(NAME)
}

fn policy_name(values: &mut Values<'_>) -> String {
    let name = values.text(POLICY);
    if !policy::NAMES.contains(&name.as_str()) {
        values.fault(POLICY, format!("give one of {}", policy::NAMES.join(", ")));
    }
    name
}

fn plant(values: &mut Values<'_>) -> Plant {
    let name = process::plant_name(values);
    Plant::from_name(&name).unwrap_or_else(|| {
        values.fault(process::PLANT, "no such deliberate bug in a gateway");
        Plant::None
    })
}
