//! Shares of prompts on time if some engines declare a request rate limit.
//!
//! A third of the engines, or more, accept two requests per second, while the load swings between
//! long and short prompts. Without limits each engine gets more than twice as many.

mod emulator;

use emulator::deployments::first_deployment;
use emulator::deployments::grown_deployment;
use emulator::deployments::GROWN_SWING;
use emulator::deployments::LOW_LOAD_SWING;
use emulator::gateway;
use emulator::gateway::Deployment;
use emulator::gateway::LimitPolicy;
use emulator::gateway::Policy;
use emulator::gateway::RateLimit;
use emulator::Phase;
use mgs_placing::need::LATE_LOSS_SHARE;

/// Shares of prompts on time, and the earned share of the worth of all prompts, where a prompt is
/// worth its length.
#[derive(Debug, Clone, Copy, Default)]
struct Shares {
    questions: f64,
    audits: f64,
    worth: f64,
}

/// The shares of one run.
fn shares(deployment: &Deployment, phases: &[Phase], seed: u64) -> Shares {
    let (mut received, mut on_time) = ([0.0; 2], [0.0; 2]);
    let (mut offered_worth, mut earned_worth) = (0.0, 0.0);
    let emulator = gateway::run(Policy::Gateway, deployment, phases, seed);
    for (prompt, outcome) in emulator.prompts.iter().zip(&emulator.outcomes) {
        let worth = prompt.prompt_tokens as f64;
        let is_on_time = outcome.is_on_time(prompt);
        offered_worth += worth;
        earned_worth += match (is_on_time, outcome.is_complete) {
            (true, _) => worth,
            (false, true) => worth * (1.0 - LATE_LOSS_SHARE),
            (false, false) => 0.0,
        };
        let kind = match prompt.ttft_target_ms {
            300.0 => 0,
            ttft_target_ms if ttft_target_ms == deployment.audits.ttft_target_ms => 1,
            _ => continue,
        };
        received[kind] += 1.0;
        on_time[kind] += f64::from(u8::from(is_on_time));
    }
    Shares {
        questions: on_time[0] / received[0],
        audits: on_time[1] / received[1],
        worth: earned_worth / offered_worth,
    }
}

/// The deployment with a rate limit on this many of its engines.
fn with_limits(deployment: &Deployment, engines: u32, limit_policy: LimitPolicy) -> Deployment {
    let rate_limit = RateLimit {
        engines,
        per_s: 2.0,
        limit_policy,
    };
    Deployment {
        rate_limit: Some(rate_limit),
        ..deployment.clone()
    }
}

/// Mean and standard error of the differences in worth between runs with the same seeds.
fn worth_difference(before: &[Shares], after: &[Shares]) -> (f64, f64) {
    let differences = before.iter().zip(after).map(|(a, b)| b.worth - a.worth);
    let differences: Vec<f64> = differences.collect();
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count;
    let squares = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>();
    (mean, (squares / (count - 1.0) / count).sqrt())
}

fn mean(all: &[Shares]) -> Shares {
    let mean_of = |share: fn(&Shares) -> f64| all.iter().map(share).sum::<f64>() / all.len() as f64;
    Shares {
        questions: mean_of(|s| s.questions),
        audits: mean_of(|s| s.audits),
        worth: mean_of(|s| s.worth),
    }
}

/// Compares the policies for different numbers of engines with a limit; to be run by hand.
#[test]
#[ignore = "prints a table"]
#[allow(clippy::print_stdout, reason = "the test prints a table")]
fn compare_limit_policies() {
    let swings = [
        (
            first_deployment(),
            [LOW_LOAD_SWING[0], LOW_LOAD_SWING[1], LOW_LOAD_SWING[0]],
        ),
        (
            grown_deployment(),
            [GROWN_SWING[0], GROWN_SWING[1], GROWN_SWING[0]],
        ),
    ];
    for (deployment, swing) in swings {
        for engines in [7, 14, deployment.engines as u32] {
            let run = |limit_policy| -> Vec<Shares> {
                let deployment = with_limits(&deployment, engines, limit_policy);
                (1..=16)
                    .map(|seed| shares(&deployment, &swing, seed))
                    .collect()
            };
            let helpers_only = run(LimitPolicy::HelperWhenExhausted);
            println!(
                "{engines} of {}, parts: {:?}",
                deployment.engines,
                mean(&helpers_only)
            );
            for limit_policy in [
                LimitPolicy::UnusedWhenExhausted,
                LimitPolicy::LeadAsLastResort,
            ] {
                let other = run(limit_policy);
                let (difference, error) = worth_difference(&helpers_only, &other);
                println!(
                    "  {limit_policy:?}: {:?}, {difference:+.4} +- {error:.4}",
                    mean(&other)
                );
            }
        }
    }
}

/// A rate limit counts requests only: an engine that has exhausted it still prefills parts for
/// other lead engines, which earns more worth than not using it.
#[test]
fn engines_with_exhausted_limits_prefill_parts_for_others() {
    let swing = [LOW_LOAD_SWING[0], LOW_LOAD_SWING[1], LOW_LOAD_SWING[0]];
    let run = |limit_policy| -> Vec<Shares> {
        let deployment = with_limits(&first_deployment(), 14, limit_policy);
        let seeds = 1..=6;
        seeds
            .map(|seed| shares(&deployment, &swing, seed))
            .collect()
    };
    let (helpers_only, unused) = (
        run(LimitPolicy::HelperWhenExhausted),
        run(LimitPolicy::UnusedWhenExhausted),
    );
    let (difference, _) = worth_difference(&unused, &helpers_only);
    assert!(
        difference > 0.0,
        "{:?} {:?}",
        mean(&helpers_only),
        mean(&unused)
    );
}
