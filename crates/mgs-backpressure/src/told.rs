//! What gateways tell each other of endpoints.

/// How long peers are told that a limit isn't named any more, in milliseconds. Who hears it later finds out when it sends
/// something there.
const OVER_TOLD_MS: f64 = 10_000.0;

/// Word of a limit: that it is named, or isn't any more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Word {
    /// Requests a second; `None` if it isn't named any more.
    pub per_s: Option<f64>,
    /// When an answer that names it was heard, or when the request was sent whose answer names none: the endpoint said so
    /// later than that. In milliseconds.
    pub at_ms: f64,
}

impl Word {
    /// Whether it goes before another one: the newer does, whichever is heard first, and of two at the same moment the one
    /// that names a limit.
    pub(crate) fn goes_before(&self, other: &Self) -> bool {
        let is_named = self.per_s.is_some() && other.per_s.is_none();
        self.at_ms > other.at_ms || self.at_ms == other.at_ms && is_named
    }
}

/// What a gateway knows of an endpoint by itself.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Told {
    /// What the endpoint said to the sender of a limit, if it did.
    pub word: Option<Word>,
    /// Requests that the sender has sent there by a limit, since it started. All of them, so that a lost message is made
    /// good by the next.
    pub sent: u32,
    /// Whether the endpoint said to the sender that it leaves.
    pub leaves: bool,
}

impl Told {
    /// Whether a peer has any use for it.
    pub(crate) fn is_worth(&self, now_ms: f64) -> bool {
        let is_over = |word: &Word| word.per_s.is_none() && now_ms - word.at_ms > OVER_TOLD_MS;
        let has_word = self.word.is_some_and(|word| !is_over(&word));
        self.sent > 0 || self.leaves || has_word
    }
}
