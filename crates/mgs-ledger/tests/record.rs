//! Records give no false proof after early eviction.

use mgs_ledger::record::FinalState;
use mgs_ledger::record::Options;
use mgs_ledger::record::Records;
use mgs_schema::key::RequestId;

const RAN: FinalState = FinalState::Ran {
    attempt: 1,
    answer_bytes: None,
};

fn id(origin: u64, serial: u64) -> RequestId {
    RequestId { origin, serial }
}

#[test]
fn an_evicted_record_raises_the_floor_of_its_origin() {
    let mut records = Records::new(Options {
        ran_max: 2,
        ..Options::default()
    });
    for serial in [5, 6, 7] {
        records.set(id(1, serial), RAN, 100);
    }
    assert_eq!(records.final_state(id(1, 5)), None);
    assert!(!records.can_rule_out_start(id(1, 5)));
    assert!(!records.can_rule_out_start(id(1, 4)));
    assert!(records.can_rule_out_start(id(1, 8)));
    assert!(records.can_rule_out_start(id(2, 4)));
}

#[test]
fn tombstones_are_kept_until_their_expiry() {
    let mut records = Records::new(Options::default());
    let final_state = FinalState::NeverStarted { attempt: 1 };
    records.set(id(1, 1), final_state, 100);
    records.set(id(1, 1), final_state, 50);
    assert!(records.expire(99).is_empty());
    assert_eq!(records.final_state(id(1, 1)), Some(final_state));
    records.expire(100);
    assert!(records.is_empty());
    assert!(records.can_rule_out_start(id(1, 1)));
}

#[test]
fn a_lost_floor_leaves_no_unknown_request_certain() {
    let mut records = Records::new(Options {
        floors_max: 1,
        ..Options::default()
    });
    for origin in [1, 2] {
        records.set(id(origin, 1), RAN, 100);
    }
    records.expire(100);
    assert!(!records.can_rule_out_start(id(3, 9)));
}
