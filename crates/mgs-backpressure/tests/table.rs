//! Applies backpressure updates in various orders, and checks what may be sent afterwards.

use mgs_backpressure::advice::Advice;
use mgs_backpressure::advice::Field;
use mgs_backpressure::options::Options;
use mgs_backpressure::peer_update::LimitUpdate;
use mgs_backpressure::peer_update::PeerUpdate;
use mgs_backpressure::share::Gateways;
use mgs_backpressure::table::AdviceChange;
use mgs_backpressure::table::Backpressure;
use mgs_backpressure::table::BlockReason;
use mgs_backpressure::table::CheckTime;
use mgs_backpressure::table::IncarnationHash;
use mgs_backpressure::warm_up::ColdEndpoint;
use mgs_backpressure::warm_up::ColdLimit;
use proptest::prelude::any;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::proptest;

const INCARNATION: IncarnationHash = IncarnationHash(7);

fn limit(per_s: f64) -> Advice {
    Advice {
        limit_per_s: Field::Value(per_s),
        ..Advice::default()
    }
}

/// A response that could carry a limit and carries none.
fn no_limit() -> Advice {
    Advice {
        limit_per_s: Field::Absent,
        ..Advice::default()
    }
}

/// The state of a gateway without peers.
fn single_gateway() -> Backpressure {
    let mut table = Backpressure::new(Options::default());
    table.set_gateways(Gateways {
        count: Some(1),
        ..Gateways::default()
    });
    table
}

/// How many requests may be sent at one moment.
fn accepted_requests(table: &mut Backpressure, now_ms: f64) -> usize {
    let probes = 100;
    (0..probes)
        .take_while(|_| table.permit(INCARNATION, now_ms).is_ok())
        .count()
}

/// Guards against gateways that use a whole limit on top of what they sent before they knew it.
#[test]
fn requests_sent_before_the_limit_was_known_count_against_it() {
    let mut table = single_gateway();
    table.apply_advice(INCARNATION, limit(2.0), 0.0, 150.0);
    assert!(table.record_uncounted(INCARNATION, 0.0));
    table.apply_advice(INCARNATION, limit(2.0), 10.0, 160.0);
    assert!(table.record_uncounted(INCARNATION, 10.0));
    // Of the one request that may be sent when the limit becomes known, two are used.
    assert_eq!(accepted_requests(&mut table, 640.0), 0);
    assert_eq!(accepted_requests(&mut table, 1_160.0), 1);
    let updates = table.take_peer_updates(true, 1_200.0);
    assert_eq!(updates[0].1.sent_requests, 3);
}

#[test]
fn a_request_that_was_counted_when_it_was_sent_is_not_counted_again() {
    let mut table = single_gateway();
    assert!(!table.record_uncounted(INCARNATION, 0.0));
    table.apply_advice(INCARNATION, limit(2.0), 0.0, 150.0);
    assert_eq!(accepted_requests(&mut table, 160.0), 1);
    table.apply_advice(INCARNATION, limit(2.0), 160.0, 310.0);
    assert!(!table.record_uncounted(INCARNATION, 160.0));
}

#[test]
fn a_limit_applies_until_a_response_lacks_it() {
    let mut table = single_gateway();
    assert_eq!(
        table.apply_advice(INCARNATION, limit(1.0), 0.0, 20.0),
        [AdviceChange::Limited(1.0)]
    );
    assert_eq!(table.apply_advice(INCARNATION, limit(1.0), 0.0, 30.0), []);
    assert_eq!(accepted_requests(&mut table, 40.0), 1);
    assert_eq!(accepted_requests(&mut table, 500.0), 0);
    assert_eq!(
        table.apply_advice(INCARNATION, no_limit(), 600.0, 620.0),
        [AdviceChange::Unlimited]
    );
    assert_eq!(accepted_requests(&mut table, 630.0), 100);
}

#[test]
fn a_late_response_to_an_earlier_request_keeps_the_limit() {
    let mut table = single_gateway();
    table.apply_advice(INCARNATION, limit(1.0), 0.0, 100.0);
    assert_eq!(table.apply_advice(INCARNATION, no_limit(), 90.0, 150.0), []);
    assert_eq!(table.limit_per_s(INCARNATION), Some(1.0));
}

#[test]
fn an_unknown_field_keeps_the_limit() {
    let mut table = single_gateway();
    table.apply_advice(INCARNATION, limit(1.0), 0.0, 20.0);
    assert_eq!(
        table.apply_advice(INCARNATION, Advice::default(), 30.0, 50.0),
        []
    );
    assert_eq!(table.limit_per_s(INCARNATION), Some(1.0));
}

#[test]
fn a_malformed_field_changes_nothing_and_is_reported_once() {
    let mut table = single_gateway();
    table.apply_advice(INCARNATION, limit(1.0), 0.0, 20.0);
    let malformed = Advice {
        limit_per_s: Field::Invalid,
        ..Advice::default()
    };
    assert_eq!(
        table.apply_advice(INCARNATION, malformed, 30.0, 50.0),
        [AdviceChange::InvalidLimit]
    );
    assert_eq!(table.apply_advice(INCARNATION, malformed, 60.0, 80.0), []);
    assert_eq!(table.limit_per_s(INCARNATION), Some(1.0));
}

#[test]
fn the_backoff_that_ends_last_applies() {
    let backoff = |backoff_ms| Advice {
        backoff_ms: Field::Value(backoff_ms),
        ..Advice::default()
    };
    let mut table = single_gateway();
    table.apply_advice(INCARNATION, backoff(3_000.0), 0.0, 100.0);
    table.apply_advice(INCARNATION, backoff(1_000.0), 0.0, 200.0);
    table.apply_advice(INCARNATION, no_limit(), 300.0, 310.0);
    let blocked = table
        .permit(INCARNATION, 2_600.0)
        .expect_err("the endpoint asked for a backoff");
    assert_eq!(blocked.reason, BlockReason::Backoff);
    assert_eq!(blocked.blocked_for_ms, 500.0);
    assert!(table.permit(INCARNATION, 3_100.0).is_ok());
}

#[test]
fn a_backoff_of_days_is_shortened() {
    let mut table = single_gateway();
    let days = Advice {
        backoff_ms: Field::Value(1e9),
        ..Advice::default()
    };
    table.apply_advice(INCARNATION, days, 0.0, 0.0);
    assert!(table
        .permit(INCARNATION, Options::default().backoff_max_ms)
        .is_ok());
}

#[test]
fn a_shutdown_is_sent_to_peers_by_those_that_got_it_first_hand() {
    let leaving_advice = Advice {
        leaving: Field::Value(()),
        ..Advice::default()
    };
    let mut table = single_gateway();
    table.apply_advice(INCARNATION, leaving_advice, 0.0, 0.0);
    table.apply_advice(INCARNATION, no_limit(), 10.0, 20.0);
    assert!(table.permit(INCARNATION, 1e6).is_err());
    let updates = table.take_peer_updates(false, 30.0);
    assert_eq!(updates.len(), 1);
    assert_eq!(table.take_peer_updates(false, 40.0).len(), 0);
    assert_eq!(table.take_peer_updates(true, 50.0).len(), 1);
    let mut peer = single_gateway();
    peer.apply_peer_update(1, INCARNATION, updates[0].1, 40.0);
    assert_eq!(
        peer.permit(INCARNATION, 50.0)
            .expect_err("the endpoint is shutting down")
            .reason,
        BlockReason::Leaving
    );
    assert_eq!(peer.take_peer_updates(true, 60.0).len(), 0);
}

#[test]
fn a_limit_does_not_apply_to_another_incarnation() {
    let mut table = single_gateway();
    table.apply_advice(INCARNATION, limit(0.0), 0.0, 20.0);
    accepted_requests(&mut table, 30.0);
    assert!(table.permit(IncarnationHash(8), 40.0).is_ok());
}

#[test]
fn a_limit_of_zero_allows_a_request_now_and_then() {
    let mut table = single_gateway();
    table.apply_advice(INCARNATION, limit(0.0), 0.0, 20.0);
    let sent: usize = (0..200)
        .map(|step| accepted_requests(&mut table, 20.0 + f64::from(step) * 100.0))
        .sum();
    assert!((4..=6).contains(&sent), "{sent}");
}

#[test]
fn a_gateway_without_a_gateway_count_sends_nothing_under_a_limit() {
    let mut table = Backpressure::new(Options::default());
    table.apply_advice(INCARNATION, limit(1_000.0), 0.0, 20.0);
    assert_eq!(accepted_requests(&mut table, 5_000.0), 0);
}

/// Totals of peers count once, in whatever order their messages arrive.
#[test]
fn requests_of_peers_count_once() {
    let mut table = single_gateway();
    table.apply_advice(INCARNATION, limit(10.0), 0.0, 0.0);
    let sent = |sent| PeerUpdate {
        sent_requests: sent,
        ..PeerUpdate::default()
    };
    table.apply_peer_update(5, INCARNATION, sent(3), 0.0);
    table.apply_peer_update(5, INCARNATION, sent(2), 0.0);
    table.apply_peer_update(5, INCARNATION, sent(3), 0.0);
    assert_eq!(accepted_requests(&mut table, 0.0), 1);
    table.apply_peer_update(5, INCARNATION, sent(5), 1.0);
    assert_eq!(accepted_requests(&mut table, 250.0), 0);
    assert_eq!(accepted_requests(&mut table, 350.0), 1);
}

#[test]
fn unlisted_endpoints_expire_and_listed_ones_do_not() {
    let mut table = single_gateway();
    table.apply_advice(INCARNATION, limit(1.0), 0.0, 20.0);
    table.expire(1e9, |incarnation| incarnation == INCARNATION);
    assert_eq!(table.limit_per_s(INCARNATION), Some(1.0));
    table.expire(1_000.0, |_| false);
    assert_eq!(table.limit_per_s(INCARNATION), Some(1.0));
    table.expire(1e9, |_| false);
    assert!(table.is_empty());
}

#[test]
fn listed_endpoints_without_backpressure_expire() {
    let mut table = single_gateway();
    table.apply_advice(INCARNATION, limit(1.0), 0.0, 20.0);
    table.apply_advice(INCARNATION, no_limit(), 30.0, 50.0);
    table.expire(1_000.0, |_| true);
    assert!(!table.is_empty());
    table.apply_advice(INCARNATION, no_limit(), 1e6, 1e6);
    table.expire(1e6, |_| true);
    assert!(table.is_empty());
}

/// Two gateways that always have requests to send, with every pattern of lost messages over four
/// seconds.
#[test]
fn two_gateways_keep_a_limit_whatever_messages_are_lost() {
    const STEPS: u32 = 8;
    const STEP_MS: f64 = 500.0;
    let limit_per_s = 1.0;
    let allowed_requests = (limit_per_s * 4.0 * 1.5 + 5.0) as usize;
    for lost_messages in 0..1_u32 << (2 * STEPS) {
        let mut tables = [gateway(1, 2), gateway(2, 1)];
        let mut sent = [0_usize; 2];
        for step in 0..STEPS {
            let now_ms = f64::from(step) * STEP_MS;
            for (index, table) in tables.iter_mut().enumerate() {
                table.apply_advice(INCARNATION, limit(limit_per_s), now_ms, now_ms);
                sent[index] += accepted_requests(table, now_ms);
            }
            for from in 0..2 {
                let is_message_lost = lost_messages >> (2 * step + from) & 1 == 1;
                let from = from as usize;
                if !is_message_lost {
                    let update = PeerUpdate {
                        sent_requests: sent[from] as u32,
                        ..PeerUpdate::default()
                    };
                    tables[1 - from].apply_peer_update(
                        from as u64 + 1,
                        INCARNATION,
                        update,
                        now_ms,
                    );
                }
            }
        }
        let total: usize = sent.iter().sum();
        assert!(
            total <= allowed_requests,
            "{total} with {lost_messages:b} lost"
        );
    }
}

/// One of two gateways.
fn gateway(own: u64, other: u64) -> Backpressure {
    let mut table = Backpressure::new(Options::default());
    table.set_gateways(Gateways {
        own,
        others: vec![other],
        count: Some(2),
    });
    table
}

fn limit_update() -> impl Strategy<Value = LimitUpdate> {
    let per_s = proptest::prop_oneof![Just(None), (1_u32..5).prop_map(|n| Some(f64::from(n)))];
    // An endpoint announces one limit at a time, so there is at most one update per time.
    (per_s, 0_u32..8).prop_map(|(per_s, at)| LimitUpdate {
        per_s: per_s.map(|_| f64::from(at + 1)),
        at_ms: f64::from(at),
    })
}

proptest! {
    #[test]
    fn updates_of_peers_give_the_same_limit_in_any_order(
        updates in proptest::collection::vec(limit_update(), 1..6),
        from in any::<u64>(),
    ) {
        let limit_after = |updates: &[LimitUpdate]| {
            let mut table = single_gateway();
            for limit_update in updates {
                table.apply_peer_update(from, INCARNATION, PeerUpdate { limit: Some(*limit_update), ..PeerUpdate::default() }, 10.0);
            }
            table.limit_per_s(INCARNATION)
        };
        let mut reversed = updates.clone();
        reversed.reverse();
        prop_assert_eq!(limit_after(&updates), limit_after(&reversed));
    }
}

/// Guards against an answer for cold endpoints only where other backpressure is known, and against
/// helpers that are left out although a part of a prompt isn't a request of theirs.
#[test]
fn a_cold_endpoint_without_other_state_is_blocked_for_requests_only() {
    let mut table = Backpressure::new(Options::default());
    assert!(table.is_empty());
    let endpoint = ColdEndpoint {
        incarnation: INCARNATION,
        identifier: 7,
        limit: ColdLimit {
            requests_per_s: 44.0,
            start_ms: 3_000.0,
        },
        cold_until_ms: 3_000.0,
    };
    table.warm_up().set_endpoints(vec![endpoint], 0.0);
    assert!(!table.is_empty());
    let time = CheckTime {
        now_ms: 100.0,
        boot_ms: 2_999.0,
    };
    let blocked = table.blocked(time);
    assert_eq!(blocked.len(), 1);
    assert_eq!(blocked[0].1.reason, BlockReason::WarmUp);
    assert!(!blocked[0].1.reason.blocks_helpers());
    let refused = table.permit(INCARNATION, time).expect_err("it is cold");
    assert_eq!(refused.reason, BlockReason::WarmUp);
    let later = CheckTime {
        boot_ms: 3_000.0,
        ..time
    };
    assert!(table.permit(INCARNATION, later).is_ok());
    assert!(table.blocked(later).is_empty());
}

#[test]
fn a_malformed_cold_time_is_reported_once() {
    let mut table = Backpressure::new(Options::default());
    let advice = Advice {
        cold_ms: Field::Invalid,
        ..Advice::default()
    };
    let changes = table.apply_advice(INCARNATION, advice, 0.0, 10.0);
    assert_eq!(changes, [AdviceChange::InvalidCold]);
    assert!(table
        .apply_advice(INCARNATION, advice, 20.0, 30.0)
        .is_empty());
}
