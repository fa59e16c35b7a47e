//! `marigoldstage relay`: the event-driven gateway that runs on the entry hosts of the users'
//! platform.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use marigoldstage_platform::gateway_options;
use marigoldstage_platform::PlatformDialect;
use marigoldstage_platform::Settings;
use marigoldstage_platform::StoreAddress;
use marigoldstage_platform::StoreSourceFactory;
use marigoldstage_platform::SETTINGS_VARIABLE;
use mgs_observe::admin;
use mgs_observe::admin::Health;
use mgs_observe::logs;
use mgs_observe::metrics::Registry;
use mgs_placing::dispatch;
use mgs_placing::options;
use mgs_relay::follow;
use mgs_relay::metrics::Metrics;
use mgs_relay::relay;
use mgs_relay::view::Published;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

use crate::error::Error;
use crate::setting::switch_argument;
use crate::setting::value_argument;
use crate::setting::SettingValues;

const SETTINGS: &str = "settings";
const LOG_LEVEL: &str = "log-level";
const METRICS_PORT: &str = "metrics-port";
const PLACING: &str = "placing";
const DISPATCH: &str = "turns";
const ORGANISATION_SHARES: &str = "organisation-shares";
const SHARED_SPEEDS: &str = "shared-speeds";

const PARAMETERS_PLACEHOLDER: &str = "NAME=VALUE,...";

const EXAMPLES: &str = "\
Examples:
  # on the platform, which gives the path of the settings file in a variable
  marigoldstage relay

  # with a given settings file
  marigoldstage relay --settings /etc/marigoldstage/settings.toml --log-level debug

SIGTERM: the relay reports itself as not ready, finishes open requests, then exits with 0.
SIGHUP or a changed file: the settings are reloaded; invalid ones are logged and not applied.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("relay")
        .about("Run the gateway of an entry host on the users' platform")
        .after_help(EXAMPLES)
        .arg(
            value_argument(SETTINGS, "PATH", "The platform's settings file").long_help(format!(
                "The platform's settings file; the platform gives its path in {SETTINGS_VARIABLE}"
            )),
        )
        .arg(
            value_argument(
                LOG_LEVEL,
                "LEVEL",
                "Minimum level that is logged, or a filter by module",
            )
            .default_value("info"),
        )
        .arg(
            value_argument(
                METRICS_PORT,
                "PORT",
                "Port on which metrics are served, on this host's own IP address",
            )
            .default_value("9464"),
        )
        .arg(
            value_argument(
                PLACING,
                PARAMETERS_PLACEHOLDER,
                "Parameters of placing that differ from their defaults, such as open_units=2",
            )
            .default_value(""),
        )
        .arg(
            value_argument(
                DISPATCH,
                PARAMETERS_PLACEHOLDER,
                "Parameters of the queueing order of long prompts that differ from their defaults",
            )
            .default_value(""),
        )
        .arg(switch_argument(
            ORGANISATION_SHARES,
            "Hold organisations to shares when engines are short, also if the settings don't ask for it",
        ))
        .arg(switch_argument(
            SHARED_SPEEDS,
            "Estimate engines' speeds from what all gateways observe, also if the settings don't ask for it",
        ))
}

/// Health of a relay, as its admin server reports it.
struct Readiness {
    published: Arc<Published>,
}

impl Health for Readiness {
    fn healthy(&self) -> bool {
        true
    }

    fn ready(&self) -> Result<(), String> {
        if self.published.is_complete() {
            return Ok(());
        }
        Err("no configuration or no endpoints are known yet".to_string())
    }
}

/// Runs the relay until SIGTERM; fails if its settings are invalid or it can't start.
pub fn run(matches: &ArgMatches, _out: &mut dyn Write) -> Result<(), Error> {
    let mut values = SettingValues::new(matches);
    let path = settings_path(&mut values);
    let level = values.required_text(LOG_LEVEL);
    if logs::check_filter(&level).is_err() {
        values.reject(LOG_LEVEL, "give a level or a filter by module");
    }
    let metrics_port = values.number(METRICS_PORT, 1..=u16::MAX);
    let placing = parameter_overrides(&mut values, PLACING, options::PlacementOptions::with);
    let dispatch = parameter_overrides(&mut values, DISPATCH, dispatch::DispatchOptions::with);
    let organisation_shares = values.is_set(ORGANISATION_SHARES);
    let shared_speeds = values.is_set(SHARED_SPEEDS);
    values.finish()?;
    let command_error = |error: String| Error::Failed(error);
    let settings = Settings::read(&path).map_err(|error| command_error(error.to_string()))?;
    let _logs = logs::start_stdout(&logs::Options { level })
        .map_err(|error| command_error(error.to_string()))?;
    log_ignored_values(&settings);
    serve(
        path,
        settings,
        ParameterOverrides {
            placing,
            dispatch,
            organisation_shares,
            shared_speeds,
        },
        metrics_port,
    )
}

/// Parameters of placing and of the queueing order that the command line overrides.
struct ParameterOverrides {
    placing: options::PlacementOptions,
    dispatch: dispatch::DispatchOptions,
    /// Whether shares of organisations are in use whatever the settings say.
    organisation_shares: bool,
    /// Whether estimates of engines' speeds are shared whatever the settings say.
    shared_speeds: bool,
}

fn parameter_overrides<O: Default>(
    values: &mut SettingValues<'_>,
    flag: &str,
    with: fn(O, &str) -> Result<O, String>,
) -> O {
    let given = values.optional_text(flag).unwrap_or_default();
    match with(O::default(), &given) {
        Ok(options) => options,
        Err(advice) => {
            values.reject(flag, advice);
            O::default()
        }
    }
}

fn serve(
    path: PathBuf,
    settings: Settings,
    overrides: ParameterOverrides,
    metrics_port: u16,
) -> Result<(), Error> {
    let command_error = |error: String| Error::Failed(error);
    let mut startup_options = gateway_options(&settings);
    startup_options.relay.placing = overrides.placing;
    startup_options.relay.dispatch = overrides.dispatch;
    startup_options.live.organisation_shares |= overrides.organisation_shares;
    startup_options.live.shared_speeds |= overrides.shared_speeds;
    let published = Arc::new(Published::new());
    log::info!(host = settings.host_name, zone = settings.zone, store:% = settings.store; "started");
    let registry = Registry::new();
    let metrics = Metrics::new(&registry);
    let state = Arc::new(Readiness {
        published: published.clone(),
    });
    let admin_options = admin::Options {
        listen: SocketAddr::new(startup_options.ip, metrics_port).to_string(),
    };
    // The relay serves requests even if its admin server can't start.
    let _admin = match admin::serve(admin_options, registry, state) {
        Ok(admin) => Some(admin),
        Err(error) => {
            log::error!(error:% = error; "can't start the admin server; no metrics are served");
            None
        }
    };
    let store = StoreAddress::new(startup_options.store);
    let factory = StoreSourceFactory {
        address: store.clone(),
    };
    published.put_live_settings(startup_options.live);
    let counters = follow::StoreMetrics {
        bad_rows: metrics.bad_rows.clone(),
        store_calls: metrics.store_calls.clone(),
        store_rollbacks: metrics.store_rollbacks.clone(),
    };
    follow::start(
        startup_options.follow,
        Box::new(factory),
        published.clone(),
        counters,
    )
    .map_err(|error| command_error(error.to_string()))?;
    let on_listening = |addresses: relay::Addresses| {
        log::info!(clients:% = addresses.client, peers:% = addresses.peer; "listening");
    };
    let dialect = Box::new(PlatformDialect);
    let reloader = SettingsReloader {
        path,
        settings,
        published: published.clone(),
        store,
        organisation_shares: overrides.organisation_shares,
        shared_speeds: overrides.shared_speeds,
    };
    relay::run(
        startup_options.relay,
        dialect,
        published,
        metrics,
        on_listening,
        wait_for_termination(reloader),
    )
    .map_err(|error| command_error(error.to_string()))?;
    log::info!("stopped");
    log::logger().flush();
    Ok(())
}

fn settings_path(values: &mut SettingValues<'_>) -> PathBuf {
    let given = values.optional_text(SETTINGS);
    let path = given.or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    let Some(path) = path else {
        let advice = format!("give a path, or set {SETTINGS_VARIABLE}");
        values.reject(SETTINGS, advice);
        return PathBuf::new();
    };
    PathBuf::from(path)
}

/// Waits for SIGTERM; meanwhile reloads the settings after a SIGHUP or if the file has changed.
async fn wait_for_termination(mut reloader: SettingsReloader) {
    let signals = signal(SignalKind::terminate()).and_then(|terminate| {
        let hangup = signal(SignalKind::hangup())?;
        Ok((terminate, hangup))
    });
    let (mut terminate, mut hangup) = match signals {
        Ok(signals) => signals,
        Err(error) => {
            log::error!(error:% = error; "can't install signal handlers; only SIGKILL ends this process");
            return std::future::pending::<()>().await;
        }
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => reloader.reload("signal"),
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => reloader.reload("look"),
        }
    }
}

/// Interval between checks of the settings file, which may change without a SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Applies changed settings to a running relay.
struct SettingsReloader {
    path: PathBuf,
    settings: Settings,
    published: Arc<Published>,
    store: StoreAddress,
    /// Whether shares of organisations are in use whatever the settings say.
    organisation_shares: bool,
    /// Whether estimates of engines' speeds are shared whatever the settings say.
    shared_speeds: bool,
}

/// Logs the values of the settings file that are ignored because they are invalid.
fn log_ignored_values(settings: &Settings) {
    for value in &settings.ignored_values {
        log::warn!(value = value; "a setting is ignored");
    }
}

impl SettingsReloader {
    fn reload(&mut self, cause: &str) {
        let settings = match Settings::read(&self.path) {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(cause = cause, error:% = error; "settings not taken");
                return;
            }
        };
        let is_changed = settings != self.settings;
        if cause == "signal" || is_changed {
            log::info!(cause = cause, changed = is_changed, store:% = settings.store; "settings read");
        }
        if !is_changed {
            return;
        }
        log_ignored_values(&settings);
        if settings.needs_restart(&self.settings) {
            log::warn!("changed listen addresses take effect only after a restart; all other settings are applied");
        }
        let mut reloaded_options = gateway_options(&settings);
        reloaded_options.live.organisation_shares |= self.organisation_shares;
        reloaded_options.live.shared_speeds |= self.shared_speeds;
        self.published.put_live_settings(reloaded_options.live);
        self.store.set(reloaded_options.store);
        self.settings = settings;
    }
}
