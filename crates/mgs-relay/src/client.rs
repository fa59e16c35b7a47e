//! Accepts and serves clients' connections.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::connection::describe;
use crate::core::Core;
use crate::drain::Phase;
use crate::serve::serve;

/// Connections that the system queues until they are accepted; covers a burst after a stall of some
/// hundred milliseconds.
const BACKLOG: i32 = 1_024;

/// Smallest buffer for a request head that hyper accepts, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8_192;

/// How long a connection outlives the idle limit announced to clients, in milliseconds, so that a
/// request sent at the last moment is still read.
const IDLE_GRACE_MS: u64 = 1_000;

/// Delay after a failure to accept, for example when descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens a listening socket.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts clients' connections until the process ends. While the host drains, connections still
/// arrive until the balancer has noticed.
pub(crate) async fn accept(core: Rc<Core>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_connection(core.clone(), stream));
            }
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(core: Rc<Core>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "failed to set socket options");
    }
    let limits = core
        .published
        .configuration()
        .map(|configuration| configuration.limits)
        .unwrap_or_default();
    // hyper's single timeout covers both the idle time between requests and the time to read a
    // head.
    let idle_ms = limits.idle_timeout_ms.max(limits.head_timeout_ms) + IDLE_GRACE_MS;
    let serving = core.clone();
    let service = service_fn(move |request| serve(serving.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(limits.head_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut phase = core.drain.subscribe();
    core.metrics.open_connections.inc();
    let leaving = phase.wait_for(|phase| *phase == Phase::Ending);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = leaving => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    core.metrics.open_connections.dec();
    if let Err(error) = ended {
        log::debug!(error = describe(&error); "client connection ended with an error");
    }
}
