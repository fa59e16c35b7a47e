//! What refusals of endpoints to help say, for how long, and what takes them back.

use mgs_fleet::view::EndpointKey;
use mgs_relay::helpers::Helpers;
use mgs_relay::helpers::Reason;
use mgs_relay::helpers::STORE_WORD_MS;
use proptest::prelude::any;
use proptest::prelude::Strategy;
use proptest::proptest;
use rstest::rstest;

const ENGINE: EndpointKey = EndpointKey(3);

/// A time long before any refusal.
const BEFORE_MS: Option<u64> = Some(500);

fn engines(count: u32) -> Vec<EndpointKey> {
    (0..count).map(EndpointKey).collect()
}

fn refused(reason: Reason) -> Helpers {
    let mut helpers = Helpers::default();
    helpers.refused(ENGINE, reason, 1_000);
    helpers
}

/// Whether the engine that refused at 1,000 ms is still passed over.
fn stands(helpers: &Helpers, now_ms: u64, confirmed_ms: Option<u64>) -> bool {
    helpers
        .refusing(&engines(8), now_ms, confirmed_ms)
        .contains(&ENGINE)
}

#[rstest]
#[case::at_once(1_000, BEFORE_MS, true)]
#[case::the_store_away(9_000, BEFORE_MS, true)]
#[case::never_heard(9_000, None, true)]
#[case::the_store_heard_a_moment_later(1_900, Some(1_800), true)]
#[case::the_store_heard_long_after(4_000, Some(1_000 + STORE_WORD_MS), false)]
#[case::a_long_outage(11_500, BEFORE_MS, false)]
fn a_refusal_counts_until_something_goes_before_it(
    #[case] now_ms: u64,
    #[case] confirmed_ms: Option<u64>,
    #[case] expected: bool,
) {
    assert_eq!(
        stands(&refused(Reason::Leaves), now_ms, confirmed_ms),
        expected
    );
}

#[rstest]
#[case(Reason::Busy)]
#[case(Reason::Reservation)]
fn what_passes_soon_is_forgotten_soon_and_not_told(#[case] reason: Reason) {
    let mut helpers = refused(reason);
    assert!(stands(&helpers, 1_100, BEFORE_MS));
    assert!(!stands(&helpers, 1_500, BEFORE_MS));
    assert!(helpers.take_told(true, 1_100, BEFORE_MS).is_empty());
}

#[test]
fn a_prompt_that_was_read_with_its_help_ends_it() {
    let mut helpers = refused(Reason::Leaves);
    helpers.helped(&[ENGINE], 900);
    assert!(
        stands(&helpers, 1_200, BEFORE_MS),
        "it was sent before the refusal"
    );
    helpers.helped(&[ENGINE], 1_100);
    assert!(!stands(&helpers, 1_200, BEFORE_MS));
}

#[test]
fn peers_are_told_once_at_once_and_again_with_all() {
    let mut helpers = refused(Reason::Leaves);
    assert_eq!(helpers.take_told(false, 1_010, BEFORE_MS), [(ENGINE, 10)]);
    assert!(helpers.take_told(false, 1_020, BEFORE_MS).is_empty());
    assert_eq!(helpers.take_told(true, 1_300, BEFORE_MS), [(ENGINE, 300)]);
}

/// Told on by those that only heard of it, it would seem newer with each message.
#[test]
fn what_a_peer_told_is_not_told_further() {
    let mut helpers = Helpers::default();
    helpers.told(ENGINE, 1_000);
    assert!(stands(&helpers, 1_200, BEFORE_MS));
    assert!(helpers.take_told(true, 1_200, BEFORE_MS).is_empty());
}

#[test]
fn at_most_half_are_passed_over_the_newest_refusals_first() {
    let mut helpers = Helpers::default();
    for key in 0..6 {
        helpers.refused(EndpointKey(key), Reason::Leaves, 1_000 + u64::from(key));
    }
    let refusing = helpers.refusing(&engines(8), 1_100, BEFORE_MS);
    assert_eq!(refusing.len(), 4);
    assert!(!refusing.contains(&EndpointKey(0)) && !refusing.contains(&EndpointKey(1)));
}

proptest! {
    /// Messages come late, twice and in any order: all that heard the same hold the same.
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
            let mut helpers = Helpers::default();
            told.iter().for_each(|(key, at_ms)| helpers.told(EndpointKey(*key), *at_ms));
            helpers.refusing(&engines(20), now_ms, None)
        };
        assert_eq!(hear(&told), hear(&shuffled));
    }

    /// Whatever was told, refused and answered: an engine is asked again once the store was heard long after the last
    /// refusal.
    #[test]
    fn the_store_goes_before_all_that_is_older(
        told in proptest::collection::vec((0u32..6, 1_000u64..9_000), 0..40),
    ) {
        let mut helpers = Helpers::default();
        for (key, at_ms) in &told {
            helpers.refused(EndpointKey(*key), Reason::Leaves, *at_ms);
        }
        let confirmed_ms = 9_000 + STORE_WORD_MS;
        assert!(helpers.refusing(&engines(20), confirmed_ms, Some(confirmed_ms)).is_empty());
    }
}
