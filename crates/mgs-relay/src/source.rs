//! Where the configuration and the fleet come from: the border to the platform's store.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use displaydoc::Display;
use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::table::SharedRecord;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::view::Configuration;

/// What is followed, each with its own revisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The operators' configuration.
    Configuration,
    /// Endpoints that registered themselves.
    Endpoints,
    /// Gateways that registered themselves, and the works that they hold.
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

/// A place in the history of the store. The store may come back from an older copy: then it begins another era, and gives
/// out numbers again, so that numbers compare within one era only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Revision {
    /// How often the store has come back from an older copy, as far as it tells; 0 if it doesn't.
    pub era: u64,
    /// Number within the era.
    pub number: u64,
}

impl Revision {
    /// Whether the store has come back from an older copy since this revision, by a later one.
    ///
    /// ```
    /// use mgs_relay::source::Revision;
    ///
    /// let before = Revision { era: 1, number: 900 };
    /// assert!(before.is_outdated_by(Revision { era: 2, number: 850 }));
    /// assert!(!before.is_outdated_by(Revision { era: 1, number: 950 }));
    /// ```
    pub fn is_outdated_by(self, later: Self) -> bool {
        later.era > self.era
    }
}

/// One life of an endpoint, from a start of its process to the next.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Its identifier; an endpoint may start again under the one that it had.
    pub id: String,
    /// When it started, in Unix milliseconds, if it tells.
    pub born_ms: Option<u64>,
}

impl Incarnation {
    /// Names it among gateways, whose own keys differ.
    ///
    /// ```
    /// use mgs_relay::source::Incarnation;
    ///
    /// let born = |born_ms| Incarnation { id: "i-1".to_string(), born_ms };
    /// assert_ne!(born(Some(1)).hash_64(), born(Some(2)).hash_64());
    /// assert_ne!(born(Some(1)).hash_64(), born(None).hash_64());
    /// ```
    pub fn hash_64(&self) -> u64 {
        match self.born_ms {
            None => xxh3_64(self.id.as_bytes()),
            // No identifier holds a line feed.
            Some(born_ms) => xxh3_64(format!("{}\n{born_ms}", self.id).as_bytes()),
        }
    }

    /// Whether this start ends an `other` one at the same address. Of two that tell when they started the later one
    /// does, of two that don't the one that is written later. If only one of them tells, both stay: requests name
    /// the one that they are meant for, and the other refuses them unrun.
    pub fn ends(&self, other: &Self) -> bool {
        match (self.born_ms, other.born_ms) {
            (Some(own_ms), Some(other_ms)) => own_ms > other_ms,
            (None, None) => true,
            _ => false,
        }
    }
}

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointFacts {
    /// Which life of which endpoint.
    pub incarnation: Incarnation,
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

/// What is wrong with a row of the store, which other writers may have written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RowFault {
    /// the row's own fields are missing or of another type
    Shape,
    /// its content isn't base64
    Encoding,
    /// its content lacks a field, or has one of another type or with an unknown value
    Content,
    /// its key can't be an endpoint's identifier
    Identifier,
    /// its address can't be an endpoint's
    Address,
    /// the configuration names no such service
    Service,
    /// it doesn't say when it started, and earlier entries under its key did
    NoStart,
    /// a later start of the same endpoint, or at the same address, is known
    OlderStart,
    /// it is from an older copy of the store, and the endpoint has gone since
    Gone,
}

impl RowFault {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Shape => "shape",
            Self::Encoding => "encoding",
            Self::Content => "content",
            Self::Identifier => "identifier",
            Self::Address => "address",
            Self::Service => "service",
            Self::NoStart => "no_start",
            Self::OlderStart => "older_start",
            Self::Gone => "gone",
        }
    }
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
        /// Its identifier.
        id: String,
    },
    /// A row that can't be understood: whatever it named before, it names nothing now.
    Unreadable {
        /// Its key; empty if that can't be read either.
        key: String,
        /// What is wrong with it.
        fault: RowFault,
        /// The same in words.
        detail: String,
        /// The store's revision at which it was written, by which its writer can be found; number 0 if it has none.
        revision: Revision,
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
    /// A work that crashes endpoints is held.
    Held(SharedRecord),
    /// A work is held no more.
    LetGo(Fingerprint),
}

/// What was read.
#[derive(Debug, Clone)]
pub struct Batch {
    /// Changes, in order; of a whole reading, all that is there.
    pub updates: Vec<Update>,
    /// The store's revision up to which this is complete.
    pub revision: Revision,
}

/// Why nothing was read.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SourceError {
    /// the store has dropped the changes since that revision
    HistoryGone,
    /// the store has come back from an older copy: era {from} is over, this is era {to}
    EraOver {
        /// The era that was known.
        from: u64,
        /// The era that it is in now.
        to: u64,
    },
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
    fn read_changes(&mut self, topic: Topic, after: Revision, wait_ms: u64) -> Reading<'_, Batch>;

    /// Lists this gateway for its peers.
    fn register(&mut self, name: &str, address: SocketAddr) -> Reading<'_, ()>;

    /// Writes that a work is held.
    fn put_hold(&mut self, hold: &SharedRecord) -> Reading<'_, ()>;

    /// Writes that a work isn't held any more.
    fn remove_hold(&mut self, work: Fingerprint) -> Reading<'_, ()>;
}

/// Makes sources.
pub trait SourceFactory: Send {
    /// A source with a connection of its own.
    fn source(&self) -> Box<dyn Source>;
}
