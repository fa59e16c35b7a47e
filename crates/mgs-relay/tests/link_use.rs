//! Messages to peers become rarer on a narrow link before requests are refused, and never on a link
//! with room.
//!
//! Guards against two faults: a gateway whose link is reduced to a fraction spends it on messages to
//! its peers; and peers take such a gateway for silent.

use mgs_placing::load_table::PEER_SILENCE_MS;
use mgs_relay::link_use::LinkState;
use mgs_relay::link_use::LinkTotals;
use mgs_relay::link_use::LinkUse;
use mgs_relay::link_use::LoggedState;
use mgs_relay::link_use::MessagePace;
use mgs_relay::link_use::Options;
use mgs_relay::link_use::QUIET_MAX_MS;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use rstest::rstest;

/// Bytes per second of the narrowest link of the deployments, of 14 Mbit/s.
const NARROWEST_PER_S: f64 = 1_750_000.0;

const FREE_PACE: MessagePace = MessagePace {
    send_interval_ms: 15,
    full_interval_ms: 300,
};

const SLOWEST_PACE: MessagePace = MessagePace {
    send_interval_ms: 400,
    full_interval_ms: 1_000,
};

fn narrowest() -> Options {
    Options {
        bytes_per_s: Some(NARROWEST_PER_S),
    }
}

/// A link and its totals.
#[derive(Default)]
struct Link {
    now_ms: f64,
    totals: LinkTotals,
    in_use: LinkUse,
}

impl Link {
    /// Carries this share of the narrowest link and blocks the socket for this share of time.
    fn carry(&mut self, for_ms: f64, used_share: f64, blocked_share: f64) {
        const STEP_MS: f64 = 50.0;
        for _ in 0..(for_ms / STEP_MS) as usize {
            self.now_ms += STEP_MS;
            self.totals.sent_bytes += (NARROWEST_PER_S * used_share * STEP_MS / 1e3) as u64;
            self.totals.blocked_ms += blocked_share * STEP_MS;
            self.in_use.observe(&narrowest(), self.now_ms, self.totals);
        }
    }
}

#[rstest]
#[case::idle(0.0, 0.0, LinkState::Free, FREE_PACE)]
#[case::ordinary(0.5, 0.0, LinkState::Free, FREE_PACE)]
#[case::nearly_full(0.85, 0.0, LinkState::Narrow, SLOWEST_PACE)]
#[case::full(0.95, 0.0, LinkState::Full, SLOWEST_PACE)]
#[case::short_waits(0.1, 0.03, LinkState::Free, FREE_PACE)]
#[case::reduced_to_less(0.1, 0.4, LinkState::Narrow, SLOWEST_PACE)]
#[case::reduced_to_nearly_nothing(0.02, 0.9, LinkState::Full, SLOWEST_PACE)]
fn messages_become_rarer_before_requests_are_refused(
    #[case] used_share: f64,
    #[case] blocked_share: f64,
    #[case] state: LinkState,
    #[case] pace: MessagePace,
) {
    let mut link = Link::default();
    link.carry(6_000.0, used_share, blocked_share);
    assert_eq!(link.in_use.state(&narrowest()), state);
    assert_eq!(link.in_use.pace(&narrowest()), pace);
}

/// Guards against a link that is reduced to nearly nothing and counts as free, since each wait is recorded as a whole when
/// it ends, long after the last observation but one.
#[test]
fn a_long_wait_counts_in_full_after_many_short_observations() {
    let mut link = Link::default();
    for _ in 0..5 {
        for _ in 0..900 {
            link.now_ms += 1.0;
            link.in_use.observe(&narrowest(), link.now_ms, link.totals);
        }
        link.totals.blocked_ms += 890.0;
        link.now_ms += 1.0;
        link.in_use.observe(&narrowest(), link.now_ms, link.totals);
    }
    let blocked_share = link.in_use.blocked_share(&narrowest());
    assert!((0.9..=1.0).contains(&blocked_share), "{blocked_share}");
    assert_eq!(link.in_use.state(&narrowest()), LinkState::Full);
}

/// Guards against a limit that takes effect where no setting asks for it.
#[rstest]
#[case::used(50.0, 0.0)]
#[case::blocked(0.1, 0.9)]
#[case::blocked_throughout(50.0, 1.0)]
fn a_link_of_unknown_width_changes_nothing(#[case] used_share: f64, #[case] blocked_share: f64) {
    let mut link = Link::default();
    for _ in 0..120 {
        link.carry(50.0, used_share, blocked_share);
        assert_eq!(link.in_use.state(&Options::default()), LinkState::Free);
        assert_eq!(link.in_use.pace(&Options::default()), FREE_PACE);
    }
}

#[test]
fn a_link_that_was_full_is_free_again_within_four_seconds() {
    let mut link = Link::default();
    link.carry(6_000.0, 1.0, 1.0);
    assert_eq!(link.in_use.state(&narrowest()), LinkState::Full);
    link.carry(3_500.0, 0.1, 0.0);
    assert_eq!(link.in_use.pace(&narrowest()), FREE_PACE);
}

/// A body of a megabyte arrives within 100 ms, as through a link that has buffered it.
#[test]
fn one_long_body_is_not_a_full_link() {
    let mut link = Link::default();
    link.carry(3_000.0, 0.05, 0.0);
    link.totals.received_bytes += 1_000_000;
    link.carry(100.0, 0.05, 0.0);
    assert_ne!(link.in_use.state(&narrowest()), LinkState::Full);
}

/// Guards against hosts with a narrow link that refuse everything after two ordinary long prompts.
#[rstest]
#[case::idle(0.05)]
#[case::ordinary(0.4)]
fn a_burst_of_two_long_bodies_is_not_a_full_link(#[case] used_share: f64) {
    let mut link = Link::default();
    link.carry(3_000.0, used_share, 0.0);
    link.totals.received_bytes += 1_520_000;
    for _ in 0..60 {
        link.carry(50.0, used_share, 0.0);
        assert_ne!(link.in_use.state(&narrowest()), LinkState::Full);
    }
    link.totals.sent_bytes += 1_520_000;
    for _ in 0..60 {
        link.carry(50.0, used_share, 0.0);
        assert_ne!(link.in_use.state(&narrowest()), LinkState::Full);
    }
}

#[test]
fn a_burst_that_fills_the_link_for_seconds_is_noticed_at_once_and_forgotten_afterwards() {
    let mut link = Link::default();
    link.carry(3_000.0, 0.05, 0.0);
    link.totals.received_bytes += 7_600_000;
    link.carry(50.0, 0.05, 0.0);
    assert_eq!(link.in_use.state(&narrowest()), LinkState::Full);
    link.carry(5_000.0, 0.05, 0.0);
    assert_eq!(link.in_use.state(&narrowest()), LinkState::Free);
}

/// Guards against a log line for each request while the use of the link is near a bound.
#[test]
fn a_state_that_alternates_is_logged_once() {
    let mut logged = LoggedState::default();
    let lines = (0..1_000).filter(|step| {
        let state = match step % 2 {
            0 => LinkState::Full,
            _ => LinkState::Narrow,
        };
        logged.update(f64::from(*step) * 10.0, state)
    });
    assert_eq!(lines.count(), 1);
    assert!(!logged.update(11_000.0, LinkState::Free));
    assert!(logged.update(12_000.0, LinkState::Free));
    assert!(logged.update(12_001.0, LinkState::Narrow));
}

proptest! {
    #[test]
    fn requests_are_refused_only_while_messages_are_rarest(
        steps in prop::collection::vec((50.0..2_000.0f64, 0.0..2.0f64, 0.0..1.0f64), 1..40),
    ) {
        let mut link = Link::default();
        for (for_ms, used_share, blocked_share) in steps {
            link.carry(for_ms, used_share, blocked_share);
            let pace = link.in_use.pace(&narrowest());
            prop_assert!((15..=400).contains(&pace.send_interval_ms));
            prop_assert!((300..=1_000).contains(&pace.full_interval_ms));
            match link.in_use.state(&narrowest()) {
                LinkState::Full => prop_assert!(pace == SLOWEST_PACE),
                LinkState::Narrow => {}
                LinkState::Free => prop_assert!(pace == FREE_PACE),
            }
        }
    }
}

/// One message may be lost before peers take a gateway for silent.
#[test]
fn the_longest_quiet_time_leaves_room_for_a_lost_message() {
    let quiet_ms = QUIET_MAX_MS.max(SLOWEST_PACE.send_interval_ms) as f64;
    assert!(quiet_ms * 2.0 < PEER_SILENCE_MS);
}
