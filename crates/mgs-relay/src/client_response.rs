//! Responses to clients.

use std::io;
use std::pin::Pin;
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
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::attached_bytes::attach;
use crate::dialect::Dialect;
use crate::fault::Refusal;

/// Body of a response to a client.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

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

/// A body whose chunks come from another task; an error aborts the connection.
struct ChannelBody {
    receiver: mpsc::UnboundedReceiver<BodyChunk>,
    delivered: Option<oneshot::Sender<()>>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let chunk = ready!(self.receiver.poll_recv(context));
        if chunk.is_none() {
            if let Some(delivered) = self.delivered.take() {
                // Nobody waits if the stream's task has ended with the runtime.
                let _ = delivered.send(());
            }
        }
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// A body of known length.
pub(crate) fn whole(bytes: Bytes) -> ResponseBody {
    let body = Full::new(bytes).map_err(|never| match never {});
    body.boxed_unsync()
}

/// A body of known length, and a receiver that fails once the body and its bytes are dropped: the
/// system has taken them, or the client has disconnected.
pub(crate) fn watched(bytes: Bytes) -> (ResponseBody, oneshot::Receiver<()>) {
    let (held_until_taken, taken) = oneshot::channel();
    (whole(attach(bytes, held_until_taken)), taken)
}

/// A body whose chunks come from another task, and the sender for that task.
pub(crate) fn streamed() -> (BodySender, ResponseBody) {
    let (chunks, receiver) = mpsc::unbounded_channel();
    let (delivered_sender, delivered) = oneshot::channel();
    let body = ChannelBody {
        receiver,
        delivered: Some(delivered_sender),
    };
    (BodySender { chunks, delivered }, body.boxed_unsync())
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
    let mut response = Response::new(whole(Bytes::from(text)));
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
