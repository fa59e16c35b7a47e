//! One caller's request over HTTP, and how it ended as the caller saw it.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use attohttpc::RequestBuilder;
use attohttpc::Response;
use attohttpc::ResponseReader;
use serde_json::Value;

/// How much longer than its allotted time a caller waits for an outcome, in milliseconds.
const GRACE_MS: u64 = 10_000;

const MS_PER_S: f64 = 1_000.0;
const EVENT_PREFIX: &str = "data: ";
const EVENT_DONE: &str = "[DONE]";

/// Time between two looks at an asynchronous request.
const LOOK: Duration = Duration::from_millis(100);

const STATUS_ACCEPTED: u16 = 202;
const STATUS_UNAVAILABLE: u16 = 503;

/// How the answer is to come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Delivery {
    /// Whole, in the answer to the request.
    #[default]
    Whole,
    /// As server-sent events.
    Streamed,
    /// Kept by the system until it is fetched.
    Later,
}

/// A request to send.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Whole address.
    pub url: String,
    /// Bearer key.
    pub bearer_key: String,
    /// Kind of request, by which its row of limits is found.
    pub kind: String,
    /// JSON body.
    pub body: String,
    /// How the answer is to come.
    pub delivery: Delivery,
    /// Base address of the gateway that is asked for an answer that comes later.
    pub later_url: String,
    /// Key by which the request runs once, however often it is sent.
    pub idempotency_key: Option<String>,
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
    let mut builder = authorised(attohttpc::post(&request.url), request)
        .header("Content-Type", "application/json")
        .header("Request-Kind", &request.kind)
        .header("Request-Timeout-Ms", request.allotted_ms)
        .header("Idempotent", request.idempotent.to_string());
    if let Some(key) = &request.idempotency_key {
        builder = builder.header("Idempotency-Key", key);
    }
    if request.delivery == Delivery::Later {
        builder = builder.header("Prefer", "respond-async");
    }
    match builder.text(&request.body).send() {
        Ok(response) => read(request, response, begun),
        Err(error) => Outcome {
            request_id: String::new(),
            ended: Ended::Lost(error.to_string()),
        },
    }
}

fn authorised<B>(builder: RequestBuilder<B>, request: &Request) -> RequestBuilder<B> {
    let wait = Duration::from_millis(request.allotted_ms + GRACE_MS);
    builder
        .header("Authorization", format!("Bearer {}", request.bearer_key))
        .read_timeout(wait)
        .timeout(wait)
}

fn read(request: &Request, response: Response, begun: Instant) -> Outcome {
    let request_id = response.headers().get("Request-Id");
    let request_id = request_id.and_then(|id| id.to_str().ok());
    let request_id = request_id.unwrap_or_default().to_string();
    let ended = if response.status().as_u16() == STATUS_ACCEPTED {
        read_later(request, response, begun)
    } else {
        read_answer(request.delivery, response, begun)
    };
    let ended = ended.unwrap_or_else(|error| Ended::Lost(error.to_string()));
    Outcome { request_id, ended }
}

fn read_answer(delivery: Delivery, response: Response, begun: Instant) -> io::Result<Ended> {
    let success = response.is_success();
    let (_, _, reader) = response.split();
    match (success, delivery) {
        (true, Delivery::Streamed) => read_events(reader, begun),
        (true, _) => read_whole(reader, begun),
        (false, _) => read_error(reader),
    }
}

/// Looks for the answer of an accepted request until it is there or its time is over.
fn read_later(request: &Request, accepted: Response, begun: Instant) -> io::Result<Ended> {
    let accepted: Value = accepted.json().map_err(io::Error::other)?;
    let Some(path) = accepted.get("result_url").and_then(Value::as_str) else {
        return Ok(Ended::Lost("accepted without an address".to_string()));
    };
    let url = format!("{}{path}", request.later_url);
    let end = Instant::now() + Duration::from_millis(request.allotted_ms + GRACE_MS);
    while Instant::now() < end {
        let response = authorised(attohttpc::get(&url), request).send();
        let response = response.map_err(io::Error::other)?;
        match response.status().as_u16() {
            STATUS_ACCEPTED | STATUS_UNAVAILABLE => thread::sleep(LOOK),
            _ => return read_answer(request.delivery, response, begun),
        }
    }
    Ok(Ended::Lost(
        "accepted, and no outcome in its time".to_string(),
    ))
}

fn read_whole(reader: ResponseReader, begun: Instant) -> io::Result<Ended> {
    let body = reader.text().map_err(io::Error::other)?;
    let first_token_ms = elapsed_ms(begun);
    let parsed: Option<Value> = serde_json::from_str(&body).ok();
    let text = parsed.as_ref().and_then(choice_text).unwrap_or(body);
    Ok(Ended::Answered {
        text,
        first_token_ms,
    })
}

fn read_error(reader: ResponseReader) -> io::Result<Ended> {
    let body = reader.text().map_err(io::Error::other)?;
    let parsed: Option<Value> = serde_json::from_str(&body).ok();
    let ended = parsed.as_ref().and_then(error_of);
    Ok(ended.unwrap_or(Ended::Lost(body)))
}

fn read_events(reader: ResponseReader, begun: Instant) -> io::Result<Ended> {
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
        let event: Value = serde_json::from_str(data).map_err(io::Error::other)?;
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
