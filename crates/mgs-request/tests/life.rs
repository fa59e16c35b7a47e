//! Every order of a few events around one request, and the rules that must hold in each state.

mod model;

use mgs_request::budget;
use mgs_request::budget::Budget;
use mgs_request::life::Options;
use mgs_request::plant::Plant;
use model::explore;
use model::Faults;
use model::DEADLINE_MS;
use rstest::rstest;

const CALM: Faults = Faults {
    lost_paths: 0,
    crashes: 0,
    not_sent: 0,
    doubled_frames: 0,
    engine_failures: 0,
    refusals: 0,
    caller_gone: 0,
    spans: 0,
};

fn options(idempotent: bool, plant: Plant) -> Options {
    Options {
        deadline_ms: DEADLINE_MS,
        idempotent,
        hedge: idempotent,
        hedge_factor: 1,
        hedge_slack_ms: 1,
        attempts_max: 2,
        ask_again_ms: 1,
        resumes_max: 1,
        choose_again_ms: 1,
        plant,
    }
}

/// A budget that no exploration uses up.
fn ample() -> Budget {
    Budget::new(budget::Options {
        saved_at_start: u64::MAX / 1_000_000,
        ..budget::Options::default()
    })
}

fn empty() -> Budget {
    Budget::new(budget::Options {
        saved_at_start: 0,
        ..budget::Options::default()
    })
}

fn assert_rules_hold(idempotent: bool, faults: Faults, budget: &Budget) {
    let found = explore(options(idempotent, Plant::None), faults, budget);
    assert_eq!(found.violation, None);
    assert!(found.states > 500, "only {} states", found.states);
    assert!(found.outcomes.contains("Answered"));
}

#[rstest]
#[case::paths(Faults { lost_paths: 2, not_sent: 1, ..CALM })]
#[case::crashes(Faults { lost_paths: 1, crashes: 1, refusals: 1, ..CALM })]
#[case::engines(Faults { engine_failures: 1, refusals: 1, lost_paths: 1, ..CALM })]
#[case::callers(Faults { caller_gone: 1, lost_paths: 1, doubled_frames: 1, ..CALM })]
#[case::spans(Faults { spans: 2, lost_paths: 1, not_sent: 1, caller_gone: 1, ..CALM })]
fn no_order_of_events_breaks_a_rule(
    #[case] faults: Faults,
    #[values(ample(), empty())] budget: Budget,
) {
    assert_rules_hold(false, faults, &budget);
}

/// With hedges, which make many more orders; so there are fewer faults.
#[rstest]
#[case::paths(Faults { lost_paths: 1, not_sent: 1, ..CALM })]
#[case::crashes(Faults { crashes: 1, ..CALM })]
#[case::engines(Faults { engine_failures: 1, refusals: 1, ..CALM })]
#[case::callers(Faults { caller_gone: 1, doubled_frames: 1, ..CALM })]
#[case::spans(Faults { spans: 1, lost_paths: 1, ..CALM })]
fn no_order_of_events_breaks_a_rule_for_an_idempotent_request(
    #[case] faults: Faults,
    #[values(ample(), empty())] budget: Budget,
) {
    assert_rules_hold(true, faults, &budget);
}

#[rstest]
#[case(Plant::RetryAfterUnknown, "a non-idempotent request ran twice")]
#[case(Plant::TruncatedAnswer, "answered, and not whole")]
#[case(Plant::AdmittedAndForgotten, "no end by the deadline")]
fn each_planted_bug_is_found(#[case] plant: Plant, #[case] violation: &str) {
    let faults = Faults {
        lost_paths: 1,
        crashes: 1,
        ..CALM
    };
    let found = explore(options(false, plant), faults, &ample());
    assert_eq!(found.violation, Some(violation));
}
