//! How gateways share a limit.
//!
//! The load that this answers: an endpoint takes two requests a second from all gateways together, and there may be five of
//! them or three hundred. With an equal part for each, a hundred gateways could send a hundred requests at once, or one in
//! fifty seconds each. So each counts what it sends and what the others say that they have sent. News of that takes some
//! milliseconds, in which each gateway may take the same place; so only a few hold the limit at a time, as many as the endpoint
//! bears if all of them send at the same moment. Who they are follows from the endpoint's life, the time and the
//! gateways that are heard, by rendezvous hashing: all agree but for a moment.
//!
//! While some gateways aren't heard any more that were heard a short time ago, they may go on by their own count; the others
//! take the share of the limit that falls to them by number.

use xxhash_rust::xxh3::xxh3_64;

use crate::options::Options;
use crate::table::Life;

/// The gateways that share limits, as one of them knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gateways {
    /// Incarnation of this one.
    pub own: u64,
    /// Incarnations of the others that are heard and stay.
    pub others: Vec<u64>,
    /// How many there may be, those included that were heard until a short time ago and may be cut off; `None` as long as
    /// that isn't known.
    pub count: Option<usize>,
}

/// How a limit is shared for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Turn {
    /// Gateways that hold it.
    pub holders: usize,
    /// Whether this one does.
    pub is_held: bool,
    /// Share of the limit that falls to the gateways that are heard, this one included.
    pub share: f64,
    /// For how long from now on, in milliseconds.
    pub left_ms: f64,
}

impl Gateways {
    /// How a limit is shared at a moment of the clock that all gateways share.
    ///
    /// ```
    /// use mgs_backpressure::options::Options;
    /// use mgs_backpressure::share::Gateways;
    /// use mgs_backpressure::table::Life;
    ///
    /// let options = Options { holders_per_request: 1.0, holders_more: 2.0, ..Options::default() };
    /// let is_held = |own, others: &[u64]| {
    ///     let gateways = Gateways { own, others: others.to_vec(), count: Some(4) };
    ///     gateways.turn(Life(7), 1.0, 0.0, &options).is_held
    /// };
    /// // Three of four hold a limit of one a second.
    /// let held = [is_held(1, &[2, 3, 4]), is_held(2, &[1, 3, 4]), is_held(3, &[1, 2, 4]), is_held(4, &[1, 2, 3])];
    /// assert_eq!(held.iter().filter(|held| **held).count(), 3);
    /// ```
    pub fn turn(&self, life: Life, limit_per_s: f64, clock_ms: f64, options: &Options) -> Turn {
        let limit_per_s = limit_per_s.max(options.least_per_s);
        let holders = limit_per_s * options.holders_per_request + options.holders_more;
        let holders = (holders as usize).max(1);
        // Not all endpoints change their holders at the same moment.
        let offset = (life.0 % 1_000) as f64 / 1_000.0;
        let turns = clock_ms.max(0.0) / options.turn_ms + offset;
        let heard = self.others.len() + 1;
        let share = self
            .count
            .map_or(0.0, |count| heard as f64 / count.max(heard) as f64);
        Turn {
            holders,
            is_held: self.count.is_some() && self.is_holder(life, turns as u64, holders),
            share,
            left_ms: (1.0 - turns.fract()) * options.turn_ms,
        }
    }

    /// Whether fewer than `holders` gateways go before this one.
    fn is_holder(&self, life: Life, number: u64, holders: usize) -> bool {
        if self.others.len() < holders {
            return true;
        }
        let own = rank(life, number, self.own);
        let before = self.others.iter();
        let before = before.filter(|other| rank(life, number, **other) > own);
        before.take(holders).count() < holders
    }
}

fn rank(life: Life, number: u64, gateway: u64) -> u64 {
    let mut bytes = [0; 24];
    bytes[..8].copy_from_slice(&life.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&number.to_le_bytes());
    bytes[16..].copy_from_slice(&gateway.to_le_bytes());
    xxh3_64(&bytes)
}

/// A clock that gateways share without trusting anybody's time of day: the greatest of their steady clocks. Each says in its
/// messages what it shows, and whoever is behind catches up; no step and no pause of a host sets the others back.
#[derive(Debug, Clone, Copy, Default)]
pub struct SharedClock {
    ahead_ms: f64,
}

impl SharedClock {
    /// What it shows, by this process's steady clock.
    pub fn show_ms(&self, now_ms: f64) -> f64 {
        now_ms + self.ahead_ms
    }

    /// A peer's clock shows so much; tells whether this one was behind.
    pub fn hear(&mut self, shown_ms: f64, now_ms: f64) -> bool {
        let ahead_ms = shown_ms - now_ms;
        let is_behind = ahead_ms > self.ahead_ms;
        self.ahead_ms = self.ahead_ms.max(ahead_ms);
        is_behind
    }
}
