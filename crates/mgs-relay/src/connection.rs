//! Connections to endpoints and to the store.
//!
//! Each call to an endpoint has a connection of its own: a duplicate or late response can't be
//! taken for that of another request, and closing the connection cancels the work.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::read_allowance::BoundedSocket;
use crate::read_allowance::ReadAllowance;
use crate::read_allowance::ResponseBytes;
use crate::read_allowance::READ_BUFFER_MAX_BYTES;

/// How long sent bytes may stay unacknowledged before the connection is closed, as with a host
/// behind a broken link or without power. Covers some round trips and two lost packets.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// How a response was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// The peer closed or reset the connection; its process may have ended.
    BrokenOff,
    /// The network path failed: nothing arrives from the peer any more.
    PathLost,
    /// No response arrived in time.
    Silent,
    /// The received data is invalid.
    Unusable,
}

/// Why a call has no response.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CallError {
    /// connection refused: {0}
    Refused(String),
    /// failed to connect: {0}
    NotConnected(String),
    /// the connection ended before the request was sent: {0}
    NotSent(String),
    /// no usable response: {reason}
    NoAnswer {
        /// How the response was lost.
        lost: LossCause,
        /// Description of the error.
        reason: String,
    },
}

impl CallError {
    /// Whether the peer can't have received the request.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Self::NoAnswer { .. })
    }
}

/// A client connection, closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Renewed by each part of a response.
    allowance: ReadAllowance,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl std::error::Error for CallError {}

impl Connection {
    /// Connects to `address` with the timeout `within`. Must be called within a `LocalSet`.
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
        if let Err(error) = set_socket_options(&stream) {
            log::warn!(error:% = error; "failed to set socket options");
        }
        let allowance = ReadAllowance::new();
        let socket = BoundedSocket::new(stream, allowance.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_MAX_BYTES)
            .handshake(TokioIo::new(socket))
            .await;
        let (sender, connection) =
            handshake.map_err(|error| CallError::NotConnected(error.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            // The result also reaches the caller that awaits the response.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            allowance,
        })
    }

    /// Whether the connection is closed and can't take another request.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its response.
    pub async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<Response<ResponseBytes>, CallError> {
        let request = request.map(Full::new);
        self.allowance.renew();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.allowance.renew();
                Ok(response.map(|body| ResponseBytes::new(body, self.allowance.clone())))
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = describe(error.error());
                if unsent {
                    return Err(CallError::NotSent(reason));
                }
                let lost = loss_cause(error.error());
                Err(CallError::NoAnswer { lost, reason })
            }
        }
    }
}

/// Formats an error together with its cause.
pub(crate) fn describe(error: &hyper::Error) -> String {
    let cause = std::error::Error::source(error);
    match cause {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// Classifies the error that ended a response.
pub(crate) fn loss_cause(error: &hyper::Error) -> LossCause {
    if error.is_parse() {
        return LossCause::Unusable;
    }
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return loss_cause_of_kind(error.kind());
        }
        cause = error.source();
    }
    LossCause::BrokenOff
}

fn loss_cause_of_kind(kind: io::ErrorKind) -> LossCause {
    match kind {
        io::ErrorKind::TimedOut
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable => LossCause::PathLost,
        io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput => LossCause::Unusable,
        _ => LossCause::BrokenOff,
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(2))
}
