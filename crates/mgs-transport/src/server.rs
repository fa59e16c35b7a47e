//! Answering other processes.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use h2::server::SendResponse;
use h2::RecvStream;
use mgs_schema::wire::envelope::Body;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::client::send_part;
use crate::frame;
use crate::frame::Decoder;
use crate::runtime::Runtime;

/// Settings of a server.
#[derive(Debug, Clone)]
pub struct Options {
    /// Most messages that wait on one call for a slow reader; one more ends the call.
    pub reply_backlog_max: usize,
    /// Window of one stream, in bytes.
    pub stream_window_bytes: u32,
    /// Window of a connection, in bytes.
    pub connection_window_bytes: u32,
    /// Time without an answer to a ping after which a connection is dropped, in milliseconds.
    pub silence_timeout_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            reply_backlog_max: 16 * 1024,
            stream_window_bytes: 1 << 20,
            connection_window_bytes: 8 << 20,
            silence_timeout_ms: 10_000,
        }
    }
}

/// One call as it arrives.
#[derive(Debug)]
pub struct Incoming {
    /// Number of the connection, unique within the process.
    pub connection: u64,
    /// The message.
    pub body: Body,
    /// Where the answers go.
    pub reply: Reply,
}

/// What answers calls. It runs on a transport thread and must not block.
pub trait Handler: Send + Sync {
    /// Takes a call; the reply may be kept and used from any thread.
    fn handle(&self, incoming: Incoming);

    /// A connection has ended.
    fn closed(&self, connection: u64) {
        let _ = connection;
    }
}

/// the caller is gone or reads too slowly
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct Closed;

impl std::error::Error for Closed {}

/// Where the answers of one call go; the call ends when it is dropped.
#[derive(Debug)]
pub struct Reply {
    sender: UnboundedSender<Body>,
    backlog: Arc<Backlog>,
    backlog_max: usize,
}

/// Messages that wait for a call's reader, counted for the call and for its server.
#[derive(Debug)]
struct Backlog {
    call: AtomicUsize,
    server: Arc<AtomicUsize>,
}

impl Backlog {
    fn add(&self) -> usize {
        self.server.fetch_add(1, Ordering::AcqRel);
        self.call.fetch_add(1, Ordering::AcqRel)
    }

    fn remove(&self) {
        self.server.fetch_sub(1, Ordering::AcqRel);
        self.call.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for Backlog {
    /// What was never sent is no longer waited for.
    fn drop(&mut self) {
        let left = self.call.load(Ordering::Acquire);
        self.server.fetch_sub(left, Ordering::AcqRel);
    }
}

impl Reply {
    /// Sends a message; never blocks.
    pub fn send(&self, body: Body) -> Result<(), Closed> {
        if self.backlog.add() >= self.backlog_max || self.sender.send(body).is_err() {
            self.backlog.remove();
            return Err(Closed);
        }
        Ok(())
    }

    /// Whether the caller is known to be gone.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// A listening server; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    unsent: Arc<AtomicUsize>,
    _stop: watch::Sender<bool>,
}

impl Server {
    /// Serves calls on a bound listener.
    ///
    /// ```
    /// use std::net::TcpListener;
    /// use std::sync::Arc;
    /// use std::time::Duration;
    ///
    /// use mgs_schema::wire::envelope::Body;
    /// use mgs_schema::wire::LoadReport;
    /// use mgs_transport::client;
    /// use mgs_transport::client::Connection;
    /// use mgs_transport::runtime::Runtime;
    /// use mgs_transport::server;
    /// use mgs_transport::server::Handler;
    /// use mgs_transport::server::Incoming;
    /// use mgs_transport::server::Server;
    ///
    /// struct Echo;
    ///
    /// impl Handler for Echo {
    ///     fn handle(&self, incoming: Incoming) {
    ///         incoming.reply.send(incoming.body).expect("the caller waits");
    ///     }
    /// }
    ///
    /// let runtime = Runtime::new(&Default::default())?;
    /// let listener = TcpListener::bind("127.0.0.1:0")?;
    /// let server = Server::start(&runtime, listener, &server::Options::default(), Arc::new(Echo))?;
    /// let options = client::Options::default();
    /// let connection = Connection::open(&runtime, server.address(), &options).unwrap();
    /// let sent = Body::LoadReport(LoadReport::default());
    /// let answer = connection.ask(sent.clone(), Duration::from_secs(10));
    /// assert_eq!(answer, Ok(sent));
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(
        runtime: &Runtime,
        listener: TcpListener,
        options: &Options,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let handle = runtime.handle();
        let listener = {
            let _context = handle.enter();
            tokio::net::TcpListener::from_std(listener)?
        };
        let unsent = Arc::new(AtomicUsize::new(0));
        let acceptor = Acceptor {
            unsent: unsent.clone(),
            options: options.clone(),
            handler,
            stopped,
        };
        handle.spawn(acceptor.run(listener));
        Ok(Self {
            address,
            unsent,
            _stop: stop,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Count of answers that haven't been handed to their connections yet.
    pub fn unsent(&self) -> usize {
        self.unsent.load(Ordering::Acquire)
    }
}

/// Pause after a failed accept (no file descriptors left, say).
const ACCEPT_PAUSE_MS: u64 = 50;

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

struct Acceptor {
    options: Options,
    unsent: Arc<AtomicUsize>,
    handler: Arc<dyn Handler>,
    stopped: watch::Receiver<bool>,
}

impl Acceptor {
    async fn run(self, listener: tokio::net::TcpListener) {
        let mut stopped = self.stopped.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stopped.changed() => return,
            };
            match accepted {
                Ok((stream, _)) => self.spawn(stream),
                Err(error) => {
                    log::warn!(error:% = error; "accept failed");
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }

    fn spawn(&self, stream: TcpStream) {
        let options = self.options.clone();
        let handler = self.handler.clone();
        let unsent = self.unsent.clone();
        let mut stopped = self.stopped.clone();
        tokio::spawn(async move {
            let connection = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
            tokio::select! {
                end = serve(stream, connection, &options, &handler, &unsent) => {
                    if let Err(error) = end {
                        log::debug!(error:% = error; "connection ended");
                    }
                }
                _ = stopped.changed() => {}
            }
            handler.closed(connection);
        });
    }
}

async fn serve(
    stream: TcpStream,
    connection: u64,
    options: &Options,
    handler: &Arc<dyn Handler>,
    unsent: &Arc<AtomicUsize>,
) -> Result<(), h2::Error> {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "no TCP_NODELAY");
    }
    let mut h2 = h2::server::Builder::new()
        .initial_window_size(options.stream_window_bytes)
        .initial_connection_window_size(options.connection_window_bytes)
        .max_concurrent_streams(u32::MAX)
        .handshake::<_, Bytes>(stream)
        .await?;
    let silence = until_silent(h2.ping_pong(), options.silence_timeout_ms);
    // The ping in flight must outlive the calls that come meanwhile: h2 takes no second one.
    tokio::pin!(silence);
    loop {
        let accepted = tokio::select! {
            accepted = h2.accept() => accepted,
            () = &mut silence => return Ok(()),
        };
        let Some(accepted) = accepted else {
            return Ok(());
        };
        let (request, respond) = accepted?;
        let handler = handler.clone();
        let backlog_max = options.reply_backlog_max;
        let unsent = unsent.clone();
        tokio::spawn(async move {
            let call = Answering {
                connection,
                handler,
                backlog_max,
                unsent,
            };
            if let Err(error) = call.run(request.into_body(), respond).await {
                log::debug!(error:% = error; "call ended");
            }
        });
    }
}

/// Returns when a ping stays unanswered for half of the timeout; one is sent each half.
async fn until_silent(ping_pong: Option<h2::PingPong>, silence_timeout_ms: u64) {
    let Some(mut ping_pong) = ping_pong else {
        return std::future::pending().await;
    };
    let half = Duration::from_millis(silence_timeout_ms / 2);
    loop {
        tokio::time::sleep(half).await;
        match tokio::time::timeout(half, ping_pong.ping(h2::Ping::opaque())).await {
            Ok(Ok(_)) => {}
            // The connection's own end says why.
            Ok(Err(_)) => std::future::pending().await,
            Err(_) => return,
        }
    }
}

struct Answering {
    connection: u64,
    handler: Arc<dyn Handler>,
    backlog_max: usize,
    unsent: Arc<AtomicUsize>,
}

impl Answering {
    async fn run(
        self,
        body: RecvStream,
        mut respond: SendResponse<Bytes>,
    ) -> Result<(), crate::client::Error> {
        let body = receive_one(body).await?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let backlog = Arc::new(Backlog {
            call: AtomicUsize::new(0),
            server: self.unsent,
        });
        let reply = Reply {
            sender,
            backlog: backlog.clone(),
            backlog_max: self.backlog_max,
        };
        self.handler.handle(Incoming {
            connection: self.connection,
            body,
            reply,
        });
        let response = http::Response::new(());
        let broken = |error: h2::Error| crate::client::Error::Broken(error.to_string());
        let stream = respond.send_response(response, false).map_err(broken)?;
        send_replies(stream, receiver, &backlog).await
    }
}

async fn send_replies(
    mut stream: h2::SendStream<Bytes>,
    mut receiver: UnboundedReceiver<Body>,
    backlog: &Backlog,
) -> Result<(), crate::client::Error> {
    loop {
        let body = tokio::select! {
            body = receiver.recv() => body,
            _ = std::future::poll_fn(|context| stream.poll_reset(context)) => return Ok(()),
        };
        let Some(body) = body else { break };
        let bytes = frame::encode(body);
        let mut bytes = bytes.map_err(|error| crate::client::Error::Codec(error.to_string()))?;
        send_part(&mut stream, &mut bytes).await?;
        backlog.remove();
    }
    stream
        .send_data(Bytes::new(), true)
        .map_err(|error| crate::client::Error::Broken(error.to_string()))
}

async fn receive_one(mut stream: RecvStream) -> Result<Body, crate::client::Error> {
    let mut decoder = Decoder::default();
    let broken = |error: h2::Error| crate::client::Error::Broken(error.to_string());
    while let Some(data) = stream.data().await {
        let data = data.map_err(broken)?;
        decoder.extend(&data);
        stream
            .flow_control()
            .release_capacity(data.len())
            .map_err(broken)?;
        if let Some(message) = decoder.next() {
            return message.map_err(|error| crate::client::Error::Codec(error.to_string()));
        }
    }
    Err(crate::client::Error::Ended)
}
