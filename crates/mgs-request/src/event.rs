//! What a request's life is told, and what it wants done.

use mgs_schema::wire::Finished;
use mgs_schema::wire::RetryReason;
use mgs_schema::wire::TokenFrame;
use mgs_schema::wire::WithdrawState;

use crate::outcome::End;
use crate::outcome::Refusal;

/// Number of an attempt, from 1.
pub type AttemptNumber = u32;

/// What happened. Attempts are named by their numbers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The caller went away or cancelled.
    CallerGone,
    /// The dispatch was handed to a connection; the first token is predicted in so many
    /// milliseconds.
    Sent {
        /// The attempt.
        attempt: AttemptNumber,
        /// Predicted time to first token, in milliseconds.
        first_token_ms: u64,
    },
    /// No endpoint can be chosen for the attempt; nothing was sent.
    NoEndpoint {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        refusal: Refusal,
        /// Whether one may be free soon.
        busy: bool,
    },
    /// No connection could be had for what was to be sent (a dispatch, withdraw or resume);
    /// nothing was sent.
    NotSent {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Memory is being gathered for the attempt at several endpoints; nothing was sent.
    Gathering {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The memory is there, and the dispatch is about to be handed to a connection.
    Gathered {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The sidecar took the attempt.
    Accepted {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The sidecar refused the call.
    Refused {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        refusal: Refusal,
    },
    /// A piece of the answer.
    Frame {
        /// The attempt.
        attempt: AttemptNumber,
        /// The piece.
        frame: TokenFrame,
    },
    /// The sidecar says that the attempt ended.
    Finished {
        /// The attempt.
        attempt: AttemptNumber,
        /// How.
        finished: Finished,
    },
    /// The connection broke or fell silent after something was sent, with no end said.
    PathLost {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The sidecar answered a withdraw.
    Withdrawn {
        /// The attempt.
        attempt: AttemptNumber,
        /// What it knows.
        state: WithdrawState,
    },
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Choose an endpoint that wasn't tried yet and dispatch there.
    Dispatch {
        /// The attempt.
        attempt: AttemptNumber,
        /// Why it is made again; `None` for the first.
        retry: Option<RetryReason>,
    },
    /// Ask the attempt's sidecar to take it back, over a new connection.
    Withdraw {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Ask the attempt's sidecar for the answer from a frame on, over a new connection.
    Resume {
        /// The attempt.
        attempt: AttemptNumber,
        /// First frame wanted.
        next_seq: u64,
    },
    /// Tell the attempt's sidecar to end it; no answer is waited for.
    Cancel {
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Give a piece of the answer to the caller.
    Deliver(TokenFrame),
    /// Tell the caller the end. It comes once, and last but for cancels.
    Finish(End),
}
