//! Errors as callers see them: a status and JSON that always says whether the request ran.

use mgs_durable::entry::Ending;
use mgs_durable::executor;
use mgs_request::outcome::End;
use mgs_request::outcome::Refusal;
use mgs_schema::name::Name;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::RefusalReason;
use serde::Serialize;
use serde_json::json;

/// When to come back after a refusal that will pass, if nobody knows better, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRun {
    /// It truly didn't.
    Yes,
    /// It ran, at least partly.
    No,
    /// Nobody can tell.
    Unknown,
}

impl Serialize for NotRun {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Yes => serializer.serialize_bool(true),
            Self::No => serializer.serialize_bool(false),
            Self::Unknown => serializer.serialize_str("unknown"),
        }
    }
}

/// An error for a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// `refused`, `failed` or `unknown`.
    pub outcome: String,
    /// Name of the reason.
    pub reason: String,
    /// A sentence for people.
    pub message: String,
    /// Whether the request ran.
    pub not_run: NotRun,
    /// When to come back, in milliseconds; `None` if coming back is of no use, or not safe.
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// What a caller is told of a refusal.
    ///
    /// ```
    /// use mgs_gateway::http::problem::Problem;
    /// use mgs_request::outcome::Refusal;
    /// use mgs_schema::wire::RefusalReason;
    ///
    /// let problem = Problem::refused(&Refusal::new(RefusalReason::Busy, ""));
    /// assert_eq!(problem.status, 503);
    /// assert!(problem.json().contains(r#""not_run":true"#));
    /// ```
    pub fn refused(refusal: &Refusal) -> Self {
        let status = refused_status(refusal.reason);
        let will_pass = matches!(status, 429 | 503);
        let retry_after_ms = match refusal.retry_after_ms {
            0 => will_pass.then_some(RETRY_AFTER_MS),
            known => Some(known),
        };
        let reason = refusal.reason.name();
        let message = match refusal.detail.as_str() {
            "" => format!("refused and not run: {}", reason.replace('_', " ")),
            detail => format!("refused and not run: {detail}"),
        };
        Self {
            status,
            outcome: "refused".to_string(),
            reason,
            message,
            not_run: NotRun::Yes,
            retry_after_ms,
        }
    }

    /// What a caller is told of an end; `None` if the request was answered.
    pub fn of(end: &End) -> Option<Self> {
        match end {
            End::Answered(_) => None,
            End::Refused(refusal) => Some(Self::refused(refusal)),
            End::Failed(reason, detail) => Some(Self::ran(*reason, detail, NotRun::No)),
            End::Unknown(reason, detail) => Some(Self::ran(*reason, detail, NotRun::Unknown)),
        }
    }

    /// What a caller is told of an end that was kept; `None` if the request was answered.
    pub fn of_ended(ended: &executor::Answer) -> Option<Self> {
        let not_run = match ended.ending {
            Ending::Answered => return None,
            Ending::Refused => {
                let reason = refusal_reason(&ended.reason);
                return Some(Self::refused(&Refusal::new(reason, "")));
            }
            Ending::Failed => NotRun::No,
            Ending::Unknown => NotRun::Unknown,
        };
        let name = format!("FAILURE_REASON_{}", ended.reason.to_ascii_uppercase());
        let known = FailureReason::from_str_name(&name);
        let failure = known.unwrap_or(FailureReason::Unspecified);
        // The durable part has reasons of its own.
        Some(Self {
            reason: ended.reason.clone(),
            ..Self::ran(failure, &ended.reason, not_run)
        })
    }

    /// A question about a durable request that couldn't be answered; it says nothing of whether
    /// that request ran.
    pub fn not_looked_up() -> Self {
        Self {
            message: "the store can't be reached; this says nothing of the request".to_string(),
            not_run: NotRun::Unknown,
            ..Self::refused(&Refusal::new(RefusalReason::StoreUnavailable, ""))
        }
    }

    fn ran(failure: FailureReason, detail: &str, not_run: NotRun) -> Self {
        let outcome = match not_run {
            NotRun::Unknown => "unknown",
            _ => "failed",
        };
        let what = match not_run {
            NotRun::Unknown => "the request may have run",
            _ => "the request ran, and there is no whole answer",
        };
        let reason = failure.name();
        let message = match detail {
            "" => format!("{what}: {reason}"),
            detail => format!("{what}: {detail}"),
        };
        Self {
            status: match failure {
                FailureReason::Deadline => 504,
                _ => 502,
            },
            outcome: outcome.to_string(),
            reason,
            message,
            not_run,
            retry_after_ms: None,
        }
    }

    /// The JSON body.
    pub fn json(&self) -> String {
        let error = json!({
            "error": {
                "message": self.message,
                "type": self.outcome,
                "reason": self.reason,
                "not_run": self.not_run,
                "retry_after_ms": self.retry_after_ms,
            }
        });
        error.to_string()
    }
}

fn refusal_reason(name: &str) -> RefusalReason {
    let name = format!("REFUSAL_REASON_{}", name.to_ascii_uppercase());
    RefusalReason::from_str_name(&name).unwrap_or(RefusalReason::Unspecified)
}

fn refused_status(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::BadRequest => 400,
        RefusalReason::Unauthenticated => 401,
        RefusalReason::UnknownModel | RefusalReason::UnknownService => 404,
        RefusalReason::KeyConflict => 409,
        RefusalReason::TooLarge | RefusalReason::PromptExceedsMemory => 413,
        RefusalReason::RequestRate | RefusalReason::TokenRate | RefusalReason::Concurrency => 429,
        _ => 503,
    }
}
