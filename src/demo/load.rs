//! Sends the planned requests at their times and collects how each one ended.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_standin::engine::text::expected;
use serde_json::json;

use super::client;
use super::client::Delivery;
use super::client::Ended;
use super::client::Outcome;
use super::client::Request;
use super::plan;
use super::plan::Call;
use super::plan::Planned;
use super::progress::Progress;

/// Where requests go.
#[derive(Debug, Clone)]
pub struct Target {
    /// Gateways; requests take turns.
    pub gateways: Vec<SocketAddr>,
    /// Bearer keys by organisation.
    pub bearer_keys: Vec<String>,
}

/// One request and its end.
#[derive(Debug, Clone)]
pub struct Record {
    /// What was sent.
    pub planned: Planned,
    /// How it ended.
    pub outcome: Outcome,
}

/// Sends everything and waits for every end.
pub fn run(planned: Vec<Planned>, target: &Target, progress: &Progress) -> Vec<Record> {
    let begun = Instant::now();
    let (ended, records) = mpsc::channel();
    thread::scope(|scope| {
        for planned in planned {
            wait_until(begun, planned.at_ms);
            progress.sent();
            let ended = ended.clone();
            scope.spawn(move || {
                let record = send(planned, target);
                progress.ended();
                // The receiver lives until all senders are gone.
                let _ = ended.send(record);
            });
        }
    });
    drop(ended);
    records.into_iter().collect()
}

fn wait_until(begun: Instant, at_ms: u64) {
    let at = Duration::from_millis(at_ms);
    thread::sleep(at.saturating_sub(begun.elapsed()));
}

fn send(planned: Planned, target: &Target) -> Record {
    let first = planned.number as usize % target.gateways.len();
    let second = (first + 1) % target.gateways.len();
    let outcome = if planned.doubled {
        thread::scope(|scope| {
            let other = scope.spawn(|| send_to(&planned, target, second, first));
            let outcome = send_to(&planned, target, first, second);
            let other = other.join().expect("BUG: a caller panicked");
            joined(outcome, other)
        })
    } else {
        send_to(&planned, target, first, second)
    };
    Record { planned, outcome }
}

/// The end of a request that was sent twice: that of the copy that ran. A copy without an outcome
/// is lost, whatever became of the other.
fn joined(first: Outcome, second: Outcome) -> Outcome {
    match (&first.ended, &second.ended) {
        (Ended::Lost(_), _) => first,
        (_, Ended::Lost(_)) => second,
        (Ended::Refused(_), _) => second,
        _ => first,
    }
}

/// Sends a request to one gateway; an answer that comes later is fetched from another.
fn send_to(planned: &Planned, target: &Target, gateway: usize, later: usize) -> Outcome {
    let request = base(planned, target, later);
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
                body: completion(&prompt, max_tokens, delivery),
                delivery,
                ..request
            };
            let outcome = client::send(&request);
            drop(request);
            compared(outcome, &expected(&prompt, max_tokens))
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
    if let Ended::Answered { text, .. } = &mut outcome.ended {
        // Compared above; kept texts would only take memory.
        text.clear();
    }
    outcome
}

fn completion(prompt: &str, max_tokens: u64, delivery: Delivery) -> String {
    let body = json!({
        "model": plan::MODEL,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": delivery == Delivery::Streamed,
    });
    body.to_string()
}

fn base(planned: &Planned, target: &Target, later: usize) -> Request {
    let kind = &plan::KINDS[planned.kind];
    let key = || format!("demo-{}", planned.number);
    Request {
        bearer_key: target.bearer_keys[planned.organisation].clone(),
        kind: kind.name.to_string(),
        later_url: format!("http://{}", target.gateways[later]),
        idempotency_key: planned.doubled.then(key),
        idempotent: planned.idempotent,
        allotted_ms: kind.allotted_ms,
        ..Request::default()
    }
}

/// An answer that isn't the engine's is no outcome.
fn compared(outcome: Outcome, wanted: &str) -> Outcome {
    match &outcome.ended {
        Ended::Answered { text, .. } if text != wanted => Outcome {
            ended: Ended::Lost("the answer isn't the one that the engine gave".to_string()),
            ..outcome
        },
        _ => outcome,
    }
}
