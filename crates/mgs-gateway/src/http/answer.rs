//! Whole answers to callers, and their ends as the durable part keeps them.

use mgs_durable::entry::Ending;
use mgs_durable::executor;
use mgs_request::outcome::End;
use mgs_schema::name::Name;
use mgs_schema::wire::Finished;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;

use crate::http::problem::Problem;
use crate::http::work::Shape;

/// Status of an answer whose service gave none.
const DEFAULT_STATUS: u32 = 200;

const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

pub(crate) const JSON: &str = "application/json";

/// Sends a whole answer. A caller that can't be reached has gone, and needs none.
pub(crate) fn send(
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

/// Sends an error.
pub(crate) fn send_problem(request: Request, headers: &[Header], problem: &Problem) {
    let mut headers = headers.to_vec();
    if let Some(retry_after_ms) = problem.retry_after_ms {
        let retry_after_s = retry_after_ms.div_ceil(1_000).max(1).to_string();
        headers.extend(Header::from_bytes("Retry-After", retry_after_s));
    }
    let json = problem.json().into_bytes();
    send(request, &headers, problem.status, JSON, json);
}

/// Sends an end in its whole form.
pub(crate) fn send_ended(request: Request, headers: &[Header], ended: executor::Answer) {
    match Problem::of_ended(&ended) {
        Some(problem) => send_problem(request, headers, &problem),
        None => send(
            request,
            headers,
            ended.status,
            &ended.content_type,
            ended.body,
        ),
    }
}

/// An end with its whole answer, as it is sent and kept.
pub(crate) fn ended(shape: &Shape, text: &str, end: &End) -> executor::Answer {
    let failed = |ending, reason: String| executor::Answer::without_body(ending, &reason);
    match end {
        End::Answered(finished) => answered(shape, text, finished),
        End::Refused(refusal) => failed(Ending::Refused, refusal.reason.name()),
        End::Failed(reason, _) => failed(Ending::Failed, reason.name()),
        End::Unknown(reason, _) => failed(Ending::Unknown, reason.name()),
    }
}

fn answered(shape: &Shape, text: &str, finished: &Finished) -> executor::Answer {
    let (status, content_type, body) = match shape {
        Shape::Completion { naming, .. } => {
            let body = naming.whole(text, finished).into_bytes();
            (DEFAULT_STATUS, JSON, body)
        }
        Shape::Service => {
            let status = match finished.status {
                0 => DEFAULT_STATUS,
                status => status,
            };
            let content_type = match finished.content_type.as_str() {
                "" => DEFAULT_CONTENT_TYPE,
                content_type => content_type,
            };
            (status, content_type, finished.body.clone())
        }
    };
    executor::Answer {
        ending: Ending::Answered,
        reason: String::new(),
        status: u16::try_from(status).unwrap_or(u16::MAX),
        content_type: content_type.to_string(),
        body,
    }
}
