//! How many gateways there are, as far as one of them knows.
//!
//! What all gateways may spend together is shared by this number, so one that is too small lets them spend too
//! much.

/// How long the largest number of gateways counts, in milliseconds: those that were cut off or have just ended may
/// have spent their part.
const MEMORY_MS: f64 = 20_000.0;

/// The gateways that one of them knows of.
///
/// ```
/// use mgs_relay::headcount::Headcount;
///
/// let mut headcount = Headcount::default();
/// headcount.heard(2, 0.0);
/// headcount.heard(1, 500.0);
/// assert_eq!(headcount.gateways(), 3);
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Headcount {
    /// Most peers heard at once of late.
    heard: usize,
    heard_at_ms: f64,
}

impl Headcount {
    /// So many peers have been heard of late.
    pub fn heard(&mut self, peers: usize, now_ms: f64) {
        if peers >= self.heard || now_ms - self.heard_at_ms > MEMORY_MS {
            self.heard = peers;
            self.heard_at_ms = now_ms;
        }
    }

    /// Most gateways known at once of late, this one included.
    pub fn gateways(&self) -> usize {
        self.heard + 1
    }
}
