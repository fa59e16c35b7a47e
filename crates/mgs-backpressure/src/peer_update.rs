//! What gateways exchange about the limits of endpoints.

/// How long peers are told that a limit was removed, in milliseconds. A gateway that misses this
/// learns it from its next request to the endpoint.
const LIMIT_REMOVAL_SENT_MS: f64 = 10_000.0;

/// A limit that an endpoint announced, or its removal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitUpdate {
    /// Requests per second; `None` if the limit was removed.
    pub per_s: Option<f64>,
    /// When the response with the limit arrived or, for a removal, when the request was sent whose
    /// response carried none: the endpoint removed the limit after that. In milliseconds.
    pub at_ms: f64,
}

impl LimitUpdate {
    /// Whether this update replaces `other`: the newer one does, in whatever order they arrive. Of
    /// two with the same time, the one that carries a limit does.
    pub(crate) fn supersedes(&self, other: &Self) -> bool {
        let has_limit = self.per_s.is_some() && other.per_s.is_none();
        self.at_ms > other.at_ms || self.at_ms == other.at_ms && has_limit
    }
}

/// First-hand state of one endpoint at the sending gateway.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerUpdate {
    /// The last limit or removal that the endpoint announced to the sender, if any.
    pub limit: Option<LimitUpdate>,
    /// Requests that the sender has sent to the endpoint under a limit since the sender started. It
    /// is a total, so that the next message makes up for a lost one.
    pub sent_requests: u32,
    /// Whether the endpoint told the sender that it is shutting down.
    pub is_leaving: bool,
}

impl PeerUpdate {
    /// Whether a peer needs this update.
    pub(crate) fn is_worth_sending(&self, now_ms: f64) -> bool {
        let is_expired = |limit: &LimitUpdate| {
            limit.per_s.is_none() && now_ms - limit.at_ms > LIMIT_REMOVAL_SENT_MS
        };
        let has_limit_update = self.limit.is_some_and(|limit| !is_expired(&limit));
        self.sent_requests > 0 || self.is_leaving || has_limit_update
    }
}
