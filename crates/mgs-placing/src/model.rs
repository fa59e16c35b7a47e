//! Performance model of an engine, from figures that its operator declares.

use serde::Deserialize;
use serde::Serialize;

use crate::need::size_tokens;

/// The declared figures of the engines of one service.
///
/// An engine works in passes. A pass with at least one decoding request makes `stride_steps` steps
/// and then emits one event for each such request. Prefill that runs in the same pass lengthens it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Steps of a pass with decoding requests.
    pub stride_steps: u32,
    /// Duration of one step, in milliseconds.
    pub step_ms: f64,
    /// Added to a step by each decoding request, in milliseconds.
    pub writer_step_ms: f64,
    /// Added to a step by each 1,000 tokens of context of a decoding request, in milliseconds.
    pub context_step_ms_per_1k: f64,
    /// Prompt tokens prefilled per millisecond, without the cost of attention between token pairs.
    pub read_tokens_per_ms: f64,
    /// Most prompt tokens prefilled in a step.
    pub chunk_tokens: u64,
    /// Attention cost of a million pairs of a token and an earlier one, in milliseconds.
    pub pair_ms_per_million: f64,
    /// Mean prompt length that the operator expects, in tokens.
    pub usual_prompt_tokens: f64,
    /// Mean answer length that the operator expects, in tokens.
    pub usual_answer_tokens: f64,
}

/// What one more decoding request adds to a pass of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecodeCost {
    /// Without any context, in milliseconds.
    base_ms: f64,
    /// For each 1,000 tokens of its context, in milliseconds.
    per_1k_tokens_ms: f64,
}

impl DecodeCost {
    /// The added time with a context of `context_tokens`, in milliseconds.
    pub(crate) fn with_context_ms(self, context_tokens: f64) -> f64 {
        self.base_ms + self.per_1k_tokens_ms * context_tokens / 1e3
    }
}

impl Default for EngineModel {
    /// The figures of the first deployments, for engines that declare none.
    fn default() -> Self {
        Self {
            slots: 16,
            memory_tokens: 300_000,
            stride_steps: 51,
            step_ms: 0.85,
            writer_step_ms: 0.004,
            context_step_ms_per_1k: 0.003,
            read_tokens_per_ms: 177.0,
            chunk_tokens: 2_048,
            pair_ms_per_million: 0.184,
            usual_prompt_tokens: 11_000.0,
            usual_answer_tokens: 1_600.0,
        }
    }
}

impl EngineModel {
    /// Time to prefill a prompt on one idle engine, in milliseconds.
    ///
    /// ```
    /// use mgs_placing::model::EngineModel;
    ///
    /// let model = EngineModel::default();
    /// assert!((model.prefill_ms(45_000) - 459.0).abs() < 5.0);
    /// ```
    pub fn prefill_ms(&self, prompt_tokens: u64) -> f64 {
        let tokens = prompt_tokens as f64;
        let million_pairs = tokens * tokens / 2.0 / 1e6;
        let steps = tokens / self.chunk_tokens.max(1) as f64;
        let steps_ms = steps * self.step_ms;
        let pairs_ms = million_pairs * self.pair_ms_per_million;
        tokens / self.read_tokens_per_ms + pairs_ms + steps_ms
    }

    /// Size of the usual request in prefill tokens, which defines one unit of worth.
    pub(crate) fn usual_size_tokens(&self) -> f64 {
        size_tokens(self.usual_prompt_tokens, self.usual_answer_tokens).max(1.0)
    }

    /// Duration of a pass without prefill on an engine with half of its slots taken by usual
    /// requests, in milliseconds.
    ///
    /// ```
    /// use mgs_placing::model::EngineModel;
    ///
    /// assert!((EngineModel::default().usual_pass_ms() - 59.0).abs() < 1.0);
    /// ```
    pub fn usual_pass_ms(&self) -> f64 {
        let decoding = (self.slots / 2).max(1);
        let context_tokens = f64::from(decoding) * self.usual_prompt_tokens;
        self.pass_ms(decoding, context_tokens as u64)
    }

    /// Duration of a pass without prefill and without any decoding request's added cost, in
    /// milliseconds.
    pub fn min_pass_ms(&self) -> f64 {
        self.pass_ms(0, 0)
    }

    /// Passes needed to decode an answer of `answer_tokens`, including the one that emits the first
    /// token.
    pub fn passes_for(&self, answer_tokens: u64) -> u64 {
        answer_tokens
            .div_ceil(u64::from(self.stride_steps.max(1)))
            .max(1)
    }

    /// What one more decoding request adds to a pass.
    pub(crate) fn decode_cost(&self) -> DecodeCost {
        let steps = f64::from(self.stride_steps);
        DecodeCost {
            base_ms: self.writer_step_ms * steps,
            per_1k_tokens_ms: self.context_step_ms_per_1k * steps,
        }
    }

    /// Duration of a pass that decodes for `decoding` requests and does no prefill, in
    /// milliseconds.
    pub fn pass_ms(&self, decoding: u32, context_tokens: u64) -> f64 {
        let context_ms = context_tokens as f64 / 1e3 * self.context_step_ms_per_1k;
        let step_ms = self.step_ms + f64::from(decoding) * self.writer_step_ms + context_ms;
        step_ms * f64::from(self.stride_steps)
    }
}
