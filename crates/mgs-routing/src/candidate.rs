//! Endpoints that could serve a request.

use mgs_fleet::cache::cached_prefix_len;
use mgs_fleet::view::Endpoint;
use mgs_fleet::view::View;
use mgs_schema::prefix::BLOCK_TOKENS;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::EndpointState;

use crate::policy::Ask;
use crate::policy::NoChoice;

/// Calls `each` for every endpoint that could serve the request: of its kind and model, live, not
/// tried before, and with memory for it.
///
/// Without any, tells why.
pub fn for_each<'a>(
    view: &'a View,
    ask: &Ask<'_>,
    mut each: impl FnMut(&'a Endpoint),
) -> Result<(), NoChoice> {
    let keys = view.by_model.get(ask.model).ok_or(NoChoice::UnknownModel)?;
    let mut found = false;
    let mut too_small = false;
    for key in keys {
        let Some(endpoint) = view.get(*key) else {
            continue;
        };
        let willing = endpoint.kind == ask.kind
            && endpoint.state == EndpointState::Live
            && !ask.excluded.contains(key);
        if !willing {
            continue;
        }
        if !fits(endpoint, ask) {
            too_small = true;
            continue;
        }
        found = true;
        each(endpoint);
    }
    match (found, too_small) {
        (true, _) => Ok(()),
        (false, true) => Err(NoChoice::PromptExceedsMemory),
        (false, false) => Err(NoChoice::NoEndpoint),
    }
}

/// Whether the endpoint's whole memory could hold prompt and answer; an unknown memory could.
fn fits(endpoint: &Endpoint, ask: &Ask<'_>) -> bool {
    let capacity = endpoint.load.kv_capacity_tokens;
    ask.kind == EndpointKind::Service
        || capacity == 0
        || ask.prompt_tokens + ask.max_tokens <= capacity
}

/// Tokens of the prompt that are believed to be cached at the endpoint.
pub fn cached_tokens(endpoint: &Endpoint, ask: &Ask<'_>) -> u64 {
    let blocks = cached_prefix_len(&endpoint.cached, ask.prefix_hashes) as u64;
    (blocks * BLOCK_TOKENS).min(ask.prompt_tokens)
}
