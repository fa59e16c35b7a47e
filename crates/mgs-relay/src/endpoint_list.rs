//! The list of endpoints as gateways hand it to each other, and which of two lists is newer.
//!
//! Both come from the store, whose revisions rise with each change within an era, so the one read
//! at the greater revision is newer, whoever read it and whenever it arrives.

use serde::Deserialize;
use serde::Serialize;

use crate::source::EndpointFacts;
use crate::source::Revision;

/// A list of endpoints, as of one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointList {
    /// Revision at which it was read; `None` from a gateway of an earlier release.
    pub revision: Option<Revision>,
    /// Endpoints that are listed.
    pub listed: Vec<EndpointFacts>,
    /// Endpoints that aren't listed any more, but are still used since their entry may have expired
    /// in an outage.
    pub expiring: Vec<EndpointFacts>,
    /// When the endpoints in `expiring` are used no longer, in milliseconds.
    pub expiring_until_ms: u64,
}

/// What a snapshot tells of its endpoints besides their facts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListOrigin {
    revision: Option<Revision>,
    /// Identifiers of the endpoints that aren't listed any more.
    expiring: Vec<String>,
    /// For how long these are still used, in milliseconds.
    expiring_for_ms: u64,
}

impl ListOrigin {
    /// Revision at which the list was read, if it is known.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.revision
    }
}

impl EndpointList {
    /// All facts, and what a peer needs to know besides.
    pub(crate) fn to_message(&self, now_ms: u64) -> (Vec<EndpointFacts>, ListOrigin) {
        let expiring_id = |facts: &EndpointFacts| facts.incarnation.id.clone();
        let origin = ListOrigin {
            revision: self.revision,
            expiring: self.expiring.iter().map(expiring_id).collect(),
            expiring_for_ms: self.expiring_until_ms.saturating_sub(now_ms),
        };
        let all = self.listed.iter().chain(&self.expiring);
        (all.cloned().collect(), origin)
    }

    /// The list that a peer's message carries.
    pub(crate) fn from_message(
        endpoints: Vec<EndpointFacts>,
        origin: &ListOrigin,
        now_ms: u64,
    ) -> Self {
        let is_expiring = |facts: &EndpointFacts| origin.expiring.contains(&facts.incarnation.id);
        let (expiring, listed) = endpoints.into_iter().partition(is_expiring);
        Self {
            revision: origin.revision,
            listed,
            expiring,
            expiring_until_ms: now_ms + origin.expiring_for_ms,
        }
    }
}
