//! The crashes under one work.
//!
//! A record is a set that only grows, by the crashed incarnations, in which each crash can only go from counting to not
//! counting. So records of several gateways give the same whatever the order in which they are merged, and a message that
//! comes twice, late or not at all does no harm beyond its delay.
//!
//! A crash stops to count when another run of the same work gets further than the one that ended with it, or ends whole:
//! what crashes each endpoint that begins it does neither. Nearly all that merely ran on a crashed endpoint does both
//! within a second, by its own second try.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

/// How a crash bears on the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Bearing {
    /// No other run is known to have got further.
    Counts,
    /// Another run got further, and wasn't seen to end whole.
    Passed,
    /// Another run ended whole.
    Cleared,
}

/// An endpoint that ended while it ran the work.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the incarnation that ended.
    pub incarnation: u64,
    /// When, in milliseconds, on the clock of whoever keeps the record.
    pub at_ms: f64,
    /// Events that the run had made until then.
    pub reached: u32,
    /// How it bears on the work.
    pub bearing: Bearing,
}

/// Most crashes that are kept of one work, those beside its endpoints included: three runs of a prompt that as many engines
/// read as may. All of them still fit a datagram.
pub const CRASHES_MAX: usize = 64;

/// Most ends of endpoints that are remembered, whatever they ran.
pub const MOMENTS_MAX: usize = 4_096;

/// What is known of one work.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Record {
    /// Crashes, in no order, each incarnation once.
    pub crashes: Vec<Crash>,
    /// Whether it was tried once more since it is held.
    pub was_tried: bool,
    /// Whether it came again some time after crashes that would have held it but for other ends.
    pub came_again: bool,
}

impl Record {
    /// Adds a crash, or what else is known of it. Answers whether anything is new.
    pub fn add(&mut self, crash: Crash) -> bool {
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.incarnation == crash.incarnation) {
            let is_new = crash.bearing > known.bearing || crash.reached > known.reached;
            known.bearing = known.bearing.max(crash.bearing);
            known.reached = known.reached.max(crash.reached);
            return is_new;
        }
        self.crashes.push(crash);
        self.shorten();
        true
    }

    /// Adds all that another record of the same work knows. Answers whether anything is new.
    pub fn merge(&mut self, other: &Record) -> bool {
        let mut is_new = other.was_tried && !self.was_tried;
        is_new |= other.came_again && !self.came_again;
        self.was_tried |= other.was_tried;
        self.came_again |= other.came_again;
        for crash in &other.crashes {
            is_new |= self.add(*crash);
        }
        is_new
    }

    /// Drops what bears least, and of that the oldest.
    fn shorten(&mut self) {
        if self.crashes.len() <= CRASHES_MAX {
            return;
        }
        let least = |a: &&Crash, b: &&Crash| {
            let by_bearing = b.bearing.cmp(&a.bearing);
            by_bearing.then(a.at_ms.total_cmp(&b.at_ms))
        };
        let least = self.crashes.iter().min_by(least);
        if let Some(incarnation) = least.map(|crash| crash.incarnation) {
            self.crashes
                .retain(|crash| crash.incarnation != incarnation);
        }
    }

    /// A run has made so many events. Answers whether a crash counts no more.
    pub fn reached(&mut self, events: u32) -> bool {
        self.settle(Bearing::Passed, |crash| crash.reached < events)
    }

    /// A run has ended whole. Answers whether a crash counts no more.
    pub fn ended_whole(&mut self) -> bool {
        self.settle(Bearing::Cleared, |_| true)
    }

    fn settle(&mut self, bearing: Bearing, concerns: impl Fn(&Crash) -> bool) -> bool {
        let mut is_new = false;
        for crash in &mut self.crashes {
            if concerns(crash) && crash.bearing < bearing {
                crash.bearing = bearing;
                is_new = true;
            }
        }
        is_new
    }

    /// Crashes that count, by `moments` of which each counts once or as often as it has crashes.
    pub fn counting(&self, moments: &Moments) -> usize {
        self.counting_but(moments, |_| false)
    }

    /// The same without some.
    pub fn counting_but(&self, moments: &Moments, is_out: impl Fn(&Crash) -> bool) -> usize {
        let counting = self.crashes.iter();
        let counting = counting.filter(|crash| crash.bearing == Bearing::Counts && !is_out(crash));
        moments.count(counting)
    }

    /// Whether this endpoint ended under it, as far as is known.
    pub fn has(&self, incarnation: u64) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.incarnation == incarnation && crash.bearing == Bearing::Counts)
    }

    /// The same with those that another run has got past.
    pub fn not_cleared(&self, moments: &Moments) -> usize {
        let left = self.crashes.iter();
        let left = left.filter(|crash| crash.bearing != Bearing::Cleared);
        moments.count(left)
    }

    /// When the last crash was, in milliseconds.
    pub fn last_ms(&self) -> f64 {
        let times_ms = self.crashes.iter().map(|crash| crash.at_ms);
        times_ms.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// When endpoints ended of late, whatever they ran: several that end at one moment, of which a work ran on some
/// only, have ended for a cause of their own.
#[derive(Debug, Clone, Default)]
pub struct Moments {
    /// When incarnations ended, in milliseconds.
    ended_ms: HashMap<u64, f64>,
    width_ms: f64,
}

impl Moments {
    /// None yet; crashes closer than `width_ms` are of one moment.
    pub fn new(width_ms: f64) -> Self {
        Self {
            ended_ms: HashMap::new(),
            width_ms,
        }
    }

    /// An endpoint has ended.
    pub fn ended(&mut self, incarnation: u64, at_ms: f64) {
        let known_ms = self.ended_ms.entry(incarnation).or_insert(at_ms);
        // Word of it takes time, so the earliest is nearest.
        *known_ms = known_ms.min(at_ms);
    }

    /// Whether it is known to have ended.
    pub fn has_ended(&self, incarnation: u64) -> bool {
        self.ended_ms.contains_key(&incarnation)
    }

    /// Forgets what ended before `before_ms`, and the oldest beyond [`MOMENTS_MAX`]. Answers from when on all is known.
    pub fn forget(&mut self, before_ms: f64) -> f64 {
        self.ended_ms.retain(|_, at_ms| *at_ms >= before_ms);
        let excess = self.ended_ms.len().saturating_sub(MOMENTS_MAX);
        if excess == 0 {
            return before_ms;
        }
        let mut times_ms: Vec<f64> = self.ended_ms.values().copied().collect();
        times_ms.sort_by(f64::total_cmp);
        let known_from_ms = times_ms[excess];
        self.ended_ms.retain(|_, at_ms| *at_ms >= known_from_ms);
        known_from_ms
    }

    /// Endpoints that ended in a time, other than by these crashes.
    pub fn others(&self, crashes: &[Crash], from_ms: f64, to_ms: f64) -> usize {
        let span = from_ms..=to_ms;
        let is_own = |incarnation: &u64| crashes.iter().any(|c| c.incarnation == *incarnation);
        let ended_ms = self.ended_ms.iter();
        let others = ended_ms.filter(|(id, at_ms)| span.contains(at_ms) && !is_own(id));
        others.count()
    }

    /// How often crashes count: those of one moment as often as they are if no other endpoint ended then, else once.
    fn count<'a>(&self, crashes: impl Iterator<Item = &'a Crash>) -> usize {
        let at_ms = |crash: &Crash| {
            let ended_ms = self.ended_ms.get(&crash.incarnation);
            ended_ms.copied().unwrap_or(crash.at_ms)
        };
        let mut times_ms: Vec<f64> = crashes.map(at_ms).collect();
        times_ms.sort_by(f64::total_cmp);
        let mut count = 0;
        let mut rest = times_ms.as_slice();
        while let Some(first_ms) = rest.first() {
            let together = self.together(rest);
            let last_ms = rest[together - 1];
            count += match self.ended_within(*first_ms, last_ms) > together {
                true => 1,
                false => together,
            };
            rest = &rest[together..];
        }
        count
    }

    /// How many of these times belong to the moment of the first: each is close to the one before it.
    fn together(&self, times_ms: &[f64]) -> usize {
        let is_close = |pair: &&[f64]| pair[1] - pair[0] <= self.width_ms;
        1 + times_ms.windows(2).take_while(is_close).count()
    }

    /// Endpoints that ended at about that time.
    fn ended_within(&self, first_ms: f64, last_ms: f64) -> usize {
        let span = first_ms - self.width_ms..=last_ms + self.width_ms;
        let ended_ms = self.ended_ms.values();
        ended_ms.filter(|at_ms| span.contains(at_ms)).count()
    }
}
