//! One client's connection: what is held for it, and how long it may read nothing.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::rc::Weak;
use std::task::ready;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::Sleep;

use crate::core::Core;
use crate::delivery::UnflushedResponses;
use crate::held_bytes::ConnectionBytes;
use crate::held_bytes::NoRoom;

/// Name in logs and counters of the bound on the time without reading.
const TIME_BOUND: &str = "time";

/// A client's connection, as its requests see it.
pub(crate) struct ClientConnection {
    /// Responses that wait for the socket.
    pub(crate) unflushed: Weak<UnflushedResponses>,
    /// Bytes that the client has yet to read.
    pub(crate) held: ConnectionBytes,
    /// Identifier of the last request, for the log.
    request_id: RefCell<String>,
    /// Wakes the connection's task, which then closes the connection.
    closing: Notify,
    has_stalled: Cell<bool>,
}

impl ClientConnection {
    fn new(unflushed: Weak<UnflushedResponses>) -> Self {
        Self {
            unflushed,
            held: ConnectionBytes::default(),
            request_id: RefCell::default(),
            closing: Notify::default(),
            has_stalled: Cell::default(),
        }
    }

    /// Records which request the connection serves.
    pub(crate) fn begin_request(&self, request_id: &str) {
        self.request_id.replace(request_id.to_string());
    }

    /// Closes the connection without delivering what is held for it, since there is no room for
    /// more. The client sees that its response is incomplete.
    pub(crate) fn close_for_lack_of_room(&self, core: &Core, no_room: NoRoom) {
        self.record_too_slow(core, no_room.name());
        self.closing.notify_one();
    }

    /// Waits until the connection must be closed.
    pub(crate) async fn until_closing(&self) {
        self.closing.notified().await;
    }

    /// Whether the client read nothing for too long.
    pub(crate) fn has_stalled(&self) -> bool {
        self.has_stalled.get()
    }

    /// Logs and counts that the client reads too slowly.
    pub(crate) fn record_stall(&self, core: &Core) {
        self.record_too_slow(core, TIME_BOUND);
    }

    fn record_too_slow(&self, core: &Core, bound: &str) {
        core.metrics.slow_clients.inc(bound);
        log::info!(
            request_id = self.request_id.borrow().as_str(),
            bound = bound,
            held_bytes = self.held.held_bytes(),
            held_total_bytes = core.held.total_bytes();
            "a client reads too slowly"
        );
    }
}

/// The socket of a client's connection. Fails if the client takes nothing for too long while there
/// is something to send.
pub(crate) struct ClientSocket {
    stream: TokioIo<TcpStream>,
    connection: Rc<ClientConnection>,
    unflushed: Rc<UnflushedResponses>,
    /// How long the client may take nothing.
    patience: Duration,
    /// Ends the wait for the client, if there is one.
    stall: Option<Pin<Box<Sleep>>>,
}

impl ClientSocket {
    /// A socket, and the connection that requests see.
    pub(crate) fn new(stream: TcpStream, patience: Duration) -> (Self, Rc<ClientConnection>) {
        let unflushed = Rc::new(UnflushedResponses::default());
        let connection = Rc::new(ClientConnection::new(Rc::downgrade(&unflushed)));
        let socket = Self {
            stream: TokioIo::new(stream),
            connection: connection.clone(),
            unflushed,
            patience,
            stall: None,
        };
        (socket, connection)
    }

    /// Passes on the result of a write, or fails if writes have been blocked for too long.
    fn watch(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let patience = self.patience;
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(patience)));
        ready!(stall.as_mut().poll(context));
        self.connection.has_stalled.set(true);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Read for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for ClientSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.unflushed.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.watch(context, written)
    }
}
