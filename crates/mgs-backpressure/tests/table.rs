//! What is known of endpoints, in any order in which it is heard, and what may be sent for it.

use mgs_backpressure::advice::Advice;
use mgs_backpressure::advice::Field;
use mgs_backpressure::options::Options;
use mgs_backpressure::share::Gateways;
use mgs_backpressure::table::Life;
use mgs_backpressure::table::News;
use mgs_backpressure::table::Reason;
use mgs_backpressure::table::Table;
use mgs_backpressure::told::Told;
use mgs_backpressure::told::Word;
use proptest::prelude::any;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::proptest;

const LIFE: Life = Life(7);

fn limit(per_s: f64) -> Advice {
    Advice {
        limit_per_s: Field::Says(per_s),
        ..Advice::default()
    }
}

/// An answer that would name a limit and names none.
fn no_limit() -> Advice {
    Advice {
        limit_per_s: Field::Absent,
        ..Advice::default()
    }
}

/// The table of the only gateway.
fn alone() -> Table {
    let mut table = Table::new(Options::default());
    table.set_gateways(Gateways {
        count: Some(1),
        ..Gateways::default()
    });
    table
}

/// How many requests may be sent at a moment.
fn takes(table: &mut Table, now_ms: f64) -> usize {
    let most = 100;
    (0..most)
        .take_while(|_| table.permit(LIFE, now_ms).is_ok())
        .count()
}

#[test]
fn a_limit_binds_until_it_is_not_named() {
    let mut table = alone();
    assert_eq!(
        table.hear(LIFE, limit(1.0), 0.0, 20.0),
        [News::Limited(1.0)]
    );
    assert_eq!(table.hear(LIFE, limit(1.0), 0.0, 30.0), []);
    assert_eq!(takes(&mut table, 40.0), 1);
    assert_eq!(takes(&mut table, 500.0), 0);
    assert_eq!(
        table.hear(LIFE, no_limit(), 600.0, 620.0),
        [News::Unlimited]
    );
    assert_eq!(takes(&mut table, 630.0), 100);
}

#[test]
fn a_late_answer_to_an_earlier_request_takes_no_limit_back() {
    let mut table = alone();
    table.hear(LIFE, limit(1.0), 0.0, 100.0);
    assert_eq!(table.hear(LIFE, no_limit(), 90.0, 150.0), []);
    assert_eq!(table.limit_per_s(LIFE), Some(1.0));
}

#[test]
fn an_answer_that_does_not_tell_takes_no_limit_back() {
    let mut table = alone();
    table.hear(LIFE, limit(1.0), 0.0, 20.0);
    assert_eq!(table.hear(LIFE, Advice::default(), 30.0, 50.0), []);
    assert_eq!(table.limit_per_s(LIFE), Some(1.0));
}

#[test]
fn a_field_that_cannot_be_read_changes_nothing_and_is_news_once() {
    let mut table = alone();
    table.hear(LIFE, limit(1.0), 0.0, 20.0);
    let unusable = Advice {
        limit_per_s: Field::Unusable,
        ..Advice::default()
    };
    assert_eq!(
        table.hear(LIFE, unusable, 30.0, 50.0),
        [News::UnusableLimit]
    );
    assert_eq!(table.hear(LIFE, unusable, 60.0, 80.0), []);
    assert_eq!(table.limit_per_s(LIFE), Some(1.0));
}

#[test]
fn the_rest_that_ends_last_counts() {
    let rest = |rest_ms| Advice {
        rest_ms: Field::Says(rest_ms),
        ..Advice::default()
    };
    let mut table = alone();
    table.hear(LIFE, rest(3_000.0), 0.0, 100.0);
    table.hear(LIFE, rest(1_000.0), 0.0, 200.0);
    table.hear(LIFE, no_limit(), 300.0, 310.0);
    let shut = table.permit(LIFE, 2_600.0).expect_err("it rests");
    assert_eq!(shut.reason, Reason::Rest);
    assert_eq!(shut.opens_in_ms, 500.0);
    assert!(table.permit(LIFE, 3_100.0).is_ok());
}

#[test]
fn a_rest_of_days_is_cut() {
    let mut table = alone();
    let days = Advice {
        rest_ms: Field::Says(1e9),
        ..Advice::default()
    };
    table.hear(LIFE, days, 0.0, 0.0);
    assert!(table.permit(LIFE, Options::default().rest_max_ms).is_ok());
}

#[test]
fn whoever_leaves_is_told_by_those_that_it_told() {
    let leaves = Advice {
        leaving: Field::Says(()),
        ..Advice::default()
    };
    let mut table = alone();
    table.hear(LIFE, leaves, 0.0, 0.0);
    table.hear(LIFE, no_limit(), 10.0, 20.0);
    assert!(table.permit(LIFE, 1e6).is_err());
    let told = table.take_told(false, 30.0);
    assert_eq!(told.len(), 1);
    assert_eq!(table.take_told(false, 40.0).len(), 0);
    assert_eq!(table.take_told(true, 50.0).len(), 1);
    let mut peer = alone();
    peer.hear_peer(1, LIFE, told[0].1, 40.0);
    assert_eq!(
        peer.permit(LIFE, 50.0).expect_err("it leaves").reason,
        Reason::Leaving
    );
    assert_eq!(peer.take_told(true, 60.0).len(), 0);
}

#[test]
fn another_life_is_not_bound() {
    let mut table = alone();
    table.hear(LIFE, limit(0.0), 0.0, 20.0);
    takes(&mut table, 30.0);
    assert!(table.permit(Life(8), 40.0).is_ok());
}

#[test]
fn a_limit_of_nothing_lets_one_through_now_and_then() {
    let mut table = alone();
    table.hear(LIFE, limit(0.0), 0.0, 20.0);
    let sent: usize = (0..200)
        .map(|step| takes(&mut table, 20.0 + f64::from(step) * 100.0))
        .sum();
    assert!((4..=6).contains(&sent), "{sent}");
}

#[test]
fn a_gateway_that_knows_of_no_others_sends_nothing_by_a_limit() {
    let mut table = Table::new(Options::default());
    table.hear(LIFE, limit(1_000.0), 0.0, 20.0);
    assert_eq!(takes(&mut table, 5_000.0), 0);
}

/// What peers sent counts once, in whatever order their messages come.
#[test]
fn what_peers_have_sent_counts_once() {
    let mut table = alone();
    table.hear(LIFE, limit(10.0), 0.0, 0.0);
    let sent = |sent| Told {
        sent,
        ..Told::default()
    };
    table.hear_peer(5, LIFE, sent(3), 0.0);
    table.hear_peer(5, LIFE, sent(2), 0.0);
    table.hear_peer(5, LIFE, sent(3), 0.0);
    assert_eq!(takes(&mut table, 0.0), 1);
    table.hear_peer(5, LIFE, sent(5), 1.0);
    assert_eq!(takes(&mut table, 250.0), 0);
    assert_eq!(takes(&mut table, 350.0), 1);
}

#[test]
fn what_is_gone_is_forgotten_and_what_is_listed_is_not() {
    let mut table = alone();
    table.hear(LIFE, limit(1.0), 0.0, 20.0);
    table.expire(1e9, |life| life == LIFE);
    assert_eq!(table.limit_per_s(LIFE), Some(1.0));
    table.expire(1_000.0, |_| false);
    assert_eq!(table.limit_per_s(LIFE), Some(1.0));
    table.expire(1e9, |_| false);
    assert!(table.is_empty());
}

#[test]
fn what_asks_for_nothing_any_more_is_forgotten_though_it_is_listed() {
    let mut table = alone();
    table.hear(LIFE, limit(1.0), 0.0, 20.0);
    table.hear(LIFE, no_limit(), 30.0, 50.0);
    table.expire(1_000.0, |_| true);
    assert!(!table.is_empty());
    table.hear(LIFE, no_limit(), 1e6, 1e6);
    table.expire(1e6, |_| true);
    assert!(table.is_empty());
}

/// Two gateways that always have something to send, and every pattern of lost messages over four seconds.
#[test]
fn two_gateways_keep_to_a_limit_whatever_messages_are_lost() {
    const STEPS: u32 = 8;
    const STEP_MS: f64 = 500.0;
    let limit_per_s = 1.0;
    let allowed = (limit_per_s * 4.0 * 1.5 + 5.0) as usize;
    for lost in 0..1_u32 << (2 * STEPS) {
        let mut tables = [gateway(1, 2), gateway(2, 1)];
        let mut sent = [0_usize; 2];
        for step in 0..STEPS {
            let now_ms = f64::from(step) * STEP_MS;
            for (which, table) in tables.iter_mut().enumerate() {
                table.hear(LIFE, limit(limit_per_s), now_ms, now_ms);
                sent[which] += takes(table, now_ms);
            }
            for from in 0..2 {
                let is_lost = lost >> (2 * step + from) & 1 == 1;
                let from = from as usize;
                if !is_lost {
                    let told = Told {
                        sent: sent[from] as u32,
                        ..Told::default()
                    };
                    tables[1 - from].hear_peer(from as u64 + 1, LIFE, told, now_ms);
                }
            }
        }
        let all: usize = sent.iter().sum();
        assert!(all <= allowed, "{all} with {lost:b} lost");
    }
}

/// One of two gateways.
fn gateway(own: u64, other: u64) -> Table {
    let mut table = Table::new(Options::default());
    table.set_gateways(Gateways {
        own,
        others: vec![other],
        count: Some(2),
    });
    table
}

fn word() -> impl Strategy<Value = Word> {
    let per_s = proptest::prop_oneof![Just(None), (1_u32..5).prop_map(|n| Some(f64::from(n)))];
    // An endpoint names one limit at a time, so that a moment has one word or none.
    (per_s, 0_u32..8).prop_map(|(per_s, at)| Word {
        per_s: per_s.map(|_| f64::from(at + 1)),
        at_ms: f64::from(at),
    })
}

proptest! {
    #[test]
    fn words_of_peers_come_to_the_same_in_any_order(
        words in proptest::collection::vec(word(), 1..6),
        from in any::<u64>(),
    ) {
        let known = |words: &[Word]| {
            let mut table = alone();
            for word in words {
                table.hear_peer(from, LIFE, Told { word: Some(*word), ..Told::default() }, 10.0);
            }
            table.limit_per_s(LIFE)
        };
        let mut turned = words.clone();
        turned.reverse();
        prop_assert_eq!(known(&words), known(&turned));
    }
}
