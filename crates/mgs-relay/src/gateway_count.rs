//! Estimates the number of gateways in the fleet.
//!
//! Fleet-wide budgets are divided by this number, so an estimate that is too low makes the fleet
//! overspend. A gateway that has just started has heard no peer: until the store or a peer has told
//! it the number, it knows none and takes no share of a budget. Otherwise gateways that start at
//! the same time without the store would each spend the whole budget.

/// How long the largest number of peers heard counts, in milliseconds: peers that were cut off or
/// have just ended may have spent their share.
const HEARD_MEMORY_MS: f64 = 20_000.0;

/// The number of gateways as one of them knows it, by peers heard, by the store's list and by
/// reports of peers.
///
/// ```
/// use mgs_relay::gateway_count::GatewayCount;
///
/// let mut count = GatewayCount::default();
/// count.record_heard(2, 0.0);
/// assert_eq!(count.heard_gateways(), 3);
/// assert_eq!(count.gateways_sharing(), None);
///
/// count.set_listed(8);
/// count.record_reported(5);
/// assert_eq!(count.gateways_sharing(), Some(8));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GatewayCount {
    /// Largest number of peers heard at once within [`HEARD_MEMORY_MS`].
    heard_peers: usize,
    heard_at_ms: f64,
    /// Gateways that the store lists, including this one; `None` before the list was read.
    listed_gateways: Option<usize>,
    /// Largest number that a peer has reported; `None` if none did.
    reported_gateways: Option<usize>,
}

impl GatewayCount {
    /// Records the number of peers heard recently.
    pub fn record_heard(&mut self, peers: usize, now_ms: f64) {
        if peers >= self.heard_peers || now_ms - self.heard_at_ms > HEARD_MEMORY_MS {
            self.heard_peers = peers;
            self.heard_at_ms = now_ms;
        }
    }

    /// Records how many gateways the store lists, including this one. Some of them may have ended.
    pub fn set_listed(&mut self, gateways: usize) {
        self.listed_gateways = Some(gateways);
    }

    /// Records the number of gateways that a peer reports. The largest one counts until the store's
    /// list was read.
    pub fn record_reported(&mut self, gateways: usize) {
        self.reported_gateways = self.reported_gateways.max(Some(gateways));
    }

    /// Number of gateways heard recently, including this one.
    pub fn heard_gateways(&self) -> usize {
        self.heard_peers + 1
    }

    /// Number of gateways among which budgets are divided: the listed or reported number, but at
    /// least those heard. `None` while neither the store nor a peer has told it.
    pub fn gateways_sharing(&self) -> Option<usize> {
        let known = self.listed_gateways.or(self.reported_gateways)?;
        Some(known.max(self.heard_gateways()))
    }
}
