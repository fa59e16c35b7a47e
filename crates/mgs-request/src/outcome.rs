//! The one outcome of a request.

use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;

/// A refusal: the request truly did not run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, in milliseconds; 0 if unknown.
    pub retry_after_ms: u64,
    /// A sentence for people; may be empty.
    pub detail: String,
}

impl Refusal {
    /// A refusal without a time to come back.
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
    /// The whole answer was delivered.
    Answered(Finished),
    /// Truly not run.
    Refused(Refusal),
    /// Ran or partly ran, with no whole answer.
    Failed(FailureReason, String),
    /// May have run.
    Unknown(FailureReason, String),
}

impl End {
    /// The outcome as the schema names it.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Answered(_) => Outcome::Answered,
            Self::Refused(_) => Outcome::Refused,
            Self::Failed(..) => Outcome::Failed,
            Self::Unknown(..) => Outcome::Unknown,
        }
    }
}
