//! One dispatch to one endpoint, up to a complete response or the first event of a stream.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::response;
use http::HeaderMap;
use http::Request;
use http_body_util::BodyExt;
use hyper::body::Body;
use mgs_backpressure::warm_up::Permit;

use crate::client_connection::ClientConnection;
use crate::connection::describe;
use crate::connection::loss_cause;
use crate::connection::CallError;
use crate::connection::Connection;
use crate::connection::LossCause;
use crate::core::Core;
use crate::dialect::ClientRequest;
use crate::dialect::NotRun;
use crate::dialect::ResponseKind;
use crate::event_splitter::EventSplitter;
use crate::held_bytes::HoldKind;
use crate::held_bytes::NoRoom;
use crate::read_allowance::ResponseBytes;
use crate::view::Endpoint;

/// Longest complete response that is forwarded, in bytes. It is read to its end first, so that a
/// truncated one is told from a complete one.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Why a longer response isn't used.
const TOO_LONG: &str = "the response body is too long";

/// Why an endpoint has not run a request that wasn't sent.
const NOT_CONNECTED: &str = "not_connected";

/// A stream that has delivered its first events.
pub(crate) struct EventStream {
    /// Kept open as long as the stream is read.
    pub(crate) _connection: Connection,
    pub(crate) body: ResponseBytes,
    /// What it means that the body ends within an event.
    pub(crate) incomplete_cause: LossCause,
    pub(crate) events: EventSplitter,
    pub(crate) first: Bytes,
}

/// Result of a dispatch.
pub(crate) enum DispatchResult {
    /// The endpoint can't have run the request.
    NotRun {
        why: &'static str,
        /// Whether the endpoint at fault is gone or replaced by another incarnation, rather than
        /// busy.
        is_lost: bool,
        /// Whether the connection was refused: nothing listens at the address.
        is_refused: bool,
        at_fault: Option<std::net::SocketAddr>,
    },
    /// The endpoint can't have run the request, since a helper refused to prefill its part of the
    /// prompt.
    HelperRefused {
        helper: Arc<Endpoint>,
        /// Whether the helper held a memory reservation for the request.
        is_reserved: bool,
    },
    /// The request wasn't sent, since its permit had expired when the connection opened.
    PermitExpired,
    /// The request may have run; there is no usable response.
    Unknown { lost: LossCause, why: String },
    /// The endpoint answered, and this host has no memory for the answer.
    NotHeld(NoRoom),
    /// A complete response.
    Full { head: response::Parts, body: Bytes },
    /// A stream has started.
    Started {
        head: response::Parts,
        stream: EventStream,
    },
}

impl DispatchResult {
    /// Whether the request was sent.
    pub(crate) fn is_sent(&self) -> bool {
        match self {
            Self::PermitExpired => false,
            Self::NotRun { why, .. } => *why != NOT_CONNECTED,
            _ => true,
        }
    }
}

/// Sends a request and waits for its response. Dropping the future closes the connection.
pub(crate) async fn send(
    core: &Rc<Core>,
    endpoint: &Endpoint,
    request: Request<Bytes>,
    client: &ClientConnection,
    client_request: &ClientRequest,
    is_streaming: bool,
    permit: Permit,
) -> DispatchResult {
    let start = Instant::now();
    let within = Duration::from_millis(core.options.connect_timeout_ms);
    let mut connection = match Connection::open(endpoint.facts.address, within).await {
        Ok(connection) => connection,
        Err(error) => return not_sent(&error),
    };
    let took_ms = start.elapsed().as_secs_f64() * 1e3;
    core.metrics.connect_ms.observe(took_ms);
    if !core.confirm_send(endpoint, permit, client_request) {
        return DispatchResult::PermitExpired;
    }
    let sent_ms = core.now_ms();
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(error) if error.is_unsent() => return not_sent(&error),
        Err(error) => return no_answer(&error),
    };
    let (head, body) = response.into_parts();
    core.apply_advice(endpoint, client_request, &head, sent_ms);
    match core.dialect.classify_response(client_request, &head) {
        ResponseKind::NotRun { reason, at_fault } => not_run(reason, at_fault),
        ResponseKind::Foreign(foreign) => unusable(&foreign.to_string()),
        ResponseKind::Answer if is_streaming && head.status.is_success() => {
            read_first_events(core, client, connection, head, body).await
        }
        ResponseKind::Answer => read_full_body(core, client, connection, head, body).await,
    }
}

fn not_sent(error: &CallError) -> DispatchResult {
    log::debug!(error:% = error; "not sent");
    DispatchResult::NotRun {
        why: NOT_CONNECTED,
        is_lost: true,
        is_refused: matches!(error, CallError::Refused(_)),
        at_fault: None,
    }
}

fn not_run(reason: NotRun, at_fault: Option<std::net::SocketAddr>) -> DispatchResult {
    let why = match reason {
        NotRun::Full => "endpoint_full",
        NotRun::OtherIncarnation => "other_incarnation",
        NotRun::Other => "endpoint_refused",
    };
    let is_lost = reason == NotRun::OtherIncarnation;
    DispatchResult::NotRun {
        why,
        is_lost,
        is_refused: false,
        at_fault,
    }
}

async fn read_full_body(
    core: &Core,
    client: &ClientConnection,
    connection: Connection,
    head: response::Parts,
    mut body: ResponseBytes,
) -> DispatchResult {
    let announced_bytes = body.size_hint().exact().map(|bytes| bytes as usize);
    if announced_bytes.is_some_and(|bytes| bytes > ANSWER_BYTES_MAX) {
        return unusable(TOO_LONG);
    }
    let held_options = core.published.live_settings().held.clone();
    let buffer = core.hold_body(HoldKind::Answer, &client.held, announced_bytes);
    let mut buffer = match buffer {
        Ok(buffer) => buffer,
        Err(no_room) => return DispatchResult::NotHeld(no_room),
    };
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return connection_broken(&error),
        };
        if let Some(data) = frame.data_ref() {
            if let Err(no_room) = buffer.push(&held_options, data) {
                return DispatchResult::NotHeld(no_room);
            }
        }
        if buffer.len() > ANSWER_BYTES_MAX {
            return unusable(TOO_LONG);
        }
    }
    drop(connection);
    DispatchResult::Full {
        head,
        body: buffer.finish(),
    }
}

async fn read_first_events(
    core: &Core,
    client: &ClientConnection,
    connection: Connection,
    head: response::Parts,
    mut body: ResponseBytes,
) -> DispatchResult {
    let mut events = EventSplitter::default();
    let mut partial_event = None;
    loop {
        let frame = match body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return connection_broken(&error),
            None if events.is_partial() => {
                return broken_off(&head, "the stream ended within its first event");
            }
            None if ends_with_connection(&head.headers) => {
                return broken_off(&head, "the connection was closed before the first event");
            }
            None => {
                drop(connection);
                let body = Bytes::new();
                return DispatchResult::Full { head, body };
            }
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let first = events.take(data);
        if !first.is_empty() {
            let stream = EventStream {
                _connection: connection,
                incomplete_cause: incomplete_cause(&head.headers),
                body,
                events,
                first,
            };
            return DispatchResult::Started { head, stream };
        }
        if events.is_excessive() {
            return unusable("an event exceeds the size limit");
        }
        drop(partial_event.take());
        partial_event = match core.hold_partial_event(&client.held, events.partial_bytes()) {
            Ok(held) => held,
            Err(no_room) => return DispatchResult::NotHeld(no_room),
        };
    }
}

fn connection_broken(error: &hyper::Error) -> DispatchResult {
    DispatchResult::Unknown {
        lost: loss_cause(error),
        why: describe(error),
    }
}

/// Whether a response has neither a length nor chunks, so that its body ends with its connection.
fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

/// Why a stream is incomplete that ended without an error: if its body ends with its connection, the
/// endpoint may have crashed.
fn incomplete_cause(headers: &HeaderMap) -> LossCause {
    match ends_with_connection(headers) {
        true => LossCause::BrokenOff,
        false => LossCause::Unusable,
    }
}

fn broken_off(head: &response::Parts, why: &str) -> DispatchResult {
    DispatchResult::Unknown {
        lost: incomplete_cause(&head.headers),
        why: why.to_string(),
    }
}

fn unusable(why: &str) -> DispatchResult {
    DispatchResult::Unknown {
        lost: LossCause::Unusable,
        why: why.to_string(),
    }
}

fn no_answer(error: &CallError) -> DispatchResult {
    let lost = match error {
        CallError::NoAnswer { lost, .. } => *lost,
        _ => LossCause::PathLost,
    };
    DispatchResult::Unknown {
        lost,
        why: error.to_string(),
    }
}
