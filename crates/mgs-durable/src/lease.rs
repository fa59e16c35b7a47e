//! Which gateways are gone, judged by the observer's own clock.
//!
//! Each gateway rewrites one row on a timer. An observer that has seen the row unchanged for the
//! lease time takes its gateway for gone; no other process's clock matters. One row stands for
//! everything that the gateway holds, so holding costs no writes of its own. A gateway that was
//! only paused may go on afterwards: its writes fail, as a new holder has changed the versions.

use std::collections::HashMap;

use mgs_platform::table::Row;
use serde::Deserialize;
use serde::Serialize;

/// Prefix of the gateways' rows.
pub const PREFIX: &str = "durable/gateway/";

/// Time between two beats of a gateway whose row can't be read, in milliseconds.
const PERIOD_DEFAULT_MS: u64 = 1_000;

/// Beats of all gateways together, per second, at most.
pub const BEATS_PER_S: u64 = 50;

/// Beats that an observer waits for in vain before the lease is over.
pub const BEATS_MISSED: u64 = 5;

/// Value of a gateway's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Number of the beat.
    pub beat: u64,
    /// Time between beats, in milliseconds.
    pub period_ms: u64,
}

/// Key of a gateway's row.
pub fn key(gateway: u64) -> String {
    format!("{PREFIX}{gateway:016x}")
}

/// The gateway of a row.
pub fn gateway_of(key: &str) -> Option<u64> {
    u64::from_str_radix(key.strip_prefix(PREFIX)?, 16).ok()
}

/// Time between beats that keeps all gateways together within [`BEATS_PER_S`].
///
/// ```
/// use mgs_durable::lease::period_ms;
///
/// assert_eq!(period_ms(3, 1_000), 1_000);
/// assert_eq!(period_ms(450, 1_000), 9_000);
/// ```
pub fn period_ms(gateways: usize, min_ms: u64) -> u64 {
    let spread_ms = gateways as u64 * 1_000 / BEATS_PER_S;
    spread_ms.max(min_ms)
}

#[derive(Debug)]
struct Seen {
    version: u64,
    changed_ms: u64,
    lease_ms: u64,
}

/// What one observer has seen of the gateways.
#[derive(Debug, Default)]
pub struct Watch {
    seen: HashMap<u64, Seen>,
    scanned: bool,
}

impl Watch {
    /// Takes in a whole scan of the rows that ended at `now_ms`.
    ///
    /// A changed version counts from the end of the scan, so that a lease is never judged
    /// shorter than it was.
    pub fn scanned(&mut self, rows: &[Row], now_ms: u64) {
        self.scanned = true;
        let mut seen = HashMap::with_capacity(rows.len());
        for row in rows {
            let Some(gateway) = gateway_of(&row.key) else {
                continue;
            };
            let before = self.seen.remove(&gateway);
            let known = before.filter(|before| before.version == row.version);
            seen.insert(gateway, known.unwrap_or_else(|| first_seen(row, now_ms)));
        }
        self.seen = seen;
    }

    /// Whether a gateway's lease is over. One without a row is gone, as a gateway writes its row
    /// before it holds anything; but nothing is known before the first scan.
    ///
    /// ```
    /// use mgs_durable::lease::Watch;
    ///
    /// let mut watch = Watch::default();
    /// assert!(!watch.expired(7, 0));
    /// watch.scanned(&[], 0);
    /// assert!(watch.expired(7, 0));
    /// ```
    pub fn expired(&self, gateway: u64, now_ms: u64) -> bool {
        match self.seen.get(&gateway) {
            Some(seen) => now_ms.saturating_sub(seen.changed_ms) > seen.lease_ms,
            None => self.scanned,
        }
    }

    /// The gateways whose lease isn't over, in order.
    pub fn live(&self, now_ms: u64) -> Vec<u64> {
        let live = self.seen.keys().copied();
        let mut live: Vec<u64> = live.filter(|&g| !self.expired(g, now_ms)).collect();
        live.sort_unstable();
        live
    }

    /// Rows of gateways whose lease ended long ago, with their versions.
    pub fn remains(&self, now_ms: u64) -> Vec<(u64, u64)> {
        let long_ago = |seen: &Seen| now_ms.saturating_sub(seen.changed_ms) > 4 * seen.lease_ms;
        let gone = self.seen.iter().filter(|(_, seen)| long_ago(seen));
        gone.map(|(&gateway, seen)| (gateway, seen.version))
            .collect()
    }
}

fn first_seen(row: &Row, now_ms: u64) -> Seen {
    let beat: Option<Beat> = serde_json::from_str(&row.value).ok();
    let period_ms = beat.map_or(PERIOD_DEFAULT_MS, |beat| beat.period_ms);
    Seen {
        version: row.version,
        changed_ms: now_ms,
        lease_ms: period_ms.saturating_mul(BEATS_MISSED),
    }
}
