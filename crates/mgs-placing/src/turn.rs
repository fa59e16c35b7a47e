//! Whose turn it is among long prompts.
//!
//! The load that this answers: for ten seconds and more, audits ask for as much reading as all engines
//! have, or more. Engines read the newest part first, so prompts that are sent anyway overtake each
//! other, and all become late; and their reading and memory stand in the way of the short prompts of
//! the next ten seconds. So a long prompt waits at its gateway until the engines have read what was
//! sent before, and of those that wait, the one goes first that is worth most for its reading. One that
//! can't be on time any more lets the others pass, until its deadline forces it.

use serde::Deserialize;
use serde::Serialize;

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
    /// Share of all engines that read for late prompts. One of them goes in any case.
    pub last_share: f64,
    /// Engines that are counted on when the deadline forces a prompt: few, so that it goes while few will do.
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
            last_share: 0.15,
            last_engines: 8.0,
            write_ms: 2_200.0,
            margin_factor: 1.2,
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
            "last_share" => self.last_share = figure.value,
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Score(pub u32);

/// Stands for nobody waiting.
pub const NOBODY: Score = Score(u32::MAX);

/// Added to the score of those that can't be on time.
const TOO_LATE: u32 = 1_000_000_000;

/// Who goes first among some that wait: those that are late have a line of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Firsts {
    /// Least score of those that can be on time.
    pub on_time: Score,
    /// Least score of the others.
    pub late: Score,
}

impl Default for Firsts {
    fn default() -> Self {
        Self {
            on_time: NOBODY,
            late: NOBODY,
        }
    }
}

impl Firsts {
    /// One more waits.
    ///
    /// ```
    /// use mgs_placing::turn::Firsts;
    /// use mgs_placing::turn::Score;
    ///
    /// let firsts = Firsts::default().with(Score(30)).with(Score(20));
    /// assert_eq!(firsts.on_time, Score(20));
    /// ```
    pub fn with(self, score: Score) -> Self {
        match score.0 < TOO_LATE {
            true => Self {
                on_time: self.on_time.min(score),
                ..self
            },
            false => Self {
                late: self.late.min(score),
                ..self
            },
        }
    }

    /// Who goes first among both.
    pub fn and(self, other: Self) -> Self {
        Self {
            on_time: self.on_time.min(other.on_time),
            late: self.late.min(other.late),
        }
    }

    /// Who goes first in the line of `score`.
    pub fn in_line_of(self, score: Score) -> Score {
        match score.0 < TOO_LATE {
            true => self.on_time,
            false => self.late,
        }
    }
}

/// What a prompt is to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Be sent.
    Go,
    /// Wait and ask again.
    Wait,
    /// Be refused: it can't end in time any more without more harm than it is worth.
    Refuse,
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
    /// The least score of the others that wait in its line, here and at peers.
    pub best_other: Score,
}

impl Waiting<'_> {
    fn engines(&self) -> usize {
        self.placement.helpers.len() + 1
    }

    /// Whether it is first in line and its engines are done with what was sent before.
    fn is_first(&self, options: &Options) -> bool {
        self.own <= self.best_other && self.placement.backlog_ms <= options.start_backlog_ms
    }
}

/// Whether a prompt is sent now.
pub fn turn(waiting: &Waiting<'_>, options: &Options) -> Turn {
    let placement = waiting.placement;
    if waiting.work_ms <= options.short_work_ms || placement.read_ms <= options.overtake_ms {
        return Turn::Go;
    }
    if placement.is_late {
        return late_turn(waiting, options);
    }
    if must_go(waiting, options) {
        return Turn::Go;
    }
    let plenty = waiting.engines() + options.plenty_engines;
    let is_plenty = placement.scene.without_reading >= plenty;
    if is_plenty && placement.backlog_ms <= options.start_backlog_ms {
        return Turn::Go;
    }
    let has_room = placement.scene.room >= options.room_engines;
    if has_room && waiting.is_first(options) {
        return Turn::Go;
    }
    Turn::Wait
}

/// A prompt that is late anyway goes at its last chance, while few engines will still do, and only if few read
/// for others like it. Sooner it would take engines from those that can be on time.
fn late_turn(waiting: &Waiting<'_>, options: &Options) -> Turn {
    if !must_go(waiting, options) {
        return Turn::Wait;
    }
    let scene = &waiting.placement.scene;
    let is_alone = scene.late_engines == 0;
    let engines_max = scene.engines as f64 * options.last_share;
    let engines = (scene.late_engines + waiting.engines()) as f64;
    match is_alone || engines <= engines_max {
        true => Turn::Go,
        false => Turn::Refuse,
    }
}

/// Whether a prompt that waits any longer would miss its deadline.
fn must_go(waiting: &Waiting<'_>, options: &Options) -> bool {
    let reading_ms = waiting.work_ms / options.last_engines * options.margin_factor;
    waiting.need.left_ms < reading_ms + options.write_ms
}
