//! Orders from the past are refused, and each one is obeyed once.

use mgs_controller::gate::Gate;
use mgs_controller::gate::Judgement;
use mgs_controller::order::Action;
use mgs_controller::order::EndpointRecord;

fn record(fencing: u64) -> EndpointRecord {
    EndpointRecord::default().with_order(fencing, Action::Load, "m@1")
}

fn judge(gate: &mut Gate, order: &EndpointRecord, on_record: &EndpointRecord) -> Judgement {
    let message = order.order.as_ref().unwrap().message();
    gate.judge(&message, Some(on_record))
}

#[test]
fn the_order_on_record_is_obeyed_once() {
    let mut gate = Gate::default();
    assert_eq!(judge(&mut gate, &record(4), &record(4)), Judgement::Obey);
    gate.obeyed(4);
    assert_eq!(
        judge(&mut gate, &record(4), &record(4)),
        Judgement::AlreadyDone
    );
    assert_eq!(gate.highest(), 4);
}

#[test]
fn an_older_order_is_refused_even_by_a_sidecar_that_has_just_started() {
    let mut gate = Gate::default();
    assert_eq!(judge(&mut gate, &record(4), &record(5)), Judgement::Refuse);
    assert_eq!(gate.highest(), 5);
}

#[test]
fn an_order_that_was_never_recorded_is_refused() {
    let mut gate = Gate::default();
    assert_eq!(judge(&mut gate, &record(6), &record(5)), Judgement::Refuse);
    let changed = EndpointRecord::default().with_order(5, Action::Unload, "m@1");
    assert_eq!(judge(&mut gate, &changed, &record(5)), Judgement::Refuse);
}

#[test]
fn a_record_that_was_read_late_turns_nothing_back() {
    let mut gate = Gate::default();
    assert_eq!(judge(&mut gate, &record(5), &record(5)), Judgement::Obey);
    gate.obeyed(5);
    assert_eq!(judge(&mut gate, &record(4), &record(4)), Judgement::Refuse);
}
