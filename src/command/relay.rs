//! `marigoldstage relay`: the event-driven gateway on the entry hosts of the users' platform.

use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;

use clap::ArgMatches;
use clap::Command;
use marigoldstage_platform::options;
use marigoldstage_platform::PlatformDialect;
use marigoldstage_platform::Settings;
use marigoldstage_platform::StoreFactory;
use marigoldstage_platform::SETTINGS_VARIABLE;
use mgs_observe::admin;
use mgs_observe::admin::Health;
use mgs_observe::logs;
use mgs_observe::metrics::Registry;
use mgs_placing::choose;
use mgs_relay::follow;
use mgs_relay::metrics::Metrics;
use mgs_relay::relay;
use mgs_relay::view::Published;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

use crate::error::Error;
use crate::setting::value;
use crate::setting::Values;

const SETTINGS: &str = "settings";
const LOG_LEVEL: &str = "log-level";
const PLACING: &str = "placing";

const EXAMPLES: &str = "\
Examples:
  # on the platform, which names the settings file in a variable
  marigoldstage relay

  # with a file of one's own
  marigoldstage relay --settings /etc/marigoldstage/settings.toml --log-level debug

SIGTERM: not ready any more, what is open ends, then exit 0.
SIGHUP or a changed file: the settings are read again; faulty ones are logged and not taken.";

/// Declares the subcommand.
pub fn command() -> Command {
    Command::new("relay")
        .about("Run the gateway of an entry host on the users' platform")
        .after_help(EXAMPLES)
        .arg(
            value(SETTINGS, "PATH", "The platform's settings file").long_help(format!(
                "The platform's settings file; the platform names it in {SETTINGS_VARIABLE}"
            )),
        )
        .arg(
            value(LOG_LEVEL, "LEVEL", "Least level that is logged, or a filter by module")
                .default_value("info"),
        )
        .arg(
            value(PLACING, "NAME=VALUE,...", "Figures of placing to be tried, such as open_units=2")
                .default_value(""),
        )
}

/// What the operators' server says of a relay.
struct State {
    published: Arc<Published>,
}

impl Health for State {
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

/// Runs until a signal.
pub fn run(matches: &ArgMatches, _out: &mut dyn Write) -> Result<(), Error> {
    let mut values = Values::new(matches);
    let path = settings_path(&mut values);
    let level = values.text(LOG_LEVEL);
    if logs::check(&level).is_err() {
        values.fault(LOG_LEVEL, "give a level or a filter by module");
    }
    let tried = values.optional(PLACING).unwrap_or_default();
    let placing = choose::Options::default()
        .with(&tried)
        .unwrap_or_else(|advice| {
            values.fault(PLACING, advice);
            choose::Options::default()
        });
    values.finish()?;
    let failed = |error: String| Error::Failed(error);
    let settings = Settings::read(&path).map_err(|error| failed(error.to_string()))?;
    let _logs = logs::start_bounded(&logs::Options { level })
        .map_err(|error| failed(error.to_string()))?;
    serve(&settings, placing)
}

fn serve(settings: &Settings, placing: choose::Options) -> Result<(), Error> {
    let failed = |error: String| Error::Failed(error);
    let mut plan = options(settings);
    plan.relay.placing = placing;
    let published = Arc::new(Published::new());
    log::info!(host = settings.host_name, zone = settings.zone, store:% = settings.store; "started");
    let registry = Registry::new();
    let metrics = Metrics::new(&registry);
    let state = Arc::new(State {
        published: published.clone(),
    });
    let admin_options = admin::Options {
        listen: plan.metrics_listen.to_string(),
    };
    // Requests are served without the operators' server too.
    let _admin = match admin::serve(admin_options, registry, state) {
        Ok(admin) => Some(admin),
        Err(error) => {
            log::error!(error:% = error; "no metrics are served");
            None
        }
    };
    let factory = StoreFactory {
        address: plan.store,
    };
    follow::start(plan.follow, Box::new(factory), published.clone())
        .map_err(|error| failed(error.to_string()))?;
    let started = |addresses: relay::Addresses| {
        log::info!(clients:% = addresses.client, peers:% = addresses.peer; "listening");
    };
    let dialect = Box::new(PlatformDialect);
    relay::run(plan.relay, dialect, published, metrics, started, stopped())
        .map_err(|error| failed(error.to_string()))?;
    log::info!("stopped");
    log::logger().flush();
    Ok(())
}

fn settings_path(values: &mut Values<'_>) -> PathBuf {
    let given = values.optional(SETTINGS);
    let path = given.or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    let Some(path) = path else {
        let advice = format!("give a path, or set {SETTINGS_VARIABLE}");
        values.fault(SETTINGS, advice);
        return PathBuf::new();
    };
    PathBuf::from(path)
}

/// Waits for the signal to stop.
async fn stopped() {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            terminate.recv().await;
        }
        Err(error) => {
            log::error!(error:% = error; "no signals; only a kill ends this process");
            std::future::pending::<()>().await;
        }
    }
}
