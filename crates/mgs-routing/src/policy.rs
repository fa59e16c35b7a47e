//! The border between a gateway and the way it chooses endpoints.

use std::sync::Arc;

use displaydoc::Display;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::View;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::Outcome;

use crate::baseline::LeastOutstanding;
use crate::baseline::PrefixAffinity;
use crate::baseline::RoundRobin;
use crate::marigold::Marigold;

/// What is asked for.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    /// What must stand behind the endpoint.
    pub kind: EndpointKind,
    /// Model or name of the service.
    pub model: &'a str,
    /// Prompt length.
    pub prompt_tokens: u64,
    /// Longest answer.
    pub max_tokens: u64,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Chained hashes of the prompt's blocks.
    pub prefix_hashes: &'a [u64],
    /// Availability zone of the gateway.
    pub zone: &'a str,
    /// Endpoints that must not be chosen (tried before).
    pub excluded: &'a [EndpointKey],
    /// What is left of the allotted time, in milliseconds.
    pub budget_ms: u64,
    /// Now, on the process's monotonic clock, in milliseconds: when the policy is asked or told.
    pub now_ms: u64,
}

/// A choice of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The best endpoint.
    pub endpoint: EndpointKey,
    /// The next best, to ask as well or to fall back on.
    pub second: Option<EndpointKey>,
    /// Predicted time to the first token at the best, in milliseconds.
    pub first_token_ms: u64,
    /// Prompt tokens believed to be cached there.
    pub cached_tokens: u64,
}

/// Why there is no choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NoChoice {
    /// no endpoint is declared for the model
    UnknownModel,
    /// no endpoint for the model is reachable and willing
    NoEndpoint,
    /// the prompt exceeds the memory of each engine
    PromptExceedsMemory,
    /// each endpoint has all the work that it should have; wait
    AllBusy,
}

impl std::error::Error for NoChoice {}

/// A way to choose endpoints. Shared by request threads; learns from what it is told.
pub trait Policy: Send + Sync {
    /// Chooses. `random` is fresh for each call.
    fn choose(&self, view: &View, ask: &Ask<'_>, random: u64) -> Result<Choice, NoChoice>;

    /// Priority by which sidecar and engine work on a request; without lanes, that of its row.
    fn engine_priority(&self, ask: &Ask<'_>) -> u32 {
        ask.priority
    }

    /// A request was dispatched to an endpoint; reports don't show it yet.
    fn dispatched(&self, endpoint: EndpointKey, ask: &Ask<'_>);

    /// The first token came `took_ms` after the dispatch; `predicted_ms` is the
    /// [`Choice::first_token_ms`] that led to it, 0 if there was none.
    fn first_token(&self, endpoint: EndpointKey, ask: &Ask<'_>, predicted_ms: u64, took_ms: u64);

    /// The attempt at an endpoint ended; follows each [`Policy::dispatched`] once. `Failed` and
    /// `Unknown` are held against the endpoint; an attempt that its caller or its deadline ended
    /// is told as `Unspecified`.
    fn finished(&self, endpoint: EndpointKey, ask: &Ask<'_>, outcome: Outcome);
}

/// Names that [`by_name`] knows; the first is the product's own.
pub const NAMES: [&str; 4] = [
    "marigold",
    "round-robin",
    "least-outstanding",
    "prefix-affinity",
];

/// A fresh policy of a name.
///
/// ```
/// assert!(mgs_routing::policy::by_name("marigold").is_some());
/// assert!(mgs_routing::policy::by_name("other").is_none());
/// ```
pub fn by_name(name: &str) -> Option<Arc<dyn Policy>> {
    match name {
        "marigold" => Some(Arc::new(Marigold::default())),
        "round-robin" => Some(Arc::new(RoundRobin::default())),
        "least-outstanding" => Some(Arc::new(LeastOutstanding::default())),
        "prefix-affinity" => Some(Arc::new(PrefixAffinity::default())),
        _ => None,
    }
}
