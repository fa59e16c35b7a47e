//! Whose turn it is among long prompts.
//!
//! The load that this answers: for ten seconds and more, audits ask for as much reading as all engines
//! have, or more. Engines read the newest part first, so prompts that are sent anyway overtake each
//! other, and all become late; and their reading and memory stand in the way of the short prompts of
//! the next ten seconds. So a long prompt waits at its gateway until the engines have read what was
//! sent before, and of those that wait, the one goes first that is worth most for its reading. One that
//! can't be on time any more lets the others pass, until its deadline forces it.

use crate::choose::Placement;
use crate::figure::apply;
use crate::figure::Figure;
use crate::need::Need;

/// Settings of the order among long prompts.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// A prompt whose part is read in less than this doesn't wait, in milliseconds: overtaking delays
    /// others by less than a pass of an engine that writes.
    pub overtake_ms: f64,
    /// Backlog of the engines at which the next prompt is sent, in milliseconds: what it takes to tell
    /// them, so that they don't fall idle.
    pub start_backlog_ms: f64,
    /// Idle engines that must be left besides those that a prompt would use for it to need no turn: a large
    /// fleet reads many prompts side by side, and whoever goes first next still finds engines.
    pub plenty_engines: usize,
    /// Engines that must be left for a long prompt to be sent.
    pub room_engines: usize,
    /// Reading on one engine up to which a prompt never waits, in milliseconds: the longest short question.
    pub short_work_ms: f64,
    /// Engines that are counted on when the deadline forces a prompt.
    pub last_engines: f64,
    /// Time that an answer takes to be written, in milliseconds: 16 events at 70 ms, and as much again
    /// for passes that read.
    pub write_ms: f64,
    /// Factor by which reading may take longer than predicted when the deadline is near.
    pub margin_factor: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            overtake_ms: 60.0,
            start_backlog_ms: 60.0,
            plenty_engines: 24,
            room_engines: 3,
            short_work_ms: 250.0,
            last_engines: 10.0,
            write_ms: 2_200.0,
            margin_factor: 1.1,
        }
    }
}

impl Options {
    /// Sets the figures of `text`, as in `write_ms=3000,overtake_ms=40`.
    ///
    /// ```
    /// use mgs_placing::turn::Options;
    ///
    /// let options = Options::default().with("write_ms=3000").unwrap();
    /// assert_eq!(options.write_ms, 3_000.0);
    /// ```
    pub fn with(self, text: &str) -> Result<Self, String> {
        apply(self, text, Self::set)
    }

    fn set(&mut self, figure: &Figure) -> bool {
        match figure.name.as_str() {
            "overtake_ms" => self.overtake_ms = figure.value,
            "start_backlog_ms" => self.start_backlog_ms = figure.value,
            "room_engines" => self.room_engines = figure.value as usize,
            "short_work_ms" => self.short_work_ms = figure.value,
            "last_engines" => self.last_engines = figure.value,
            "plenty_engines" => self.plenty_engines = figure.value as usize,
            "write_ms" => self.write_ms = figure.value,
            "margin_factor" => self.margin_factor = figure.value,
            _ => return false,
        }
        true
    }
}

/// Place in the order of all waiting prompts; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Score(pub u32);

/// Stands for nobody waiting.
pub const NOBODY: Score = Score(u32::MAX);

/// Added to the score of those that can't be on time.
const TOO_LATE: u32 = 1_000_000_000;

/// What a prompt is to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Be sent.
    Go,
    /// Wait and ask again.
    Wait,
}

/// The score of a prompt whose reading takes `work_ms` on one engine: milliseconds of reading for a unit
/// of worth while it can be on time, and then just its reading.
pub fn score(need: &Need, placement: &Placement, work_ms: f64) -> Score {
    if placement.first_token_ms > need.aim_ms {
        return Score(TOO_LATE.saturating_add(work_ms as u32));
    }
    let per_unit_ms = work_ms / need.units().max(f64::MIN_POSITIVE);
    Score((per_unit_ms as u32).min(TOO_LATE - 1))
}

/// A prompt that may have to wait.
#[derive(Debug, Clone, Copy)]
pub struct Waiting<'a> {
    /// What it asks for.
    pub need: &'a Need,
    /// Where it would go now.
    pub placement: &'a Placement,
    /// Its reading on one engine, in milliseconds.
    pub work_ms: f64,
    /// Its score.
    pub own: Score,
    /// The least score of the others that wait, here and at peers.
    pub best_other: Score,
}

/// Whether a prompt is sent now.
pub fn turn(waiting: &Waiting<'_>, options: &Options) -> Turn {
    let placement = waiting.placement;
    let own = waiting.own;
    let best_other = waiting.best_other;
    if waiting.work_ms <= options.short_work_ms || placement.read_ms <= options.overtake_ms {
        return Turn::Go;
    }
    let reading_ms = waiting.work_ms / options.last_engines * options.margin_factor;
    if waiting.need.left_ms < reading_ms + options.write_ms {
        return Turn::Go;
    }
    let engines = placement.helpers.len() + 1;
    let is_plenty = placement.scene.without_reading >= engines + options.plenty_engines;
    if is_plenty && placement.backlog_ms <= options.start_backlog_ms {
        return Turn::Go;
    }
    let has_room = placement.scene.room >= options.room_engines;
    if own <= best_other && has_room && placement.backlog_ms <= options.start_backlog_ms {
        return Turn::Go;
    }
    Turn::Wait
}
