//! Checks that log filters are validated before the log starts.

use mgs_observe::logs;
use rstest::rstest;

#[rstest]
#[case("info", true)]
#[case("warn, mgs_transport=debug", true)]
#[case("off", true)]
#[case("loud", false)]
#[case("info, mgs_gateway=loud", false)]
fn filters_are_validated(#[case] level: &str, #[case] is_valid: bool) {
    assert_eq!(logs::check_filter(level).is_ok(), is_valid);
}
