//! Limits, fairness, ageing and early refusal.

mod common;

use common::offer;
use common::started;
use common::Tokens;
use mgs_admission::fair::FairQueue;
use mgs_admission::queue::Action;
use mgs_admission::queue::Admission;
use mgs_admission::queue::Offer;
use mgs_admission::queue::Verdict;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::RefusalReason;
use rstest::rstest;

fn row(organisation: &str, weight: u32, priority: u32) -> LimitRow {
    LimitRow {
        organisation: organisation.into(),
        kind: "*".into(),
        weight,
        priority,
        ..LimitRow::default()
    }
}

fn settings(limits: Vec<LimitRow>) -> Snapshot {
    Snapshot {
        version: 1,
        limits,
        ..Snapshot::default()
    }
}

fn queue(limits: Vec<LimitRow>) -> FairQueue {
    let mut queue = FairQueue::default();
    queue.settings(0, &settings(limits));
    queue
}

fn refusal(verdict: Verdict) -> Option<(RefusalReason, u64)> {
    match verdict {
        Verdict::Queued => None,
        Verdict::Refused {
            reason,
            retry_after_ms,
        } => Some((reason, retry_after_ms)),
    }
}

#[test]
fn a_rate_of_requests_holds_and_tells_when_to_come_back() {
    let mut queue = queue(vec![LimitRow {
        requests_per_s: 5.0,
        ..row("a", 1, 1)
    }]);
    let admitted = (0..20).filter(|i| queue.offer(0, &offer(*i, "a", 1)) == Verdict::Queued);
    assert_eq!(admitted.count(), 10);
    let (reason, retry_after_ms) = refusal(queue.offer(0, &offer(99, "a", 1))).unwrap();
    assert_eq!((reason, retry_after_ms), (RefusalReason::RequestRate, 200));
    assert_eq!(queue.offer(200, &offer(99, "a", 1)), Verdict::Queued);
}

#[test]
fn unused_answer_tokens_are_given_back() {
    let limited = LimitRow {
        tokens_per_s: 500.0,
        ..row("a", 1, 1)
    };
    let mut queue = queue(vec![limited]);
    let whole = Offer {
        max_tokens: 900,
        ..offer(1, "a", 100)
    };
    assert_eq!(queue.offer(0, &whole), Verdict::Queued);
    let next = |serial| Offer {
        max_tokens: 800,
        ..offer(serial, "a", 100)
    };
    let (reason, _) = refusal(queue.offer(0, &next(2))).unwrap();
    assert_eq!(reason, RefusalReason::TokenRate);
    queue.next(0, &mut Tokens::new(1_000));
    queue.finished(0, whole.id, 0);
    assert_eq!(queue.offer(0, &next(3)), Verdict::Queued);
}

#[test]
fn requests_in_flight_are_limited_until_one_ends() {
    let mut queue = queue(vec![LimitRow {
        concurrent_requests: 1,
        ..row("a", 1, 1)
    }]);
    let first = offer(1, "a", 1);
    assert_eq!(queue.offer(0, &first), Verdict::Queued);
    let (reason, _) = refusal(queue.offer(0, &offer(2, "a", 1))).unwrap();
    assert_eq!(reason, RefusalReason::Concurrency);
    queue.next(0, &mut Tokens::new(10));
    queue.finished(5, first.id, 0);
    assert_eq!(queue.offer(5, &offer(3, "a", 1)), Verdict::Queued);
}

#[test]
fn new_kinds_get_no_fresh_limits() {
    let mut queue = queue(vec![LimitRow {
        concurrent_requests: 1,
        ..row("*", 1, 1)
    }]);
    assert_eq!(queue.offer(0, &offer(1, "a", 1)), Verdict::Queued);
    let invented = Offer {
        kind: "invented".into(),
        ..offer(2, "a", 1)
    };
    assert!(refusal(queue.offer(0, &invented)).is_some());
    assert_eq!(queue.offer(0, &offer(3, "b", 1)), Verdict::Queued);
}

#[test]
fn a_model_outside_the_row_is_refused() {
    let mut queue = queue(vec![LimitRow {
        models: vec!["large".into()],
        ..row("a", 1, 1)
    }]);
    let (reason, _) = refusal(queue.offer(0, &offer(1, "a", 1))).unwrap();
    assert_eq!(reason, RefusalReason::UnknownModel);
}

#[rstest]
#[case::equal(1, 1)]
#[case::double(2, 1)]
#[case::tenfold(10, 1)]
fn shares_follow_weights_whatever_the_lengths(#[case] heavy: u32, #[case] light: u32) {
    let mut queue = queue(vec![row("heavy", heavy, 1), row("light", light, 1)]);
    for i in 0..1_000 {
        queue.offer(0, &offer(i, "heavy", 50));
        queue.offer(0, &offer(10_000 + i, "light", 400));
    }
    let mut room = Tokens::new(0);
    for now_ms in 0..40 {
        room.free += 1_000;
        queue.next(now_ms, &mut room);
    }
    let ratio = room.taken["heavy"] as f64 / room.taken["light"] as f64;
    let due = f64::from(heavy) / f64::from(light);
    assert!((ratio / due - 1.0).abs() < 0.15, "{ratio} for {due}");
}

#[test]
fn a_flood_takes_nothing_from_those_within_their_share() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    let mut room = Tokens::new(0);
    let mut serial = 0;
    let mut waited = 0;
    for now_ms in 0..1_000 {
        for organisation in 0..10 {
            // One floods with ten times its share; each of the others uses 90% of its own.
            let requests = if organisation == 0 { 10 } else { 1 };
            for _ in 0..requests {
                serial += 1;
                let arrival = Offer {
                    arrived_ms: now_ms,
                    deadline_ms: now_ms + 10_000,
                    ..offer(serial, &organisation.to_string(), 90)
                };
                queue.offer(now_ms, &arrival);
            }
        }
        room.free += 1_000;
        waited += queue.next(now_ms, &mut room).len();
    }
    assert!(waited > 0);
    for organisation in 1..10 {
        let got = room.taken[&organisation.to_string()];
        assert!(got >= 95 * 90 * 10, "{got}");
    }
}

#[test]
fn a_row_that_was_idle_claims_nothing_for_the_past() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    for i in 0..200 {
        queue.offer(0, &offer(i, "busy", 100));
    }
    queue.next(0, &mut Tokens::new(10_000));
    for i in 0..100 {
        queue.offer(1, &offer(1_000 + i, "idle", 100));
    }
    let mut room = Tokens::new(2_000);
    queue.next(1, &mut room);
    assert!(room.taken["busy"] >= 900, "{:?}", room.taken);
    assert!(room.taken["idle"] >= 900, "{:?}", room.taken);
}

#[test]
fn a_long_prompt_that_waits_for_room_holds_up_no_short_one() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    queue.offer(0, &offer(1, "a", 500_000));
    queue.offer(0, &offer(2, "a", 1_000));
    let actions = queue.next(0, &mut Tokens::new(20_000));
    assert_eq!(started(&actions), [2]);
}

#[test]
fn higher_priority_goes_first() {
    let mut queue = queue(vec![row("low", 9, 2), row("high", 1, 0)]);
    queue.offer(0, &offer(1, "low", 100));
    queue.offer(0, &offer(2, "high", 100));
    let actions = queue.next(0, &mut Tokens::new(100));
    assert_eq!(started(&actions), [2]);
}

#[test]
fn low_priority_ages_before_its_time_ends_and_within_a_share() {
    let mut queue = queue(vec![row("low", 1, 5), row("high", 1, 0)]);
    for i in 0..50 {
        queue.offer(0, &offer(i, "low", 100));
    }
    let mut room = Tokens::new(0);
    for now_ms in 0..9_000 {
        let arrival = Offer {
            arrived_ms: now_ms,
            deadline_ms: now_ms + 10_000,
            ..offer(1_000 + now_ms, "high", 100)
        };
        queue.offer(now_ms, &arrival);
        room.free = 100;
        queue.next(now_ms, &mut room);
    }
    assert_eq!(room.taken["low"], 5_000);
    assert!(room.taken["high"] >= 890_000);
}

#[test]
fn what_passed_its_deadline_is_refused_as_soon_as_that_is_known() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    queue.offer(0, &offer(1, "a", 100));
    let hasty = Offer {
        deadline_ms: 50,
        ..offer(2, "a", 100)
    };
    queue.offer(0, &hasty);
    assert!(queue.next(49, &mut Tokens::new(0)).is_empty());
    let actions = queue.next(50, &mut Tokens::new(0));
    let reason = match &actions[..] {
        [Action::Refuse { id, reason, .. }] if id.serial == 2 => Some(*reason),
        _ => None,
    };
    assert_eq!(reason, Some(RefusalReason::Deadline));
}

#[test]
fn an_overload_is_refused_early_and_is_over_when_it_ends() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    let mut room = Tokens::new(0);
    let mut early = 0;
    let mut late = 0;
    for now_ms in 0..20_000 {
        // Offered are 500 tokens for each 100 that can be taken.
        for i in 0..5 {
            let arrival = Offer {
                arrived_ms: now_ms,
                deadline_ms: now_ms + 2_000,
                ..offer(now_ms * 5 + i, "a", 100)
            };
            if queue.offer(now_ms, &arrival) != Verdict::Queued {
                early += 1;
            }
        }
        room.free = 100;
        let actions = queue.next(now_ms, &mut room);
        late += actions.len() - started(&actions).len();
    }
    assert!(room.taken["a"] >= 95 * 20_000, "{:?}", room.taken);
    assert!(early > 20 * late, "{early} early, {late} late");
    let mut drained_ms = 20_000;
    while !queue.next(drained_ms, &mut Tokens::new(100)).is_empty() {
        drained_ms += 1;
    }
    assert!(drained_ms < 22_000, "{drained_ms}");
    let after = Offer {
        arrived_ms: drained_ms,
        deadline_ms: drained_ms + 2_000,
        ..offer(1_000_000, "a", 100)
    };
    assert_eq!(queue.offer(drained_ms, &after), Verdict::Queued);
}

#[test]
fn a_cancelled_request_is_gone_and_costs_nothing() {
    let mut queue = queue(vec![LimitRow {
        tokens_per_s: 50.0,
        ..row("*", 1, 1)
    }]);
    assert_eq!(queue.offer(0, &offer(1, "a", 100)), Verdict::Queued);
    assert!(queue.cancel(0, offer(1, "a", 100).id));
    assert!(!queue.cancel(0, offer(1, "a", 100).id));
    assert_eq!(queue.offer(0, &offer(2, "a", 100)), Verdict::Queued);
    let actions = queue.next(0, &mut Tokens::new(1_000));
    assert_eq!(started(&actions), [2]);
    assert!(!queue.cancel(0, offer(2, "a", 100).id));
}

#[test]
fn new_limits_hold_at_once() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    assert_eq!(queue.offer(0, &offer(1, "a", 1)), Verdict::Queued);
    queue.settings(
        10,
        &settings(vec![LimitRow {
            concurrent_requests: 1,
            ..row("a", 1, 1)
        }]),
    );
    assert!(refusal(queue.offer(10, &offer(2, "a", 1))).is_some());
}

#[test]
fn a_share_of_a_limit_holds_instead_of_the_whole() {
    let mut queue = queue(vec![LimitRow {
        concurrent_requests: 4,
        ..row("a", 1, 1)
    }]);
    queue.offer(0, &offer(1, "a", 100));
    let demands = queue.demands(1_000);
    assert_eq!((demands.len(), demands[0].in_flight), (1, 1));
    assert_eq!(demands[0].tokens_per_s, 100.0);
    let half = demands[0].limits.part(0.5);
    queue.set_share(1_000, "a", &demands[0].kind, &half);
    assert_eq!(queue.offer(1_000, &offer(2, "a", 100)), Verdict::Queued);
    let (reason, _) = refusal(queue.offer(1_000, &offer(3, "a", 100))).unwrap();
    assert_eq!(reason, RefusalReason::Concurrency);
}

#[test]
fn an_answer_time_learned_in_an_overload_does_not_outlast_it() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    let answering = |serial, now_ms| Offer {
        max_tokens: 100,
        arrived_ms: now_ms,
        deadline_ms: now_ms + 10_000,
        ..offer(serial, "a", 100)
    };
    // Answers take 200 ms for each token: 20 s, twice the time that a request has.
    for serial in 0..20 {
        queue.offer(0, &answering(serial, 0));
        queue.next(0, &mut Tokens::new(1_000));
        queue.finished(20_000, answering(serial, 0).id, 100);
    }
    let mut starts_after_a_wait = |serial, arrived_ms| {
        queue.offer(arrived_ms, &answering(serial, arrived_ms));
        let actions = queue.next(arrived_ms + 60, &mut Tokens::new(1_000));
        !started(&actions).is_empty()
    };
    assert!(!starts_after_a_wait(100, 30_000), "it can't end in time");
    let admitted = (1..20).any(|i| starts_after_a_wait(100 + i, 30_000 + i * 100));
    assert!(admitted);
}

#[test]
fn without_contention_an_answer_is_tried() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    let answering = |serial, now_ms| Offer {
        max_tokens: 100,
        arrived_ms: now_ms,
        deadline_ms: now_ms + 10_000,
        ..offer(serial, "a", 100)
    };
    queue.offer(0, &answering(1, 0));
    queue.next(0, &mut Tokens::new(1_000));
    queue.finished(20_000, answering(1, 0).id, 100);
    queue.offer(30_000, &answering(2, 30_000));
    let actions = queue.next(30_000, &mut Tokens::new(1_000));
    assert_eq!(started(&actions), [2]);
}
