//! Filters are checked before the log starts.

use mgs_observe::logs;
use rstest::rstest;

#[rstest]
#[case("info", true)]
#[case("warn, mgs_transport=debug", true)]
#[case("off", true)]
#[case("loud", false)]
#[case("info, mgs_gateway=loud", false)]
fn levels_are_checked(#[case] level: &str, #[case] good: bool) {
    assert_eq!(logs::check(level).is_ok(), good);
}
