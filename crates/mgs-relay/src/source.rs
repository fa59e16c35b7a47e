//! The interface to the platform's store, from which the configuration and the fleet are read.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use displaydoc::Display;
use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::shared::SharedRecord;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::evacuation::ZoneOrder;
use crate::view::Configuration;

/// A part of the store that is followed by itself, with its own revisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The operators' configuration.
    Configuration,
    /// Endpoints, each with an entry that it registered itself.
    Endpoints,
    /// Gateways, each with an entry that it registered itself, and the held requests.
    Gateways,
}

impl Topic {
    /// Name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
            Self::Gateways => "gateways",
        }
    }
}

/// A position in the history of the store. The store may be restored from an older copy. It then
/// begins another era and reuses revision numbers, so numbers compare within one era only; a
/// revision of a later era is the greater one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the store has been restored from an older copy; 0 if it doesn't report it.
    pub era: u64,
    /// Revision number within the era.
    pub number: u64,
}

impl Revision {
    /// Whether `later` belongs to a later era, that is, whether the store has been restored from an
    /// older copy since this revision.
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

/// One run of an endpoint's process, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Identifier of the endpoint; it may start again under the same one.
    pub id: String,
    /// When it started, in Unix milliseconds, if the endpoint reports it.
    pub born_ms: Option<u64>,
}

impl Incarnation {
    /// Hash that identifies the incarnation between gateways, each of which has endpoint keys of
    /// its own.
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
            // Identifiers never contain a line feed.
            Some(born_ms) => xxh3_64(format!("{}\n{born_ms}", self.id).as_bytes()),
        }
    }
}

/// What an endpoint reports about itself in its entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointFacts {
    /// Identifier and start of the process.
    pub incarnation: Incarnation,
    /// Name of the service that it runs.
    pub service: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down.
    pub is_leaving: bool,
}

/// A row of the store in which an endpoint describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// What it says.
    pub facts: EndpointFacts,
    /// Revision at which it was written; number 0 if unknown, as from a peer of an earlier release.
    pub written: Revision,
}

/// Why a row of the store can't be used; rows may come from other writers. The texts are logged.
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
    /// its key can't name an availability zone
    Zone,
    /// no endpoint is listed in the availability zone that it names
    EmptyZone,
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
            Self::Zone => "zone",
            Self::EmptyZone => "empty_zone",
        }
    }
}

/// One change of a topic.
#[derive(Debug, Clone)]
pub enum Update {
    /// A new configuration.
    Configuration(Box<Configuration>),
    /// An endpoint was added, or its entry changed.
    Endpoint(EndpointRow),
    /// How long an endpoint stays cold after its entry was read; follows [`Self::Endpoint`].
    EndpointCold {
        /// Its identifier.
        id: String,
        /// The time in milliseconds, or the value that can't be parsed as one.
        remaining_ms: Result<u64, String>,
    },
    /// An endpoint's entry was removed.
    EndpointRemoved {
        /// Its identifier.
        id: String,
    },
    /// A row that can't be parsed: what its key named before isn't usable any more.
    Unreadable {
        /// Key of the row; empty if that can't be read either.
        key: String,
        /// What is wrong with it.
        fault: RowFault,
        /// Description of the fault.
        detail: String,
        /// Revision of the store at which the row was written, by which its writer can be found;
        /// number 0 if unknown.
        revision: Revision,
    },
    /// A gateway was added, or its entry changed.
    Gateway {
        /// Its name.
        name: String,
        /// Address on which it receives messages of peers.
        address: SocketAddr,
    },
    /// A gateway's entry was removed.
    GatewayRemoved {
        /// Its name.
        name: String,
    },
    /// A request that crashes endpoints is held.
    Held(SharedRecord),
    /// A request is released.
    Released(Fingerprint),
    /// A zone is to be evacuated, or no longer.
    ZoneOrder(ZoneOrder),
}

/// The result of one read.
#[derive(Debug, Clone)]
pub struct Batch {
    /// The changes in order; for a full read, everything that is listed.
    pub updates: Vec<Update>,
    /// Revision of the store up to which this is complete.
    pub revision: Revision,
    /// Whether the store has later changes that this doesn't contain.
    pub has_more: bool,
}

/// Errors of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SourceError {
    /// the store has dropped the changes since that revision
    HistoryCompacted,
    /// the store was restored from an older copy: era {from} is over, this is era {to}
    EraChanged {
        /// The era of the revision that was asked for.
        from: u64,
        /// The current era of the store.
        to: u64,
    },
    /// the store refuses the call: {0}
    Refused(String),
    /// the store can't be read: {0}
    Unavailable(String),
}

impl std::error::Error for SourceError {}

/// A pending call to the store.
pub type SourceFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, SourceError>> + 'a>>;

/// Calls to the store. Each topic is followed through an instance of its own, so that no topic
/// waits for another.
pub trait Source {
    /// Reads everything in a topic.
    fn read_all(&mut self, topic: Topic) -> SourceFuture<'_, Batch>;

    /// Waits up to `wait_ms` milliseconds for changes after a revision; returns an empty batch if
    /// there were none.
    fn read_changes(
        &mut self,
        topic: Topic,
        after: Revision,
        wait_ms: u64,
    ) -> SourceFuture<'_, Batch>;

    /// Writes this gateway's entry, by which peers find it.
    fn register(&mut self, name: &str, address: SocketAddr) -> SourceFuture<'_, ()>;

    /// Writes that a request is held.
    fn put_hold(&mut self, record: &SharedRecord) -> SourceFuture<'_, ()>;

    /// Removes the entry of a held request.
    fn remove_hold(&mut self, fingerprint: Fingerprint) -> SourceFuture<'_, ()>;
}

/// Creates connections to the store.
pub trait SourceFactory: Send {
    /// Creates a source with a connection of its own.
    fn source(&self) -> Box<dyn Source>;
}
