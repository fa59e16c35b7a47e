//! Sends the planned requests at their scheduled times and records their outcomes.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_standin::engine::text::expected;
use serde_json::json;

use super::client;
use super::client::Delivery;
use super::client::EndState;
use super::client::Outcome;
use super::client::Request;
use super::plan;
use super::plan::Call;
use super::plan::PlannedRequest;
use super::progress::Progress;

/// Gateways and credentials for the load.
#[derive(Debug, Clone)]
pub struct Target {
    /// Gateway addresses; requests are distributed round-robin.
    pub gateways: Vec<SocketAddr>,
    /// Bearer keys by index of the organisation.
    pub bearer_keys: Vec<String>,
}

/// A request and its outcome.
#[derive(Debug, Clone)]
pub struct Record {
    /// The request that was sent.
    pub planned: PlannedRequest,
    /// How the request ended.
    pub outcome: Outcome,
}

/// Sends all requests and waits until each of them has ended.
pub fn run(planned: Vec<PlannedRequest>, target: &Target, progress: &Progress) -> Vec<Record> {
    let started_at = Instant::now();
    let (ended, records) = mpsc::channel();
    thread::scope(|scope| {
        for planned in planned {
            wait_until(started_at, planned.at_ms);
            progress.sent();
            let ended = ended.clone();
            scope.spawn(move || {
                let record = send(planned, target);
                progress.ended();
                // The receiver outlives all senders.
                let _ = ended.send(record);
            });
        }
    });
    drop(ended);
    records.into_iter().collect()
}

fn wait_until(started_at: Instant, at_ms: u64) {
    let at = Duration::from_millis(at_ms);
    thread::sleep(at.saturating_sub(started_at.elapsed()));
}

fn send(planned: PlannedRequest, target: &Target) -> Record {
    let first = planned.number as usize % target.gateways.len();
    let second = (first + 1) % target.gateways.len();
    let outcome = if planned.duplicated {
        thread::scope(|scope| {
            let duplicate = scope.spawn(|| send_to(&planned, target, second, first));
            let outcome = send_to(&planned, target, first, second);
            let duplicate = duplicate.join().expect("BUG: a caller panicked");
            merge_outcomes(outcome, duplicate)
        })
    } else {
        send_to(&planned, target, first, second)
    };
    Record { planned, outcome }
}

/// Outcome of a request that was sent twice: that of the copy that ran. If either copy has no outcome,
/// the request counts as lost.
fn merge_outcomes(first: Outcome, second: Outcome) -> Outcome {
    match (&first.end_state, &second.end_state) {
        (EndState::Lost(_), _) => first,
        (_, EndState::Lost(_)) => second,
        (EndState::Refused(_), _) => second,
        _ => first,
    }
}

/// Sends a request to one gateway; an asynchronous answer is fetched from `result_gateway`.
fn send_to(
    planned: &PlannedRequest,
    target: &Target,
    gateway: usize,
    result_gateway: usize,
) -> Outcome {
    let request = base_request(planned, target, result_gateway);
    let gateway = target.gateways[gateway];
    let mut outcome = match planned.call {
        Call::Completion {
            prompt_tokens,
            shared_prefix,
            max_tokens,
            delivery,
        } => {
            let prompt = plan::prompt(planned, prompt_tokens, shared_prefix);
            let request = Request {
                url: format!("http://{gateway}/v1/completions"),
                body: completion_body(&prompt, max_tokens, delivery),
                delivery,
                ..request
            };
            let outcome = client::send(&request);
            drop(request);
            check_answer(outcome, &expected(&prompt, max_tokens))
        }
        Call::Service => {
            let path = plan::service_path(planned);
            client::send(&Request {
                url: format!("http://{gateway}/services/{}{path}", plan::SERVICE),
                body: json!({ "item": planned.number }).to_string(),
                ..request
            })
        }
    };
    if let EndState::Answered { text, .. } = &mut outcome.end_state {
        // The text has been checked above; keeping it would only use memory.
        text.clear();
    }
    outcome
}

fn completion_body(prompt: &str, max_tokens: u64, delivery: Delivery) -> String {
    let body = json!({
        "model": plan::MODEL,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": delivery == Delivery::Streamed,
    });
    body.to_string()
}

fn base_request(planned: &PlannedRequest, target: &Target, result_gateway: usize) -> Request {
    let kind = &plan::KINDS[planned.kind];
    let key = || format!("demo-{}", planned.number);
    Request {
        bearer_key: target.bearer_keys[planned.organisation].clone(),
        kind: kind.name.to_string(),
        result_base_url: format!("http://{}", target.gateways[result_gateway]),
        idempotency_key: planned.duplicated.then(key),
        idempotent: planned.idempotent,
        allotted_ms: kind.allotted_ms,
        ..Request::default()
    }
}

/// Marks an answer that differs from the engine's as lost.
fn check_answer(outcome: Outcome, expected_text: &str) -> Outcome {
    match &outcome.end_state {
        EndState::Answered { text, .. } if text != expected_text => Outcome {
            end_state: EndState::Lost("the answer differs from the engine's".to_string()),
            ..outcome
        },
        _ => outcome,
    }
}
