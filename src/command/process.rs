//! Settings that all serving roles share, and what follows from them.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use clap::Arg;
use mgs_observe::admin;
use mgs_observe::admin::AdminServer;
use mgs_observe::admin::Health;
use mgs_observe::logs;
use mgs_observe::logs::LogGuard;
use mgs_observe::metrics::Registry;
use mgs_platform::http;
use serde::Serialize;

use crate::error::Error;
use crate::setting::switch;
use crate::setting::value;
use crate::setting::Values;

/// Heading of the platform's settings in the help.
pub const PLATFORM_HEADING: &str = "Platform";

/// Heading of the settings for operators in the help.
pub const OPERATORS_HEADING: &str = "Operators, log and end";

/// Heading of the numbers that seldom need a change in the help.
pub const TUNING_HEADING: &str = "Tuning";

const PLATFORM: &str = "platform";
const PLATFORM_CONNECT_TIMEOUT_MS: &str = "platform-connect-timeout-ms";
const PLATFORM_CALL_TIMEOUT_MS: &str = "platform-call-timeout-ms";
const LOG_LEVEL: &str = "log-level";
const ADMIN: &str = "admin";
const DRAIN_MS: &str = "drain-ms";

const TIMEOUT_MS_MAX: u64 = 3_600_000;

/// Declares where the platform is and how long to wait for it.
pub fn platform_arguments() -> Vec<Arg> {
    let defaults = http::Options::default();
    vec![
        value(PLATFORM, "URL", "Base address of the platform's services")
            .default_value(defaults.base_url),
        value(
            PLATFORM_CONNECT_TIMEOUT_MS,
            "MS",
            "Longest wait for a connection to the platform",
        )
        .default_value(defaults.connect_timeout_ms.to_string()),
        value(
            PLATFORM_CALL_TIMEOUT_MS,
            "MS",
            "Longest wait for the platform's answer to one call",
        )
        .default_value(defaults.call_timeout_ms.to_string()),
    ]
}

/// Reads what [`platform_arguments`] declares.
pub fn platform_options(values: &mut Values<'_>) -> http::Options {
    http::Options {
        base_url: values.url(PLATFORM),
        connect_timeout_ms: values.number(PLATFORM_CONNECT_TIMEOUT_MS, 1..=TIMEOUT_MS_MAX),
        call_timeout_ms: values.number(PLATFORM_CALL_TIMEOUT_MS, 1..=TIMEOUT_MS_MAX),
    }
}

/// Declares the log's level.
pub fn log_argument() -> Arg {
    value(
        LOG_LEVEL,
        "FILTER",
        "Least level of the log: error, warn, info, debug, trace or off; by module as in \"info, mgs_transport=debug\"",
    )
    .default_value("info")
}

/// Reads what [`log_argument`] declares.
pub fn log_options(values: &mut Values<'_>) -> logs::Options {
    let level = values.text(LOG_LEVEL);
    if logs::check_filter(&level).is_err() {
        let advice = "give error, warn, info, debug, trace or off, or MODULE=LEVEL, by commas";
        values.fault(LOG_LEVEL, advice);
    }
    logs::Options { level }
}

/// What the serving roles share.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where `/metrics`, `/healthz` and `/readyz` are served.
    pub admin: SocketAddr,
    /// Longest wait for work in flight after a signal to stop, in milliseconds.
    pub drain_ms: u64,
    /// The log.
    pub logs: logs::Options,
}

/// Declares the settings of [`Options`].
pub fn arguments(admin: &'static str, drain_ms: &'static str) -> Vec<Arg> {
    vec![
        value(
            ADMIN,
            "IP:PORT",
            "Where operators read /metrics, /healthz and /readyz; port 0 takes a free one",
        )
        .default_value(admin),
        value(
            DRAIN_MS,
            "MS",
            "After SIGTERM or SIGINT, longest wait for work in flight",
        )
        .default_value(drain_ms),
        log_argument(),
    ]
}

/// Reads what [`arguments`] declares.
pub fn options(values: &mut Values<'_>) -> Options {
    Options {
        admin: values.address(ADMIN),
        drain_ms: values.number(DRAIN_MS, 0..=TIMEOUT_MS_MAX),
        logs: log_options(values),
    }
}

/// An address for the log.
pub fn shown(address: Option<SocketAddr>) -> String {
    address.map_or("none".to_string(), |address| address.to_string())
}

/// Fails if a process ended because another one took its name over.
pub fn check_name(superseded: bool) -> Result<(), Error> {
    if !superseded {
        return Ok(());
    }
    let text = "another process took this one's name over; give each process its own --name";
    Err(Error::Failed(text.to_string()))
}

/// Starts the log.
pub fn start_log(options: &logs::Options) -> Result<LogGuard, Error> {
    logs::start_stderr(options).map_err(|error| Error::Failed(error.to_string()))
}

/// Starts the operators' server of a role.
pub fn start_admin(
    listen: SocketAddr,
    registry: Registry,
    health: Arc<dyn Health>,
) -> Result<AdminServer, Error> {
    let options = admin::Options {
        listen: listen.to_string(),
    };
    let admin = admin::serve(options, registry, health);
    admin.map_err(|error| Error::Failed(error.to_string()))
}

/// Names a deliberate bug.
pub const PLANT: &str = "plant";
const ALLOW_PLANT: &str = "allow-plant";

/// Declares the hidden settings by which those who check the checks plant a bug.
pub fn plant_arguments() -> [Arg; 2] {
    [
        value(
            PLANT,
            "NAME",
            "A deliberate bug, to show that checks find it",
        )
        .hide(true),
        switch(ALLOW_PLANT, "Without it --plant is refused").hide(true),
    ]
}

/// Name of the bug to plant; empty for none.
pub fn plant_name(values: &mut Values<'_>) -> String {
    let name = values.optional(PLANT).unwrap_or_default();
    if !name.is_empty() && !values.switch(ALLOW_PLANT) {
        values.fault(
            PLANT,
            "a deliberate bug is planted only together with --allow-plant",
        );
    }
    name
}

/// Prints a value as indented JSON.
pub fn print_json<T: Serialize>(value: &T, out: &mut dyn Write) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value);
    let text = text.map_err(|error| Error::Failed(error.to_string()))?;
    writeln!(out, "{text}")?;
    Ok(())
}
