//! Gateways and sidecars as processes, without a proxy between them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_platform::host::Host;
use mgs_platform::host::State;
use mgs_platform::http::Client;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;
use mgs_settings::row::RowValue;
use mgs_settings::row::ANY;
use mgs_settings::store::edit;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_settings::table::key_digest;
use mgs_standin::engine;
use mgs_standin::engine::Engine;
use mgs_standin::platform;
use mgs_standin::platform::Platform;

use crate::cluster::find_binary;
use crate::measure::process::Process;
use crate::measure::relay::Relay;
use crate::measure::Error;
use crate::port::Port;

const READY_LIMIT: Duration = Duration::from_secs(120);
const LOOK: Duration = Duration::from_millis(50);
const ADMIN_LIMIT: Duration = Duration::from_secs(2);

/// Rows of one edit.
const EDIT_ROWS_MAX: usize = 400;

/// Where idle endpoints are said to be; nobody calls them.
const IDLE_HOST: Ipv4Addr = Ipv4Addr::new(127, 255, 0, 1);

/// Availability zones.
pub const ZONES: usize = 3;

/// Settings of a system.
#[derive(Debug, Clone)]
pub struct Options {
    /// The binary; searched for beside the running program if not given.
    pub binary: Option<PathBuf>,
    /// Gateways.
    pub gateways: usize,
    /// Sidecars; all stand before one engine.
    pub sidecars: usize,
    /// Models; sidecars take turns among them.
    pub models: usize,
    /// Organisations.
    pub organisations: usize,
    /// Endpoints in the table that are not started.
    pub idle_endpoints: usize,
    /// Sessions that each gateway must have before the system counts as ready.
    pub sessions: usize,
    /// Settings of the engine.
    pub engine: engine::Options,
    /// Further arguments of each gateway.
    pub gateway_arguments: Vec<String>,
    /// Further arguments of each sidecar.
    pub sidecar_arguments: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            binary: None,
            gateways: 1,
            sidecars: 1,
            models: 1,
            organisations: 1,
            idle_endpoints: 0,
            sessions: 1,
            engine: engine::Options::default(),
            gateway_arguments: Vec::new(),
            sidecar_arguments: Vec::new(),
        }
    }
}

/// A process of the product and its ports.
#[derive(Debug)]
pub struct Member {
    /// The process.
    pub process: Process,
    /// Where callers or gateways reach it.
    pub address: SocketAddr,
    /// Where its metrics are.
    pub admin: SocketAddr,
    _ports: Vec<Port>,
}

/// A running system; dropping it ends all of it.
pub struct System {
    /// Gateways.
    pub gateways: Vec<Member>,
    /// Sidecars.
    pub sidecars: Vec<Member>,
    /// The one engine.
    pub engine: Engine,
    /// The platform.
    pub platform: Platform,
    /// The gateways' way to the platform.
    pub gateway_relay: Relay,
    /// The sidecars' way to the platform.
    pub sidecar_relay: Relay,
}

/// Name of a model.
pub fn model(number: usize) -> String {
    format!("model-{number}")
}

/// Bearer key of an organisation.
pub fn bearer_key(number: usize) -> String {
    format!("key-{number}")
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES + 1)
}

impl System {
    /// Starts everything and waits until all gateways are ready and have their sessions.
    pub fn start(options: &Options) -> Result<Self, Error> {
        let binary = options.binary.clone().map_or_else(find_binary, Ok)?;
        let platform = Platform::start(platform::Options::default())?;
        let engine = Engine::start(engine::Options {
            models: (0..options.models).map(model).collect(),
            ..options.engine.clone()
        })?;
        let gateway_relay = Relay::start(platform.address())?;
        let sidecar_relay = Relay::start(platform.address())?;
        let starter = Starter { binary, options };
        let url = engine.url();
        let sidecar = |number| starter.sidecar(number, &url, sidecar_relay.address());
        let sidecars: Result<Vec<_>, _> = (0..options.sidecars).map(sidecar).collect();
        let sidecars = sidecars?;
        platform.memory().set_hosts(hosts(options, &sidecars));
        write_table(&platform, options, &sidecars)?;
        let gateway = |number| starter.gateway(number, gateway_relay.address());
        let gateways: Result<Vec<_>, _> = (0..options.gateways).map(gateway).collect();
        let system = Self {
            gateways: gateways?,
            sidecars,
            engine,
            platform,
            gateway_relay,
            sidecar_relay,
        };
        system.wait_until_ready(options.sessions)?;
        Ok(system)
    }

    fn wait_until_ready(&self, sessions: usize) -> Result<(), Error> {
        let end = Instant::now() + READY_LIMIT;
        for gateway in &self.gateways {
            while !gateway.is_ready(sessions) {
                if Instant::now() >= end {
                    return Err(Error::NotReady(format!("gateway at {}", gateway.admin)));
                }
                thread::sleep(LOOK);
            }
        }
        Ok(())
    }
}

impl Member {
    fn is_ready(&self, sessions: usize) -> bool {
        let ready = self.admin_text("/readyz").is_some();
        ready && self.metric("mgs_gateway_sessions") >= Some(sessions as f64)
    }

    fn admin_text(&self, path: &str) -> Option<String> {
        let url = format!("http://{}{path}", self.admin);
        let response = attohttpc::get(url).timeout(ADMIN_LIMIT).send().ok()?;
        let success = response.is_success();
        response.text().ok().filter(|_| success)
    }

    /// The value of a metric without labels.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let text = self.admin_text("/metrics")?;
        let mut lines = text.lines();
        let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
        value.parse().ok()
    }
}

struct Starter<'a> {
    binary: PathBuf,
    options: &'a Options,
}

impl Starter<'_> {
    fn gateway(&self, number: usize, platform: SocketAddr) -> Result<Member, Error> {
        let peer = Port::take()?;
        let mut arguments = strings(&["gateway", "--peer-listen", &peer.address().to_string()]);
        arguments.extend(self.options.gateway_arguments.iter().cloned());
        self.member(
            &format!("gateway-{number}"),
            number,
            platform,
            arguments,
            vec![peer],
        )
    }

    fn sidecar(&self, number: usize, engine: &str, platform: SocketAddr) -> Result<Member, Error> {
        let mut arguments = strings(&["sidecar", "--endpoint-url", engine]);
        arguments.extend(self.options.sidecar_arguments.iter().cloned());
        self.member(&endpoint(number), number, platform, arguments, Vec::new())
    }

    fn member(
        &self,
        name: &str,
        number: usize,
        platform: SocketAddr,
        mut arguments: Vec<String>,
        mut ports: Vec<Port>,
    ) -> Result<Member, Error> {
        let (listen, admin) = (Port::take()?, Port::take()?);
        let (address, admin_address) = (listen.address(), admin.address());
        ports.extend([listen, admin]);
        arguments.extend(strings(&[
            "--name",
            name,
            "--zone",
            &zone(number),
            "--listen",
            &address.to_string(),
            "--admin",
            &admin_address.to_string(),
            "--platform",
            &format!("http://{platform}"),
            "--log-level",
            "warn",
        ]));
        Ok(Member {
            process: Process::start(&self.binary, &arguments)?,
            address,
            admin: admin_address,
            _ports: ports,
        })
    }
}

fn strings(arguments: &[&str]) -> Vec<String> {
    arguments.iter().map(ToString::to_string).collect()
}

fn endpoint(number: usize) -> String {
    format!("endpoint-{number}")
}

/// The platform's list: a host for each endpoint.
fn hosts(options: &Options, sidecars: &[Member]) -> Vec<Host> {
    let started = sidecars.iter().map(|sidecar| sidecar.address);
    let idle = (0..options.idle_endpoints).map(idle_address);
    let host = |(number, address): (usize, SocketAddr)| Host {
        address: address.to_string(),
        zone: zone(number),
        state: State::Live,
    };
    started.chain(idle).enumerate().map(host).collect()
}

fn idle_address(number: usize) -> SocketAddr {
    SocketAddr::from((IDLE_HOST, number as u16 + 1))
}

fn write_table(platform: &Platform, options: &Options, sidecars: &[Member]) -> Result<(), Error> {
    let started = sidecars.iter().map(|sidecar| (sidecar.address, true));
    let idle = (0..options.idle_endpoints).map(|number| (idle_address(number), false));
    let endpoints = started.chain(idle).enumerate();
    let endpoints = endpoints.map(|(number, (address, started))| {
        RowValue::Endpoint(EndpointRow {
            name: endpoint(number),
            kind: EndpointKind::Engine.into(),
            sidecar_address: address.to_string(),
            zone: zone(number),
            models: vec![model(number % options.models)],
            checks_orders: true,
            started,
            ..EndpointRow::default()
        })
    });
    let organisations = (0..options.organisations).map(|number| {
        RowValue::Organisation(OrganisationRow {
            name: format!("organisation-{number}"),
            key_digests: vec![key_digest(&bearer_key(number))],
            ..OrganisationRow::default()
        })
    });
    let organisation_limits = (0..options.organisations).map(|number| limit(number.to_string()));
    let rows = std::iter::once(limit(String::new()))
        .chain(organisations)
        .chain(organisation_limits)
        .chain(endpoints);
    edit_in_parts(platform, rows.collect())
}

/// The limits of one organisation, or of all without limits of their own.
fn limit(number: String) -> RowValue {
    RowValue::Limit(LimitRow {
        organisation: match number.is_empty() {
            true => ANY.to_string(),
            false => format!("organisation-{number}"),
        },
        kind: ANY.to_string(),
        weight: 1,
        allotted_ms: 120_000,
        ..LimitRow::default()
    })
}

fn edit_in_parts(platform: &Platform, rows: Vec<RowValue>) -> Result<(), Error> {
    let client = Client::new(mgs_platform::http::Options {
        base_url: platform.url(),
        call_timeout_ms: READY_LIMIT.as_millis() as u64,
        ..mgs_platform::http::Options::default()
    });
    let store = Store {
        table: &client,
        objects: &client,
    };
    let failed = |error: String| Error::NotReady(format!("the table: {error}"));
    for (part, rows) in rows.chunks(EDIT_ROWS_MAX).enumerate() {
        let base = read::load(store).map_err(|error| failed(error.to_string()))?;
        let options = edit::Options {
            edit_id: format!("part-{part}"),
            author: "measure".to_string(),
            changes: rows.iter().cloned().map(RowValue::set).collect(),
            ..edit::Options::default()
        };
        edit::commit(store, &base, &options).map_err(|error| failed(error.to_string()))?;
    }
    Ok(())
}
