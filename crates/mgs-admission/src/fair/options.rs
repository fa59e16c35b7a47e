//! Settings of the fair queue.

/// Settings of a [`FairQueue`](super::FairQueue).
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Maximum number of queued requests for one row and class.
    pub flow_max: usize,
    /// Maximum number of queued requests in total.
    pub queue_max: usize,
    /// Maximum predicted queueing time of a short prompt, as a share of its remaining time.
    pub short_wait_share_max: f64,
    /// Maximum predicted queueing time of any longer prompt, as a share of its remaining time.
    /// Longer prompts may wait longer and should not be refused readily.
    pub long_wait_share_max: f64,
    /// Share of its total time after which a queued low-priority request is aged.
    pub aged_share: f64,
    /// Share of the started tokens that aged requests may take ahead of higher priorities.
    pub aged_tokens_share: f64,
    /// Lower bound of `Retry-After`, in milliseconds.
    pub retry_after_min_ms: u64,
    /// Upper bound of `Retry-After`, in milliseconds.
    pub retry_after_max_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            flow_max: 2_000,
            queue_max: 20_000,
            short_wait_share_max: 0.25,
            long_wait_share_max: 0.5,
            aged_share: 0.5,
            aged_tokens_share: 0.1,
            retry_after_min_ms: 200,
            retry_after_max_ms: 60_000,
        }
    }
}
