//! Fleets and loads as on the sheets of the deployments.

use mgs_placing::model::EngineModel;

use super::gateway::Deployment;
use super::Audits;
use super::Phase;
use super::Questions;

/// The first deployments.
pub(crate) fn first() -> Deployment {
    Deployment {
        engines: 21,
        model: EngineModel::default(),
        audits: Audits {
            mean_tokens: 154_000.0,
            spread: 0.51,
            most_tokens: 290_000.0,
            aim_ms: 3_000.0,
        },
        questions: None,
        places: usize::MAX,
        plays: 6,
        limited: None,
    }
}

/// A third of the grown ones.
pub(crate) fn grown() -> Deployment {
    Deployment {
        engines: 23,
        model: EngineModel {
            slots: 12,
            memory_tokens: 267_750,
            ..EngineModel::default()
        },
        audits: Audits {
            mean_tokens: 220_000.0,
            spread: 0.6,
            most_tokens: 800_000.0,
            aim_ms: 4_000.0,
        },
        questions: None,
        places: usize::MAX,
        plays: 8,
        limited: None,
    }
}

/// Ten seconds of long prompts that ask for more reading than all engines have, then short ones that need
/// nearly all engines: the swing of the grown deployments' heaviest days.
pub(crate) const GROWN_SWING: [Phase; 2] = [
    Phase {
        length_ms: 9_500.0,
        short_per_s: 13.0,
        reviews_per_s: 2.7,
        audits_per_s: 3.5,
    },
    Phase {
        length_ms: 6_000.0,
        short_per_s: 100.0,
        reviews_per_s: 1.3,
        audits_per_s: 0.1,
    },
];

/// Ten seconds of long prompts, then ten of short ones: the swing of the users' calm days.
pub(crate) const SWING: [Phase; 2] = [
    Phase {
        length_ms: 9_500.0,
        short_per_s: 12.0,
        reviews_per_s: 2.4,
        audits_per_s: 3.0,
    },
    Phase {
        length_ms: 9_500.0,
        short_per_s: 80.0,
        reviews_per_s: 0.9,
        audits_per_s: 0.05,
    },
];

/// An eighth of the deployments that were drawn from seeds: answers of up to 173 events, 48 ms a pass, so that the
/// longest take 8.3 of the 10 s that clients wait.
pub(crate) fn long_answers() -> Deployment {
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
        audits: Audits {
            mean_tokens: 296_630.0,
            spread: 0.45,
            most_tokens: 1_466_850.0,
            aim_ms: 4_493.0,
        },
        questions: Some(Questions {
            mean_tokens: 6_245.0,
            spread: 0.74,
            most_tokens: 29_966.0,
            mean_events: 69.1,
            events_spread: 0.7,
            most_events: 172.8,
            hint_spread: 0.5,
            aim_ms: 266.0,
            pause_ms: 223.0,
        }),
        places: 24,
        plays: 6,
        limited: None,
    }
}

/// Ten seconds of long prompts and ten of short ones, as many as those deployments got.
pub(crate) const LONG_ANSWERS_SWING: [Phase; 2] = [
    Phase {
        length_ms: 9_500.0,
        short_per_s: 9.0,
        reviews_per_s: 1.6,
        audits_per_s: 1.25,
    },
    Phase {
        length_ms: 9_500.0,
        short_per_s: 36.0,
        reviews_per_s: 0.5,
        audits_per_s: 0.03,
    },
];

/// A large one.
pub(crate) fn large() -> Deployment {
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
        audits: Audits {
            mean_tokens: 220_000.0,
            spread: 0.55,
            most_tokens: 700_000.0,
            aim_ms: 4_000.0,
        },
        questions: Some(Questions {
            mean_tokens: 4_960.0,
            spread: 0.9,
            most_tokens: 23_800.0,
            mean_events: 23.5,
            events_spread: 0.7,
            most_events: 58.8,
            hint_spread: 0.5,
            aim_ms: 400.0,
            pause_ms: 300.0,
        }),
        places: 10,
        plays: 1,
        limited: None,
    }
}

/// Five seconds of long prompts and five of short ones, as many as a large one gets on a calm day.
pub(crate) const LARGE_SWING: [Phase; 2] = [
    Phase {
        length_ms: 5_000.0,
        short_per_s: 100.0,
        reviews_per_s: 20.0,
        audits_per_s: 12.0,
    },
    Phase {
        length_ms: 5_000.0,
        short_per_s: 400.0,
        reviews_per_s: 15.0,
        audits_per_s: 1.0,
    },
];
