//! End-to-end tests with real processes: stand-ins, sidecars and a gateway.

#![cfg(feature = "demo")]

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::cluster::endpoint_row;
use common::cluster::start_sidecar;
use common::cluster::write_initial_table;
use common::cluster::ANY_PORT;
use common::cluster::API_KEY;
use common::process::Process;
use marigoldstage::demo::client;
use marigoldstage::demo::client::Delivery;
use marigoldstage::demo::client::EndState;
use marigoldstage::demo::client::Request;
use mgs_platform::http;
use mgs_platform::table::Table as PlatformTable;
use mgs_schema::settings::EndpointKind;
use mgs_standin::engine::text::expected;
use serde_json::json;

const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Processes of a small cluster; `address` is where the gateway listens to clients.
struct Cluster {
    gateway: Process,
    address: SocketAddr,
    sidecar: Process,
    _other_processes: Vec<Process>,
}

impl Cluster {
    /// Starts one engine, one plain service, a sidecar for each, and a gateway.
    fn start() -> Self {
        let (platform, platform_url) = Process::start_standin("platform", &[]);
        let (engine, engine_url) = Process::start_standin("engine", &["--time-scale", "10"]);
        let (service, service_url) = Process::start_standin("service", &[]);
        let (sidecar, engine_sidecar_address) =
            start_sidecar("engine-1", "engine", &engine_url, &platform_url);
        let (service_sidecar, service_sidecar_address) =
            start_sidecar("stock-1", "service", &service_url, &platform_url);
        let endpoints = [
            endpoint_row(
                "engine-1",
                EndpointKind::Engine,
                engine_sidecar_address,
                "model-a",
            ),
            endpoint_row(
                "stock-1",
                EndpointKind::Service,
                service_sidecar_address,
                "stock",
            ),
        ];
        write_initial_table(&platform_url, &endpoints);
        let (gateway, address) = Process::start_role(
            "gateway",
            &[
                "--listen",
                ANY_PORT,
                "--peer-listen",
                ANY_PORT,
                "--admin",
                ANY_PORT,
                "--platform",
                &platform_url,
                "--leave-grace-ms",
                "100",
                "--caller-read-timeout-ms",
                "600000",
            ],
        );
        let cluster = Self {
            gateway,
            address,
            sidecar,
            _other_processes: vec![platform, engine, service, service_sidecar],
        };
        cluster.wait_until_serving();
        cluster
    }

    /// Waits until a request is answered; the first ones may arrive before the gateway has its settings and sessions.
    fn wait_until_serving(&self) {
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            let outcome = client::send(&self.completion("are you there", 1, false));
            if matches!(outcome.end_state, EndState::Answered { .. }) {
                return;
            }
            assert!(Instant::now() < end, "not serving: {outcome:?}");
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn completion(&self, prompt: &str, max_tokens: u64, is_streamed: bool) -> Request {
        let body = json!({
            "model": "model-a",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": is_streamed,
        });
        Request {
            url: format!("http://{}/v1/completions", self.address),
            bearer_key: API_KEY.to_string(),
            kind: "query".to_string(),
            body: body.to_string(),
            delivery: match is_streamed {
                true => Delivery::Streamed,
                false => Delivery::Buffered,
            },
            allotted_ms: 60_000,
            ..Request::default()
        }
    }
}

#[test]
fn a_streamed_answer_arrives_complete_through_all_processes() {
    let cluster = Cluster::start();
    let outcome = client::send(&cluster.completion("which trees are in stock", 40, true));
    let EndState::Answered { text, .. } = outcome.end_state else {
        panic!("{outcome:?}");
    };
    assert_eq!(text, expected("which trees are in stock", 40));

    let request = Request {
        url: format!("http://{}/services/stock/items/7", cluster.address),
        body: "{\"count\":2}".to_string(),
        ..cluster.completion("", 0, false)
    };
    let outcome = client::send(&request);
    let EndState::Answered { text, .. } = outcome.end_state else {
        panic!("{outcome:?}");
    };
    assert!(text.contains("/items/7"), "{text}");

    let wrong_key = Request {
        bearer_key: "nobody's".to_string(),
        ..cluster.completion("x", 1, false)
    };
    let refused = EndState::Refused("unauthenticated".to_string());
    assert_eq!(client::send(&wrong_key).end_state, refused);
}

/// A client that keeps its connection open recognises the end of the response by the last chunk alone.
#[test]
fn a_stream_ends_without_closing_the_connection() {
    let cluster = Cluster::start();
    let body = cluster.completion("short", 3, true).body;
    let mut stream = TcpStream::connect(cluster.address).unwrap();
    stream.set_read_timeout(Some(READY_TIMEOUT)).unwrap();
    write!(
        stream,
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {API_KEY}\r\n\
         Request-Kind: query\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n0\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).unwrap(), 1);
        response.extend(byte);
    }
    let response = String::from_utf8(response).unwrap();
    assert!(response.contains("data: [DONE]"), "{response}");
}

#[test]
fn a_termination_signal_cuts_off_no_request() {
    let mut cluster = Cluster::start();
    let request = cluster.completion("a long answer, please", 2_000, true);
    let response = attohttpc::post(&request.url)
        .header("Authorization", format!("Bearer {API_KEY}"))
        .header("Request-Kind", "query")
        .text(&request.body)
        .send()
        .unwrap();
    assert!(response.is_success(), "{:?}", response.status());
    let (_, _, reader) = response.split();
    let mut lines = BufReader::new(reader).lines();
    let first = lines.next().unwrap().unwrap();
    assert!(first.starts_with("data: "), "{first}");

    cluster.sidecar.terminate();
    cluster.gateway.terminate();
    let last = lines.map(Result::unwrap).filter(|line| !line.is_empty());
    assert_eq!(last.last().unwrap(), "data: [DONE]");
    assert!(cluster.gateway.wait().success());
    assert!(cluster.sidecar.wait().success());
}

#[test]
fn a_gateway_whose_name_is_taken_over_ends() {
    let (_platform, url) = Process::start_standin("platform", &[]);
    let arguments = [
        "--name",
        "gateway-1",
        "--listen",
        ANY_PORT,
        "--peer-listen",
        ANY_PORT,
        "--admin",
        ANY_PORT,
        "--platform",
        &url,
        "--member-renew-ms",
        "100",
        "--leave-grace-ms",
        "0",
    ];
    let (mut older, _) = Process::start_role("gateway", &arguments);
    let client = http::Client::new(http::Options {
        base_url: url.clone(),
        ..http::Options::default()
    });
    wait_for_row(&client, "member/gateway/gateway-1");
    let (newer, _) = Process::start_role("gateway", &arguments);
    assert_eq!(older.wait().code(), Some(1));
    drop(newer);
}

fn wait_for_row(client: &http::Client, key: &str) {
    let end = Instant::now() + READY_TIMEOUT;
    while PlatformTable::get(client, key).unwrap().is_none() {
        assert!(Instant::now() < end, "no row {key}");
        thread::sleep(Duration::from_millis(20));
    }
}
