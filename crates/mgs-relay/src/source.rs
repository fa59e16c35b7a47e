//! Where the configuration and the fleet come from: the border to the platform's store.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::view::Configuration;

/// What is followed, each with its own revisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The operators' configuration.
    Configuration,
    /// Endpoints that registered themselves.
    Endpoints,
    /// Gateways that registered themselves.
    Gateways,
}

impl Topic {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
            Self::Gateways => "gateways",
        }
    }
}

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointFacts {
    /// Identifier of its incarnation.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// One change.
#[derive(Debug, Clone)]
pub enum Update {
    /// A configuration.
    Configuration(Box<Configuration>),
    /// An endpoint is there, or is there with other facts.
    Endpoint(EndpointFacts),
    /// An endpoint isn't listed any more.
    EndpointGone {
        /// Identifier of its incarnation.
        id: String,
    },
    /// A gateway is there.
    Gateway {
        /// Its name.
        name: String,
        /// Where it hears peers.
        address: SocketAddr,
    },
    /// A gateway isn't listed any more.
    GatewayGone {
        /// Its name.
        name: String,
    },
}

/// What was read.
#[derive(Debug, Clone)]
pub struct Batch {
    /// Changes, in order; of a whole reading, all that is there.
    pub updates: Vec<Update>,
    /// The store's revision up to which this is complete.
    pub revision: u64,
}

/// Why nothing was read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SourceError {
    /// the store has dropped the changes since that revision
    HistoryGone,
    /// the store can't be read: {0}
    Unavailable(String),
}

impl std::error::Error for SourceError {}

/// A reading under way.
pub type Reading<'a, T> = Pin<Box<dyn Future<Output = Result<T, SourceError>> + 'a>>;

/// The store as the follower sees it. One instance for each topic, so that none waits for another.
pub trait Source {
    /// Reads all of a topic.
    fn read_all(&mut self, topic: Topic) -> Reading<'_, Batch>;

    /// Waits for changes after a revision, at most `wait_ms`; none is an empty batch.
    fn read_changes(&mut self, topic: Topic, after: u64, wait_ms: u64) -> Reading<'_, Batch>;

    /// Lists this gateway for its peers.
    fn register(&mut self, name: &str, address: SocketAddr) -> Reading<'_, ()>;
}

/// Makes sources.
pub trait SourceFactory: Send {
    /// A source with a connection of its own.
    fn source(&self) -> Box<dyn Source>;
}
