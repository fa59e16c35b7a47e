//! Lengths of prompts as sidecars and engines must tell them apart.

use mgs_schema::prefix::LONG_PROMPT_TOKENS;
use mgs_schema::prefix::SHORT_PROMPT_TOKENS;

/// Lanes of one row priority.
const LANES: u32 = 3;

/// A band of prompt lengths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Up to [`SHORT_PROMPT_TOKENS`].
    Short,
    /// Between the two others.
    Medium,
    /// From [`LONG_PROMPT_TOKENS`].
    Long,
}

/// The lane of a prompt.
///
/// ```
/// use mgs_routing::lane::Lane;
///
/// assert_eq!(mgs_routing::lane::of(1_000), Lane::Short);
/// assert_eq!(mgs_routing::lane::of(500_000), Lane::Long);
/// ```
pub fn of(prompt_tokens: u64) -> Lane {
    if prompt_tokens <= SHORT_PROMPT_TOKENS {
        Lane::Short
    } else if prompt_tokens < LONG_PROMPT_TOKENS {
        Lane::Medium
    } else {
        Lane::Long
    }
}

/// Priority that sidecar and engine work by: that of the row first, then the shorter lane.
///
/// ```
/// use mgs_routing::lane::engine_priority;
///
/// assert!(engine_priority(1, 1_000) < engine_priority(1, 500_000));
/// assert!(engine_priority(0, 500_000) < engine_priority(1, 1_000));
/// ```
pub fn engine_priority(row_priority: u32, prompt_tokens: u64) -> u32 {
    row_priority * LANES + of(prompt_tokens) as u32
}
