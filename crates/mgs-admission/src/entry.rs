//! An admitted request.

use crate::answer::Answers;
use crate::arena::Key;
use crate::flows::ClassKey;
use crate::flows::Waiting;
use crate::queue::Offer;
use crate::rows::RowKey;

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
        let took_ms = now_ms.saturating_sub(self.first_token_at_ms);
        Some(Answers::seen(
            generated_tokens,
            self.offer.max_tokens,
            took_ms,
        ))
    }
}
