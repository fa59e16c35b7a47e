//! Names, incarnations and leases.

use std::collections::BTreeMap;

use mgs_platform::table::scan_all;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_settings::member::Claim;
use mgs_settings::member::Error;
use mgs_settings::member::Member;
use mgs_settings::member::Observer;
use mgs_settings::member::Role;
use mgs_settings::member::GATEWAY_PREFIX;
use mgs_standin::platform::memory::Memory;

fn claim(incarnation: u64) -> Claim {
    let member = Member {
        incarnation,
        ..Member::default()
    };
    Claim::new(Role::Gateway, "g1", member)
}

fn renew(claim: &mut Claim, memory: &Memory) -> Result<(), Error> {
    claim.renew(memory, BTreeMap::new())
}

#[test]
fn the_later_claim_wins_and_the_earlier_learns() {
    let memory = Memory::default();
    let (mut old, mut new) = (claim(9), claim(1));
    renew(&mut old, &memory).unwrap();
    renew(&mut old, &memory).unwrap();
    renew(&mut new, &memory).unwrap();
    assert_eq!(
        renew(&mut old, &memory),
        Err(Error::Superseded { incarnation: 1 })
    );
    assert_eq!(
        old.check(&memory),
        Err(Error::Superseded { incarnation: 1 })
    );
    renew(&mut new, &memory).unwrap();
}

#[test]
fn lost_replies_are_settled() {
    let memory = Memory::default();
    let mut one = claim(1);
    memory.faults().lose_next_replies(1);
    renew(&mut one, &memory).unwrap();
    assert!(one.made());
    memory.faults().lose_next_replies(1);
    renew(&mut one, &memory).unwrap();
    renew(&mut one, &memory).unwrap();
    assert_eq!(one.member().renewals, 3);
}

#[test]
fn a_process_whose_row_was_removed_claims_again_unless_superseded() {
    let memory = Memory::default();
    let mut one = claim(1);
    renew(&mut one, &memory).unwrap();
    memory
        .commit(&Txn::default().delete("member/gateway/g1"))
        .unwrap();
    renew(&mut one, &memory).unwrap();
    renew(&mut one, &memory).unwrap();
    assert!(one.made());
}

#[test]
fn a_process_that_left_is_gone() {
    let memory = Memory::default();
    let mut one = claim(1);
    renew(&mut one, &memory).unwrap();
    one.leave(&memory).unwrap();
    assert!(scan_all(&memory, GATEWAY_PREFIX).unwrap().is_empty());
}

#[test]
fn liveness_is_a_change_within_the_lease_on_the_observers_clock() {
    let memory = Memory::default();
    let mut one = claim(1);
    let mut observer = Observer::default();
    let observe = |now_ms, observer: &mut Observer| {
        let rows = scan_all(&memory, GATEWAY_PREFIX).unwrap();
        observer.observe(now_ms, &rows).unwrap();
    };
    renew(&mut one, &memory).unwrap();
    observe(100, &mut observer);
    observe(1_099, &mut observer);
    assert_eq!(observer.live(1_000).len(), 1);
    observe(1_100, &mut observer);
    assert_eq!(observer.live(1_000).len(), 0);
    assert_eq!(observer.older_than(1_000).len(), 1);
    renew(&mut one, &memory).unwrap();
    observe(1_200, &mut observer);
    assert!(observer.live(1_000).contains_key("g1"));
}
