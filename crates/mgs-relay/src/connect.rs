//! Connections to endpoints and to the store.
//!
//! To endpoints there is one for each call: an answer that comes twice or late then belongs to no other
//! request, and closing the connection ends the work.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Bytes that aren't acknowledged for this long end a connection: a host behind a cut link, or one
/// without power. Some round trips and two lost packets.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// Time of silence before probes are sent, and between them.
const PROBE: Duration = Duration::from_secs(1);

/// How an answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// The other end closed or reset the connection: its process may have ended.
    BrokenOff,
    /// Nothing comes from the other end any more.
    PathLost,
    /// No answer came in time.
    Silent,
    /// What came can't be used.
    Unusable,
}

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CallError {
    /// nobody listens there: {0}
    Refused(String),
    /// no connection: {0}
    NotConnected(String),
    /// the connection ended before the request was sent: {0}
    NotSent(String),
    /// no usable answer: {reason}
    NoAnswer {
        /// What happened to it.
        lost: Lost,
        /// The same in words.
        reason: String,
    },
}

impl CallError {
    /// Whether the other end can't have seen the request.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Self::NoAnswer { .. })
    }
}

/// A connection; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl std::error::Error for CallError {}

impl Connection {
    /// Connects within `within`; needs a `LocalSet`.
    pub async fn open(address: SocketAddr, within: Duration) -> Result<Self, CallError> {
        let connecting = TcpStream::connect(address);
        let stream = match timeout(within, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(CallError::Refused(error.to_string()));
            }
            Ok(Err(error)) => return Err(CallError::NotConnected(error.to_string())),
            Err(_) => return Err(CallError::NotConnected("timed out".to_string())),
        };
        if let Err(error) = tune(&stream) {
            log::warn!(error:% = error; "a connection's options can't be set");
        }
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| CallError::NotConnected(error.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            // How the connection ended reaches whoever waits for the answer.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Whether it can't take another request.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<Response<Incoming>, CallError> {
        let request = request.map(Full::new);
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = describe(error.error());
                if unsent {
                    return Err(CallError::NotSent(reason));
                }
                let lost = lost(error.error());
                Err(CallError::NoAnswer { lost, reason })
            }
        }
    }
}

/// An error with what caused it.
pub(crate) fn describe(error: &hyper::Error) -> String {
    let cause = std::error::Error::source(error);
    match cause {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// How an answer was lost, by the error that ended it.
pub(crate) fn lost(error: &hyper::Error) -> Lost {
    if error.is_parse() {
        return Lost::Unusable;
    }
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return lost_by(error.kind());
        }
        cause = error.source();
    }
    Lost::BrokenOff
}

fn lost_by(kind: io::ErrorKind) -> Lost {
    match kind {
        io::ErrorKind::TimedOut
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable => Lost::PathLost,
        io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput => Lost::Unusable,
        _ => Lost::BrokenOff,
    }
}

fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes = TcpKeepalive::new().with_time(PROBE).with_interval(PROBE);
    socket.set_tcp_keepalive(&probes.with_retries(2))
}
