//! Workers answer before they have read a long body, keep the channel and read on later, while a host's settings file
//! changes and the host gets SIGHUP.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::relay::network;
use crate::relay::Relay;
use crate::store::Store;
use crate::Outcome;
use crate::Record;

/// Bytes of a request's body; the configuration allows four times as many.
const BODY_BYTES: usize = 1_000_000;

/// Events of a whole stream, and the time between two.
const EVENTS: usize = 16;
const EVENT_INTERVAL: Duration = Duration::from_millis(250);

/// Time from the head of a request until the worker reads its body.
const READ_LATER: Duration = Duration::from_millis(3_000);

/// Requests of a run, and the time between two.
const REQUESTS: usize = 6;
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

fn answer(mut connection: Connection, id: &str, has_trouble: bool, record: &Record, broken_off: &AtomicU32) {
    let Some(mut request) = connection.read_head() else { return };
    let request_id = request.header("request-id").unwrap_or("").to_string();
    if request.header("expect-instance").is_some_and(|expected| expected != id) {
        connection.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    let after: usize = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    record.line(&format!("{request_id} reached {id}, after event {after}"));
    if !has_trouble {
        connection.read_body(&mut request, false);
    }
    let stream = connection.stream.try_clone().expect("a descriptor");
    let (writer_record, writer_id) = (record.clone(), request_id.clone());
    let writer = thread::spawn(move || {
        let mut connection = Connection::new(stream);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {writer_id}\r\nServer-Stamp: i.1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = connection.write(head.as_bytes());
        for event in after + 1..=EVENTS {
            let text = event_text(event);
            is_open = is_open && connection.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
            if !is_open {
                writer_record.line(&format!("{writer_id}: the channel was closed before event {event}"));
                return false;
            }
            thread::sleep(EVENT_INTERVAL);
        }
        connection.write(b"0\r\n\r\n")
    });
    if has_trouble {
        thread::sleep(READ_LATER);
        connection.read_body(&mut request, false);
        record.line(&format!("{request_id}: {id} has read {} of {BODY_BYTES} bytes of the body", request.body.len()));
    }
    if !writer.join().unwrap_or(false) {
        broken_off.fetch_add(1, Ordering::SeqCst);
    }
}

fn event_text(event: usize) -> String {
    format!("id: {event}\ndata: token {event} of {EVENTS}\n\n")
}

const CONFIG: &str = "{\"version\":7,\"routes\":[\
    {\"name\":\"audit\",\"host\":\"shop.example\",\"pathPrefix\":\"/audit/\",\"kind\":\"streaming\",\"timeoutMs\":15000,\
    \"targetLatencyMs\":3000,\"gapAimMs\":1000,\"priority\":1,\"service\":\"calc-llm\",\"maxAttempts\":2,\"public\":false,\
    \"sessionAffinity\":true,\"streamResume\":true}],\
    \"services\":[{\"name\":\"calc-llm\",\"healthPath\":\"/health\",\"maxConnections\":274,\"protocol\":\"h1\",\"tls\":false,\
    \"engine\":{\"slots\":16,\"kvCapacityTokens\":315000,\"stride\":51,\"step_ms\":0.85,\"per_seq_ms\":0.00425,\
    \"context_per_k\":0.00285,\"read_per_s\":177000.0,\"pairs_per_m\":0.184,\"chunk\":2048,\
    \"usual\":{\"prompt\":11121,\"answer\":1622}}}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
    \"tenants\":[{\"name\":\"depot\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";

/// Sends a request; returns whether its answer was complete or its worker is at fault.
fn send_request(number: usize, address: SocketAddr, record: &Record) -> bool {
    let id = format!("a{number}");
    let head = format!(
        "POST /audit/{number} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nCredential: key-1\r\nModel: m\r\n\
         Token-Count: 154000,800\r\nPrompt-Prefix: 5c1e07a2:40,{number:x}:153960\r\nDeadline-Ms: 15000\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    let sent = Instant::now();
    let response = Connection::open(address, Duration::from_secs(1)).and_then(|mut connection| {
        connection.write(head.as_bytes());
        connection.write(&vec![b'p'; BODY_BYTES]);
        record.line(&format!("{id}: all sent"));
        connection.read_response()
    });
    let took_ms = sent.elapsed().as_millis();
    let response = response.unwrap_or_default();
    let events = String::from_utf8_lossy(&response.body).matches("\n\n").count();
    let is_whole = response.is_complete && (response.status() != 200 || events == EVENTS);
    record.line(&format!(
        "{id}: answered {} with {events} of {EVENTS} events after {took_ms} ms, {}",
        response.status(),
        if response.is_complete { "complete" } else { "the channel ended without a complete answer" }
    ));
    is_whole
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> Outcome {
    let net = network();
    let store = Store::start(&format!("{net}.200"));
    store.write("op", "config", Some(CONFIG));
    let broken_off = Arc::new(AtomicU32::new(0));
    for n in 1..=6 {
        let (id, ip) = (format!("i-{n}"), format!("{net}.{}", 100 + n));
        let listener = TcpListener::bind((ip.as_str(), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let entry = format!(
            "{{\"service\":\"calc-llm\",\"address\":\"{address}\",\"zone\":\"hala-nord\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}}"
        );
        store.write("servers", &id, Some(&entry));
        let (record, broken_off) = (record.clone(), broken_off.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record, broken_off) = (id.clone(), record.clone(), broken_off.clone());
                thread::spawn(move || answer(Connection::new(stream), &id, has_trouble, &record, &broken_off));
            }
        });
    }
    let ips = vec![format!("{net}.1")];
    let relay = Relay::start(scratch, "front-1", "hala-nord", &ips[0], &ips, store.address);
    thread::sleep(Duration::from_secs(12));

    let settings = scratch.join("front-1.toml");
    let text = std::fs::read_to_string(&settings).expect("the settings");
    std::fs::write(&settings, text + "# changed\n").expect("the settings");
    let hangup = Command::new("sh").args(["-c", &format!("kill -HUP {}", relay.child.id())]).status();
    assert!(hangup.is_ok_and(|status| status.success()));
    record.line("the settings file has changed, and front-1 got SIGHUP");
    let mut requesters = Vec::new();
    for number in 0..REQUESTS {
        let (address, record) = (relay.client, record.clone());
        requesters.push(thread::spawn(move || send_request(number, address, &record)));
        thread::sleep(REQUEST_INTERVAL);
    }
    let whole = requesters.into_iter().map(|requester| requester.join().unwrap_or(false));
    let cut = whole.filter(|is_whole| !is_whole).count();
    record.line(&format!(
        "{cut} of {REQUESTS} requests, sent within 2 s of the SIGHUP, ended without a complete answer; {} runs found their \
         channel closed",
        broken_off.load(Ordering::SeqCst)
    ));
    match cut {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
