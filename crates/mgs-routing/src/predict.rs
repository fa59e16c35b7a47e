//! Predicted time to first token at an endpoint.

use mgs_fleet::view::Endpoint;

use crate::lane;
use crate::lane::Lane;
use crate::policy::Ask;

/// Rate of prompt processing that is assumed until one is reported, in tokens per second.
pub const ASSUMED_TOKENS_PER_S: f64 = 20_000.0;

/// What is known of an endpoint beside its last report.
#[derive(Debug, Clone, Copy, Default)]
pub struct Since {
    /// Tokens of short prompts dispatched since the report.
    pub short_tokens: u64,
    /// Tokens of other prompts dispatched since the report.
    pub other_tokens: u64,
    /// Prompt tokens believed to be cached.
    pub cached_tokens: u64,
    /// Factor by which first tokens come later than predicted, learned.
    pub slowness: f64,
}

/// A prediction, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// Wait for work that is ahead.
    pub wait_ms: f64,
    /// The prompt's own processing and the first decoding step.
    pub own_ms: f64,
    /// Wait for all prompts that the endpoint has, of any length.
    pub backlog_ms: f64,
    /// The part of it that belongs to prompts that aren't short.
    pub other_ms: f64,
}

impl Prediction {
    /// Time to first token.
    pub fn first_token_ms(&self) -> f64 {
        self.wait_ms + self.own_ms
    }
}

/// Predicts the time to first token of `ask` at `endpoint`.
///
/// Short prompts pass the others at sidecar and engine, so only short work is ahead of them; the
/// others wait for all. What was reported is taken to have been worked off at the reported rate
/// since then.
pub fn predict(endpoint: &Endpoint, ask: &Ask<'_>, since: &Since) -> Prediction {
    let load = &endpoint.load;
    let rate = tokens_per_ms(endpoint) / since.slowness.max(1.0);
    let age_ms = ask.now_ms.saturating_sub(endpoint.reported_ms) as f64;
    let done = rate * age_ms;
    let short = load.short_prefill_waiting_tokens as f64;
    let other = load
        .prefill_waiting_tokens
        .saturating_sub(load.short_prefill_waiting_tokens) as f64;
    let short_left = (short - done).max(0.0) + since.short_tokens as f64;
    let other_done = (done - short).max(0.0);
    let other_left = (other - other_done).max(0.0) + since.other_tokens as f64;
    let all = short_left + other_left;
    let ahead = match lane::of(ask.prompt_tokens) {
        Lane::Short => short_left,
        Lane::Medium | Lane::Long => all,
    };
    let uncached = ask.prompt_tokens.saturating_sub(since.cached_tokens) as f64;
    Prediction {
        wait_ms: ahead / rate,
        own_ms: uncached / rate + load.decode_step_ms,
        backlog_ms: all / rate,
        other_ms: other_left / rate,
    }
}

/// Rate of prompt processing, in tokens per millisecond.
pub(crate) fn tokens_per_ms(endpoint: &Endpoint) -> f64 {
    let reported = endpoint.load.prefill_tokens_per_s;
    let rate = if reported > 0.0 {
        reported
    } else {
        ASSUMED_TOKENS_PER_S
    };
    rate / 1_000.0
}
