//! Requests and a fleet with limited capacity for the admission tests.

use std::collections::HashMap;

use mgs_admission::queue::Action;
use mgs_admission::queue::AdmissionRequest;
use mgs_admission::queue::Capacity;
use mgs_schema::key::RequestId;

/// A request that arrives at 0 with a deadline of 10 s.
pub(crate) fn request(serial: u64, organisation: &str, prompt_tokens: u64) -> AdmissionRequest {
    AdmissionRequest {
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

/// Capacity counted in prompt tokens.
#[derive(Debug, Default)]
pub(crate) struct TokenCapacity {
    /// Prompt tokens that can still be started.
    pub(crate) free_tokens: u64,
    /// Prompt tokens started, by organisation.
    pub(crate) taken_tokens: HashMap<String, u64>,
}

impl TokenCapacity {
    /// Capacity for `free_tokens` prompt tokens.
    pub(crate) fn new(free_tokens: u64) -> Self {
        Self {
            free_tokens,
            ..Self::default()
        }
    }
}

impl Capacity for TokenCapacity {
    fn first_token_ms(&self, request: &AdmissionRequest) -> Option<u64> {
        (request.prompt_tokens <= self.free_tokens).then_some(1)
    }

    fn reserve(&mut self, request: &AdmissionRequest) {
        self.free_tokens -= request.prompt_tokens;
        *self
            .taken_tokens
            .entry(request.organisation.clone())
            .or_default() += request.prompt_tokens;
    }
}

/// Serial numbers of the requests that `actions` start.
pub(crate) fn started(actions: &[Action]) -> Vec<u64> {
    let serial = |action: &Action| match action {
        Action::Start(id) => Some(id.serial),
        Action::Refuse { .. } => None,
    };
    actions.iter().filter_map(serial).collect()
}
