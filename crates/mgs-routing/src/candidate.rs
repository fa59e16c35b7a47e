//! Filters the endpoints that are able to serve a request.

use mgs_fleet::cache::cached_prefix_len;
use mgs_fleet::view::Endpoint;
use mgs_fleet::view::View;
use mgs_schema::prefix::BLOCK_TOKENS;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::EndpointState;

use crate::policy::RoutingError;
use crate::policy::RoutingRequest;

/// Calls `visit` for every candidate: an endpoint of the requested kind and model that is live, not
/// excluded, and whose total memory could hold the request.
///
/// Returns an error that gives the reason if there is no candidate: `UnknownModel`, `NoEndpoint`,
/// or `PromptExceedsMemory` if the prompt is too large for every endpoint that is otherwise
/// eligible.
pub fn for_each<'a>(
    view: &'a View,
    request: &RoutingRequest<'_>,
    mut visit: impl FnMut(&'a Endpoint),
) -> Result<(), RoutingError> {
    let keys = view
        .by_model
        .get(request.model)
        .ok_or(RoutingError::UnknownModel)?;
    let mut found = false;
    let mut exceeds_memory = false;
    for key in keys {
        let Some(endpoint) = view.get(*key) else {
            continue;
        };
        let eligible = endpoint.kind == request.kind
            && endpoint.state == EndpointState::Live
            && !request.excluded.contains(key);
        if !eligible {
            continue;
        }
        if !could_fit(endpoint, request) {
            exceeds_memory = true;
            continue;
        }
        found = true;
        visit(endpoint);
    }
    match (found, exceeds_memory) {
        (true, _) => Ok(()),
        (false, true) => Err(RoutingError::PromptExceedsMemory),
        (false, false) => Err(RoutingError::NoEndpoint),
    }
}

/// Whether the endpoint's total KV memory can hold prompt and answer. A service, or an engine that
/// reports a capacity of 0 (unknown), always passes.
fn could_fit(endpoint: &Endpoint, request: &RoutingRequest<'_>) -> bool {
    let capacity = endpoint.load.kv_capacity_tokens;
    request.kind == EndpointKind::Service
        || capacity == 0
        || request.prompt_tokens + request.max_tokens <= capacity
}

/// Prompt tokens covered by the cached_prefix_len prefix blocks that the view lists as cached at the
/// endpoint.
pub fn cached_tokens(endpoint: &Endpoint, request: &RoutingRequest<'_>) -> u64 {
    let blocks = cached_prefix_len(&endpoint.cached, request.prefix_hashes) as u64;
    (blocks * BLOCK_TOKENS).min(request.prompt_tokens)
}
