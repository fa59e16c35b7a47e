//! `marigoldstage sidecar`: runs the process beside one endpoint, through which all its calls go.

mod number_settings;

use std::io::Write;
use std::sync::Arc;

use clap::ArgMatches;
use clap::Command;
use mgs_ledger::fault::InjectedFault;
use mgs_schema::settings::EndpointKind;
use mgs_sidecar::sidecar;
use mgs_sidecar::sidecar::Sidecar;

use super::common;
use crate::error::Error;
use crate::setting::number;
use crate::setting::value_argument;
use crate::setting::SettingValues;
use crate::shutdown::ShutdownSignals;
use number_settings::NUMBER_SETTINGS;

const NAME: &str = "name";
const ZONE: &str = "zone";
const LISTEN: &str = "listen";
const ENDPOINT_KIND: &str = "endpoint-kind";
const ENDPOINT_URL: &str = "endpoint-url";

const EXAMPLES: &str = "\
Examples:
  # beside a model engine that listens on port 7500
  marigoldstage sidecar --name engine-7 --zone north-1 --listen 10.0.1.7:7300 \\
      --endpoint-kind engine --endpoint-url http://127.0.0.1:7500 --platform http://10.0.0.2:7400

  # beside a plain service, configured by environment variables
  MARIGOLDSTAGE_NAME=stock-1 MARIGOLDSTAGE_ENDPOINT_KIND=service marigoldstage sidecar

The name and the address must be those of the endpoint's row: `marigoldstage endpoint --help`.
SIGTERM or SIGINT: new requests are refused, running ones are finished within --drain-ms, then exit 0.
A second signal, or the end of that time, aborts the remaining ones: exit 1.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("sidecar")
        .about("Run the process beside one endpoint, which makes every call to it")
        .after_help(EXAMPLES)
        .args(endpoint_arguments())
        .next_help_heading(common::PLATFORM_HEADING)
        .args(common::platform_arguments())
        .next_help_heading(common::OPERATORS_HEADING)
        .args(common::role_arguments("127.0.0.1:7301", "600000"))
        .next_help_heading(common::TUNING_HEADING)
        .args(number::arguments(&NUMBER_SETTINGS))
        .args(common::bug_injection_arguments())
}

fn endpoint_arguments() -> Vec<clap::Arg> {
    vec![
        value_argument(
            NAME,
            "NAME",
            "Name of the endpoint, as in its row; must be given",
        ),
        value_argument(ZONE, "ZONE", "Availability zone of this host").default_value("zone-1"),
        value_argument(
            LISTEN,
            "IP:PORT",
            "Address on which gateways reach this process",
        )
        .default_value("127.0.0.1:7300"),
        value_argument(
            ENDPOINT_KIND,
            "KIND",
            "Kind of the endpoint: engine or service",
        )
        .default_value("engine"),
        value_argument(ENDPOINT_URL, "URL", "Base address of the endpoint itself")
            .default_value("http://127.0.0.1:7500"),
    ]
}

/// Runs the sidecar until a signal, or until another process takes over its name, and drains it.
/// Fails if it can't start, if requests were aborted or if its name was taken over.
pub fn run(matches: &ArgMatches, _out: &mut dyn Write) -> Result<(), Error> {
    let mut values = SettingValues::new(matches);
    let role = common::role_options(&mut values);
    let platform = common::platform_options(&mut values);
    let mut options = sidecar::Options {
        name: values.required_text(NAME),
        zone: values.required_text(ZONE),
        kind: endpoint_kind(&mut values),
        listen: values.advertised_address(LISTEN),
        admin_listen: Some(role.admin_listen),
        endpoint_url: values.url(ENDPOINT_URL),
        platform_url: Some(platform.base_url),
        ..sidecar::Options::default()
    };
    number::read(&NUMBER_SETTINGS, &mut values, &mut options);
    options.ledger.injected_fault = injected_bug(&mut values);
    values.finish()?;

    let mut signals = ShutdownSignals::new()?;
    let _logs = common::start_log(&role.logs)?;
    let sidecar = Sidecar::start(options).map_err(|error| Error::Failed(error.to_string()))?;
    let sidecar = Arc::new(sidecar);
    log::info!(
        address:% = sidecar.address(),
        admin_address:% = common::address_or_none(sidecar.admin_address()),
        incarnation = sidecar.incarnation();
        "sidecar started"
    );
    signals.wait_or_until(|| sidecar.is_superseded());
    let superseded = sidecar.is_superseded();
    log::info!(drain_ms = role.drain_ms; "sidecar is draining");
    signals.drain(role.drain_ms, move || sidecar.drain())?;
    common::fail_if_superseded(superseded)
}

fn endpoint_kind(values: &mut SettingValues<'_>) -> EndpointKind {
    match values.required_text(ENDPOINT_KIND).as_str() {
        "engine" => EndpointKind::Engine,
        "service" => EndpointKind::Service,
        _ => {
            values.reject(ENDPOINT_KIND, "give engine or service");
            EndpointKind::Unspecified
        }
    }
}

fn injected_bug(values: &mut SettingValues<'_>) -> InjectedFault {
    let name = common::injected_bug_name(values);
    if name.is_empty() {
        return InjectedFault::None;
    }
    name.parse().unwrap_or_else(|_| {
        values.reject(
            common::PLANT,
            "a sidecar has no deliberate bug of this name",
        );
        InjectedFault::None
    })
}
