//! What is learned of answers: how long they are and how much time they take.

use std::collections::HashMap;

use crate::flows::ClassKey;
use crate::rows::RowKey;

/// What each further answer leaves of the weight of those before it.
const KEPT: f64 = 0.9;

/// What a refusal for the answer's time leaves of that time. While requests are refused for it
/// nothing new is learned, so without this a time learned in an overload would outlast it.
const DOUBTED: f64 = 0.95;

/// Factor by which answers are expected to take longer than their mean: half of them do.
const MARGIN: f64 = 1.1;

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
    /// What one answer showed.
    pub(crate) fn seen(generated_tokens: u64, max_tokens: u64, took_ms: u64) -> Self {
        Self {
            tokens: generated_tokens as f64,
            allowed_tokens: max_tokens.max(generated_tokens) as f64,
            took_ms: took_ms as f64,
        }
    }

    /// Length that is expected of an answer of at most `max_tokens`.
    fn expected_tokens(&self, max_tokens: u64) -> f64 {
        max_tokens as f64 * (self.tokens / self.allowed_tokens).min(1.0)
    }

    /// Time that is expected of it after its first token.
    fn expected_ms(&self, max_tokens: u64) -> u64 {
        let token_ms = self.took_ms / self.tokens;
        (self.expected_tokens(max_tokens) * token_ms * MARGIN) as u64
    }

    /// Mixes in what was seen.
    fn mix_in(&mut self, seen: &Self) {
        self.tokens = self.tokens * KEPT + seen.tokens;
        self.allowed_tokens = self.allowed_tokens * KEPT + seen.allowed_tokens;
        self.took_ms = self.took_ms * KEPT + seen.took_ms;
    }

    /// A request was refused for the time of its answer.
    fn doubt(&mut self) {
        self.took_ms *= DOUBTED;
    }
}

/// The answers of every row and class.
#[derive(Debug, Default)]
pub(crate) struct Expectations {
    learned: HashMap<(RowKey, ClassKey), Answers>,
}

impl Expectations {
    /// Time that an answer of at most `max_tokens` is expected to take after its first token; 0
    /// while nothing is known.
    pub(crate) fn answer_ms(&self, row: RowKey, class: ClassKey, max_tokens: u64) -> u64 {
        let answers = self.learned.get(&(row, class));
        answers.map_or(0, |answers| answers.expected_ms(max_tokens))
    }

    /// Length that is expected of it; `max_tokens` while nothing is known.
    pub(crate) fn answer_tokens(&self, row: RowKey, class: ClassKey, max_tokens: u64) -> f64 {
        match self.learned.get(&(row, class)) {
            Some(answers) => answers.expected_tokens(max_tokens),
            None => max_tokens as f64,
        }
    }

    /// A request was refused for its answer's time alone.
    pub(crate) fn doubt(&mut self, row: RowKey, class: ClassKey) {
        if let Some(answers) = self.learned.get_mut(&(row, class)) {
            answers.doubt();
        }
    }

    /// An answer has come to its end.
    pub(crate) fn learn(&mut self, row: RowKey, class: ClassKey, seen: Answers) {
        let answers = self.learned.entry((row, class));
        answers.or_insert(seen).mix_in(&seen);
    }
}
