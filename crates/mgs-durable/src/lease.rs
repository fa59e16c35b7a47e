//! Which gateways are gone, judged by the observer's own clock.
//!
//! Each gateway rewrites one row on a timer. An observer that has read the row unchanged over the
//! lease time takes its gateway for gone; no other process's clock matters, and time in which the
//! row wasn't read counts only once a later read shows it unchanged. One row stands for
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

const MS_PER_S: u64 = 1_000;

/// Bytes of one gateway's row in a scan, about.
const ROW_BYTES: u64 = 112;

/// Bytes per second that an observer's scans of all rows may take.
const SCAN_BYTES_PER_S: u64 = 700;

/// How long the row of a gateway is followed after its lease was last asked for, in milliseconds.
const FOLLOW_MS: u64 = 30_000;

/// How long it is remembered that a lease was asked for, in milliseconds: longer than a pass over
/// all rows of keyed requests takes, as each pass asks for a dead holder's lease once.
const REMEMBER_MS: u64 = 48 * 3_600_000;

/// When to scan all rows again, in milliseconds: at each beat, or as often as
/// `SCAN_BYTES_PER_S` allows for so many rows.
///
/// ```
/// use mgs_durable::lease::scan_interval_ms;
///
/// assert_eq!(scan_interval_ms(3, 1_000), 1_000);
/// assert_eq!(scan_interval_ms(450, 9_000), 72_000);
/// ```
pub fn scan_interval_ms(rows: usize, period_ms: u64) -> u64 {
    period_ms.max(rows as u64 * ROW_BYTES * MS_PER_S / SCAN_BYTES_PER_S)
}

/// When a read of rows began and ended, by the observer's clock.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// Its beginning, in milliseconds.
    pub began_ms: u64,
    /// Its end, in milliseconds.
    pub ended_ms: u64,
}

#[derive(Debug)]
struct Seen {
    version: u64,
    changed_ms: u64,
    read_ms: u64,
    lease_ms: u64,
}

impl Seen {
    /// For how long the row was seen unchanged.
    fn unchanged_ms(&self) -> u64 {
        self.read_ms.saturating_sub(self.changed_ms)
    }

    fn over(&self) -> bool {
        self.unchanged_ms() > self.lease_ms
    }
}

/// A gateway whose lease was asked for.
#[derive(Debug)]
struct Asked {
    first_ms: u64,
    last_ms: u64,
    /// Whether its row was read since, by a read that began later.
    read: bool,
}

/// What one observer has seen of the gateways.
///
/// All rows are read rarely where there are many; the row of a gateway whose lease is asked for,
/// because it holds something, is read at once, then at each beat for as long as it is asked for.
#[derive(Debug, Default)]
pub struct Watch {
    seen: HashMap<u64, Seen>,
    asked: HashMap<u64, Asked>,
}

impl Watch {
    /// Takes in a whole scan of the rows.
    ///
    /// A changed version counts from the end of the scan and an unchanged one up to its
    /// beginning, so that a lease is never judged shorter than it was.
    pub fn scanned(&mut self, rows: &[Row], span: Span) {
        let before = std::mem::take(&mut self.seen);
        self.seen = HashMap::with_capacity(rows.len());
        for row in rows {
            let Some(gateway) = gateway_of(&row.key) else {
                continue;
            };
            let before = before.get(&gateway);
            self.seen.insert(gateway, seen(before, row, span));
        }
        for asked in self.asked.values_mut() {
            asked.read |= asked.first_ms < span.began_ms;
        }
    }

    /// Takes in one gateway's row.
    pub fn read(&mut self, gateway: u64, row: Option<&Row>, span: Span) {
        let before = self.seen.remove(&gateway);
        if let Some(row) = row {
            self.seen.insert(gateway, seen(before.as_ref(), row, span));
        }
        if let Some(asked) = self.asked.get_mut(&gateway) {
            asked.read |= asked.first_ms < span.began_ms;
        }
    }

    /// Whether a gateway's lease was over when its row was last read; from now on the row is
    /// followed. One without a row is gone, as a gateway writes its row before it holds anything;
    /// but only a read that began after the first question says so.
    ///
    /// ```
    /// use mgs_durable::lease::Span;
    /// use mgs_durable::lease::Watch;
    ///
    /// let mut watch = Watch::default();
    /// assert!(!watch.expired(7, 0));
    /// watch.scanned(&[], Span { began_ms: 1, ended_ms: 2 });
    /// assert!(watch.expired(7, 3));
    /// ```
    pub fn expired(&mut self, gateway: u64, now_ms: u64) -> bool {
        let asked = self.asked.entry(gateway).or_insert(Asked {
            first_ms: now_ms,
            last_ms: now_ms,
            read: false,
        });
        asked.last_ms = now_ms;
        asked.read && self.seen.get(&gateway).is_none_or(Seen::over)
    }

    /// The gateways to follow, in order: those whose lease was asked for lately.
    pub fn followed(&mut self, now_ms: u64) -> Vec<u64> {
        let since_ms = |asked: &Asked| now_ms.saturating_sub(asked.last_ms);
        self.asked.retain(|_, asked| since_ms(asked) <= REMEMBER_MS);
        let lately = self.asked.iter().filter(|(_, a)| since_ms(a) <= FOLLOW_MS);
        let mut followed: Vec<u64> = lately.map(|(&gateway, _)| gateway).collect();
        followed.sort_unstable();
        followed
    }

    /// Gateways whose row hasn't been read since their lease was first asked for, in order.
    pub fn unread(&self) -> Vec<u64> {
        let unread = self.asked.iter().filter(|(_, asked)| !asked.read);
        let mut unread: Vec<u64> = unread.map(|(&gateway, _)| gateway).collect();
        unread.sort_unstable();
        unread
    }

    /// Rows known.
    pub fn rows(&self) -> usize {
        self.seen.len()
    }

    /// The gateways whose lease wasn't over when their row was last read, in order.
    pub fn live(&self) -> Vec<u64> {
        let live = self.seen.iter().filter(|(_, seen)| !seen.over());
        let mut live: Vec<u64> = live.map(|(&gateway, _)| gateway).collect();
        live.sort_unstable();
        live
    }

    /// Rows of gateways whose lease ended long ago, with their versions.
    pub fn remains(&self) -> Vec<(u64, u64)> {
        let long_ago = |seen: &Seen| seen.unchanged_ms() > 4 * seen.lease_ms;
        let gone = self.seen.iter().filter(|(_, seen)| long_ago(seen));
        gone.map(|(&gateway, seen)| (gateway, seen.version))
            .collect()
    }
}

fn seen(before: Option<&Seen>, row: &Row, span: Span) -> Seen {
    match before.filter(|before| before.version == row.version) {
        Some(before) => Seen {
            read_ms: before.read_ms.max(span.began_ms),
            ..*before
        },
        None => first_seen(row, span.ended_ms),
    }
}

fn first_seen(row: &Row, now_ms: u64) -> Seen {
    let beat: Option<Beat> = serde_json::from_str(&row.value).ok();
    let period_ms = beat.map_or(PERIOD_DEFAULT_MS, |beat| beat.period_ms);
    Seen {
        version: row.version,
        changed_ms: now_ms,
        read_ms: now_ms,
        lease_ms: period_ms.saturating_mul(BEATS_MISSED),
    }
}
