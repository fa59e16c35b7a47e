//! Chooses the pause between two reads of the store.

use crate::source::Batch;
use crate::source::Update;

/// Kind of pause before the next read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadPause {
    /// No pause.
    None,
    /// Waits for more newcomers, to read them together.
    Gather,
    /// Waits for more changes, to read them together.
    GatherAll,
    /// Spreads full reads by many gateways over time.
    Spread,
    /// Gives the store time to recover, or waits until peers report that it is back.
    Retry,
}

/// The pause after a batch of changes. `gathers_all` says whether so many gateways read that a
/// single change must not cause a call by each of them.
pub(crate) fn pause_after(batch: &Batch, gathers_all: bool) -> ReadPause {
    match batch.updates.is_empty() {
        true => ReadPause::None,
        // Further zones may be evacuated at the same time, and their orders are urgent.
        false if has_zone_orders(batch) => ReadPause::None,
        false if gathers_all => ReadPause::GatherAll,
        false if has_newcomers_only(batch) => ReadPause::Gather,
        false => ReadPause::None,
    }
}

fn has_zone_orders(batch: &Batch) -> bool {
    let is_order = |update: &Update| matches!(update, Update::ZoneOrder(_));
    batch.updates.iter().any(is_order)
}

/// Whether a batch contains only newcomers, which more may follow.
fn has_newcomers_only(batch: &Batch) -> bool {
    let is_newcomer = |update: &Update| match update {
        Update::Endpoint(row) => !row.facts.is_leaving,
        // It follows the update for its endpoint.
        Update::Gateway { .. } | Update::EndpointCold { .. } => true,
        Update::Configuration(_)
        | Update::EndpointRemoved { .. }
        | Update::GatewayRemoved { .. }
        | Update::Held(_)
        | Update::Released(_)
        | Update::ZoneOrder(_)
        | Update::Unreadable { .. } => false,
    };
    batch.updates.iter().all(is_newcomer)
}
