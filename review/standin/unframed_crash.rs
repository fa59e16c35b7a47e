//! Worker processes are killed while they send answers that have no length and end with their channel.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::relay::network;
use crate::relay::Relay;
use crate::store::Store;
use crate::Outcome;
use crate::Record;

/// Events of a whole stream, and the time between two.
const EVENTS: usize = 33;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// Bytes of a whole plain answer, and the time between its two halves.
const ANSWER_BYTES: usize = 800;
const HALF_INTERVAL: Duration = Duration::from_millis(20);

/// Crashes of a run, and the time between two. A worker that crashed is started again under a new id.
const CRASHES: usize = 6;
const CRASH_INTERVAL: Duration = Duration::from_millis(1_500);

/// Requesters of each kind.
const REQUESTERS: usize = 8;

/// One lifetime of a worker's process.
struct Worker {
    id: String,
    child: Child,
}

impl Drop for Worker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Worker {
    fn start(ip: &str, id: &str, service: &str, store: &Store) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let program = std::env::current_exe().expect("this program");
        let child = Command::new(program)
            .args(["worker", id, &address.to_string()])
            .stdin(Stdio::null())
            .spawn()
            .expect("a worker");
        let start = Instant::now();
        while Connection::open(address, Duration::from_millis(200)).is_none() {
            assert!(start.elapsed() < Duration::from_secs(5), "{id} doesn't listen");
            thread::sleep(Duration::from_millis(5));
        }
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"hala-nord\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}}"
        );
        store.write("servers", id, Some(&entry));
        Self { id: id.to_string(), child }
    }
}

/// Runs a worker's process.
pub fn serve_worker(id: &str, address: &str) {
    let listener = TcpListener::bind(address).expect("a free port");
    for stream in listener.incoming().flatten() {
        let id = id.to_string();
        thread::spawn(move || answer(Connection::new(stream), &id));
    }
}

fn answer(mut connection: Connection, id: &str) {
    let Some(request) = connection.read_request() else { return };
    let request_id = request.header("request-id").unwrap_or("").to_string();
    if request.header("expect-instance").is_some_and(|expected| expected != id) {
        connection.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    let stamp = format!("HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: {id}.1\r\nConnection: close\r\n");
    if request.target().starts_with("/check/") {
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        connection.write(format!("{stamp}Content-Type: text/event-stream\r\n\r\n").as_bytes());
        for event in after + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            if !connection.write(event_text(event).as_bytes()) {
                return;
            }
        }
    } else {
        thread::sleep(Duration::from_millis(15));
        let body = "n".repeat(ANSWER_BYTES);
        connection.write(format!("{stamp}\r\n{}", &body[..ANSWER_BYTES / 2]).as_bytes());
        thread::sleep(HALF_INTERVAL);
        connection.write(body[ANSWER_BYTES / 2..].as_bytes());
    }
}

fn event_text(event: usize) -> String {
    format!("id: {event}\ndata: token {event} of {EVENTS}\n\n")
}

const CONFIG: &str = "{\"version\":7,\"routes\":[\
    {\"name\":\"check\",\"host\":\"shop.example\",\"pathPrefix\":\"/check/\",\"kind\":\"streaming\",\"timeoutMs\":10000,\
    \"targetLatencyMs\":300,\"gapAimMs\":250,\"priority\":1,\"service\":\"calc-llm\",\"maxAttempts\":2,\"public\":false,\
    \"sessionAffinity\":true,\"streamResume\":true},\
    {\"name\":\"notice\",\"host\":\"shop.example\",\"pathPrefix\":\"/notice/\",\"kind\":\"non_idempotent\",\"timeoutMs\":600,\
    \"targetLatencyMs\":100,\"priority\":2,\"service\":\"shop-app\",\"maxAttempts\":1,\"public\":false}],\
    \"services\":[{\"name\":\"calc-llm\",\"healthPath\":\"/health\",\"maxConnections\":274,\"protocol\":\"h1\",\"tls\":false,\
    \"engine\":{\"slots\":16,\"kvCapacityTokens\":315000,\"stride\":51,\"step_ms\":0.85,\"per_seq_ms\":0.00425,\
    \"context_per_k\":0.00285,\"read_per_s\":177000.0,\"pairs_per_m\":0.184,\"chunk\":2048,\
    \"usual\":{\"prompt\":11121,\"answer\":1622}}},\
    {\"name\":\"shop-app\",\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],\
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
    \"tenants\":[{\"name\":\"depot\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";

/// An answer that a requester got.
struct Answer {
    id: String,
    is_stream: bool,
    status: u16,
    body: String,
    is_complete: bool,
}

fn send_requests(number: usize, is_stream: bool, address: SocketAddr, seen: &Mutex<Vec<Answer>>, record: &Record, is_over: &AtomicBool) {
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        count += 1;
        let (kind, path) = if is_stream { ("s", "check") } else { ("n", "notice") };
        let id = format!("{kind}{number}x{count}");
        let extra = if is_stream { "Model: m\r\nToken-Count: 4960,1650\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:4920\r\nDeadline-Ms: 10000\r\n" } else { "Deadline-Ms: 600\r\n" };
        let text = format!(
            "POST /{path}/{count} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nCredential: key-1\r\n{extra}\
             Content-Length: 5\r\n\r\nhello"
        );
        let sent = Instant::now();
        let response = Connection::open(address, Duration::from_secs(1)).and_then(|mut connection| {
            connection.write(text.as_bytes());
            connection.read_response()
        });
        let response = response.unwrap_or_default();
        let answer = Answer {
            status: response.status(),
            body: String::from_utf8_lossy(&response.body).into_owned(),
            is_complete: response.is_complete,
            id,
            is_stream,
        };
        record.line_at(sent, &format!(
            "sent {}; answered {} with {} bytes, {}", answer.id, answer.status, answer.body.len(),
            if answer.is_complete { "complete" } else { "broken off" }
        ));
        seen.lock().unwrap().push(answer);
        thread::sleep(Duration::from_millis(10));
    }
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> Outcome {
    let net = network();
    let store = Store::start(&format!("{net}.200"));
    store.write("op", "config", Some(CONFIG));
    let start = |n: usize, life: usize| {
        let service = if n < 6 { "calc-llm" } else { "shop-app" };
        Worker::start(&format!("{net}.{}", 100 + n), &format!("i-{n}-{life}"), service, &store)
    };
    let mut workers: Vec<Worker> = (0..9).map(|n| start(n, 0)).collect();
    let ips: Vec<String> = (1..=2).map(|n| format!("{net}.{n}")).collect();
    let relays: Vec<Relay> = ips
        .iter()
        .enumerate()
        .map(|(n, ip)| Relay::start(scratch, &format!("front-{}", n + 1), "hala-nord", ip, &ips, store.address))
        .collect();
    let (is_over, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let mut requesters = Vec::new();
    for number in 0..2 * REQUESTERS {
        let address = relays[number / 2 % relays.len()].client;
        let (record, is_over, seen) = (record.clone(), is_over.clone(), seen.clone());
        requesters.push(thread::spawn(move || send_requests(number, number % 2 == 0, address, &seen, &record, &is_over)));
    }
    thread::sleep(Duration::from_millis(12_000));
    for crash in 0..CRASHES {
        thread::sleep(CRASH_INTERVAL);
        if !has_trouble {
            continue;
        }
        // One of the engines' workers, then one of the application's.
        let n = if crash % 2 == 0 { crash } else { 6 + crash / 2 };
        let _ = workers[n].child.kill();
        record.line(&format!("{} crashed", workers[n].id));
        let _ = workers[n].child.wait();
        store.write("servers", &workers[n].id, None);
        workers[n] = start(n, 1);
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for requester in requesters {
        let _ = requester.join();
    }
    let seen = seen.lock().unwrap();
    judge(record, &seen)
}

fn judge(record: &Record, answers: &[Answer]) -> Outcome {
    let whole_stream: String = (1..=EVENTS).map(event_text).collect();
    let (mut whole, mut cut_streams, mut cut_answers) = (0, 0, 0);
    for answer in answers.iter().filter(|answer| answer.status == 200 && answer.is_complete) {
        match (answer.is_stream, answer.body == whole_stream, answer.body.len() == ANSWER_BYTES) {
            (true, true, _) | (false, _, true) => whole += 1,
            (true, false, _) => {
                cut_streams += 1;
                let events = answer.body.matches("\n\n").count();
                record.line(&format!("{} looks complete after {events} of {EVENTS} events", answer.id));
            }
            (false, _, false) => {
                cut_answers += 1;
                record.line(&format!("{} looks complete after {} of {ANSWER_BYTES} bytes", answer.id, answer.body.len()));
            }
        }
    }
    record.line(&format!(
        "{} answers, {whole} whole; {cut_streams} streams and {cut_answers} plain answers ended early and look complete",
        answers.len()
    ));
    assert!(whole > 100, "hardly anything was served");
    match cut_streams + cut_answers {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
