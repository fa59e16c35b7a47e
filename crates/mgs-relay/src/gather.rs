//! What to do between two readings of the store.

use crate::source::Batch;
use crate::source::Update;

/// What to do before the next reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pause {
    /// Nothing.
    None,
    /// Let newcomers gather.
    Gather,
    /// Let changes gather.
    GatherAll,
    /// Let not all gateways read everything at once.
    Spread,
    /// Give the store time, or wait until peers say that it is back.
    Retry,
}

/// How long to wait after a batch of changes. `gathers_all`: whether so many gateways ask that each change must not be
/// a call of each of them.
pub(crate) fn after(batch: &Batch, gathers_all: bool) -> Pause {
    match batch.updates.is_empty() {
        true => Pause::None,
        false if gathers_all => Pause::GatherAll,
        false if has_newcomers_only(batch) => Pause::Gather,
        false => Pause::None,
    }
}

/// Whether a batch tells of newcomers only, of whom more may follow.
fn has_newcomers_only(batch: &Batch) -> bool {
    let is_newcomer = |update: &Update| match update {
        Update::Endpoint(facts) => !facts.is_leaving,
        Update::Gateway { .. } => true,
        Update::Configuration(_)
        | Update::EndpointRemoved { .. }
        | Update::GatewayRemoved { .. }
        | Update::Held(_)
        | Update::LetGo(_)
        | Update::Unreadable { .. } => false,
    };
    batch.updates.iter().all(is_newcomer)
}
