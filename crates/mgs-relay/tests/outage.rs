//! Which signs make a gateway believe that entries of live endpoints may have expired.

use mgs_relay::outage::OutageSigns;
use rstest::rstest;

/// Interval between two status reports of an endpoint, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_200;

/// An outage that may have cost two reports, and with the age of the last report before it a third, in milliseconds.
const LONG_MS: u64 = 2 * REPORT_INTERVAL_MS + 1;

/// Guards against signs of a gateway's own connections, or of readers that aren't heard, that count as an outage.
#[rstest]
#[case::a_silent_connection(true, false, Some(2_000), false)]
#[case::a_silent_connection_and_removals(true, true, Some(2_000), false)]
#[case::readers_that_are_not_heard(false, true, Some(LONG_MS - 1), false)]
#[case::nobody_reached_it_for_long(true, false, Some(LONG_MS), true)]
#[case::nobody_reached_it_for_long_as_removals_show(false, true, Some(LONG_MS), true)]
#[case::nobody_asked_for_long(false, false, Some(60_000), false)]
#[case::a_gateway_that_starts(true, true, None, false)]
fn an_outage_is_one_in_which_entries_may_have_expired(
    #[case] was_lost: bool,
    #[case] has_removals: bool,
    #[case] unanswered_ms: Option<u64>,
    #[case] is_outage: bool,
) {
    let signs = OutageSigns {
        was_refused: false,
        was_lost,
        has_removals,
        unanswered_ms,
    };
    assert_eq!(
        signs.may_have_expired_entries(REPORT_INTERVAL_MS),
        is_outage
    );
}

/// Whom the store refuses may be many, and endpoints among them.
#[test]
fn a_store_that_refuses_calls_is_away() {
    let signs = OutageSigns {
        was_refused: true,
        was_lost: true,
        has_removals: false,
        unanswered_ms: Some(100),
    };
    assert!(signs.may_have_expired_entries(REPORT_INTERVAL_MS));
}
