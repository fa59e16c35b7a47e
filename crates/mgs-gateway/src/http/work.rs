//! What a request asks for, once its body was understood.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mgs_request::outcome::Refusal;
use mgs_schema::key::RequestId;
use mgs_schema::prefix;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::LimitRow;
use mgs_schema::wire::RefusalReason;

use crate::http::completion::Answer;
use crate::http::completion::Completion;
use crate::http::completion::Form;
use crate::http::service;
use crate::job::Job;

/// Most prefix blocks that are hashed of a prompt.
const PREFIX_BLOCKS_MAX: usize = 512;

/// Who asks, and by which row.
#[derive(Debug, Clone)]
pub(crate) struct Origin {
    pub(crate) id: RequestId,
    pub(crate) organisation: String,
    pub(crate) kind: String,
    pub(crate) row: LimitRow,
    pub(crate) arrived_ms: u64,
    pub(crate) deadline_ms: u64,
    /// What the caller says of repeating it.
    pub(crate) idempotent: Option<bool>,
    /// Whether others than this gateway wait for its end: under a key, or durable.
    pub(crate) kept: bool,
}

/// The form in which the answer is wanted.
#[derive(Debug, Clone)]
pub(crate) enum Shape {
    /// A completion, whole or streamed.
    Completion { naming: Answer, stream: bool },
    /// A plain service's answer.
    Service,
}

/// A request that can be admitted.
#[derive(Debug, Clone)]
pub(crate) struct Prepared {
    pub(crate) job: Job,
    /// Prompt, or body of a plain service's call.
    pub(crate) body: Vec<u8>,
    pub(crate) shape: Shape,
}

/// What is asked of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Route {
    Completion(Form),
    Service,
}

/// The route of a method and path, if they are a request that runs.
pub(crate) fn route(method: &str, path: &str) -> Option<Route> {
    match (method, path) {
        ("POST", "/v1/chat/completions") => Some(Route::Completion(Form::Chat)),
        ("POST", "/v1/completions") => Some(Route::Completion(Form::Text)),
        (_, path) if path.starts_with(service::PREFIX) => Some(Route::Service),
        _ => None,
    }
}

/// Path of a URL.
pub(crate) fn path(url: &str) -> &str {
    url.split('?').next().unwrap_or_default()
}

impl Prepared {
    /// Understands a request.
    pub(crate) fn new(
        origin: &Origin,
        method: &str,
        url: &str,
        content_type: &str,
        body: Vec<u8>,
    ) -> Result<Self, Refusal> {
        match route(method, path(url)) {
            Some(Route::Completion(form)) => Self::completion(origin, form, &body),
            Some(Route::Service) => Self::service(origin, method, url, content_type, body),
            None => Err(Refusal::new(RefusalReason::BadRequest, "no such path")),
        }
    }

    fn completion(origin: &Origin, form: Form, body: &[u8]) -> Result<Self, Refusal> {
        let completion = Completion::parse(form, body)?;
        // A completion may run twice unless its caller says otherwise, in words or by a key.
        let mut job = job(
            origin,
            EndpointKind::Engine,
            &completion.model,
            !origin.kept,
        );
        job.prompt_tokens = prefix::tokens(completion.prompt.len());
        job.max_tokens = completion.max_tokens;
        job.prefix_hashes = prefix::block_hashes(completion.prompt.as_bytes(), PREFIX_BLOCKS_MAX);
        let naming = Answer {
            form,
            id: origin.id,
            model: completion.model,
            created_s: created_s(),
        };
        Ok(Self {
            job,
            body: completion.prompt.into_bytes(),
            shape: Shape::Completion {
                naming,
                stream: completion.stream,
            },
        })
    }

    fn service(
        origin: &Origin,
        method: &str,
        url: &str,
        content_type: &str,
        body: Vec<u8>,
    ) -> Result<Self, Refusal> {
        let unnamed = || Refusal::new(RefusalReason::UnknownService, "no service is named");
        let (name, path) = service::split(url).ok_or_else(unnamed)?;
        let idempotent = service::is_idempotent(method);
        let mut job = job(origin, EndpointKind::Service, name, idempotent);
        job.prompt_tokens = prefix::tokens(body.len());
        job.method = method.to_string();
        job.path = path;
        job.content_type = content_type.to_string();
        Ok(Self {
            job,
            body,
            shape: Shape::Service,
        })
    }
}

fn job(origin: &Origin, kind: EndpointKind, model: &str, idempotent: bool) -> Job {
    Job {
        id: origin.id,
        organisation: origin.organisation.clone(),
        kind: origin.kind.clone(),
        endpoint_kind: kind,
        model: model.to_string(),
        prompt_tokens: 0,
        max_tokens: 0,
        prefix_hashes: Vec::new(),
        priority: origin.row.priority,
        weight: origin.row.weight,
        idempotent: origin.idempotent.unwrap_or(idempotent),
        method: String::new(),
        path: String::new(),
        content_type: String::new(),
        outlives_gateway: origin.kept,
        arrived_ms: origin.arrived_ms,
        deadline_ms: origin.deadline_ms,
    }
}

/// Seconds since the Unix epoch, for the caller to read only.
fn created_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
