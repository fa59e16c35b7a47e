//! Whether this gateway may send to cold endpoints, and its rank among the gateways that may.
//!
//! A gateway's right to send depends on two times, both on a clock that continues while the host is
//! suspended: when the store acknowledged its own entry, and when the store last confirmed its list
//! of gateways. A gateway sends only if its list was confirmed within the lease, and if its own
//! entry is older than the lease and [`Options::entry_margin_ms`] together. So a gateway that sends
//! was listed before any other sender last read the list, also if the two send up to the margin
//! apart: each sender's list contains all gateways that send within the margin.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::warm_up::Options;

/// Maximum number of gateways in the list; beyond it the gateway doesn't send to cold endpoints, so
/// that a writer of ever new names can't fill a host's memory.
const GATEWAYS_MAX: usize = 10_000;

/// The gateways that the store lists, as one of them knows them.
///
/// ```
/// use mgs_backpressure::warm_up::lease::GatewayList;
/// use mgs_backpressure::warm_up::Options;
///
/// let options = Options::default();
/// let mut list = GatewayList::new("gateway-1");
/// list.acknowledge_entry(0.0);
/// list.confirm(16_000.0, 16_000.0, true);
/// assert!(!list.may_send(16_900.0, &options));
/// assert!(list.may_send(17_000.0, &options));
/// // The store doesn't answer any more.
/// assert!(!list.may_send(31_000.0, &options));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayList {
    own: u64,
    /// Hashes of the names of all gateways that were ever listed, this one included. Names are
    /// never removed, since the store may be restored from an older copy that lacks them.
    names: BTreeSet<u64>,
    /// When the entry of this gateway was first known to be in the store, in milliseconds; `None`
    /// while it may be missing.
    entry_since_ms: Option<f64>,
    /// When the last answered call that confirmed the list began, in milliseconds.
    confirmed_ms: Option<f64>,
}

impl Default for GatewayList {
    fn default() -> Self {
        Self::new("")
    }
}

impl GatewayList {
    /// Creates the list of a gateway that knows of no other and isn't listed yet.
    pub fn new(own_name: &str) -> Self {
        let own = name_hash(own_name);
        Self {
            own,
            names: BTreeSet::from([own]),
            entry_since_ms: None,
            confirmed_ms: None,
        }
    }

    /// Adds a gateway that the store lists.
    pub fn add(&mut self, name: &str) {
        if self.names.len() <= GATEWAYS_MAX {
            self.names.insert(name_hash(name));
        }
    }

    /// Records that the store has acknowledged the entry of this gateway.
    pub fn acknowledge_entry(&mut self, now_ms: f64) {
        self.entry_since_ms.get_or_insert(now_ms);
    }

    /// Records an answer that covers all changes up to the call, which began at `start_ms`, once
    /// its gateways were added. `has_own_entry` says whether the store lists this gateway as it
    /// registered itself. If not, as after a restoration from an older copy, other gateways may
    /// read a list without it, and the right to send is lost until the entry is old enough again.
    pub fn confirm(&mut self, start_ms: f64, now_ms: f64, has_own_entry: bool) {
        let confirmed_ms = self.confirmed_ms.map_or(start_ms, |ms| ms.max(start_ms));
        self.confirmed_ms = Some(confirmed_ms);
        match has_own_entry {
            true => self.acknowledge_entry(now_ms),
            false => self.entry_since_ms = None,
        }
    }

    /// Whether this gateway may send to cold endpoints now.
    pub fn may_send(&self, now_ms: f64, options: &Options) -> bool {
        let entry_age_min_ms = options.lease_ms + options.entry_margin_ms;
        let is_listed = |since_ms: f64| now_ms - since_ms >= entry_age_min_ms;
        let is_fresh = |confirmed_ms: f64| now_ms - confirmed_ms < options.lease_ms;
        self.names.len() <= GATEWAYS_MAX
            && self.entry_since_ms.is_some_and(is_listed)
            && self.confirmed_ms.is_some_and(is_fresh)
    }

    /// Number of listed gateways, this one included.
    pub fn gateways(&self) -> usize {
        self.names.len()
    }

    /// Number of listed gateways that go before this one at an endpoint, by rendezvous hash.
    pub fn rank(&self, endpoint: u64) -> usize {
        let own = (score(endpoint, self.own), self.own);
        let goes_before = |name: &&u64| (score(endpoint, **name), **name) > own;
        self.names.iter().filter(goes_before).count()
    }

    /// When the list was last confirmed, in milliseconds.
    pub fn confirmed_ms(&self) -> Option<f64> {
        self.confirmed_ms
    }

    /// Since when the entry of this gateway is known to be in the store, in milliseconds.
    pub fn entry_since_ms(&self) -> Option<f64> {
        self.entry_since_ms
    }
}

fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

fn score(endpoint: u64, gateway: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&endpoint.to_le_bytes());
    bytes[8..].copy_from_slice(&gateway.to_le_bytes());
    xxh3_64(&bytes)
}
