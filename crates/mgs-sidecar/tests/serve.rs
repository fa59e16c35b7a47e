//! Answers and reports over real sockets.

mod common;
mod fake;

use common::frames;
use common::options;
use common::read;
use common::start;
use common::Gateway;
use common::WAIT;
use fake::Fake;
use mgs_engine::message::CacheEvent;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::Probe;
use mgs_transport::client::Error;

#[test]
fn reports_follow_the_welcome() {
    let sidecar = start(options(), &Fake::new(9));
    let gateway = Gateway::connect(&sidecar, 1);
    let report = gateway.any_report(|report| report.models_known);
    assert_eq!(report.report, 1);
    assert_eq!(report.incarnation, sidecar.incarnation());
    assert_eq!(report.models, ["m"]);
    assert_eq!(report.kv_capacity_tokens, fake::CAPACITY_TOKENS);
    assert_eq!(gateway.any_report(|_| true).report, 2);
}

#[test]
fn an_answer_is_streamed_whole() {
    let sidecar = start(options(), &Fake::new(500));
    let gateway = Gateway::connect(&sidecar, 1);
    let call = gateway.send(gateway.message(1, 200));
    let (frames, finished) = read(&call, 0);
    assert_eq!((frames, finished.frames), (200, 200));
    assert_eq!(finished.outcome(), Outcome::Answered);
    assert_eq!(call.recv_timeout(WAIT), Err(Error::Ended));
}

#[test]
fn a_resumed_answer_goes_on_from_the_wanted_frame() {
    let fake = Fake::new(50);
    let sidecar = start(options(), &fake);
    let first = Gateway::connect(&sidecar, 1);
    let call = first.accepted(first.message(1, 100));
    frames(&call, 50);
    let second = Gateway::connect(&sidecar, 2);
    drop(call);
    drop(first);
    let call = second.resume(1, 30);
    fake.allow(100);
    let (frames, finished) = read(&call, 30);
    assert_eq!((frames, finished.frames), (100, 100));
}

#[test]
fn an_ended_answer_is_kept_for_a_resume() {
    let sidecar = start(options(), &Fake::new(50));
    let gateway = Gateway::connect(&sidecar, 1);
    read(&gateway.send(gateway.message(1, 20)), 0);
    let (frames, finished) = read(&gateway.resume(1, 7), 7);
    assert_eq!((frames, finished.outcome()), (20, Outcome::Answered));
}

#[test]
fn an_answer_that_is_no_longer_kept_is_an_honest_failure() {
    let mut options = options();
    options.ledger.answer_keep_ms = 0;
    let sidecar = start(options, &Fake::new(50));
    let gateway = Gateway::connect(&sidecar, 1);
    read(&gateway.send(gateway.message(1, 20)), 0);
    loop {
        let call = gateway.resume(1, 0);
        match call.recv_timeout(WAIT).unwrap() {
            Body::Finished(finished) => {
                assert_eq!(finished.outcome(), Outcome::Failed);
                return;
            }
            Body::TokenFrame(_) => {}
            other => panic!("unexpected {other:?}"),
        }
    }
}

#[test]
fn a_broken_read_goes_on_at_the_engine() {
    let fake = Fake::new(30);
    let sidecar = start(options(), &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    let call = gateway.accepted(gateway.message(1, 60));
    frames(&call, 30);
    fake.change(|state| state.break_reads = 3);
    fake.allow(60);
    let (frames, finished) = read(&call, 30);
    assert_eq!((frames, finished.outcome()), (60, Outcome::Answered));
    assert_eq!(fake.change(|state| state.started.len()), 1);
}

#[test]
fn cache_events_reach_gateways_and_a_gap_resets_them() {
    let fake = Fake::new(9);
    let event = |number, block| CacheEvent {
        number,
        block,
        cached: true,
    };
    fake.change(|state| state.cache.events = vec![event(1, 10), event(2, 20)]);
    let sidecar = start(options(), &fake);
    let gateway = Gateway::connect(&sidecar, 1);
    gateway.any_report(|report| report.cached_hashes == [10, 20]);
    fake.change(|state| state.cache.events = vec![event(5, 50)]);
    gateway.any_report(|report| report.cache_reset && report.cached_hashes == [50]);
}

#[test]
fn a_probe_predicts_without_reserving() {
    let sidecar = start(options(), &Fake::new(9));
    let gateway = Gateway::connect(&sidecar, 1);
    let ask = |prompt_tokens| {
        let probe = Probe {
            model: "m".into(),
            prompt_tokens,
            ..Probe::default()
        };
        match gateway.connection.ask(Body::Probe(probe), WAIT).unwrap() {
            Body::Quote(quote) => quote,
            other => panic!("unexpected {other:?}"),
        }
    };
    let small = ask(1_000);
    let large = ask(50_000);
    assert!(small.first_token_ms < large.first_token_ms);
    assert!(small.would_accept && large.would_accept);
    assert!(!ask(2 * fake::CAPACITY_TOKENS).would_accept);
    assert_eq!(gateway.report(|_| true).kv_used_tokens, 0);
}

#[test]
fn a_long_prompt_is_reported_before_the_timer() {
    let mut options = options();
    options.ledger.long_prompt_tokens = 1_000;
    let sidecar = start(options, &Fake::new(0));
    let gateway = Gateway::connect_at(&sidecar, 1, 600_000);
    gateway.any_report(|report| report.prefill_waiting_tokens == 0);
    let mut long = gateway.message(1, 5);
    long.prompt_tokens = 2_000;
    gateway.accepted(long);
    gateway.any_report(|report| report.prefill_waiting_tokens == 2_000);
}
