//! `marigoldstage relay`: the event-driven gateway on the entry hosts of the users' platform.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::ArgMatches;
use clap::Command;
use marigoldstage_platform::options;
use marigoldstage_platform::PlatformDialect;
use marigoldstage_platform::Settings;
use marigoldstage_platform::StoreAddress;
use marigoldstage_platform::StoreFactory;
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
use crate::setting::value;
use crate::setting::Values;

const SETTINGS: &str = "settings";
const LOG_LEVEL: &str = "log-level";
const METRICS_PORT: &str = "metrics-port";
const PLACING: &str = "placing";
const TURNS: &str = "turns";

const FIGURES: &str = "NAME=VALUE,...";

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
            value(
                LOG_LEVEL,
                "LEVEL",
                "Least level that is logged, or a filter by module",
            )
            .default_value("info"),
        )
        .arg(
            value(
                METRICS_PORT,
                "PORT",
                "Where metrics are served, on this host's own IP number",
            )
            .default_value("9464"),
        )
        .arg(
            value(
                PLACING,
                FIGURES,
                "Figures of placing that differ, such as open_units=2",
            )
            .default_value(""),
        )
        .arg(
            value(
                TURNS,
                FIGURES,
                "Figures of the order among long prompts that differ",
            )
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
    if logs::check_filter(&level).is_err() {
        values.fault(LOG_LEVEL, "give a level or a filter by module");
    }
    let metrics_port = values.number(METRICS_PORT, 1..=u16::MAX);
    let placing = figures(&mut values, PLACING, options::PlacementOptions::with);
    let turns = figures(&mut values, TURNS, dispatch::DispatchOptions::with);
    values.finish()?;
    let failed = |error: String| Error::Failed(error);
    let settings = Settings::read(&path).map_err(|error| failed(error.to_string()))?;
    let _logs =
        logs::start_stdout(&logs::Options { level }).map_err(|error| failed(error.to_string()))?;
    serve(path, settings, Figures { placing, turns }, metrics_port)
}

/// Figures of decisions that differ from their defaults.
struct Figures {
    placing: options::PlacementOptions,
    turns: dispatch::DispatchOptions,
}

fn figures<O: Default>(
    values: &mut Values<'_>,
    flag: &str,
    with: fn(O, &str) -> Result<O, String>,
) -> O {
    let given = values.optional(flag).unwrap_or_default();
    match with(O::default(), &given) {
        Ok(figures) => figures,
        Err(advice) => {
            values.fault(flag, advice);
            O::default()
        }
    }
}

fn serve(
    path: PathBuf,
    settings: Settings,
    figures: Figures,
    metrics_port: u16,
) -> Result<(), Error> {
    let failed = |error: String| Error::Failed(error);
    let mut plan = options(&settings);
    plan.relay.placing = figures.placing;
    plan.relay.turns = figures.turns;
    let published = Arc::new(Published::new());
    log::info!(host = settings.host_name, zone = settings.zone, store:% = settings.store; "started");
    let registry = Registry::new();
    let metrics = Metrics::new(&registry);
    let state = Arc::new(State {
        published: published.clone(),
    });
    let admin_options = admin::Options {
        listen: SocketAddr::new(plan.ip, metrics_port).to_string(),
    };
    // Requests are served without the operators' server too.
    let _admin = match admin::serve(admin_options, registry, state) {
        Ok(admin) => Some(admin),
        Err(error) => {
            log::error!(error:% = error; "no metrics are served");
            None
        }
    };
    let store = StoreAddress::new(plan.store);
    let factory = StoreFactory {
        address: store.clone(),
    };
    published.put_live_settings(plan.live);
    let tallies = follow::StoreMetrics {
        bad_rows: metrics.bad_rows.clone(),
        store_calls: metrics.store_calls.clone(),
        store_rollbacks: metrics.store_rollbacks.clone(),
    };
    follow::start(plan.follow, Box::new(factory), published.clone(), tallies)
        .map_err(|error| failed(error.to_string()))?;
    let started = |addresses: relay::Addresses| {
        log::info!(clients:% = addresses.client, peers:% = addresses.peer; "listening");
    };
    let dialect = Box::new(PlatformDialect);
    let reload = Reload {
        path,
        settings,
        published: published.clone(),
        store,
    };
    relay::run(
        plan.relay,
        dialect,
        published,
        metrics,
        started,
        stopped(reload),
    )
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

/// Waits for the signal to stop; takes changed settings meanwhile.
async fn stopped(mut reload: Reload) {
    let signals = signal(SignalKind::terminate()).and_then(|terminate| {
        let hangup = signal(SignalKind::hangup())?;
        Ok((terminate, hangup))
    });
    let (mut terminate, mut hangup) = match signals {
        Ok(signals) => signals,
        Err(error) => {
            log::error!(error:% = error; "no signals; only a kill ends this process");
            return std::future::pending::<()>().await;
        }
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => reload.read("signal"),
            () = tokio::time::sleep(SETTINGS_LOOK) => reload.read("look"),
        }
    }
}

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);

/// Takes changed settings while the relay runs.
struct Reload {
    path: PathBuf,
    settings: Settings,
    published: Arc<Published>,
    store: StoreAddress,
}

impl Reload {
    fn read(&mut self, cause: &str) {
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
        if settings.needs_restart(&self.settings) {
            log::warn!("other addresses to listen on need a restart; the rest is taken");
        }
        let plan = options(&settings);
        self.published.put_live_settings(plan.live);
        self.store.set(plan.store);
        self.settings = settings;
    }
}
