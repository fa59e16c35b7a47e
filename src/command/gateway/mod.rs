//! `marigoldstage gateway`: the entry host's process, which callers talk to.

mod numbers;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use mgs_admission::queue;
use mgs_gateway::duty::Platform;
use mgs_gateway::gateway;
use mgs_gateway::gateway::Gateway;
use mgs_request::injected_bug::InjectedBug;
use mgs_routing::policy;

use super::process;
use crate::error::Error;
use crate::setting::number;
use crate::setting::switch;
use crate::setting::value;
use crate::setting::Values;
use crate::stop::Stop;
use numbers::NUMBERS;

const NAME: &str = "name";
const ZONE: &str = "zone";
const LISTEN: &str = "listen";
const PEER_LISTEN: &str = "peer-listen";
const PEERS: &str = "peers";
const POLICY: &str = "policy";
const ADMISSION: &str = "admission";
const NO_CONTROL: &str = "no-control";
const NO_HEDGE: &str = "no-hedge";

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
        .next_help_heading(process::PLATFORM_HEADING)
        .args(process::platform_arguments())
        .next_help_heading(process::OPERATORS_HEADING)
        .args(process::arguments("127.0.0.1:7102", "600000"))
        .next_help_heading(process::TUNING_HEADING)
        .arg(switch(
            NO_HEDGE,
            "Never attempt an idempotent request beside a slow first attempt",
        ))
        .arg(switch(NO_CONTROL, "Never hold the controller's lease"))
        .args(number::arguments(&NUMBERS))
        .args(process::plant_arguments())
}

fn host_arguments() -> [Arg; 7] {
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
            PEERS,
            "IP:PORT",
            "Peer addresses of other gateways, by commas, asked for settings at a start without the platform",
        )
        .action(ArgAction::Append)
        .value_delimiter(','),
        value(POLICY, "NAME", format!("How endpoints are chosen: {}", policy::NAMES.join(", ")))
            .default_value(policy::NAMES[0]),
        value(ADMISSION, "NAME", format!("How requests are queued: {}", queue::NAMES.join(", ")))
            .default_value(queue::NAMES[0]),
    ]
}

/// Runs until a signal.
pub fn run(matches: &ArgMatches, _out: &mut dyn Write) -> Result<(), Error> {
    let mut values = Values::new(matches);
    let process = process::options(&mut values);
    let platform = process::platform_options(&mut values);
    let options = gateway::Options {
        admin_listen: Some(process.admin),
        platform: Some(Platform::over_http(platform)),
        plant: plant(&mut values),
        ..gateway_options(&mut values)
    };
    values.finish()?;

    let mut stop = Stop::new()?;
    let _logs = process::start_log(&process.logs)?;
    let gateway = Gateway::start(options).map_err(|error| Error::Failed(error.to_string()))?;
    let gateway = Arc::new(gateway);
    log::info!(
        address:% = gateway.address(),
        peer_address:% = process::shown(gateway.peer_address()),
        admin_address:% = process::shown(gateway.admin_address()),
        incarnation = gateway.incarnation();
        "gateway started"
    );
    stop.wait_unless(|| gateway.core().is_superseded());
    let superseded = gateway.core().is_superseded();
    let drain_ms = process.drain_ms;
    stop.drain(drain_ms, move || {
        gateway.drain(drain_ms);
    })?;
    process::check_name(superseded)
}

fn gateway_options(values: &mut Values<'_>) -> gateway::Options {
    let listen = values.address(LISTEN);
    let mut options = gateway::Options {
        name: name(values, listen),
        zone: values.text(ZONE),
        listen,
        peer_listen: Some(values.told_address(PEER_LISTEN)),
        peers: values.addresses(PEERS),
        control: !values.switch(NO_CONTROL),
        policy: one_of(values, POLICY, &policy::NAMES),
        admission: one_of(values, ADMISSION, &queue::NAMES),
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

fn one_of(values: &mut Values<'_>, flag: &str, names: &[&str]) -> String {
    let name = values.text(flag);
    if !names.contains(&name.as_str()) {
        values.fault(flag, format!("give one of {}", names.join(", ")));
    }
    name
}

fn plant(values: &mut Values<'_>) -> InjectedBug {
    let name = process::plant_name(values);
    InjectedBug::from_name(&name).unwrap_or_else(|| {
        values.fault(process::PLANT, "no such deliberate bug in a gateway");
        InjectedBug::None
    })
}
