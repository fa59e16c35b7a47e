//! A time that all gateways share, kept in one row and moved on by monotonic clocks only.
//!
//! Deadlines and expiries must mean the same to each gateway and outlast all of them, and the
//! hosts' wall clocks can't be trusted for that. So one row holds the milliseconds that have
//! passed. A gateway that has seen the row unchanged for [`TICK_MS`] of its own clock adds what it
//! measured, on condition of the row's version; of several only one succeeds. What a gateway adds
//! has truly passed since the last change, so the shared time never runs ahead of real time. It
//! falls behind by the time between a change and its being seen, a tick or two for a gateway that
//! has just started, and stands while no gateway runs.

use mgs_platform::table::Row;

/// Key of the row.
pub const KEY: &str = "durable/clock";

/// Time between two changes of the row, in milliseconds.
pub const TICK_MS: u64 = 1_000;

/// Longest further wait of a gateway that isn't the first in line, in ticks.
const RANKS: u64 = 3;

/// One gateway's view of the shared time.
#[derive(Debug, Default)]
pub struct Clock {
    seen: Option<Seen>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    version: u64,
    shared_ms: u64,
    at_ms: u64,
}

/// A change of the row that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tick {
    /// Version that the row must have.
    pub version: u64,
    /// New value.
    pub value: String,
}

impl Clock {
    /// Takes in the row as it was read; `now_ms` is taken after the reply came.
    pub fn read(&mut self, row: Option<&Row>, now_ms: u64) {
        let version = row.map_or(0, |row| row.version);
        if self.seen.is_some_and(|seen| seen.version == version) {
            return;
        }
        let written_ms = row.and_then(|row| row.value.parse().ok()).unwrap_or(0);
        // Neither can be ahead of real time, so the later of them is the better.
        let shared_ms = self
            .now_ms(now_ms)
            .map_or(written_ms, |own_ms| own_ms.max(written_ms));
        self.seen = Some(Seen {
            version,
            shared_ms,
            at_ms: now_ms,
        });
    }

    /// The shared time; `None` before the first reading.
    ///
    /// ```
    /// use mgs_durable::clock::Clock;
    ///
    /// let mut clock = Clock::default();
    /// assert_eq!(clock.now_ms(500), None);
    /// clock.read(None, 1_000);
    /// assert_eq!(clock.now_ms(1_250), Some(250));
    /// ```
    pub fn now_ms(&self, now_ms: u64) -> Option<u64> {
        let seen = self.seen?;
        Some(seen.shared_ms + now_ms.saturating_sub(seen.at_ms))
    }

    /// The change that this gateway should make now, if any. `rank` is its place among the live
    /// gateways; later ones wait longer, so that only one of them usually writes.
    pub fn due(&self, rank: u64, now_ms: u64) -> Option<Tick> {
        let seen = self.seen?;
        let passed_ms = now_ms.saturating_sub(seen.at_ms);
        let wait_ms = TICK_MS * (1 + rank.min(RANKS));
        let due = passed_ms >= wait_ms || seen.version == 0;
        due.then(|| Tick {
            version: seen.version,
            value: (seen.shared_ms + passed_ms).to_string(),
        })
    }
}
