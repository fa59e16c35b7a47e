//! A worker leaves, without a status report of its leaving, while the open connections to the store are silent; hosts are
//! in touch again before they stop using it.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
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

const DRAIN_MS: u64 = 2_000;
const STABLE_WINDOW_MS: u64 = 3_000;

/// Requesters of each host; each sends a request, waits for its answer and pauses.
const REQUESTERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(40);

/// Time that a request takes at a worker.
const WORK: Duration = Duration::from_millis(40);

/// Hosts, as many as the deployment has entry hosts in its two larger zones.
const HOSTS: usize = 4;

/// Time from the silence until the store accepts that the worker is gone.
const LEAVE_AFTER: Duration = Duration::from_millis(500);

/// How much longer than `drainMs` the worker that leaves serves before its process exits.
const LINGER_MS: u64 = 1_800;

/// Time by which a request must be sent later than the earliest moment at which it counts, for the clocks of this test.
const MARGIN: Duration = Duration::from_millis(50);

/// A worker of an application service, with the times and identifiers of the requests that reached it.
struct Worker {
    id: String,
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    /// Whether its process has exited: nothing listens at its address, and open channels are closed.
    has_exited: Arc<AtomicBool>,
}

impl Worker {
    fn start(ip: &str, id: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a listener");
        let worker = Self { id: id.to_string(), address, arrivals: Arc::default(), has_exited: Arc::default() };
        let (own_id, seen, has_exited) = (id.to_string(), worker.arrivals.clone(), worker.has_exited.clone());
        thread::spawn(move || {
            while !has_exited.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).expect("a channel");
                let (id, seen, has_exited) = (own_id.clone(), seen.clone(), has_exited.clone());
                thread::spawn(move || answer(Connection::new(stream), &id, &seen, &has_exited));
            }
        });
        worker
    }

    fn entry(&self) -> String {
        format!(
            "{{\"service\":\"shop-app\",\"address\":\"{}\",\"zone\":\"hala-nord\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}}",
            self.address
        )
    }
}

fn answer(mut connection: Connection, id: &str, seen: &Mutex<Vec<(Instant, String)>>, has_exited: &AtomicBool) {
    while let Some(request) = connection.read_request() {
        let request_id = request.header("request-id").unwrap_or("").to_string();
        if request.header("expect-instance").is_some_and(|expected| expected != id) {
            connection.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        seen.lock().unwrap().push((Instant::now(), request_id.clone()));
        thread::sleep(WORK);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: {id}.1\r\nContent-Length: 5\r\n\r\nsent\n"
        );
        if has_exited.load(Ordering::SeqCst) || !connection.write(head.as_bytes()) {
            return;
        }
    }
}

const CONFIG: &str = "{\"version\":7,\"routes\":[{\"name\":\"notice\",\"host\":\"shop.example\",\"pathPrefix\":\"/notice/\",\
    \"kind\":\"non_idempotent\",\"timeoutMs\":600,\"targetLatencyMs\":100,\"priority\":2,\"service\":\"shop-app\",\
    \"maxAttempts\":1,\"public\":false}],\"services\":[{\"name\":\"shop-app\",\"healthPath\":\"/health\",\
    \"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\
    \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
    \"tenants\":[{\"name\":\"depot\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";

/// A request with the status of its answer; 0 without one.
struct Sent {
    id: String,
    at: Instant,
    status: u16,
}

fn send_requests(host: usize, requester: usize, address: SocketAddr, record: &Record, is_over: &AtomicBool) -> Vec<Sent> {
    let mut answers = Vec::new();
    let mut number = 0u64;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("h{host}r{requester}n{number}");
        let text = format!(
            "POST /notice/{number} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 600\r\n\
             Credential: key-1\r\nContent-Length: 5\r\n\r\nhello"
        );
        let sent = Instant::now();
        let status = Connection::open(address, Duration::from_secs(1))
            .and_then(|mut connection| {
                connection.write(text.as_bytes());
                connection.read_response()
            })
            .map_or(0, |response| response.status());
        record.line_at(sent, &format!("sent {id} to host {host}, answered {status}"));
        answers.push(Sent { id, at: sent, status });
        // Pauses differ, so that the requesters don't send in step.
        thread::sleep(PAUSE + Duration::from_millis(3 * requester as u64 + number % 7));
    }
    answers
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> Outcome {
    let net = network();
    let store = Store::start(&format!("{net}.200"));
    let workers: Vec<Worker> = (1..=3).map(|n| Worker::start(&format!("{net}.{}", 100 + n), &format!("i-{n}"))).collect();
    store.write("op", "config", Some(CONFIG));
    for worker in &workers {
        store.write("servers", &worker.id, Some(&worker.entry()));
    }
    let ips: Vec<String> = (1..=HOSTS).map(|n| format!("{net}.{n}")).collect();
    let relays: Vec<Relay> = ips
        .iter()
        .enumerate()
        .map(|(n, ip)| Relay::start(scratch, &format!("front-{}", n + 1), "hala-nord", ip, &ips, store.address))
        .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut requesters = Vec::new();
    for (host, relay) in relays.iter().enumerate() {
        for requester in 0..REQUESTERS {
            let (address, record, is_over) = (relay.client, record.clone(), is_over.clone());
            requesters.push(thread::spawn(move || send_requests(host + 1, requester, address, &record, &is_over)));
        }
    }
    // The moment isn't tied to the hosts' calls to the store.
    thread::sleep(Duration::from_secs(6) + Duration::from_millis(u64::from(std::process::id()) * 379 % 1_500));
    let silent_at = Instant::now();
    if has_trouble {
        store.silence_connections();
        record.line_at(silent_at, "the open connections to the store are silent from now on; new ones work");
    }
    thread::sleep(LEAVE_AFTER);
    let leaver = &workers[2];
    let accepted = store.write("servers", &leaver.id, None);
    record.line_at(accepted, &format!("the store has accepted that {} is gone; it serves on", leaver.id));
    thread::sleep(Duration::from_millis(DRAIN_MS + LINGER_MS));
    leaver.has_exited.store(true, Ordering::SeqCst);
    record.line(&format!("the process of {} exits", leaver.id));
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    let sent: Vec<Sent> = requesters.into_iter().flat_map(|requester| requester.join().unwrap_or_default()).collect();

    let counts_from = (accepted + Duration::from_millis(DRAIN_MS)).max(silent_at + Duration::from_millis(STABLE_WINDOW_MS)) + MARGIN;
    record.line_at(counts_from, "from here on all hosts are in touch, and drainMs has passed");
    let (mut late, mut lost, mut last) = (0, 0, accepted);
    for worker in &workers {
        for (at, id) in worker.arrivals.lock().unwrap().iter() {
            record.line_at(*at, &format!("{id} reached {}", worker.id));
            let Some(request) = sent.iter().find(|request| request.id == *id) else { continue };
            if worker.id == leaver.id && request.at > counts_from {
                late += 1;
                lost += u32::from(request.status != 200);
                last = *at;
            }
        }
    }
    let last_ms = last.saturating_duration_since(accepted).as_millis();
    record.line(&format!(
        "{late} requests reached {} later than {DRAIN_MS} ms after its leaving was accepted, from hosts in touch, the last after \
         {last_ms} ms; {lost} of them were cut off when it exited and not answered with success",
        leaver.id
    ));
    assert!(!leaver.arrivals.lock().unwrap().is_empty(), "no request reached the worker that leaves");
    match late {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
