//! What callers get where engines name limits.
//!
//! The load: a third of the engines name two requests a second, beside the swing between long and short prompts. Without limits each
//! engine gets more than twice as many.

mod emulator;

use emulator::deployments::first;
use emulator::deployments::grown;
use emulator::deployments::GROWN_SWING;
use emulator::deployments::SWING;
use emulator::gateway;
use emulator::gateway::Deployment;
use emulator::gateway::LimitWay;
use emulator::gateway::Limited;
use emulator::gateway::Policy;
use emulator::Phase;
use mgs_placing::need::LATE_LOSS_SHARE;

/// Shares of prompts on time, and the worth that came of all: a prompt's size beside that of short ones.
#[derive(Debug, Clone, Copy, Default)]
struct Shares {
    short: f64,
    audits: f64,
    worth: f64,
}

fn shares(deployment: &Deployment, phases: &[Phase], seed: u64) -> Shares {
    let (mut asked, mut on_time) = ([0.0; 2], [0.0; 2]);
    let (mut owed, mut earned) = (0.0, 0.0);
    let played = gateway::play(Policy::Turns, deployment, phases, seed);
    for (prompt, fate) in played.prompts.iter().zip(&played.fates) {
        let worth = prompt.tokens as f64;
        let is_on_time = fate.is_on_time(prompt);
        owed += worth;
        earned += match (is_on_time, fate.is_whole) {
            (true, _) => worth,
            (false, true) => worth * (1.0 - LATE_LOSS_SHARE),
            (false, false) => 0.0,
        };
        let kind = match prompt.aim_ms {
            300.0 => 0,
            aim_ms if aim_ms == deployment.audits.aim_ms => 1,
            _ => continue,
        };
        asked[kind] += 1.0;
        on_time[kind] += f64::from(u8::from(is_on_time));
    }
    Shares {
        short: on_time[0] / asked[0],
        audits: on_time[1] / asked[1],
        worth: earned / owed,
    }
}

fn with_limits(deployment: &Deployment, engines: u32, way: LimitWay) -> Deployment {
    let limited = Limited {
        engines,
        per_s: 2.0,
        way,
    };
    Deployment {
        limited: Some(limited),
        ..deployment.clone()
    }
}

/// Mean and standard error of the differences in worth.
fn compared(before: &[Shares], after: &[Shares]) -> (f64, f64) {
    let differences = before.iter().zip(after).map(|(a, b)| b.worth - a.worth);
    let differences: Vec<f64> = differences.collect();
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count;
    let squares = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>();
    (mean, (squares / (count - 1.0) / count).sqrt())
}

fn mean(all: &[Shares]) -> Shares {
    let of = |of: fn(&Shares) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
    Shares {
        short: of(|s| s.short),
        audits: of(|s| s.audits),
        worth: of(|s| s.worth),
    }
}

/// By hand: ways to use engines with a limit, by how many there are.
#[test]
#[ignore = "prints a table"]
#[allow(clippy::print_stdout, reason = "the table is what it is for")]
fn ways_compared() {
    let swings = [
        (first(), [SWING[0], SWING[1], SWING[0]]),
        (grown(), [GROWN_SWING[0], GROWN_SWING[1], GROWN_SWING[0]]),
    ];
    for (deployment, swing) in swings {
        for engines in [7, 14, deployment.engines as u32] {
            let play = |way| -> Vec<Shares> {
                let limited = with_limits(&deployment, engines, way);
                (1..=16)
                    .map(|seed| shares(&limited, &swing, seed))
                    .collect()
            };
            let parts = play(LimitWay::Parts);
            println!(
                "{engines} of {}, parts: {:?}",
                deployment.engines,
                mean(&parts)
            );
            for way in [LimitWay::Nothing, LimitWay::LastToLead] {
                let other = play(way);
                let (difference, error) = compared(&parts, &other);
                println!(
                    "  {way:?}: {:?}, {difference:+.4} +- {error:.4}",
                    mean(&other)
                );
            }
        }
    }
}

/// A limit is one of requests: an engine that has used it up goes on to read parts for others, and callers get more.
#[test]
fn engines_with_a_limit_read_parts_for_others() {
    let swing = [SWING[0], SWING[1], SWING[0]];
    let play = |way| -> Vec<Shares> {
        let limited = with_limits(&first(), 14, way);
        let seeds = 1..=6;
        seeds.map(|seed| shares(&limited, &swing, seed)).collect()
    };
    let (parts, nothing) = (play(LimitWay::Parts), play(LimitWay::Nothing));
    let (difference, _) = compared(&nothing, &parts);
    assert!(difference > 0.0, "{:?} {:?}", mean(&parts), mean(&nothing));
}
