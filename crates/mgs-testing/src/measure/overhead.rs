//! What the two hops add: the same requests in turns to the engine itself and through
//! gateway and sidecar.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use mgs_engine::engine::Engine as _;
use mgs_engine::http::Client;
use mgs_engine::message::Event;
use mgs_engine::message::Start;
use mgs_standin::engine;
use mgs_standin::engine::text;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;

use crate::measure::system;
use crate::measure::system::System;
use crate::measure::Error;

const US_PER_MS: f64 = 1_000.0;
const HIGHEST_US: u64 = 600_000_000;
const DIGITS: u8 = 3;
const CALL_LIMIT: Duration = Duration::from_secs(120);
const EVENT_PREFIX: &str = "data: ";
const EVENT_DONE: &str = "[DONE]";

/// Settings of the comparison.
#[derive(Debug, Clone)]
pub struct Options {
    /// Requests on each of the two ways.
    pub requests: usize,
    /// Tokens of each prompt.
    pub prompt_tokens: usize,
    /// Tokens of each answer.
    pub answer_tokens: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            requests: 300,
            prompt_tokens: 1_000,
            answer_tokens: 20,
        }
    }
}

/// When the parts of one answer came.
#[derive(Debug, Clone, Default)]
pub struct Timing {
    /// Time to the first token.
    pub first: Duration,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

/// Percentiles of a time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// 1 in 100 is below.
    pub p1_ms: f64,
    /// Half is below.
    pub p50_ms: f64,
    /// 99 in 100 are below.
    pub p99_ms: f64,
}

/// Percentiles of one way.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Way {
    /// Time to the first token.
    pub first_token: Spread,
    /// Time between two tokens.
    pub gap: Spread,
}

/// Both ways in one run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Outcome {
    /// To the engine itself.
    pub direct: Way,
    /// Through gateway and sidecar.
    pub through: Way,
}

/// Notes when each token of one answer comes.
#[derive(Debug)]
pub struct Clock {
    begun: Instant,
    last: Option<Instant>,
    timing: Timing,
}

impl Clock {
    /// Begins now.
    pub fn start() -> Self {
        Self {
            begun: Instant::now(),
            last: None,
            timing: Timing::default(),
        }
    }

    /// A token has come.
    pub fn token(&mut self) {
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.timing.first = now - self.begun,
            Some(last) => self.timing.gaps.push(now - last),
        }
    }
}

#[derive(Debug)]
struct Times {
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

impl Times {
    fn new() -> Self {
        let empty = || Histogram::new_with_max(HIGHEST_US, DIGITS).expect("the bounds are valid");
        Self {
            first: empty(),
            gap: empty(),
        }
    }

    fn add(&mut self, timing: &Timing) {
        self.first
            .saturating_record(timing.first.as_micros() as u64);
        for gap in &timing.gaps {
            self.gap.saturating_record(gap.as_micros() as u64);
        }
    }

    fn way(&self) -> Way {
        Way {
            first_token: spread(&self.first),
            gap: spread(&self.gap),
        }
    }
}

fn spread(histogram: &Histogram<u64>) -> Spread {
    let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / US_PER_MS;
    Spread {
        p1_ms: ms(0.01),
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
    }
}

/// An engine whose own times are short and even.
pub fn engine_options(decode_step_ms: f64) -> engine::Options {
    engine::Options {
        kv_capacity_tokens: 100_000_000,
        streams_max: 4_096,
        waiting_max: 4_096,
        prefill_tokens_per_s: 100_000_000.0,
        prefill_chunk_tokens: 100_000,
        decode_step_ms,
        decode_stream_ms: 0.0,
        ..engine::Options::default()
    }
}

/// Measures both ways; the requests alternate, so that both meet the same machine.
pub fn run(system: &System, options: &Options) -> Result<Outcome, Error> {
    let client = Client::new(mgs_engine::http::Options {
        base_url: system.engine.url(),
        ..mgs_engine::http::Options::default()
    });
    let gateway = system.gateways[0].address;
    let (mut direct, mut through) = (Times::new(), Times::new());
    for number in 0..options.requests {
        let prompt = prompt(options.prompt_tokens, &format!("direct-{number}"));
        direct.add(&call_engine(&client, &prompt, options.answer_tokens)?);
        let prompt = self::prompt(options.prompt_tokens, &format!("through-{number}"));
        through.add(&call_gateway(gateway, &prompt, options.answer_tokens)?);
    }
    Ok(Outcome {
        direct: direct.way(),
        through: through.way(),
    })
}

/// A prompt of so many tokens that no other request has.
pub fn prompt(tokens: usize, marker: &str) -> String {
    let bytes = tokens * mgs_schema::prefix::BYTES_PER_TOKEN;
    let mut prompt = format!("{marker} ");
    while prompt.len() < bytes {
        prompt.push_str("olive whips for the planting window ");
    }
    prompt.truncate(bytes);
    prompt
}

fn call_engine(client: &Client, prompt: &str, tokens: u64) -> Result<Timing, Error> {
    let start = Start {
        stream: prompt.chars().take(64).collect(),
        model: system::model(0),
        prompt: prompt.to_string(),
        max_tokens: tokens,
        ..Start::default()
    };
    let failed = |error: mgs_engine::engine::Error| Error::Call(error.to_string());
    let mut clock = Clock::start();
    let mut stream = client.start(&start).map_err(failed)?;
    let mut text = String::new();
    while let Some(event) = stream.next().map_err(failed)? {
        if let Event::Token { text: piece, .. } = event {
            clock.token();
            text.push_str(&piece);
        }
    }
    whole(prompt, tokens, &text).map(|()| clock.timing)
}

/// Sends one streamed request through a gateway and compares its whole answer.
pub fn call_gateway(gateway: SocketAddr, prompt: &str, tokens: u64) -> Result<Timing, Error> {
    let body = json!({
        "model": system::model(0),
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": true,
    });
    let failed = |error: String| Error::Call(error);
    let mut clock = Clock::start();
    let response = attohttpc::post(format!("http://{gateway}/v1/completions"))
        .header("Authorization", format!("Bearer {}", system::bearer_key(0)))
        .header("Content-Type", "application/json")
        .timeout(CALL_LIMIT)
        .read_timeout(CALL_LIMIT)
        .text(body.to_string())
        .send();
    let response = response.map_err(|error| failed(error.to_string()))?;
    if !response.is_success() {
        let text = response.text().unwrap_or_default();
        return Err(failed(text));
    }
    let (_, _, reader) = response.split();
    let mut text = String::new();
    for line in BufReader::new(reader).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix(EVENT_PREFIX) else {
            continue;
        };
        if data == EVENT_DONE {
            return whole(prompt, tokens, &text).map(|()| clock.timing);
        }
        let event: Value = serde_json::from_str(data).map_err(|error| failed(error.to_string()))?;
        if event.get("error").is_some() {
            return Err(failed(data.to_string()));
        }
        let piece = event["choices"][0]["text"].as_str().unwrap_or_default();
        if !piece.is_empty() {
            clock.token();
            text.push_str(piece);
        }
    }
    Err(failed("the answer ended early".to_string()))
}

fn whole(prompt: &str, tokens: u64, answer: &str) -> Result<(), Error> {
    match answer == text::expected(prompt, tokens) {
        true => Ok(()),
        false => Err(Error::Call("the answer is another one".to_string())),
    }
}
