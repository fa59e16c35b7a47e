//! Reads request bodies, and refuses those that there is no memory for before they are read.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::EXPECT;
use http::request;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::client_connection::ClientConnection;
use crate::core::Core;
use crate::dialect::ClientRequest;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::held_bytes::HeldBuffer;
use crate::held_bytes::HoldKind;
use crate::link_use::LinkState;
use crate::traffic::TrafficKind;

/// `Retry-After` if there is no memory for a body, in milliseconds. Most requests end within a
/// second and release theirs, and the client's next try probably reaches another host.
const RETRY_AFTER_NO_MEMORY_MS: u64 = 500;

/// `Retry-After` if the link is full, in milliseconds: half of the time constant of its averages.
const RETRY_AFTER_LINK_FULL_MS: u64 = 500;

/// How long the body of a refused request is still received and discarded. A client that is in the
/// middle of sending it would otherwise see a reset connection instead of the refusal.
pub(crate) const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a body of at most `most` bytes by the deadline. Its room in the account of held bytes is
/// taken before it is read.
pub(crate) async fn read(
    core: &Rc<Core>,
    client: &ClientConnection,
    client_request: &ClientRequest,
    head: &request::Parts,
    mut body: Incoming,
    most: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let announced_bytes = body.size_hint().exact().map(|bytes| bytes as usize);
    let read = match begin(core, client, announced_bytes, most) {
        Ok(buffer) => timeout_at(deadline, collect(core, &mut body, buffer, most))
            .await
            .unwrap_or_else(|_| Err(Refusal::of(Fault::BodyTooSlow))),
        Err(refusal) => Err(refusal),
    };
    if let Err(refusal) = &read {
        log::info!(
            request_id = client_request.request_id,
            reason = refusal.fault.name(),
            announced_bytes = announced_bytes.unwrap_or(0),
            held_total_bytes = core.held.total_bytes(),
            retry_after_ms = refusal.retry_after_ms.unwrap_or(0);
            "a request body isn't taken"
        );
        let is_sending = matches!(
            refusal.fault,
            Fault::NoMemory | Fault::LinkFull | Fault::BodyTooLong
        );
        if is_sending {
            discard_in_background(core, head, body, most);
        }
    }
    read
}

fn begin(
    core: &Core,
    client: &ClientConnection,
    announced_bytes: Option<usize>,
    most: usize,
) -> Result<HeldBuffer, Refusal> {
    if announced_bytes.is_some_and(|announced_bytes| announced_bytes > most) {
        return Err(Refusal::of(Fault::BodyTooLong));
    }
    core.observe_link();
    if core.link_state.get() == LinkState::Full {
        return Err(Refusal::after(Fault::LinkFull, RETRY_AFTER_LINK_FULL_MS));
    }
    core.hold_body(HoldKind::RequestBody, &client.held, announced_bytes)
        .map_err(|_| no_memory())
}

/// The refusal for lack of memory.
pub(crate) fn no_memory() -> Refusal {
    Refusal::after(Fault::NoMemory, RETRY_AFTER_NO_MEMORY_MS)
}

async fn collect(
    core: &Core,
    body: &mut Incoming,
    mut buffer: HeldBuffer,
    most: usize,
) -> Result<Bytes, Refusal> {
    let held_options = core.published.live_settings().held.clone();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            log::info!(error:% = error; "failed to read a request body");
            Refusal::of(Fault::Malformed)
        })?;
        let data = frame.into_data().unwrap_or_default();
        core.traffic.add(TrafficKind::Requests, data.len());
        if buffer.len() + data.len() > most {
            return Err(Refusal::of(Fault::BodyTooLong));
        }
        buffer.push(&held_options, &data).map_err(|_| no_memory())?;
    }
    Ok(buffer.finish())
}

/// Starts to receive and drop the rest of the body of a refused request, so that its client, which
/// may still be sending, sees the refusal.
pub(crate) fn discard_in_background(
    core: &Rc<Core>,
    head: &request::Parts,
    body: Incoming,
    most: usize,
) {
    // A client that waits for permission to send its body is not given it.
    if !head.headers.contains_key(EXPECT) {
        let until = Instant::now() + DISCARD_TIMEOUT;
        tokio::task::spawn_local(timeout_at(until, discard(core.clone(), body, most)));
    }
}

/// Receives and drops the rest of a body of at most `most` bytes.
async fn discard(core: Rc<Core>, mut body: Incoming, most: usize) {
    let mut received_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        let frame_bytes = frame.data_ref().map_or(0, Bytes::len);
        core.traffic.add(TrafficKind::Requests, frame_bytes);
        received_bytes += frame_bytes;
        if received_bytes > most {
            return;
        }
    }
}
