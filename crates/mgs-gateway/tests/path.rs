//! A caller's request through the gateway to a sidecar and back.

mod support;

use std::sync::atomic::Ordering;

use attohttpc::RequestBuilder;
use mgs_gateway::gateway::Gateway;
use mgs_gateway::gateway::Options;
use mgs_schema::wire::RefusalReason;
use mgs_transport::runtime::Runtime;
use rstest::rstest;
use serde_json::json;
use serde_json::Value;
use support::gateway;
use support::sidecar;
use support::snapshot;
use support::until;
use support::Script;
use support::Sidecar;
use support::KEY;
use support::WAIT;

struct Bench {
    _runtime: Runtime,
    first: Sidecar,
    second: Sidecar,
    service: Sidecar,
    gateway: Gateway,
}

/// Two engines and a service that follow a script.
fn bench(first: Script, second: Script) -> Bench {
    let runtime = Runtime::new(&Default::default()).unwrap();
    let first = sidecar(&runtime, first);
    let second = sidecar(&runtime, second);
    let service = sidecar(&runtime, Script::Answer(0));
    let table = snapshot(&[&first, &second], &[&service]);
    let gateway = gateway(table, Options::default());
    Bench {
        _runtime: runtime,
        first,
        second,
        service,
        gateway,
    }
}

impl Bench {
    fn post(&self, path: &str) -> RequestBuilder {
        attohttpc::post(format!("http://{}{path}", self.gateway.address()))
            .timeout(WAIT)
            .bearer_auth(KEY)
    }

    fn complete(&self, idempotent: bool) -> (u16, Value) {
        let response = self
            .post("/v1/completions")
            .header("Idempotent", idempotent.to_string())
            .json(&json!({"model": "m", "prompt": "olives?"}))
            .unwrap()
            .send()
            .unwrap();
        (response.status().as_u16(), response.json().unwrap())
    }

    fn ran(&self) -> u32 {
        let count = |sidecar: &Sidecar| sidecar.fake.ran.lock().unwrap().values().sum::<u32>();
        count(&self.first) + count(&self.second)
    }
}

fn text(answer: &Value) -> &str {
    answer["choices"][0]["text"].as_str().unwrap_or_default()
}

#[test]
fn a_whole_answer_has_its_text_and_usage() {
    let bench = bench(Script::Answer(3), Script::Answer(3));
    let (status, answer) = bench.complete(true);
    assert_eq!(status, 200, "{answer}");
    assert_eq!(text(&answer), "t0 t1 t2 ");
    assert_eq!(answer["usage"]["completion_tokens"], 3);
    assert_eq!(answer["usage"]["prompt_tokens"], 2);
}

#[test]
fn a_streamed_answer_ends_in_done() {
    let bench = bench(Script::Answer(3), Script::Answer(3));
    let message = json!({"role": "user", "content": "olives?"});
    let response = bench
        .post("/v1/chat/completions")
        .header("X-Request-Id", "call-7")
        .json(&json!({"model": "m", "messages": [message], "stream": true}))
        .unwrap()
        .send()
        .unwrap();
    assert_eq!(response.headers()["x-request-id"], "call-7");
    assert_eq!(response.headers()["content-type"], "text/event-stream");
    let body = response.text().unwrap();
    let events: Vec<&str> = body
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .collect();
    assert_eq!(events.len(), 5, "{body}");
    let piece: Value = serde_json::from_str(events[1]).unwrap();
    assert_eq!(piece["choices"][0]["delta"]["content"], "t1 ");
    assert_eq!(events[4], "[DONE]");
}

#[test]
fn a_service_gets_method_path_and_body() {
    let bench = bench(Script::Answer(3), Script::Answer(3));
    let response = bench
        .post("/services/orders/confirm?part=1")
        .text("bolts")
        .send()
        .unwrap();
    assert_eq!(response.status().as_u16(), 201);
    assert_eq!(response.text().unwrap(), "done");
    let dispatches = bench.service.fake.dispatches.lock().unwrap();
    assert_eq!(dispatches[0].method, "POST");
    assert_eq!(dispatches[0].path, "/confirm?part=1");
    assert_eq!(dispatches[0].body, b"bolts");
    assert!(!dispatches[0].idempotent);
}

#[test]
fn a_refused_attempt_is_made_elsewhere() {
    let busy = Script::Refuse(RefusalReason::Busy);
    let bench = bench(busy, Script::Answer(3));
    for _ in 0..4 {
        let (status, answer) = bench.complete(false);
        assert_eq!((status, text(&answer)), (200, "t0 t1 t2 "));
    }
}

#[test]
fn refused_everywhere_is_refused_and_not_run() {
    let busy = Script::Refuse(RefusalReason::Busy);
    let bench = bench(busy, busy);
    let (status, answer) = bench.complete(false);
    assert_eq!(status, 503, "{answer}");
    assert_eq!(answer["error"]["reason"], "busy");
    assert_eq!(answer["error"]["not_run"], true);
    assert!(answer["error"]["retry_after_ms"].as_u64() > Some(0));
}

#[test]
fn a_lost_path_is_withdrawn_before_the_request_goes_elsewhere() {
    let bench = bench(Script::LoseBefore, Script::Answer(3));
    for _ in 0..4 {
        let (status, answer) = bench.complete(false);
        assert_eq!(status, 200, "{answer}");
    }
    assert_eq!(bench.ran(), 4);
}

/// The test above failed once in thirty runs on a busy machine: each time the path was lost, the endpoint could be
/// chosen again, and where it seemed the better one it was, four times within 25 ms, until no attempt was left (its
/// log: `path lost` four times for one request, all attempts at the same endpoint).
#[test]
fn a_path_that_is_lost_again_sends_the_request_elsewhere_however_busy_that_is() {
    let bench = bench(Script::LoseBefore, Script::Answer(3));
    let busy_tokens = 300_000;
    let waiting = &bench.second.fake.waiting_tokens;
    waiting.store(busy_tokens, Ordering::Relaxed);
    until("the report", || {
        let view = bench.gateway.core().view();
        let mut endpoints = view.endpoints.iter().flatten();
        endpoints.any(|endpoint| endpoint.load.short_prefill_waiting_tokens == busy_tokens)
    });
    for _ in 0..3 {
        let (status, answer) = bench.complete(false);
        assert_eq!(status, 200, "{answer}");
    }
    assert_eq!(bench.ran(), 3);
}

#[rstest]
#[case(0)]
#[case(3)]
fn a_broken_answer_is_resumed_where_it_broke(#[case] frames: u64) {
    let script = Script::LoseAfter(frames);
    let bench = bench(script, script);
    let (status, answer) = bench.complete(false);
    assert_eq!(status, 200, "{answer}");
    assert_eq!(text(&answer), "t0 t1 t2 t3 t4 t5 ");
    assert_eq!(bench.ran(), 1);
}

#[test]
fn an_answer_that_is_lost_halfway_fails_and_is_not_run_again() {
    let bench = bench(Script::Forget, Script::Forget);
    let (status, answer) = bench.complete(true);
    assert_eq!(status, 502, "{answer}");
    assert_eq!(answer["error"]["not_run"], false);
    let dispatched = |s: &Sidecar| s.fake.dispatches.lock().unwrap().len();
    assert_eq!(dispatched(&bench.first) + dispatched(&bench.second), 1);
}

#[test]
fn a_request_ends_by_its_deadline_and_is_cancelled() {
    let bench = bench(Script::Stall, Script::Stall);
    let response = bench
        .post("/v1/completions")
        .header("Request-Timeout-Ms", "400")
        .header("Idempotent", "false")
        .json(&json!({"model": "m", "prompt": "olives?"}))
        .unwrap()
        .send()
        .unwrap();
    assert_eq!(response.status().as_u16(), 504);
    let answer: Value = response.json().unwrap();
    assert_eq!(answer["error"]["not_run"], "unknown");
    let cancels = |s: &Sidecar| s.fake.cancels.lock().unwrap().len();
    support::until("cancel", || {
        cancels(&bench.first) + cancels(&bench.second) == 1
    });
}

#[rstest]
#[case("/v1/completions", r#"{"model": "m"}"#, 400, "bad_request")]
#[case("/v1/completions", "{", 400, "bad_request")]
#[case(
    "/v1/completions",
    r#"{"model": "x", "prompt": "a"}"#,
    404,
    "unknown_model"
)]
#[case("/services/none/x", "", 404, "unknown_service")]
#[case("/v2/other", "", 404, "bad_request")]
fn bad_input_is_refused_with_its_reason(
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let bench = bench(Script::Answer(1), Script::Answer(1));
    let response = bench.post(path).text(body).send().unwrap();
    assert_eq!(response.status().as_u16(), status);
    let answer: Value = response.json().unwrap();
    assert_eq!(answer["error"]["reason"], reason);
    assert_eq!(answer["error"]["not_run"], true);
}

#[test]
fn a_million_tokens_fit_and_more_are_refused() {
    let bench = bench(Script::Answer(1), Script::Answer(1));
    let send = |bytes: usize| {
        let prompt = "a".repeat(bytes);
        let body = json!({"model": "m", "prompt": prompt});
        let request = bench.post("/v1/completions").json(&body).unwrap();
        request.send().unwrap()
    };
    let answer: Value = send(4_000_000).json().unwrap();
    assert_eq!(answer["usage"]["prompt_tokens"], 1_000_000, "{answer}");
    assert_eq!(send(9_000_000).status().as_u16(), 413);
}

#[test]
fn an_unknown_key_is_refused() {
    let bench = bench(Script::Answer(1), Script::Answer(1));
    let url = format!("http://{}/v1/models", bench.gateway.address());
    let response = attohttpc::get(&url).bearer_auth("other").send().unwrap();
    assert_eq!(response.status().as_u16(), 401);
    let models: Value = attohttpc::get(&url)
        .bearer_auth(KEY)
        .send()
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(models["data"][0]["id"], "m");
}

#[test]
fn a_leaving_gateway_finishes_what_it_has() {
    let bench = bench(Script::Stall, Script::Stall);
    let caller = std::thread::spawn({
        let request = bench
            .post("/v1/completions")
            .header("Request-Timeout-Ms", "1500")
            .json(&json!({"model": "m", "prompt": "olives?"}))
            .unwrap();
        move || request.send().unwrap().status().as_u16()
    });
    // A request that has a thread and hasn't passed the checks may still be refused as leaving.
    let running = |s: &Sidecar| s.fake.stalled() > 0;
    support::until("running request", || {
        running(&bench.first) || running(&bench.second)
    });
    assert!(bench.gateway.health().ready().is_ok());
    assert!(bench.gateway.drain(WAIT.as_millis() as u64));
    assert!(bench.gateway.health().ready().is_err());
    assert_eq!(caller.join().unwrap(), 504);
    let (status, answer) = bench.complete(true);
    assert_eq!(
        (status, &answer["error"]["reason"]),
        (503, &json!("leaving"))
    );
}
