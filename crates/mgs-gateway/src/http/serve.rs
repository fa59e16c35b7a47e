//! Serves one caller's request from its head to its answer.

use std::io;
use std::sync::Arc;

use mgs_durable::executor;
use mgs_durable::executor::Permits;
use mgs_request::outcome::End;
use mgs_request::outcome::Refusal;
use mgs_schema::key::RequestId;
use mgs_schema::name::Name;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::LimitRow;
use mgs_schema::wire::RefusalReason;
use serde_json::json;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;

use crate::core::Core;
use crate::http::answer;
use crate::http::body;
use crate::http::completion::Answer;
use crate::http::head::Head;
use crate::http::keyed;
use crate::http::problem::Problem;
use crate::http::requests;
use crate::http::sse::Both;
use crate::http::sse::Collect;
use crate::http::sse::Stream;
use crate::http::work;
use crate::http::work::Origin;
use crate::http::work::Prepared;
use crate::http::work::Shape;
use crate::job::Job;
use crate::run;

/// Allotted time of a row that names none, in milliseconds.
const DEFAULT_ALLOTTED_MS: u64 = 60_000;

/// Announced bodies above this can't even be refused, in bytes: the HTTP library would set aside
/// memory for all of one when it is dropped. Such callers are left hanging.
const ABSURD_BODY_BYTES: usize = 1 << 30;

/// A caller's request that passed the checks of its head.
pub(crate) struct Caller {
    pub(crate) origin: Origin,
    pub(crate) head: Head,
    pub(crate) method: String,
    pub(crate) url: String,
}

impl Caller {
    /// Headers of each answer.
    pub(crate) fn headers(&self) -> Vec<Header> {
        headers(self.origin.id, self.head.request_id.as_deref())
    }

    /// Understands the request with its body.
    fn prepare(&self, body: Vec<u8>) -> Result<Prepared, Refusal> {
        let content_type = &self.head.content_type;
        Prepared::new(&self.origin, &self.method, &self.url, content_type, body)
    }
}

fn headers(id: RequestId, echo: Option<&str>) -> Vec<Header> {
    let mut headers = Vec::new();
    headers.extend(Header::from_bytes("Request-Id", id.to_string()));
    if let Some(echo) = echo {
        headers.extend(Header::from_bytes("X-Request-Id", echo));
    }
    headers
}

/// Serves a request; never panics on what a caller sends.
pub(crate) fn serve(core: &Core, request: Request) {
    if request
        .body_length()
        .is_some_and(|bytes| bytes > ABSURD_BODY_BYTES)
    {
        core.metrics.callers_stuck.inc();
        log::error!("a caller announces a body of more than {ABSURD_BODY_BYTES} bytes");
        std::mem::forget(request);
        return;
    }
    let id = core.next_id();
    let arrived_ms = core.now_ms();
    match check(core, id, arrived_ms, &request) {
        Ok(caller) => dispatch(core, request, &caller),
        Err(refusal) => refuse(core, request, id, &refusal),
    }
}

fn dispatch(core: &Core, request: Request, caller: &Caller) {
    let path = work::path(&caller.url);
    match (request.method(), path) {
        _ if work::route(&caller.method, path).is_some() => run_work(core, request, caller),
        (_, path) if path.starts_with(requests::PREFIX) => requests::serve(core, request, caller),
        (Method::Get, "/v1/models") => models(core, request, caller),
        (_, "/v1/chat/completions" | "/v1/completions" | "/v1/models") => {
            not_found(core, request, caller, 405, "method not allowed");
        }
        _ => not_found(core, request, caller, 404, "no such path"),
    }
}

fn check(
    core: &Core,
    id: RequestId,
    arrived_ms: u64,
    request: &Request,
) -> Result<Caller, Refusal> {
    let head = Head::read(request)?;
    if !core.has_settings() {
        return Err(Refusal::new(RefusalReason::NotReady, ""));
    }
    let table = core.settings.table();
    let bearer = head.bearer.as_deref().unwrap_or_default();
    let organisation = table.organisation_of(bearer);
    let organisation = organisation
        .map(|row| row.name.clone())
        .ok_or_else(|| Refusal::new(RefusalReason::Unauthenticated, "no known bearer key"))?;
    if core.is_closed() {
        let detail = "the gateway is leaving";
        return Err(Refusal::new(RefusalReason::Leaving, detail));
    }
    let body = core.body();
    if request
        .body_length()
        .is_some_and(|bytes| bytes > body.max_bytes)
    {
        return Err(body::too_large(&body));
    }
    let row = table.limit(&organisation, &head.kind).cloned();
    // Questions about durable requests run nothing, and need no row.
    let asks = request.url().starts_with(requests::PREFIX);
    let row = row.or_else(|| asks.then(LimitRow::default));
    let row = row.ok_or_else(|| {
        let detail = "no row for the organisation and kind of request";
        Refusal::new(RefusalReason::UnknownModel, detail)
    })?;
    let origin = Origin {
        id,
        organisation,
        kind: head.kind.clone(),
        arrived_ms,
        deadline_ms: arrived_ms + allotted_ms(&row, head.timeout_ms),
        row,
        idempotent: head.idempotent,
        kept: head.idempotency_key.is_some(),
    };
    Ok(Caller {
        origin,
        head,
        method: request.method().to_string(),
        url: request.url().to_string(),
    })
}

/// Time that a row allots, or less if the caller wants less, in milliseconds.
pub(crate) fn allotted_ms(row: &LimitRow, wanted_ms: Option<u64>) -> u64 {
    let allotted_ms = match row.allotted_ms {
        0 => DEFAULT_ALLOTTED_MS,
        allotted_ms => allotted_ms,
    };
    wanted_ms.unwrap_or(allotted_ms).min(allotted_ms)
}

/// Refuses a request.
pub(crate) fn refuse(core: &Core, request: Request, id: RequestId, refusal: &Refusal) {
    core.metrics.refused_early(refusal);
    log::info!(request_id:% = id, outcome = "refused", reason = refusal.reason.name();
        "request finished");
    answer::send_problem(request, &headers(id, None), &Problem::refused(refusal));
}

pub(crate) fn not_found(core: &Core, request: Request, caller: &Caller, status: u16, detail: &str) {
    let refusal = Refusal::new(RefusalReason::BadRequest, detail);
    core.metrics.refused_early(&refusal);
    let mut problem = Problem::refused(&refusal);
    problem.status = status;
    answer::send_problem(request, &caller.headers(), &problem);
}

fn models(core: &Core, request: Request, caller: &Caller) {
    let view = core.view();
    let is_engine = |key| {
        let endpoint = view.get(key);
        endpoint.is_some_and(|endpoint| endpoint.kind == EndpointKind::Engine)
    };
    let served = view.by_model.iter();
    let served = served.filter(|(_, keys)| keys.iter().any(|key| is_engine(*key)));
    let mut names: Vec<&String> = served.map(|(model, _)| model).collect();
    names.retain(|name| run::allows(&caller.origin.row, name));
    names.sort();
    let data: Vec<_> = names
        .into_iter()
        .map(|name| json!({"id": name, "object": "model"}))
        .collect();
    let body = json!({"object": "list", "data": data}).to_string();
    answer::send(
        request,
        &caller.headers(),
        200,
        answer::JSON,
        body.into_bytes(),
    );
}

fn run_work(core: &Core, mut request: Request, caller: &Caller) {
    let body = match body::read(request.as_reader(), &core.body()) {
        Ok(body) => body,
        Err(refusal) => return refuse(core, request, caller.origin.id, &refusal),
    };
    match &caller.head.idempotency_key {
        _ if caller.head.respond_async => requests::submit(core, request, caller, body),
        Some(key) => keyed::serve(core, request, caller, body, key),
        None => {
            answer_now(core, request, caller, body, None);
        }
    }
}

/// Runs a request and answers it; gives its end as it is kept under a key.
pub(crate) fn answer_now(
    core: &Core,
    request: Request,
    caller: &Caller,
    body: Vec<u8>,
    permits: Option<&dyn Permits>,
) -> executor::Answer {
    let prepared = match caller.prepare(body) {
        Ok(prepared) => prepared,
        Err(refusal) => {
            refuse(core, request, caller.origin.id, &refusal);
            return answer::ended(&Shape::Service, "", &End::Refused(refusal));
        }
    };
    let Prepared { job, body, shape } = prepared;
    let job = Arc::new(job);
    match &shape {
        Shape::Completion {
            naming,
            stream: true,
        } => {
            let stream = Stream::new(request, naming.clone(), &caller.headers());
            stream_now(core, stream, caller, (&job, body, &shape), permits)
        }
        _ => {
            let mut collect = Collect::default();
            let end = run::run(core, &job, body, permits, &mut collect);
            let ended = answer::ended(&shape, &collect.text, &end);
            match Problem::of(&end) {
                Some(problem) => answer::send_problem(request, &caller.headers(), &problem),
                None => answer::send_ended(request, &caller.headers(), ended.clone()),
            }
            ended
        }
    }
}

fn stream_now(
    core: &Core,
    mut stream: Stream,
    caller: &Caller,
    (job, body, shape): (&Arc<Job>, Vec<u8>, &Shape),
    permits: Option<&dyn Permits>,
) -> executor::Answer {
    let mut collect = Collect::default();
    let end = if permits.is_some() {
        let mut both = Both {
            stream: &mut stream,
            collect: &mut collect,
        };
        run::run(core, job, body, permits, &mut both)
    } else {
        run::run(core, job, body, None, &mut stream)
    };
    end_stream(stream, caller, &end);
    answer::ended(shape, &collect.text, &end)
}

/// Sends the end of a stream, in the stream if that has begun.
fn end_stream(mut stream: Stream, caller: &Caller, end: &End) {
    let sent = match (end, Problem::of(end)) {
        (End::Answered(finished), _) => stream.finish(finished),
        (_, Some(problem)) if stream.has_begun() => stream.fail(&problem),
        (_, Some(problem)) => {
            if let Some(request) = stream.into_request() {
                answer::send_problem(request, &caller.headers(), &problem);
            }
            Ok(())
        }
        (_, None) => unreachable!("each other end is a problem"),
    };
    note(caller.origin.id, sent);
}

/// Sends an answer that was kept, in the form that the caller wants.
pub(crate) fn answer_kept(
    request: Request,
    caller: &Caller,
    naming: Option<Answer>,
    kept: executor::Answer,
) {
    let text = String::from_utf8_lossy(&kept.body);
    let whole = naming.and_then(|naming| Some((naming.pieces(&text)?, naming)));
    let Some((pieces, naming)) = whole else {
        return answer::send_ended(request, &caller.headers(), kept);
    };
    let mut stream = Stream::new(request, naming, &caller.headers());
    note(caller.origin.id, stream.send_pieces(&pieces));
}

fn note(id: RequestId, sent: io::Result<()>) {
    if let Err(error) = sent {
        log::info!(request_id:% = id, error:% = error; "the caller didn't take the end");
    }
}
