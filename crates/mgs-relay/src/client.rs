//! Accepts and serves clients' connections.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use socket2::Domain;
use socket2::Protocol;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::client_connection::ClientSocket;
use crate::connection::describe;
use crate::core::Core;
use crate::drain::Phase;
use crate::held_bytes::HeldGuard;
use crate::request_body::DISCARD_TIMEOUT;
use crate::serve::refuse;
use crate::serve::serve;

/// Connections that the system queues until they are accepted; covers a burst after a stall of some
/// hundred milliseconds.
const BACKLOG: i32 = 1_024;

/// Smallest buffer for a request head that hyper accepts, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 8_192;

/// How long a connection outlives the idle limit announced to clients, in milliseconds, so that a
/// request sent at the last moment is still read.
const IDLE_GRACE_MS: u64 = 1_000;

/// Connections without room whose requests are answered at the same time.
const REFUSED_AT_ONCE_MAX: usize = 32;

/// Time for the request head of a connection without room to arrive.
const REFUSAL_HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for a connection without room altogether: after its request head, its body is received and
/// discarded.
const REFUSAL_TIMEOUT: Duration = REFUSAL_HEAD_TIMEOUT.saturating_add(DISCARD_TIMEOUT);

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
            Ok((stream, _)) => match core.hold_connection() {
                Ok(room) => {
                    tokio::task::spawn_local(serve_connection(core.clone(), stream, room));
                }
                Err(_) => refuse_connection(&core, stream),
            },
            Err(error) => {
                log::warn!(error:% = error; "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers the request of a connection that there is no memory for, if few others are being
/// refused. The rest is closed at once: refusals take memory too.
fn refuse_connection(core: &Rc<Core>, stream: TcpStream) {
    // One reference is the core's own.
    let refused_now = Rc::strong_count(&core.connections_refused) - 1;
    let is_answered = refused_now < REFUSED_AT_ONCE_MAX;
    log::info!(
        held_total_bytes = core.held.total_bytes(),
        is_answered = is_answered;
        "a connection isn't taken"
    );
    core.metrics.refused_connections.inc();
    if !is_answered {
        return;
    }
    let refusal_slot = core.connections_refused.clone();
    let limits = core.published.client_limits();
    let refusing = core.clone();
    tokio::task::spawn_local(async move {
        let (socket, client) = ClientSocket::new(stream, REFUSAL_TIMEOUT);
        let service = service_fn(move |request| refuse(refusing.clone(), client.clone(), request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(REFUSAL_HEAD_TIMEOUT)
            .max_buf_size(limits.head_bytes.max(HEAD_BUFFER_MIN_BYTES))
            .serve_connection(socket, service);
        // A client that sends nothing sees its connection closed.
        let _ = timeout(REFUSAL_TIMEOUT, connection).await;
        drop(refusal_slot);
    });
}

async fn serve_connection(core: Rc<Core>, stream: TcpStream, _room: HeldGuard) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "failed to set socket options");
    }
    let limits = core.published.client_limits();
    // hyper's single timeout covers both the idle time between requests and the time to read a
    // head.
    let idle_ms = limits.idle_timeout_ms.max(limits.head_timeout_ms) + IDLE_GRACE_MS;
    let held_options = core.published.live_settings().held.clone();
    if let Some(bytes) = held_options.send_buffer_bytes {
        if let Err(error) = SockRef::from(&stream).set_send_buffer_size(bytes) {
            log::debug!(error:% = error; "failed to set socket options");
        }
    }
    let patience = Duration::from_millis(held_options.stall_ms);
    let (socket, client) = ClientSocket::new(stream, patience);
    let (serving, serving_client) = (core.clone(), client.clone());
    let service =
        service_fn(move |request| serve(serving.clone(), serving_client.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(limits.head_bytes.max(HEAD_BUFFER_MIN_BYTES))
        .serve_connection(socket, service);
    let mut connection = std::pin::pin!(connection);
    let mut phase = core.drain.subscribe();
    core.metrics.open_connections.inc();
    let leaving = phase.wait_for(|phase| *phase == Phase::Ending);
    let serving = async {
        tokio::select! {
            ended = connection.as_mut() => return ended,
            _ = leaving => {}
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    let ended = tokio::select! {
        ended = serving => ended,
        () = client.until_closing() => Ok(()),
    };
    core.metrics.open_connections.dec();
    if client.has_stalled() {
        client.record_stall(&core);
    }
    if let Err(error) = ended {
        log::debug!(error = describe(&error); "client connection ended with an error");
    }
}
