//! Settings of the quarantine.

/// Settings of the quarantine.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Crashes after which a fingerprint is held. With two, a request that ran beside the crashing
    /// one and was retried together with it would be held too.
    pub hold_crashes: usize,
    /// Time before the last crash under a fingerprint in which unrelated ends of endpoints are
    /// counted, in milliseconds.
    pub unrelated_window_ms: f64,
    /// Unrelated ends in that time, as a share of all endpoints, from which two more crashes are
    /// required for a hold; one more is required from the first unrelated end on. Where endpoints
    /// end for other reasons, some request runs on three of them by chance. No more than two are
    /// added, since each costs an endpoint.
    pub many_unrelated_share: f64,
    /// Time after its last crash from which unrelated ends no longer raise the threshold for a
    /// request that is repeated, in milliseconds. A request that only ran beside the crashing one
    /// has been retried by then and has made more progress.
    pub recurrence_ms: f64,
    /// Crashes after which a fingerprint is held even if each of its runs made more progress than
    /// an earlier one: a request that crashes its endpoint sooner one time and later another.
    pub hold_crashes_total: usize,
    /// Crashes after which a part of prompts is held on which some run has begun to write before:
    /// the crash may be due to another part of the same prompts.
    pub begun_hold_crashes: usize,
    /// Time from the first counted crash under such a part until it is held, in milliseconds.
    /// Requests that share the part and don't crash begin to write in this time, and so clear it.
    pub begun_settle_ms: f64,
    /// How long a run that began to write on a part is remembered, in milliseconds.
    pub begun_memory_ms: f64,
    /// Most parts remembered on which runs have begun to write; the oldest are forgotten first.
    pub begun_max: usize,
    /// Crashes from which a request runs on one endpoint only, the same for all gateways, so that
    /// copies that run at the same time crash a single endpoint.
    pub confine_crashes: usize,
    /// Crashes closer together than this count once if more endpoints ended at that moment than
    /// those under the fingerprint, in milliseconds: a rack that loses power.
    pub simultaneous_ms: f64,
    /// Time from its last crash until a held request gets one trial run, in milliseconds. The
    /// crashed endpoints have restarted by then.
    pub trial_after_ms: f64,
    /// Most crashes with which a held request gets a trial: with more it already had its trials.
    pub trial_crashes_max: usize,
    /// How long crashes count under a fingerprint that isn't held, in milliseconds.
    pub retention_ms: f64,
    /// Most fingerprints kept that aren't held; those with the fewest crashes are evicted first.
    pub suspects_max: usize,
    /// Most fingerprints held; the one with the oldest last crash is evicted first.
    pub held_max: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hold_crashes: 3,
            unrelated_window_ms: 4_000.0,
            many_unrelated_share: 0.25,
            recurrence_ms: 2_000.0,
            hold_crashes_total: 6,
            begun_hold_crashes: 5,
            begun_settle_ms: 2_000.0,
            begun_memory_ms: 600_000.0,
            begun_max: 16_384,
            confine_crashes: 2,
            simultaneous_ms: 50.0,
            trial_after_ms: 20_000.0,
            trial_crashes_max: 4,
            retention_ms: 3_600_000.0,
            suspects_max: 4_096,
            held_max: 16_384,
        }
    }
}
