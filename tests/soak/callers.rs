//! Clients that send requests of all kinds, on kept connections and new ones, and write down what they saw.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::standin::client::read_response;
use crate::standin::client::Response;
use crate::standin::endpoint::CRASH_MARKER;
use crate::standin::gateway::API_KEY;
use crate::standin::gateway::HOST_NAME;

/// Time after which a client gives up; above each route's timeout.
const PATIENCE: Duration = Duration::from_secs(6);

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(15);

/// Requests on one connection, at most.
const REQUESTS_PER_CONNECTION: u32 = 20;

/// What a request may be repeated like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Safe,
    Once,
    Talk,
    OnceTalk,
    /// A stream that needs no key, so that its caller stays the same through all configurations.
    OpenTalk,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Safe => "/safe/1",
            Self::Once => "/once/1",
            Self::Talk => "/talk/1",
            Self::OnceTalk => "/once-talk/1",
            Self::OpenTalk => "/open-talk/1",
        }
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Talk | Self::OnceTalk | Self::OpenTalk)
    }

    pub(crate) fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::OnceTalk)
    }
}

/// One request and what came of it.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) gateway: usize,
    pub(crate) is_kept: bool,
    /// Whether it ends the engine that runs it.
    pub(crate) is_deadly: bool,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    /// `None` if the connection ended, or nothing came, before an answer's head.
    pub(crate) answer: Option<Response>,
}

/// The clients, until they are told to stop.
pub(crate) struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Record>>>,
}

impl Callers {
    /// Starts `count` clients of these gateways.
    pub(crate) fn start(seed: u64, count: u64, gateways: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number: u64| {
            let caller = Caller {
                numbers: ChaCha8Rng::seed_from_u64(seed ^ (number << 32)),
                name: format!("{seed:x}-{number:x}"),
                gateways: gateways.to_vec(),
                records: Vec::new(),
            };
            let stop = stop.clone();
            thread::spawn(move || caller.call_until(&stop))
        };
        let threads = (1..=count).map(start).collect();
        Self { stop, threads }
    }

    /// Adds a client that sends the same deadly request again and again, at any gateway.
    pub(crate) fn add_deadly(&mut self, seed: u64, gateways: &[SocketAddr]) {
        let mut caller = Caller {
            numbers: ChaCha8Rng::seed_from_u64(seed),
            name: format!("{seed:x}-{CRASH_MARKER}"),
            gateways: gateways.to_vec(),
            records: Vec::new(),
        };
        let stop = self.stop.clone();
        self.threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(PAUSE);
                let gateway = caller.below(caller.gateways.len() as u32) as usize;
                if let Ok(mut stream) = connect(caller.gateways[gateway]) {
                    caller.send(gateway, &mut stream, false, Kind::OpenTalk, CRASH_MARKER);
                }
            }
            caller.records
        }));
    }

    /// Stops them; what they saw.
    pub(crate) fn stop(self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        let records = self.threads.into_iter().map(|thread| thread.join());
        records
            .flat_map(|records| records.expect("no panic"))
            .collect()
    }
}

struct Caller {
    numbers: ChaCha8Rng,
    name: String,
    gateways: Vec<SocketAddr>,
    records: Vec<Record>,
}

impl Caller {
    fn below(&mut self, most: u32) -> u32 {
        self.numbers.next_u32() % most
    }

    fn call_until(mut self, stop: &AtomicBool) -> Vec<Record> {
        while !stop.load(Ordering::Relaxed) {
            let gateway = self.below(self.gateways.len() as u32) as usize;
            let Ok(mut stream) = connect(self.gateways[gateway]) else {
                thread::sleep(PAUSE);
                continue;
            };
            // Some clients keep their connection until the process is gone.
            let requests = 1 + self.below(REQUESTS_PER_CONNECTION);
            for number in 0..requests {
                let may_go_on = self.call(gateway, &mut stream, number > 0);
                thread::sleep(PAUSE);
                if !may_go_on || stop.load(Ordering::Relaxed) {
                    break;
                }
            }
        }
        self.records
    }

    /// Sends one request; whether the connection may take another.
    fn call(&mut self, gateway: usize, stream: &mut TcpStream, is_kept: bool) -> bool {
        let kinds = [Kind::Safe, Kind::Once, Kind::Talk, Kind::OnceTalk];
        let kind = kinds[self.below(4) as usize];
        self.send(gateway, stream, is_kept, kind, "hi")
    }

    /// Sends one request; whether the connection may take another.
    fn send(
        &mut self,
        gateway: usize,
        stream: &mut TcpStream,
        is_kept: bool,
        kind: Kind,
        body: &str,
    ) -> bool {
        let id = format!("{}-{}", self.name, self.records.len());
        let key = match kind {
            Kind::OpenTalk => String::new(),
            _ => format!("Credential: {API_KEY}\r\n"),
        };
        let text = format!(
            "POST {} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n\
             {key}Token-Count: 900,200\r\nContent-Length: {}\r\n\r\n{body}",
            kind.path(),
            body.len(),
        );
        let sent = Instant::now();
        let is_sent = stream.write_all(text.as_bytes()).is_ok();
        let answer = is_sent.then(|| read_response(stream));
        let answer = answer.filter(|answer| answer.status != 0);
        let closes = |answer: &Response| {
            let field = answer.head.header("connection").unwrap_or_default();
            field.eq_ignore_ascii_case("close")
        };
        let may_go_on = answer.as_ref().is_some_and(|a| a.is_complete && !closes(a));
        self.records.push(Record {
            id,
            kind,
            gateway,
            is_kept,
            is_deadly: body == CRASH_MARKER,
            sent,
            ended: Instant::now(),
            answer,
        });
        may_go_on
    }
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}
