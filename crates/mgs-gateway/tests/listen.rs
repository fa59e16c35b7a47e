//! Callers that are slow, silent, absurd or gone, and a listening socket that outlives its errors.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use mgs_gateway::gateway::Gateway;
use mgs_gateway::gateway::Options;
use mgs_gateway::listen;
use mgs_observe::metrics::Registry;
use mgs_transport::runtime::Runtime;
use rstest::rstest;
use serde_json::json;
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
    engine: Sidecar,
    gateway: Gateway,
    registry: Registry,
}

fn bench(script: Script, callers: listen::Options) -> Bench {
    let runtime = Runtime::new(&Default::default()).unwrap();
    let engine = sidecar(&runtime, script);
    let registry = Registry::new();
    let options = Options {
        callers,
        registry: registry.clone(),
        ..Options::default()
    };
    let gateway = gateway(snapshot(&[&engine], &[]), options);
    Bench {
        _runtime: runtime,
        engine,
        gateway,
        registry,
    }
}

impl Bench {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.gateway.address()).unwrap();
        stream.set_read_timeout(Some(WAIT)).unwrap();
        stream
    }

    fn metric(&self, name: &str) -> u64 {
        let text = self.registry.encode();
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.unwrap_or(" 0").trim().parse().unwrap()
    }

    fn status(&self) -> u16 {
        let response = attohttpc::post(format!("http://{}/v1/completions", self.gateway.address()))
            .bearer_auth(KEY)
            .timeout(WAIT)
            .json(&json!({"model": "m", "prompt": "olives?"}))
            .unwrap()
            .send();
        response.unwrap().status().as_u16()
    }
}

/// All that comes until the connection ends.
fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset is an end too.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn head(length: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\
         Connection: close\r\nContent-Length: {length}\r\n\r\n"
    )
}

#[rstest]
#[case("")]
#[case("POST /v1/compl")]
#[case("POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{")]
fn a_silent_caller_is_let_go(#[case] sent: &str) {
    let callers = listen::Options {
        read_timeout_ms: 300,
        probe_interval_ms: 50,
        ..listen::Options::default()
    };
    let bench = bench(Script::Answer(1), callers);
    let mut stream = bench.connect();
    stream.write_all(sent.as_bytes()).unwrap();
    assert_eq!(read_all(&mut stream), "");
    assert_eq!(bench.status(), 200);
}

#[test]
fn a_failed_accept_is_not_the_end() {
    let callers = listen::Options {
        read_timeout_ms: 200,
        probe_interval_ms: 3_600_000,
        ..listen::Options::default()
    };
    let bench = bench(Script::Answer(1), callers);
    until("failed accepts", || {
        bench.metric("mgs_gateway_accept_failures_total") >= 2
    });
    assert_eq!(bench.status(), 200);
}

#[test]
fn a_body_that_drips_is_refused() {
    let callers = listen::Options {
        body_timeout_ms: 200,
        ..listen::Options::default()
    };
    let bench = bench(Script::Answer(1), callers);
    let mut stream = bench.connect();
    stream.write_all(head("5000").as_bytes()).unwrap();
    let mut dripping = stream.try_clone().unwrap();
    std::thread::spawn(move || {
        while dripping.write_all(b" ").is_ok() {
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    let mut status = [0; 12];
    stream.read_exact(&mut status).unwrap();
    assert_eq!(&status, b"HTTP/1.1 400");
}

#[test]
fn an_absurd_length_harms_nobody_else() {
    let bench = bench(Script::Answer(1), listen::Options::default());
    let mut stream = bench.connect();
    stream.write_all(head("99999999999999").as_bytes()).unwrap();
    until("the count of it", || {
        bench.metric("mgs_gateway_callers_stuck_total") == 1
    });
    assert_eq!(bench.status(), 200);
}

#[rstest]
#[case("5\r\nContent-Length: 5", "400")]
#[case("5\r\nTransfer-Encoding: chunked", "400")]
#[case("+5", "400")]
#[case("99999999999999999999999", "400")]
#[case("9000000", "413")]
fn a_head_that_can_be_framed_in_two_ways_is_refused(#[case] length: &str, #[case] status: &str) {
    let bench = bench(Script::Answer(1), listen::Options::default());
    let mut stream = bench.connect();
    stream.write_all(head(length).as_bytes()).unwrap();
    stream.write_all(b"0\r\n\r\n").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let answer = read_all(&mut stream);
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(answer.contains(r#""not_run":true"#), "{answer}");
}

#[test]
fn one_request_too_many_is_refused() {
    let callers = listen::Options {
        open_max: 1,
        ..listen::Options::default()
    };
    let bench = bench(Script::Stall, callers);
    let mut stream = bench.connect();
    let body = r#"{"model": "m", "prompt": "a"}"#;
    let request = head(&body.len().to_string()) + body;
    stream.write_all(request.as_bytes()).unwrap();
    until("an open request", || {
        bench.gateway.core().open_requests() == 1
    });
    assert_eq!(bench.status(), 503);
}

#[test]
fn a_caller_that_goes_away_has_its_request_cancelled() {
    let bench = bench(Script::Drip, listen::Options::default());
    let mut stream = bench.connect();
    let body = r#"{"model": "m", "prompt": "a", "stream": true}"#;
    let request = head(&body.len().to_string()) + body;
    stream.write_all(request.as_bytes()).unwrap();
    let mut first = [0; 400];
    stream.read_exact(&mut first).unwrap();
    drop(stream);
    until("cancel", || {
        !bench.engine.fake.cancels.lock().unwrap().is_empty()
    });
    until("end", || bench.gateway.core().open_requests() == 0);
}
