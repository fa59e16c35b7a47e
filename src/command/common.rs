//! Settings that several commands share, such as the platform's address, and the log and the admin
//! server that the serving roles start from them.

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
use crate::setting::switch_argument;
use crate::setting::value_argument;
use crate::setting::SettingValues;

/// Help heading of the platform's settings.
pub const PLATFORM_HEADING: &str = "Platform";

/// Help heading of the settings of the admin server, the log and the shutdown.
pub const OPERATORS_HEADING: &str = "Operators, log and shutdown";

/// Help heading of numeric settings that rarely need a change.
pub const TUNING_HEADING: &str = "Tuning";

const PLATFORM: &str = "platform";
const PLATFORM_CONNECT_TIMEOUT_MS: &str = "platform-connect-timeout-ms";
const PLATFORM_CALL_TIMEOUT_MS: &str = "platform-call-timeout-ms";
const LOG_LEVEL: &str = "log-level";
const ADMIN: &str = "admin";
const DRAIN_MS: &str = "drain-ms";

const TIMEOUT_MS_MAX: u64 = 3_600_000;

/// Declares the platform's address and the timeouts of calls to it.
pub fn platform_arguments() -> Vec<Arg> {
    let defaults = http::Options::default();
    vec![
        value_argument(PLATFORM, "URL", "Base address of the platform's services")
            .default_value(defaults.base_url),
        value_argument(
            PLATFORM_CONNECT_TIMEOUT_MS,
            "MS",
            "Timeout for connecting to the platform",
        )
        .default_value(defaults.connect_timeout_ms.to_string()),
        value_argument(
            PLATFORM_CALL_TIMEOUT_MS,
            "MS",
            "Timeout for one call to the platform",
        )
        .default_value(defaults.call_timeout_ms.to_string()),
    ]
}

/// Reads what [`platform_arguments`] declares.
pub fn platform_options(values: &mut SettingValues<'_>) -> http::Options {
    http::Options {
        base_url: values.url(PLATFORM),
        connect_timeout_ms: values.number(PLATFORM_CONNECT_TIMEOUT_MS, 1..=TIMEOUT_MS_MAX),
        call_timeout_ms: values.number(PLATFORM_CALL_TIMEOUT_MS, 1..=TIMEOUT_MS_MAX),
    }
}

/// Declares the log level.
pub fn log_argument() -> Arg {
    value_argument(
        LOG_LEVEL,
        "FILTER",
        "Minimum level of the log: error, warn, info, debug, trace or off; by module as in \"info, mgs_transport=debug\"",
    )
    .default_value("info")
}

/// Reads what [`log_argument`] declares.
pub fn log_options(values: &mut SettingValues<'_>) -> logs::Options {
    let level = values.required_text(LOG_LEVEL);
    if logs::check_filter(&level).is_err() {
        let advice =
            "give error, warn, info, debug, trace or off, or MODULE=LEVEL, separated by commas";
        values.reject(LOG_LEVEL, advice);
    }
    logs::Options { level }
}

/// Settings that all serving roles share.
#[derive(Debug, Clone)]
pub struct RoleOptions {
    /// Listen address of the admin server, which serves `/metrics`, `/healthz` and `/readyz`.
    pub admin_listen: SocketAddr,
    /// Maximum time to finish open requests after a signal to stop, in milliseconds.
    pub drain_ms: u64,
    /// Settings of the log.
    pub logs: logs::Options,
}

/// Declares the settings of [`RoleOptions`], with the role's defaults for the admin address and the
/// drain time.
pub fn role_arguments(admin: &'static str, drain_ms: &'static str) -> Vec<Arg> {
    vec![
        value_argument(
            ADMIN,
            "IP:PORT",
            "Address that serves /metrics, /healthz and /readyz; port 0 picks a free one",
        )
        .default_value(admin),
        value_argument(
            DRAIN_MS,
            "MS",
            "Maximum time to finish open requests after SIGTERM or SIGINT",
        )
        .default_value(drain_ms),
        log_argument(),
    ]
}

/// Reads what [`role_arguments`] declares.
pub fn role_options(values: &mut SettingValues<'_>) -> RoleOptions {
    RoleOptions {
        admin_listen: values.address(ADMIN),
        drain_ms: values.number(DRAIN_MS, 0..=TIMEOUT_MS_MAX),
        logs: log_options(values),
    }
}

/// Formats an address for the log; `none` if absent.
pub fn address_or_none(address: Option<SocketAddr>) -> String {
    address.map_or("none".to_string(), |address| address.to_string())
}

/// Fails if `superseded`: this process ended because another one has taken over its name.
pub fn fail_if_superseded(superseded: bool) -> Result<(), Error> {
    if !superseded {
        return Ok(());
    }
    let text =
        "another process has taken over this process's name; give each process a unique --name";
    Err(Error::Failed(text.to_string()))
}

/// Starts logging; fails if the logger can't be set up.
pub fn start_log(options: &logs::Options) -> Result<LogGuard, Error> {
    logs::start_stderr(options).map_err(|error| Error::Failed(error.to_string()))
}

/// Starts the admin server of a role; fails if it can't listen.
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

/// Flag that names a deliberate bug to inject.
pub const PLANT: &str = "plant";
const ALLOW_PLANT: &str = "allow-plant";

/// Declares the hidden settings that inject a deliberate bug, to verify that checks detect it.
pub fn bug_injection_arguments() -> [Arg; 2] {
    [
        value_argument(
            PLANT,
            "NAME",
            "Deliberate bug to inject, to verify that checks detect it",
        )
        .hide(true),
        switch_argument(ALLOW_PLANT, "Must be given with --plant").hide(true),
    ]
}

/// Name of the bug to inject; empty for none. Rejected without `--allow-plant`.
pub fn injected_bug_name(values: &mut SettingValues<'_>) -> String {
    let name = values.optional_text(PLANT).unwrap_or_default();
    if !name.is_empty() && !values.is_set(ALLOW_PLANT) {
        values.reject(
            PLANT,
            "a deliberate bug is injected only together with --allow-plant",
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
