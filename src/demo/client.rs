//! One caller's request over HTTP, and how it ended as the caller saw it.

use std::io::BufRead;
use std::io::BufReader;
use std::time::Duration;
use std::time::Instant;

use attohttpc::Response;
use attohttpc::ResponseReader;
use serde_json::Value;

/// How much longer than its allotted time a caller waits for an outcome, in milliseconds.
const GRACE_MS: u64 = 10_000;

const MS_PER_S: f64 = 1_000.0;
const EVENT_PREFIX: &str = "data: ";
const EVENT_DONE: &str = "[DONE]";

/// A request to send.
#[derive(Debug, Clone)]
pub struct Request {
    /// Whole address.
    pub url: String,
    /// Bearer key.
    pub bearer_key: String,
    /// Kind of request, by which its row of limits is found.
    pub kind: String,
    /// JSON body.
    pub body: String,
    /// Whether the answer is to be streamed.
    pub streamed: bool,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time allotted, in milliseconds.
    pub allotted_ms: u64,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Ended {
    /// The whole answer came.
    Answered {
        /// The answer's text.
        text: String,
        /// Time to the first byte of the answer's text, in milliseconds.
        first_token_ms: f64,
    },
    /// It was refused and not run; the reason.
    Refused(String),
    /// It ran, or partly ran, without a whole answer; the reason.
    Failed(String),
    /// It may have run; the reason.
    Unknown(String),
    /// No outcome came; what came instead.
    Lost(String),
}

/// How a request ended, and which one it was.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Identifier that the gateway gave it; empty if none came.
    pub request_id: String,
    /// How it ended.
    pub ended: Ended,
}

/// Sends a request and reads its answer to the end.
pub fn send(request: &Request) -> Outcome {
    let begun = Instant::now();
    let wait = Duration::from_millis(request.allotted_ms + GRACE_MS);
    let sent = attohttpc::post(&request.url)
        .header("Authorization", format!("Bearer {}", request.bearer_key))
        .header("Content-Type", "application/json")
        .header("Request-Kind", &request.kind)
        .header("Request-Timeout-Ms", request.allotted_ms)
        .header("Idempotent", request.idempotent.to_string())
        .read_timeout(wait)
        .timeout(wait)
        .text(&request.body)
        .send();
    match sent {
        Ok(response) => read(request, response, begun),
        Err(error) => Outcome {
            request_id: String::new(),
            ended: Ended::Lost(error.to_string()),
        },
    }
}

fn read(request: &Request, response: Response, begun: Instant) -> Outcome {
    let request_id = response.headers().get("Request-Id");
    let request_id = request_id.and_then(|id| id.to_str().ok());
    let request_id = request_id.unwrap_or_default().to_string();
    let success = response.is_success();
    let (_, _, reader) = response.split();
    let ended = match (success, request.streamed) {
        (true, true) => read_events(reader, begun),
        (true, false) => read_whole(reader, begun),
        (false, _) => read_error(reader),
    };
    let ended = ended.unwrap_or_else(|error| Ended::Lost(error.to_string()));
    Outcome { request_id, ended }
}

fn read_whole(reader: ResponseReader, begun: Instant) -> std::io::Result<Ended> {
    let body = reader.text().map_err(std::io::Error::other)?;
    let first_token_ms = elapsed_ms(begun);
    let parsed: Option<Value> = serde_json::from_str(&body).ok();
    let text = parsed.as_ref().and_then(choice_text).unwrap_or(body);
    Ok(Ended::Answered {
        text,
        first_token_ms,
    })
}

fn read_error(reader: ResponseReader) -> std::io::Result<Ended> {
    let body = reader.text().map_err(std::io::Error::other)?;
    let parsed: Option<Value> = serde_json::from_str(&body).ok();
    let ended = parsed.as_ref().and_then(error_of);
    Ok(ended.unwrap_or(Ended::Lost(body)))
}

fn read_events(reader: ResponseReader, begun: Instant) -> std::io::Result<Ended> {
    let mut text = String::new();
    let mut first_token_ms = None;
    for line in BufReader::new(reader).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix(EVENT_PREFIX) else {
            continue;
        };
        if data == EVENT_DONE {
            let first_token_ms = first_token_ms.unwrap_or_else(|| elapsed_ms(begun));
            return Ok(Ended::Answered {
                text,
                first_token_ms,
            });
        }
        let event: Value = serde_json::from_str(data).map_err(std::io::Error::other)?;
        if let Some(ended) = error_of(&event) {
            return Ok(ended);
        }
        let Some(piece) = choice_text(&event) else {
            continue;
        };
        if first_token_ms.is_none() && !piece.is_empty() {
            first_token_ms = Some(elapsed_ms(begun));
        }
        text.push_str(&piece);
    }
    Ok(Ended::Lost("the stream stops before its end".to_string()))
}

/// The text of a whole answer or of one event, for chats and plain completions.
fn choice_text(value: &Value) -> Option<String> {
    let choice = value.get("choices")?.get(0)?;
    let content = choice
        .pointer("/delta/content")
        .or_else(|| choice.pointer("/message/content"))
        .or_else(|| choice.get("text"))?;
    content.as_str().map(str::to_string)
}

fn error_of(value: &Value) -> Option<Ended> {
    let error = value.get("error")?;
    let reason = error.get("reason").and_then(Value::as_str);
    let reason = reason.unwrap_or("no reason").to_string();
    Some(match error.get("not_run") {
        Some(Value::Bool(true)) => Ended::Refused(reason),
        Some(Value::Bool(false)) => Ended::Failed(reason),
        Some(Value::String(text)) if text == "unknown" => Ended::Unknown(reason),
        _ => Ended::Lost(format!("an error without not_run: {error}")),
    })
}

fn elapsed_ms(begun: Instant) -> f64 {
    begun.elapsed().as_secs_f64() * MS_PER_S
}
