//! What the driver keeps of one attempt.

use std::sync::Arc;

use mgs_durable::entry::Target;
use mgs_fleet::view::EndpointKey;
use mgs_transport::client::Call;

use crate::core::Core;
use crate::session::Session;
use crate::session::Slot;

/// One attempt at one endpoint.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointKey,
    pub(crate) slot: Option<Arc<Slot>>,
    pub(crate) call: Option<Call>,
    pub(crate) session: Option<Arc<Session>>,
    /// Incarnation that the dispatch was meant for.
    pub(crate) incarnation: u64,
    pub(crate) predicted_ms: u64,
    pub(crate) sent_ms: u64,
    /// The policy was told of the dispatch and not yet of its end.
    pub(crate) counted: bool,
    pub(crate) first_seen: bool,
}

impl Attempt {
    /// An attempt that another gateway made; `None` if its endpoint isn't known here.
    pub(crate) fn at(core: &Core, target: &Target) -> Option<Self> {
        let slot = core.slot_of(&target.endpoint)?;
        let now_ms = core.now_ms();
        Some(Self {
            endpoint: slot.key,
            slot: Some(slot),
            call: None,
            session: None,
            incarnation: target.sidecar_incarnation,
            predicted_ms: 0,
            sent_ms: now_ms,
            counted: false,
            first_seen: true,
        })
    }
}
