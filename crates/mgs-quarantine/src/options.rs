//! Settings of holding.

/// Settings of holding.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Crashes after which a work is held. Two would hold a neighbour that is sent again together with what crashed
    /// its endpoint.
    pub hold_crashes: usize,
    /// Time before the last crash under a work in which other ends are looked at, in milliseconds.
    pub others_ms: f64,
    /// Other ends in that time, as a share of all endpoints, from which on two more crashes are wanted; one more is
    /// wanted as soon as there is one: where endpoints end by themselves, some work runs on three of them by
    /// chance. No more than two, since each is an endpoint lost.
    pub many_others_share: f64,
    /// Time after its last crash from which on other ends make no difference to a work that comes again, in milliseconds. What
    /// only ran beside them has been sent again by then, and has got further.
    pub settled_ms: f64,
    /// Crashes after which it is held even if each of its runs got further than an earlier one: a work that crashes
    /// its endpoint now sooner, now later.
    pub hold_crashes_in_all: usize,
    /// Crashes from which on it runs on one endpoint only, the same at each gateway: copies that run at the same
    /// time crash one together then.
    pub confine_crashes: usize,
    /// Crashes closer than this count once, if they are a part of more crashes at that moment than those under the
    /// work, in milliseconds: a rack that loses power.
    pub moment_ms: f64,
    /// Time from its last crash until a held work is tried once more, in milliseconds. The endpoints are back by then.
    pub trial_after_ms: f64,
    /// Most crashes with which a held work is tried again: with more it has had its trials.
    pub trial_crashes_max: usize,
    /// How long crashes count under a work that isn't held, in milliseconds.
    pub kept_ms: f64,
    /// Most works that are remembered but not held; those with fewest crashes go first.
    pub suspects_max: usize,
    /// Most works that are held; the one whose last crash is longest ago goes first.
    pub held_max: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hold_crashes: 3,
            others_ms: 4_000.0,
            many_others_share: 0.25,
            settled_ms: 2_000.0,
            hold_crashes_in_all: 6,
            confine_crashes: 2,
            moment_ms: 50.0,
            trial_after_ms: 20_000.0,
            trial_crashes_max: 4,
            kept_ms: 3_600_000.0,
            suspects_max: 4_096,
            held_max: 16_384,
        }
    }
}
