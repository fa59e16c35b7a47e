//! 30 gateways and 69 engines, a fifth of which take three times as long for six seconds.
//!
//! Guards against gateways that each find out by themselves, with late prompts, which engines are
//! slow at the moment.

#![allow(clippy::print_stdout, reason = "the tests report counts")]

mod speed_fleet;

use rstest::rstest;
use speed_fleet::run;
use speed_fleet::Knowledge;
use speed_fleet::Outcome;
use speed_fleet::Scenario;

fn outcome(knowledge: Knowledge, seed: u64) -> Outcome {
    let outcome = run(Scenario {
        knowledge,
        slow_each: 5,
        factor: 3.0,
        seed,
    });
    println!("{knowledge:?}, seed {seed}: {outcome:?}");
    outcome
}

#[rstest]
fn sharing_raises_the_number_of_prompts_on_time(#[values(1, 2, 3)] seed: u64) {
    let declared = outcome(Knowledge::Declared, seed);
    let own = outcome(Knowledge::Own, seed);
    let shared = outcome(Knowledge::Shared, seed);
    assert_eq!(own.prompts, shared.prompts);
    assert!(own.on_time < shared.on_time, "{own:?} {shared:?}");
    assert!(declared.on_time < shared.on_time, "{declared:?} {shared:?}");
}

/// Guards against a peer whose false reports make sharing worse than knowing nothing of peers.
#[rstest]
fn a_peer_with_false_reports_does_not_make_sharing_useless(#[values(1, 2, 3)] seed: u64) {
    let own = outcome(Knowledge::Own, seed);
    let with_lies = outcome(Knowledge::SharedWithFalseReports, seed);
    assert!(own.on_time <= with_lies.on_time, "{own:?} {with_lies:?}");
}

/// Guards against messages, and against other choices, while engines run as declared.
#[test]
fn nothing_is_reported_while_engines_run_as_declared() {
    let scenario = Scenario {
        knowledge: Knowledge::Shared,
        slow_each: 0,
        factor: 3.0,
        seed: 1,
    };
    let outcome = run(scenario);
    let declared = run(Scenario {
        knowledge: Knowledge::Declared,
        ..scenario
    });
    println!("{outcome:?} {declared:?}");
    assert_eq!(outcome.reported, 0);
    assert_eq!(outcome.on_time, declared.on_time);
}
