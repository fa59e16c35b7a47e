//! What one prompt asks of the engines, and what it is worth to be on time.

use crate::model::EngineModel;

/// A written token's share of a request's size, in read tokens: engines write a token in about the time in
/// which they read ten.
pub(crate) const WRITTEN_FACTOR: f64 = 10.0;

/// One prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
    /// Tokens that the answer is expected to have.
    pub expected_tokens: u64,
    /// Longest pause between events for which the answer is on time, in milliseconds.
    pub pause_ms: f64,
    /// Time to the first token for which the answer is on time, from the request's arrival, in milliseconds.
    pub full_aim_ms: f64,
    /// The same from now; 0 or less once it has passed.
    pub aim_ms: f64,
    /// Time until the request must have ended, from now, in milliseconds.
    pub left_ms: f64,
}

impl Need {
    /// Memory that it takes, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// What its being on time counts beside other requests: its size as a multiple of the usual request's,
    /// since operators declare no worth and callers who send more wait for more.
    pub fn units(&self, model: &EngineModel) -> f64 {
        size(self.prompt_tokens as f64, self.expected_tokens as f64) / model.usual_size_tokens()
    }
}

/// Size of a request in read tokens.
///
/// ```
/// use mgs_placing::need::size;
///
/// assert_eq!(size(5_000.0, 800.0), 13_000.0);
/// ```
pub fn size(prompt_tokens: f64, answer_tokens: f64) -> f64 {
    prompt_tokens + WRITTEN_FACTOR * answer_tokens
}
