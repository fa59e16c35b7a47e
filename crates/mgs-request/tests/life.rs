//! Explores every order of a few events of one request and checks the invariants in each state.

mod model;

use mgs_request::budget;
use mgs_request::budget::RetryBudget;
use mgs_request::injected_bug::InjectedBug;
use mgs_request::lifecycle::Options;
use model::explore;
use model::Faults;
use model::DEADLINE_MS;
use rstest::rstest;

const NO_FAULTS: Faults = Faults {
    lost_connections: 0,
    crashes: 0,
    not_sent: 0,
    duplicate_frames: 0,
    engine_failures: 0,
    refusals: 0,
    caller_gone: 0,
    spans: 0,
};

fn options(idempotent: bool, injected_bug: InjectedBug) -> Options {
    Options {
        deadline_ms: DEADLINE_MS,
        idempotent,
        hedge: idempotent,
        hedge_factor: 1,
        hedge_slack_ms: 1,
        attempts_max: 2,
        recovery_retry_ms: 1,
        resumes_max: 1,
        endpoint_retry_ms: 1,
        injected_bug,
    }
}

/// A retry budget that no exploration exhausts.
fn unlimited_budget() -> RetryBudget {
    RetryBudget::new(budget::Options {
        initial_balance: u64::MAX / 1_000_000,
        ..budget::Options::default()
    })
}

fn empty_budget() -> RetryBudget {
    RetryBudget::new(budget::Options {
        initial_balance: 0,
        ..budget::Options::default()
    })
}

fn assert_invariants_hold(idempotent: bool, faults: Faults, budget: &RetryBudget) {
    let exploration = explore(options(idempotent, InjectedBug::None), faults, budget);
    assert_eq!(exploration.violation, None);
    assert!(
        exploration.states > 500,
        "only {} states",
        exploration.states
    );
    assert!(exploration.outcomes.contains("Answered"));
}

#[rstest]
#[case::paths(Faults { lost_connections: 2, not_sent: 1, ..NO_FAULTS })]
#[case::crashes(Faults { lost_connections: 1, crashes: 1, refusals: 1, ..NO_FAULTS })]
#[case::engines(Faults { engine_failures: 1, refusals: 1, lost_connections: 1, ..NO_FAULTS })]
#[case::callers(Faults { caller_gone: 1, lost_connections: 1, duplicate_frames: 1, ..NO_FAULTS })]
#[case::spans(Faults { spans: 2, lost_connections: 1, not_sent: 1, caller_gone: 1, ..NO_FAULTS })]
fn no_order_of_events_violates_an_invariant(
    #[case] faults: Faults,
    #[values(unlimited_budget(), empty_budget())] budget: RetryBudget,
) {
    assert_invariants_hold(false, faults, &budget);
}

/// Hedging multiplies the number of orders, so these cases inject fewer faults.
#[rstest]
#[case::paths(Faults { lost_connections: 1, not_sent: 1, ..NO_FAULTS })]
#[case::crashes(Faults { crashes: 1, ..NO_FAULTS })]
#[case::engines(Faults { engine_failures: 1, refusals: 1, ..NO_FAULTS })]
#[case::callers(Faults { caller_gone: 1, duplicate_frames: 1, ..NO_FAULTS })]
#[case::spans(Faults { spans: 1, lost_connections: 1, ..NO_FAULTS })]
fn no_order_of_events_violates_an_invariant_for_an_idempotent_request(
    #[case] faults: Faults,
    #[values(unlimited_budget(), empty_budget())] budget: RetryBudget,
) {
    assert_invariants_hold(true, faults, &budget);
}

#[rstest]
#[case(InjectedBug::RetryAfterUnknown, "a non-idempotent request ran twice")]
#[case(InjectedBug::TruncatedAnswer, "answered, and not whole")]
#[case(InjectedBug::AdmittedAndForgotten, "no end by the deadline")]
fn each_injected_bug_is_found(#[case] injected_bug: InjectedBug, #[case] violation: &str) {
    let faults = Faults {
        lost_connections: 1,
        crashes: 1,
        ..NO_FAULTS
    };
    let exploration = explore(options(false, injected_bug), faults, &unlimited_budget());
    assert_eq!(exploration.violation, Some(violation));
}
