//! Hosts get SIGTERM in turn while requesters read their streams slowly, as over a link of about one Mbit/s.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::relay::network;
use crate::relay::Relay;
use crate::relay::SLOW_READERS;
use crate::store::Store;
use crate::Outcome;
use crate::Record;

/// Events of a whole stream, more for each further host, and bytes of each.
const EVENTS: usize = 318;
const MORE_EVENTS: usize = 4;
const EVENT_BYTES: usize = 1_000;

/// Events that a worker makes in one pass and sends together, and the time between two passes: it is done after less than
/// two seconds.
const PASS_EVENTS: usize = 8;
const PASS_INTERVAL: Duration = Duration::from_millis(15);

/// Bytes that a requester reads at a time, and its pause after them: 100 kB a second at most; the receive buffer makes it about half.
const STEP_BYTES: usize = 2_000;
const STEP_PAUSE: Duration = Duration::from_millis(20);

/// Receive buffer of a requester, in bytes.
const RECEIVE_BUFFER_BYTES: i32 = 16 * 1024;

/// Hosts, each of which gets one request at the same time, and the time between two SIGTERMs.
const HOSTS: usize = 5;
const SIGTERM_INTERVAL: Duration = Duration::from_millis(200);

/// How often all hosts are stopped in turn.
const ROUNDS: usize = 2;

/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

const CONFIG: &str = "{\"version\":7,\"routes\":[\
    {\"name\":\"audit\",\"host\":\"shop.example\",\"pathPrefix\":\"/audit/\",\"kind\":\"streaming\",\"timeoutMs\":15000,\
    \"targetLatencyMs\":3000,\"gapAimMs\":1000,\"priority\":1,\"service\":\"savjetnik-llm\",\"maxAttempts\":2,\"public\":false,\
    \"sessionAffinity\":true,\"streamResume\":true}],\
    \"services\":[{\"name\":\"savjetnik-llm\",\"healthPath\":\"/health\",\"maxConnections\":621,\"protocol\":\"h1\",\"tls\":false,\
    \"engine\":{\"slots\":12,\"kvCapacityTokens\":197200,\"stride\":48,\"step_ms\":1.02,\"per_seq_ms\":0.00425,\
    \"context_per_k\":0.00285,\"read_per_s\":206000.0,\"pairs_per_m\":0.184,\"chunk\":2048,\
    \"usual\":{\"prompt\":11121,\"answer\":1622}}}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
    \"tenants\":[{\"name\":\"depot\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";

/// Number of events of the stream that the request of a host asks for.
fn events_of(number: usize) -> usize {
    EVENTS + MORE_EVENTS * number
}

fn event_text(event: usize, events: usize) -> String {
    let start = format!("id: {event}\ndata: token {event} of {events} ");
    let filling = ".".repeat(EVENT_BYTES - start.len() - 2);
    format!("{start}{filling}\n\n")
}

/// Serves one request of a worker: a whole stream after the last event that the request names.
fn answer(mut connection: Connection, id: &str, record: &Record) {
    let Some(request) = connection.read_request() else { return };
    let request_id = request.header("request-id").unwrap_or("").to_string();
    if request.header("expect-instance").is_some_and(|expected| expected != id) {
        connection.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    if request.target() == "/order" {
        connection.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n{\"free\":1}\n");
        return;
    }
    let number = request.target().rsplit('/').next().and_then(|number| number.parse().ok()).unwrap_or(0);
    let events = events_of(number);
    let after: usize = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    record.line(&format!("{request_id}: runs at {id}, after event {after}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: {id}.1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let mut is_open = connection.write(head.as_bytes());
    let left: Vec<usize> = (after + 1..=events).collect();
    for pass in left.chunks(PASS_EVENTS) {
        let text: String = pass.iter().map(|event| event_text(*event, events)).collect();
        is_open = is_open && connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        if !is_open {
            record.line(&format!("{request_id}: {id} finds its channel closed before event {}", pass[0]));
            return;
        }
        thread::sleep(PASS_INTERVAL);
    }
    connection.write(b"0\r\n\r\n");
    record.line(&format!("{request_id}: {id} has sent its whole stream"));
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Limits what the system reads in the requester's place.
fn set_receive_buffer(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the descriptor is open, and the value outlives the call.
    let result = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER_BYTES, 4) };
    assert_eq!(result, 0, "the receive buffer can't be set");
}

/// Reads a response in small steps until its last chunk or the end of the channel.
fn read_slowly(stream: &mut TcpStream) -> Vec<u8> {
    let mut text = Vec::new();
    let mut step = [0; STEP_BYTES];
    while !text.ends_with(b"\r\n0\r\n\r\n") {
        match stream.read(&mut step) {
            Ok(0) | Err(_) => break,
            Ok(length) => text.extend_from_slice(&step[..length]),
        }
        thread::sleep(STEP_PAUSE);
    }
    text
}

/// Sends a request and reads its response slowly; returns whether it was complete.
fn send_request(round: usize, number: usize, address: SocketAddr, record: &Record) -> bool {
    let id = format!("a{round}x{number}");
    let text = format!(
        "POST /audit/{number} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nCredential: key-1\r\nModel: m\r\n\
         Token-Count: 4960,20400\r\nPrompt-Prefix: 5c1e07a2:40,{number:x}:4920\r\nDeadline-Ms: 15000\r\n\
         Content-Length: 5\r\n\r\nhello"
    );
    let sent = Instant::now();
    let Some(mut connection) = Connection::open(address, Duration::from_secs(1)) else {
        record.line(&format!("{id}: no channel"));
        return false;
    };
    set_receive_buffer(&connection.stream);
    connection.write(text.as_bytes());
    record.line(&format!("{id}: all sent"));
    let response = read_slowly(&mut connection.stream);
    let text = String::from_utf8_lossy(&response);
    let is_complete = text.starts_with("HTTP/1.1 200") && response.ends_with(b"\r\n0\r\n\r\n");
    let (events, wanted) = (text.matches("\n\n").count(), events_of(number));
    record.line(&format!(
        "{id}: {} with {events} of {wanted} whole events and {} bytes after {} ms, {}",
        text.lines().next().unwrap_or("no answer"),
        response.len(),
        sent.elapsed().as_millis(),
        if is_complete { "complete" } else { "the channel ended without a complete answer" }
    ));
    is_complete && events == wanted
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> Outcome {
    let net = network();
    let store = Store::start(&format!("{net}.200"));
    store.write("op", "config", Some(CONFIG));
    for n in 1..=6 {
        let (id, ip) = (format!("i-{n}"), format!("{net}.{}", 100 + n));
        let listener = TcpListener::bind((ip.as_str(), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let entry = format!(
            "{{\"service\":\"savjetnik-llm\",\"address\":\"{address}\",\"zone\":\"zagreb-a\",\"version\":\"v1\",\"slots\":12,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}}"
        );
        store.write("servers", &id, Some(&entry));
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record) = (id.clone(), record.clone());
                thread::spawn(move || answer(Connection::new(stream), &id, &record));
            }
        });
    }
    let ips: Vec<String> = (1..=HOSTS).map(|n| format!("{net}.{n}")).collect();
    let cut: usize = (1..=ROUNDS).map(|round| roll(round, &ips, &store, scratch, has_trouble, record)).sum();
    let all = ROUNDS * HOSTS;
    record.line(&format!("{cut} of {all} requests that were read before SIGTERM ended without a complete answer"));
    match cut {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// Starts all hosts, sends each a request and stops them in turn; returns how many requests were cut off.
fn roll(round: usize, ips: &[String], store: &Store, scratch: &Path, has_trouble: bool, record: &Record) -> usize {
    record.line(&format!("round {round}: hosts start"));
    let start = |(n, ip): (usize, &String)| {
        Relay::start_at(&SLOW_READERS, scratch, &format!("front-{}", n + 1), "zagreb-a", ip, ips, store.address)
    };
    let mut relays: Vec<Relay> = ips.iter().enumerate().map(start).collect();
    thread::sleep(Duration::from_secs(4));
    let mut requesters = Vec::new();
    for (number, relay) in relays.iter().enumerate() {
        let (address, record) = (relay.client, record.clone());
        requesters.push(thread::spawn(move || send_request(round, number, address, &record)));
    }
    let mut signalled = vec![None; HOSTS];
    for (n, relay) in relays.iter().enumerate() {
        thread::sleep(SIGTERM_INTERVAL);
        if has_trouble {
            let signal = Command::new("sh").args(["-c", &format!("kill -TERM {}", relay.child.id())]).status();
            assert!(signal.is_ok_and(|status| status.success()));
            signalled[n] = Some(Instant::now());
            record.line(&format!("front-{} got SIGTERM", n + 1));
        }
    }
    while has_trouble && signalled.iter().any(Option::is_some) {
        for (n, relay) in relays.iter_mut().enumerate() {
            let Some(at) = signalled[n] else { continue };
            if let Some(status) = relay.child.try_wait().expect("a state") {
                record.line(&format!("front-{} has ended by itself, {} ms after SIGTERM: {status}", n + 1, at.elapsed().as_millis()));
                signalled[n] = None;
            } else if at.elapsed() >= GRACE {
                let _ = relay.child.kill();
                record.line(&format!("front-{} got SIGKILL", n + 1));
                signalled[n] = None;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    let whole = requesters.into_iter().map(|requester| requester.join().unwrap_or(false));
    whole.filter(|is_whole| !is_whole).count()
}
