//! A worker of a plain service, as PROTOCOL.md tells it: it runs what is meant for its `id`, and answers 421 otherwise.

use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::store::Store;

#[derive(Debug, Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Its start in Unix milliseconds, if it tells it.
    pub born_ms: Option<u64>,
    pub runs: Arc<AtomicUsize>,
    pub misdirected: Arc<AtomicUsize>,
    /// How long it works on a request.
    pub work: Duration,
    /// When requests that it runs have arrived.
    pub arrivals: Arc<Mutex<Vec<Instant>>>,
    has_ended: Arc<AtomicBool>,
}

impl Worker {
    /// Starts a worker at a port; 0 stands for any free one.
    pub fn start(id: &str, service: &str, port: u16, born_ms: Option<u64>) -> Self {
        Self::start_with_work(id, service, port, born_ms, Duration::ZERO)
    }

    /// Starts a worker that works on each request for this time.
    pub fn start_with_work(
        id: &str,
        service: &str,
        port: u16,
        born_ms: Option<u64>,
        work: Duration,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).expect("a free port");
        let worker = Self {
            id: id.to_string(),
            service: service.to_string(),
            address: listener.local_addr().expect("an address"),
            born_ms,
            runs: Arc::default(),
            misdirected: Arc::default(),
            work,
            arrivals: Arc::default(),
            has_ended: Arc::default(),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        worker
    }

    /// Ends the worker: nothing listens at its address any more, and requests that it works on get no answer.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Writes its entry.
    pub fn register(&self, store: &Store, state: &str) {
        store.put("servers", &self.id, &self.entry(state));
    }

    /// Its entry, with all the fields that an entry has.
    pub fn entry(&self, state: &str) -> String {
        let born = self.born_ms.map_or(String::new(), |ms| format!(",\"born\":{ms}"));
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hala-nord\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":1{born}}}",
            self.service, self.address
        )
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        while let Some(request) = http::read(&mut reader) {
            let id = request.header("request-id").unwrap_or_default();
            let expected = request.header("expect-instance");
            let response = match expected.is_none_or(|expected| expected == self.id) {
                true => {
                    self.runs.fetch_add(1, Ordering::SeqCst);
                    self.arrivals.lock().expect("no panic").push(Instant::now());
                    thread::sleep(self.work);
                    if self.has_ended.load(Ordering::SeqCst) {
                        return;
                    }
                    format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.1\r\nContent-Length: 2\r\n\r\nok",
                        self.id
                    )
                }
                false => {
                    self.misdirected.fetch_add(1, Ordering::SeqCst);
                    format!(
                        "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                        self.id
                    )
                }
            };
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }
}
