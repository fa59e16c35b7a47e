//! Events and actions of the request state machine.

use mgs_schema::wire::Finished;
use mgs_schema::wire::RetryReason;
use mgs_schema::wire::TokenFrame;
use mgs_schema::wire::WithdrawState;

use crate::outcome::End;
use crate::outcome::Refusal;

/// Number of an attempt, starting at 1.
pub type AttemptNumber = u32;

/// Input of the request state machine. Attempts are identified by their numbers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The caller disconnected or cancelled the request.
    CallerGone,
    /// The dispatch was handed to a connection.
    Sent {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Predicted time to first token, in milliseconds.
        first_token_ms: u64,
    },
    /// No endpoint could be chosen for the attempt; nothing was sent.
    NoEndpoint {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Reason of the refusal.
        refusal: Refusal,
        /// Whether an endpoint may become free soon.
        busy: bool,
    },
    /// No connection was available for a dispatch, withdraw or resume; nothing was sent.
    NotSent {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// Memory for the attempt is being reserved at several endpoints; nothing was sent.
    ReservingMemory {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// The memory is reserved, and the dispatch is about to be handed to a connection.
    MemoryReserved {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// The sidecar accepted the attempt.
    Accepted {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// The sidecar refused the dispatch or resume.
    Refused {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Reason of the refusal.
        refusal: Refusal,
    },
    /// A frame of the response.
    Frame {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// The received frame.
        frame: TokenFrame,
    },
    /// The sidecar reported the end of the attempt.
    Finished {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// The reported end.
        finished: Finished,
    },
    /// The connection broke or timed out after a message was sent and before an end was reported.
    ConnectionLost {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// The sidecar replied to a withdraw.
    Withdrawn {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// State of the attempt that the sidecar reported.
        state: WithdrawState,
    },
}

/// Output of the request state machine, carried out by the gateway.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Choose an endpoint that hasn't been tried yet and dispatch the attempt there.
    Dispatch {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Reason of the retry; `None` for the first attempt, and when an endpoint is chosen again
        /// for the same attempt.
        retry: Option<RetryReason>,
    },
    /// Send a withdraw to the attempt's sidecar, over a new connection.
    Withdraw {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// Send a resume to the attempt's sidecar, over a new connection.
    Resume {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Sequence number of the first requested frame.
        next_seq: u64,
    },
    /// Send a cancel to the attempt's sidecar, without waiting for a reply.
    Cancel {
        /// Number of the attempt.
        attempt: AttemptNumber,
    },
    /// Deliver a frame of the response to the caller.
    Deliver(TokenFrame),
    /// Report the end to the caller. It occurs once, and only cancels follow it.
    Finish(End),
}
