//! Classifies prompts by length into lanes, from which the priority at sidecar and engine derives.

use mgs_schema::prefix::LONG_PROMPT_TOKENS;
use mgs_schema::prefix::SHORT_PROMPT_TOKENS;

/// Number of lanes, thus of engine priorities per priority of a limit row.
const LANES: u32 = 3;

/// A range of prompt lengths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// At most [`SHORT_PROMPT_TOKENS`].
    Short,
    /// More than [`SHORT_PROMPT_TOKENS`] and less than [`LONG_PROMPT_TOKENS`].
    Medium,
    /// At least [`LONG_PROMPT_TOKENS`].
    Long,
}

/// Returns the lane of a prompt.
///
/// ```
/// use mgs_routing::lane::Lane;
///
/// assert_eq!(mgs_routing::lane::for_prompt(1_000), Lane::Short);
/// assert_eq!(mgs_routing::lane::for_prompt(500_000), Lane::Long);
/// ```
pub fn for_prompt(prompt_tokens: u64) -> Lane {
    if prompt_tokens <= SHORT_PROMPT_TOKENS {
        Lane::Short
    } else if prompt_tokens < LONG_PROMPT_TOKENS {
        Lane::Medium
    } else {
        Lane::Long
    }
}

/// Priority of a request at sidecar and engine; lower values are served first. Requests are ordered
/// by the priority of their limit row, then by lane, shorter prompts first.
///
/// ```
/// use mgs_routing::lane::engine_priority;
///
/// assert!(engine_priority(1, 1_000) < engine_priority(1, 500_000));
/// assert!(engine_priority(0, 500_000) < engine_priority(1, 1_000));
/// ```
pub fn engine_priority(row_priority: u32, prompt_tokens: u64) -> u32 {
    row_priority * LANES + for_prompt(prompt_tokens) as u32
}
