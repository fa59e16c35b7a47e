//! Clients that send requests of all kinds on new and reused connections, and record the responses.

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

use crate::endpoint_traits::ORGANISATION_KEYS;
use crate::standin::client::read_response;
use crate::standin::client::Response;
use crate::standin::endpoint::CRASH_MARKER;
use crate::standin::endpoint::CRASH_PART;
use crate::standin::gateway::API_KEY;
use crate::standin::gateway::HOST_NAME;

/// Read timeout of a client; it exceeds the timeout of each route.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

/// Pause of a client between requests.
const PAUSE: Duration = Duration::from_millis(15);

/// Clients of an organisation, and those that the surging one has besides.
const USUAL_CLIENTS: u64 = 3;
const SURGING_CLIENTS: u64 = 24;

/// Pause of these clients between requests.
const USUAL_PAUSE: Duration = Duration::from_millis(200);

/// Largest number of requests on one connection.
const REQUESTS_PER_CONNECTION: u32 = 20;

/// The route of a request, which determines whether it may be retried and whether the response is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Idempotent,
    AtMostOnce,
    Stream,
    AtMostOnceStream,
    /// A stream that needs no API key, so that its organisation is the same under all versions of the configuration.
    UnauthenticatedStream,
}

impl RequestKind {
    fn path(self) -> &'static str {
        match self {
            Self::Idempotent => "/safe/1",
            Self::AtMostOnce => "/once/1",
            Self::Stream => "/talk/1",
            Self::AtMostOnceStream => "/once-talk/1",
            Self::UnauthenticatedStream => "/open-talk/1",
        }
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(
            self,
            Self::Stream | Self::AtMostOnceStream | Self::UnauthenticatedStream
        )
    }

    pub(crate) fn is_at_most_once(self) -> bool {
        matches!(self, Self::AtMostOnce | Self::AtMostOnceStream)
    }
}

/// One request and its outcome.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) gateway: usize,
    /// Whether the connection had carried a request before.
    pub(crate) is_reused: bool,
    /// Whether it crashes the engine that runs it.
    pub(crate) crashes_engine: bool,
    /// API key of its organisation.
    pub(crate) api_key: &'static str,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    /// `None` if the connection ended or the read timed out before the head of a response.
    pub(crate) response: Option<Response>,
}

/// What makes requests crash engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashCause {
    /// Their body; all of them are the same request.
    Body,
    /// A part of their prompts; no two of them are alike.
    PromptPart,
}

/// Content of a request.
struct Content {
    kind: RequestKind,
    body: String,
    /// Parts of the prompt.
    parts: String,
    crashes_engine: bool,
    /// API key of its organisation.
    api_key: &'static str,
    /// Lengths of the prompt and of the answer, in tokens.
    token_count: &'static str,
}

/// First part of all prompts.
const FIRST_PART: &str = "f1057000:40";

impl Content {
    /// The content of a request that crashes no engine; `id` makes the last part of its prompt its own.
    fn sound(kind: RequestKind, id: &str) -> Self {
        Self {
            kind,
            body: "hi".to_string(),
            parts: format!("{FIRST_PART},{id}:250"),
            crashes_engine: false,
            api_key: API_KEY,
            token_count: "900,200",
        }
    }

    fn crashing(cause: CrashCause, id: &str) -> Self {
        let sound = Self::sound(RequestKind::UnauthenticatedStream, id);
        let parts = format!("{FIRST_PART},{CRASH_PART}:300,{id}:250");
        match cause {
            CrashCause::Body => Self {
                body: CRASH_MARKER.to_string(),
                crashes_engine: true,
                ..sound
            },
            CrashCause::PromptPart => Self {
                body: id.to_string(),
                parts,
                crashes_engine: true,
                ..sound
            },
        }
    }
}

/// Running clients, one thread each.
pub(crate) struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Record>>>,
}

impl Clients {
    /// Starts `count` clients that send to these gateways.
    pub(crate) fn start(seed: u64, count: u64, gateways: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number: u64| {
            let client = Client {
                rng: ChaCha8Rng::seed_from_u64(seed ^ (number << 32)),
                name: format!("{seed:x}-{number:x}"),
                gateways: gateways.to_vec(),
                records: Vec::new(),
            };
            let stop = stop.clone();
            thread::spawn(move || client.run_until(&stop))
        };
        let threads = (1..=count).map(start).collect();
        Self { stop, threads }
    }

    /// Adds a client that sends requests that crash engines, each time at a random gateway.
    pub(crate) fn add_crashing_client(
        &mut self,
        seed: u64,
        cause: CrashCause,
        gateways: &[SocketAddr],
    ) {
        let mut client = Client {
            rng: ChaCha8Rng::seed_from_u64(seed),
            name: format!("{seed:x}-{CRASH_MARKER}"),
            gateways: gateways.to_vec(),
            records: Vec::new(),
        };
        let stop = self.stop.clone();
        self.threads.push(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(PAUSE);
                let gateway = client.random_below(client.gateways.len() as u32) as usize;
                if let Ok(mut stream) = connect(client.gateways[gateway]) {
                    let content = Content::crashing(cause, &client.next_id());
                    client.send(gateway, &mut stream, false, &content);
                }
            }
            client.records
        }));
    }

    /// Adds clients of each organisation of [`ORGANISATION_KEYS`] that send prompts. The first organisation has many
    /// more, which send only while it surges.
    pub(crate) fn add_organisations(
        &mut self,
        seed: u64,
        is_surging: &Arc<AtomicBool>,
        gateways: &[SocketAddr],
    ) {
        for (number, api_key) in ORGANISATION_KEYS.into_iter().enumerate() {
            let surging = if number == 0 { SURGING_CLIENTS } else { 0 };
            for client_number in 0..USUAL_CLIENTS + surging {
                let mut client = Client {
                    rng: ChaCha8Rng::seed_from_u64(seed ^ (client_number << 40)),
                    name: format!("{seed:x}-{api_key}-{client_number}"),
                    gateways: gateways.to_vec(),
                    records: Vec::new(),
                };
                let needs_surge = client_number >= USUAL_CLIENTS;
                let (stop, is_surging) = (self.stop.clone(), is_surging.clone());
                self.threads.push(thread::spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        thread::sleep(USUAL_PAUSE);
                        if needs_surge && !is_surging.load(Ordering::Relaxed) {
                            continue;
                        }
                        let gateway = client.random_below(client.gateways.len() as u32) as usize;
                        if let Ok(mut stream) = connect(client.gateways[gateway]) {
                            let sound = Content::sound(RequestKind::Stream, &client.next_id());
                            let content = Content {
                                api_key,
                                token_count: if needs_surge { "20000,100" } else { "5000,100" },
                                ..sound
                            };
                            client.send(gateway, &mut stream, false, &content);
                        }
                    }
                    client.records
                }));
            }
        }
    }

    /// Stops the clients and returns their records.
    pub(crate) fn stop(self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        let records = self.threads.into_iter().map(|thread| thread.join());
        records
            .flat_map(|records| records.expect("no panic"))
            .collect()
    }
}

/// One client; it draws gateways and requests from a random number generator.
struct Client {
    rng: ChaCha8Rng,
    name: String,
    gateways: Vec<SocketAddr>,
    records: Vec<Record>,
}

impl Client {
    fn random_below(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    fn run_until(mut self, stop: &AtomicBool) -> Vec<Record> {
        while !stop.load(Ordering::Relaxed) {
            let gateway = self.random_below(self.gateways.len() as u32) as usize;
            let Ok(mut stream) = connect(self.gateways[gateway]) else {
                thread::sleep(PAUSE);
                continue;
            };
            // Some connections stay in use until the gateway's process has ended.
            let requests = 1 + self.random_below(REQUESTS_PER_CONNECTION);
            for number in 0..requests {
                let is_reusable = self.send_random(gateway, &mut stream, number > 0);
                thread::sleep(PAUSE);
                if !is_reusable || stop.load(Ordering::Relaxed) {
                    break;
                }
            }
        }
        self.records
    }

    /// Sends a request of a random kind. Returns whether the connection can be reused.
    fn send_random(&mut self, gateway: usize, stream: &mut TcpStream, is_reused: bool) -> bool {
        let kinds = [
            RequestKind::Idempotent,
            RequestKind::AtMostOnce,
            RequestKind::Stream,
            RequestKind::AtMostOnceStream,
        ];
        let kind = kinds[self.random_below(4) as usize];
        let content = Content::sound(kind, &self.next_id());
        self.send(gateway, stream, is_reused, &content)
    }

    /// Identifier of the next request.
    fn next_id(&self) -> String {
        format!("{}-{}", self.name, self.records.len())
    }

    /// Sends one request and records its outcome. Returns whether the connection can be reused.
    fn send(
        &mut self,
        gateway: usize,
        stream: &mut TcpStream,
        is_reused: bool,
        content: &Content,
    ) -> bool {
        let id = self.next_id();
        let Content {
            kind,
            body,
            parts,
            api_key,
            token_count,
            ..
        } = content;
        let key = match kind {
            RequestKind::UnauthenticatedStream => String::new(),
            _ => format!("Credential: {api_key}\r\n"),
        };
        let text = format!(
            "POST {} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n\
             {key}Token-Count: {token_count}\r\nPrompt-Prefix: {parts}\r\nContent-Length: {}\r\n\r\n{body}",
            kind.path(),
            body.len(),
        );
        let sent_at = Instant::now();
        let is_sent = stream.write_all(text.as_bytes()).is_ok();
        let response = is_sent.then(|| read_response(stream));
        let response = response.filter(|response| response.status != 0);
        let closes_connection = |response: &Response| {
            let field = response.head.header("connection").unwrap_or_default();
            field.eq_ignore_ascii_case("close")
        };
        let is_reusable = response
            .as_ref()
            .is_some_and(|a| a.is_complete && !closes_connection(a));
        self.records.push(Record {
            id,
            kind: *kind,
            gateway,
            is_reused,
            crashes_engine: content.crashes_engine,
            api_key: content.api_key,
            sent_at,
            ended_at: Instant::now(),
            response,
        });
        is_reusable
    }
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    Ok(stream)
}
