//! Engines, prompts and loads as on the deployments' specification sheets.

use mgs_placing::model::EngineModel;

use super::gateway::Deployment;
use super::AuditDistribution;
use super::Phase;
use super::QuestionDistribution;

/// The first deployments, with the default figures of [`EngineModel`].
pub(crate) fn first_deployment() -> Deployment {
    Deployment {
        engines: 21,
        model: EngineModel::default(),
        audits: AuditDistribution {
            mean_tokens: 154_000.0,
            sigma: 0.51,
            max_tokens: 290_000.0,
            ttft_target_ms: 3_000.0,
        },
        questions: None,
        engine_slots: usize::MAX,
        runs: 6,
        rate_limit: None,
    }
}

/// A third of a deployment that has grown, with longer audits and engines with fewer slots and less
/// memory.
pub(crate) fn grown_deployment() -> Deployment {
    Deployment {
        engines: 23,
        model: EngineModel {
            slots: 12,
            memory_tokens: 267_750,
            ..EngineModel::default()
        },
        audits: AuditDistribution {
            mean_tokens: 220_000.0,
            sigma: 0.6,
            max_tokens: 800_000.0,
            ttft_target_ms: 4_000.0,
        },
        questions: None,
        engine_slots: usize::MAX,
        runs: 8,
        rate_limit: None,
    }
}

/// Ten seconds of long prompts that ask for more prefill than all engines can do, then questions
/// that need nearly all engines: the load swing on days with the highest load.
pub(crate) const GROWN_SWING: [Phase; 2] = [
    Phase {
        duration_ms: 9_500.0,
        questions_per_s: 13.0,
        reviews_per_s: 2.7,
        audits_per_s: 3.5,
    },
    Phase {
        duration_ms: 6_000.0,
        questions_per_s: 100.0,
        reviews_per_s: 1.3,
        audits_per_s: 0.1,
    },
];

/// Ten seconds of long prompts, then ten of questions: the load swing on days with low
/// load.
pub(crate) const LOW_LOAD_SWING: [Phase; 2] = [
    Phase {
        duration_ms: 9_500.0,
        questions_per_s: 12.0,
        reviews_per_s: 2.4,
        audits_per_s: 3.0,
    },
    Phase {
        duration_ms: 9_500.0,
        questions_per_s: 80.0,
        reviews_per_s: 0.9,
        audits_per_s: 0.05,
    },
];

/// A deployment with long answers, as an eighth of those drawn at random have them: up to 173
/// events at 48 ms for each pass, so that the longest take 8.3 s of the 10 s until the deadline.
pub(crate) fn long_answers_deployment() -> Deployment {
    Deployment {
        engines: 23,
        model: EngineModel {
            slots: 24,
            memory_tokens: 688_000,
            stride_steps: 30,
            step_ms: 1.609,
            writer_step_ms: 0.000_917,
            context_step_ms_per_1k: 0.002_13,
            read_tokens_per_ms: 225.0,
            pair_ms_per_million: 0.203,
            usual_prompt_tokens: 14_000.0,
            usual_answer_tokens: 2_000.0,
            ..EngineModel::default()
        },
        audits: AuditDistribution {
            mean_tokens: 296_630.0,
            sigma: 0.45,
            max_tokens: 1_466_850.0,
            ttft_target_ms: 4_493.0,
        },
        questions: Some(QuestionDistribution {
            mean_tokens: 6_245.0,
            sigma: 0.74,
            max_tokens: 29_966.0,
            mean_events: 69.1,
            events_sigma: 0.7,
            max_events: 172.8,
            hint_sigma: 0.5,
            ttft_target_ms: 266.0,
            pause_ms: 223.0,
        }),
        engine_slots: 24,
        runs: 6,
        rate_limit: None,
    }
}

/// Ten seconds of long prompts, then ten of questions, at the rates of deployments with long
/// answers.
pub(crate) const LONG_ANSWERS_SWING: [Phase; 2] = [
    Phase {
        duration_ms: 9_500.0,
        questions_per_s: 9.0,
        reviews_per_s: 1.6,
        audits_per_s: 1.25,
    },
    Phase {
        duration_ms: 9_500.0,
        questions_per_s: 36.0,
        reviews_per_s: 0.5,
        audits_per_s: 0.03,
    },
];

/// A large deployment.
pub(crate) fn large_deployment() -> Deployment {
    Deployment {
        engines: 172,
        model: EngineModel {
            slots: 10,
            memory_tokens: 315_000,
            stride_steps: 80,
            usual_prompt_tokens: 11_500.0,
            usual_answer_tokens: 1_800.0,
            ..EngineModel::default()
        },
        audits: AuditDistribution {
            mean_tokens: 220_000.0,
            sigma: 0.55,
            max_tokens: 700_000.0,
            ttft_target_ms: 4_000.0,
        },
        questions: Some(QuestionDistribution {
            mean_tokens: 4_960.0,
            sigma: 0.9,
            max_tokens: 23_800.0,
            mean_events: 23.5,
            events_sigma: 0.7,
            max_events: 58.8,
            hint_sigma: 0.5,
            ttft_target_ms: 400.0,
            pause_ms: 300.0,
        }),
        engine_slots: 10,
        runs: 1,
        rate_limit: None,
    }
}

/// Five seconds of long prompts, then five of questions, at the rates of a large deployment on
/// a day with low load.
pub(crate) const LARGE_SWING: [Phase; 2] = [
    Phase {
        duration_ms: 5_000.0,
        questions_per_s: 100.0,
        reviews_per_s: 20.0,
        audits_per_s: 12.0,
    },
    Phase {
        duration_ms: 5_000.0,
        questions_per_s: 400.0,
        reviews_per_s: 15.0,
        audits_per_s: 1.0,
    },
];
