//! Deliberate bugs, to show that the checks find them.

/// A deliberate bug. Only tests and fault runs turn one on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Plant {
    /// None.
    #[default]
    None,
    /// Attempts a non-idempotent request again though the first attempt may have run.
    RetryAfterUnknown,
    /// Calls an answer whole though frames are missing.
    TruncatedAnswer,
    /// Forgets a request whose path was lost.
    AdmittedAndForgotten,
}

impl Plant {
    /// The plant of a name, as flags spell it.
    ///
    /// ```
    /// use mgs_request::plant::Plant;
    ///
    /// assert_eq!(Plant::from_name("truncated-answer"), Some(Plant::TruncatedAnswer));
    /// assert_eq!(Plant::from_name("bug"), None);
    /// ```
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "" | "none" => Some(Self::None),
            "retry-after-unknown" => Some(Self::RetryAfterUnknown),
            "truncated-answer" => Some(Self::TruncatedAnswer),
            "admitted-and-forgotten" => Some(Self::AdmittedAndForgotten),
            _ => None,
        }
    }
}
