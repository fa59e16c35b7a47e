//! Starting the whole system.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use mgs_settings::row::RowValue;
use mgs_standin::engine;
use mgs_standin::engine::Engine;
use mgs_standin::platform;
use mgs_standin::platform::Platform;
use mgs_standin::service;
use mgs_standin::service::Service;

use crate::caller::Kind;
use crate::cluster::binary;
use crate::cluster::endpoint::Endpoint;
use crate::cluster::endpoint::Standin;
use crate::cluster::member::Member;
use crate::cluster::member::Parts;
use crate::cluster::table;
use crate::cluster::warm;
use crate::cluster::Error;
use crate::port::Port;
use crate::proxy::Route;

/// Limit for a process to listen and to be ready, on a busy machine, in milliseconds.
const START_LIMIT_MS: u64 = 60_000;

/// Subcommands of the two roles.
const GATEWAY: &str = "gateway";
const SIDECAR: &str = "sidecar";

static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

/// Settings of a system.
#[derive(Debug, Clone)]
pub struct Options {
    /// The binary; searched for beside the running program if not given.
    pub binary: Option<PathBuf>,
    /// Gateways.
    pub gateways: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain services of one name.
    pub services: usize,
    /// Time allotted to each request, in milliseconds.
    pub allotted_ms: u64,
    /// Deliberate bug that all processes have; empty for none.
    pub plant: String,
    /// Level of the processes' logs.
    pub log_level: String,
    /// Settings of the engines.
    pub engine: engine::Options,
    /// Settings of the plain services.
    pub service: service::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            binary: None,
            gateways: 2,
            engines: 3,
            services: 2,
            allotted_ms: 15_000,
            plant: String::new(),
            log_level: "info".to_string(),
            engine: engine::Options::default(),
            service: service::Options {
                delay_ms: 50,
                ..service::Options::default()
            },
        }
    }
}

/// A running system; dropping it ends all of it.
pub struct Cluster {
    /// Places of the gateways.
    pub gateways: Vec<Member>,
    /// Endpoints and the places of their sidecars.
    pub endpoints: Vec<Endpoint>,
    /// The platform.
    pub platform: Platform,
    /// Where the processes' logs are.
    pub logs: PathBuf,
}

impl Cluster {
    /// Starts everything and waits until all gateways are ready and answer.
    pub fn start(options: &Options) -> Result<Self, Error> {
        let cluster = Self::build(options)?;
        cluster.edit("start", cluster.rows(options))?;
        let sidecars = cluster.endpoints.iter().map(|one| &one.sidecar);
        for member in sidecars.chain(&cluster.gateways) {
            member.start(START_LIMIT_MS)?;
        }
        for member in &cluster.gateways {
            member.wait_ready(START_LIMIT_MS)?;
            member.wait_sessions(cluster.endpoints.len(), START_LIMIT_MS)?;
            cluster.wait_answers(member)?;
        }
        Ok(cluster)
    }

    /// Makes one edit of the table, past any proxy; returns the version that has it.
    pub fn edit(&self, edit_id: &str, rows: Vec<RowValue>) -> Result<u64, Error> {
        table::edit(self.platform.memory().as_ref(), edit_id, rows)
    }

    /// The places of all processes.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let sidecars = self.endpoints.iter().map(|one| &one.sidecar);
        self.gateways.iter().chain(sidecars)
    }

    /// Waits until a gateway answers requests of each kind that there are endpoints for.
    fn wait_answers(&self, gateway: &Member) -> Result<(), Error> {
        for endpoint in &self.endpoints {
            let kind = match endpoint.standin {
                Standin::Engine(_) => Kind::Whole,
                Standin::Service(_) => Kind::Service,
            };
            if !warm::until_answered(gateway, kind, START_LIMIT_MS) {
                return Err(gateway.not_ready(START_LIMIT_MS));
            }
        }
        Ok(())
    }

    fn build(options: &Options) -> Result<Self, Error> {
        let builder = Builder::new(options)?;
        let gateways = 1..=options.gateways;
        let gateways: Result<_, Error> = gateways.map(|number| builder.gateway(number)).collect();
        Ok(Self {
            gateways: gateways?,
            endpoints: builder.endpoints()?,
            platform: builder.platform,
            logs: builder.logs,
        })
    }

    fn rows(&self, options: &Options) -> Vec<RowValue> {
        let endpoints = self.endpoints.iter().map(|one| one.row(true)).collect();
        table::rows(options.allotted_ms, endpoints)
    }
}

struct Builder<'a> {
    options: &'a Options,
    binary: PathBuf,
    platform: Platform,
    logs: PathBuf,
}

impl<'a> Builder<'a> {
    fn new(options: &'a Options) -> Result<Self, Error> {
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let name = format!("marigoldstage-{}-{number}", process::id());
        let logs = env::temp_dir().join(name);
        fs::create_dir_all(&logs)?;
        let binary = options.binary.clone().map_or_else(binary::find, Ok)?;
        let platform = Platform::start(platform::Options::default())?;
        Ok(Self {
            options,
            binary,
            platform,
            logs,
        })
    }

    fn gateway(&self, number: usize) -> Result<Member, Error> {
        let peer = Port::take()?;
        let arguments = vec!["--peer-listen".to_string(), peer.address().to_string()];
        let place = format!("gateway-{number}");
        self.member(GATEWAY, &place, &place, arguments, vec![peer])
    }

    fn endpoints(&self) -> Result<Vec<Endpoint>, Error> {
        let mut standins = Vec::new();
        for _ in 0..self.options.engines {
            let engine = Engine::start(self.options.engine.clone())?;
            standins.push(Standin::Engine(engine));
        }
        for _ in 0..self.options.services {
            let service = Service::start(self.options.service.clone())?;
            standins.push(Standin::Service(service));
        }
        let numbered = standins.into_iter().zip(1..);
        let endpoints = numbered.map(|(standin, number)| self.endpoint(standin, number));
        endpoints.collect()
    }

    fn endpoint(&self, standin: Standin, number: usize) -> Result<Endpoint, Error> {
        let name = format!("endpoint-{number}");
        let place = format!("sidecar-{number}");
        let engine_route = Route::start(standin.address())?;
        let arguments = vec![
            "--endpoint-kind".to_string(),
            standin.kind_name().to_string(),
            "--endpoint-url".to_string(),
            url(engine_route.address()),
        ];
        Ok(Endpoint {
            sidecar: self.member(SIDECAR, &place, &name, arguments, Vec::new())?,
            name,
            standin,
            engine_route,
        })
    }

    fn member(
        &self,
        role: &str,
        place: &str,
        name: &str,
        mut arguments: Vec<String>,
        others: Vec<Port>,
    ) -> Result<Member, Error> {
        let listen = Port::take()?;
        let admin = Port::take()?;
        let front = Route::start(listen.address())?;
        let platform = Route::start(self.platform.address())?;
        front.refuse(true)?;
        let shared = [
            ("--name", name.to_string()),
            ("--zone", "zone-1".to_string()),
            ("--listen", listen.address().to_string()),
            ("--admin", admin.address().to_string()),
            ("--platform", url(platform.address())),
            ("--log-level", self.options.log_level.clone()),
        ];
        arguments.insert(0, role.to_string());
        arguments.extend(
            shared
                .into_iter()
                .flat_map(|(flag, value)| [flag.to_string(), value]),
        );
        if plants_of(role).contains(&self.options.plant.as_str()) {
            let plant = ["--allow-plant", "--plant", &self.options.plant];
            arguments.extend(plant.map(str::to_string));
        }
        Ok(Member::new(Parts {
            place: place.to_string(),
            binary: self.binary.clone(),
            arguments,
            log: self.logs.join(format!("{place}.log")),
            listen,
            admin,
            _others: others,
            front,
            platform,
        }))
    }
}

/// The deliberate bugs that a role can have.
fn plants_of(role: &str) -> &'static [&'static str] {
    match role {
        GATEWAY => &[
            "retry-after-unknown",
            "truncated-answer",
            "admitted-and-forgotten",
        ],
        _ => &["dropped-tombstone", "forgotten-cancel", "ignored-fence"],
    }
}

fn url(address: SocketAddr) -> String {
    format!("http://{address}")
}
