//! Names of reasons and outcomes as logs, metrics and JSON answers spell them.

use crate::wire::FailureReason;
use crate::wire::Outcome;
use crate::wire::RefusalReason;
use crate::wire::RetryReason;

/// A value with a name for people: lower case, words joined by underscores.
///
/// ```
/// use mgs_schema::name::Name;
/// use mgs_schema::wire::RefusalReason;
///
/// assert_eq!(RefusalReason::QueueFull.name(), "queue_full");
/// ```
pub trait Name {
    /// The name.
    fn name(self) -> String;
}

fn strip(text: &str, prefix: &str) -> String {
    text.strip_prefix(prefix)
        .unwrap_or(text)
        .to_ascii_lowercase()
}

impl Name for RefusalReason {
    fn name(self) -> String {
        strip(self.as_str_name(), "REFUSAL_REASON_")
    }
}

impl Name for FailureReason {
    fn name(self) -> String {
        strip(self.as_str_name(), "FAILURE_REASON_")
    }
}

impl Name for RetryReason {
    fn name(self) -> String {
        strip(self.as_str_name(), "RETRY_REASON_")
    }
}

impl Name for Outcome {
    fn name(self) -> String {
        strip(self.as_str_name(), "OUTCOME_")
    }
}
