//! The load that one dispatch adds to the load table, removed when dropped.

use std::rc::Rc;

use mgs_fleet::view::EndpointKey;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::peer_message::PrefillPart;

use crate::core::Core;
use crate::core::UnreportedPrefill;

/// Load that one dispatch has in the load table.
pub(crate) struct LoadGuard {
    core: Rc<Core>,
    loads: Vec<(EndpointKey, EndpointLoad)>,
    /// Predicted prefill at each endpoint that isn't known to be done, in milliseconds.
    prefill_ms: f64,
    prefill_endpoints: Vec<EndpointKey>,
    /// Whether several endpoints prefill the prompt; long prompts at peers wait for such engines.
    is_shared: bool,
}

impl LoadGuard {
    /// Adds the load to the load table and announces the prefill to peers.
    pub(crate) fn take(
        core: &Rc<Core>,
        loads: Vec<(EndpointKey, EndpointLoad)>,
        prefill_endpoints: Vec<EndpointKey>,
        prefill_ms: f64,
    ) -> Self {
        // Prefill is added first: an engine without streams to decode starts to prefill at once.
        for endpoint in &prefill_endpoints {
            let part = prefill_part(&loads, prefill_endpoints.len(), *endpoint);
            core.place_prefill(*endpoint, prefill_ms, part);
        }
        for (endpoint, load) in &loads {
            core.load_table.borrow_mut().add_own(*endpoint, load);
            core.unreported_loads
                .borrow_mut()
                .push((*endpoint, load.clone()));
        }
        core.broadcast_wanted.notify_one();
        Self {
            core: core.clone(),
            loads,
            prefill_ms,
            is_shared: prefill_endpoints.len() > 1,
            prefill_endpoints,
        }
    }

    /// Records the first token: all parts are prefilled. If there were several, peers are told at
    /// once, since other prompts wait for free engines. The end of a short prompt can wait for the
    /// next full message where there are many peers.
    pub(crate) fn record_first_token(&mut self) {
        self.prefill_endpoints.clear();
        let mut load_table = self.core.load_table.borrow_mut();
        let is_part = |load: &EndpointLoad| load.parts > 0;
        for (endpoint, load) in self.loads.iter().filter(|(_, load)| is_part(load)) {
            load_table.remove_own(*endpoint, load);
        }
        self.loads.retain(|(_, load)| !is_part(load));
        drop(load_table);
        self.announce_freed();
    }

    /// Tells peers at once of released load, where that is worth a message.
    fn announce_freed(&self) {
        if self.is_shared || self.core.has_few_peers() {
            self.core.announce_freed();
        }
    }
}

/// How much of a prompt one of its `endpoint_count` prefill endpoints prefills.
fn prefill_part(
    loads: &[(EndpointKey, EndpointLoad)],
    endpoint_count: usize,
    endpoint: EndpointKey,
) -> PrefillPart {
    let decodes =
        |(key, load): &(EndpointKey, EndpointLoad)| *key == endpoint && load.running() > 0;
    match (endpoint_count, loads.iter().any(decodes)) {
        (1, _) => PrefillPart::Whole,
        (_, true) => PrefillPart::FirstPart,
        (_, false) => PrefillPart::Part,
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let now_ms = self.core.now_ms();
        let mut load_table = self.core.load_table.borrow_mut();
        for (endpoint, load) in &self.loads {
            load_table.remove_own(*endpoint, load);
        }
        for endpoint in &self.prefill_endpoints {
            load_table.correct_prefill(*endpoint, now_ms, self.prefill_ms);
        }
        drop(load_table);
        let given_up = self
            .prefill_endpoints
            .iter()
            .map(|endpoint| UnreportedPrefill {
                endpoint: *endpoint,
                prefill_ms: self.prefill_ms,
                part: PrefillPart::GivenUp,
            });
        self.core.unreported_prefills.borrow_mut().extend(given_up);
        self.announce_freed();
    }
}
