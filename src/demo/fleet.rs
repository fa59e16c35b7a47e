//! Runs the processes of the demonstration as threads of this process.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_gateway::duty;
use mgs_gateway::gateway;
use mgs_gateway::gateway::Gateway;
use mgs_observe::metrics::Registry;
use mgs_platform::http;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::wire::EndpointState;
use mgs_sidecar::sidecar;
use mgs_sidecar::sidecar::Sidecar;
use mgs_standin::engine;
use mgs_standin::engine::text::prompt_hash;
use mgs_standin::engine::Engine;
use mgs_standin::platform;
use mgs_standin::platform::Platform;
use mgs_standin::service;
use mgs_standin::service::Service;

use super::load::Record;
use super::load::Target;
use super::plan;
use super::plan::Call;
use super::plan::PlannedRequest;
use super::report::Summary;
use super::table;
use crate::error::Error;
use crate::status::parse_metrics;

const ZONES: [&str; 2] = ["zone-1", "zone-2"];
/// Number of imported KV tokens that take the memory of one local token.
const KV_IMPORT_RATIO: u64 = 8;
const SERVICE_ENDPOINT: &str = "stock-1";
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of the fleet.
#[derive(Debug, Clone)]
pub struct Options {
    /// Listen addresses of the gateways; port 0 selects a free port.
    pub gateways: Vec<SocketAddr>,
    /// Number of engines, each with its sidecar, spread over the availability zones in turn.
    pub engines: usize,
    /// KV memory of each engine, in tokens. With the default, the longest prompts need three engines.
    pub kv_capacity_tokens: u64,
    /// Factor by which the stand-ins run faster than real engines.
    pub time_scale: f64,
    /// Duration of a call of the plain service, in milliseconds.
    pub service_delay_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            gateways: vec![loopback_any_port(), loopback_any_port()],
            engines: 4,
            kv_capacity_tokens: 450_000,
            time_scale: 20.0,
            service_delay_ms: 5,
        }
    }
}

/// The running fleet; it stops when dropped.
pub struct Fleet {
    gateways: Vec<(Gateway, Registry)>,
    sidecars: Vec<Sidecar>,
    engines: Vec<Engine>,
    service: Service,
    platform: Platform,
    bearer_keys: Vec<String>,
}

impl Fleet {
    /// Starts all processes and waits until every gateway is ready and has a live session with each sidecar. Fails if a
    /// process doesn't start or the gateways aren't ready in time.
    pub fn start(options: Options) -> Result<Self, Error> {
        let platform = Platform::start(platform::Options::default()).map_err(to_error)?;
        let engines: Vec<Engine> = (0..options.engines)
            .map(|_| start_engine(&options))
            .collect::<Result<_, _>>()?;
        let service = start_service(&options)?;
        let sidecars = start_sidecars(&engines, &service, &platform)?;
        let (rows, sidecars): (Vec<_>, Vec<_>) = sidecars.into_iter().unzip();
        let bearer_keys: Vec<String> = plan::ORGANISATIONS.map(table::bearer_key).into();
        let client = http::Client::new(platform_options(&platform));
        table::write(&client, table::changes(&rows, &bearer_keys))?;
        let gateways: Vec<_> = options
            .gateways
            .iter()
            .enumerate()
            .map(|(index, listen)| start_gateway(index, *listen, &platform))
            .collect::<Result<_, _>>()?;
        let fleet = Self {
            gateways,
            sidecars,
            engines,
            service,
            platform,
            bearer_keys,
        };
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    fn wait_until_ready(&self) -> Result<(), Error> {
        let give_up_at = Instant::now() + READY_TIMEOUT;
        while !self.gateways.iter().all(|gateway| self.is_ready(gateway)) {
            if Instant::now() >= give_up_at {
                let text =
                    "the gateways didn't become ready in time; see the log with --log-level info";
                return Err(Error::Failed(text.to_string()));
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Whether a gateway is ready and all its sessions are live; a session becomes live with its first load report.
    fn is_ready(&self, (gateway, _): &(Gateway, Registry)) -> bool {
        let view = gateway.core().view();
        let endpoints = view.endpoints.iter().flatten();
        let live = endpoints.filter(|endpoint| endpoint.state == EndpointState::Live);
        gateway.health().ready().is_ok() && live.count() == self.sidecars.len()
    }

    /// Gateways to which the load is sent.
    pub fn target(&self) -> Target {
        let address = |(gateway, _): &(Gateway, Registry)| gateway.address();
        Target {
            gateways: self.gateways.iter().map(address).collect(),
            bearer_keys: self.bearer_keys.clone(),
        }
    }

    /// Admin addresses of the gateways and sidecars.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        let gateways = self.gateways.iter();
        let gateways = gateways.map(|(gateway, _)| gateway.admin_address());
        let sidecars = self.sidecars.iter().map(Sidecar::admin_address);
        gateways.chain(sidecars).flatten().collect()
    }

    /// Base URL of the platform.
    pub fn platform_url(&self) -> String {
        self.platform.url()
    }

    /// Human-readable summary of the running processes.
    pub fn describe(&self) -> String {
        format!(
            "{} gateways, {} engines in {} availability zones and 1 plain service",
            self.gateways.len(),
            self.engines.len(),
            ZONES.len()
        )
    }

    /// Summarizes the outcomes that callers saw, the requests that gateways admitted and those that endpoints ran.
    pub fn summarize(&self, records: &[Record]) -> Summary {
        self.wait_until_settled();
        let admitted = self.metric_total("mgs_gateway_admitted_total");
        let ended = self.metric_total("mgs_gateway_ended_total");
        let without_outcome = (admitted - ended).max(0.0) as u64;
        let by_callers = Summary::of(records);
        Summary {
            admitted: admitted as u64,
            lost: by_callers.lost.max(without_outcome),
            ran_twice: self.ran_twice(records),
            ..by_callers
        }
    }

    /// Waits until no gateway has open requests, since a gateway counts the end of a request just after its caller has
    /// read it.
    fn wait_until_settled(&self) {
        let give_up_at = Instant::now() + SETTLE_TIMEOUT;
        while self.metric_total("mgs_gateway_open_requests") > 0.0 && Instant::now() < give_up_at {
            thread::sleep(READY_POLL_INTERVAL);
        }
    }

    fn metric_total(&self, name: &str) -> f64 {
        let values = self
            .gateways
            .iter()
            .map(|(_, registry)| sum_metric(registry, name));
        values.sum()
    }

    /// Number of non-idempotent requests that ran more than once, according to the endpoints.
    fn ran_twice(&self, records: &[Record]) -> u64 {
        let mut runs_by_prompt: HashMap<u64, u64> = HashMap::new();
        for execution in self.engines.iter().flat_map(Engine::executions) {
            *runs_by_prompt.entry(execution.prompt_hash).or_default() += 1;
        }
        let service_calls = self.service.executions();
        let run_count = |record: &Record| match record.planned.call {
            Call::Completion { .. } => {
                let hash = prompt_hash(&prompt_of(&record.planned));
                runs_by_prompt.get(&hash).copied().unwrap_or_default()
            }
            Call::Service => {
                let path = plan::service_path(&record.planned);
                service_calls
                    .iter()
                    .filter(|call| call.path == path)
                    .count() as u64
            }
        };
        let non_idempotent = records.iter().filter(|record| !record.planned.idempotent);
        non_idempotent
            .filter(|record| run_count(record) > 1)
            .count() as u64
    }
}

fn prompt_of(planned: &PlannedRequest) -> String {
    match planned.call {
        Call::Completion {
            prompt_tokens,
            shared_prefix,
            ..
        } => plan::prompt(planned, prompt_tokens, shared_prefix),
        Call::Service => String::new(),
    }
}

fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Sum of a metric over all its labels.
fn sum_metric(registry: &Registry, name: &str) -> f64 {
    let labelled = format!("{name}{{");
    let metrics = parse_metrics(&registry.encode());
    let matches = |key: &str| key == name || key.starts_with(&labelled);
    let values = metrics.iter().filter(|(key, _)| matches(key));
    values.map(|(_, value)| value).sum()
}

fn to_error(error: impl std::fmt::Display) -> Error {
    Error::Failed(error.to_string())
}

fn start_engine(options: &Options) -> Result<Engine, Error> {
    let options = engine::Options {
        models: vec![plan::MODEL.to_string()],
        kv_capacity_tokens: options.kv_capacity_tokens,
        kv_import_ratio: KV_IMPORT_RATIO,
        time_scale: options.time_scale,
        ..engine::Options::default()
    };
    Engine::start(options).map_err(to_error)
}

fn start_service(options: &Options) -> Result<Service, Error> {
    let options = service::Options {
        delay_ms: options.service_delay_ms,
        ..service::Options::default()
    };
    Service::start(options).map_err(to_error)
}

/// Starts a sidecar for each endpoint and returns it with the endpoint's row of the table.
fn start_sidecars(
    engines: &[Engine],
    service: &Service,
    platform: &Platform,
) -> Result<Vec<(EndpointRow, Sidecar)>, Error> {
    let engine_row = |index: usize| EndpointRow {
        name: format!("engine-{}", index + 1),
        kind: EndpointKind::Engine.into(),
        zone: ZONES[index % ZONES.len()].to_string(),
        models: vec![plan::MODEL.to_string()],
        checks_orders: true,
        started: true,
        span: true,
        ..EndpointRow::default()
    };
    let service_row = EndpointRow {
        name: SERVICE_ENDPOINT.to_string(),
        kind: EndpointKind::Service.into(),
        zone: ZONES[0].to_string(),
        models: vec![plan::SERVICE.to_string()],
        started: true,
        ..EndpointRow::default()
    };
    let endpoints = engines.iter().enumerate();
    let mut endpoints: Vec<_> = endpoints
        .map(|(index, engine)| (engine_row(index), engine.url()))
        .collect();
    endpoints.push((service_row, service.url()));
    let start = |(row, url)| start_sidecar(row, url, platform);
    endpoints.into_iter().map(start).collect()
}

fn start_sidecar(
    row: EndpointRow,
    endpoint_url: String,
    platform: &Platform,
) -> Result<(EndpointRow, Sidecar), Error> {
    let options = sidecar::Options {
        name: row.name.clone(),
        zone: row.zone.clone(),
        kind: row.kind(),
        endpoint_url,
        platform_url: Some(platform.url()),
        admin_listen: Some(loopback_any_port()),
        ..sidecar::Options::default()
    };
    let sidecar = Sidecar::start(options).map_err(to_error)?;
    let row = EndpointRow {
        sidecar_address: sidecar.address().to_string(),
        ..row
    };
    Ok((row, sidecar))
}

fn start_gateway(
    index: usize,
    listen: SocketAddr,
    platform: &Platform,
) -> Result<(Gateway, Registry), Error> {
    let registry = Registry::new();
    let gateway = Gateway::start(gateway::Options {
        name: format!("gateway-{}", index + 1),
        zone: ZONES[index % ZONES.len()].to_string(),
        listen,
        peer_listen: Some(loopback_any_port()),
        admin_listen: Some(loopback_any_port()),
        platform: Some(duty::Platform::over_http(platform_options(platform))),
        registry: registry.clone(),
        ..gateway::Options::default()
    });
    Ok((gateway.map_err(to_error)?, registry))
}

fn platform_options(platform: &Platform) -> http::Options {
    http::Options {
        base_url: platform.url(),
        ..http::Options::default()
    }
}
