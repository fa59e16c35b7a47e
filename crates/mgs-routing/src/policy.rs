//! The [`Policy`] trait, by which a gateway chooses endpoints, and its request and result types.

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

/// Properties of a request that routing depends on.
#[derive(Debug, Clone)]
pub struct RoutingRequest<'a> {
    /// Kind of endpoint that the request needs.
    pub kind: EndpointKind,
    /// Name of the model or service.
    pub model: &'a str,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u64,
    /// Priority of the request's limit row; 0 is served first.
    pub priority: u32,
    /// Chained hashes of the prompt's blocks, from the start of the prompt.
    pub prefix_hashes: &'a [u64],
    /// Availability zone of the gateway.
    pub zone: &'a str,
    /// Endpoints that must not be chosen, since they were tried before.
    pub excluded: &'a [EndpointKey],
    /// Time left until the request's deadline, in milliseconds.
    pub budget_ms: u64,
    /// Time of the call to the policy, on the process's monotonic clock, in milliseconds.
    pub now_ms: u64,
}

/// Result of a routing decision.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The best endpoint.
    pub endpoint: EndpointKey,
    /// The next best endpoint, for a hedged request or as fallback.
    pub second: Option<EndpointKey>,
    /// Predicted time to first token at `endpoint`, in milliseconds; 0 if the policy predicts none.
    pub first_token_ms: u64,
    /// Prompt tokens that the view lists as cached at `endpoint`.
    pub cached_tokens: u64,
}

/// Reason why no endpoint was chosen. The text of a variant reaches clients as the detail of a
/// refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RoutingError {
    /// no endpoint is declared for the model
    UnknownModel,
    /// no endpoint for the model is reachable and willing
    NoEndpoint,
    /// the prompt exceeds the memory of each engine
    PromptExceedsMemory,
    /// each endpoint has all the work that it should have; wait
    AllBusy,
}

impl std::error::Error for RoutingError {}

/// Chooses endpoints. Shared by request threads; implementations update their state from the
/// dispatch, first-token and completion callbacks.
pub trait Policy: Send + Sync {
    /// Chooses an endpoint for `request`. The caller passes a new random number in `random` for
    /// each call.
    ///
    /// Returns a [`RoutingError`] that gives the reason if no endpoint can be chosen.
    fn choose(
        &self,
        view: &View,
        request: &RoutingRequest<'_>,
        random: u64,
    ) -> Result<Choice, RoutingError>;

    /// Priority of the request at sidecar and engine. By default the priority of its limit row;
    /// policies that use lanes refine it.
    fn engine_priority(&self, request: &RoutingRequest<'_>) -> u32 {
        request.priority
    }

    /// Called when a request was dispatched to an endpoint. Load reports don't include it yet.
    fn dispatched(&self, endpoint: EndpointKey, request: &RoutingRequest<'_>);

    /// Called when the first token arrived, `took_ms` after the dispatch. `predicted_ms` is the
    /// [`Choice::first_token_ms`] of the decision, 0 if there was no prediction.
    fn first_token(
        &self,
        endpoint: EndpointKey,
        request: &RoutingRequest<'_>,
        predicted_ms: u64,
        took_ms: u64,
    );

    /// Called exactly once after each [`Policy::dispatched`], when the attempt ended. `Failed` and
    /// `Unknown` count as failures of the endpoint; an attempt that was ended by its caller or its
    /// deadline is passed as `Unspecified`.
    fn finished(&self, endpoint: EndpointKey, request: &RoutingRequest<'_>, outcome: Outcome);
}

/// Names accepted by [`by_name`]; the first is the default policy, the others are baselines.
pub const NAMES: [&str; 4] = [
    "marigold",
    "round-robin",
    "least-outstanding",
    "prefix-affinity",
];

/// Creates the policy of the given name, with default settings and empty state. Returns `None` for
/// an unknown name.
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
