//! `marigoldstage relay` as a process: settings, signals, and requests around a stop.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::marigoldstage;
use common::wait_until;
use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::json;
use standin::client::read_response;
use standin::client::request;
use standin::client::send;
use standin::client::ClientRequest;
use standin::endpoint::Behaviour;
use standin::endpoint::Endpoint;
use standin::gateway::configuration;
use standin::gateway::store_with;
use standin::store::Store;

struct Relay {
    child: Child,
    client: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
}

impl Drop for Relay {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Ports that were free a moment ago.
fn free_ports<const N: usize>() -> [u16; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address").port())
}

fn settings(ports: [u16; 4], store: SocketAddr) -> String {
    let [client, ready, peer, metrics] = ports;
    format!(
        "nodeName = \"front-1\"\nzone = \"north\"\nip = \"127.0.0.1\"\n\
         internalPortRange = [{peer}, {metrics}]\nseedNodes = []\n\
         [listen]\nfront = \"127.0.0.1:{client}\"\nready = \"127.0.0.1:{ready}\"\n\
         [bounds]\ngraceS = 8\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n\
         budgetExtraRetries = 100\n[platformSettings]\naddress = \"{store}\"\n"
    )
}

impl Relay {
    /// Starts one; ports that were free may be taken by the time it binds them, then others are tried.
    fn start(store: &Store) -> Self {
        const TRIES: usize = 5;
        for _ in 0..TRIES {
            if let Some(relay) = Self::try_start(store) {
                return relay;
            }
        }
        panic!("no free ports");
    }

    fn try_start(store: &Store) -> Option<Self> {
        let ports = free_ports::<4>();
        let file = format!(
            "marigoldstage-relay-{}-{}.toml",
            std::process::id(),
            ports[0]
        );
        let path = std::env::temp_dir().join(file);
        std::fs::write(&path, settings(ports, store.address)).expect("a temporary file");
        let child = marigoldstage()
            .arg("relay")
            .args(["--metrics-port", &ports[3].to_string()])
            .env("MARIGOLDSTAGE_BOOT", &path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program");
        let mut relay = Self {
            child,
            client: SocketAddr::from(([127, 0, 0, 1], ports[0])),
            ready: SocketAddr::from(([127, 0, 0, 1], ports[1])),
            settings: path,
        };
        let mut is_over = false;
        wait_until("readiness", || {
            is_over = relay.child.try_wait().expect("a state").is_some();
            is_over || relay.readiness() == 200
        });
        (!is_over).then_some(relay)
    }

    /// What the balancer is told; 0 without an answer.
    fn readiness(&self) -> u16 {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return 0;
        };
        let text = "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        match stream.write_all(text.as_bytes()) {
            Ok(()) => read_response(&mut stream).status,
            Err(_) => 0,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process lives");
    }
}

/// Three hosts of a bench day ended by SIGHUP, and the requests on them were lost.
#[test]
fn a_hangup_signal_reads_the_settings_and_ends_nothing() {
    let desk = Endpoint::start("i-1", "desk", &[Behaviour::Answer]);
    let store = store_with(&[&desk]);
    let relay = Relay::start(&store);
    let other = store_with(&[&desk]);
    other.put("op", "config", &configuration(77));
    let text = std::fs::read_to_string(&relay.settings).expect("the settings");
    let text = text.replace(&store.address.to_string(), &other.address.to_string());
    std::fs::write(&relay.settings, text).expect("the settings");
    let before = other.calls();
    relay.signal(Signal::HUP);
    wait_until("calls to the other store", || other.calls() > before);
    assert_eq!(
        request(relay.client, &ClientRequest::to("/safe/1")).status,
        200
    );
}

#[test]
fn faulty_settings_are_not_taken() {
    let desk = Endpoint::start("i-1", "desk", &[Behaviour::Answer]);
    let store = store_with(&[&desk]);
    let relay = Relay::start(&store);
    std::fs::write(&relay.settings, "nonsense").expect("the settings");
    relay.signal(Signal::HUP);
    thread::sleep(Duration::from_millis(200));
    assert_eq!(
        request(relay.client, &ClientRequest::to("/safe/1")).status,
        200
    );
}

#[test]
fn a_stop_finishes_what_is_open_and_tells_the_balancer_first() {
    let engine = Endpoint::start("i-1", "model", &[Behaviour::Stream(120)]);
    let store = store_with(&[&engine]);
    let mut relay = Relay::start(&store);
    let talk = ClientRequest::to("/talk/1").with_header("Token-Count", "900,200");
    let mut open = send(relay.client, &talk);
    wait_until("the stream at the engine", || {
        !engine.received_requests().is_empty()
    });
    relay.signal(Signal::TERM);
    wait_until("not ready", || relay.readiness() == 503);
    let late = request(
        relay.client,
        &ClientRequest::to("/talk/2").with_header("Token-Count", "900,200"),
    );
    assert!(
        late.is_complete,
        "the balancer may not have noticed yet: {late:?}"
    );
    assert_eq!(late.head.header("connection"), Some("close"));
    assert!(read_response(&mut open).is_complete);
    let status = relay.child.wait().expect("an end");
    assert!(status.success(), "{status}");
}

#[test]
fn all_faults_of_the_settings_are_told_before_anything_starts() {
    let path =
        std::env::temp_dir().join(format!("marigoldstage-faulty-{}.toml", std::process::id()));
    let ports = free_ports::<4>();
    let store = SocketAddr::from(([127, 0, 0, 1], 1));
    let text = settings(ports, store).replace("127.0.0.1:1\"", "nowhere\"");
    std::fs::write(&path, text.replace("graceS = 8", "graceS = 0")).expect("a temporary file");
    let output = marigoldstage()
        .args(["relay", "--settings"])
        .arg(&path)
        .output()
        .expect("the program");
    std::fs::remove_file(&path).expect("the file");
    assert!(!output.status.success());
    let told = String::from_utf8_lossy(&output.stderr);
    assert!(told.contains("bounds.graceS"), "{told}");
    assert!(told.contains("platformSettings.address"), "{told}");
}

/// Two long prompts at a host whose engines read for the first one only; the second waits for its turn.
struct Waits {
    relay: Relay,
    engines: Vec<Endpoint>,
    first: TcpStream,
    second: TcpStream,
    _store: Store,
}

impl Waits {
    fn start() -> Self {
        let engines: Vec<Endpoint> = (1..=3)
            .map(|number| Endpoint::start(&format!("i-{number}"), "model", &[Behaviour::Hang]))
            .collect();
        let all: Vec<&Endpoint> = engines.iter().collect();
        let store = store_with(&all);
        // Clients wait for longer than the host may take to stop, and nobody tries the first one again.
        let mut patient = configuration(2);
        for route in patient["routes"].as_array_mut().expect("routes") {
            if route["name"] == "review" {
                route["timeoutMs"] = json!(14_000);
                route["streamResume"] = json!(false);
            }
        }
        store.put("op", "config", &patient);
        let relay = Relay::start(&store);
        let long = ClientRequest {
            deadline_ms: 14_000,
            ..ClientRequest::to("/review/1").with_header("Token-Count", "90000,200")
        };
        let first = send(relay.client, &long);
        let seen = || {
            engines
                .iter()
                .map(|engine| engine.received_requests().len())
                .sum::<usize>()
        };
        wait_until("the first at an engine", || seen() == 1);
        let second = send(relay.client, &long);
        thread::sleep(Duration::from_millis(300));
        assert_eq!(seen(), 1, "the second waits");
        Self {
            engines,
            relay,
            first,
            second,
            _store: store,
        }
    }

    fn seen(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.received_requests().len())
            .sum()
    }
}

/// A host that stopped cut a long prompt that waited there for its turn, and its client saw a closed connection. Refused
/// at once, as was done next, it used up the only time that its client comes back, though it might have been served
/// here: of those that waited, as many found their turn at hosts that stop as elsewhere.
#[test]
fn a_stop_gives_back_what_waits_before_it_would_be_cut() {
    let mut waits = Waits::start();
    let start = Instant::now();
    waits.relay.signal(Signal::TERM);
    let answer = read_response(&mut waits.second);
    assert_eq!(answer.status, 503);
    assert!(answer.head.header("retry-after").is_some(), "{answer:?}");
    // What is open is cut after 7.7 s.
    let took = start.elapsed();
    assert!(took < Duration::from_secs(7), "took {took:?}");
    assert_eq!(waits.seen(), 1, "it has not run");
}

#[test]
fn a_stop_serves_what_waits_and_finds_its_turn_in_time() {
    let mut waits = Waits::start();
    waits.relay.signal(Signal::TERM);
    thread::sleep(Duration::from_millis(500));
    for engine in &waits.engines {
        engine.set_behaviour(Behaviour::Stream(2));
    }
    // Its client leaves, so the engines are free.
    drop(waits.first);
    let answer = read_response(&mut waits.second);
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.is_complete);
}
