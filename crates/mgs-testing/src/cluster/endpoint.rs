//! An endpoint: a stand-in in this process and the sidecar before it.

use std::net::SocketAddr;
use std::time::Instant;

use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_standin::engine::Engine;
use mgs_standin::engine::RunEnd;
use mgs_standin::service::Service;

use crate::cluster::table::MODEL;
use crate::cluster::table::SERVICE;
use crate::cluster::Member;
use crate::proxy::Route;

/// What stands behind a sidecar.
pub enum Standin {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Service(Service),
}

/// One run of a request, as the endpoint itself knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The prompt, or the body of the call.
    pub text: String,
    /// When it began.
    pub started: Instant,
    /// When it ended, if it has.
    pub ended: Option<Instant>,
    /// Whether it came to its end.
    pub whole: bool,
}

/// An endpoint of the system.
pub struct Endpoint {
    /// Its name in the table.
    pub name: String,
    /// What stands behind the sidecar.
    pub standin: Standin,
    /// The way from the sidecar to it.
    pub engine_route: Route,
    /// The place of its sidecar.
    pub sidecar: Member,
}

impl Standin {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address(),
            Self::Service(service) => service.address(),
        }
    }

    /// Its kind.
    pub fn kind(&self) -> EndpointKind {
        match self {
            Self::Engine(_) => EndpointKind::Engine,
            Self::Service(_) => EndpointKind::Service,
        }
    }

    /// Its kind as flags spell it.
    pub fn kind_name(&self) -> &'static str {
        match self {
            Self::Engine(_) => "engine",
            Self::Service(_) => "service",
        }
    }

    /// Ends all that runs there, and forgets it.
    pub fn crash(&self) {
        match self {
            Self::Engine(engine) => engine.crash(),
            Self::Service(service) => service.crash(),
        }
    }

    /// Stops to answer, or goes on.
    pub fn freeze(&self, frozen: bool) {
        match self {
            Self::Engine(engine) => engine.freeze(frozen),
            Self::Service(service) => service.freeze(frozen),
        }
    }

    /// Everything that ever ran there, crashes included.
    pub fn runs(&self) -> Vec<Run> {
        match self {
            Self::Engine(engine) => {
                let runs = engine.executions().into_iter();
                runs.map(|run| Run {
                    text: run.prompt,
                    started: run.started,
                    ended: run.ended,
                    whole: run.end == Some(RunEnd::Whole),
                })
                .collect()
            }
            Self::Service(service) => {
                let runs = service.executions().into_iter();
                runs.map(|run| Run {
                    text: run.body,
                    started: run.started,
                    ended: run.ended,
                    whole: run.ended.is_some() && !run.crashed,
                })
                .collect()
            }
        }
    }

    /// Memory that its streams and exported KV hold; none for a plain service.
    pub fn held_tokens(&self) -> u64 {
        match self {
            Self::Engine(engine) => engine.memory().used_tokens,
            Self::Service(_) => 0,
        }
    }
}

impl Endpoint {
    /// Its row of the table.
    pub fn row(&self, started: bool) -> EndpointRow {
        let serves = match self.standin {
            Standin::Engine(_) => MODEL,
            Standin::Service(_) => SERVICE,
        };
        EndpointRow {
            name: self.name.clone(),
            kind: self.standin.kind().into(),
            sidecar_address: self.sidecar.front().address().to_string(),
            zone: "zone-1".to_string(),
            models: vec![serves.to_string()],
            checks_orders: true,
            started,
            ..EndpointRow::default()
        }
    }
}
