//! Predicts the time to first token at an endpoint.

use mgs_fleet::view::Endpoint;

use crate::lane;
use crate::lane::Lane;
use crate::policy::RoutingRequest;

/// Prefill rate assumed for an endpoint that reported none, in tokens per second.
pub const ASSUMED_TOKENS_PER_S: f64 = 20_000.0;

/// What this process knows about an endpoint beyond its last load report.
#[derive(Debug, Clone, Copy, Default)]
pub struct LocalEstimate {
    /// Tokens of prompts in [`Lane::Short`] dispatched since the report.
    pub short_tokens: u64,
    /// Tokens of prompts in longer lanes dispatched since the report.
    pub longer_tokens: u64,
    /// Tokens of the request's prompt that are expected to be cached at the endpoint.
    pub cached_tokens: u64,
    /// Smoothed ratio of observed to predicted time to first token; values below 1 count as 1.
    pub slowness: f64,
}

/// Predicted times of a request at an endpoint, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// Wait for prefill work that is served before the request.
    pub wait_ms: f64,
    /// Prefill of the prompt's uncached tokens, and the first decode step.
    pub own_ms: f64,
    /// Time to process all prefill work at the endpoint, of any lane.
    pub backlog_ms: f64,
    /// Part of `backlog_ms` that belongs to prompts longer than [`Lane::Short`].
    pub longer_ms: f64,
}

impl Prediction {
    /// Predicted time to first token, from the dispatch.
    pub fn first_token_ms(&self) -> f64 {
        self.wait_ms + self.own_ms
    }
}

/// Predicts the time to first token of `request` at `endpoint`.
///
/// Sidecar and engine serve short prompts before longer ones, so a short prompt waits only for
/// short prompts, and a longer one for the whole backlog. The reported backlog is assumed to have
/// been processed since the report at the reported rate, divided by the endpoint's slowness and
/// short prompts first.
pub fn predict(
    endpoint: &Endpoint,
    request: &RoutingRequest<'_>,
    estimate: &LocalEstimate,
) -> Prediction {
    let load = &endpoint.load;
    let rate = tokens_per_ms(endpoint) / estimate.slowness.max(1.0);
    let age_ms = request.now_ms.saturating_sub(endpoint.reported_ms) as f64;
    let processed = rate * age_ms;
    let reported_short = load.short_prefill_waiting_tokens as f64;
    let reported_longer = load
        .prefill_waiting_tokens
        .saturating_sub(load.short_prefill_waiting_tokens) as f64;
    let remaining_short = (reported_short - processed).max(0.0) + estimate.short_tokens as f64;
    let processed_longer = (processed - reported_short).max(0.0);
    let remaining_longer =
        (reported_longer - processed_longer).max(0.0) + estimate.longer_tokens as f64;
    let backlog = remaining_short + remaining_longer;
    let ahead = match lane::for_prompt(request.prompt_tokens) {
        Lane::Short => remaining_short,
        Lane::Medium | Lane::Long => backlog,
    };
    let uncached = request.prompt_tokens.saturating_sub(estimate.cached_tokens) as f64;
    Prediction {
        wait_ms: ahead / rate,
        own_ms: uncached / rate + load.decode_step_ms,
        backlog_ms: backlog / rate,
        longer_ms: remaining_longer / rate,
    }
}

/// Prefill rate of the endpoint in tokens per millisecond, [`ASSUMED_TOKENS_PER_S`] if it reported
/// none.
pub(crate) fn tokens_per_ms(endpoint: &Endpoint) -> f64 {
    let reported = endpoint.load.prefill_tokens_per_s;
    let rate = if reported > 0.0 {
        reported
    } else {
        ASSUMED_TOKENS_PER_S
    };
    rate / 1_000.0
}
