//! The prompts of the first deployment.

use mgs_placing::model::EngineModel;

/// The engines of the first deployment.
pub(crate) fn model() -> EngineModel {
    EngineModel {
        slots: 12,
        memory_tokens: 197_200,
        stride_steps: 48,
        step_ms: 1.02,
        read_tokens_per_ms: 206.0,
        ..EngineModel::default()
    }
}

/// A kind of prompt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) per_s: f64,
    pub(crate) prompt_tokens: u64,
    pub(crate) events: f64,
    pub(crate) ttft_target_ms: f64,
    /// Wait from which on engines refuse it as too late.
    pub(crate) patience_ms: f64,
    /// Engines that prefill it.
    pub(crate) engines: usize,
}

pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        per_s: 86.0,
        prompt_tokens: 5_000,
        events: 31.0,
        ttft_target_ms: 250.0,
        patience_ms: 2_000.0,
        engines: 1,
    },
    Kind {
        per_s: 10.2,
        prompt_tokens: 45_000,
        events: 18.0,
        ttft_target_ms: 1_500.0,
        patience_ms: 6_000.0,
        engines: 1,
    },
    Kind {
        per_s: 3.6,
        prompt_tokens: 190_000,
        events: 15.0,
        ttft_target_ms: 6_000.0,
        patience_ms: 9_000.0,
        engines: 8,
    },
];

impl Kind {
    pub(crate) fn prefill_ms(&self) -> f64 {
        model().prefill_ms(self.prompt_tokens)
    }

    pub(crate) fn cost_ms(&self) -> f64 {
        let model = model();
        self.prefill_ms() + self.events * model.usual_pass_ms() / f64::from(model.slots)
    }

    pub(crate) fn is_long(&self) -> bool {
        self.prompt_tokens == KINDS[2].prompt_tokens
    }
}
