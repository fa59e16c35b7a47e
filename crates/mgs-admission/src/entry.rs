//! An admitted request, and what is learned of answers.

use crate::arena::Key;
use crate::flows::ClassKey;
use crate::flows::Waiting;
use crate::queue::Offer;
use crate::rows::RowKey;

/// Smoothing of the mean answer length of a row.
const ANSWER_SMOOTHING: f64 = 0.1;

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

/// What was learned of the answers of one row in one class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answers {
    /// Mean length as a share of the longest that was allowed.
    share: f64,
    /// Mean time for each token after the first.
    token_ms: f64,
}

impl Answers {
    /// Length that is expected of an answer of at most `max_tokens`.
    pub(crate) fn expected_tokens(&self, max_tokens: u64) -> f64 {
        max_tokens as f64 * self.share
    }

    /// Time that is expected of it after its first token.
    pub(crate) fn expected_ms(&self, max_tokens: u64) -> u64 {
        (self.expected_tokens(max_tokens) * self.token_ms * MARGIN) as u64
    }

    /// Mixes in what was seen.
    pub(crate) fn learn(&mut self, seen: &Self) {
        self.share += ANSWER_SMOOTHING * (seen.share - self.share);
        self.token_ms += ANSWER_SMOOTHING * (seen.token_ms - self.token_ms);
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
        let tokens = generated_tokens as f64;
        let share = tokens / self.offer.max_tokens.max(1) as f64;
        let took_ms = now_ms.saturating_sub(self.first_token_at_ms) as f64;
        Some(Answers {
            share: share.min(1.0),
            token_ms: took_ms / tokens,
        })
    }
}
