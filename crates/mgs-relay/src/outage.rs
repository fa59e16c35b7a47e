//! Decides whether the entries of live endpoints may have expired while the store was away.
//!
//! An entry expires after [`INTERVALS_TO_EXPIRY`] intervals without a status report of its endpoint. A
//! connection of this gateway that falls silent or is reset, or readers that aren't heard, say
//! nothing about endpoints: only a store that refuses calls, or that nobody is known to have
//! reached for so long that a live endpoint's entry may have expired, does.

/// Intervals between status reports after which the entry of a silent endpoint expires.
const INTERVALS_TO_EXPIRY: u64 = 3;

/// What is known of the store when it answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutageSigns {
    /// Whether the store has refused a call since its last answer.
    pub was_refused: bool,
    /// Whether a call has had no answer since then.
    pub was_lost: bool,
    /// Whether entries were removed since then, or may have been.
    pub has_removals: bool,
    /// Time since the last answer on endpoints that any gateway is known to have had, in
    /// milliseconds; `None` if none is known.
    pub unanswered_ms: Option<u64>,
}

impl OutageSigns {
    /// Whether entries that are missing now may have expired although their endpoints live, which
    /// report their status once in `report_interval_ms`.
    ///
    /// ```
    /// use mgs_relay::outage::OutageSigns;
    ///
    /// let silent = OutageSigns {
    ///     was_lost: true,
    ///     unanswered_ms: Some(2_000),
    ///     ..OutageSigns::default()
    /// };
    /// assert!(!silent.may_have_expired_entries(1_200));
    /// let away_for_long = OutageSigns {
    ///     unanswered_ms: Some(5_000),
    ///     ..silent
    /// };
    /// assert!(away_for_long.may_have_expired_entries(1_200));
    /// ```
    pub fn may_have_expired_entries(&self, report_interval_ms: u64) -> bool {
        // The last report before the outage may have been one interval old when it began.
        let shortest_outage_ms = (INTERVALS_TO_EXPIRY - 1) * report_interval_ms;
        let is_long = self.unanswered_ms.is_some_and(|ms| ms > shortest_outage_ms);
        self.was_refused || (is_long && (self.was_lost || self.has_removals))
    }
}
