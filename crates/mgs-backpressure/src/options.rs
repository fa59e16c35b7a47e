//! Settings for sharing limits among gateways.

use crate::warm_up;

/// Settings for sharing limits among gateways.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Lower bound applied to any limit, in requests per second: an endpoint that gets no requests
    /// has no response in which to raise its limit.
    pub min_per_s: f64,
    /// Gateways that may use a limit at a time, for each request per second of the limit. All of
    /// them may send one request at the same moment, so their number must stay within what an
    /// endpoint tolerates above its limit.
    pub holders_per_request: f64,
    /// Gateways that may use a limit at a time, in addition to `holders_per_request`.
    pub holders_base: f64,
    /// How long the same gateways may use a limit, in milliseconds.
    pub rotation_ms: f64,
    /// Time for which unused requests of a limit accumulate, in milliseconds; bounds the burst.
    pub burst_ms: f64,
    /// Upper bound on the backoff that one response can ask for, in milliseconds, so that an
    /// endpoint that asks for days by mistake is contacted again.
    pub backoff_max_ms: f64,
    /// How long the state of an endpoint that is no longer listed is kept, in milliseconds: its
    /// entry may expire during an outage of the store and come back.
    pub retention_ms: f64,
    /// Limits of cold endpoints.
    pub warm_up: warm_up::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_per_s: 0.25,
            holders_per_request: 1.6,
            holders_base: 3.0,
            rotation_ms: 4_000.0,
            burst_ms: 300.0,
            backoff_max_ms: 300_000.0,
            retention_ms: 120_000.0,
            warm_up: warm_up::Options::default(),
        }
    }
}
