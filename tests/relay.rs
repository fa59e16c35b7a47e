//! `marigoldstage relay` as a process: settings, signals, and requests during shutdown.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

mod common;
mod relay_process;

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::addresses::own_addresses;
use common::marigoldstage;
use common::wait_until;
use relay_process::settings;
use relay_process::Relay;
use rustix::process::Signal;
use serde_json::json;
use standin::client::read_response;
use standin::client::request;
use standin::client::send;
use standin::client::stream_text;
use standin::client::ClientRequest;
use standin::endpoint::Behaviour;
use standin::endpoint::Endpoint;
use standin::gateway::configuration;
use standin::gateway::configuration_with_timeout;
use standin::gateway::store_with;
use standin::store::Store;

/// Guards against the default action of SIGHUP, which ended the relays of three hosts and lost their requests.
#[test]
fn a_hangup_signal_reloads_the_settings_and_ends_nothing() {
    let endpoint = Endpoint::start("i-1", "desk", &[Behaviour::Answer]);
    let store = store_with(&[&endpoint]);
    let relay = Relay::start(&store);
    let other_store = store_with(&[&endpoint]);
    other_store.put("op", "config", &configuration(77));
    let text = std::fs::read_to_string(&relay.settings).expect("the settings");
    let text = text.replace(&store.address.to_string(), &other_store.address.to_string());
    std::fs::write(&relay.settings, text).expect("the settings");
    let calls_before = other_store.calls();
    relay.signal(Signal::HUP);
    wait_until("calls to the other store", || {
        other_store.calls() > calls_before
    });
    assert_eq!(
        request(relay.client_address, &ClientRequest::to("/safe/1")).status,
        200
    );
}

#[test]
fn invalid_settings_are_not_applied() {
    let endpoint = Endpoint::start("i-1", "desk", &[Behaviour::Answer]);
    let store = store_with(&[&endpoint]);
    let relay = Relay::start(&store);
    std::fs::write(&relay.settings, "nonsense").expect("the settings");
    relay.signal(Signal::HUP);
    thread::sleep(Duration::from_millis(200));
    assert_eq!(
        request(relay.client_address, &ClientRequest::to("/safe/1")).status,
        200
    );
}

/// Guards against a stop that cuts an open stream, or refuses requests while the load balancer still sends some. The
/// engine holds back the rest of the stream until the host has closed an idle connection, which it does when it accepts
/// no further requests.
#[test]
fn a_stop_finishes_what_is_open_and_tells_the_balancer_first() {
    const EVENTS: u32 = 120;
    let script = [Behaviour::HeldStream(EVENTS), Behaviour::Stream(2)];
    let engine = Endpoint::start("i-1", "model", &script);
    let store = store_with(&[&engine]);
    store.put("op", "config", &configuration_with_timeout("talk", 60_000));
    let mut relay = Relay::start(&store);
    let prompt = |path: &str| ClientRequest {
        deadline_ms: 60_000,
        ..ClientRequest::to(path).with_header("Token-Count", "900,200")
    };
    let mut open_stream = send(relay.client_address, &prompt("/talk/1"));
    wait_until("the stream at the engine", || {
        !engine.received_requests().is_empty()
    });
    let mut idle = TcpStream::connect(relay.client_address).expect("a relay");
    idle.set_read_timeout(Some(Duration::from_secs(10)))
        .expect("a timeout");
    relay.signal(Signal::TERM);
    wait_until("not ready", || relay.readiness() == 503);
    let late = request(relay.client_address, &prompt("/talk/2"));
    assert!(
        late.is_complete && late.status == 200,
        "the load balancer may not have noticed yet: {late:?}"
    );
    assert_eq!(late.head.header("connection"), Some("close"));
    let closed = idle.read(&mut [0]).expect("the end of the connection");
    assert_eq!(closed, 0);
    // A host that doesn't wait for the stream ends within 0.1 s.
    thread::sleep(Duration::from_millis(500));
    engine.release_streams();
    let response = read_response(&mut open_stream);
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.body, stream_text(EVENTS));
    let status = relay.child.wait().expect("an end");
    assert!(status.success(), "{status}");
}

/// The engine has long finished, and only the host holds the rest of the stream.
#[test]
fn a_stop_delivers_what_a_slow_client_has_yet_to_read() {
    let engine = Endpoint::start("i-1", "model", &[Behaviour::LargeStream(600, 16 * 1024)]);
    let store = store_with(&[&engine]);
    let mut relay = Relay::start(&store);
    let stream_request = ClientRequest::to("/review/1").with_header("Token-Count", "900,200");
    let mut open_stream = send(relay.client_address, &stream_request);
    thread::sleep(Duration::from_millis(1_500));
    relay.signal(Signal::TERM);
    wait_until("not ready", || relay.readiness() == 503);
    thread::sleep(Duration::from_millis(500));
    let response = read_response(&mut open_stream);
    assert!(response.is_complete, "{} bytes", response.body.len());
    let status = relay.child.wait().expect("an end");
    assert!(status.success(), "{status}");
}

#[test]
fn all_invalid_settings_are_reported_before_anything_starts() {
    let path =
        std::env::temp_dir().join(format!("marigoldstage-faulty-{}.toml", std::process::id()));
    let store = SocketAddr::from(([127, 0, 0, 1], 1));
    let text = settings(own_addresses(), store).replace("127.0.0.1:1\"", "nowhere\"");
    std::fs::write(&path, text.replace("graceS = 8", "graceS = 0")).expect("a temporary file");
    let output = marigoldstage()
        .args(["relay", "--settings"])
        .arg(&path)
        .output()
        .expect("the program");
    std::fs::remove_file(&path).expect("the file");
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("bounds.graceS"), "{stderr}");
    assert!(stderr.contains("platformSettings.address"), "{stderr}");
}

/// Two long prompts at a host whose engines all prefill the first one, so that the second waits for its turn.
struct QueuedPrompt {
    relay: Relay,
    engines: Vec<Endpoint>,
    running: TcpStream,
    waiting: TcpStream,
    _store: Store,
}

impl QueuedPrompt {
    fn start() -> Self {
        let engines: Vec<Endpoint> = (1..=3)
            .map(|number| Endpoint::start(&format!("i-{number}"), "model", &[Behaviour::Hang]))
            .collect();
        let all: Vec<&Endpoint> = engines.iter().collect();
        let store = store_with(&all);
        // The timeout exceeds the time that the host may take to stop, and the first prompt is not retried.
        let mut long_timeouts = configuration(2);
        for route in long_timeouts["routes"].as_array_mut().expect("routes") {
            if route["name"] == "review" {
                route["timeoutMs"] = json!(14_000);
                route["streamResume"] = json!(false);
            }
        }
        store.put("op", "config", &long_timeouts);
        let relay = Relay::start(&store);
        let long = ClientRequest {
            deadline_ms: 14_000,
            ..ClientRequest::to("/review/1").with_header("Token-Count", "90000,200")
        };
        let running = send(relay.client_address, &long);
        let request_count = || {
            engines
                .iter()
                .map(|engine| engine.received_requests().len())
                .sum::<usize>()
        };
        wait_until("the first prompt at an engine", || request_count() == 1);
        let waiting = send(relay.client_address, &long);
        thread::sleep(Duration::from_millis(300));
        assert_eq!(request_count(), 1, "the second prompt waits");
        Self {
            engines,
            relay,
            running,
            waiting,
            _store: store,
        }
    }

    fn request_count(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.received_requests().len())
            .sum()
    }
}

/// A stopping host must not cut a long prompt that waits for its turn, since the client would see a closed connection.
/// Nor may it refuse the prompt at once: that uses up the only retry of the client, while as many waiting prompts get
/// their turn at stopping hosts as at others.
#[test]
fn a_stop_refuses_a_queued_prompt_before_it_would_be_cut() {
    let mut queued = QueuedPrompt::start();
    let start = Instant::now();
    queued.relay.signal(Signal::TERM);
    let answer = read_response(&mut queued.waiting);
    assert_eq!(answer.status, 503);
    assert!(answer.head.header("retry-after").is_some(), "{answer:?}");
    // Open requests are cut after 7.7 s.
    let took = start.elapsed();
    assert!(took < Duration::from_secs(7), "took {took:?}");
    assert_eq!(queued.request_count(), 1, "the second prompt has not run");
}

#[test]
fn a_stop_serves_a_queued_prompt_whose_turn_comes_in_time() {
    let mut queued = QueuedPrompt::start();
    queued.relay.signal(Signal::TERM);
    thread::sleep(Duration::from_millis(500));
    for engine in &queued.engines {
        engine.set_behaviour(Behaviour::Stream(2));
    }
    // The client of the first prompt disconnects, which frees the engines.
    drop(queued.running);
    let answer = read_response(&mut queued.waiting);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.is_complete);
}
