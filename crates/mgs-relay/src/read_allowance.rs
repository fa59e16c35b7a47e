//! Bounds what an endpoint may send without getting on with its response.
//!
//! The HTTP library reads on as long as a response may still become one: interim responses, zeros
//! before a chunk's size and blanks after it have no end of their own. It would keep the host busy
//! for as long as they arrive. So a connection may read only so many bytes until the next part of
//! its response, the head or a piece of the body, has arrived.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Largest buffer for what was read, in bytes, and so the longest head of a response.
pub(crate) const READ_BUFFER_MAX_BYTES: usize = 64 * 1024;

/// Most bytes that may be read without a further part of the response. The library may have read two
/// buffers more before the part that it has is taken.
const BYTES_WITHOUT_PART_MAX: usize = 4 * READ_BUFFER_MAX_BYTES;

/// What a connection may still read until the next part of its response. Clones share their state.
#[derive(Debug, Clone)]
pub(crate) struct ReadAllowance {
    left_bytes: Rc<Cell<usize>>,
}

impl ReadAllowance {
    pub(crate) fn new() -> Self {
        Self {
            left_bytes: Rc::new(Cell::new(BYTES_WITHOUT_PART_MAX)),
        }
    }

    /// Records that a part of the response has arrived.
    pub(crate) fn renew(&self) {
        self.left_bytes.set(BYTES_WITHOUT_PART_MAX);
    }

    /// Takes what was read; fails if it is more than may be read.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let left_bytes = self.left_bytes.get().saturating_sub(bytes);
        self.left_bytes.set(left_bytes);
        match left_bytes {
            0 => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes that are no part of a response",
            )),
            _ => Ok(()),
        }
    }
}

/// The socket of a connection with an allowance.
pub(crate) struct BoundedSocket {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl BoundedSocket {
    pub(crate) fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for BoundedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before_bytes = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.allowance.take(buffer.filled().len() - before_bytes))
    }
}

impl AsyncWrite for BoundedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
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
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }
}

/// Body of a response; each piece of it renews the allowance of its connection.
#[derive(Debug)]
pub struct ResponseBytes {
    incoming: Incoming,
    allowance: ReadAllowance,
}

impl ResponseBytes {
    pub(crate) fn new(incoming: Incoming, allowance: ReadAllowance) -> Self {
        Self {
            incoming,
            allowance,
        }
    }
}

impl Body for ResponseBytes {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        self.allowance.renew();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
