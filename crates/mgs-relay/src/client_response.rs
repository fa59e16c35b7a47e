//! Responses to clients.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::rc::Weak;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::header::HeaderName;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http::HeaderValue;
use http::Response;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::client_connection::ClientConnection;
use crate::delivery::Delivery;
use crate::delivery::OpenRequest;
use crate::delivery::UnflushedResponses;
use crate::dialect::Dialect;
use crate::fault::Refusal;

/// A response to a client.
pub(crate) type ClientResponse = Response<ResponseBody>;

/// A chunk that a stream's task sends, or the error that ends the response.
pub(crate) type BodyChunk = Result<Bytes, io::Error>;

/// The task's end of a body whose chunks come from it. What is queued is bounded by the account of
/// held bytes, not by the queue.
pub(crate) struct BodySender {
    chunks: mpsc::UnboundedSender<BodyChunk>,
    delivered: oneshot::Receiver<()>,
}

impl BodySender {
    /// Queues a chunk; returns whether the client is still connected.
    pub(crate) fn send(&self, chunk: BodyChunk) -> bool {
        self.chunks.send(chunk).is_ok()
    }

    /// Waits until the client has disconnected.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends the body and waits until all of it is delivered or the client has disconnected; returns
    /// whether it was delivered.
    pub(crate) async fn finish(self) -> bool {
        drop(self.chunks);
        self.delivered.await.is_ok()
    }
}

/// Where the bytes of a body come from.
enum BodySource {
    /// They are all here.
    Whole(Full<Bytes>),
    /// Another task sends them in chunks; an error aborts the connection.
    Task(mpsc::UnboundedReceiver<BodyChunk>),
}

/// Body of a response to a client.
pub(crate) struct ResponseBody {
    source: BodySource,
    /// Tells the task that sends the chunks that they are delivered.
    delivered: Option<oneshot::Sender<()>>,
    /// Whether the HTTP library has asked for what follows the last chunk.
    is_at_end: bool,
    /// The request that stays open until the response is delivered, and where it waits for that.
    open_request: Option<(Rc<OpenRequest>, Weak<UnflushedResponses>)>,
}

impl ResponseBody {
    /// A body of known length.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self {
            source: BodySource::Whole(Full::new(bytes)),
            delivered: None,
            is_at_end: false,
            open_request: None,
        }
    }

    /// A body whose chunks come from another task, and the sender for that task.
    pub(crate) fn streamed() -> (BodySender, Self) {
        let (chunks, receiver) = mpsc::unbounded_channel();
        let (delivered_sender, delivered) = oneshot::channel();
        let body = Self {
            source: BodySource::Task(receiver),
            delivered: Some(delivered_sender),
            is_at_end: false,
            open_request: None,
        };
        (BodySender { chunks, delivered }, body)
    }

    /// Keeps the request open until this body is delivered on the connection.
    pub(crate) fn keep_open(
        &mut self,
        open_request: Rc<OpenRequest>,
        connection: &ClientConnection,
    ) {
        self.open_request = Some((open_request, connection.unflushed.clone()));
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.source {
            BodySource::Whole(bytes) => {
                let frame = ready!(Pin::new(bytes).poll_frame(context));
                Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            BodySource::Task(chunks) => {
                let chunk = ready!(chunks.poll_recv(context));
                self.is_at_end = chunk.is_none();
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Whole(bytes) => bytes.is_end_stream(),
            BodySource::Task(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Whole(bytes) => bytes.size_hint(),
            BodySource::Task(_) => SizeHint::default(),
        }
    }
}

impl Drop for ResponseBody {
    /// The HTTP library has taken all of the body, or given it up with its connection.
    fn drop(&mut self) {
        let delivered = self.delivered.take().filter(|_| self.is_at_end);
        let Some((open_request, unflushed)) = self.open_request.take() else {
            return;
        };
        // Without a socket, nothing is delivered any more.
        if let Some(unflushed) = unflushed.upgrade() {
            unflushed.add(Delivery::new(open_request, delivered));
        }
    }
}

/// This host's own response to a request that no endpoint answered.
pub(crate) fn refusal(
    dialect: &dyn Dialect,
    refusal: Refusal,
    request_id: Option<&str>,
) -> ClientResponse {
    let text = format!(
        "{{\"error\":\"{}\",\"message\":\"{}\"}}\n",
        refusal.fault.name(),
        refusal.fault
    );
    let mut response = Response::new(ResponseBody::whole(Bytes::from(text)));
    *response.status_mut() = refusal.fault.status();
    *response.headers_mut() = dialect.own_fields(request_id);
    set_header(&mut response, CONTENT_TYPE, "application/json");
    if let Some(after_ms) = refusal.retry_after_ms {
        let after_s = format!("{:.3}", after_ms as f64 / 1e3);
        set_header(&mut response, RETRY_AFTER, &after_s);
    }
    response
}

/// Makes the connection close after this response.
pub(crate) fn close_after(response: &mut ClientResponse) {
    set_header(response, CONNECTION, "close");
}

fn set_header(response: &mut ClientResponse, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            response.headers_mut().insert(name, value);
        }
        Err(error) => log::error!(field:% = name, error:% = error; "header value can't be sent"),
    }
}
