//! Every interleaving of two gateways, the store and two endpoints over one non-idempotent
//! request, with a small budget of faults.

#![allow(clippy::print_stdout)]

mod model;

use model::explore;
use model::Bug;
use model::Kind;

use rstest::rstest;

/// Faults in one run while a planted bug is looked for.
const BUG_FAULTS: u8 = 2;

/// Faults in one run: one in CI, more on demand (two take minutes and gigabytes).
fn faults() -> u8 {
    let wanted = std::env::var("MGS_EXPLORE_FAULTS");
    wanted.ok().and_then(|text| text.parse().ok()).unwrap_or(1)
}

#[rstest]
#[case::claim(Kind::Claim)]
#[case::durable(Kind::Durable)]
fn runs_at_most_once_and_is_never_lost(#[case] kind: Kind) {
    let report = explore(kind, None, faults());
    println!(
        "{kind:?}: {} states, {} transitions",
        report.states, report.transitions
    );
    report.trace.iter().for_each(|line| println!("{line}"));
    assert_eq!(report.violations, Vec::<String>::new());
    assert!(report.states > 1_000, "too few states: {}", report.states);
    assert!(report.ended > 0);
}

#[rstest]
#[case::unmarked(Bug::SendUnmarked)]
#[case::unknown_mark(Bug::SendAfterUnknownMark)]
#[case::no_proof(Bug::RetryWithoutProof)]
#[case::no_tombstone(Bug::DroppedTombstone)]
#[case::unconditional(Bug::UnconditionalWrite)]
fn planted_bug_is_found(#[case] bug: Bug) {
    for kind in [Kind::Claim, Kind::Durable] {
        let report = explore(kind, Some(bug), BUG_FAULTS);
        println!(
            "{kind:?} {bug:?}: {:?} in {} states",
            report.violations, report.states
        );
        assert!(
            !report.violations.is_empty(),
            "{bug:?} is missed for {kind:?}"
        );
    }
}
