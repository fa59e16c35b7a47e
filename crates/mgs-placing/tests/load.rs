//! Plays swinging loads on emulated engines and looks at what callers get.

mod emulator;

use emulator::deployments::first;
use emulator::deployments::grown;
use emulator::deployments::GROWN_SWING;
use emulator::deployments::SWING;
use emulator::gateway;
use emulator::gateway::Deployment;
use emulator::gateway::Policy;
use emulator::Audits;
use emulator::Emulator;
use emulator::Fate;
use emulator::Phase;
use emulator::Prompt;

/// Shares of prompts on time, by kind, and of audits that were answered at all.
#[derive(Debug, Clone, Copy)]
struct Shares {
    short: f64,
    reviews: f64,
    audits: f64,
    audits_whole: f64,
}

fn play(policy: Policy, deployment: &Deployment, phases: &[Phase], seed: u64) -> Shares {
    let emulator = gateway::play(policy, deployment, phases, seed);
    shares(&emulator, &deployment.audits)
}

fn shares(emulator: &Emulator, audits: &Audits) -> Shares {
    let share = |aim_ms: f64, counts: fn(&Prompt, &Fate) -> bool| {
        let of_kind = emulator.prompts.iter().zip(&emulator.fates);
        let of_kind: Vec<_> = of_kind
            .filter(|(prompt, _)| prompt.aim_ms == aim_ms)
            .collect();
        let counted = of_kind.iter().filter(|(prompt, fate)| counts(prompt, fate));
        counted.count() as f64 / of_kind.len().max(1) as f64
    };
    let on_time = |prompt: &Prompt, fate: &Fate| fate.is_on_time(prompt);
    Shares {
        short: share(300.0, on_time),
        reviews: share(1_500.0, on_time),
        audits: share(audits.aim_ms, on_time),
        audits_whole: share(audits.aim_ms, |_, fate| fate.is_whole),
    }
}

fn mean(policy: Policy, deployment: &Deployment, phases: &[Phase]) -> Shares {
    let plays = (1..=deployment.plays).map(|seed| play(policy, deployment, phases, seed));
    let plays: Vec<Shares> = plays.collect();
    let mean = |of: fn(&Shares) -> f64| plays.iter().map(of).sum::<f64>() / plays.len() as f64;
    Shares {
        short: mean(|play| play.short),
        reviews: mean(|play| play.reviews),
        audits: mean(|play| play.audits),
        audits_whole: mean(|play| play.audits_whole),
    }
}

#[test]
fn a_swing_between_long_and_short_prompts_leaves_most_of_both_on_time() {
    let swing = [SWING[0], SWING[1], SWING[0]];
    let turns = mean(Policy::Turns, &first(), &swing);
    assert!(turns.short > 0.93, "{turns:?}");
    assert!(turns.reviews > 0.93, "{turns:?}");
    assert!(turns.audits > 0.85, "{turns:?}");
}

#[test]
fn a_router_that_places_one_prompt_at_a_time_loses_the_audits_or_the_streams() {
    let swing = [SWING[0], SWING[1], SWING[0]];
    let turns = mean(Policy::Turns, &first(), &swing);
    let least = mean(Policy::LeastLoaded, &first(), &swing);
    assert!(turns.audits > least.audits + 0.3, "{turns:?} {least:?}");
    assert!(turns.short > least.short, "{turns:?} {least:?}");
}

#[test]
fn waiting_for_a_turn_serves_more_when_audits_ask_for_all_engines() {
    let heavy = Phase {
        audits_per_s: 4.5,
        ..SWING[0]
    };
    let load = [heavy, SWING[1]];
    let turns = mean(Policy::Turns, &first(), &load);
    let without = mean(Policy::NoTurns, &first(), &load);
    assert!(
        turns.audits > without.audits + 0.05,
        "{turns:?} {without:?}"
    );
    assert!(turns.short >= without.short, "{turns:?} {without:?}");
}

/// Six seconds in which streams ask for nearly twice the places of all engines: 21 of 16 places each write about
/// 170 answers a second. Sent all the same, 0.14 of the short prompts are on time: engines queue them, and each
/// waits for those before it. With late ones held back it is 0.50 (mean of two plays each).
#[test]
fn more_streams_than_places_leave_half_of_the_prompts_on_time() {
    let deployment = Deployment {
        places: 16,
        plays: 2,
        ..first()
    };
    let load = [Phase {
        length_ms: 6_000.0,
        short_per_s: 300.0,
        reviews_per_s: 0.01,
        audits_per_s: 0.01,
    }];
    let held_back = mean(Policy::Turns, &deployment, &load);
    let all_sent = mean(Policy::NoSpare, &deployment, &load);
    assert!(held_back.short > 0.45, "{held_back:?}");
    assert!(
        held_back.short > all_sent.short + 0.2,
        "{held_back:?} {all_sent:?}"
    );
}

/// On a grown deployment 481 of 592 short prompts that came within two seconds were late, when the largest
/// audits of the phase before took nearly all engines at their last chance, all at the same time.
#[test]
fn audits_that_are_late_together_leave_most_engines_to_the_next_phase() {
    let largest = Deployment {
        audits: Audits {
            mean_tokens: 600_000.0,
            spread: 0.1,
            ..grown().audits
        },
        ..grown()
    };
    let together = Phase {
        length_ms: 1_000.0,
        audits_per_s: 8.0,
        ..GROWN_SWING[0]
    };
    let between = Phase {
        length_ms: 6_500.0,
        audits_per_s: 0.01,
        ..GROWN_SWING[0]
    };
    let load = [together, between, GROWN_SWING[1]];
    let narrow = mean(Policy::Turns, &largest, &load);
    let wide = mean(Policy::WideWhenLate, &largest, &load);
    assert!(narrow.short > wide.short + 0.05, "{narrow:?} {wide:?}");
    assert!(narrow.reviews >= wide.reviews, "{narrow:?} {wide:?}");
    assert!(narrow.audits >= wide.audits, "{narrow:?} {wide:?}");
    assert!(
        narrow.audits_whole >= wide.audits_whole,
        "{narrow:?} {wide:?}"
    );
}
