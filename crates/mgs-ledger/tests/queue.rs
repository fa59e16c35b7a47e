//! Scheduling order of the queue.

use mgs_ledger::job::Job;
use mgs_ledger::job::OrganisationKey;
use mgs_ledger::job::Sender;
use mgs_ledger::queue::Queue;
use mgs_schema::key::RequestId;
use rstest::rstest;

const URGENT_MS: u64 = 100;

fn job(serial: u64, organisation: u32, priority: u32) -> Job {
    Job {
        id: RequestId { origin: 1, serial },
        attempt: 1,
        sender: Sender {
            gateway: 1,
            session: 1,
            connection: 1,
        },
        sidecar_incarnation: 1,
        organisation: OrganisationKey(organisation),
        weight: 1,
        priority,
        prompt_tokens: 1_000,
        cached_tokens: 0,
        max_tokens: 0,
        budget_ms: 10_000,
        orphan_ms: 0,
        idempotent: false,
        span: 0,
        unloading: false,
    }
}

/// Starts all requests in order, and returns their serials.
fn drain(queue: &mut Queue, now_ms: u64) -> Vec<u64> {
    let mut order = Vec::new();
    while let Some(next) = queue.start_order(now_ms, URGENT_MS).first() {
        order.push(next.job.id.serial);
        queue.start(next.job.id, &[]);
    }
    order
}

#[test]
fn priority_goes_first() {
    let mut queue = Queue::default();
    queue.push(0, job(1, 1, 5));
    queue.push(0, job(2, 1, 0));
    queue.push(0, job(3, 1, 9));
    assert_eq!(drain(&mut queue, 0), [2, 1, 3]);
}

#[test]
fn the_earlier_of_two_urgent_deadlines_goes_first() {
    let mut queue = Queue::default();
    queue.push(0, job(1, 1, 0));
    for (serial, budget_ms) in [(2, 90), (3, 60)] {
        queue.push(
            0,
            Job {
                budget_ms,
                ..job(serial, 2, 0)
            },
        );
    }
    assert_eq!(drain(&mut queue, 0), [3, 2, 1]);
}

#[test]
fn a_burst_of_one_organisation_does_not_delay_another() {
    let mut queue = Queue::default();
    for serial in 0..10 {
        queue.push(0, job(serial, 1, 0));
    }
    queue.push(0, job(100, 2, 0));
    let place = drain(&mut queue, 0)
        .iter()
        .position(|serial| *serial == 100);
    assert!(place <= Some(1), "place {place:?}");
}

#[test]
fn weight_shares_by_tokens() {
    let mut queue = Queue::default();
    for serial in 0..40 {
        queue.push(
            0,
            Job {
                weight: 3,
                ..job(serial, 1, 0)
            },
        );
        queue.push(0, job(100 + serial, 2, 0));
    }
    let first = &drain(&mut queue, 0)[..20];
    let heavy = first.iter().filter(|serial| **serial < 100).count();
    assert_eq!(heavy, 15);
}

#[test]
fn a_costly_request_counts_more() {
    let mut queue = Queue::default();
    for serial in 0..3 {
        queue.push(
            0,
            Job {
                prompt_tokens: 100_000,
                ..job(serial, 1, 0)
            },
        );
        queue.push(0, job(100 + serial, 2, 0));
    }
    assert_eq!(drain(&mut queue, 0), [0, 100, 101, 102, 1, 2]);
}

#[rstest]
#[case::fresh(0, 9)]
#[case::half(5_000, 4)]
#[case::late(9_500, 0)]
fn ageing_lowers_the_level_to_zero(#[case] now_ms: u64, #[case] level: u32) {
    let mut queue = Queue::default();
    queue.push(0, job(1, 1, 9));
    assert_eq!(queue.start_order(now_ms, URGENT_MS)[0].level(now_ms), level);
}

#[test]
fn low_priority_is_not_starved_by_high_priority() {
    let mut queue = Queue::default();
    queue.push(0, job(0, 1, 9));
    let mut now_ms = 0;
    for serial in 1.. {
        // Requests of high priority arrive faster than they are served.
        queue.push(now_ms, job(serial, 2, 0));
        queue.push(now_ms, job(1_000_000 + serial, 2, 0));
        let next = queue.start_order(now_ms, URGENT_MS)[0];
        queue.start(next.job.id, &[]);
        if next.job.id.serial == 0 {
            break;
        }
        now_ms += 100;
    }
    assert!(now_ms < 10_000, "started at {now_ms} of 10000 ms");
}
