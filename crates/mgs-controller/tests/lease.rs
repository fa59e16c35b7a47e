//! One holder at a time, through pauses, lost replies and outages.

use mgs_controller::lease::Lease;
use mgs_controller::lease::Number;
use mgs_controller::lease::Options;
use mgs_controller::Error;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_standin::platform::memory::Memory;

fn lease(incarnation: u64) -> Lease {
    Lease::new(Options::default(), &format!("g{incarnation}"), incarnation)
}

#[test]
fn renewals_keep_it_and_the_number_stays() {
    let memory = Memory::default();
    let (mut first, mut second) = (lease(1), lease(2));
    for now_ms in (0..60_000).step_by(1_000) {
        assert!(first.tick(now_ms, &memory).unwrap());
        assert!(!second.tick(now_ms, &memory).unwrap());
    }
    assert_eq!(first.fencing(), 1);
}

#[test]
fn clocks_of_others_do_not_matter() {
    let memory = Memory::default();
    let (mut first, mut second) = (lease(1), lease(2));
    assert!(first.tick(0, &memory).unwrap());
    assert!(!second.tick(9_000_000, &memory).unwrap());
    assert!(!second.tick(9_009_999, &memory).unwrap());
    assert!(second.tick(9_010_000, &memory).unwrap());
}

/// The holder looks at its clock, is paused past its lease, and goes on with its write.
#[test]
fn nothing_of_a_paused_holder_takes_effect() {
    let memory = Memory::default();
    let (mut old, mut new) = (lease(1), lease(2));
    assert!(old.tick(0, &memory).unwrap());
    new.tick(0, &memory).unwrap();
    assert!(new.tick(10_000, &memory).unwrap());
    let txn = Txn::default().put("order", "old");
    let result = old.commit(100, &memory, txn, Number::Next);
    assert_eq!(result, Err(Error::NotHeld));
    assert_eq!(Table::get(&memory, "order").unwrap(), None);
    assert!(!old.tick(10_000, &memory).unwrap());
    assert_eq!(new.fencing(), 2);
}

#[test]
fn a_holder_stops_before_others_may_take_over() {
    let memory = Memory::default();
    let mut first = lease(1);
    assert!(first.tick(0, &memory).unwrap());
    memory.faults().set_outage(true);
    assert!(first.held(7_999));
    assert!(!first.held(8_000));
    assert!(first.tick(8_000, &memory).is_err());
    let refused = first.commit(8_000, &memory, Txn::default(), Number::Next);
    assert_eq!(refused, Err(Error::NotHeld));
}

#[test]
fn its_own_lapsed_lease_is_taken_again_under_a_new_number() {
    let memory = Memory::default();
    let mut first = lease(1);
    assert!(first.tick(0, &memory).unwrap());
    assert!(first.tick(20_000, &memory).unwrap());
    assert_eq!(first.fencing(), 2);
}

#[test]
fn lost_replies_are_settled_and_no_number_is_handed_out_twice() {
    let memory = Memory::default();
    let mut first = lease(1);
    let mut numbers = Vec::new();
    for step in 0..50 {
        memory.faults().lose_next_replies(step % 2);
        if first.tick(step * 100, &memory).unwrap() {
            memory.faults().lose_next_replies(u64::from(step % 3 == 0));
            let txn = Txn::default().put("order", &step.to_string());
            numbers.push(
                first
                    .commit(step * 100, &memory, txn, Number::Next)
                    .unwrap(),
            );
        }
    }
    assert_eq!(numbers.len(), 50);
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn a_process_that_watches_reads_as_rarely_as_it_is_told() {
    let memory = Memory::default();
    let (mut first, mut second) = (lease(1), lease(2));
    second.watch_every(9_000);
    assert!(first.tick(0, &memory).unwrap());
    let before = memory.faults().counters().reads;
    let took = (0..)
        .step_by(500)
        .find(|now_ms| second.tick(*now_ms, &memory).unwrap());
    assert_eq!(took, Some(18_000));
    assert_eq!(memory.faults().counters().reads - before, 3);
}
