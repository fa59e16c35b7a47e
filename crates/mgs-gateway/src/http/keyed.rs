//! Requests with an `Idempotency-Key`: at most one run, whichever gateways its repeats reach.

use mgs_durable::claim::Asked;
use mgs_durable::claim::Claimed;
use mgs_durable::entry::body_digest;
use mgs_request::outcome::Refusal;
use mgs_schema::wire::RefusalReason;
use tiny_http::Request;

use crate::core::Core;
use crate::http::completion::Answer;
use crate::http::requests;
use crate::http::serve;
use crate::http::serve::Caller;
use crate::http::work::Prepared;
use crate::http::work::Shape;
use crate::lent;

/// What the durable part is asked.
pub(crate) fn asked(core: &Core, caller: &Caller, key: &str, body: &[u8]) -> Asked {
    let origin = &caller.origin;
    Asked {
        organisation: origin.organisation.clone(),
        kind: origin.kind.clone(),
        key: key.to_string(),
        digest: body_digest(&caller.method, &caller.url, body),
        idempotent: origin.idempotent.unwrap_or(false),
        budget_ms: origin.deadline_ms.saturating_sub(core.now_ms()),
    }
}

/// A refusal by the durable part.
pub(crate) fn refusal(reason: RefusalReason, retry_after_ms: u64) -> Refusal {
    Refusal {
        reason,
        retry_after_ms,
        detail: String::new(),
    }
}

/// Serves a keyed request.
pub(crate) fn serve(core: &Core, request: Request, caller: &Caller, body: Vec<u8>, key: &str) {
    let id = caller.origin.id;
    // What can't be understood isn't worth a claim.
    let stream = match prepare(caller, &body) {
        Ok(prepared) => streamed(&prepared.shape),
        Err(refusal) => return serve::refuse(core, request, id, &refusal),
    };
    let Some(durable) = core.durable() else {
        let refusal = refusal(RefusalReason::StoreUnavailable, 0);
        return serve::refuse(core, request, id, &refusal);
    };
    match durable.claim(&asked(core, caller, key, &body)) {
        Claimed::Run(tenure) => {
            let ended = serve::answer_now(core, request, caller, body, Some(&tenure));
            tenure.finish(ended);
        }
        Claimed::Resume(tenure, target) => {
            let work = requests::work(caller, body);
            let budget_ms = caller.origin.deadline_ms.saturating_sub(core.now_ms());
            let ended = lent::resume(core, &work, &target, budget_ms);
            serve::answer_kept(request, caller, stream, ended.clone());
            tenure.finish(ended);
        }
        Claimed::Replay(ended) => serve::answer_kept(request, caller, stream, ended),
        Claimed::Moved(durable_id) => requests::accepted(request, caller, &durable_id),
        Claimed::Busy { retry_after_ms } => requests::busy(request, caller, retry_after_ms),
        Claimed::Refused {
            reason,
            retry_after_ms,
        } => serve::refuse(core, request, id, &refusal(reason, retry_after_ms)),
        Claimed::Unclaimed => {
            serve::answer_now(core, request, caller, body, None);
        }
    }
}

fn prepare(caller: &Caller, body: &[u8]) -> Result<Prepared, Refusal> {
    let (method, url) = (&caller.method, &caller.url);
    let content_type = &caller.head.content_type;
    Prepared::new(&caller.origin, method, url, content_type, body.to_vec())
}

/// The naming of a streamed answer; `None` if the answer is wanted whole.
fn streamed(shape: &Shape) -> Option<Answer> {
    match shape {
        Shape::Completion {
            naming,
            stream: true,
        } => Some(naming.clone()),
        _ => None,
    }
}
