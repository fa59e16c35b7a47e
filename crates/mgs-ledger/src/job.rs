//! The metadata of a dispatched request.

use mgs_schema::key::RequestId;

/// Identifier of an organisation, local to one ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrganisationKey(pub u32);

/// Origin of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Sender {
    /// Incarnation of the gateway.
    pub gateway: u64,
    /// Session number of the gateway; a newer session has a higher number.
    pub session: u64,
    /// Connection on which the message arrived.
    pub connection: u64,
}

/// A dispatched request, without its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Job {
    /// Request identifier.
    pub id: RequestId,
    /// Attempt number, starting at 1.
    pub attempt: u32,
    /// Origin of the dispatch.
    pub sender: Sender,
    /// Incarnation of the sidecar that the dispatch is addressed to.
    pub sidecar_incarnation: u64,
    /// Organisation that the request belongs to.
    pub organisation: OrganisationKey,
    /// Weight of its organisation in fair queueing.
    pub weight: u32,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens believed to be in the engine's cache.
    pub cached_tokens: u64,
    /// Maximum answer length, in tokens.
    pub max_tokens: u64,
    /// Remaining time budget, in milliseconds.
    pub budget_ms: u64,
    /// How long it may run while its gateway is disconnected, in milliseconds. The ledger's
    /// gateway lease applies if that is longer.
    pub orphan_ms: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Span reservation whose memory it uses; 0 for none.
    pub span: u64,
    /// Whether its model is about to be unloaded from this endpoint.
    pub unloading: bool,
}

impl Job {
    /// Engine memory that it needs, in tokens: prompt and longest answer.
    pub fn need_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_tokens)
    }

    /// Prompt tokens that the engine must process, those not cached.
    pub fn prefill_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.cached_tokens)
    }
}
