//! The pace of reports.

use mgs_gateway::gateway::Options;
use mgs_gateway::pace::report_interval_ms;
use rstest::rstest;

#[rstest]
#[case(0, 200)]
#[case(20, 200)]
#[case(21, 217)]
#[case(96, 1_492)]
#[case(5_300, 1_500)]
fn the_reports_of_all_sessions_are_bounded(#[case] sessions: usize, #[case] interval_ms: u64) {
    assert_eq!(
        report_interval_ms(&Options::default(), sessions),
        interval_ms
    );
}

#[test]
fn an_interval_that_was_set_long_stays() {
    let options = Options {
        report_interval_ms: 5_000,
        ..Options::default()
    };
    assert_eq!(report_interval_ms(&options, 96), 5_000);
}
