//! Shares of prompts on time when the load swings between long and short prompts, on emulated
//! engines.

mod emulator;

use emulator::deployments::first_deployment;
use emulator::deployments::grown_deployment;
use emulator::deployments::GROWN_SWING;
use emulator::deployments::LOW_LOAD_SWING;
use emulator::gateway;
use emulator::gateway::Deployment;
use emulator::gateway::Policy;
use emulator::AuditDistribution;
use emulator::Emulator;
use emulator::Outcome;
use emulator::Phase;
use emulator::Prompt;

/// Shares of prompts on time, by kind, and of audits whose answer is complete, on time or not.
#[derive(Debug, Clone, Copy)]
struct Shares {
    questions: f64,
    reviews: f64,
    audits: f64,
    audits_complete: f64,
}

/// The shares of one run.
fn run(policy: Policy, deployment: &Deployment, phases: &[Phase], seed: u64) -> Shares {
    let emulator = gateway::run(policy, deployment, phases, seed);
    shares(&emulator, &deployment.audits)
}

/// The shares among the prompts of a run.
fn shares(emulator: &Emulator, audits: &AuditDistribution) -> Shares {
    let share = |ttft_target_ms: f64, counts: fn(&Prompt, &Outcome) -> bool| {
        let of_kind = emulator.prompts.iter().zip(&emulator.outcomes);
        let of_kind: Vec<_> = of_kind
            .filter(|(prompt, _)| prompt.ttft_target_ms == ttft_target_ms)
            .collect();
        let counted = of_kind
            .iter()
            .filter(|(prompt, outcome)| counts(prompt, outcome));
        counted.count() as f64 / of_kind.len().max(1) as f64
    };
    let on_time = |prompt: &Prompt, outcome: &Outcome| outcome.is_on_time(prompt);
    Shares {
        questions: share(300.0, on_time),
        reviews: share(1_500.0, on_time),
        audits: share(audits.ttft_target_ms, on_time),
        audits_complete: share(audits.ttft_target_ms, |_, outcome| outcome.is_complete),
    }
}

/// The mean shares over all runs of a deployment.
fn mean(policy: Policy, deployment: &Deployment, phases: &[Phase]) -> Shares {
    let runs = (1..=deployment.runs).map(|seed| run(policy, deployment, phases, seed));
    let runs: Vec<Shares> = runs.collect();
    let mean = |of: fn(&Shares) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    Shares {
        questions: mean(|run| run.questions),
        reviews: mean(|run| run.reviews),
        audits: mean(|run| run.audits),
        audits_complete: mean(|run| run.audits_complete),
    }
}

#[test]
fn a_swing_between_long_and_short_prompts_leaves_most_of_both_on_time() {
    let swing = [LOW_LOAD_SWING[0], LOW_LOAD_SWING[1], LOW_LOAD_SWING[0]];
    let queueing = mean(Policy::Gateway, &first_deployment(), &swing);
    assert!(queueing.questions > 0.93, "{queueing:?}");
    assert!(queueing.reviews > 0.93, "{queueing:?}");
    assert!(queueing.audits > 0.85, "{queueing:?}");
}

#[test]
fn least_loaded_routing_makes_more_audits_and_questions_late() {
    let swing = [LOW_LOAD_SWING[0], LOW_LOAD_SWING[1], LOW_LOAD_SWING[0]];
    let queueing = mean(Policy::Gateway, &first_deployment(), &swing);
    let least_loaded = mean(Policy::LeastLoaded, &first_deployment(), &swing);
    assert!(
        queueing.audits > least_loaded.audits + 0.3,
        "{queueing:?} {least_loaded:?}"
    );
    assert!(
        queueing.questions > least_loaded.questions,
        "{queueing:?} {least_loaded:?}"
    );
}

#[test]
fn queueing_makes_fewer_prompts_late_when_audits_need_all_engines() {
    let heavy = Phase {
        audits_per_s: 4.5,
        ..LOW_LOAD_SWING[0]
    };
    let load = [heavy, LOW_LOAD_SWING[1]];
    let queueing = mean(Policy::Gateway, &first_deployment(), &load);
    let no_queue = mean(Policy::NoQueue, &first_deployment(), &load);
    assert!(
        queueing.audits > no_queue.audits + 0.05,
        "{queueing:?} {no_queue:?}"
    );
    assert!(
        queueing.questions >= no_queue.questions,
        "{queueing:?} {no_queue:?}"
    );
}

/// For six seconds streams ask for nearly twice the slots of all engines: 21 engines with 16 slots
/// each decode about 170 answers per second. If all prompts are dispatched, 0.14 of the questions
/// are on time, since engines queue them behind each other. With late ones held back it is 0.50
/// (mean of two runs each).
#[test]
fn more_streams_than_slots_leave_nearly_half_of_the_questions_on_time() {
    let deployment = Deployment {
        engine_slots: 16,
        runs: 2,
        ..first_deployment()
    };
    let load = [Phase {
        duration_ms: 6_000.0,
        questions_per_s: 300.0,
        reviews_per_s: 0.01,
        audits_per_s: 0.01,
    }];
    let held_back = mean(Policy::Gateway, &deployment, &load);
    let all_sent = mean(Policy::NoSpareSlots, &deployment, &load);
    assert!(held_back.questions > 0.45, "{held_back:?}");
    assert!(
        held_back.questions > all_sent.questions + 0.2,
        "{held_back:?} {all_sent:?}"
    );
}

/// Guards against late audits that occupy the engines of the next phase: on a grown deployment, 481
/// of 592 short prompts that arrived within two seconds were late, because the largest audits of
/// the preceding phase were all dispatched at their last possible moment and took nearly all
/// engines.
#[test]
fn audits_that_are_late_together_leave_most_engines_to_the_next_phase() {
    let largest = Deployment {
        audits: AuditDistribution {
            mean_tokens: 600_000.0,
            sigma: 0.1,
            ..grown_deployment().audits
        },
        ..grown_deployment()
    };
    let audit_burst = Phase {
        duration_ms: 1_000.0,
        audits_per_s: 8.0,
        ..GROWN_SWING[0]
    };
    let after_burst = Phase {
        duration_ms: 6_500.0,
        audits_per_s: 0.01,
        ..GROWN_SWING[0]
    };
    let load = [audit_burst, after_burst, GROWN_SWING[1]];
    let narrow = mean(Policy::Gateway, &largest, &load);
    let wide = mean(Policy::WideWhenLate, &largest, &load);
    assert!(
        narrow.questions > wide.questions + 0.05,
        "{narrow:?} {wide:?}"
    );
    assert!(narrow.reviews >= wide.reviews, "{narrow:?} {wide:?}");
    assert!(narrow.audits >= wide.audits, "{narrow:?} {wide:?}");
    assert!(
        narrow.audits_complete >= wide.audits_complete,
        "{narrow:?} {wide:?}"
    );
}
