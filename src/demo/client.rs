//! HTTP client of the demonstration: sends one request and classifies how it ended for the caller.

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

/// Time that a caller waits for an outcome beyond the allotted time, in milliseconds.
const CALLER_GRACE_MS: u64 = 10_000;

const MS_PER_S: f64 = 1_000.0;
const EVENT_PREFIX: &str = "data: ";
const EVENT_DONE: &str = "[DONE]";

/// Interval between polls for the result of an asynchronous request.
const RESULT_POLL_INTERVAL: Duration = Duration::from_millis(100);

const STATUS_ACCEPTED: u16 = 202;
const STATUS_UNAVAILABLE: u16 = 503;

/// How the answer is delivered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Delivery {
    /// Complete, in the response to the request.
    #[default]
    Buffered,
    /// As server-sent events.
    Streamed,
    /// Stored by the system until the caller fetches it.
    Async,
}

/// A request to send to a gateway.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Full URL.
    pub url: String,
    /// Bearer key of the organisation.
    pub bearer_key: String,
    /// Kind of request, which selects its row of limits.
    pub kind: String,
    /// JSON body.
    pub body: String,
    /// How the answer is delivered.
    pub delivery: Delivery,
    /// Base URL of the gateway that is polled for an asynchronous answer.
    pub result_base_url: String,
    /// Key under which the request runs at most once, however often it is sent.
    pub idempotency_key: Option<String>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time allotted, in milliseconds.
    pub allotted_ms: u64,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum EndState {
    /// The complete answer arrived.
    Answered {
        /// The answer's text.
        text: String,
        /// Time to the first text of the answer, or to the complete answer if it isn't streamed, in milliseconds.
        first_token_ms: f64,
    },
    /// The request was refused without having run, for this reason.
    Refused(String),
    /// The request ran, at least in part, without a complete answer, for this reason.
    Failed(String),
    /// The request may have run; with the reason of the failure.
    Unknown(String),
    /// No outcome arrived; with a description of what arrived instead.
    Lost(String),
}

/// How a request ended, with its identifier.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Identifier that the gateway assigned; empty if none arrived.
    pub request_id: String,
    /// How the request ended.
    pub end_state: EndState,
}

/// Sends a request and reads its answer to the end. Transport errors become [`EndState::Lost`].
pub fn send(request: &Request) -> Outcome {
    let started_at = Instant::now();
    let mut builder = with_key_and_timeout(attohttpc::post(&request.url), request)
        .header("Content-Type", "application/json")
        .header("Request-Kind", &request.kind)
        .header("Request-Timeout-Ms", request.allotted_ms)
        .header("Idempotent", request.idempotent.to_string());
    if let Some(key) = &request.idempotency_key {
        builder = builder.header("Idempotency-Key", key);
    }
    if request.delivery == Delivery::Async {
        builder = builder.header("Prefer", "respond-async");
    }
    match builder.text(&request.body).send() {
        Ok(response) => read_response(request, response, started_at),
        Err(error) => Outcome {
            request_id: String::new(),
            end_state: EndState::Lost(error.to_string()),
        },
    }
}

fn with_key_and_timeout<B>(builder: RequestBuilder<B>, request: &Request) -> RequestBuilder<B> {
    let timeout = Duration::from_millis(request.allotted_ms + CALLER_GRACE_MS);
    builder
        .header("Authorization", format!("Bearer {}", request.bearer_key))
        .read_timeout(timeout)
        .timeout(timeout)
}

fn read_response(request: &Request, response: Response, started_at: Instant) -> Outcome {
    let request_id = response.headers().get("Request-Id");
    let request_id = request_id.and_then(|id| id.to_str().ok());
    let request_id = request_id.unwrap_or_default().to_string();
    let end_state = if response.status().as_u16() == STATUS_ACCEPTED {
        poll_result(request, response, started_at)
    } else {
        read_answer(request.delivery, response, started_at)
    };
    let end_state = end_state.unwrap_or_else(|error| EndState::Lost(error.to_string()));
    Outcome {
        request_id,
        end_state,
    }
}

fn read_answer(
    delivery: Delivery,
    response: Response,
    started_at: Instant,
) -> io::Result<EndState> {
    let is_success = response.is_success();
    let (_, _, reader) = response.split();
    match (is_success, delivery) {
        (true, Delivery::Streamed) => read_events(reader, started_at),
        (true, _) => read_buffered(reader, started_at),
        (false, _) => read_error(reader),
    }
}

/// Polls for the answer of an accepted request until it is available or the allotted time is over.
fn poll_result(request: &Request, accepted: Response, started_at: Instant) -> io::Result<EndState> {
    let accepted: Value = accepted.json().map_err(io::Error::other)?;
    let Some(path) = accepted.get("result_url").and_then(Value::as_str) else {
        return Ok(EndState::Lost("accepted without a result URL".to_string()));
    };
    let url = format!("{}{path}", request.result_base_url);
    let give_up_at = Instant::now() + Duration::from_millis(request.allotted_ms + CALLER_GRACE_MS);
    while Instant::now() < give_up_at {
        let response = with_key_and_timeout(attohttpc::get(&url), request).send();
        let response = response.map_err(io::Error::other)?;
        match response.status().as_u16() {
            STATUS_ACCEPTED | STATUS_UNAVAILABLE => thread::sleep(RESULT_POLL_INTERVAL),
            _ => return read_answer(request.delivery, response, started_at),
        }
    }
    Ok(EndState::Lost(
        "accepted, but no outcome within the allotted time".to_string(),
    ))
}

fn read_buffered(reader: ResponseReader, started_at: Instant) -> io::Result<EndState> {
    let body = reader.text().map_err(io::Error::other)?;
    let first_token_ms = elapsed_ms(started_at);
    let parsed: Option<Value> = serde_json::from_str(&body).ok();
    let text = parsed.as_ref().and_then(choice_text).unwrap_or(body);
    Ok(EndState::Answered {
        text,
        first_token_ms,
    })
}

fn read_error(reader: ResponseReader) -> io::Result<EndState> {
    let body = reader.text().map_err(io::Error::other)?;
    let parsed: Option<Value> = serde_json::from_str(&body).ok();
    let end_state = parsed.as_ref().and_then(parse_error);
    Ok(end_state.unwrap_or(EndState::Lost(body)))
}

fn read_events(reader: ResponseReader, started_at: Instant) -> io::Result<EndState> {
    let mut text = String::new();
    let mut first_token_ms = None;
    for line in BufReader::new(reader).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix(EVENT_PREFIX) else {
            continue;
        };
        if data == EVENT_DONE {
            let first_token_ms = first_token_ms.unwrap_or_else(|| elapsed_ms(started_at));
            return Ok(EndState::Answered {
                text,
                first_token_ms,
            });
        }
        let event: Value = serde_json::from_str(data).map_err(io::Error::other)?;
        if let Some(end_state) = parse_error(&event) {
            return Ok(end_state);
        }
        let Some(piece) = choice_text(&event) else {
            continue;
        };
        if first_token_ms.is_none() && !piece.is_empty() {
            first_token_ms = Some(elapsed_ms(started_at));
        }
        text.push_str(&piece);
    }
    Ok(EndState::Lost(
        "the stream ended before its last event".to_string(),
    ))
}

/// Text of a complete answer or of one event, for chat and plain completions.
fn choice_text(value: &Value) -> Option<String> {
    let choice = value.get("choices")?.get(0)?;
    let content = choice
        .pointer("/delta/content")
        .or_else(|| choice.pointer("/message/content"))
        .or_else(|| choice.get("text"))?;
    content.as_str().map(str::to_string)
}

fn parse_error(value: &Value) -> Option<EndState> {
    let error = value.get("error")?;
    let reason = error.get("reason").and_then(Value::as_str);
    let reason = reason.unwrap_or("no reason").to_string();
    Some(match error.get("not_run") {
        Some(Value::Bool(true)) => EndState::Refused(reason),
        Some(Value::Bool(false)) => EndState::Failed(reason),
        Some(Value::String(text)) if text == "unknown" => EndState::Unknown(reason),
        _ => EndState::Lost(format!("an error without a valid not_run: {error}")),
    })
}

fn elapsed_ms(started_at: Instant) -> f64 {
    started_at.elapsed().as_secs_f64() * MS_PER_S
}
