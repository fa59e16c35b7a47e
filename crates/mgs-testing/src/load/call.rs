//! One caller's request, timed from its intended start.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use attohttpc::Response;
use serde_json::json;
use serde_json::Value;

use crate::load::cluster::bearer_key;
use crate::load::cluster::MODEL;
use crate::load::workload;
use crate::load::workload::Arrival;

/// How much longer than the allotted time a caller waits for an outcome.
const GRACE: Duration = Duration::from_secs(10);

const EVENT_PREFIX: &str = "data: ";
const EVENT_DONE: &str = "[DONE]";

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, PartialEq)]
pub enum Ended {
    /// The whole answer came.
    Answered {
        /// Time to the first token, from the intended start.
        first_token: Duration,
        /// Time to the end.
        whole: Duration,
        /// Prompt tokens that were cached.
        cached_tokens: u64,
    },
    /// It was refused and not run.
    Refused {
        /// Why.
        reason: String,
        /// Whether it was told when to come back.
        retry_after: bool,
    },
    /// It ended in another way.
    Failed(String),
}

/// Sends a request and reads its answer to the end. `due` is the intended start.
pub fn send(address: SocketAddr, arrival: &Arrival, due: Instant, time_scale: f64) -> Ended {
    let allotted_ms = (arrival.allotted_ms() as f64 / time_scale).ceil() as u64;
    let limit = Duration::from_millis(allotted_ms) + GRACE;
    let body = json!({
        "model": MODEL,
        "prompt": workload::prompt(arrival),
        "max_tokens": arrival.answer_tokens,
        "stream": true,
    });
    let sent = attohttpc::post(format!("http://{address}/v1/completions"))
        .header(
            "Authorization",
            format!("Bearer {}", bearer_key(arrival.organisation)),
        )
        .header("Content-Type", "application/json")
        .header("Request-Timeout-Ms", allotted_ms)
        .read_timeout(limit)
        .timeout(limit)
        .text(body.to_string())
        .send();
    drop(body);
    match sent {
        Ok(response) if response.is_success() => read_events(response, due),
        Ok(response) => {
            let retry_after = response.headers().contains_key("Retry-After");
            match response.text() {
                Ok(text) => ended(&text, retry_after),
                Err(error) => Ended::Failed(error.to_string()),
            }
        }
        Err(error) => Ended::Failed(error.to_string()),
    }
}

fn read_events(response: Response, due: Instant) -> Ended {
    let (_, _, reader) = response.split();
    let mut first_token = None;
    let mut cached_tokens = 0;
    for line in BufReader::new(reader).lines() {
        let line = match line {
            Ok(line) => line,
            Err(error) => return Ended::Failed(error.to_string()),
        };
        let Some(event) = line.strip_prefix(EVENT_PREFIX) else {
            continue;
        };
        let at = due.elapsed();
        if event == EVENT_DONE {
            return Ended::Answered {
                first_token: first_token.unwrap_or(at),
                whole: at,
                cached_tokens,
            };
        }
        let Ok(value) = serde_json::from_str::<Value>(event) else {
            return Ended::Failed("an event that is no JSON".to_string());
        };
        if value.get("error").is_some() {
            return ended(event, false);
        }
        first_token.get_or_insert(at);
        let cached = &value["usage"]["prompt_tokens_details"]["cached_tokens"];
        cached_tokens = cached.as_u64().unwrap_or(cached_tokens);
    }
    Ended::Failed("the answer ended early".to_string())
}

/// How a request ended, from the error that was answered.
fn ended(text: &str, retry_after: bool) -> Ended {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let error = &value["error"];
    let reason = error["reason"].as_str().unwrap_or("no_reason").to_string();
    if error["not_run"] == Value::Bool(true) {
        Ended::Refused {
            reason,
            retry_after: retry_after || !error["retry_after_ms"].is_null(),
        }
    } else {
        Ended::Failed(reason)
    }
}
