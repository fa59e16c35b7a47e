//! Deliberate bugs that show that the tests detect them.

/// A deliberate bug, enabled only in tests and fault-injection runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// No bug.
    #[default]
    None,
    /// Retries a non-idempotent request although the first attempt may have run.
    RetryAfterUnknown,
    /// Treats a response as complete although frames are missing.
    TruncatedAnswer,
    /// Drops a request whose connection was lost.
    AdmittedAndForgotten,
}

impl InjectedBug {
    /// Parses the name of a bug as given in a flag; `None` if it is unknown.
    ///
    /// ```
    /// use mgs_request::injected_bug::InjectedBug;
    ///
    /// assert_eq!(InjectedBug::from_name("truncated-answer"), Some(InjectedBug::TruncatedAnswer));
    /// assert_eq!(InjectedBug::from_name("bug"), None);
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
