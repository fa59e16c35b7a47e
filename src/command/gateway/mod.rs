//! `marigoldstage gateway`: runs the process of an entry host, to which callers connect.

mod number_settings;

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

use super::common;
use crate::error::Error;
use crate::setting::number;
use crate::setting::switch_argument;
use crate::setting::value_argument;
use crate::setting::SettingValues;
use crate::shutdown::ShutdownSignals;
use number_settings::NUMBER_SETTINGS;

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
  # on an entry host, behind the load balancer
  marigoldstage gateway --name gateway-1 --zone north-1 --listen 10.0.0.5:7100 \\
      --admin 10.0.0.5:7102 --platform http://10.0.0.2:7400

  # configured by environment variables
  MARIGOLDSTAGE_PLATFORM=http://10.0.0.2:7400 marigoldstage gateway

Point the load balancer's health check at /readyz of --admin: it fails until the settings are read,
and again once the process is asked to stop.
SIGTERM or SIGINT: /readyz fails, after --leave-grace-ms new requests are refused as not run, open
ones are finished within --drain-ms, then exit 0.
A second signal, or the end of that time, aborts the remaining ones: exit 1.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("gateway")
        .about("Run the process of an entry host, to which callers connect")
        .after_help(EXAMPLES)
        .args(identity_and_policy_arguments())
        .next_help_heading(common::PLATFORM_HEADING)
        .args(common::platform_arguments())
        .next_help_heading(common::OPERATORS_HEADING)
        .args(common::role_arguments("127.0.0.1:7102", "600000"))
        .next_help_heading(common::TUNING_HEADING)
        .arg(switch_argument(
            NO_HEDGE,
            "Never hedge: no second attempt of an idempotent request while a slow first one runs",
        ))
        .arg(switch_argument(
            NO_CONTROL,
            "Never acquire the controller's lease",
        ))
        .args(number::arguments(&NUMBER_SETTINGS))
        .args(common::bug_injection_arguments())
}

fn identity_and_policy_arguments() -> [Arg; 7] {
    [
        value_argument(
            NAME,
            "NAME",
            "Name of this process, unique among gateways [default: gateway-IP:PORT of --listen]",
        ),
        value_argument(ZONE, "ZONE", "Availability zone of this host").default_value("zone-1"),
        value_argument(LISTEN, "IP:PORT", "Address on which callers reach this process")
            .default_value("127.0.0.1:7100"),
        value_argument(
            PEER_LISTEN,
            "IP:PORT",
            "Address on which other gateways reach this process",
        )
        .default_value("127.0.0.1:7101"),
        value_argument(
            PEERS,
            "IP:PORT",
            "Peer addresses of other gateways, separated by commas, from which settings are read if the platform is unreachable at startup",
        )
        .action(ArgAction::Append)
        .value_delimiter(','),
        value_argument(POLICY, "NAME", format!("How endpoints are chosen: {}", policy::NAMES.join(", ")))
            .default_value(policy::NAMES[0]),
        value_argument(ADMISSION, "NAME", format!("How requests are queued: {}", queue::NAMES.join(", ")))
            .default_value(queue::NAMES[0]),
    ]
}

/// Runs the gateway until a signal, or until another process takes over its name, and drains it.
/// Fails if it can't start, if requests were aborted or if its name was taken over.
pub fn run(matches: &ArgMatches, _out: &mut dyn Write) -> Result<(), Error> {
    let mut values = SettingValues::new(matches);
    let role = common::role_options(&mut values);
    let platform = common::platform_options(&mut values);
    let options = gateway::Options {
        admin_listen: Some(role.admin_listen),
        platform: Some(Platform::over_http(platform)),
        plant: injected_bug(&mut values),
        ..gateway_options(&mut values)
    };
    values.finish()?;

    let mut signals = ShutdownSignals::new()?;
    let _logs = common::start_log(&role.logs)?;
    let gateway = Gateway::start(options).map_err(|error| Error::Failed(error.to_string()))?;
    let gateway = Arc::new(gateway);
    log::info!(
        address:% = gateway.address(),
        peer_address:% = common::address_or_none(gateway.peer_address()),
        admin_address:% = common::address_or_none(gateway.admin_address()),
        incarnation = gateway.incarnation();
        "gateway started"
    );
    signals.wait_or_until(|| gateway.core().is_superseded());
    let superseded = gateway.core().is_superseded();
    let drain_ms = role.drain_ms;
    signals.drain(drain_ms, move || {
        gateway.drain(drain_ms);
    })?;
    common::fail_if_superseded(superseded)
}

fn gateway_options(values: &mut SettingValues<'_>) -> gateway::Options {
    let listen = values.address(LISTEN);
    let mut options = gateway::Options {
        name: gateway_name(values, listen),
        zone: values.required_text(ZONE),
        listen,
        peer_listen: Some(values.advertised_address(PEER_LISTEN)),
        peers: values.addresses(PEERS),
        control: !values.is_set(NO_CONTROL),
        policy: one_of_names(values, POLICY, &policy::NAMES),
        admission: one_of_names(values, ADMISSION, &queue::NAMES),
        hedge: !values.is_set(NO_HEDGE),
        ..gateway::Options::default()
    };
    number::read(&NUMBER_SETTINGS, values, &mut options);
    options
}

/// Returns the configured name, or one derived from the listen address. There is no fixed default,
/// as two gateways with the same name would each treat the other as its successor.
fn gateway_name(values: &mut SettingValues<'_>, listen: SocketAddr) -> String {
    if values.optional_text(NAME).is_none() {
        return format!("gateway-{listen}");
    }
    values.required_text(NAME)
}

fn one_of_names(values: &mut SettingValues<'_>, flag: &str, names: &[&str]) -> String {
    let name = values.required_text(flag);
    if !names.contains(&name.as_str()) {
        values.reject(flag, format!("give one of {}", names.join(", ")));
    }
    name
}

fn injected_bug(values: &mut SettingValues<'_>) -> InjectedBug {
    let name = common::injected_bug_name(values);
    InjectedBug::from_name(&name).unwrap_or_else(|| {
        values.reject(
            common::PLANT,
            "a gateway has no deliberate bug of this name",
        );
        InjectedBug::None
    })
}
