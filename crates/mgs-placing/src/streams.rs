//! The streams that an endpoint writes, by what makes them late.

use serde::Deserialize;
use serde::Serialize;

/// Worth is counted in hundredths of a unit, so that what was added can be taken away without a rest.
const HUNDREDTHS: f64 = 100.0;

/// Streams of one limit on pauses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Streams {
    /// Longest pause between events for which they are on time, in milliseconds.
    pub pause_ms: u32,
    /// Whether they are answers to long prompts, which are kept apart from others.
    pub is_long: bool,
    /// How many there are.
    pub count: u16,
    /// What their being on time is worth, in hundredths of a unit.
    pub worth_hundredths: u32,
    /// Passes of the engine that their answers are expected to take from beginning to end.
    pub passes: u32,
}

impl Streams {
    /// One stream, worth so many units.
    ///
    /// ```
    /// use mgs_placing::streams::Streams;
    ///
    /// let stream = Streams::one(250.0, false, 0.75, 38);
    /// assert_eq!(stream.count, 1);
    /// assert_eq!(stream.units(), 0.75);
    /// ```
    pub fn one(pause_ms: f64, is_long: bool, units: f64, passes: u64) -> Self {
        Self {
            pause_ms: pause_ms as u32,
            is_long,
            count: 1,
            worth_hundredths: (units * HUNDREDTHS) as u32,
            passes: u32::try_from(passes).unwrap_or(u32::MAX),
        }
    }

    /// What their being on time is worth, in units.
    pub fn units(&self) -> f64 {
        f64::from(self.worth_hundredths) / HUNDREDTHS
    }

    fn key(&self) -> (u32, bool) {
        (self.pause_ms, self.is_long)
    }

    fn add(&mut self, other: &Self) {
        self.count = self.count.saturating_add(other.count);
        self.worth_hundredths = self.worth_hundredths.saturating_add(other.worth_hundredths);
        self.passes = self.passes.saturating_add(other.passes);
    }

    fn take(&mut self, other: &Self) {
        self.count = self.count.saturating_sub(other.count);
        self.worth_hundredths = self.worth_hundredths.saturating_sub(other.worth_hundredths);
        self.passes = self.passes.saturating_sub(other.passes);
    }
}

/// Adds streams to groups of which each has a limit of its own.
pub(crate) fn add(groups: &mut Vec<Streams>, more: &[Streams]) {
    for streams in more {
        match groups.iter_mut().find(|group| group.key() == streams.key()) {
            Some(group) => group.add(streams),
            None => groups.push(*streams),
        }
    }
}

/// Takes streams away that were added before.
pub(crate) fn take(groups: &mut Vec<Streams>, less: &[Streams]) {
    for streams in less {
        if let Some(group) = groups.iter_mut().find(|group| group.key() == streams.key()) {
            group.take(streams);
        }
    }
    groups.retain(|group| group.count > 0);
}
