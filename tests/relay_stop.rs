//! What clients get of their responses while a host stops, and how long the stop takes.

#[path = "../platform/tests/standin/mod.rs"]
mod standin;

mod common;
mod relay_process;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::wait_until;
use relay_process::Relay;
use rstest::rstest;
use rustix::process::Signal;
use standin::client::read_response;
use standin::client::send;
use standin::client::send_on;
use standin::client::send_slowly_read;
use standin::client::try_send;
use standin::client::ClientRequest;
use standin::client::Response;
use standin::endpoint::Behaviour;
use standin::endpoint::Endpoint;
use standin::gateway::configuration_with_timeout;
use standin::gateway::store_with;
use standin::gateway::API_KEY;
use standin::gateway::HOST_NAME;
use standin::store::Store;

/// Payload of an event, in bytes.
const EVENT_BYTES: usize = 1_000;

/// Settings of a host with a memory limit, which bounds the send buffers of its clients.
const MEMORY_LIMIT: &str = "[limits]\nmemoryMb = 260\n";

/// Time from the signal to the end of a host that has nothing to deliver, with some to spare.
const IDLE_STOP_MAX: Duration = Duration::from_millis(3_800);

/// Time from the signal until the platform kills the process.
const GRACE: Duration = Duration::from_secs(8);

fn prompt() -> ClientRequest {
    ClientRequest {
        deadline_ms: 30_000,
        ..ClientRequest::to("/talk/1").with_header("Token-Count", "900,200")
    }
}

/// An engine whose streams have this many events, and a store with time for clients that read slowly.
fn engine_with_store(events: u32) -> (Endpoint, Store) {
    let stream = Behaviour::LargeStream(events, EVENT_BYTES);
    let engine = Endpoint::start("i-1", "model", &[stream]);
    let store = store_with(&[&engine]);
    store.put("op", "config", &configuration_with_timeout("talk", 30_000));
    (engine, store)
}

/// Sends a prompt on a connection that reads nothing yet, and waits until the engine has ended the stream.
fn send_unread(relay: &Relay, engine: &Endpoint) -> TcpStream {
    let client = send_slowly_read(relay.client_address, &prompt());
    wait_until("the stream at the engine", || !engine.runs().is_empty());
    thread::sleep(Duration::from_millis(500));
    client
}

/// Time from now to the end of the process, which ends by itself.
fn time_to_end(relay: &mut Relay) -> Duration {
    let start = Instant::now();
    let status = relay.child.wait().expect("an end");
    assert!(status.success(), "{status}");
    start.elapsed()
}

/// Stops a host while its client has read nothing of a stream of this many events; the client reads it when a host that
/// waits for nothing has ended.
fn read_after_stop(events: u32) -> Response {
    let (engine, store) = engine_with_store(events);
    let mut relay = Relay::start_with(&store, MEMORY_LIMIT);
    let mut client = send_unread(&relay, &engine);
    relay.signal(Signal::TERM);
    thread::sleep(IDLE_STOP_MAX);
    let response = read_response(&mut client);
    assert!(time_to_end(&mut relay) < Duration::from_secs(1));
    response
}

/// Guards against a stop that cuts off streams whose end is in the HTTP library's buffer, as far as their clients read
/// slowly. Streams of several lengths, since only those just above what the system buffers end there.
#[test]
fn a_stop_delivers_the_end_of_streams_that_the_http_library_holds() {
    let lengths: Vec<u32> = (120..=180).step_by(6).collect();
    let responses: Vec<(u32, Response)> = thread::scope(|scope| {
        let stops = lengths.iter().map(|events| {
            let events = *events;
            (events, scope.spawn(move || read_after_stop(events)))
        });
        let stops: Vec<_> = stops.collect();
        let responses = stops.into_iter();
        responses
            .map(|(events, stop)| (events, stop.join().expect("a response")))
            .collect()
    });
    let cut_off: Vec<u32> = responses
        .iter()
        .filter(|(_, response)| !response.is_complete)
        .map(|(events, _)| *events)
        .collect();
    assert!(cut_off.is_empty(), "cut off, by events: {cut_off:?}");
}

/// Guards against a connection that is closed while the next request waits unread in its socket: the system then resets
/// it, and the client loses what it has yet to read.
#[test]
fn a_stop_delivers_a_stream_to_a_client_that_has_sent_its_next_request() {
    let (engine, store) = engine_with_store(200);
    let mut relay = Relay::start_with(&store, MEMORY_LIMIT);
    let client = send_unread(&relay, &engine);
    let mut client = send_on(client, &prompt());
    relay.signal(Signal::TERM);
    thread::sleep(IDLE_STOP_MAX);
    let response = read_response(&mut client);
    assert!(response.is_complete, "{} bytes", response.body.len());
    assert!(time_to_end(&mut relay) < Duration::from_secs(2));
}

/// Guards against a stop that waits for connections on which nothing is to be delivered.
#[test]
fn a_stop_with_idle_connections_ends_early() {
    let (_engine, store) = engine_with_store(1);
    let mut relay = Relay::start_with(&store, MEMORY_LIMIT);
    let _idle = TcpStream::connect(relay.client_address).expect("a relay");
    let mut half_a_head = TcpStream::connect(relay.client_address).expect("a relay");
    half_a_head
        .write_all(b"POST /talk/1 HTTP/1.1\r\nHost: ")
        .expect("a relay");
    relay.signal(Signal::TERM);
    assert!(time_to_end(&mut relay) < IDLE_STOP_MAX);
}

/// Guards against a stop that waits for clients that have disconnected.
#[test]
fn a_stop_whose_clients_have_left_ends_early() {
    let (engine, store) = engine_with_store(170);
    let mut relay = Relay::start_with(&store, MEMORY_LIMIT);
    let client = send_unread(&relay, &engine);
    relay.signal(Signal::TERM);
    thread::sleep(Duration::from_millis(500));
    drop(client);
    assert!(time_to_end(&mut relay) < IDLE_STOP_MAX);
}

/// Guards against a stop that waits for a client that never reads until the process is killed.
#[test]
fn a_client_that_never_reads_holds_a_stop_within_the_grace_only() {
    let (engine, store) = engine_with_store(2_000);
    let mut relay = Relay::start_with(&store, MEMORY_LIMIT);
    let _client = send_unread(&relay, &engine);
    relay.signal(Signal::TERM);
    assert!(time_to_end(&mut relay) < GRACE);
}

/// An endpoint that answers after this time, and a store whose routes allow a request this long.
fn desk_with_store(answer_after: Duration, timeout_ms: u64) -> (Endpoint, Store) {
    let answer = Behaviour::AnswerAfter(answer_after.as_millis() as u64);
    let desk = Endpoint::start("i-1", "desk", &[answer]);
    let store = store_with(&[&desk]);
    store.put(
        "op",
        "config",
        &configuration_with_timeout("once", timeout_ms),
    );
    (desk, store)
}

/// A request that may run once, and whose client waits for long.
fn once() -> ClientRequest {
    ClientRequest {
        deadline_ms: 30_000,
        ..ClientRequest::to("/once/1")
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Guards against requests that were passed on, and whose connection is closed at the end of a stop without an answer.
#[test]
fn requests_that_run_at_the_end_of_a_stop_are_told_so() {
    let (desk, store) = desk_with_store(Duration::from_secs(20), 30_000);
    let mut relay = Relay::start_with(&store, MEMORY_LIMIT);
    let mut clients = vec![send(relay.client_address, &once())];
    wait_until("the first run", || desk.runs().len() == 1);
    let signal_at = Instant::now();
    relay.signal(Signal::TERM);
    for at_s in [1, 2] {
        sleep_until(signal_at + Duration::from_secs(at_s));
        clients.push(send(relay.client_address, &once()));
    }
    for mut client in clients {
        let response = read_response(&mut client);
        assert!(response.is_complete, "{response:?}");
        // It may have run, so that nothing else may be said.
        assert!([502, 504].contains(&response.status), "{response:?}");
    }
    time_to_end(&mut relay);
    assert!(signal_at.elapsed() < GRACE);
}

/// Sends a request whose body is complete only at this time.
fn send_slowly(relay: &Relay, end_at: Instant) -> TcpStream {
    let mut stream = TcpStream::connect(relay.client_address).expect("a relay");
    let timeout = Some(Duration::from_secs(10));
    stream.set_read_timeout(timeout).expect("a timeout");
    let head = format!(
        "POST /once/1 HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: r-1\r\nDeadline-Ms: 30000\r\n\
         Credential: {API_KEY}\r\nContent-Length: 10\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("a relay");
    for part in 0..10 {
        let left = end_at.saturating_duration_since(Instant::now());
        thread::sleep(left / (10 - part));
        stream.write_all(b"u").expect("a relay that reads");
    }
    stream
}

/// Guards against a request that is passed on late in the grace, since its body took long, though it can't be sure to end
/// before the process does: another host could run it.
#[rstest]
#[case::that_may_take_longer_than_the_rest_of_the_grace(30_000, 503, 0)]
#[case::that_ends_in_time(800, 200, 1)]
fn a_body_that_ends_late_in_a_stop(
    #[case] timeout_ms: u64,
    #[case] status: u16,
    #[case] run_count: usize,
) {
    let (desk, store) = desk_with_store(Duration::from_millis(100), timeout_ms);
    let relay = Relay::start_with(&store, MEMORY_LIMIT);
    let signal_at = Instant::now();
    relay.signal(Signal::TERM);
    let upload_ms = match run_count {
        0 => 5_000,
        _ => 3_000,
    };
    sleep_until(signal_at + Duration::from_millis(2_500));
    let mut client = send_slowly(&relay, signal_at + Duration::from_millis(upload_ms));
    let response = read_response(&mut client);
    assert_eq!((response.status, response.is_complete), (status, true));
    assert_eq!(desk.runs().len(), run_count);
}

/// Guards against a second signal that ends the process at once.
#[test]
fn a_second_signal_changes_nothing() {
    let (desk, store) = desk_with_store(Duration::from_secs(4), 30_000);
    let relay = Relay::start_with(&store, MEMORY_LIMIT);
    let mut client = send(relay.client_address, &once());
    wait_until("the run", || desk.runs().len() == 1);
    for _ in 0..2 {
        relay.signal(Signal::TERM);
        thread::sleep(Duration::from_secs(1));
    }
    let response = read_response(&mut client);
    assert_eq!((response.status, response.is_complete), (200, true));
}

/// Sends requests on one connection, and on a new one after each refusal or close, until nobody listens any more. Returns
/// the number of answers, and whether a request that was read got none.
fn send_until_gone(relay: &Relay, number: usize) -> (usize, Vec<Response>) {
    let mut answered = 0;
    let mut unanswered = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(relay.client_address) {
        for sequence in 0.. {
            let request = ClientRequest {
                request_id: format!("r-{number}-{answered}-{sequence}"),
                ..once()
            };
            let Some(sent) = try_send(&stream, &request) else {
                break;
            };
            stream = sent;
            let response = read_response(&mut stream);
            match (response.is_complete, response.status) {
                (true, 200) => answered += 1,
                (true, _) => break,
                (false, _) => {
                    unanswered.push(response);
                    break;
                }
            }
            let is_last = response.head.header("connection") == Some("close");
            if is_last {
                break;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    (answered, unanswered)
}

/// Guards against requests on kept connections that are taken late in a stop and cut off at its end.
#[test]
fn whatever_runs_during_a_stop_is_answered() {
    const CLIENTS: usize = 16;
    let (desk, store) = desk_with_store(Duration::from_millis(700), 5_000);
    let mut relay = Relay::start_with(&store, MEMORY_LIMIT);
    relay.discard_log();
    let seen: Vec<(usize, Vec<Response>)> = thread::scope(|scope| {
        let shared = &relay;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || send_until_gone(shared, number)))
            .collect();
        thread::sleep(Duration::from_millis(500));
        relay.signal(Signal::TERM);
        let ended = clients.into_iter().map(|client| client.join());
        ended.map(|seen| seen.expect("a client")).collect()
    });
    let answered: usize = seen.iter().map(|(answered, _)| answered).sum();
    assert_eq!(answered, desk.runs().len(), "{seen:?}");
    time_to_end(&mut relay);
}
