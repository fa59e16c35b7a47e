//! Actions that the ledger asks the sidecar to perform.

use mgs_schema::key::RequestId;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;

/// An action for the sidecar to perform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Start the request at the endpoint. Emitted again for the same request only after proof
    /// that the earlier start did not happen.
    Start(RequestId),
    /// Report to the reader that the request was not run, and drop its body.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        reason: RefusalReason,
        /// Delay before the caller should retry, in milliseconds; 0 if unknown.
        retry_after_ms: u64,
    },
    /// Report to the reader that the request, which ran or may have run, has no complete answer.
    Fail {
        /// The request.
        id: RequestId,
        /// `Failed`, or `Unknown` if the endpoint never confirmed the start.
        outcome: Outcome,
        /// Why.
        reason: FailureReason,
    },
    /// Cancel the stream of an attempt at the engine, and call
    /// [`Ledger::stream_freed`](crate::ledger::Ledger::stream_freed) once it is released.
    CancelStream {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: u32,
    },
    /// Cancel a stream, by its name at the engine, that belongs to no known request.
    CancelUnownedStream(String),
    /// Free exported or imported KV, by its name at the engine.
    FreeKv(String),
    /// Drop the retained answer of a request.
    DropAnswer(RequestId),
}
