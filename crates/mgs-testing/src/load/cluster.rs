//! A deployment in one process: engines, sidecars and gateways with sockets on loopback.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use displaydoc::Display;
use mgs_gateway::gateway;
use mgs_gateway::gateway::Gateway;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::EndpointState;
use mgs_settings::hold::Holder;
use mgs_settings::table::key_digest;
use mgs_sidecar::sidecar;
use mgs_sidecar::sidecar::Sidecar;
use mgs_standin::engine::Engine;

use crate::load::scenario::Options;

/// The model that all engines serve.
pub const MODEL: &str = "model-a";

/// Availability zones.
const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];

/// Memory of an engine; the longest prompts are more than twice as large.
const KV_CAPACITY_TOKENS: u64 = 450_000;

/// Time between load reports, in the model's milliseconds.
const REPORT_MS: f64 = 100.0;

/// Delay of an engine's cache events and load, in the model's milliseconds.
const ENGINE_LAG_MS: f64 = 200.0;

/// Longest time until all gateways see all engines.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Why a deployment can't start.
#[derive(Debug, Display)]
pub enum Error {
    /// an engine can't start: {0}
    Engine(io::Error),
    /// a sidecar can't start: {0}
    Sidecar(sidecar::Error),
    /// a gateway can't start: {0}
    Gateway(gateway::Error),
    /// not all engines were seen by all gateways in time
    NotReady,
}

impl std::error::Error for Error {}

/// A running deployment; all of it stops when dropped.
pub struct Cluster {
    gateways: Vec<Gateway>,
    sidecars: Vec<Sidecar>,
    engines: Vec<Engine>,
}

/// Bearer key of an organisation.
pub fn bearer_key(organisation: usize) -> String {
    format!("key-of-organisation-{organisation}")
}

/// Name of an organisation.
pub fn organisation(organisation: usize) -> String {
    format!("organisation-{organisation}")
}

fn start_sidecar(i: usize, engine: &Engine) -> Result<Sidecar, Error> {
    Sidecar::start(sidecar::Options {
        name: endpoint(i),
        zone: zone(i),
        endpoint_url: engine.url(),
        transport_threads: 1,
        ..sidecar::Options::default()
    })
    .map_err(Error::Sidecar)
}

impl Cluster {
    /// Starts a deployment whose gateways route by `policy`, and waits until it is ready. Baselines
    /// queue first in, first out.
    pub fn start(options: &Options, policy: &str) -> Result<Self, Error> {
        let engine = |_| engine(options).map_err(Error::Engine);
        let engines = (0..options.engines)
            .map(engine)
            .collect::<Result<Vec<_>, _>>()?;
        let sidecars = engines
            .iter()
            .enumerate()
            .map(|(i, engine)| start_sidecar(i, engine))
            .collect::<Result<Vec<_>, _>>()?;
        let addresses: Vec<SocketAddr> = sidecars.iter().map(Sidecar::address).collect();
        let settings = Arc::new(Holder::default());
        settings.adopt_snapshot(settings_of(options, &addresses));
        let gateway = |i| {
            Gateway::start(gateway::Options {
                name: format!("gateway-{i}"),
                zone: zone(i),
                settings: Arc::clone(&settings),
                policy: policy.to_owned(),
                admission: admission_of(policy).to_owned(),
                report_interval_ms: (REPORT_MS / options.time_scale).max(10.0) as u64,
                report_ms_per_session: 0,
                hedge: false,
                ..gateway::Options::default()
            })
            .map_err(Error::Gateway)
        };
        let gateways = (0..options.gateways)
            .map(gateway)
            .collect::<Result<Vec<_>, _>>()?;
        let cluster = Self {
            gateways,
            sidecars,
            engines,
        };
        cluster.wait_until_ready()?;
        Ok(cluster)
    }

    fn wait_until_ready(&self) -> Result<(), Error> {
        let limit = Instant::now() + READY_LIMIT;
        while !self.gateways.iter().all(|gateway| self.sees_all(gateway)) {
            if Instant::now() > limit {
                return Err(Error::NotReady);
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    fn sees_all(&self, gateway: &Gateway) -> bool {
        let view = gateway.core().view();
        let live = view.endpoints.iter().flatten();
        live.filter(|e| e.state == EndpointState::Live).count() == self.sidecars.len()
    }

    /// Address of a gateway.
    pub fn gateway(&self, number: usize) -> SocketAddr {
        self.gateways[number % self.gateways.len()].address()
    }

    /// Crashes an engine, which starts anew.
    pub fn crash(&self, number: usize) {
        self.engines[number % self.engines.len()].crash();
    }
}

fn engine(options: &Options) -> io::Result<Engine> {
    Engine::start(mgs_standin::engine::Options {
        models: vec![MODEL.to_string()],
        kv_capacity_tokens: KV_CAPACITY_TOKENS,
        load_lag_ms: ENGINE_LAG_MS as u64,
        cache_event_delay_ms: ENGINE_LAG_MS as u64,
        time_scale: options.time_scale,
        ..mgs_standin::engine::Options::default()
    })
}

/// The queue that goes with a policy.
pub fn admission_of(policy: &str) -> &'static str {
    if policy == mgs_routing::policy::NAMES[0] {
        mgs_admission::queue::NAMES[0]
    } else {
        "fifo"
    }
}

fn endpoint(number: usize) -> String {
    format!("engine-{number}")
}

fn zone(number: usize) -> String {
    ZONES[number % ZONES.len()].to_string()
}

fn settings_of(options: &Options, addresses: &[SocketAddr]) -> Snapshot {
    let endpoint = |(i, address): (usize, &SocketAddr)| EndpointRow {
        name: endpoint(i),
        kind: EndpointKind::Engine.into(),
        sidecar_address: address.to_string(),
        zone: zone(i),
        models: vec![MODEL.to_string()],
        started: true,
        ..EndpointRow::default()
    };
    let parts = options.scenario.parts(options.organisations);
    let least = parts.iter().copied().fold(f64::MAX, f64::min);
    let limit = |(i, part): (usize, &f64)| LimitRow {
        organisation: organisation(i),
        kind: "*".to_string(),
        weight: (part / least).round() as u32,
        priority: 1,
        allotted_ms: 300_000,
        ..LimitRow::default()
    };
    let member = |i| OrganisationRow {
        name: organisation(i),
        key_digests: vec![key_digest(&bearer_key(i))],
        ..OrganisationRow::default()
    };
    Snapshot {
        version: 1,
        limits: parts.iter().enumerate().map(limit).collect(),
        organisations: (0..options.organisations).map(member).collect(),
        endpoints: addresses.iter().enumerate().map(endpoint).collect(),
    }
}
