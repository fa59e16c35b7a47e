//! How long refusals to help count, and what cancels them.

use mgs_fleet::view::EndpointKey;
use mgs_relay::helper_refusals::HelperRefusals;
use mgs_relay::helper_refusals::RefusalReason;
use mgs_relay::helper_refusals::STORE_CONFIRMATION_MS;
use proptest::prelude::any;
use proptest::prelude::Strategy;
use proptest::proptest;
use rstest::rstest;

const ENGINE: EndpointKey = EndpointKey(3);

/// A confirmation by the store long before any refusal.
const BEFORE_MS: Option<u64> = Some(500);

fn engines(count: u32) -> Vec<EndpointKey> {
    (0..count).map(EndpointKey).collect()
}

fn refused(reason: RefusalReason) -> HelperRefusals {
    let mut helpers = HelperRefusals::default();
    helpers.record_refusal(ENGINE, reason, 1_000);
    helpers
}

/// Whether the engine that refused at 1,000 ms is still excluded.
fn is_excluded(helpers: &HelperRefusals, now_ms: u64, confirmed_ms: Option<u64>) -> bool {
    helpers
        .refusing_endpoints(&engines(8), now_ms, confirmed_ms)
        .contains(&ENGINE)
}

#[rstest]
#[case::at_once(1_000, BEFORE_MS, true)]
#[case::the_store_away(9_000, BEFORE_MS, true)]
#[case::never_heard(9_000, None, true)]
#[case::the_store_heard_a_moment_later(1_900, Some(1_800), true)]
#[case::the_store_heard_long_after(4_000, Some(1_000 + STORE_CONFIRMATION_MS), false)]
#[case::a_long_outage(11_500, BEFORE_MS, false)]
fn a_refusal_counts_until_it_expires_or_is_cancelled(
    #[case] now_ms: u64,
    #[case] confirmed_ms: Option<u64>,
    #[case] expected: bool,
) {
    assert_eq!(
        is_excluded(&refused(RefusalReason::Leaves), now_ms, confirmed_ms),
        expected
    );
}

#[rstest]
#[case(RefusalReason::Busy)]
#[case(RefusalReason::Reservation)]
fn short_refusals_expire_soon_and_are_not_reported(#[case] reason: RefusalReason) {
    let mut helpers = refused(reason);
    assert!(is_excluded(&helpers, 1_100, BEFORE_MS));
    assert!(!is_excluded(&helpers, 1_500, BEFORE_MS));
    assert!(helpers.take_reports(true, 1_100, BEFORE_MS).is_empty());
}

#[test]
fn a_prompt_read_with_its_help_cancels_a_refusal() {
    let mut helpers = refused(RefusalReason::Leaves);
    helpers.record_help(&[ENGINE], 900);
    assert!(
        is_excluded(&helpers, 1_200, BEFORE_MS),
        "it was sent before the refusal"
    );
    helpers.record_help(&[ENGINE], 1_100);
    assert!(!is_excluded(&helpers, 1_200, BEFORE_MS));
}

#[test]
fn a_refusal_is_reported_once_and_again_with_all() {
    let mut helpers = refused(RefusalReason::Leaves);
    assert_eq!(
        helpers.take_reports(false, 1_010, BEFORE_MS),
        [(ENGINE, 10)]
    );
    assert!(helpers.take_reports(false, 1_020, BEFORE_MS).is_empty());
    assert_eq!(
        helpers.take_reports(true, 1_300, BEFORE_MS),
        [(ENGINE, 300)]
    );
}

/// Guards against a refusal that looks newer with each message, because gateways forward it that
/// only learned of it.
#[test]
fn refusals_learned_from_peers_are_not_forwarded() {
    let mut helpers = HelperRefusals::default();
    helpers.record_peer_refusal(ENGINE, 1_000);
    assert!(is_excluded(&helpers, 1_200, BEFORE_MS));
    assert!(helpers.take_reports(true, 1_200, BEFORE_MS).is_empty());
}

#[test]
fn at_most_half_are_excluded_newest_refusals_first() {
    let mut helpers = HelperRefusals::default();
    for key in 0..6 {
        helpers.record_refusal(
            EndpointKey(key),
            RefusalReason::Leaves,
            1_000 + u64::from(key),
        );
    }
    let refusing = helpers.refusing_endpoints(&engines(8), 1_100, BEFORE_MS);
    assert_eq!(refusing.len(), 4);
    assert!(!refusing.contains(&EndpointKey(0)) && !refusing.contains(&EndpointKey(1)));
}

proptest! {
    /// Messages arrive late, twice and in any order; gateways that received the same ones have the
    /// same state.
    #[test]
    fn the_order_of_messages_makes_no_difference(
        told in proptest::collection::vec((0u32..6, 1_000u64..9_000), 0..40),
        order in any::<u64>().prop_map(|seed| seed as usize),
        now_ms in 9_000u64..15_000,
    ) {
        let mut shuffled = told.clone();
        shuffled.extend(told.first().copied());
        let len = shuffled.len().max(1);
        shuffled.rotate_left(order % len);
        shuffled.reverse();
        let hear = |told: &[(u32, u64)]| {
            let mut helpers = HelperRefusals::default();
            told.iter().for_each(|(key, at_ms)| helpers.record_peer_refusal(EndpointKey(*key), *at_ms));
            helpers.refusing_endpoints(&engines(20), now_ms, None)
        };
        assert_eq!(hear(&told), hear(&shuffled));
    }

    /// Whatever was reported, refused and answered, an engine is asked again once the store has
    /// confirmed it long enough after the last refusal.
    #[test]
    fn a_store_confirmation_cancels_older_refusals(
        told in proptest::collection::vec((0u32..6, 1_000u64..9_000), 0..40),
    ) {
        let mut helpers = HelperRefusals::default();
        for (key, at_ms) in &told {
            helpers.record_refusal(EndpointKey(*key), RefusalReason::Leaves, *at_ms);
        }
        let confirmed_ms = 9_000 + STORE_CONFIRMATION_MS;
        assert!(helpers.refusing_endpoints(&engines(20), confirmed_ms, Some(confirmed_ms)).is_empty());
    }
}
