//! How many gateways there are, as far as one of them knows.
//!
//! What all gateways may spend together is shared by this number, so one that is too small lets them spend too
//! much. A gateway that has just started has heard nobody: until the store or a peer has told it how many there are,
//! it doesn't know, and takes no part of what is shared: gateways that started at once without the store would each spend
//! the whole.

/// How long the largest number of peers heard counts, in milliseconds: those that were cut off or have just ended may
/// have spent their part.
const MEMORY_MS: f64 = 20_000.0;

/// The gateways that one of them knows of.
///
/// ```
/// use mgs_relay::headcount::Headcount;
///
/// let mut headcount = Headcount::default();
/// headcount.heard(2, 0.0);
/// assert_eq!(headcount.gateways(), 3);
/// assert_eq!(headcount.sharing(), None);
///
/// headcount.listed(8);
/// headcount.told(5);
/// assert_eq!(headcount.sharing(), Some(8));
/// ```
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Headcount {
    /// Most peers heard at once of late.
    heard: usize,
    heard_at_ms: f64,
    /// All that the store lists, this one included; `None` before it has been read.
    listed: Option<usize>,
    /// Most that a peer knew of; `None` if no peer knew.
    told: Option<usize>,
}

impl Headcount {
    /// So many peers have been heard of late.
    pub fn heard(&mut self, peers: usize, now_ms: f64) {
        if peers >= self.heard || now_ms - self.heard_at_ms > MEMORY_MS {
            self.heard = peers;
            self.heard_at_ms = now_ms;
        }
    }

    /// The store lists so many gateways, this one included. Some of them may have ended.
    pub fn listed(&mut self, gateways: usize) {
        self.listed = Some(gateways);
    }

    /// A peer says that there are so many; the most that was ever said counts, until the store is read.
    pub fn told(&mut self, gateways: usize) {
        self.told = self.told.max(Some(gateways));
    }

    /// Gateways heard of late, this one included.
    pub fn gateways(&self) -> usize {
        self.heard + 1
    }

    /// How many gateways share what all may spend, or `None` as long as that isn't known.
    pub fn sharing(&self) -> Option<usize> {
        let known = self.listed.or(self.told)?;
        Some(known.max(self.gateways()))
    }
}
