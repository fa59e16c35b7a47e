//! A small HTTP server that gives each request a thread.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::ToSocketAddrs;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use percent_encoding::percent_decode_str;
use serde::de::DeserializeOwned;
use serde::Serialize;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;

const BACKLOG: i32 = 1024;
const STACK_BYTES: usize = 256 * 1024;
const BODY_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// What answers the requests of a [`Server`].
pub(crate) trait Handler: Send + Sync {
    /// Answers one request, on a thread of its own.
    fn handle(&self, request: Request);
}

/// A server that stops when dropped.
pub(crate) struct Server {
    http: Arc<tiny_http::Server>,
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
    acceptor: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens on `listen`, `IP:PORT`.
    pub(crate) fn start(listen: &str, name: &str, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = listener(listen)?;
        let address = listener.local_addr()?;
        let http = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let http = Arc::new(http);
        let stopped = Arc::new(AtomicBool::new(false));
        let acceptor = {
            let http = Arc::clone(&http);
            let stopped = Arc::clone(&stopped);
            thread::Builder::new()
                .name(name.to_string())
                .spawn(move || accept(&http, &stopped, &handler))?
        };
        Ok(Self {
            http,
            address,
            stopped,
            acceptor: Some(acceptor),
        })
    }

    /// The address listened on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops to take requests; those under way go on.
    pub(crate) fn stop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        self.http.unblock();
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.join().expect("the acceptor doesn't panic");
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Accepted sockets inherit the listener's options; frames are small and mustn't wait.
fn listener(listen: &str) -> io::Result<TcpListener> {
    let address = listen
        .to_socket_addrs()?
        .next()
        .ok_or(io::ErrorKind::InvalidInput)?;
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn accept(http: &tiny_http::Server, stopped: &AtomicBool, handler: &Arc<dyn Handler>) {
    while !stopped.load(Ordering::Acquire) {
        let Ok(request) = http.recv() else {
            continue;
        };
        let handler = Arc::clone(handler);
        let spawned = thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || handler.handle(request));
        if let Err(error) = spawned {
            log::warn!(error:% = error; "no thread for a request");
        }
    }
}

/// The path of a request, decoded, and its query.
pub(crate) fn target(request: &Request) -> (String, String) {
    let url = request.url();
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let path = percent_decode_str(path).decode_utf8_lossy().into_owned();
    (path, query.to_string())
}

/// A parameter of a query, decoded.
pub(crate) fn param(query: &str, name: &str) -> Option<String> {
    form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

/// A header's value.
pub(crate) fn header(request: &Request, name: &'static str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str().to_string())
}

/// The whole body.
pub(crate) fn body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::with_capacity(request.body_length().unwrap_or(0));
    let mut reader = request.as_reader().take(BODY_MAX_BYTES + 1);
    reader.read_to_end(&mut bytes)?;
    if bytes.len() as u64 > BODY_MAX_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(bytes)
}

/// The body as JSON.
pub(crate) fn body_json<T: DeserializeOwned>(request: &mut Request) -> io::Result<T> {
    let bytes = body(request)?;
    serde_json::from_slice(&bytes).map_err(io::Error::other)
}

/// Answers with JSON.
pub(crate) fn json<T: Serialize>(request: Request, status: u16, value: &T) {
    let bytes = serde_json::to_vec(value).expect("messages have string keys only");
    let response = Response::from_data(bytes)
        .with_status_code(status)
        .with_header(field("Content-Type", "application/json"));
    ignore_gone(request.respond(response));
}

/// Answers with bytes.
pub(crate) fn bytes(request: Request, status: u16, bytes: Vec<u8>) {
    ignore_gone(request.respond(Response::from_data(bytes).with_status_code(status)));
}

/// Answers without a body.
pub(crate) fn empty(request: Request, status: u16) {
    ignore_gone(request.respond(Response::empty(status)));
}

/// Answers without a body, saying when to come back.
pub(crate) fn retry_after(request: Request, status: u16, after_s: u64) {
    let response = Response::empty(status).with_header(field("Retry-After", &after_s.to_string()));
    ignore_gone(request.respond(response));
}

/// Answers with a reason in plain text.
pub(crate) fn refuse(request: Request, status: u16, reason: &str) {
    ignore_gone(request.respond(Response::from_string(reason).with_status_code(status)));
}

/// Answers with the value as JSON, or as `refuse` does for the error.
pub(crate) fn answer<T: Serialize, E>(
    request: Request,
    result: Result<T, E>,
    refuse: fn(Request, &E),
) {
    match result {
        Ok(value) => json(request, 200, &value),
        Err(error) => refuse(request, &error),
    }
}

/// Answers without a body, or as `refuse` does for the error.
pub(crate) fn answer_empty<E>(request: Request, result: Result<(), E>, refuse: fn(Request, &E)) {
    match result {
        Ok(()) => empty(request, 204),
        Err(error) => refuse(request, &error),
    }
}

/// Closes the connection without an answer.
pub(crate) fn cut(request: Request) {
    drop(request.into_writer());
}

fn field(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("names and values are ASCII")
}

/// A caller that is gone has no use for its answer.
fn ignore_gone(result: io::Result<()>) {
    if let Err(error) = result {
        log::debug!(error:% = error; "the caller is gone");
    }
}
