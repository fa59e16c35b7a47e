//! How many gateways there are, as far as one of them knows.
//!
//! What all gateways may spend together is shared by this number, so one that is too small lets them spend too
//! much. A gateway that has just started has heard nobody: until the store or a peer has told it how many there are,
//! it doesn't know, and takes no part of what is shared: gateways that started at once without the store would each spend
//! the whole.

/// How long the largest number of peers heard counts, in milliseconds: those that were cut off or have just ended may
/// have spent their part.
const HEARD_MEMORY_MS: f64 = 20_000.0;

/// The gateways that one of them knows of.
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
    /// Most peers heard at once of late.
    heard_peers: usize,
    heard_at_ms: f64,
    /// All that the store lists, this one included; `None` before it has been read.
    listed_gateways: Option<usize>,
    /// Most that a peer knew of; `None` if no peer knew.
    reported_gateways: Option<usize>,
}

impl GatewayCount {
    /// So many peers have been heard of late.
    pub fn record_heard(&mut self, peers: usize, now_ms: f64) {
        if peers >= self.heard_peers || now_ms - self.heard_at_ms > HEARD_MEMORY_MS {
            self.heard_peers = peers;
            self.heard_at_ms = now_ms;
        }
    }

    /// The store lists so many gateways, this one included. Some of them may have ended.
    pub fn set_listed(&mut self, gateways: usize) {
        self.listed_gateways = Some(gateways);
    }

    /// A peer says that there are so many; the most that was ever said counts, until the store is read.
    pub fn record_reported(&mut self, gateways: usize) {
        self.reported_gateways = self.reported_gateways.max(Some(gateways));
    }

    /// Gateways heard of late, this one included.
    pub fn heard_gateways(&self) -> usize {
        self.heard_peers + 1
    }

    /// How many gateways share what all may spend, or `None` as long as that isn't known.
    pub fn gateways_sharing(&self) -> Option<usize> {
        let known = self.listed_gateways.or(self.reported_gateways)?;
        Some(known.max(self.heard_gateways()))
    }
}
