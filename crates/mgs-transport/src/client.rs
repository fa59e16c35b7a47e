//! Calling another process.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use displaydoc::Display;
use h2::client::SendRequest;
use h2::Ping;
use h2::PingPong;
use h2::RecvStream;
use h2::SendStream;
use mgs_schema::wire::envelope::Body;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::activity::Activity;
use crate::activity::Heard;
use crate::frame;
use crate::frame::Decoder;
use crate::runtime::Runtime;

/// Settings of a connection.
#[derive(Debug, Clone)]
pub struct Options {
    /// Longest wait for a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time between pings while an answer is waited for and nothing comes, in milliseconds.
    pub ping_interval_ms: u64,
    /// Time between pings otherwise, in milliseconds.
    pub idle_ping_interval_ms: u64,
    /// Longest wait for the answer to a ping before the connection is given up, in milliseconds.
    pub ping_timeout_ms: u64,
    /// Window of one stream, in bytes.
    pub stream_window_bytes: u32,
    /// Window of the connection, in bytes.
    pub connection_window_bytes: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            ping_interval_ms: 250,
            idle_ping_interval_ms: 2_000,
            ping_timeout_ms: 750,
            stream_window_bytes: 1 << 20,
            connection_window_bytes: 4 << 20,
        }
    }
}

/// Why a call has no further message.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// no connection: {0}
    Connect(String),
    /// the connection broke: {0}
    Broken(String),
    /// the connection fell silent
    Silent,
    /// the call ended
    Ended,
    /// no message within the time given
    Timeout,
    /// message can't be encoded or decoded: {0}
    Codec(String),
}

impl std::error::Error for Error {}

const STATE_OPEN: u8 = 0;
const STATE_SILENT: u8 = 1;
const STATE_BROKEN: u8 = 2;

/// A connection to another process; clones share it.
#[derive(Clone)]
pub struct Connection {
    runtime: Runtime,
    send: SendRequest<Bytes>,
    state: Arc<AtomicU8>,
    activity: Arc<Activity>,
    /// Falls when the connection is given up.
    given_up: watch::Receiver<bool>,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl Connection {
    /// Connects, and pings from then on. Blocks for at most the connect timeout.
    ///
    /// ```
    /// use mgs_transport::client::Connection;
    /// use mgs_transport::client::Options;
    /// use mgs_transport::runtime::Runtime;
    ///
    /// let runtime = Runtime::new(&Default::default()).unwrap();
    /// let nobody = "127.0.0.1:1".parse().unwrap();
    /// assert!(Connection::open(&runtime, nobody, &Options::default()).is_err());
    /// ```
    pub fn open(runtime: &Runtime, address: SocketAddr, options: &Options) -> Result<Self, Error> {
        let (answer, wait) = crossbeam::channel::bounded(1);
        let options_copy = options.clone();
        let runtime_copy = runtime.clone();
        runtime.handle().spawn(async move {
            let limit = Duration::from_millis(options_copy.connect_timeout_ms);
            let opened = timeout(limit, open(runtime_copy, address, options_copy)).await;
            let opened =
                opened.unwrap_or_else(|_| Err(Error::Connect("no answer in time".to_string())));
            // The receiver has gone only when its thread has.
            let _ = answer.send(opened);
        });
        wait.recv()
            .unwrap_or_else(|_| Err(Error::Connect("runtime stopped".to_string())))
    }

    /// Whether the connection still serves.
    pub fn is_open(&self) -> bool {
        self.state.load(Ordering::Acquire) == STATE_OPEN
    }

    /// Sends a message and gives the call on which the answers come. Never blocks.
    pub fn call(&self, body: Body) -> Result<Call, Error> {
        let (sender, receiver) = crossbeam::channel::unbounded();
        let (stop, stopped) = oneshot::channel();
        let connection = self.clone();
        let waits = !matches!(body, Body::Hello(_));
        let bytes = frame::encode(body).map_err(|error| Error::Codec(error.to_string()))?;
        let heard = Heard::new(&self.activity, waits);
        self.runtime.handle().spawn(async move {
            let state = connection.state.clone();
            let mut given_up = connection.given_up.clone();
            let end = tokio::select! {
                // Giving up breaks the call as well, and is the better reason.
                biased;
                _ = given_up.wait_for(|given_up| *given_up) => gave_up(&state),
                end = exchange(connection.send, bytes, &sender, heard) => end,
                _ = stopped => Error::Ended,
            };
            // The receiver has gone only when nobody wants the end.
            let _ = sender.send(Err(end));
        });
        Ok(Call {
            receiver,
            _stop: stop,
        })
    }

    /// Sends a message and waits for one answer.
    pub fn ask(&self, body: Body, wait: Duration) -> Result<Body, Error> {
        self.call(body)?.recv_timeout(wait)
    }
}

fn gave_up(state: &AtomicU8) -> Error {
    match state.load(Ordering::Acquire) {
        STATE_SILENT => Error::Silent,
        _ => Error::Broken("connection closed".to_string()),
    }
}

/// One call; dropping it resets its stream.
#[derive(Debug)]
pub struct Call {
    receiver: Receiver<Result<Body, Error>>,
    _stop: oneshot::Sender<()>,
}

impl Call {
    /// The next message, waiting for at most `wait`.
    pub fn recv_timeout(&self, wait: Duration) -> Result<Body, Error> {
        match self.receiver.recv_timeout(wait) {
            Ok(message) => message,
            Err(RecvTimeoutError::Timeout) => Err(Error::Timeout),
            Err(RecvTimeoutError::Disconnected) => Err(Error::Ended),
        }
    }

    /// The channel itself, to select on beside others.
    pub fn receiver(&self) -> &Receiver<Result<Body, Error>> {
        &self.receiver
    }
}

async fn open(
    runtime: Runtime,
    address: SocketAddr,
    options: Options,
) -> Result<Connection, Error> {
    let connect = |error: std::io::Error| Error::Connect(error.to_string());
    let stream = TcpStream::connect(address).await.map_err(connect)?;
    stream.set_nodelay(true).map_err(connect)?;
    let (send, mut connection) = h2::client::Builder::new()
        .initial_window_size(options.stream_window_bytes)
        .initial_connection_window_size(options.connection_window_bytes)
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(|error| Error::Connect(error.to_string()))?;
    let state = Arc::new(AtomicU8::new(STATE_OPEN));
    let activity = Arc::new(Activity::new());
    let watched = activity.clone();
    let (give_up, given_up) = watch::channel(false);
    let ping_pong = connection.ping_pong();
    let driver_state = state.clone();
    runtime.handle().spawn(async move {
        let silence = async {
            match ping_pong {
                Some(ping_pong) => until_silent(ping_pong, &options, &watched).await,
                None => std::future::pending().await,
            }
        };
        let end = tokio::select! {
            _ = &mut connection => STATE_BROKEN,
            () = silence => STATE_SILENT,
        };
        driver_state.store(end, Ordering::Release);
        give_up.send_replace(true);
    });
    Ok(Connection {
        runtime,
        send,
        state,
        activity,
        given_up,
    })
}

/// Returns when a ping stays unanswered for too long.
async fn until_silent(mut ping_pong: PingPong, options: &Options, activity: &Activity) {
    let look = Duration::from_millis(options.ping_interval_ms);
    let limit = Duration::from_millis(options.ping_timeout_ms);
    let mut idle_ms = 0;
    loop {
        tokio::time::sleep(look).await;
        idle_ms += options.ping_interval_ms;
        if idle_ms < options.idle_ping_interval_ms && !activity.is_waiting() {
            continue;
        }
        idle_ms = 0;
        match timeout(limit, ping_pong.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            // The connection's own end says why.
            Ok(Err(_)) => std::future::pending().await,
            Err(_) => return,
        }
    }
}

fn broken(error: h2::Error) -> Error {
    Error::Broken(error.to_string())
}

/// Sends the request and passes on answers until the call ends; returns why it ended.
async fn exchange(
    send: SendRequest<Bytes>,
    bytes: Bytes,
    sender: &Sender<Result<Body, Error>>,
    heard: Heard,
) -> Error {
    match try_exchange(send, bytes, sender, heard).await {
        Ok(()) => Error::Ended,
        Err(error) => error,
    }
}

async fn try_exchange(
    send: SendRequest<Bytes>,
    bytes: Bytes,
    sender: &Sender<Result<Body, Error>>,
    heard: Heard,
) -> Result<(), Error> {
    let mut send = send.ready().await.map_err(broken)?;
    let mut request = http::Request::new(());
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = http::Uri::from_static("http://marigoldstage/");
    let (response, stream) = send.send_request(request, false).map_err(broken)?;
    let upload = send_all(stream, bytes);
    let download = async {
        let response = response.await.map_err(broken)?;
        receive_all(response.into_body(), sender, heard).await
    };
    // A server may answer, and end, before it has read the whole request.
    let (uploaded, downloaded) = tokio::join!(upload, download);
    downloaded?;
    uploaded
}

async fn send_all(mut stream: SendStream<Bytes>, mut bytes: Bytes) -> Result<(), Error> {
    send_part(&mut stream, &mut bytes).await?;
    stream.send_data(Bytes::new(), true).map_err(broken)
}

/// Sends all of `bytes` as the peer's windows allow.
pub(crate) async fn send_part(
    stream: &mut SendStream<Bytes>,
    bytes: &mut Bytes,
) -> Result<(), Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let granted = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
        let granted = match granted {
            Some(granted) => granted.map_err(broken)?,
            None => return Err(Error::Broken("stream closed".to_string())),
        };
        if granted > 0 {
            let part = bytes.split_to(granted.min(bytes.len()));
            stream.send_data(part, false).map_err(broken)?;
        }
    }
    Ok(())
}

async fn receive_all(
    mut stream: RecvStream,
    sender: &Sender<Result<Body, Error>>,
    mut heard: Heard,
) -> Result<(), Error> {
    let mut decoder = Decoder::default();
    while let Some(data) = stream.data().await {
        let data = data.map_err(broken)?;
        heard.note();
        decoder.extend(&data);
        stream
            .flow_control()
            .release_capacity(data.len())
            .map_err(broken)?;
        while let Some(message) = decoder.next() {
            let message = message.map_err(|error| Error::Codec(error.to_string()))?;
            if sender.send(Ok(message)).is_err() {
                return Ok(());
            }
        }
    }
    Ok(())
}
