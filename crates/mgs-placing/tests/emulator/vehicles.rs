//! The second deployment of the page on demanding load ("vehicles"), whose mix of lengths changes
//! every ten seconds.

use mgs_placing::model::EngineModel;

use super::gateway::Deployment;
use super::generate_prompts;
use super::many_gateways::run_prompts;
use super::many_gateways::ChoiceRule;
use super::many_gateways::GatewaySetup;
use super::AuditDistribution;
use super::Emulator;
use super::Outcome;
use super::Phase;
use super::Prompt;

/// Time between two changes of mix, in milliseconds.
pub(crate) const MIX_DURATION_MS: f64 = 10_000.0;

/// Time after the last arrival for which a run goes on, in milliseconds: the longest deadline.
const LAST_ANSWERS_MS: f64 = 15_000.0;

/// Length of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Length {
    Short,
    Middle,
    Long,
}

impl Length {
    pub(crate) const ALL: [Self; 3] = [Self::Short, Self::Middle, Self::Long];

    /// The length of a prompt of this deployment, by its first-token target.
    pub(crate) fn of(prompt: &Prompt) -> Self {
        match prompt.ttft_target_ms {
            target_ms if target_ms < 1_000.0 => Self::Short,
            target_ms if target_ms < 2_000.0 => Self::Middle,
            _ => Self::Long,
        }
    }

    /// Events of an answer, of 48 tokens each.
    fn events(self) -> u32 {
        match self {
            Self::Short => 31,
            Self::Middle => 18,
            Self::Long => 15,
        }
    }
}

/// The engines. Lengths are spread around the means of the page as on the sheets of the other
/// deployments, except that long prompts are spread less: the page has none of several engines'
/// memory.
pub(crate) fn deployment() -> Deployment {
    Deployment {
        engines: 60,
        model: EngineModel {
            slots: 12,
            memory_tokens: 197_200,
            stride_steps: 48,
            step_ms: 1.02,
            read_tokens_per_ms: 206.0,
            ..EngineModel::default()
        },
        audits: AuditDistribution {
            mean_tokens: 190_000.0,
            sigma: 0.35,
            max_tokens: 390_000.0,
            ttft_target_ms: 3_000.0,
        },
        questions: None,
        engine_slots: 12,
        runs: 8,
        rate_limit: None,
    }
}

/// The gateways. A host with 0.063 of a core sends a report to 47 peers within some 20 ms.
pub(crate) fn gateways() -> GatewaySetup {
    GatewaySetup {
        gateways: 48,
        zones: 3,
        rule: ChoiceRule::ZoneRandomized,
        delay_ms: 20.0,
        lost_share: 0.01,
    }
}

/// A phase with these multiples of the usual rates of short, middle and long prompts.
pub(crate) fn phase(duration_ms: f64, multiples: [f64; 3]) -> Phase {
    Phase {
        duration_ms,
        questions_per_s: 88.0 * multiples[0],
        reviews_per_s: 6.0 * multiples[1],
        audits_per_s: 3.7 * multiples[2],
    }
}

/// A phase of mostly short prompts.
pub(crate) fn short_phase() -> Phase {
    phase(MIX_DURATION_MS, [2.5, 1.0, 0.05])
}

/// A phase of mostly long prompts.
pub(crate) fn long_phase() -> Phase {
    phase(MIX_DURATION_MS, [0.3, 1.0, 2.9])
}

/// Runs these phases.
pub(crate) fn run(phases: &[Phase], seed: u64) -> Emulator {
    let deployment = deployment();
    let mut prompts = generate_prompts(phases, &deployment.audits, seed);
    for prompt in &mut prompts {
        let events = Length::of(prompt).events();
        prompt.events = events;
        prompt.expected_events = events;
        prompt.max_events = events;
        prompt.set_patience();
    }
    let duration_ms: f64 = phases.iter().map(|phase| phase.duration_ms).sum();
    let end_ms = duration_ms + LAST_ANSWERS_MS;
    run_prompts(&gateways(), &deployment, prompts, end_ms, seed).emulator
}

/// Engine time that a prompt takes, in milliseconds: its prefill on one engine, and its decode time
/// divided by the slots that an engine runs at once.
pub(crate) fn cost_ms(prompt: &Prompt, model: &EngineModel) -> f64 {
    let decode_ms = f64::from(prompt.events) * model.usual_pass_ms();
    model.prefill_ms(prompt.prompt_tokens) + decode_ms / f64::from(model.slots)
}

/// Prompts that arrived within a time, with their outcomes.
pub(crate) fn arrived(
    emulator: &Emulator,
    from_ms: f64,
    to_ms: f64,
) -> impl Iterator<Item = (&Prompt, &Outcome)> {
    let all = emulator.prompts.iter().zip(&emulator.outcomes);
    all.filter(move |(prompt, _)| (from_ms..to_ms).contains(&prompt.arrival_ms))
}
