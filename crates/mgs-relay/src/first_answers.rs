//! Preference for endpoints that have answered this process: passes to `mgs-backpressure` which
//! requests are in progress, and restricts the choice of endpoints by its answers.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use mgs_backpressure::first_answers::Candidate;
use mgs_backpressure::table::IncarnationHash;
use mgs_fleet::view::EndpointKey;

use crate::advice::incarnation;
use crate::core::Core;
use crate::view::Endpoint;

/// A request in progress at an endpoint, until dropped.
pub(crate) struct InProgress {
    core: Rc<Core>,
    incarnation: IncarnationHash,
}

impl InProgress {
    /// Records that a request was placed at an endpoint.
    pub(crate) fn begin(core: &Rc<Core>, endpoint: &Endpoint) -> Self {
        let incarnation = incarnation(endpoint);
        core.first_answers.borrow_mut().begin(incarnation);
        Self {
            core: core.clone(),
            incarnation,
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.core.first_answers.borrow_mut().end(self.incarnation);
    }
}

impl Core {
    /// Endpoints that shouldn't get a further request, since they have one in progress, haven't
    /// answered any yet, and others have room.
    pub(crate) fn awaited_endpoints(
        &self,
        endpoints: &[Arc<Endpoint>],
        has_room: impl Fn(&Endpoint) -> bool,
    ) -> HashSet<EndpointKey> {
        let first_answers = self.first_answers.borrow();
        let is_on = self.published.live_settings().prefer_answered;
        if !is_on || first_answers.awaited_endpoints() == 0 {
            return HashSet::new();
        }
        let candidate = |endpoint: &Arc<Endpoint>| Candidate {
            incarnation: incarnation(endpoint),
            has_room: has_room(endpoint),
        };
        let candidates: Vec<Candidate> = endpoints.iter().map(candidate).collect();
        let preferred = first_answers.preferred(&candidates);
        let awaited = endpoints.iter().zip(preferred).filter(|(_, is)| !is);
        awaited.map(|(endpoint, _)| endpoint.key).collect()
    }
}
