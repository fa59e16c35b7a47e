//! What the fleet can take, as the queue asks for it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use mgs_admission::queue::AdmissionRequest;
use mgs_admission::queue::Capacity;
use mgs_fleet::view::View;
use mgs_routing::policy::Choice;
use mgs_routing::policy::Policy;
use mgs_routing::policy::RoutingError;
use mgs_routing::span;
use mgs_schema::key::RequestId;

use crate::hub::Waiting;

/// Asks the policy for each offer, and keeps its choices for the requests that start.
pub(crate) struct FleetRoom<'a> {
    pub(crate) policy: &'a dyn Policy,
    pub(crate) view: Arc<View>,
    pub(crate) zone: &'a str,
    pub(crate) spans: &'a span::Options,
    pub(crate) now_ms: u64,
    pub(crate) waiting: &'a HashMap<RequestId, Waiting>,
    /// The last choice, which [`Capacity::reserve`] most likely takes up.
    pub(crate) last: RefCell<Option<(RequestId, Choice)>>,
    /// Choices for the requests that took their room.
    pub(crate) chosen: HashMap<RequestId, Choice>,
}

impl FleetRoom<'_> {
    fn choose(&self, id: RequestId) -> Option<Result<Choice, RoutingError>> {
        let job = &self.waiting.get(&id)?.job;
        let ask = job.ask(self.zone, &[], self.now_ms);
        Some(self.policy.choose(&self.view, &ask, rand::random()))
    }

    /// A prompt that exceeds one engine's memory starts at once: it gathers memory outside the
    /// queue, where it keeps nobody waiting.
    fn span_first_token_ms(&self, id: RequestId) -> Option<u64> {
        let job = &self.waiting.get(&id)?.job;
        let ask = job.ask(self.zone, &[], self.now_ms);
        self.last.replace(None);
        span::first_token_ms(&self.view, &ask, self.spans).ok()
    }
}

impl Capacity for FleetRoom<'_> {
    fn first_token_ms(&self, offer: &AdmissionRequest) -> Option<u64> {
        let choice = match self.choose(offer.id)? {
            Ok(choice) => choice,
            Err(RoutingError::PromptExceedsMemory) => return self.span_first_token_ms(offer.id),
            Err(_) => return None,
        };
        let first_token_ms = choice.first_token_ms;
        self.last.replace(Some((offer.id, choice)));
        Some(first_token_ms)
    }

    fn reserve(&mut self, offer: &AdmissionRequest) {
        let last = self.last.take().filter(|(id, _)| *id == offer.id);
        let choice = last.map(|(_, choice)| choice);
        let Some(choice) = choice.or_else(|| self.choose(offer.id)?.ok()) else {
            return;
        };
        if let Some(waiting) = self.waiting.get(&offer.id) {
            let ask = waiting.job.ask(self.zone, &[], self.now_ms);
            self.policy.dispatched(choice.endpoint, &ask);
        }
        self.chosen.insert(offer.id, choice);
    }
}
