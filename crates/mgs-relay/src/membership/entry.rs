//! What is known under one key of the store's table of endpoints.

use mgs_fleet::view::EndpointKey;

use crate::replacement::Claim;
use crate::source::EndpointFacts;
use crate::source::EndpointRow;
use crate::source::Incarnation;
use crate::warm_up::ColdSigns;

/// What this gateway keeps about an incarnation, whether it is used or not.
#[derive(Debug, Clone)]
pub(super) struct Identity {
    pub(super) key: EndpointKey,
    pub(super) cold: ColdSigns,
    /// Whether it was listed for the first time since the last call of
    /// [`Endpoints::date_new`](super::Endpoints::date_new).
    pub(super) is_new: bool,
}

impl Identity {
    pub(super) fn new(key: EndpointKey) -> Self {
        Self {
            key,
            cold: ColdSigns::default(),
            is_new: true,
        }
    }
}

/// A row as it was last read, and what this gateway keeps about the incarnation that it names.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) row: EndpointRow,
    pub(super) missing_since_ms: Option<u64>,
    /// Whether its row can't be parsed any more.
    pub(super) is_unreadable: bool,
    /// Whether the row is from an older copy of the store, and the incarnation had gone before the
    /// copy was restored.
    pub(super) is_outdated: bool,
    /// Whether the incarnation was seen to shut down, although its row doesn't say so: the row is
    /// from an older copy of the store, or a status report that the store has performed late.
    pub(super) was_leaving: bool,
    /// Since when its row has said again that it is ready, in milliseconds, if that isn't an older
    /// copy of the store.
    pub(super) ready_since_ms: Option<u64>,
    pub(super) identity: Identity,
    /// The incarnation that the key named until a row of an unnamed service took its place.
    pub(super) set_aside: Option<(Incarnation, Identity)>,
}

impl Entry {
    pub(super) fn new(row: EndpointRow, identity: Identity) -> Self {
        Self {
            row,
            missing_since_ms: None,
            is_unreadable: false,
            is_outdated: false,
            was_leaving: false,
            ready_since_ms: None,
            identity,
            set_aside: None,
        }
    }

    pub(super) fn incarnation(&self) -> &Incarnation {
        &self.row.facts.incarnation
    }

    pub(super) fn is_listed(&self) -> bool {
        self.missing_since_ms.is_none() && !self.is_unreadable
    }

    /// Whether the row names an endpoint, as far as it shows by itself.
    pub(super) fn is_valid(&self) -> bool {
        !self.is_unreadable && !self.is_outdated
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.row.facts.is_leaving || self.was_leaving
    }

    /// The facts in force, in which a shutdown that was seen outweighs an older copy of the row.
    pub(super) fn facts(&self) -> EndpointFacts {
        EndpointFacts {
            is_leaving: self.is_leaving(),
            ..self.row.facts.clone()
        }
    }

    /// The row with the facts in force, as peers get it.
    pub(super) fn row_in_force(&self) -> EndpointRow {
        EndpointRow {
            facts: self.facts(),
            written: self.row.written,
        }
    }

    /// What the row says of the endpoint at its address.
    pub(super) fn claim(&self, is_service_named: bool) -> Claim<'_> {
        Claim {
            id: &self.row.facts.incarnation.id,
            address: self.row.facts.address,
            born_ms: self.row.facts.incarnation.born_ms,
            written: self.row.written,
            is_listed: self.is_listed(),
            can_replace: is_service_named,
        }
    }
}
