//! The requirements of one prompt, and the worth of answering it on time.

use crate::model::EngineModel;

/// Size of an answer token in prefill tokens: engines decode one token in about the time in which
/// they prefill ten.
pub const DECODE_COST_FACTOR: f64 = 10.0;

/// Share of a request's worth that is lost when it is late: price sheets pay about a quarter for
/// late answers.
pub const LATE_LOSS_SHARE: f64 = 0.75;

/// The requirements of one prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
    /// Expected tokens of the answer.
    pub expected_tokens: u64,
    /// Longest pause between events at which the answer is on time, in milliseconds.
    pub pause_ms: f64,
    /// Target for the first token, from the request's arrival, in milliseconds.
    pub ttft_target_ms: f64,
    /// Time left until the first-token target, from now, in milliseconds; 0 or less once it has
    /// passed.
    pub ttft_left_ms: f64,
    /// Time left until the request's deadline, from now, in milliseconds.
    pub deadline_left_ms: f64,
    /// Longest silence that the client tolerates before the first event and between events, in
    /// milliseconds. It then disconnects, and the work done for it is lost.
    pub patience_ms: f64,
}

impl Need {
    /// Memory for the prompt and the longest answer, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// Time left for the first token, from now, in milliseconds: until the client disconnects or
    /// the deadline passes.
    pub fn first_token_limit_ms(&self) -> f64 {
        let waited_ms = self.ttft_target_ms - self.ttft_left_ms;
        self.deadline_left_ms.min(self.patience_ms - waited_ms)
    }

    /// Share of the time between a first token `first_token_ms` from now and the deadline that
    /// isn't needed for decoding the answer; 0 if the answer can't end in time.
    ///
    /// ```
    /// use mgs_placing::model::EngineModel;
    /// use mgs_placing::need::Need;
    ///
    /// let need = Need {
    ///     prompt_tokens: 5_000,
    ///     output_tokens: 8_160,
    ///     expected_tokens: 5_100,
    ///     pause_ms: 250.0,
    ///     ttft_target_ms: 300.0,
    ///     ttft_left_ms: 300.0,
    ///     deadline_left_ms: 10_000.0,
    ///     patience_ms: 2_000.0,
    /// };
    /// // 100 passes of 43 ms take 4.3 s of the 9.8 s that are left.
    /// let slack = need.slack_share(&EngineModel::default(), 200.0);
    /// assert!((slack - 0.56).abs() < 0.01);
    /// ```
    pub fn slack_share(&self, model: &EngineModel, first_token_ms: f64) -> f64 {
        let passes = model.passes_for(self.expected_tokens) as f64;
        let decode_ms = passes * model.min_pass_ms();
        let left_ms = (self.deadline_left_ms - first_token_ms).max(f64::MIN_POSITIVE);
        (1.0 - decode_ms / left_ms).clamp(0.0, 1.0)
    }

    /// Worth of answering on time, in units: the request's size as a multiple of the usual
    /// request's, since operators declare no worth and callers who send more wait for more.
    pub fn worth_units(&self, model: &EngineModel) -> f64 {
        size_tokens(self.prompt_tokens as f64, self.expected_tokens as f64)
            / model.usual_size_tokens()
    }
}

/// Size of a request in prefill tokens.
///
/// ```
/// use mgs_placing::need::size_tokens;
///
/// assert_eq!(size_tokens(5_000.0, 800.0), 13_000.0);
/// ```
pub fn size_tokens(prompt_tokens: f64, answer_tokens: f64) -> f64 {
    prompt_tokens + DECODE_COST_FACTOR * answer_tokens
}
