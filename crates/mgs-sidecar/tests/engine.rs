//! A sidecar before the engine's stand-in, over HTTP.

mod common;
mod fake;

use common::until;
use common::Gateway;
use common::GATEWAY;
use common::WAIT;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::Finished;
use mgs_schema::wire::KvPart;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::SpanExport;
use mgs_schema::wire::SpanKv;
use mgs_schema::wire::SpanRelease;
use mgs_schema::wire::SpanReply;
use mgs_schema::wire::SpanReserve;
use mgs_sidecar::sidecar::Options;
use mgs_sidecar::sidecar::Sidecar;
use mgs_standin::engine;
use mgs_standin::engine::text::expected;
use mgs_standin::engine::Engine;
use mgs_transport::client::Call;

const PROMPT: &str = "how many words are there";

fn engine() -> Engine {
    engine_with(engine::Options::default())
}

fn engine_with(options: engine::Options) -> Engine {
    Engine::start(engine::Options {
        models: vec!["m".into()],
        time_scale: 4.0,
        ..options
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

const SPAN: u64 = 5;

fn reserve(gateway: &Gateway, kv_tokens: u64, valid_ms: u64) {
    let reserve = SpanReserve {
        span: SPAN,
        sidecar_incarnation: gateway.incarnation,
        kv_tokens,
        valid_ms,
        gateway_incarnation: GATEWAY,
    };
    let answer = gateway.connection.ask(Body::SpanReserve(reserve), WAIT);
    assert_eq!(answer, Ok(Body::SpanReply(SpanReply { done: true })));
}

fn export(gateway: &Gateway, kv: &str, text: &str) -> SpanKv {
    let export = SpanExport {
        span: SPAN,
        sidecar_incarnation: gateway.incarnation,
        gateway_incarnation: GATEWAY,
        kv: kv.into(),
        model: "m".into(),
        text: text.into(),
        priority: 0,
    };
    match gateway.connection.ask(Body::SpanExport(export), WAIT) {
        Ok(Body::SpanKv(kv)) => kv,
        other => panic!("unexpected {other:?}"),
    }
}

/// Engines of 6,000 tokens, where an imported part takes an eighth of its room.
fn small() -> engine::Options {
    engine::Options {
        kv_capacity_tokens: 6_000,
        kv_import_ratio: 8,
        ..engine::Options::default()
    }
}

#[test]
fn a_prompt_beyond_one_engine_runs_over_two_and_frees_both() {
    let prompt = "olive ".repeat(6_000);
    let (first, _) = prompt.split_at(prompt.len() / 2);
    let engines = [engine_with(small()), engine_with(small())];
    let sidecars = engines.each_ref().map(sidecar);
    let [part, home] = sidecars.each_ref().map(|s| Gateway::connect(s, 1));
    reserve(&part, 5_000, 600_000);
    reserve(&home, 5_500, 600_000);
    let exported = export(&part, "request-1", first);
    assert!(exported.done, "{exported:?}");
    assert_eq!(export(&part, "request-1", first), exported);
    let call = home.accepted(Dispatch {
        body: prompt.clone().into(),
        prompt_tokens: mgs_schema::prefix::tokens(prompt.len()),
        span: SPAN,
        kv: vec![KvPart {
            kv: exported.kv,
            kv_tokens: exported.kv_tokens,
        }],
        ..home.message(1, 20)
    });
    let (text, finished) = text(&call);
    assert_eq!(finished.outcome(), Outcome::Answered, "{finished:?}");
    assert_eq!(text, expected(&prompt, 20));
    assert_eq!(engines[0].memory().held_kv.len(), 1);
    let release = Body::SpanRelease(SpanRelease { span: SPAN });
    part.connection.ask(release, WAIT).unwrap();
    for engine in &engines {
        until("memory is free", || engine.memory().used_tokens == 0);
    }
    part.report(|report| report.kv_used_tokens == 0);
    home.report(|report| report.kv_used_tokens == 0);
}

#[test]
fn exported_kv_ends_with_its_reservation() {
    let engine = engine_with(small());
    let sidecar = sidecar(&engine);
    let gateway = Gateway::connect(&sidecar, 1);
    assert!(!export(&gateway, "request-1", PROMPT).done);
    reserve(&gateway, 1_000, 300);
    assert!(!export(&gateway, "request-1", &"olive ".repeat(2_000)).done);
    assert!(export(&gateway, "request-1", PROMPT).done);
    assert_eq!(engine.memory().held_kv.len(), 1);
    until("memory is free", || engine.memory().used_tokens == 0);
    gateway.report(|report| report.kv_used_tokens == 0);
}
