//! Calls of plain services: `/services/NAME/…`.

use std::sync::Arc;

use mgs_request::outcome::End;
use mgs_request::outcome::Refusal;
use mgs_schema::prefix;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::RefusalReason;
use tiny_http::Method;
use tiny_http::Request;

use crate::core::Core;
use crate::http::body;
use crate::http::serve;
use crate::http::serve::Caller;
use crate::http::sse::Collect;

/// Start of the path of each call.
pub(crate) const PREFIX: &str = "/services/";

/// Status of an answer whose service gave none.
const DEFAULT_STATUS: u32 = 200;

const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// Splits a URL into the service's name and the path and query that the service is to see.
fn split(url: &str) -> Option<(&str, String)> {
    let rest = url.strip_prefix(PREFIX)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let slash = match path.starts_with('/') {
        true => "",
        false => "/",
    };
    (!name.is_empty()).then(|| (name, format!("{slash}{path}")))
}

/// Only methods that change nothing may run twice, unless the caller says otherwise.
fn is_idempotent(method: &Method) -> bool {
    matches!(method, Method::Get | Method::Head | Method::Options)
}

/// Serves a call of a plain service.
pub(crate) fn serve(core: &Core, mut request: Request, caller: &Caller) {
    let url = request.url().to_string();
    let Some((name, path)) = split(&url) else {
        let refusal = Refusal::new(RefusalReason::UnknownService, "no service is named");
        return serve::refuse(core, request, caller.id, &refusal);
    };
    let body = match body::read(request.as_reader(), &core.body()) {
        Ok(body) => body,
        Err(refusal) => return serve::refuse(core, request, caller.id, &refusal),
    };
    let idempotent = is_idempotent(request.method());
    let mut job = caller.job(EndpointKind::Service, name, idempotent);
    job.prompt_tokens = prefix::tokens(body.len());
    job.method = request.method().to_string();
    job.path = path;
    let job = Arc::new(job);
    let end = serve::run(core, &job, body, &mut Collect::default());
    let headers = caller.headers();
    match end {
        End::Answered(finished) => {
            let status = match finished.status {
                0 => DEFAULT_STATUS,
                status => status,
            };
            let status = u16::try_from(status).unwrap_or(u16::MAX);
            let content_type = match finished.content_type.as_str() {
                "" => DEFAULT_CONTENT_TYPE,
                content_type => content_type,
            };
            serve::answer(request, &headers, status, content_type, finished.body);
        }
        end => serve::answer_end(request, &headers, &end),
    }
}
