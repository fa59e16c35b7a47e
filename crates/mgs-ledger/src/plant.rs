//! Deliberate faults, to show that tests and history checks find them.

use std::str::FromStr;

use displaydoc::Display;

/// A deliberate fault of the ledger. Never set outside tests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Plant {
    /// No fault.
    #[default]
    None,
    /// A withdrawal is answered `never started`, and the request may start later all the same:
    /// neither a tombstone nor a closed session keeps it from that.
    DroppedTombstone,
    /// Streams that must end aren't cancelled at the engine.
    ForgottenCancel,
    /// Orders with old fencing numbers are obeyed.
    IgnoredFence,
}

/// no such fault: {0}
#[derive(Debug, Display)]
pub struct ParseError(String);

impl std::error::Error for ParseError {}

impl FromStr for Plant {
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
