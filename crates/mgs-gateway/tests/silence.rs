//! A connection that falls silent while new ones work: its streams move on.

mod support;

use mgs_gateway::gateway::Options;
use mgs_transport::runtime::Runtime;
use rstest::rstest;
use serde_json::json;
use serde_json::Value;
use support::gateway;
use support::proxy::Proxy;
use support::sidecar;
use support::snapshot;
use support::until;
use support::Script;
use support::KEY;
use support::WAIT;

#[rstest]
#[case(0)]
#[case(3)]
fn a_stream_moves_on_when_its_connection_falls_silent(#[case] frames: u64) {
    let runtime = Runtime::new(&Default::default()).unwrap();
    let engine = sidecar(&runtime, Script::PauseAfter(frames));
    let proxy = Proxy::start(engine.server.address());
    let mut table = snapshot(&[&engine], &[]);
    table.endpoints[0].sidecar_address = proxy.address.to_string();
    let gateway = gateway(table, Options::default());
    let url = format!("http://{}/v1/completions", gateway.address());
    let caller = std::thread::spawn(move || {
        let request = attohttpc::post(url).bearer_auth(KEY).timeout(WAIT);
        let request = request.header("Idempotent", "false");
        let body = json!({"model": "m", "prompt": "olives?"});
        let response = request.json(&body).unwrap().send().unwrap();
        (response.status().as_u16(), response.json().unwrap())
    });
    until("dispatch", || engine.fake.stalled() == 1);
    proxy.silence();
    let (status, answer): (u16, Value) = caller.join().unwrap();
    assert_eq!(status, 200, "{answer}");
    let text = answer["choices"][0]["text"].as_str().unwrap();
    assert_eq!(text, "t0 t1 t2 t3 t4 t5 ");
    assert_eq!(engine.fake.ran.lock().unwrap().values().sum::<u32>(), 1);
}

#[test]
fn a_dispatch_into_a_silent_connection_is_withdrawn_and_made_again() {
    let runtime = Runtime::new(&Default::default()).unwrap();
    let engine = sidecar(&runtime, Script::Answer(3));
    let proxy = Proxy::start(engine.server.address());
    let mut table = snapshot(&[&engine], &[]);
    table.endpoints[0].sidecar_address = proxy.address.to_string();
    let gateway = gateway(table, Options::default());
    proxy.silence();
    let url = format!("http://{}/v1/completions", gateway.address());
    let request = attohttpc::post(url).bearer_auth(KEY).timeout(WAIT);
    let request = request.header("Idempotent", "false");
    let body = json!({"model": "m", "prompt": "olives?"});
    let response = request.json(&body).unwrap().send().unwrap();
    let status = response.status().as_u16();
    let answer: Value = response.json().unwrap();
    assert_eq!(status, 200, "{answer}");
    assert_eq!(engine.fake.ran.lock().unwrap().values().sum::<u32>(), 1);
}
