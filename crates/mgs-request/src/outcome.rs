//! The outcome of a request.

use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;

/// A refusal, which guarantees that the request did not run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which to retry, in milliseconds; 0 if unknown.
    pub retry_after_ms: u64,
    /// Human-readable description; may be empty.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal without a retry time.
    ///
    /// ```
    /// use mgs_request::outcome::Refusal;
    /// use mgs_schema::wire::RefusalReason;
    ///
    /// assert_eq!(Refusal::new(RefusalReason::Busy, "").retry_after_ms, 0);
    /// ```
    pub fn new(reason: RefusalReason, detail: &str) -> Self {
        Self {
            reason,
            retry_after_ms: 0,
            detail: detail.to_string(),
        }
    }
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum End {
    /// The complete response was delivered.
    Answered(Finished),
    /// The request did not run.
    Refused(Refusal),
    /// The request ran, at least in part, without a complete response; holds the reason and a
    /// description.
    Failed(FailureReason, String),
    /// The request may have run; holds the reason and a description.
    Unknown(FailureReason, String),
}

impl End {
    /// The corresponding outcome of the wire schema.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Answered(_) => Outcome::Answered,
            Self::Refused(_) => Outcome::Refused,
            Self::Failed(..) => Outcome::Failed,
            Self::Unknown(..) => Outcome::Unknown,
        }
    }
}
