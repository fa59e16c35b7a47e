//! Simulated policies for sharing a limit: the most requests that an endpoint gets in four seconds,
//! and how much of its limit is used.
//!
//! The model is coarse: it advances in steps of 5 ms; messages between gateways take 15 to 35 ms,
//! are sent every 300 ms, and one in twenty is lost; clients arrive at each gateway at random.
//! Gateways stop, start and are partitioned off in one direction. Each gateway knows the limit from
//! the first response on, its own or a peer's.

mod emulator;

use emulator::simulate;
use emulator::Policy;
use emulator::Scenario;
use rstest::rstest;

/// Requests in four seconds that the operators' rule allows.
fn allowed_requests(limit_per_s: f64) -> f64 {
    limit_per_s * 4.0 * 1.5 + 5.0
}

#[rstest]
fn endpoints_get_no_more_than_the_allowed_burst(
    #[values(2, 5, 24)] gateways: usize,
    #[values(0.0, 0.3, 1.0, 1.9, 2.6, 8.0, 60.0)] limit_per_s: f64,
    #[values(1, 2)] seed: u64,
) {
    let scenario = Scenario {
        seed,
        ..Scenario::of(gateways, limit_per_s)
    };
    let outcome = simulate(Policy::FewHolders, &scenario);
    assert!(
        f64::from(outcome.max_requests) <= allowed_requests(limit_per_s),
        "{outcome:?}"
    );
}

/// A hundred gateways exchange ten thousand messages per second, so these scenarios are short.
#[rstest]
fn a_hundred_gateways_stay_within_the_allowed_burst(#[values(0.0, 1.0, 8.0)] limit_per_s: f64) {
    let scenario = Scenario {
        duration_ms: 15_000.0,
        ..Scenario::of(103, limit_per_s)
    };
    let outcome = simulate(Policy::FewHolders, &scenario);
    assert!(
        f64::from(outcome.max_requests) <= allowed_requests(limit_per_s),
        "{outcome:?}"
    );
}

#[rstest]
fn most_of_the_limit_is_used(
    #[values(5, 24)] gateways: usize,
    #[values(1.0, 1.9, 2.6, 8.0)] limit_per_s: f64,
) {
    let scenario = Scenario {
        restarts: 0,
        partitions: 0,
        ..Scenario::of(gateways, limit_per_s)
    };
    let outcome = simulate(Policy::FewHolders, &scenario);
    assert!(outcome.used_share >= 0.7, "{outcome:?}");
}

/// For manual runs, with three hundred gateways and the rejected policies too.
#[test]
#[ignore = "prints a table"]
#[allow(clippy::print_stdout, reason = "the table is what it is for")]
fn policies_compared() {
    for gateways in [5, 24, 103, 300] {
        for limit_per_s in [1.0, 1.9, 8.0] {
            for policy in [
                Policy::EqualParts,
                Policy::OneAtATime,
                Policy::Counted,
                Policy::FewHolders,
            ] {
                let scenario = Scenario::of(gateways, limit_per_s);
                let outcome = simulate(policy, &scenario);
                println!(
                    "{gateways:4} gateways, {limit_per_s:4.1}/s, {policy:?}: most {} of {:.0}, used {:.2}",
                    outcome.max_requests,
                    allowed_requests(limit_per_s),
                    outcome.used_share
                );
            }
        }
    }
}
