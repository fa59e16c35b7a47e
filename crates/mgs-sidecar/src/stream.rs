//! The thread of one running request.

use std::sync::Arc;

use mgs_engine::engine::Engine;
use mgs_engine::engine::Error;
use mgs_engine::message::Event;
use mgs_engine::message::Start;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::Refused;
use mgs_schema::wire::TokenFrame;

use crate::answer::Answer;
use crate::service;
use crate::state::stream_name;
use crate::state::Endpoint;
use crate::state::Shared;

/// Runs a request to its end.
pub(crate) fn run(shared: &Arc<Shared>, dispatch: &Dispatch, answer: &Answer) {
    let end = match &shared.endpoint {
        Endpoint::Engine(engine) => run_engine(engine.as_ref(), dispatch, answer),
        Endpoint::Service(client) => run_service(client, dispatch),
    };
    answer.end(end);
}

fn run_service(client: &service::Client, dispatch: &Dispatch) -> Body {
    match client.call(dispatch, dispatch.budget_ms) {
        Ok(finished) => Body::Finished(finished),
        Err(service::Error::Broken(detail)) => failed(Outcome::Unknown, detail),
        Err(service::Error::Unreachable(detail)) => refused(RefusalReason::EndpointDown, detail),
        Err(service::Error::Invalid(detail)) => refused(RefusalReason::BadRequest, detail),
    }
}

fn run_engine(engine: &dyn Engine, dispatch: &Dispatch, answer: &Answer) -> Body {
    let start = Start {
        stream: stream_name(dispatch),
        model: dispatch.model.clone(),
        prompt: String::from_utf8_lossy(&dispatch.body).into_owned(),
        max_tokens: dispatch.max_tokens,
        priority: dispatch.priority,
        kv: Vec::new(),
    };
    let mut stream = match engine.start(&start) {
        Ok(stream) => stream,
        Err(Error::Broken(detail)) => return failed(Outcome::Unknown, detail),
        Err(Error::Unreachable(detail)) => return refused(RefusalReason::EndpointDown, detail),
        Err(error) => return refused(RefusalReason::Busy, error.to_string()),
    };
    loop {
        match stream.next() {
            Ok(Some(Event::Token { seq, text, tokens })) => {
                answer.push(TokenFrame { seq, tokens, text });
            }
            Ok(Some(Event::End {
                frames,
                prompt_tokens,
                cached_tokens,
                generated_tokens,
                finish_reason,
            })) => {
                return Body::Finished(Finished {
                    outcome: Outcome::Answered.into(),
                    frames,
                    prompt_tokens,
                    cached_tokens,
                    generated_tokens,
                    finish_reason,
                    ..Finished::default()
                })
            }
            Ok(None) => return failed(Outcome::Failed, "the engine gave no end".to_string()),
            Err(error) => return failed(Outcome::Failed, error.to_string()),
        }
    }
}

pub(crate) fn refused(reason: RefusalReason, detail: String) -> Body {
    Body::Refused(Refused {
        reason: reason.into(),
        retry_after_ms: 0,
        detail,
    })
}

fn failed(outcome: Outcome, detail: String) -> Body {
    Body::Finished(Finished {
        outcome: outcome.into(),
        failure: FailureReason::Endpoint.into(),
        detail,
        ..Finished::default()
    })
}
