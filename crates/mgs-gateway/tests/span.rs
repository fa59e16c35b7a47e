//! Prompts that exceed one engine's memory, over real sidecars and engines' stand-ins.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

use attohttpc::body::Text;
use attohttpc::RequestBuilder;
use mgs_fleet::view::Endpoint;
use mgs_gateway::gateway::Gateway;
use mgs_gateway::gateway::Options;
use mgs_observe::metrics::Registry;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Hello;
use mgs_schema::wire::SpanRelease;
use mgs_schema::wire::SpanReply;
use mgs_schema::wire::SpanReserve;
use mgs_sidecar::sidecar;
use mgs_sidecar::sidecar::Sidecar;
use mgs_standin::engine;
use mgs_standin::engine::text::expected;
use mgs_standin::engine::Engine;
use mgs_standin::platform::memory::Memory;
use mgs_transport::client::Connection;
use mgs_transport::runtime::Runtime;
use rstest::rstest;
use serde_json::json;
use serde_json::Value;
use support::gateway;
use support::platform;
use support::snapshot;
use support::until;
use support::KEY;
use support::WAIT;

const ENGINES: usize = 4;

/// Memory of each engine.
const CAPACITY_TOKENS: u64 = 6_000;

/// Engines that take seconds for a part.
const SLOW: f64 = 0.1;
const FAST: f64 = 4.0;

struct Bench {
    gateway: Gateway,
    registry: Registry,
    sidecars: Vec<Sidecar>,
    engines: Vec<Engine>,
}

fn start_engine(time_scale: f64, kv_import_ratio: u64) -> Engine {
    Engine::start(engine::Options {
        models: vec!["m".into()],
        kv_capacity_tokens: CAPACITY_TOKENS,
        kv_import_ratio,
        time_scale,
        prefill_chunk_tokens: 64,
        decode_step_ms: 1.0,
        ..engine::Options::default()
    })
    .unwrap()
}

fn row(index: usize, sidecar: &Sidecar, span: bool) -> EndpointRow {
    EndpointRow {
        name: format!("engine-{index}"),
        kind: EndpointKind::Engine.into(),
        sidecar_address: sidecar.address().to_string(),
        zone: "zone-1".into(),
        models: vec!["m".into()],
        started: true,
        span,
        ..EndpointRow::default()
    }
}

fn table(sidecars: &[Sidecar], span: bool) -> Snapshot {
    let rows = sidecars.iter().enumerate();
    Snapshot {
        endpoints: rows.map(|(index, at)| row(index, at, span)).collect(),
        ..snapshot(&[], &[])
    }
}

fn bench(time_scale: f64, span: bool) -> Bench {
    bench_with(span, || start_engine(time_scale, 8))
}

fn bench_with(span: bool, start_engine: impl Fn() -> Engine) -> Bench {
    let engines: Vec<Engine> = (0..ENGINES).map(|_| start_engine()).collect();
    let start = |(index, engine): (usize, &Engine)| {
        Sidecar::start(sidecar::Options {
            name: format!("engine-{index}"),
            endpoint_url: engine.url(),
            endpoint_poll_ms: 20,
            reconcile_ms: 50,
            ..sidecar::Options::default()
        })
        .unwrap()
    };
    let sidecars: Vec<Sidecar> = engines.iter().enumerate().map(start).collect();
    let table = table(&sidecars, span);
    let registry = Registry::new();
    let gateway = gateway(
        table,
        Options {
            registry: registry.clone(),
            report_interval_ms: 50,
            ..Options::default()
        },
    );
    let bench = Bench {
        gateway,
        registry,
        sidecars,
        engines,
    };
    until("reports of memory", || bench.all(|load| load.1 > 0));
    bench
}

/// A prompt of more than twice an engine's memory, with characters of several bytes.
fn long() -> String {
    "măslini și olive ".repeat(2_800)
}

impl Bench {
    /// Whether something holds of the memory used and whole that each sidecar reports.
    fn all(&self, holds: impl Fn((u64, u64)) -> bool) -> bool {
        let view = self.gateway.core().view();
        let mut endpoints = view.endpoints.iter().flatten();
        endpoints.all(|e| holds((e.load.kv_used_tokens, e.load.kv_capacity_tokens)))
    }

    fn post(&self, body: &Value) -> RequestBuilder<Text<String>> {
        attohttpc::post(format!("http://{}/v1/completions", self.gateway.address()))
            .timeout(WAIT)
            .bearer_auth(KEY)
            .text(body.to_string())
    }

    fn complete(&self, prompt: &str, allotted_ms: u64) -> (u16, Value) {
        let body = json!({"model": "m", "prompt": prompt, "max_tokens": 20});
        let response = self
            .post(&body)
            .header("Idempotent", "false")
            .header("Request-Timeout-Ms", allotted_ms.to_string())
            .send()
            .unwrap();
        (response.status().as_u16(), response.json().unwrap())
    }

    fn count(&self, event: &str) -> u64 {
        let line = format!("mgs_gateway_spans_total{{event=\"{event}\"}} ");
        let text = self.registry.encode();
        let value = text.lines().find_map(|text| text.strip_prefix(&line));
        value.map_or(0, |value| value.parse::<f64>().unwrap() as u64)
    }

    /// Waits until no engine and no sidecar holds anything.
    fn until_free(&self) {
        until("freed spans", || self.count("begun") == self.count("freed"));
        for engine in &self.engines {
            until("free memory", || engine.memory().used_tokens == 0);
            assert!(engine.memory().held_kv.is_empty());
        }
        until("free reports", || self.all(|load| load.0 == 0));
    }

    /// Engines that work on a part.
    fn exporting(&self) -> Vec<&Engine> {
        let used = |engine: &&Engine| engine.memory().used_tokens > 0;
        self.engines.iter().filter(used).collect()
    }

    fn until_exporting(&self) {
        until("exports", || self.exporting().len() >= 2);
    }

    /// Streams that ran at any engine.
    fn ran(&self, prompt: &str) -> usize {
        let hash = engine::text::prompt_hash(prompt);
        let runs = self.engines.iter().flat_map(Engine::executions);
        runs.filter(|run| run.prompt_hash == hash).count()
    }
}

fn text(answer: &Value) -> &str {
    answer["choices"][0]["text"].as_str().unwrap_or_default()
}

#[test]
fn the_answer_is_whole_and_short_requests_are_served_meanwhile() {
    let bench = bench(SLOW, true);
    let prompt = long();
    thread::scope(|scope| {
        let spread = scope.spawn(|| bench.complete(&prompt, 30_000));
        bench.until_exporting();
        for number in 0..2 {
            let short = format!("are there {number} olives?");
            let (status, answer) = bench.complete(&short, 30_000);
            assert_eq!(status, 200, "{answer}");
            assert_eq!(text(&answer), expected(&short, 20));
        }
        assert!(!spread.is_finished());
        let (status, answer) = spread.join().unwrap();
        assert_eq!(status, 200, "{answer}");
        assert_eq!(text(&answer), expected(&prompt, 20));
    });
    bench.until_free();
    assert_eq!((bench.count("begun"), bench.count("dispatched")), (1, 1));
    assert_eq!(bench.ran(&prompt), 1);
}

#[test]
fn two_at_once_are_both_answered() {
    let bench = bench(FAST, true);
    let prompts = [long(), format!("și {}", long())];
    thread::scope(|scope| {
        let spread = prompts.each_ref().map(|prompt| {
            let bench = &bench;
            scope.spawn(move || (prompt, bench.complete(prompt, 30_000)))
        });
        for spread in spread {
            let (prompt, (status, answer)) = spread.join().unwrap();
            assert_eq!(status, 200, "{answer}");
            assert_eq!(text(&answer), expected(prompt, 20));
        }
    });
    bench.until_free();
}

#[test]
fn a_failed_export_leads_to_another_plan() {
    let bench = bench(SLOW, true);
    let prompt = long();
    thread::scope(|scope| {
        let spread = scope.spawn(|| bench.complete(&prompt, 30_000));
        bench.until_exporting();
        bench.exporting()[0].crash();
        let (status, answer) = spread.join().unwrap();
        assert_eq!(status, 200, "{answer}");
        assert_eq!(text(&answer), expected(&prompt, 20));
    });
    assert!(bench.count("replanned") >= 1);
    bench.until_free();
    assert_eq!(bench.ran(&prompt), 1);
}

/// Memory that another gateway has reserved at two endpoints.
fn take_two(bench: &Bench, runtime: &Runtime) -> Vec<Connection> {
    let take = |sidecar: &Sidecar| {
        let address = sidecar.address();
        let connection = Connection::open(runtime, address, &Default::default()).unwrap();
        let hello = Hello {
            incarnation: 7,
            process: "other".into(),
            session: 1,
            report_interval_ms: 50,
            ..Hello::default()
        };
        let Ok(Body::Welcome(welcome)) = connection.ask(Body::Hello(hello), WAIT) else {
            panic!("no welcome");
        };
        let reserve = SpanReserve {
            span: 7,
            sidecar_incarnation: welcome.incarnation,
            kv_tokens: CAPACITY_TOKENS / 2,
            valid_ms: 60_000,
            gateway_incarnation: 7,
        };
        let reply = connection.ask(Body::SpanReserve(reserve), WAIT);
        assert_eq!(reply, Ok(Body::SpanReply(SpanReply { done: true })));
        connection
    };
    bench.sidecars[2..].iter().map(take).collect()
}

#[test]
fn endpoints_that_refuse_are_waited_for() {
    let bench = bench(FAST, true);
    let runtime = Runtime::new(&Default::default()).unwrap();
    let others = take_two(&bench, &runtime);
    let prompt = long();
    thread::scope(|scope| {
        let spread = scope.spawn(|| bench.complete(&prompt, 30_000));
        until("the reports", || !bench.all(|load| load.0 == 0));
        until("the request", || bench.gateway.core().open_requests() > 0);
        let short = "are there olives?";
        assert_eq!(text(&bench.complete(short, 30_000).1), expected(short, 20));
        assert_eq!(bench.ran(&prompt), 0);
        for other in &others {
            let release = Body::SpanRelease(SpanRelease { span: 7 });
            other.ask(release, WAIT).unwrap();
        }
        let (status, answer) = spread.join().unwrap();
        assert_eq!(status, 200, "{answer}");
        assert_eq!(text(&answer), expected(&prompt, 20));
    });
    bench.until_free();
}

#[test]
fn a_caller_that_goes_away_leaves_nothing_held() {
    let bench = bench(SLOW / 2.0, true);
    let prompt = long();
    let body = json!({"model": "m", "prompt": prompt, "max_tokens": 20, "stream": true});
    let body = body.to_string();
    let mut caller = TcpStream::connect(bench.gateway.address()).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all(head.as_bytes()).unwrap();
    caller.write_all(body.as_bytes()).unwrap();
    bench.until_exporting();
    drop(caller);
    bench.until_free();
    assert_eq!(bench.ran(&prompt), 0);
}

#[test]
fn past_the_deadline_it_is_refused_as_not_run_and_nothing_is_held() {
    let bench = bench(SLOW, true);
    let prompt = long();
    thread::scope(|scope| {
        let spread = scope.spawn(|| bench.complete(&prompt, 5_500));
        bench.until_exporting();
        bench.engines.iter().for_each(|engine| engine.freeze(true));
        let (status, answer) = spread.join().unwrap();
        assert_eq!(status, 503, "{answer}");
        assert_eq!(answer["error"]["reason"], "deadline", "{answer}");
        assert_eq!(answer["error"]["not_run"], true, "{answer}");
    });
    bench.engines.iter().for_each(|engine| engine.freeze(false));
    bench.until_free();
    assert_eq!(bench.ran(&prompt), 0);
}

#[rstest]
#[case::not_declared(false, 1)]
#[case::too_long_for_all(true, 3)]
fn what_no_span_can_hold_is_refused_as_not_run(#[case] span: bool, #[case] times: usize) {
    let bench = bench(FAST, span);
    let prompt = long().repeat(times);
    let (status, answer) = bench.complete(&prompt, 30_000);
    assert_eq!(status, 413, "{answer}");
    assert_eq!(
        answer["error"]["reason"], "prompt_exceeds_memory",
        "{answer}"
    );
    assert_eq!((bench.ran(&prompt), bench.count("begun")), (0, 0));
}

#[test]
fn engines_that_import_whole_copies_refuse_and_hold_nothing() {
    let bench = bench_with(true, || start_engine(FAST, 1));
    let prompt = long();
    let (status, answer) = bench.complete(&prompt, 3_000);
    assert_eq!(status, 503, "{answer}");
    assert_eq!(answer["error"]["not_run"], true, "{answer}");
    assert_eq!(bench.ran(&prompt), 0);
    bench.until_free();
}

#[test]
fn a_durable_request_is_answered_whole() {
    let bench = bench(FAST, true);
    let memory = Arc::new(Memory::default());
    let changes = platform::changes(table(&bench.sidecars, true));
    platform::apply(&memory, "first", changes);
    let gateway = platform::start(&memory, "g1", Vec::new());
    let known = || {
        let view = gateway.core().view();
        let known = |endpoint: &&Arc<Endpoint>| endpoint.load.kv_capacity_tokens > 0;
        view.endpoints.iter().flatten().filter(known).count()
    };
    until("reports of memory", || known() == ENGINES);
    let url = |path: &str| format!("http://{}{path}", gateway.address());
    let prompt = long();
    let body = json!({"model": "m", "prompt": prompt, "max_tokens": 20}).to_string();
    let mut accepted = Value::Null;
    until("its promise", || {
        let request = attohttpc::post(url("/v1/completions")).bearer_auth(KEY);
        let request = request.header("Prefer", "respond-async");
        let request = request.header("Idempotency-Key", "audit-7");
        let response = request.text(&body).send().unwrap();
        let promised = response.status().as_u16() == 202;
        accepted = response.json().unwrap();
        promised
    });
    let status_url = accepted["status_url"].as_str().unwrap();
    let get = |path: &str| -> Value {
        let request = attohttpc::get(url(path)).bearer_auth(KEY);
        request.send().unwrap().json().unwrap()
    };
    until("its end", || get(status_url)["state"] == "answered");
    let result = get(&format!("{status_url}/result"));
    assert_eq!(text(&result), expected(&prompt, 20));
    assert_eq!(bench.ran(&prompt), 1);
    bench.until_free();
}
