//! Endpoints for a prompt that exceeds one engine's memory.

use mgs_fleet::view::Endpoint;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::View;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::EndpointState;

use crate::policy::Ask;
use crate::policy::NoChoice;
use crate::predict;

/// Fewest endpoints of a plan.
const ENDPOINTS_MIN: usize = 2;

/// Settings of [`plan`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Most of an endpoint's memory that a part may take, as a share; the rest stays for short
    /// prompts.
    pub memory_share_max: f64,
    /// Most of the endpoints that declare spans which one prompt may use, as a share; two may
    /// always be used.
    pub endpoints_share_max: f64,
    /// Tokens of imported KV that take the room of one token at the endpoint that imports them, as
    /// the engines that declare spans have it; 1 is a whole copy.
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

/// A part of a prompt and where its memory is to be reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Tokens of the prompt that it processes.
    pub prompt_tokens: u64,
    /// Memory to reserve: the part's own; with the last one, that of the imported parts and of the
    /// answer too.
    pub kv_tokens: u64,
}

/// Chooses the fewest endpoints whose free memory holds prompt and answer, those with the most
/// free memory. They come in the order of their names, which is the same at every gateway: whoever
/// reserves one after another in this order can't deadlock with others. The last one is the home,
/// which imports the others' parts; it takes as little of the prompt as the others leave, since it
/// processes that after them.
///
/// `PromptExceedsMemory` if no number of them could ever hold it, `NoEndpoint` if those that can't
/// be reached or were tried would be needed, `AllBusy` if it doesn't fit now, in which case nothing
/// is to be reserved: a prompt that waits holds nothing.
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
    idle_plan(view, ask, options)?;
    let willing = willing(view, ask)?;
    let count = declared(view, ask)?.len();
    arrange(&willing, count, ask, options, room).ok_or(NoChoice::AllBusy)
}

/// The plan if nothing else used the endpoints' memory.
fn idle_plan(view: &View, ask: &Ask<'_>, options: &Options) -> Result<Vec<Part>, NoChoice> {
    let declared = declared(view, ask)?;
    let count = declared.len();
    arrange(&declared, count, ask, options, capacity).ok_or(NoChoice::PromptExceedsMemory)?;
    let willing = willing(view, ask)?;
    arrange(&willing, count, ask, options, capacity).ok_or(NoChoice::NoEndpoint)
}

/// Predicts the time to the first token of a prompt over an idle fleet, in milliseconds; the error
/// is that of [`plan`] if it could never be held.
pub fn first_token_ms(view: &View, ask: &Ask<'_>, options: &Options) -> Result<u64, NoChoice> {
    let parts = idle_plan(view, ask, options)?;
    let took_ms = |part: &Part| {
        let endpoint = view.get(part.endpoint);
        let rate = endpoint.map_or(
            predict::ASSUMED_TOKENS_PER_S / 1_000.0,
            predict::tokens_per_ms,
        );
        (part.prompt_tokens as f64 / rate) as u64
    };
    let Some((home, exported)) = parts.split_last() else {
        return Err(NoChoice::PromptExceedsMemory);
    };
    let exported_ms = exported.iter().map(took_ms).max().unwrap_or(0);
    Ok(exported_ms + took_ms(home))
}

/// Endpoints that declare spans.
fn declared<'a>(view: &'a View, ask: &Ask<'_>) -> Result<Vec<&'a Endpoint>, NoChoice> {
    let keys = view.by_model.get(ask.model).ok_or(NoChoice::UnknownModel)?;
    let known = keys.iter().filter_map(|key| view.get(*key));
    Ok(known.filter(|e| is_declared(e)).collect())
}

/// Those of them that may hold a part now.
fn willing<'a>(view: &'a View, ask: &Ask<'_>) -> Result<Vec<&'a Endpoint>, NoChoice> {
    let mut willing = declared(view, ask)?;
    willing.retain(|endpoint| is_willing(endpoint, ask));
    Ok(willing)
}

/// The plan over the fewest of `willing`, out of a count that declares spans, by what `free` says of each one's memory.
fn arrange(
    willing: &[&Endpoint],
    declared: usize,
    ask: &Ask<'_>,
    options: &Options,
    free: impl Fn(&Endpoint, &Options) -> u64,
) -> Option<Vec<Part>> {
    let mut free: Vec<(&Endpoint, u64)> = willing.iter().map(|e| (*e, free(e, options))).collect();
    free.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
    let most = (declared as f64 * options.endpoints_share_max) as usize;
    let most = most.max(ENDPOINTS_MIN).min(willing.len());
    (ENDPOINTS_MIN..=most).find_map(|count| {
        let mut chosen = free[..count].to_vec();
        chosen.sort_by(|a, b| a.0.name.cmp(&b.0.name));
        parts(&chosen, ask, options)
    })
}

/// Cuts the prompt: the others get shares by their free memory, the home what they leave.
fn parts(chosen: &[(&Endpoint, u64)], ask: &Ask<'_>, options: &Options) -> Option<Vec<Part>> {
    let ((home, home_free), others) = chosen.split_last()?;
    let others_free: u64 = others.iter().map(|(_, tokens)| tokens).sum();
    // The first token needs something to be processed at the home.
    let exported = others_free.min(ask.prompt_tokens.saturating_sub(1));
    let mut parts = Vec::with_capacity(chosen.len());
    let mut imported = 0;
    let mut left = ask.prompt_tokens;
    for (endpoint, tokens) in others {
        let share = u128::from(exported) * u128::from(*tokens) / u128::from(others_free.max(1));
        let prompt_tokens = share as u64;
        left -= prompt_tokens;
        imported += prompt_tokens.div_ceil(options.import_ratio.max(1));
        parts.push(Part {
            endpoint: endpoint.key,
            prompt_tokens,
            kv_tokens: prompt_tokens,
        });
    }
    // A part that ends within a character leaves the rest of it, less than a token, to the next.
    let slack = chosen.len() as u64;
    let kv_tokens = left + imported + ask.max_tokens + slack;
    parts.push(Part {
        endpoint: home.key,
        prompt_tokens: left,
        kv_tokens,
    });
    let empty = parts.iter().any(|part| part.prompt_tokens == 0);
    (kv_tokens <= *home_free && !empty).then_some(parts)
}

fn is_willing(endpoint: &Endpoint, ask: &Ask<'_>) -> bool {
    endpoint.state == EndpointState::Live && !ask.excluded.contains(&endpoint.key)
}

fn is_declared(endpoint: &Endpoint) -> bool {
    endpoint.span && endpoint.kind == EndpointKind::Engine
}

fn capacity(endpoint: &Endpoint, options: &Options) -> u64 {
    (endpoint.load.kv_capacity_tokens as f64 * options.memory_share_max) as u64
}

fn room(endpoint: &Endpoint, options: &Options) -> u64 {
    capacity(endpoint, options).saturating_sub(endpoint.load.kv_used_tokens)
}
