//! Serves one caller's request from its head to its answer.

use std::io;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mgs_request::outcome::End;
use mgs_request::outcome::Refusal;
use mgs_schema::key::RequestId;
use mgs_schema::name::Name;
use mgs_schema::prefix;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::LimitRow;
use mgs_schema::wire::RefusalReason;
use serde_json::json;
use tiny_http::Header;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Response;

use crate::core::Core;
use crate::drive::Drive;
use crate::drive::Report;
use crate::drive::Sink;
use crate::http::body;
use crate::http::completion::Answer;
use crate::http::completion::Completion;
use crate::http::completion::Form;
use crate::http::head::Head;
use crate::http::problem::Problem;
use crate::http::service;
use crate::http::sse::Collect;
use crate::http::sse::Stream;
use crate::job::Job;

/// Most prefix blocks that are hashed of a prompt.
const PREFIX_BLOCKS_MAX: usize = 512;

/// Allotted time of a row that names none, in milliseconds.
const DEFAULT_ALLOTTED_MS: u64 = 60_000;

/// Announced bodies above this can't even be refused, in bytes: the HTTP library would set aside
/// memory for all of one when it is dropped. Such callers are left hanging.
const ABSURD_BODY_BYTES: usize = 1 << 30;

/// A caller's request that passed the checks of its head.
pub(crate) struct Caller {
    pub(crate) id: RequestId,
    pub(crate) arrived_ms: u64,
    pub(crate) head: Head,
    pub(crate) organisation: String,
    pub(crate) row: LimitRow,
}

impl Caller {
    /// When the allotted time ends.
    fn deadline_ms(&self) -> u64 {
        let allotted_ms = match self.row.allotted_ms {
            0 => DEFAULT_ALLOTTED_MS,
            allotted_ms => allotted_ms,
        };
        let wanted_ms = self.head.timeout_ms.unwrap_or(allotted_ms);
        self.arrived_ms + wanted_ms.min(allotted_ms)
    }

    /// A job without what its body says.
    pub(crate) fn job(&self, kind: EndpointKind, model: &str, idempotent: bool) -> Job {
        Job {
            id: self.id,
            organisation: self.organisation.clone(),
            kind: self.head.kind.clone(),
            endpoint_kind: kind,
            model: model.to_string(),
            prompt_tokens: 0,
            max_tokens: 0,
            prefix_hashes: Vec::new(),
            priority: self.row.priority,
            weight: self.row.weight,
            idempotent: self.head.idempotent.unwrap_or(idempotent),
            method: String::new(),
            path: String::new(),
            content_type: self.head.content_type.clone(),
            arrived_ms: self.arrived_ms,
            deadline_ms: self.deadline_ms(),
        }
    }

    /// Header lines of each answer.
    pub(crate) fn headers(&self) -> Vec<Header> {
        headers(self.id, self.head.request_id.as_deref())
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
    if request.body_length().is_some_and(|b| b > ABSURD_BODY_BYTES) {
        core.metrics.callers_stuck.inc();
        log::error!("a caller announces a body of more than {ABSURD_BODY_BYTES} bytes");
        std::mem::forget(request);
        return;
    }
    let id = core.next_id();
    let arrived_ms = core.now_ms();
    let url = request.url().to_string();
    let path = url.split('?').next().unwrap_or_default();
    let caller = match check(core, id, arrived_ms, &request) {
        Ok(caller) => caller,
        Err(refusal) => return refuse(core, request, id, &refusal),
    };
    let method = request.method().clone();
    match (method, path) {
        (Method::Post, "/v1/chat/completions") => complete(core, request, &caller, Form::Chat),
        (Method::Post, "/v1/completions") => complete(core, request, &caller, Form::Text),
        (Method::Get, "/v1/models") => models(core, request, &caller),
        (_, path) if path.starts_with(service::PREFIX) => service::serve(core, request, &caller),
        (_, "/v1/chat/completions" | "/v1/completions" | "/v1/models") => {
            not_found(core, request, &caller, 405, "method not allowed")
        }
        _ => not_found(core, request, &caller, 404, "no such path"),
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
        return Err(Refusal::new(
            RefusalReason::Leaving,
            "the gateway is leaving",
        ));
    }
    if request
        .body_length()
        .is_some_and(|bytes| bytes > core.body().max_bytes)
    {
        return Err(body::too_large(&core.body()));
    }
    let row = table.limit(&organisation, &head.kind).cloned();
    let row = row.ok_or_else(|| {
        let detail = "no row for the organisation and kind of request";
        Refusal::new(RefusalReason::UnknownModel, detail)
    })?;
    Ok(Caller {
        id,
        arrived_ms,
        head,
        organisation,
        row,
    })
}

/// Refuses a request that isn't known well enough to be a job.
pub(crate) fn refuse(core: &Core, request: Request, id: RequestId, refusal: &Refusal) {
    let end = End::Refused(refusal.clone());
    core.metrics.ended(&end);
    log::info!(request_id:% = id, outcome = "refused", reason = refusal.reason.name();
        "request finished");
    answer_problem(request, &headers(id, None), &Problem::refused(refusal));
}

fn not_found(core: &Core, request: Request, caller: &Caller, status: u16, detail: &str) {
    let refusal = Refusal::new(RefusalReason::BadRequest, detail);
    core.metrics.ended(&End::Refused(refusal.clone()));
    let mut problem = Problem::refused(&refusal);
    problem.status = status;
    answer_problem(request, &caller.headers(), &problem);
}

pub(crate) fn answer_problem(request: Request, headers: &[Header], problem: &Problem) {
    let mut headers = headers.to_vec();
    if let Some(retry_after_ms) = problem.retry_after_ms {
        let retry_after_s = retry_after_ms.div_ceil(1_000).max(1).to_string();
        headers.extend(Header::from_bytes("Retry-After", retry_after_s));
    }
    let json = problem.json().into_bytes();
    answer(request, &headers, problem.status, "application/json", json);
}

/// Sends a whole answer. A caller that can't be reached has gone, and needs none.
pub(crate) fn answer(
    request: Request,
    headers: &[Header],
    status: u16,
    content_type: &str,
    body: Vec<u8>,
) {
    let mut response = Response::from_data(body).with_status_code(status);
    for header in headers {
        response.add_header(header.clone());
    }
    if let Ok(header) = Header::from_bytes("Content-Type", content_type) {
        response.add_header(header);
    }
    if let Err(error) = request.respond(response) {
        log::debug!(error:% = error; "an answer couldn't be sent");
    }
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
    names.retain(|name| allows(&caller.row, name));
    names.sort();
    let data: Vec<_> = names
        .into_iter()
        .map(|name| json!({"id": name, "object": "model"}))
        .collect();
    let body = json!({"object": "list", "data": data}).to_string();
    let headers = caller.headers();
    answer(
        request,
        &headers,
        200,
        "application/json",
        body.into_bytes(),
    );
}

/// Whether a row allows a model or service.
pub(crate) fn allows(row: &LimitRow, model: &str) -> bool {
    row.models.is_empty() || row.models.iter().any(|allowed| allowed == model)
}

fn complete(core: &Core, mut request: Request, caller: &Caller, form: Form) {
    let completion = body::read(request.as_reader(), &core.body())
        .and_then(|body| Completion::parse(form, &body));
    let completion = match completion {
        Ok(completion) => completion,
        Err(refusal) => return refuse(core, request, caller.id, &refusal),
    };
    let mut job = caller.job(EndpointKind::Engine, &completion.model, true);
    job.prompt_tokens = prefix::tokens(completion.prompt.len());
    job.max_tokens = completion.max_tokens;
    job.prefix_hashes = prefix::block_hashes(completion.prompt.as_bytes(), PREFIX_BLOCKS_MAX);
    let prompt = completion.prompt.into_bytes();
    let job = Arc::new(job);
    let naming = Answer {
        form,
        id: caller.id,
        model: completion.model,
        created_s: created_s(),
    };
    if completion.stream {
        stream(core, request, caller, &job, prompt, naming);
    } else {
        whole(core, request, caller, &job, prompt, &naming);
    }
}

/// Seconds since the Unix epoch, for the caller to read only.
fn created_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

fn whole(
    core: &Core,
    request: Request,
    caller: &Caller,
    job: &Arc<Job>,
    prompt: Vec<u8>,
    naming: &Answer,
) {
    let mut collect = Collect::default();
    let end = run(core, job, prompt, &mut collect);
    let headers = caller.headers();
    match &end {
        End::Answered(finished) => {
            let body = naming.whole(&collect.text, finished).into_bytes();
            answer(request, &headers, 200, "application/json", body);
        }
        _ => answer_end(request, &headers, &end),
    }
}

/// Answers an end that is no answer.
pub(crate) fn answer_end(request: Request, headers: &[Header], end: &End) {
    match Problem::of(end) {
        Some(problem) => answer_problem(request, headers, &problem),
        None => unreachable!("an answered request is answered by its form"),
    }
}

fn stream(
    core: &Core,
    request: Request,
    caller: &Caller,
    job: &Arc<Job>,
    prompt: Vec<u8>,
    naming: Answer,
) {
    let headers = caller.headers();
    let line = |header: &Header| format!("{}: {}\r\n", header.field, header.value);
    let lines: String = headers.iter().map(line).collect();
    let mut stream = Stream::new(request, naming, &lines);
    let end = run(core, job, prompt, &mut stream);
    let sent = match (&end, Problem::of(&end)) {
        (End::Answered(finished), _) => stream.finish(finished),
        (_, Some(problem)) if stream.has_begun() => stream.fail(&problem),
        _ => {
            if let Some(request) = stream.into_request() {
                answer_end(request, &headers, &end);
            }
            Ok(())
        }
    };
    note(job.id, sent);
}

fn note(id: RequestId, sent: io::Result<()>) {
    if let Err(error) = sent {
        log::info!(request_id:% = id, error:% = error; "the caller didn't take the end");
    }
}

/// Admits a job, waits in the queue and drives it to its end.
pub(crate) fn run<S: Sink>(core: &Core, job: &Arc<Job>, body: Vec<u8>, sink: &mut S) -> End {
    let report = match admit(core, job) {
        Ok(choice) => {
            core.metrics.admitted.inc();
            let report = Drive::run(core, job, body, choice, sink);
            core.hub
                .finished(core, job.id, generated_tokens(&report.end));
            report
        }
        Err(refusal) => Report::refused(refusal),
    };
    core.metrics.ended(&report.end);
    log_end(core, job, &report);
    report.end
}

fn generated_tokens(end: &End) -> u64 {
    match end {
        End::Answered(finished) => finished.generated_tokens,
        _ => 0,
    }
}

fn admit(core: &Core, job: &Arc<Job>) -> Result<Option<mgs_routing::policy::Choice>, Refusal> {
    let row_allows = core.settings.table();
    let row_allows = row_allows.limit(&job.organisation, &job.kind);
    if !row_allows.is_some_and(|row| allows(row, &job.model)) {
        let detail = "the row doesn't allow it";
        return Err(Refusal::new(RefusalReason::UnknownModel, detail));
    }
    core.check_fleet(job)?;
    core.hub.admit(core, job)
}

fn log_end(core: &Core, job: &Job, report: &Report) {
    let reason = match &report.end {
        End::Answered(_) => String::new(),
        End::Refused(refusal) => refusal.reason.name(),
        End::Failed(reason, _) | End::Unknown(reason, _) => reason.name(),
    };
    log::info!(
        request_id:% = job.id,
        organisation = job.organisation,
        kind = job.kind,
        model = job.model,
        endpoint = report.endpoint,
        outcome = report.end.outcome().name(),
        reason = reason,
        attempts = report.attempts,
        prompt_tokens = job.prompt_tokens,
        took_ms = core.now_ms().saturating_sub(job.arrived_ms);
        "request finished"
    );
}
