//! Offers, settings and a fleet of limited room for the tests of admission.

use std::collections::HashMap;

use mgs_admission::queue::Action;
use mgs_admission::queue::Offer;
use mgs_admission::queue::Room;
use mgs_schema::key::RequestId;

/// An offer that arrives at 0 with 10 s of time.
pub(crate) fn offer(serial: u64, organisation: &str, prompt_tokens: u64) -> Offer {
    Offer {
        id: RequestId { origin: 1, serial },
        organisation: organisation.into(),
        kind: "chat".into(),
        model: "small".into(),
        prompt_tokens,
        max_tokens: 0,
        arrived_ms: 0,
        deadline_ms: 10_000,
    }
}

/// Room for so many tokens.
#[derive(Debug, Default)]
pub(crate) struct Tokens {
    /// Tokens that still fit.
    pub(crate) free: u64,
    /// Tokens taken by organisation.
    pub(crate) taken: HashMap<String, u64>,
}

impl Tokens {
    /// Room for `free` tokens.
    pub(crate) fn new(free: u64) -> Self {
        Self {
            free,
            ..Self::default()
        }
    }
}

impl Room for Tokens {
    fn first_token_ms(&self, offer: &Offer) -> Option<u64> {
        (offer.prompt_tokens <= self.free).then_some(1)
    }

    fn taken(&mut self, offer: &Offer) {
        self.free -= offer.prompt_tokens;
        *self.taken.entry(offer.organisation.clone()).or_default() += offer.prompt_tokens;
    }
}

/// Serials of the requests started by `actions`.
pub(crate) fn started(actions: &[Action]) -> Vec<u64> {
    let serial = |action: &Action| match action {
        Action::Start(id) => Some(id.serial),
        Action::Refuse { .. } => None,
    };
    actions.iter().filter_map(serial).collect()
}
