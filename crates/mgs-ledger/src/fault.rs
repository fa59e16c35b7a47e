//! Injected faults, which show that tests and history checks detect such bugs.

use std::str::FromStr;

use displaydoc::Display;

/// An injected fault of the ledger. Never set outside tests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// A withdrawal is answered `never started`, but the request may still start later: no
    /// tombstone is written and messages of closed sessions are accepted.
    DroppedTombstone,
    /// Streams and KV that are no longer needed aren't freed at the engine.
    ForgottenCancel,
    /// Orders with stale fencing numbers are accepted.
    IgnoredFence,
}

/// no such fault: {0}
#[derive(Debug, Display)]
pub struct ParseError(String);

impl std::error::Error for ParseError {}

impl FromStr for InjectedFault {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "" | "none" => Ok(Self::None),
            "dropped-tombstone" => Ok(Self::DroppedTombstone),
            "forgotten-cancel" => Ok(Self::ForgottenCancel),
            "ignored-fence" => Ok(Self::IgnoredFence),
            other => Err(ParseError(other.to_string())),
        }
    }
}
