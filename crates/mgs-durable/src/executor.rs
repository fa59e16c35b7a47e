//! What the gateway lends: running a request and asking its endpoint.

use serde::Deserialize;
use serde::Serialize;

use crate::entry::Ending;
use crate::entry::Target;
use crate::pursuit::Proof;

/// A request as it is kept in the object store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Name of the organisation.
    pub organisation: String,
    /// Kind of request.
    pub kind: String,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// How it ended.
    pub ending: Ending,
    /// Why, in lower case with underscores; empty when answered.
    pub reason: String,
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// An end without an answer.
    ///
    /// ```
    /// use mgs_durable::entry::Ending;
    /// use mgs_durable::executor::Answer;
    ///
    /// let answer = Answer::without_body(Ending::Refused, "busy");
    /// assert!(answer.body.is_empty());
    /// ```
    pub fn without_body(ending: Ending, reason: &str) -> Self {
        Self {
            ending,
            reason: reason.to_string(),
            status: 0,
            content_type: String::new(),
            body: Vec::new(),
        }
    }
}

/// Whether a dispatch may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// It may.
    Go,
    /// It may not now, as the store can't be written. Refuse the request as not run, or ask again.
    StoreUnavailable,
    /// Neither this nor any other: another gateway has the request now.
    Lost,
    /// Neither this nor any other: the caller has cancelled the request.
    Cancelled,
}

/// Asked before each dispatch.
pub trait Permits: Send + Sync {
    /// Writes down that the request goes to `target`. Blocks for a write to the store. A dispatch
    /// elsewhere needs a proof that the one before didn't run, unless the request is idempotent.
    fn before_dispatch(&self, target: &Target) -> Permit;
}

/// The gateway as this crate sees it.
pub trait Executor: Send + Sync {
    /// Runs a durable request to its end, within its budget. Blocks.
    fn run(&self, work: &Work, budget_ms: u64, permits: &dyn Permits) -> Answer;

    /// Reads the whole answer of a request that runs, or ran, at `target`. Blocks.
    fn resume(&self, work: &Work, target: &Target, budget_ms: u64) -> Answer;

    /// Asks `target` to take the request back; its tombstone must last `tombstone_ms`. Blocks
    /// for one exchange.
    fn withdraw(&self, target: &Target, tombstone_ms: u64) -> Proof;

    /// Ends the request at `target`.
    fn cancel(&self, target: &Target);
}
