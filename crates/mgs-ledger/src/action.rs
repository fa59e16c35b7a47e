//! What the ledger wants done.

use mgs_schema::key::RequestId;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;

/// Something for the sidecar's threads to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Start the request at the endpoint. Given at most once until it is proved not to have
    /// started.
    Start(RequestId),
    /// Tell the reader that the request was not run, and forget its body.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds; 0 if unknown.
        retry_after_ms: u64,
    },
    /// Tell the reader that the request, which ran or may have run, has no whole answer.
    Fail {
        /// The request.
        id: RequestId,
        /// Failed, or unknown if the endpoint never confirmed that it started.
        outcome: Outcome,
        /// Why.
        reason: FailureReason,
    },
    /// Cancel the stream of an attempt at the engine, and report `freed` once it is known gone.
    CancelStream {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: u32,
    },
    /// Cancel a stream that belongs to no request known here.
    CancelForeign(String),
    /// Free KV that belongs to no request known here.
    FreeKv(String),
    /// Drop the kept answer.
    Forget(RequestId),
}
