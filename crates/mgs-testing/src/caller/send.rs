//! Sending one call.

use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use attohttpc::body::Text;
use attohttpc::ErrorKind;
use attohttpc::RequestBuilder;
use attohttpc::Response;
use displaydoc::Display;
use serde_json::json;

use crate::caller::answer;
use crate::caller::plan::Kind;
use crate::caller::plan::Plan;
use crate::caller::stream;
use crate::cluster::BEARER_KEY;
use crate::cluster::MODEL;
use crate::cluster::SERVICE;
use crate::history::Ending;

const CONNECT_TIMEOUT_MS: u64 = 2_000;

/// Settings of a call.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How long after the allotted time the caller waits, in milliseconds.
    pub patience_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            patience_ms: 10_000,
        }
    }
}

/// no connection; nothing was sent
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct NotSent;

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exchange {
    /// How it ended.
    pub ending: Ending,
    /// When each piece of a streamed answer came.
    pub pieces: Vec<Instant>,
    /// What the system says when to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// When the system took a durable request.
    pub kept: Option<Instant>,
}

impl Exchange {
    pub(super) fn ended(ending: Ending) -> Self {
        Self {
            ending,
            pieces: Vec::new(),
            retry_after_ms: None,
            kept: None,
        }
    }
}

/// Sends a request to a gateway and reads until its end.
pub fn send(gateway: SocketAddr, plan: &Plan, options: &Options) -> Result<Exchange, NotSent> {
    let patience = Duration::from_millis(plan.allotted_ms + options.patience_ms);
    let end = Instant::now() + patience;
    let sent = build(gateway, plan)
        .timeout(patience)
        .read_timeout(patience);
    let mut exchange = match sent.send() {
        Ok(response) => read(plan, response),
        Err(error) if is_unsent(&error) => return Err(NotSent),
        Err(_) => Exchange::ended(Ending::Broken {
            partial: String::new(),
        }),
    };
    let broken = matches!(exchange.ending, Ending::Broken { .. });
    if broken && Instant::now() >= end {
        exchange.ending = Ending::Silent;
    }
    Ok(exchange)
}

pub(super) fn build(gateway: SocketAddr, plan: &Plan) -> RequestBuilder<Text<String>> {
    let (path, body, content_type) = match plan.kind {
        Kind::Service => {
            let path = format!("/services/{SERVICE}/orders");
            (path, plan.text.clone(), "text/plain")
        }
        Kind::Streamed | Kind::Whole | Kind::Durable => {
            let body = json!({
                "model": MODEL,
                "prompt": plan.text,
                "max_tokens": plan.max_tokens,
                "stream": plan.kind == Kind::Streamed,
            });
            let path = "/v1/completions".to_string();
            (path, body.to_string(), "application/json")
        }
    };
    let mut request = attohttpc::post(format!("http://{gateway}{path}"))
        .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .header("Authorization", format!("Bearer {BEARER_KEY}"))
        .header("Content-Type", content_type)
        .header("Idempotent", plan.idempotent.to_string())
        .header("Request-Timeout-Ms", plan.allotted_ms);
    if let Some(key) = &plan.key {
        request = request.header("Idempotency-Key", key);
    }
    request.text(body)
}

pub(super) fn read(plan: &Plan, response: Response) -> Exchange {
    let success = response.is_success();
    if success && plan.kind == Kind::Streamed {
        let mut pieces = Vec::new();
        let ending = stream::read(BufReader::new(response), &mut pieces);
        return Exchange {
            pieces,
            ..Exchange::ended(ending)
        };
    }
    let retry_after_ms = retry_after_ms(&response);
    let ending = match response.text() {
        Ok(body) => answer::whole(plan.kind, success, &body),
        Err(_) => Ending::Broken {
            partial: String::new(),
        },
    };
    Exchange {
        retry_after_ms,
        ..Exchange::ended(ending)
    }
}

fn retry_after_ms(response: &Response) -> Option<u64> {
    let value = response.headers().get("Retry-After")?;
    let seconds: u64 = value.to_str().ok()?.parse().ok()?;
    Some(seconds * 1_000)
}

pub(super) fn is_unsent(error: &attohttpc::Error) -> bool {
    match error.kind() {
        ErrorKind::ConnectError { .. } => true,
        ErrorKind::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
