//! How gateways divide a limit that applies to all of them together.
//!
//! An endpoint may accept two requests per second from all gateways together, and there may be five
//! gateways or three hundred. With equal shares, a hundred gateways could send a hundred requests
//! at once, or each could send one in fifty seconds. So each gateway counts its own requests and
//! those that the others report. Reports take some milliseconds, during which several gateways may
//! use the same remaining request. Therefore only a few gateways, the holders, may use the limit at
//! a time: as many as the endpoint tolerates if all of them send at the same moment. The holders
//! are chosen by rendezvous hashing over the endpoint's incarnation, the time and the reachable
//! gateways, so all gateways agree on them but for short moments.
//!
//! While gateways that were reachable a short time ago are not, they may still be sending by their
//! own count. The reachable gateways then use only the part of the limit that corresponds to their
//! number.

use xxhash_rust::xxh3::xxh3_64;

use crate::options::Options;
use crate::table::IncarnationHash;

/// The gateways that share limits, as seen by one of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gateways {
    /// Incarnation of this gateway.
    pub own: u64,
    /// Incarnations of the other reachable gateways that aren't shutting down.
    pub others: Vec<u64>,
    /// Upper bound on the number of gateways, including those that were reachable a short time ago
    /// and may be partitioned off; `None` until it is known.
    pub count: Option<usize>,
}

/// How a limit is divided for a period.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allocation {
    /// Number of gateways that may use the limit.
    pub holders: usize,
    /// Whether this gateway is one of them.
    pub is_holder: bool,
    /// Share of the limit that the reachable gateways may use, this one included.
    pub share: f64,
    /// Remaining time of the period, in milliseconds.
    pub remaining_ms: f64,
}

impl Gateways {
    /// How a limit is divided at a time of the [`SharedClock`].
    ///
    /// ```
    /// use mgs_backpressure::options::Options;
    /// use mgs_backpressure::share::Gateways;
    /// use mgs_backpressure::table::IncarnationHash;
    ///
    /// let options = Options { holders_per_request: 1.0, holders_base: 2.0, ..Options::default() };
    /// let is_holder = |own, others: &[u64]| {
    ///     let gateways = Gateways { own, others: others.to_vec(), count: Some(4) };
    ///     gateways.allocation(IncarnationHash(7), 1.0, 0.0, &options).is_holder
    /// };
    /// // Three of four gateways may use a limit of one request per second.
    /// let holders = [
    ///     is_holder(1, &[2, 3, 4]),
    ///     is_holder(2, &[1, 3, 4]),
    ///     is_holder(3, &[1, 2, 4]),
    ///     is_holder(4, &[1, 2, 3]),
    /// ];
    /// assert_eq!(holders.iter().filter(|is_holder| **is_holder).count(), 3);
    /// ```
    pub fn allocation(
        &self,
        incarnation: IncarnationHash,
        limit_per_s: f64,
        clock_ms: f64,
        options: &Options,
    ) -> Allocation {
        let limit_per_s = limit_per_s.max(options.min_per_s);
        let holders = limit_per_s * options.holders_per_request + options.holders_base;
        let holders = (holders as usize).max(1);
        // Endpoints change their holders at different times.
        let offset = (incarnation.0 % 1_000) as f64 / 1_000.0;
        let rotations = clock_ms.max(0.0) / options.rotation_ms + offset;
        let reachable = self.others.len() + 1;
        let share = self
            .count
            .map_or(0.0, |count| reachable as f64 / count.max(reachable) as f64);
        Allocation {
            holders,
            is_holder: self.count.is_some()
                && self.is_holder(incarnation, rotations as u64, holders),
            share,
            remaining_ms: (1.0 - rotations.fract()) * options.rotation_ms,
        }
    }

    /// Whether fewer than `holders` gateways rank higher than this one.
    fn is_holder(&self, incarnation: IncarnationHash, rotation: u64, holders: usize) -> bool {
        if self.others.len() < holders {
            return true;
        }
        let own = rank(incarnation, rotation, self.own);
        let ranked_higher = self.others.iter();
        let ranked_higher =
            ranked_higher.filter(|other| rank(incarnation, rotation, **other) > own);
        ranked_higher.take(holders).count() < holders
    }
}

fn rank(incarnation: IncarnationHash, rotation: u64, gateway: u64) -> u64 {
    let mut bytes = [0; 24];
    bytes[..8].copy_from_slice(&incarnation.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&rotation.to_le_bytes());
    bytes[16..].copy_from_slice(&gateway.to_le_bytes());
    xxh3_64(&bytes)
}

/// A clock shared by the gateways that doesn't depend on wall-clock time: the maximum of their
/// monotonic clocks. Each gateway reports its reading in its messages, and those that are behind
/// advance to it. Clock steps and pauses of one host don't set the others back.
#[derive(Debug, Clone, Copy, Default)]
pub struct SharedClock {
    offset_ms: f64,
}

impl SharedClock {
    /// The reading of the shared clock at `now_ms` of this process's monotonic clock.
    pub fn read_ms(&self, now_ms: f64) -> f64 {
        now_ms + self.offset_ms
    }

    /// Advances to the reading of a peer's clock. Returns whether this clock was behind.
    pub fn advance(&mut self, peer_clock_ms: f64, now_ms: f64) -> bool {
        let offset_ms = peer_clock_ms - now_ms;
        let is_behind = offset_ms > self.offset_ms;
        self.offset_ms = self.offset_ms.max(offset_ms);
        is_behind
    }
}
