//! Plans spans: the distribution of a prompt that exceeds one engine's memory over several engines.
//!
//! Each engine of a span processes a part of the prompt. The last one, the home, imports the KV
//! data of the other parts and generates the answer.

use mgs_fleet::view::Endpoint;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::View;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::EndpointState;

use crate::policy::RoutingError;
use crate::policy::RoutingRequest;
use crate::predict;

/// Minimum number of endpoints of a plan.
const PLAN_ENDPOINTS_MIN: usize = 2;

/// Settings of [`plan`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum share of an endpoint's KV memory that a part may take; the rest is kept for short
    /// prompts.
    pub memory_share_max: f64,
    /// Maximum share of the span-capable endpoints that one prompt may use; two may always be
    /// used.
    pub endpoints_share_max: f64,
    /// Number of imported tokens whose KV data takes the memory of one token at the home, a
    /// property of the span-capable engines; 1 means that the home stores a full copy.
    pub import_ratio: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            memory_share_max: 0.9,
            endpoints_share_max: 0.75,
            import_ratio: 8,
        }
    }
}

/// A part of a prompt, with the endpoint that processes it and the memory to reserve there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Endpoint that processes the part.
    pub endpoint: EndpointKey,
    /// Length of the part, in tokens of the prompt.
    pub prompt_tokens: u64,
    /// KV memory to reserve, in tokens: that of the part and, at the home, also that of the
    /// imported parts and of the answer.
    pub kv_tokens: u64,
}

/// Plans a span over the smallest number of endpoints whose free memory holds prompt and answer,
/// preferring those with the most free memory.
///
/// The parts are ordered by endpoint name, which is the same order at every gateway, so that
/// gateways that reserve memory part by part in this order can't deadlock with each other. The last
/// part is that of the home, which imports the other parts. It is as small as the others allow,
/// since the home processes it after them.
///
/// # Errors
///
/// - `UnknownModel` if no endpoint is declared for the model.
/// - `PromptExceedsMemory` if the prompt wouldn't fit even into an idle fleet.
/// - `NoEndpoint` if it would fit only with endpoints that aren't live or are excluded.
/// - `AllBusy` if it doesn't fit into the memory that is free now. The caller must not reserve
///   anything in this case: a waiting prompt holds no memory.
///
/// ```
/// use mgs_fleet::view::View;
/// use mgs_routing::policy::RoutingError;
/// use mgs_routing::policy::RoutingRequest;
/// use mgs_routing::span;
/// use mgs_schema::settings::EndpointKind;
///
/// let request = RoutingRequest {
///     kind: EndpointKind::Engine,
///     model: "small",
///     prompt_tokens: 1_000_000,
///     max_tokens: 100,
///     priority: 1,
///     prefix_hashes: &[],
///     zone: "a",
///     excluded: &[],
///     budget_ms: 300_000,
///     now_ms: 0,
/// };
/// let plan = span::plan(&View::default(), &request, &span::Options::default());
/// assert_eq!(plan, Err(RoutingError::UnknownModel));
/// ```
pub fn plan(
    view: &View,
    request: &RoutingRequest<'_>,
    options: &Options,
) -> Result<Vec<Part>, RoutingError> {
    idle_plan(view, request, options)?;
    let count = span_endpoints(view, request)?.len();
    let eligible = eligible(view, request)?;
    plan_over(&eligible, count, request, options, usable_memory_tokens)
        .ok_or(RoutingError::NoEndpoint)?;
    plan_over(&eligible, count, request, options, free_memory_tokens).ok_or(RoutingError::AllBusy)
}

/// The plan for an idle fleet: all span-capable endpoints are live and all their memory is free.
fn idle_plan(
    view: &View,
    request: &RoutingRequest<'_>,
    options: &Options,
) -> Result<Vec<Part>, RoutingError> {
    let span_endpoints = span_endpoints(view, request)?;
    let parts = plan_over(
        &span_endpoints,
        span_endpoints.len(),
        request,
        options,
        usable_memory_tokens,
    );
    parts.ok_or(RoutingError::PromptExceedsMemory)
}

/// Predicts the time to first token of a span over an idle fleet with all endpoints live, in
/// milliseconds: the longest prefill of the exported parts, then that of the home's part.
///
/// Returns `UnknownModel` and `PromptExceedsMemory` as [`plan`] does.
pub fn first_token_ms(
    view: &View,
    request: &RoutingRequest<'_>,
    options: &Options,
) -> Result<u64, RoutingError> {
    let parts = idle_plan(view, request, options)?;
    let prefill_ms = |part: &Part| {
        let endpoint = view.get(part.endpoint);
        let rate = endpoint.map_or(
            predict::ASSUMED_TOKENS_PER_S / 1_000.0,
            predict::tokens_per_ms,
        );
        (part.prompt_tokens as f64 / rate) as u64
    };
    let Some((home, exporters)) = parts.split_last() else {
        return Err(RoutingError::PromptExceedsMemory);
    };
    let exported_ms = exporters.iter().map(prefill_ms).max().unwrap_or(0);
    Ok(exported_ms + prefill_ms(home))
}

/// Span-capable endpoints of the model.
fn span_endpoints<'a>(
    view: &'a View,
    request: &RoutingRequest<'_>,
) -> Result<Vec<&'a Endpoint>, RoutingError> {
    let keys = view
        .by_model
        .get(request.model)
        .ok_or(RoutingError::UnknownModel)?;
    let endpoints = keys.iter().filter_map(|key| view.get(*key));
    Ok(endpoints.filter(|e| supports_spans(e)).collect())
}

/// Span-capable endpoints that are live and not excluded.
fn eligible<'a>(
    view: &'a View,
    request: &RoutingRequest<'_>,
) -> Result<Vec<&'a Endpoint>, RoutingError> {
    let mut eligible = span_endpoints(view, request)?;
    eligible.retain(|endpoint| is_eligible(endpoint, request));
    Ok(eligible)
}

/// Plans over the smallest sufficient number of `eligible` endpoints. `span_endpoints` is the
/// number of all span-capable endpoints, which limits how many a plan may use; `free` returns an
/// endpoint's memory for the plan, in tokens.
fn plan_over(
    eligible: &[&Endpoint],
    span_endpoints: usize,
    request: &RoutingRequest<'_>,
    options: &Options,
    free: impl Fn(&Endpoint, &Options) -> u64,
) -> Option<Vec<Part>> {
    let mut free: Vec<(&Endpoint, u64)> = eligible.iter().map(|e| (*e, free(e, options))).collect();
    free.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
    let count_max = (span_endpoints as f64 * options.endpoints_share_max) as usize;
    let count_max = count_max.max(PLAN_ENDPOINTS_MIN).min(eligible.len());
    (PLAN_ENDPOINTS_MIN..=count_max).find_map(|count| {
        let mut chosen = free[..count].to_vec();
        chosen.sort_by(|a, b| a.0.name.cmp(&b.0.name));
        split_prompt(&chosen, request, options)
    })
}

/// Splits the prompt over the chosen endpoints, of which the last is the home. The others get parts
/// in proportion to their free memory, the home gets the rest. Returns `None` if the home's memory
/// doesn't suffice or a part would be empty.
fn split_prompt(
    chosen: &[(&Endpoint, u64)],
    request: &RoutingRequest<'_>,
    options: &Options,
) -> Option<Vec<Part>> {
    let ((home, home_free), exporters) = chosen.split_last()?;
    let exporters_free: u64 = exporters.iter().map(|(_, tokens)| tokens).sum();
    // The home must process at least one token to generate the first token of the answer.
    let exported_tokens = exporters_free.min(request.prompt_tokens.saturating_sub(1));
    let mut parts = Vec::with_capacity(chosen.len());
    let mut imported_kv_tokens = 0;
    let mut remaining_tokens = request.prompt_tokens;
    for (endpoint, tokens) in exporters {
        let share =
            u128::from(exported_tokens) * u128::from(*tokens) / u128::from(exporters_free.max(1));
        let prompt_tokens = share as u64;
        remaining_tokens -= prompt_tokens;
        imported_kv_tokens += prompt_tokens.div_ceil(options.import_ratio.max(1));
        parts.push(Part {
            endpoint: endpoint.key,
            prompt_tokens,
            kv_tokens: prompt_tokens,
        });
    }
    // A part whose end falls inside a character leaves the rest of the character, less than one
    // token, to the next part.
    let boundary_tokens = chosen.len() as u64;
    let kv_tokens = remaining_tokens + imported_kv_tokens + request.max_tokens + boundary_tokens;
    parts.push(Part {
        endpoint: home.key,
        prompt_tokens: remaining_tokens,
        kv_tokens,
    });
    let has_empty_part = parts.iter().any(|part| part.prompt_tokens == 0);
    (kv_tokens <= *home_free && !has_empty_part).then_some(parts)
}

fn is_eligible(endpoint: &Endpoint, request: &RoutingRequest<'_>) -> bool {
    endpoint.state == EndpointState::Live && !request.excluded.contains(&endpoint.key)
}

fn supports_spans(endpoint: &Endpoint) -> bool {
    endpoint.span && endpoint.kind == EndpointKind::Engine
}

/// Memory that a part may take if the endpoint is idle, in tokens.
fn usable_memory_tokens(endpoint: &Endpoint, options: &Options) -> u64 {
    (endpoint.load.kv_capacity_tokens as f64 * options.memory_share_max) as u64
}

/// Memory that a part may take now, in tokens.
fn free_memory_tokens(endpoint: &Endpoint, options: &Options) -> u64 {
    usable_memory_tokens(endpoint, options).saturating_sub(endpoint.load.kv_used_tokens)
}
