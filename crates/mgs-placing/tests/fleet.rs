//! Many gateways that choose at the same moment serve as many prompts as one that knows all.
//!
//! What callers saw: on a calm day of a large deployment, 20% of the short questions had their first token late, where
//! 1.4% had it on a small one with the same load for each engine. Two thirds of the engines had nothing to read.
//!
//! What proved the cause: late and on-time questions were predicted the same time. The late ones found 1.9 others placed
//! on their engine within the 20 ms before them and 1.5 within the 20 ms after, the on-time ones one each. A hundred
//! gateways saw the same picture, took the same engine as the best, and heard of it 20 to 30 ms later.

mod emulator;

use emulator::deployments::large;
use emulator::deployments::LARGE_SWING;
use emulator::fleet::play;
use emulator::fleet::Fleet;
use emulator::fleet::Played;
use emulator::fleet::Rule;

/// Plays with different numbers, over which the mean is taken.
const PLAYS: u64 = 3;

/// Most of a kind's prompts, as a share, that many gateways may have late beyond what one that knows all has: what the
/// operators ask of a large deployment beside its small twin.
const LATER_MOST: f64 = 0.02;

/// Shares of prompts on time, by kind, and the company that whole prompts met on their engines.
#[derive(Debug, Clone, Copy, Default)]
struct Shares {
    short: f64,
    reviews: f64,
    audits: f64,
    together: f64,
}

fn share(played: &Played, pause_ms: f64) -> f64 {
    let all = played.emulator.prompts.iter().zip(&played.emulator.fates);
    let of_kind: Vec<_> = all
        .filter(|(prompt, _)| prompt.pause_ms == pause_ms)
        .collect();
    let on_time = of_kind
        .iter()
        .filter(|(prompt, fate)| fate.is_on_time(prompt));
    on_time.count() as f64 / of_kind.len().max(1) as f64
}

fn mean(gateways: usize, rule: Rule, delay_ms: f64) -> Shares {
    let fleet = Fleet {
        gateways,
        rule,
        delay_ms,
        lost_share: 0.01,
    };
    let mut mean = Shares::default();
    for seed in 1..=PLAYS {
        let played = play(&fleet, &large(), &LARGE_SWING, seed);
        let part = 1.0 / PLAYS as f64;
        mean.short += share(&played, 300.0) * part;
        mean.reviews += share(&played, 600.0) * part;
        mean.audits += share(&played, 1_000.0) * part;
        mean.together += played.together * part;
    }
    mean
}

/// How long a message takes to a hundred peers from a host with a tenth of a core, in milliseconds.
const DELAY_MS: f64 = 20.0;

#[test]
fn a_hundred_gateways_serve_as_many_as_one_that_knows_all() {
    let one = mean(1, Rule::Best, DELAY_MS);
    let many = mean(100, Rule::ZoneCrowd, DELAY_MS);
    assert!(many.short >= one.short - LATER_MOST, "{many:?} {one:?}");
    assert!(many.reviews >= one.reviews - LATER_MOST, "{many:?} {one:?}");
    assert!(many.audits >= one.audits - LATER_MOST, "{many:?} {one:?}");
}

/// Measured: 0.70 of the short prompts on time if all take the engine that looks best, 0.98 as the gateway does; 2.5 and
/// 0.3 others on the same engine within the 20 ms before (8 plays).
#[test]
fn gateways_that_take_the_same_engine_as_the_best_have_short_prompts_late() {
    let best = mean(100, Rule::Best, DELAY_MS);
    let crowd = mean(100, Rule::ZoneCrowd, DELAY_MS);
    assert!(crowd.short > best.short + 0.2, "{crowd:?} {best:?}");
    assert!(crowd.together < best.together / 4.0, "{crowd:?} {best:?}");
    assert!(crowd.reviews >= best.reviews, "{crowd:?} {best:?}");
    assert!(crowd.audits >= best.audits, "{crowd:?} {best:?}");
}

/// Measured over 8 plays, short prompts, reviews and audits on time: two choices 1.00, 0.23 and 0.00 (one play), as
/// long prompts find two engines only; own zone only 0.95, 0.99 and 0.85; a share of the engines for each gateway 0.97,
/// 0.99 and 0.83; as the gateway does 0.98, 0.99 and 0.88.
#[test]
fn no_simpler_rule_serves_all_kinds_as_well() {
    let crowd = mean(100, Rule::ZoneCrowd, DELAY_MS);
    for rule in [Rule::TwoChoices, Rule::Zone, Rule::Share] {
        let other = mean(100, rule, DELAY_MS);
        let is_worse = other.short < crowd.short || other.audits < crowd.audits;
        assert!(is_worse, "{rule:?} {other:?} {crowd:?}");
    }
}
