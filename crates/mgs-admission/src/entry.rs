//! An admitted request, and what is learned of answers.

use crate::arena::Key;
use crate::flows::ClassKey;
use crate::flows::Waiting;
use crate::queue::Offer;
use crate::rows::RowKey;

/// What each further answer leaves of the weight of those before it.
const KEPT: f64 = 0.9;

/// What a refusal for the answer's time leaves of that time. While requests are refused for it
/// nothing new is learned, so without this a time learned in an overload would outlast it.
const DOUBTED: f64 = 0.95;

/// Factor by which answers are expected to take longer than their mean: half of them do.
const MARGIN: f64 = 1.1;

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) offer: Offer,
    pub(crate) row: RowKey,
    pub(crate) class: ClassKey,
    pub(crate) weight: u32,
    pub(crate) queued: bool,
    /// When its first token was predicted to come, set at the start.
    pub(crate) first_token_at_ms: u64,
}

/// What was learned of the answers of one row in one class: sums over the latest ones.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answers {
    /// Tokens generated.
    tokens: f64,
    /// Tokens allowed.
    allowed_tokens: f64,
    /// Time from the predicted first token to the end.
    took_ms: f64,
}

impl Answers {
    /// Length that is expected of an answer of at most `max_tokens`.
    pub(crate) fn expected_tokens(&self, max_tokens: u64) -> f64 {
        max_tokens as f64 * (self.tokens / self.allowed_tokens).min(1.0)
    }

    /// Time that is expected of it after its first token.
    pub(crate) fn expected_ms(&self, max_tokens: u64) -> u64 {
        let token_ms = self.took_ms / self.tokens;
        (self.expected_tokens(max_tokens) * token_ms * MARGIN) as u64
    }

    /// Mixes in what was seen.
    pub(crate) fn learn(&mut self, seen: &Self) {
        self.tokens = self.tokens * KEPT + seen.tokens;
        self.allowed_tokens = self.allowed_tokens * KEPT + seen.allowed_tokens;
        self.took_ms = self.took_ms * KEPT + seen.took_ms;
    }

    /// A request was refused for the time of its answer.
    pub(crate) fn doubt(&mut self) {
        self.took_ms *= DOUBTED;
    }
}

impl Entry {
    /// Tokens of prompt and longest answer.
    pub(crate) fn tokens(&self) -> u64 {
        self.offer.prompt_tokens + self.offer.max_tokens
    }

    /// What its flow knows of it.
    pub(crate) fn waiting(&self, key: Key) -> Waiting {
        Waiting {
            row: self.row,
            class: self.class,
            entry: key,
            tokens: self.tokens(),
            weight: self.weight,
        }
    }

    /// What its end shows; `None` without an answer.
    pub(crate) fn answer(&self, now_ms: u64, generated_tokens: u64) -> Option<Answers> {
        if generated_tokens == 0 {
            return None;
        }
        Some(Answers {
            tokens: generated_tokens as f64,
            allowed_tokens: self.offer.max_tokens.max(generated_tokens) as f64,
            took_ms: now_ms.saturating_sub(self.first_token_at_ms) as f64,
        })
    }
}
