//! Durable requests: `Prefer: respond-async`, and `/v1/requests/ID` to come back to.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/requests/ID` | 200, its state |
//! | `GET /v1/requests/ID/result` | its answer; 202 while it hasn't ended |
//! | `DELETE /v1/requests/ID` | 200, what became of the wish to cancel |

use mgs_durable::entry::State;
use mgs_durable::executor::Work;
use mgs_durable::request::Cancelled;
use mgs_durable::request::Status;
use mgs_durable::request::Submitted;
use mgs_schema::name::Name;
use mgs_schema::wire::RefusalReason;
use serde_json::json;
use serde_json::Value;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;

use crate::core::Core;
use crate::http::answer;
use crate::http::keyed;
use crate::http::problem::Problem;
use crate::http::serve;
use crate::http::serve::Caller;

/// Start of the paths of durable requests.
pub(crate) const PREFIX: &str = "/v1/requests/";

/// When to look again at a request that hasn't ended, in seconds.
const LOOK_AGAIN_S: &str = "1";

const MS_PER_S: u64 = 1_000;

/// A request as it is kept.
pub(crate) fn work(caller: &Caller, body: Vec<u8>) -> Work {
    let origin = &caller.origin;
    Work {
        organisation: origin.organisation.clone(),
        kind: origin.kind.clone(),
        method: caller.method.clone(),
        path: caller.url.clone(),
        content_type: caller.head.content_type.clone(),
        body,
        idempotent: origin.idempotent.unwrap_or(false),
    }
}

/// Keeps a request to be run whatever becomes of this gateway.
pub(crate) fn submit(core: &Core, request: Request, caller: &Caller, body: Vec<u8>) {
    let id = caller.origin.id;
    let unavailable = keyed::refusal(RefusalReason::StoreUnavailable, 0);
    let Some(durable) = core.durable() else {
        return serve::refuse(core, request, id, &unavailable);
    };
    let key = caller.head.idempotency_key.as_deref().unwrap_or_default();
    let asked = keyed::asked(core, caller, key, &body);
    match durable.submit(&asked, &work(caller, body)) {
        Submitted::Accepted(durable_id) => accepted(request, caller, &durable_id),
        Submitted::Replay(ended) => answer::send_ended(request, &caller.headers(), ended),
        Submitted::Refused {
            reason,
            retry_after_ms,
        } => serve::refuse(core, request, id, &keyed::refusal(reason, retry_after_ms)),
        Submitted::Unsure(durable_id) => {
            let error = json!({"error": {
                "message": "the request may have been accepted; look under its identifier",
                "type": "unknown",
                "reason": "store_unavailable",
                "not_run": "unknown",
                "retry_after_ms": null,
                "id": durable_id,
            }});
            send(request, &caller.headers(), 503, &error);
        }
        Submitted::Busy { retry_after_ms } => busy(request, caller, retry_after_ms),
    }
}

/// Says that an earlier request of the same key is under way. It isn't known here whether that one
/// has run, and the caller means it too.
pub(crate) fn busy(request: Request, caller: &Caller, retry_after_ms: u64) {
    let retry_after_s = retry_after_ms.div_ceil(MS_PER_S).to_string();
    let mut headers = caller.headers();
    headers.extend(Header::from_bytes("Retry-After", retry_after_s.as_str()));
    let error = json!({"error": {
        "message": "an earlier request of this key hasn't ended; send it again under the same key",
        "type": "unknown",
        "reason": RefusalReason::KeyConflict.name(),
        "not_run": "unknown",
        "retry_after_ms": retry_after_ms,
    }});
    send(request, &headers, 409, &error);
}

fn send(request: Request, headers: &[Header], status: u16, body: &Value) {
    let body = body.to_string().into_bytes();
    answer::send(request, headers, status, answer::JSON, body);
}

/// Says where a durable request is found.
pub(crate) fn accepted(request: Request, caller: &Caller, id: &str) {
    let location = format!("{PREFIX}{id}");
    let mut headers = caller.headers();
    headers.extend(Header::from_bytes("Location", location.as_str()));
    headers.extend(Header::from_bytes("Preference-Applied", "respond-async"));
    let body =
        json!({"id": id, "status_url": location, "result_url": format!("{location}/result")});
    send(request, &headers, 202, &body);
}

/// Serves a call about a durable request.
pub(crate) fn serve(core: &Core, request: Request, caller: &Caller) {
    let path = caller.url.strip_prefix(PREFIX).unwrap_or_default();
    let (id, result) = match path.strip_suffix("/result") {
        Some(id) => (id, true),
        None => (path, false),
    };
    match (request.method(), result) {
        (Method::Get, false) => show(core, request, caller, id),
        (Method::Get, true) => result_of(core, request, caller, id),
        (Method::Delete, false) => cancel(core, request, caller, id),
        _ => serve::not_found(core, request, caller, 405, "method not allowed"),
    }
}

/// Finds a request, or answers why it can't be found.
fn find(core: &Core, request: Request, caller: &Caller, id: &str) -> Option<(Request, Status)> {
    let status = core
        .durable()
        .map(|durable| durable.status(&caller.origin.organisation, id));
    match status {
        Some(Ok(Some(status))) => Some((request, status)),
        Some(Ok(None)) => {
            serve::not_found(core, request, caller, 404, "no such request");
            None
        }
        Some(Err(_)) | None => {
            not_looked_up(request, caller);
            None
        }
    }
}

fn not_looked_up(request: Request, caller: &Caller) {
    answer::send_problem(request, &caller.headers(), &Problem::not_looked_up());
}

fn show(core: &Core, request: Request, caller: &Caller, id: &str) {
    let Some((request, status)) = find(core, request, caller, id) else {
        return;
    };
    let reason = match &status.entry.state {
        State::Done(done) => done.reason.as_str(),
        _ => "",
    };
    let body = json!({
        "id": status.id,
        "state": status.state(),
        "reason": reason,
        "kind": status.entry.kind,
        "cancelled": status.entry.cancelled,
    });
    send(request, &caller.headers(), 200, &body);
}

fn result_of(core: &Core, request: Request, caller: &Caller, id: &str) {
    let Some((request, status)) = find(core, request, caller, id) else {
        return;
    };
    let State::Done(done) = &status.entry.state else {
        let mut headers = caller.headers();
        headers.extend(Header::from_bytes("Retry-After", LOOK_AGAIN_S));
        let body = json!({"id": status.id, "state": status.state()});
        return send(request, &headers, 202, &body);
    };
    let ended = core.durable().map(|durable| durable.answer(done));
    match ended {
        Some(Ok(ended)) => answer::send_ended(request, &caller.headers(), ended),
        Some(Err(_)) | None => not_looked_up(request, caller),
    }
}

fn cancel(core: &Core, request: Request, caller: &Caller, id: &str) {
    let organisation = &caller.origin.organisation;
    let cancelled = core
        .durable()
        .map(|durable| durable.cancel(organisation, id));
    let word = match cancelled {
        Some(Ok(Cancelled::NotFound)) => {
            return serve::not_found(core, request, caller, 404, "no such request");
        }
        Some(Ok(Cancelled::NotRun)) => "not_run",
        Some(Ok(Cancelled::Wanted)) => "wanted",
        Some(Ok(Cancelled::Ended)) => "ended",
        Some(Err(_)) | None => return not_looked_up(request, caller),
    };
    let body = json!({"id": id, "cancelled": word});
    send(request, &caller.headers(), 200, &body);
}
