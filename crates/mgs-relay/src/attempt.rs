//! One dispatch to one endpoint, up to a whole answer or the first event of a stream.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http::response;
use http::Request;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::connect::describe;
use crate::connect::lost;
use crate::connect::CallError;
use crate::connect::Connection;
use crate::connect::Lost;
use crate::core::Core;
use crate::dialect::Ask;
use crate::dialect::NotRun;
use crate::dialect::Reply;
use crate::event::Events;
use crate::view::Endpoint;

/// Longest answer of a plain service that is passed on, in bytes; the whole is read first, so that one
/// that breaks off can be told from a whole one.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// A stream whose first events have come.
pub(crate) struct Stream {
    /// Open as long as the stream is read.
    pub(crate) _connection: Connection,
    pub(crate) body: Incoming,
    pub(crate) events: Events,
    pub(crate) first: Bytes,
}

/// How a dispatch ended.
pub(crate) enum Ended {
    /// The endpoint can't have run it.
    NotRun {
        why: &'static str,
        /// Whether the endpoint at fault is gone or another one, rather than busy.
        is_lost: bool,
        /// Whether nobody listens at its address.
        is_refused: bool,
        at_fault: Option<std::net::SocketAddr>,
    },
    /// The endpoint can't have run it, since another one refused to read a part of it.
    Unhelped {
        helper: Arc<Endpoint>,
        /// Whether memory was reserved there for it.
        is_reserved: bool,
    },
    /// It may have run; there is no usable answer.
    Unknown { lost: Lost, why: String },
    /// A whole answer.
    Whole { head: response::Parts, body: Bytes },
    /// A stream has begun.
    Started {
        head: response::Parts,
        stream: Stream,
    },
}

/// Sends a request and waits for its answer; dropping it closes the connection.
pub(crate) async fn send(
    core: &Rc<Core>,
    endpoint: &Endpoint,
    request: Request<Bytes>,
    ask: &Ask,
    is_streaming: bool,
) -> Ended {
    let start = Instant::now();
    let within = Duration::from_millis(core.options.connect_timeout_ms);
    let mut connection = match Connection::open(endpoint.facts.address, within).await {
        Ok(connection) => connection,
        Err(error) => return unsent(&error),
    };
    let took_ms = start.elapsed().as_secs_f64() * 1e3;
    core.metrics.connect_ms.observe(took_ms);
    let sent_ms = core.now_ms();
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(error) if error.is_unsent() => return unsent(&error),
        Err(error) => return unanswered(&error),
    };
    let (head, body) = response.into_parts();
    core.hear_advice(endpoint, ask, &head, sent_ms);
    match core.dialect.reply(ask, &head) {
        Reply::NotRun { reason, at_fault } => not_run(reason, at_fault),
        Reply::Foreign(foreign) => unusable(&foreign.to_string()),
        Reply::Answer if is_streaming && head.status.is_success() => {
            first_events(connection, head, body).await
        }
        Reply::Answer => whole(connection, head, body).await,
    }
}

fn unsent(error: &CallError) -> Ended {
    log::debug!(error:% = error; "not sent");
    Ended::NotRun {
        why: "not_connected",
        is_lost: true,
        is_refused: matches!(error, CallError::Refused(_)),
        at_fault: None,
    }
}

fn not_run(reason: NotRun, at_fault: Option<std::net::SocketAddr>) -> Ended {
    let why = match reason {
        NotRun::Full => "endpoint_full",
        NotRun::OtherIncarnation => "other_incarnation",
        NotRun::Other => "endpoint_refused",
    };
    let is_lost = reason == NotRun::OtherIncarnation;
    Ended::NotRun {
        why,
        is_lost,
        is_refused: false,
        at_fault,
    }
}

async fn whole(connection: Connection, head: response::Parts, mut body: Incoming) -> Ended {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return broken(&error),
        };
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() > ANSWER_BYTES_MAX {
            return unusable("the answer is too long");
        }
    }
    drop(connection);
    Ended::Whole {
        head,
        body: bytes.freeze(),
    }
}

async fn first_events(connection: Connection, head: response::Parts, mut body: Incoming) -> Ended {
    let mut events = Events::default();
    loop {
        let frame = match body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return broken(&error),
            None if events.is_partial() => {
                return unusable("the stream ended within its first event");
            }
            None => {
                drop(connection);
                let body = Bytes::new();
                return Ended::Whole { head, body };
            }
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let first = events.take(data);
        if !first.is_empty() {
            let stream = Stream {
                _connection: connection,
                body,
                events,
                first,
            };
            return Ended::Started { head, stream };
        }
        if events.is_excessive() {
            return unusable("an event without an end");
        }
    }
}

fn broken(error: &hyper::Error) -> Ended {
    Ended::Unknown {
        lost: lost(error),
        why: describe(error),
    }
}

fn unusable(why: &str) -> Ended {
    Ended::Unknown {
        lost: Lost::Unusable,
        why: why.to_string(),
    }
}

fn unanswered(error: &CallError) -> Ended {
    let lost = match error {
        CallError::NoAnswer { lost, .. } => *lost,
        _ => Lost::PathLost,
    };
    Ended::Unknown {
        lost,
        why: error.to_string(),
    }
}
