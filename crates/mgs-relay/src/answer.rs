//! Answers to clients.

use std::io;
use std::pin::Pin;
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

use crate::dialect::Dialect;
use crate::fault::Refusal;

/// Body of an answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// An answer.
pub(crate) type Answer = Response<AnswerBody>;

/// What a stream's task sends.
pub(crate) type Piece = Result<Bytes, io::Error>;

/// A body whose pieces come from another task; an error breaks the connection off.
struct Pieces {
    receiver: mpsc::Receiver<Piece>,
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let piece = self.receiver.poll_recv(context);
        piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// A body of known length.
pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
    let body = Full::new(bytes).map_err(|never| match never {});
    body.boxed_unsync()
}

/// A body whose pieces come from another task.
pub(crate) fn pieces(receiver: mpsc::Receiver<Piece>) -> AnswerBody {
    Pieces { receiver }.boxed_unsync()
}

/// Our own answer to a request that no endpoint answered.
pub(crate) fn refusal(dialect: &dyn Dialect, refusal: Refusal, request_id: Option<&str>) -> Answer {
    let text = format!(
        "{{\"error\":\"{}\",\"message\":\"{}\"}}\n",
        refusal.fault.name(),
        refusal.fault
    );
    let mut answer = Response::new(whole(Bytes::from(text)));
    *answer.status_mut() = refusal.fault.status();
    *answer.headers_mut() = dialect.own_fields(request_id);
    put(&mut answer, CONTENT_TYPE, "application/json");
    if let Some(after_ms) = refusal.retry_after_ms {
        let after_s = format!("{:.3}", after_ms as f64 / 1e3);
        put(&mut answer, RETRY_AFTER, &after_s);
    }
    answer
}

/// Has the connection closed after this answer.
pub(crate) fn close_after(answer: &mut Answer) {
    put(answer, CONNECTION, "close");
}

fn put(answer: &mut Answer, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            answer.headers_mut().insert(name, value);
        }
        Err(error) => log::error!(field:% = name, error:% = error; "a field can't be sent"),
    }
}
