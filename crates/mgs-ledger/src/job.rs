//! A request as the ledger sees it.

use mgs_schema::key::RequestId;

/// Key of an organisation within one ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrganisationKey(pub u32);

/// Who sent a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Sender {
    /// Incarnation of the gateway.
    pub gateway: u64,
    /// Its session.
    pub session: u64,
    /// The connection on which the message came.
    pub connection: u64,
}

/// A dispatched request, without its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Job {
    /// Its identifier.
    pub id: RequestId,
    /// Attempt, from 1.
    pub attempt: u32,
    /// Who sent it.
    pub sender: Sender,
    /// Incarnation of the sidecar that it is meant for.
    pub sidecar_incarnation: u64,
    /// Organisation.
    pub organisation: OrganisationKey,
    /// Weight of its row.
    pub weight: u32,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Prompt length.
    pub prompt_tokens: u64,
    /// Prompt tokens believed to be in the engine's cache.
    pub cached_tokens: u64,
    /// Longest answer.
    pub max_tokens: u64,
    /// What is left of its allotted time, in milliseconds.
    pub budget_ms: u64,
    /// How long it may go on without its gateway, in milliseconds; 0 for the ledger's lease.
    pub orphan_ms: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Reservation that it uses; 0 for none.
    pub span: u64,
    /// Whether its model is about to be unloaded here.
    pub unloading: bool,
}

impl Job {
    /// Engine memory that it needs.
    pub fn need_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_tokens)
    }

    /// Prompt tokens that the engine must process.
    pub fn prefill_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.cached_tokens)
    }
}
