//! Endpoints for a prompt that exceeds one engine's memory.

use mgs_fleet::view::Endpoint;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::View;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::EndpointState;

use crate::policy::Ask;
use crate::policy::NoChoice;

/// Settings of [`plan`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Most of an endpoint's memory that a part may take, as a share; the rest stays for short
    /// prompts.
    pub memory_share_max: f64,
    /// Most of the endpoints that declare spans which one prompt may use, as a share; two may
    /// always be used.
    pub endpoints_share_max: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            memory_share_max: 0.9,
            endpoints_share_max: 0.5,
        }
    }
}

/// A part of a prompt and where its memory is to be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Tokens of the part; with the last one, those of the answer too.
    pub kv_tokens: u64,
}

/// Chooses the fewest endpoints whose free memory holds prompt and answer, those with the most
/// free memory. They come in the order of their names, which is the same at every gateway: whoever
/// reserves one after another in this order can't deadlock with others.
///
/// `PromptExceedsMemory` if no number of them could ever hold it, `AllBusy` if it doesn't fit now,
/// in which case nothing is to be reserved: a prompt that waits holds nothing.
///
/// ```
/// use mgs_fleet::view::View;
/// use mgs_routing::policy::Ask;
/// use mgs_routing::policy::NoChoice;
/// use mgs_routing::span;
/// use mgs_schema::settings::EndpointKind;
///
/// let ask = Ask {
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
/// let plan = span::plan(&View::default(), &ask, &span::Options::default());
/// assert_eq!(plan, Err(NoChoice::UnknownModel));
/// ```
pub fn plan(view: &View, ask: &Ask<'_>, options: &Options) -> Result<Vec<Part>, NoChoice> {
    let keys = view.by_model.get(ask.model).ok_or(NoChoice::UnknownModel)?;
    let known = keys.iter().filter_map(|key| view.get(*key));
    let mut willing: Vec<&Endpoint> = known.filter(|e| is_willing(e, ask)).collect();
    if willing.is_empty() {
        return Err(NoChoice::PromptExceedsMemory);
    }
    let most = (willing.len() as f64 * options.endpoints_share_max) as usize;
    let most = most.max(2).min(willing.len());
    let wanted = ask.prompt_tokens + ask.max_tokens;
    willing.sort_by_key(|e| std::cmp::Reverse(room(e, options)));
    let mut capacities: Vec<u64> = willing.iter().map(|e| capacity(e, options)).collect();
    capacities.sort_unstable_by_key(|tokens| std::cmp::Reverse(*tokens));
    if capacities.iter().take(most).sum::<u64>() < wanted {
        return Err(NoChoice::PromptExceedsMemory);
    }
    let mut left = wanted;
    let mut chosen: Vec<&Endpoint> = Vec::new();
    for endpoint in willing.into_iter().take(most) {
        if left == 0 {
            break;
        }
        left -= left.min(room(endpoint, options));
        chosen.push(endpoint);
    }
    if left > 0 {
        return Err(NoChoice::AllBusy);
    }
    chosen.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(parts(&chosen, wanted, options))
}

/// Fills the endpoints one after another.
fn parts(chosen: &[&Endpoint], wanted: u64, options: &Options) -> Vec<Part> {
    let mut left = wanted;
    let mut parts = Vec::with_capacity(chosen.len());
    for endpoint in chosen {
        let kv_tokens = left.min(room(endpoint, options));
        left -= kv_tokens;
        if kv_tokens > 0 {
            parts.push(Part {
                endpoint: endpoint.key,
                kv_tokens,
            });
        }
    }
    parts
}

fn is_willing(endpoint: &Endpoint, ask: &Ask<'_>) -> bool {
    endpoint.span
        && endpoint.kind == EndpointKind::Engine
        && endpoint.state == EndpointState::Live
        && !ask.excluded.contains(&endpoint.key)
}

fn capacity(endpoint: &Endpoint, options: &Options) -> u64 {
    (endpoint.load.kv_capacity_tokens as f64 * options.memory_share_max) as u64
}

fn room(endpoint: &Endpoint, options: &Options) -> u64 {
    capacity(endpoint, options).saturating_sub(endpoint.load.kv_used_tokens)
}
