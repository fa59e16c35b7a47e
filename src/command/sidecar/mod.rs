//! `marigoldstage sidecar`: the process beside one endpoint.

mod numbers;

use std::io::Write;
use std::sync::Arc;

use clap::ArgMatches;
use clap::Command;
use mgs_ledger::fault::InjectedFault;
use mgs_schema::settings::EndpointKind;
use mgs_sidecar::sidecar;
use mgs_sidecar::sidecar::Sidecar;

use super::process;
use crate::error::Error;
use crate::setting::number;
use crate::setting::value;
use crate::setting::Values;
use crate::stop::Stop;
use numbers::NUMBERS;

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

  # beside a plain service, by environment
  MARIGOLDSTAGE_NAME=stock-1 MARIGOLDSTAGE_ENDPOINT_KIND=service marigoldstage sidecar

The name and the address must be those of the endpoint's row: `marigoldstage endpoint --help`.
SIGTERM or SIGINT: no new work, what runs is finished within --drain-ms, then exit 0.
A second signal, or the end of that time, cuts the rest off: exit 1.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("sidecar")
        .about("Run the process beside one endpoint, which makes every call of it")
        .after_help(EXAMPLES)
        .args(arguments())
        .next_help_heading(process::PLATFORM_HEADING)
        .args(process::platform_arguments())
        .next_help_heading(process::OPERATORS_HEADING)
        .args(process::arguments("127.0.0.1:7301", "600000"))
        .next_help_heading(process::TUNING_HEADING)
        .args(number::arguments(&NUMBERS))
        .args(process::plant_arguments())
}

fn arguments() -> Vec<clap::Arg> {
    vec![
        value(
            NAME,
            "NAME",
            "Name of the endpoint, as in its row; must be given",
        ),
        value(ZONE, "ZONE", "Availability zone of this host").default_value("zone-1"),
        value(LISTEN, "IP:PORT", "Where gateways reach this process")
            .default_value("127.0.0.1:7300"),
        value(
            ENDPOINT_KIND,
            "KIND",
            "What stands behind: engine or service",
        )
        .default_value("engine"),
        value(ENDPOINT_URL, "URL", "Base address of the endpoint itself")
            .default_value("http://127.0.0.1:7500"),
    ]
}

/// Runs until a signal.
pub fn run(matches: &ArgMatches, _out: &mut dyn Write) -> Result<(), Error> {
    let mut values = Values::new(matches);
    let process = process::options(&mut values);
    let platform = process::platform_options(&mut values);
    let mut options = sidecar::Options {
        name: values.text(NAME),
        zone: values.text(ZONE),
        kind: kind(&mut values),
        listen: values.told_address(LISTEN),
        admin_listen: Some(process.admin),
        endpoint_url: values.url(ENDPOINT_URL),
        platform_url: Some(platform.base_url),
        ..sidecar::Options::default()
    };
    number::read(&NUMBERS, &mut values, &mut options);
    options.ledger.injected_fault = plant(&mut values);
    values.finish()?;

    let mut stop = Stop::new()?;
    let _logs = process::start_log(&process.logs)?;
    let sidecar = Sidecar::start(options).map_err(|error| Error::Failed(error.to_string()))?;
    let sidecar = Arc::new(sidecar);
    log::info!(
        address:% = sidecar.address(),
        admin_address:% = process::shown(sidecar.admin_address()),
        incarnation = sidecar.incarnation();
        "sidecar started"
    );
    stop.wait_unless(|| sidecar.is_superseded());
    let superseded = sidecar.is_superseded();
    log::info!(drain_ms = process.drain_ms; "sidecar is leaving");
    stop.drain(process.drain_ms, move || sidecar.drain())?;
    process::check_name(superseded)
}

fn kind(values: &mut Values<'_>) -> EndpointKind {
    match values.text(ENDPOINT_KIND).as_str() {
        "engine" => EndpointKind::Engine,
        "service" => EndpointKind::Service,
        _ => {
            values.fault(ENDPOINT_KIND, "give engine or service");
            EndpointKind::Unspecified
        }
    }
}

fn plant(values: &mut Values<'_>) -> InjectedFault {
    let name = process::plant_name(values);
    if name.is_empty() {
        return InjectedFault::None;
    }
    name.parse().unwrap_or_else(|_| {
        values.fault(process::PLANT, "no such deliberate bug in a sidecar");
        InjectedFault::None
    })
}
