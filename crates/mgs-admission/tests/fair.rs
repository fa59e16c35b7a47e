//! Limits, fair queueing, ageing and early refusal of the fair queue.

mod common;

use common::request;
use common::started;
use common::TokenCapacity;
use mgs_admission::fair::FairQueue;
use mgs_admission::queue::Action;
use mgs_admission::queue::Admission;
use mgs_admission::queue::AdmissionDecision;
use mgs_admission::queue::AdmissionRequest;
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
    queue.apply_settings(0, &settings(limits));
    queue
}

fn refusal(decision: AdmissionDecision) -> Option<(RefusalReason, u64)> {
    match decision {
        AdmissionDecision::Queued => None,
        AdmissionDecision::Refused {
            reason,
            retry_after_ms,
        } => Some((reason, retry_after_ms)),
    }
}

#[test]
fn request_rate_limit_holds_and_reports_when_to_retry() {
    let mut queue = queue(vec![LimitRow {
        requests_per_s: 5.0,
        ..row("a", 1, 1)
    }]);
    let admitted =
        (0..20).filter(|i| queue.submit(0, &request(*i, "a", 1)) == AdmissionDecision::Queued);
    assert_eq!(admitted.count(), 10);
    let (reason, retry_after_ms) = refusal(queue.submit(0, &request(99, "a", 1))).unwrap();
    assert_eq!((reason, retry_after_ms), (RefusalReason::RequestRate, 200));
    assert_eq!(
        queue.submit(200, &request(99, "a", 1)),
        AdmissionDecision::Queued
    );
}

#[test]
fn unused_response_tokens_are_refunded() {
    let limited = LimitRow {
        tokens_per_s: 500.0,
        ..row("a", 1, 1)
    };
    let mut queue = queue(vec![limited]);
    let large = AdmissionRequest {
        max_tokens: 900,
        ..request(1, "a", 100)
    };
    assert_eq!(queue.submit(0, &large), AdmissionDecision::Queued);
    let next = |serial| AdmissionRequest {
        max_tokens: 800,
        ..request(serial, "a", 100)
    };
    let (reason, _) = refusal(queue.submit(0, &next(2))).unwrap();
    assert_eq!(reason, RefusalReason::TokenRate);
    queue.schedule(0, &mut TokenCapacity::new(1_000));
    queue.finished(0, large.id, 0);
    assert_eq!(queue.submit(0, &next(3)), AdmissionDecision::Queued);
}

#[test]
fn requests_in_flight_are_limited_until_one_ends() {
    let mut queue = queue(vec![LimitRow {
        concurrent_requests: 1,
        ..row("a", 1, 1)
    }]);
    let first = request(1, "a", 1);
    assert_eq!(queue.submit(0, &first), AdmissionDecision::Queued);
    let (reason, _) = refusal(queue.submit(0, &request(2, "a", 1))).unwrap();
    assert_eq!(reason, RefusalReason::Concurrency);
    queue.schedule(0, &mut TokenCapacity::new(10));
    queue.finished(5, first.id, 0);
    assert_eq!(
        queue.submit(5, &request(3, "a", 1)),
        AdmissionDecision::Queued
    );
}

#[test]
fn unknown_kinds_share_one_row_of_limits() {
    let mut queue = queue(vec![LimitRow {
        concurrent_requests: 1,
        ..row("*", 1, 1)
    }]);
    assert_eq!(
        queue.submit(0, &request(1, "a", 1)),
        AdmissionDecision::Queued
    );
    let invented = AdmissionRequest {
        kind: "invented".into(),
        ..request(2, "a", 1)
    };
    assert!(refusal(queue.submit(0, &invented)).is_some());
    assert_eq!(
        queue.submit(0, &request(3, "b", 1)),
        AdmissionDecision::Queued
    );
}

#[test]
fn a_model_outside_the_row_is_refused() {
    let mut queue = queue(vec![LimitRow {
        models: vec!["large".into()],
        ..row("a", 1, 1)
    }]);
    let (reason, _) = refusal(queue.submit(0, &request(1, "a", 1))).unwrap();
    assert_eq!(reason, RefusalReason::UnknownModel);
}

#[rstest]
#[case::equal(1, 1)]
#[case::double(2, 1)]
#[case::tenfold(10, 1)]
fn shares_follow_weights_for_any_prompt_length(#[case] heavy: u32, #[case] light: u32) {
    let mut queue = queue(vec![row("heavy", heavy, 1), row("light", light, 1)]);
    for i in 0..1_000 {
        queue.submit(0, &request(i, "heavy", 50));
        queue.submit(0, &request(10_000 + i, "light", 400));
    }
    let mut capacity = TokenCapacity::new(0);
    for now_ms in 0..40 {
        capacity.free_tokens += 1_000;
        queue.schedule(now_ms, &mut capacity);
    }
    let ratio = capacity.taken_tokens["heavy"] as f64 / capacity.taken_tokens["light"] as f64;
    let due = f64::from(heavy) / f64::from(light);
    assert!((ratio / due - 1.0).abs() < 0.15, "{ratio} for {due}");
}

#[test]
fn an_overloading_organisation_takes_nothing_from_others_within_their_share() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    let mut capacity = TokenCapacity::new(0);
    let mut serial = 0;
    let mut waited = 0;
    for now_ms in 0..1_000 {
        for organisation in 0..10 {
            // Organisation 0 sends nine times its share of 100 tokens; each other one sends 90% of it.
            let requests = if organisation == 0 { 10 } else { 1 };
            for _ in 0..requests {
                serial += 1;
                let arrival = AdmissionRequest {
                    arrived_ms: now_ms,
                    deadline_ms: now_ms + 10_000,
                    ..request(serial, &organisation.to_string(), 90)
                };
                queue.submit(now_ms, &arrival);
            }
        }
        capacity.free_tokens += 1_000;
        waited += queue.schedule(now_ms, &mut capacity).len();
    }
    assert!(waited > 0);
    for organisation in 1..10 {
        let got = capacity.taken_tokens[&organisation.to_string()];
        assert!(got >= 95 * 90 * 10, "{got}");
    }
}

#[test]
fn an_idle_row_accumulates_no_claim() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    for i in 0..200 {
        queue.submit(0, &request(i, "busy", 100));
    }
    queue.schedule(0, &mut TokenCapacity::new(10_000));
    for i in 0..100 {
        queue.submit(1, &request(1_000 + i, "idle", 100));
    }
    let mut capacity = TokenCapacity::new(2_000);
    queue.schedule(1, &mut capacity);
    assert!(
        capacity.taken_tokens["busy"] >= 900,
        "{:?}",
        capacity.taken_tokens
    );
    assert!(
        capacity.taken_tokens["idle"] >= 900,
        "{:?}",
        capacity.taken_tokens
    );
}

#[test]
fn a_waiting_long_prompt_blocks_no_short_prompt() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    queue.submit(0, &request(1, "a", 500_000));
    queue.submit(0, &request(2, "a", 1_000));
    let actions = queue.schedule(0, &mut TokenCapacity::new(20_000));
    assert_eq!(started(&actions), [2]);
}

#[test]
fn higher_priority_goes_first() {
    let mut queue = queue(vec![row("low", 9, 2), row("high", 1, 0)]);
    queue.submit(0, &request(1, "low", 100));
    queue.submit(0, &request(2, "high", 100));
    let actions = queue.schedule(0, &mut TokenCapacity::new(100));
    assert_eq!(started(&actions), [2]);
}

#[test]
fn low_priority_requests_age_before_their_deadline_within_a_share() {
    let mut queue = queue(vec![row("low", 1, 5), row("high", 1, 0)]);
    for i in 0..50 {
        queue.submit(0, &request(i, "low", 100));
    }
    let mut capacity = TokenCapacity::new(0);
    for now_ms in 0..9_000 {
        let arrival = AdmissionRequest {
            arrived_ms: now_ms,
            deadline_ms: now_ms + 10_000,
            ..request(1_000 + now_ms, "high", 100)
        };
        queue.submit(now_ms, &arrival);
        capacity.free_tokens = 100;
        queue.schedule(now_ms, &mut capacity);
    }
    assert_eq!(capacity.taken_tokens["low"], 5_000);
    assert!(capacity.taken_tokens["high"] >= 890_000);
}

#[test]
fn a_request_past_its_deadline_is_refused_at_the_next_schedule() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    queue.submit(0, &request(1, "a", 100));
    let short_deadline = AdmissionRequest {
        deadline_ms: 50,
        ..request(2, "a", 100)
    };
    queue.submit(0, &short_deadline);
    assert!(queue.schedule(49, &mut TokenCapacity::new(0)).is_empty());
    let actions = queue.schedule(50, &mut TokenCapacity::new(0));
    let reason = match &actions[..] {
        [Action::Refuse { id, reason, .. }] if id.serial == 2 => Some(*reason),
        _ => None,
    };
    assert_eq!(reason, Some(RefusalReason::Deadline));
}

#[test]
fn an_overload_is_refused_early_and_leaves_no_backlog() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    let mut capacity = TokenCapacity::new(0);
    let mut early = 0;
    let mut late = 0;
    for now_ms in 0..20_000 {
        // The load is 500 tokens for each 100 tokens of capacity.
        for i in 0..5 {
            let arrival = AdmissionRequest {
                arrived_ms: now_ms,
                deadline_ms: now_ms + 2_000,
                ..request(now_ms * 5 + i, "a", 100)
            };
            if queue.submit(now_ms, &arrival) != AdmissionDecision::Queued {
                early += 1;
            }
        }
        capacity.free_tokens = 100;
        let actions = queue.schedule(now_ms, &mut capacity);
        late += actions.len() - started(&actions).len();
    }
    assert!(
        capacity.taken_tokens["a"] >= 95 * 20_000,
        "{:?}",
        capacity.taken_tokens
    );
    assert!(early > 20 * late, "{early} early, {late} late");
    let mut drained_ms = 20_000;
    while !queue
        .schedule(drained_ms, &mut TokenCapacity::new(100))
        .is_empty()
    {
        drained_ms += 1;
    }
    assert!(drained_ms < 22_000, "{drained_ms}");
    let after = AdmissionRequest {
        arrived_ms: drained_ms,
        deadline_ms: drained_ms + 2_000,
        ..request(1_000_000, "a", 100)
    };
    assert_eq!(queue.submit(drained_ms, &after), AdmissionDecision::Queued);
}

#[test]
fn a_cancelled_request_leaves_the_queue_and_is_refunded() {
    let mut queue = queue(vec![LimitRow {
        tokens_per_s: 50.0,
        ..row("*", 1, 1)
    }]);
    assert_eq!(
        queue.submit(0, &request(1, "a", 100)),
        AdmissionDecision::Queued
    );
    assert!(queue.cancel(0, request(1, "a", 100).id));
    assert!(!queue.cancel(0, request(1, "a", 100).id));
    assert_eq!(
        queue.submit(0, &request(2, "a", 100)),
        AdmissionDecision::Queued
    );
    let actions = queue.schedule(0, &mut TokenCapacity::new(1_000));
    assert_eq!(started(&actions), [2]);
    assert!(!queue.cancel(0, request(2, "a", 100).id));
}

#[test]
fn new_limits_apply_at_once() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    assert_eq!(
        queue.submit(0, &request(1, "a", 1)),
        AdmissionDecision::Queued
    );
    queue.apply_settings(
        10,
        &settings(vec![LimitRow {
            concurrent_requests: 1,
            ..row("a", 1, 1)
        }]),
    );
    assert!(refusal(queue.submit(10, &request(2, "a", 1))).is_some());
}

#[test]
fn a_share_of_a_limit_replaces_the_whole_limit() {
    let mut queue = queue(vec![LimitRow {
        concurrent_requests: 4,
        ..row("a", 1, 1)
    }]);
    queue.submit(0, &request(1, "a", 100));
    let demands = queue.demands(1_000);
    assert_eq!((demands.len(), demands[0].in_flight), (1, 1));
    assert_eq!(demands[0].tokens_per_s, 100.0);
    let half = demands[0].limits.scaled(0.5);
    queue.set_share(1_000, "a", &demands[0].kind, &half);
    assert_eq!(
        queue.submit(1_000, &request(2, "a", 100)),
        AdmissionDecision::Queued
    );
    let (reason, _) = refusal(queue.submit(1_000, &request(3, "a", 100))).unwrap();
    assert_eq!(reason, RefusalReason::Concurrency);
}

#[test]
fn a_response_estimate_from_an_overload_does_not_persist() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    let request_with_response = |serial, now_ms| AdmissionRequest {
        max_tokens: 100,
        arrived_ms: now_ms,
        deadline_ms: now_ms + 10_000,
        ..request(serial, "a", 100)
    };
    // Responses take 200 ms per token: 20 s in total, twice the time until the deadline.
    for serial in 0..20 {
        queue.submit(0, &request_with_response(serial, 0));
        queue.schedule(0, &mut TokenCapacity::new(1_000));
        queue.finished(20_000, request_with_response(serial, 0).id, 100);
    }
    let mut starts_after_a_wait = |serial, arrived_ms| {
        queue.submit(arrived_ms, &request_with_response(serial, arrived_ms));
        let actions = queue.schedule(arrived_ms + 60, &mut TokenCapacity::new(1_000));
        !started(&actions).is_empty()
    };
    assert!(
        !starts_after_a_wait(100, 30_000),
        "expected a refusal: the estimated response misses the deadline"
    );
    let admitted = (1..20).any(|i| starts_after_a_wait(100 + i, 30_000 + i * 100));
    assert!(admitted);
}

#[test]
fn without_contention_a_slow_response_is_attempted() {
    let mut queue = queue(vec![row("*", 1, 1)]);
    let request_with_response = |serial, now_ms| AdmissionRequest {
        max_tokens: 100,
        arrived_ms: now_ms,
        deadline_ms: now_ms + 10_000,
        ..request(serial, "a", 100)
    };
    queue.submit(0, &request_with_response(1, 0));
    queue.schedule(0, &mut TokenCapacity::new(1_000));
    queue.finished(20_000, request_with_response(1, 0).id, 100);
    queue.submit(30_000, &request_with_response(2, 30_000));
    let actions = queue.schedule(30_000, &mut TokenCapacity::new(1_000));
    assert_eq!(started(&actions), [2]);
}
