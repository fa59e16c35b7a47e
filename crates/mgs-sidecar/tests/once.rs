//! A request starts at most once, and what is said not to have run hasn't.

mod common;
mod fake;

use common::frames;
use common::options;
use common::read;
use common::refusal;
use common::start;
use common::until;
use common::Gateway;
use common::WAIT;
use fake::Fake;
use mgs_ledger::fault::InjectedFault;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::WithdrawState;
use rstest::rstest;

#[test]
fn a_withdrawn_request_never_starts() {
    let fake = Fake::new(9);
    let sidecar = start(options(), &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    assert_eq!(gateway.withdraw(1, 1), WithdrawState::NeverStarted);
    let call = gateway.send(gateway.message(1, 5));
    assert_eq!(refusal(&call), RefusalReason::Withdrawn);
    assert!(fake.change(|state| state.started.is_empty()));
    // The proof was about the first attempt; the second may run here.
    let mut second = gateway.message(1, 5);
    second.attempt = 2;
    let (_, finished) = read(&gateway.send(second), 0);
    assert_eq!(finished.outcome(), Outcome::Answered);
}

#[test]
fn a_dropped_tombstone_lets_a_withdrawn_request_run() {
    let fake = Fake::new(9);
    let mut options = options();
    options.ledger.injected_fault = InjectedFault::DroppedTombstone;
    let sidecar = start(options, &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    assert_eq!(gateway.withdraw(1, 1), WithdrawState::NeverStarted);
    read(&gateway.send(gateway.message(1, 5)), 0);
    assert_eq!(fake.change(|state| state.started.len()), 1);
}

#[test]
fn what_runs_or_ran_is_said_so() {
    let fake = Fake::new(3);
    let sidecar = start(options(), &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let call = gateway.accepted(gateway.message(1, 5));
    frames(&call, 3);
    assert_eq!(gateway.withdraw(1, 1), WithdrawState::Running);
    let again = gateway.send(gateway.message(1, 5));
    assert_eq!(refusal(&again), RefusalReason::Duplicate);
    fake.allow(5);
    read(&call, 3);
    until("end", || gateway.withdraw(1, 1) == WithdrawState::Finished);
    let again = gateway.send(gateway.message(1, 5));
    assert_eq!(refusal(&again), RefusalReason::Duplicate);
    assert_eq!(fake.change(|state| state.started.len()), 1);
}

#[test]
fn a_waiting_request_can_be_withdrawn() {
    let fake = Fake::new(1);
    let mut options = options();
    options.ledger.running_max = 1;
    let sidecar = start(options, &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let running = gateway.accepted(gateway.message(1, 5));
    let waiting = gateway.accepted(gateway.message(2, 5));
    assert_eq!(gateway.withdraw(2, 1), WithdrawState::NeverStarted);
    assert_eq!(refusal(&waiting), RefusalReason::Withdrawn);
    fake.allow(5);
    read(&running, 0);
    assert_eq!(fake.change(|state| state.started.len()), 1);
}

#[rstest]
#[case::incarnation(true, RefusalReason::StaleIncarnation)]
#[case::session(false, RefusalReason::StaleSession)]
fn a_message_from_the_past_starts_nothing(
    #[case] incarnation: bool,
    #[case] wanted: RefusalReason,
) {
    let fake = Fake::new(9);
    let sidecar = start(options(), &fake);
    let older = Gateway::connect(&sidecar, 1);
    let newer = Gateway::connect(&sidecar, 2);
    let mut message = older.message(1, 5);
    if incarnation {
        message.sidecar_incarnation += 1;
        message.session = newer.session;
    }
    assert_eq!(refusal(&older.send(message)), wanted);
    assert!(fake.change(|state| state.started.is_empty()));
}

#[test]
fn a_withdrawal_meant_for_another_incarnation_proves_nothing() {
    let sidecar = start(options(), &Fake::new(9));
    let mut gateway = Gateway::connect(&sidecar, 1);
    gateway.incarnation += 1;
    assert_eq!(gateway.withdraw(1, 1), WithdrawState::CannotTell);
}

#[test]
fn without_room_for_a_tombstone_nothing_is_promised() {
    let mut options = options();
    options.ledger.records.tombstones_max = 2;
    let sidecar = start(options, &Fake::new(9));
    let gateway = Gateway::connect(&sidecar, 1);
    assert_eq!(gateway.withdraw(1, 1), WithdrawState::NeverStarted);
    assert_eq!(gateway.withdraw(2, 1), WithdrawState::NeverStarted);
    assert_eq!(gateway.withdraw(3, 1), WithdrawState::CannotTell);
    assert_eq!(gateway.withdraw(2, 1), WithdrawState::NeverStarted);
}

#[test]
fn a_lost_start_answer_is_looked_up_and_read() {
    let fake = Fake::new(9);
    fake.change(|state| state.lose_start_answers = 1);
    let sidecar = start(options(), &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let (_, finished) = read(&gateway.send(gateway.message(1, 5)), 0);
    assert_eq!(finished.outcome(), Outcome::Answered);
    assert_eq!(fake.change(|state| state.started.len()), 1);
}

#[test]
fn a_start_that_can_not_be_found_is_unknown_and_not_repeated() {
    let fake = Fake::new(9);
    fake.change(|state| state.break_starts = 1);
    let mut options = options();
    options.start_lookup_ms = 100;
    let sidecar = start(options, &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let (_, finished) = read(&gateway.send(gateway.message(1, 5)), 0);
    assert_eq!(finished.outcome(), Outcome::Unknown);
    assert!(fake.change(|state| state.started.is_empty()));
    // It arrives all the same, and is cancelled because its end was told.
    let stream = format!("{:016x}{:016x}-1", common::GATEWAY, 1);
    fake.plant_stream(&stream, 5, 7);
    until("cancel", || fake.used_tokens() == 0);
}

#[test]
fn an_engine_that_dies_fails_what_ran_and_refuses_what_waits() {
    let fake = Fake::new(1);
    let mut options = options();
    options.ledger.running_max = 1;
    options.endpoint_silence_ms = 100;
    let sidecar = start(options, &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let running = gateway.accepted(gateway.message(1, 5));
    frames(&running, 1);
    let waiting = gateway.accepted(gateway.message(2, 5));
    fake.change(|state| state.down = true);
    assert_eq!(refusal(&waiting), RefusalReason::EndpointDown);
    let (_, finished) = read(&running, 1);
    assert_eq!(finished.outcome(), Outcome::Failed);
    let late = gateway.send(gateway.message(3, 5));
    assert_eq!(refusal(&late), RefusalReason::EndpointDown);
    gateway.until_state(EndpointState::Down);
    fake.restart();
    fake.change(|state| state.down = false);
    fake.allow(5);
    gateway.until_state(EndpointState::Live);
    let (_, finished) = read(&gateway.send(gateway.message(4, 5)), 0);
    assert_eq!(finished.outcome(), Outcome::Answered);
    gateway.report(|report| report.kv_used_tokens == 0);
}

#[rstest]
#[case::while_it_runs(4)]
#[case::after_it_ended(9)]
fn a_stream_of_an_earlier_incarnation_is_adopted(#[case] produced: u64) {
    let fake = Fake::new(produced);
    let mut options = options();
    options.ledger.adopt_ms = 60_000;
    let first = start(options.clone(), &fake);
    let gateway = Gateway::connect(&first, 1);
    let call = gateway.accepted(gateway.message(1, 9));
    frames(&call, 4);
    if produced == 9 {
        // Nobody may have read the end when the sidecar dies.
        until("end", || fake.used_tokens() == 0);
    }
    first.stop();
    let second = start(options, &fake);
    let gateway = Gateway::connect(&second, 2);
    assert_eq!(gateway.withdraw(1, 1), WithdrawState::Running);
    let call = gateway.resume(1, 4);
    fake.allow(9);
    let (_, finished) = read(&call, 4);
    assert_eq!(finished.outcome(), Outcome::Answered);
    match gateway.resume(2, 0).recv_timeout(WAIT).unwrap() {
        Body::Refused(refused) => assert_eq!(refused.reason(), RefusalReason::BadRequest),
        other => panic!("unexpected {other:?}"),
    }
}
