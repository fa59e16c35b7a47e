//! Settings of sharing limits.

/// Settings of sharing limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// What a smaller limit counts as, in requests a second: an endpoint that gets nothing can't say that it takes more
    /// again.
    pub least_per_s: f64,
    /// Gateways that hold a limit at a time, for each request a second of it. All may send one at the same moment, and
    /// these must not exceed what an endpoint bears beside its limit.
    pub holders_per_request: f64,
    /// Gateways that hold a limit at a time besides.
    pub holders_more: f64,
    /// How long the same gateways hold a limit, in milliseconds.
    pub turn_ms: f64,
    /// Time of a limit that may be saved and used at once, in milliseconds.
    pub burst_ms: f64,
    /// Longest rest that an endpoint gets for one answer, in milliseconds: one that asks for days by mistake is asked again.
    pub rest_max_ms: f64,
    /// How long what isn't listed any more is remembered, in milliseconds: an entry may lapse in an outage of the store
    /// and come back.
    pub kept_ms: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            least_per_s: 0.25,
            holders_per_request: 1.6,
            holders_more: 3.0,
            turn_ms: 4_000.0,
            burst_ms: 300.0,
            rest_max_ms: 300_000.0,
            kept_ms: 120_000.0,
        }
    }
}
