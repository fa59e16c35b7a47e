//! Estimates of response length and generation time from completed responses.

use std::collections::HashMap;

use crate::flows::ClassKey;
use crate::rows::RowKey;

/// Factor by which each response reduces the weight of the earlier ones.
const DECAY_FACTOR: f64 = 0.9;

/// Factor by which a refusal reduces the estimated duration that caused it. Refused requests give
/// no new samples, so without this an estimate made during an overload would persist after it.
const REFUSAL_DECAY_FACTOR: f64 = 0.95;

/// Safety factor on the mean duration, since about half of the responses take longer than the mean.
const DURATION_MARGIN_FACTOR: f64 = 1.1;

/// Exponentially decayed sums over the responses of one row in one class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResponseStats {
    /// Generated tokens.
    tokens: f64,
    /// Maximum number of tokens that the requests allowed.
    allowed_tokens: f64,
    /// Time from the predicted first token to the end of the response.
    generation_ms: f64,
}

impl ResponseStats {
    /// Statistics of a single response.
    pub(crate) fn from_response(
        generated_tokens: u64,
        max_tokens: u64,
        generation_ms: u64,
    ) -> Self {
        Self {
            tokens: generated_tokens as f64,
            allowed_tokens: max_tokens.max(generated_tokens) as f64,
            generation_ms: generation_ms as f64,
        }
    }

    /// Expected length of a response of at most `max_tokens`.
    fn expected_tokens(&self, max_tokens: u64) -> f64 {
        max_tokens as f64 * (self.tokens / self.allowed_tokens).min(1.0)
    }

    /// Expected duration of such a response after its first token, in milliseconds.
    fn expected_ms(&self, max_tokens: u64) -> u64 {
        let token_ms = self.generation_ms / self.tokens;
        (self.expected_tokens(max_tokens) * token_ms * DURATION_MARGIN_FACTOR) as u64
    }

    /// Decays the sums and adds a sample.
    fn add_sample(&mut self, sample: &Self) {
        self.tokens = self.tokens * DECAY_FACTOR + sample.tokens;
        self.allowed_tokens = self.allowed_tokens * DECAY_FACTOR + sample.allowed_tokens;
        self.generation_ms = self.generation_ms * DECAY_FACTOR + sample.generation_ms;
    }

    /// Reduces the estimated duration by [`REFUSAL_DECAY_FACTOR`].
    fn decay_duration(&mut self) {
        self.generation_ms *= REFUSAL_DECAY_FACTOR;
    }
}

/// Response statistics by row and class.
#[derive(Debug, Default)]
pub(crate) struct ResponseEstimator {
    stats_by_class: HashMap<(RowKey, ClassKey), ResponseStats>,
}

impl ResponseEstimator {
    /// Expected time from the first token to the end of a response of at most `max_tokens`, in
    /// milliseconds; 0 without samples.
    pub(crate) fn expected_response_ms(
        &self,
        row: RowKey,
        class: ClassKey,
        max_tokens: u64,
    ) -> u64 {
        let stats = self.stats_by_class.get(&(row, class));
        stats.map_or(0, |stats| stats.expected_ms(max_tokens))
    }

    /// Expected length of a response of at most `max_tokens`; `max_tokens` without samples.
    pub(crate) fn expected_response_tokens(
        &self,
        row: RowKey,
        class: ClassKey,
        max_tokens: u64,
    ) -> f64 {
        match self.stats_by_class.get(&(row, class)) {
            Some(stats) => stats.expected_tokens(max_tokens),
            None => max_tokens as f64,
        }
    }

    /// Reduces the estimated duration after a refusal that was due to that estimate alone.
    pub(crate) fn decay_duration(&mut self, row: RowKey, class: ClassKey) {
        if let Some(stats) = self.stats_by_class.get_mut(&(row, class)) {
            stats.decay_duration();
        }
    }

    /// Records a completed response.
    pub(crate) fn record(&mut self, row: RowKey, class: ClassKey, sample: ResponseStats) {
        let stats = self.stats_by_class.entry((row, class));
        stats.or_insert(sample).add_sample(&sample);
    }
}
