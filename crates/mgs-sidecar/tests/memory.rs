//! After whatever happens, the engine's memory returns to its start.

mod common;
mod fake;

use common::frames;
use common::options;
use common::read;
use common::refusal;
use common::start;
use common::until;
use common::Gateway;
use common::GATEWAY;
use common::WAIT;
use fake::Fake;
use mgs_engine::message::KvHandle;
use mgs_ledger::fault::InjectedFault;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::SpanRelease;
use mgs_schema::wire::SpanReserve;
use mgs_schema::wire::WithdrawState;

fn all_free(fake: &Fake) {
    until("memory is free", || fake.used_tokens() == 0);
}

#[test]
fn a_cancelled_request_frees_its_memory() {
    let fake = Fake::new(2);
    let sidecar = start(options(), &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let call = gateway.accepted(gateway.message(1, 5));
    frames(&call, 2);
    assert_eq!(gateway.cancel(1), WithdrawState::Running);
    let (_, finished) = read(&call, 2);
    assert_eq!(finished.failure(), FailureReason::Cancelled);
    all_free(&fake);
    gateway.report(|report| report.kv_used_tokens == 0 && report.running_requests == 0);
}

#[test]
fn a_lost_cancel_is_sent_again() {
    let fake = Fake::new(2);
    let sidecar = start(options(), &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let call = gateway.accepted(gateway.message(1, 5));
    frames(&call, 2);
    fake.change(|state| state.deaf_to_cancel = true);
    gateway.cancel(1);
    read(&call, 2);
    assert_ne!(fake.used_tokens(), 0);
    fake.change(|state| state.deaf_to_cancel = false);
    all_free(&fake);
}

#[test]
fn a_gateway_gone_past_its_lease_loses_its_requests() {
    let fake = Fake::new(2);
    let sidecar = start(options(), &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let call = gateway.accepted(gateway.message(1, 5));
    frames(&call, 2);
    drop(call);
    drop(gateway);
    all_free(&fake);
    let back = Gateway::connect(&sidecar, 2);
    let (_, finished) = read(&back.resume(1, 2), 2);
    assert_eq!(finished.failure(), FailureReason::Path);
}

#[test]
fn a_request_that_may_outlive_its_gateway_does() {
    let fake = Fake::new(2);
    let sidecar = start(options(), &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let mut message = gateway.message(1, 5);
    message.orphan_ms = 600_000;
    let orphan = gateway.accepted(message);
    frames(&orphan, 2);
    let other = gateway.accepted(gateway.message(2, 5));
    frames(&other, 2);
    drop((orphan, other));
    drop(gateway);
    until("the other is cancelled", || fake.used_tokens() == 7);
    fake.allow(5);
    let back = Gateway::connect(&sidecar, 2);
    assert_eq!(read(&back.resume(1, 2), 2).0, 5);
    all_free(&fake);
}

#[test]
fn the_deadline_ends_a_request_and_frees_its_memory() {
    let fake = Fake::new(2);
    let sidecar = start(options(), &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let mut message = gateway.message(1, 5);
    message.budget_ms = 300;
    let (_, finished) = read(&gateway.send(message), 0);
    assert_eq!(finished.failure(), FailureReason::Deadline);
    all_free(&fake);
}

#[test]
fn what_nobody_owns_is_freed_after_a_while() {
    let fake = Fake::new(2);
    fake.plant_stream("from-nowhere", 5, 40);
    fake.change(|state| {
        state.kv.push(KvHandle {
            kv: "left-over".into(),
            kv_tokens: 30,
        });
    });
    let sidecar = start(options(), &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    gateway.report(|report| report.kv_used_tokens == 70);
    all_free(&fake);
    gateway.report(|report| report.kv_used_tokens == 0);
}

#[test]
fn a_prompt_beyond_the_engine_is_refused() {
    let sidecar = start(options(), &Fake::new(2));
    let gateway = Gateway::connect(&sidecar, 1);
    let mut message = gateway.message(1, 5);
    message.prompt_tokens = fake::CAPACITY_TOKENS;
    let reason = refusal(&gateway.send(message));
    assert_eq!(reason, RefusalReason::PromptExceedsMemory);
}

#[test]
fn a_reservation_holds_memory_until_it_is_used_or_ends() {
    let sidecar = start(options(), &Fake::new(9));
    let gateway = Gateway::connect(&sidecar, 1);
    let ask = |body| match gateway.connection.ask(body, WAIT).unwrap() {
        Body::SpanReply(reply) => reply.done,
        other => panic!("unexpected {other:?}"),
    };
    let reserve = |span, kv_tokens, valid_ms| {
        ask(Body::SpanReserve(SpanReserve {
            span,
            sidecar_incarnation: gateway.incarnation,
            kv_tokens,
            valid_ms,
            gateway_incarnation: GATEWAY,
        }))
    };
    let most = fake::CAPACITY_TOKENS - 5;
    assert!(reserve(1, most, 600_000));
    assert!(!reserve(2, 10, 600_000));
    let refused = refusal(&gateway.send(gateway.message(1, 50)));
    assert_eq!(refused, RefusalReason::Memory);
    let mut using = gateway.message(2, 5);
    using.span = 1;
    read(&gateway.send(using), 0);
    gateway.report(|report| report.kv_used_tokens == 0);
    assert!(reserve(3, most, 100));
    gateway.report(|report| report.kv_used_tokens == 0);
    assert!(reserve(4, most, 600_000));
    assert!(ask(Body::SpanRelease(SpanRelease { span: 4 })));
    gateway.report(|report| report.kv_used_tokens == 0);
}

#[test]
fn a_forgotten_cancel_shows_at_the_engine() {
    let fake = Fake::new(2);
    let mut options = options();
    options.ledger.injected_fault = InjectedFault::ForgottenCancel;
    let sidecar = start(options, &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let call = gateway.accepted(gateway.message(1, 5));
    frames(&call, 2);
    gateway.cancel(1);
    read(&call, 2);
    // Many reports later the memory is still taken.
    for _ in 0..50 {
        gateway.report(|_| true);
    }
    assert_ne!(fake.used_tokens(), 0);
}
