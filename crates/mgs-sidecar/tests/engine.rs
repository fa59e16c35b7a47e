//! A sidecar before the engine's stand-in, over HTTP.

mod common;
mod fake;

use common::until;
use common::Gateway;
use common::WAIT;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Outcome;
use mgs_sidecar::sidecar::Options;
use mgs_sidecar::sidecar::Sidecar;
use mgs_standin::engine;
use mgs_standin::engine::text::expected;
use mgs_standin::engine::Engine;
use mgs_transport::client::Call;

const PROMPT: &str = "how many olive whips are there";

fn engine() -> Engine {
    Engine::start(engine::Options {
        models: vec!["m".into()],
        time_scale: 4.0,
        ..engine::Options::default()
    })
    .unwrap()
}

fn sidecar(engine: &Engine) -> Sidecar {
    Sidecar::start(Options {
        endpoint_url: engine.url(),
        call_timeout_ms: 200,
        stream_silence_ms: 200,
        ..common::options()
    })
    .unwrap()
}

fn message(gateway: &Gateway, serial: u64, max_tokens: u64) -> Dispatch {
    Dispatch {
        body: PROMPT.into(),
        ..gateway.message(serial, max_tokens)
    }
}

/// Reads a text to its end.
fn text(call: &Call) -> (String, Finished) {
    let mut text = String::new();
    loop {
        match call.recv_timeout(WAIT).unwrap() {
            Body::TokenFrame(frame) => text.push_str(&frame.text),
            Body::Finished(finished) => return (text, finished),
            other => panic!("unexpected {other:?}"),
        }
    }
}

#[test]
fn the_text_is_the_engines() {
    let engine = engine();
    let sidecar = sidecar(&engine);
    let gateway = Gateway::connect(&sidecar, 1);
    let call = gateway.accepted(message(&gateway, 1, 40));
    let (text, finished) = text(&call);
    assert_eq!(finished.outcome(), Outcome::Answered);
    assert_eq!(text, expected(PROMPT, 40));
    until("memory is free", || engine.memory().used_tokens == 0);
}

#[test]
fn a_frozen_engine_goes_on_where_it_was() {
    let engine = engine();
    let sidecar = sidecar(&engine);
    let gateway = Gateway::connect(&sidecar, 1);
    let call = gateway.accepted(message(&gateway, 1, 100));
    let first = call.recv_timeout(WAIT).unwrap();
    let Body::TokenFrame(first) = first else {
        panic!("unexpected {first:?}");
    };
    engine.freeze(true);
    gateway.until_state(EndpointState::Down);
    engine.freeze(false);
    let (rest, finished) = text(&call);
    assert_eq!(finished.outcome(), Outcome::Answered);
    assert_eq!(first.text + &rest, expected(PROMPT, 100));
    assert_eq!(engine.executions().len(), 1);
}

#[test]
fn a_crashed_engine_fails_its_requests_and_serves_again() {
    let engine = engine();
    let sidecar = sidecar(&engine);
    let gateway = Gateway::connect(&sidecar, 1);
    let call = gateway.accepted(message(&gateway, 1, 10_000));
    call.recv_timeout(WAIT).unwrap();
    engine.crash();
    let (_, finished) = text(&call);
    assert_eq!(finished.outcome(), Outcome::Failed);
    gateway.report(|report| report.state() == EndpointState::Live && report.kv_used_tokens == 0);
    let call = gateway.accepted(message(&gateway, 2, 10));
    assert_eq!(text(&call).0, expected(PROMPT, 10));
    let runs = engine.executions();
    assert_eq!(runs.len(), 2, "{runs:?}");
}
