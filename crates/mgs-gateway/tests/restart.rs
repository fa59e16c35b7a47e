//! A real sidecar that is started again while its engine goes on.

mod support;

use std::net::SocketAddr;

use mgs_gateway::gateway::Options;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::Snapshot;
use mgs_sidecar::sidecar;
use mgs_sidecar::sidecar::Sidecar;
use mgs_standin::engine;
use mgs_standin::engine::text;
use mgs_standin::engine::Engine;
use rstest::rstest;
use serde_json::json;
use serde_json::Value;
use support::gateway;
use support::until;
use support::KEY;
use support::WAIT;

const TOKENS: u64 = 400;

fn start_sidecar(engine: &Engine, listen: SocketAddr) -> Sidecar {
    let options = || sidecar::Options {
        name: "m-0".into(),
        zone: "zone-1".into(),
        listen,
        endpoint_url: engine.url(),
        ..sidecar::Options::default()
    };
    let mut started = None;
    until("a free port", || {
        started = Sidecar::start(options()).ok();
        started.is_some()
    });
    started.unwrap()
}

fn table(at: SocketAddr) -> Snapshot {
    let row = EndpointRow {
        name: "m-0".into(),
        kind: EndpointKind::Engine.into(),
        sidecar_address: at.to_string(),
        zone: "zone-1".into(),
        models: vec![engine::Options::default().models[0].clone()],
        started: true,
        ..EndpointRow::default()
    };
    Snapshot {
        endpoints: vec![row],
        ..support::snapshot(&[], &[])
    }
}

#[rstest]
#[case(false)]
#[case(true)]
fn a_stream_goes_on_over_the_restart_of_its_sidecar(#[case] idempotent: bool) {
    let engine = Engine::start(engine::Options::default()).unwrap();
    let sidecar = start_sidecar(&engine, ([127, 0, 0, 1], 0).into());
    let at = sidecar.address();
    let gateway = gateway(table(at), Options::default());
    let url = format!("http://{}/v1/completions", gateway.address());
    let model = engine::Options::default().models[0].clone();
    let caller = std::thread::spawn(move || {
        let request = attohttpc::post(url).bearer_auth(KEY).timeout(WAIT);
        let request = request.header("Idempotent", idempotent.to_string());
        let body = json!({"model": model, "prompt": "olives?", "max_tokens": TOKENS});
        let response = request.json(&body).unwrap().send().unwrap();
        (response.status().as_u16(), response.json().unwrap())
    });
    until("a running stream", || !engine.executions().is_empty());
    sidecar.stop();
    let _again = start_sidecar(&engine, at);
    let (status, answer): (u16, Value) = caller.join().unwrap();
    assert_eq!(status, 200, "{answer}");
    let whole = text::expected("olives?", TOKENS);
    assert_eq!(answer["choices"][0]["text"], whole.as_str());
    assert_eq!(engine.executions().len(), 1);
}
