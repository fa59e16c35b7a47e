//! Idempotency keys and durable requests over HTTP, with two gateways on one store.

mod support;

use std::sync::Arc;

use attohttpc::RequestBuilder;
use mgs_gateway::gateway::Gateway;
use mgs_schema::wire::EndpointState;
use mgs_standin::platform::memory::Memory;
use mgs_transport::runtime::Runtime;
use rstest::rstest;
use serde_json::json;
use serde_json::Value;
use support::platform::apply;
use support::platform::changes;
use support::platform::start;
use support::sidecar;
use support::snapshot;
use support::until;
use support::Script;
use support::Sidecar;
use support::KEY;
use support::WAIT;

struct Bench {
    _runtime: Runtime,
    engine: Sidecar,
    service: Sidecar,
    memory: Arc<Memory>,
    gateways: [Gateway; 2],
}

fn bench(script: Script) -> Bench {
    let runtime = Runtime::new(&Default::default()).unwrap();
    let engine = sidecar(&runtime, script);
    let service = sidecar(&runtime, Script::Answer(0));
    let memory = Arc::new(Memory::default());
    let table = snapshot(&[&engine], &[&service]);
    apply(&memory, "first", changes(table));
    let gateways = ["g1", "g2"].map(|name| start(&memory, name, Vec::new()));
    let bench = Bench {
        _runtime: runtime,
        engine,
        service,
        memory,
        gateways,
    };
    for index in 0..2 {
        until("live endpoints", || bench.live(index) == 2);
        // The facade to the store is there after the first answer of the store.
        let path = format!("/v1/requests/{:032x}", 1);
        let look = || bench.get(index, &path).0;
        until("a store", || look() == 404);
        let warm = || bench.keyed(index, &format!("warm-{index}")).0;
        until("a facade to the store", || warm() == 201);
    }
    bench.service.fake.ran.lock().unwrap().clear();
    bench
}

impl Bench {
    fn live(&self, index: usize) -> usize {
        let view = self.gateways[index].core().view();
        let endpoints = view.endpoints.iter().flatten();
        let live = endpoints.filter(|endpoint| endpoint.state == EndpointState::Live);
        live.count()
    }

    fn url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.gateways[index].address())
    }

    fn post(&self, index: usize, path: &str) -> RequestBuilder {
        attohttpc::post(self.url(index, path))
            .timeout(WAIT)
            .bearer_auth(KEY)
    }

    fn get(&self, index: usize, path: &str) -> (u16, Value) {
        let request = attohttpc::get(self.url(index, path)).bearer_auth(KEY);
        let response = request.timeout(WAIT).send().unwrap();
        let status = response.status().as_u16();
        (status, response.json().unwrap_or_default())
    }

    /// Confirms an order under a key.
    fn keyed(&self, index: usize, key: &str) -> (u16, String) {
        let request = self.post(index, "/services/orders/confirm");
        let request = request.header("Idempotency-Key", key).text("two pallets");
        let response = request.send().unwrap();
        (response.status().as_u16(), response.text().unwrap())
    }

    fn submit(&self) -> String {
        let response = self
            .post(0, "/v1/completions")
            .header("Prefer", "respond-async")
            .json(&json!({"model": "m", "prompt": "olives?"}))
            .unwrap()
            .send()
            .unwrap();
        assert_eq!(response.status().as_u16(), 202);
        let accepted: Value = response.json().unwrap();
        accepted["status_url"].as_str().unwrap().to_string()
    }

    fn confirmed(&self) -> u32 {
        self.service.fake.ran.lock().unwrap().values().sum()
    }
}

#[test]
fn a_key_runs_once_whichever_gateway_its_repeats_reach() {
    let bench = bench(Script::Answer(3));
    for index in [0, 1, 0] {
        assert_eq!(bench.keyed(index, "order-7"), (201, "done".to_string()));
    }
    assert_eq!(bench.confirmed(), 1);
}

#[test]
fn a_key_belongs_to_one_request() {
    let bench = bench(Script::Answer(3));
    bench.keyed(0, "order-7");
    let other = bench.post(1, "/services/orders/confirm");
    let other = other
        .header("Idempotency-Key", "order-7")
        .text("one pallet");
    let response = other.send().unwrap();
    assert_eq!(response.status().as_u16(), 409);
    let answer: Value = response.json().unwrap();
    assert_eq!(answer["error"]["not_run"], true);
}

#[rstest]
#[case(false)]
#[case(true)]
fn a_keyed_completion_is_given_again_in_the_form_wanted(#[case] stream: bool) {
    let bench = bench(Script::Answer(3));
    let complete = |index| {
        let request = bench.post(index, "/v1/completions");
        let body = json!({"model": "m", "prompt": "olives?", "stream": stream});
        let request = request.header("Idempotency-Key", "audit").json(&body);
        request.unwrap().send().unwrap().text().unwrap()
    };
    let text = |answer: String| -> String {
        let lines = answer.lines().filter(|line| !line.contains("[DONE]"));
        let pieces = lines.map(|line| line.trim_start_matches("data: "));
        let pieces = pieces.filter_map(|piece| serde_json::from_str::<Value>(piece).ok());
        let text = |piece: Value| piece["choices"][0]["text"].as_str().map(str::to_string);
        pieces.filter_map(text).collect()
    };
    assert_eq!(text(complete(0)), "t0 t1 t2 ");
    assert_eq!(text(complete(1)), "t0 t1 t2 ");
    assert_eq!(bench.engine.fake.ran.lock().unwrap().len(), 1);
}

#[test]
fn a_durable_request_is_answered_at_any_gateway() {
    let bench = bench(Script::Answer(3));
    let status_url = bench.submit();
    until("its end", || {
        bench.get(1, &status_url).1["state"] == "answered"
    });
    let (status, result) = bench.get(1, &format!("{status_url}/result"));
    assert_eq!(status, 200);
    assert_eq!(result["choices"][0]["text"], "t0 t1 t2 ");
}

#[test]
fn a_durable_request_can_be_cancelled() {
    let bench = bench(Script::Stall);
    let status_url = bench.submit();
    until("its dispatch", || bench.engine.fake.stalled() == 1);
    let (status, _) = bench.get(0, &format!("{status_url}/result"));
    assert_eq!(status, 202);
    let request = attohttpc::delete(bench.url(1, &status_url)).bearer_auth(KEY);
    let answer: Value = request.send().unwrap().json().unwrap();
    assert_eq!(answer["cancelled"], "wanted");
    until("cancel", || {
        !bench.engine.fake.cancels.lock().unwrap().is_empty()
    });
}

#[test]
fn without_the_store_keyed_requests_are_refused_and_others_run() {
    let bench = bench(Script::Answer(3));
    bench.memory.faults().set_outage(true);
    let (status, body) = bench.keyed(0, "order-9");
    let answer: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(
        (status, &answer["error"]["reason"]),
        (503, &json!("store_unavailable"))
    );
    assert_eq!(answer["error"]["not_run"], true);
    let unkeyed = bench.post(0, "/services/orders/confirm").text("x").send();
    assert_eq!(unkeyed.unwrap().status().as_u16(), 201);
    assert_eq!(bench.confirmed(), 1);
}
