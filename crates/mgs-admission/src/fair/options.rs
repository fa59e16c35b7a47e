//! Settings of the queue.

/// Settings of a [`FairQueue`](super::FairQueue).
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Most requests queued for one row and class.
    pub flow_max: usize,
    /// Most requests queued in all.
    pub queue_max: usize,
    /// Share of the time left that a short prompt may be predicted to wait in the queue.
    pub short_wait_share_max: f64,
    /// The same for other prompts, which may wait but must not be turned away lightly.
    pub long_wait_share_max: f64,
    /// Share of its time after which a queued request of low priority is aged.
    pub aged_share: f64,
    /// Share of the started tokens that aged requests may take out of their turn.
    pub aged_tokens_share: f64,
    /// Bounds of a `Retry-After`, in milliseconds.
    pub retry_after_min_ms: u64,
    /// See [`Options::retry_after_min_ms`].
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
