//! An engine as a trait object.

use displaydoc::Display;

use crate::message::CacheEvents;
use crate::message::Event;
use crate::message::Info;
use crate::message::KvExport;
use crate::message::KvHandle;
use crate::message::Load;
use crate::message::Order;
use crate::message::Start;
use crate::message::StreamInfo;

/// Why a call of an engine has no result.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the engine can't be reached; nothing was sent: {0}
    Unreachable(String),
    /// the path broke after the call was sent: {0}
    Broken(String),
    /// the engine knows no such stream or KV
    NotFound,
    /// the engine knows the stream already
    Exists,
    /// the engine is full
    Full,
    /// the order carries an old fencing number
    StaleFencing,
    /// the engine refuses the call: {0}
    Rejected(String),
}

impl std::error::Error for Error {}

/// The events of one stream, read one after another.
pub trait Stream: Send {
    /// The next event; `None` after the end. Blocks until there is one.
    fn next(&mut self) -> Result<Option<Event>, Error>;
}

/// A model engine.
pub trait Engine: Send + Sync {
    /// Starts a stream. `Unreachable`, `Exists`, `Full` and `Rejected` prove that this call
    /// started nothing.
    fn start(&self, start: &Start) -> Result<Box<dyn Stream>, Error>;

    /// Reads a known stream from a frame on.
    fn resume(&self, stream: &str, from: u64) -> Result<Box<dyn Stream>, Error>;

    /// Ends a stream and frees its memory.
    fn cancel(&self, stream: &str) -> Result<(), Error>;

    /// Lists streams.
    fn streams(&self) -> Result<Vec<StreamInfo>, Error>;

    /// Exports KV.
    fn export_kv(&self, export: &KvExport) -> Result<KvHandle, Error>;

    /// Imports KV.
    fn import_kv(&self, handle: &KvHandle) -> Result<KvHandle, Error>;

    /// Lists KV held outside streams.
    fn kv(&self) -> Result<Vec<KvHandle>, Error>;

    /// Frees KV.
    fn free_kv(&self, kv: &str) -> Result<(), Error>;

    /// Reads the load, which lags.
    fn load(&self) -> Result<Load, Error>;

    /// Reads cache events after a number; they come late and with gaps.
    fn cache_events(&self, after: u64) -> Result<CacheEvents, Error>;

    /// Gives an order.
    fn order(&self, order: &Order) -> Result<(), Error>;

    /// Reads what the engine says of itself.
    fn info(&self) -> Result<Info, Error>;
}
