//! What the board says of each candidate, and what more reading would do to the streams there.

use mgs_fleet::view::EndpointKey;

use crate::board::Board;
use crate::choose::Candidate;
use crate::choose::Options;
use crate::model::EngineModel;
use crate::need::CLASS_UNITS;
use crate::need::PAUSE_CLASSES;
use crate::need::PAUSE_CLASSES_MS;

/// Share of a request's worth that is lost when it is late: sheets pay about a quarter for late answers.
pub(crate) const LATE_SHARE: f64 = 0.75;

/// Width of the step from on time to late for a pause, as a share of the limit: predictions of reading were
/// within a tenth on calm days.
const PAUSE_BLUR: f64 = 0.1;

/// Time on the way to an engine and back, in milliseconds; measured on calm days.
const HOPS_MS: f64 = 8.0;

/// One candidate as the board has it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Survey {
    pub(crate) key: EndpointKey,
    /// Time until the reading placed there is done, in milliseconds.
    pub(crate) backlog_ms: f64,
    /// Writers by class of pause.
    pub(crate) writers: [u16; PAUSE_CLASSES],
    /// Parts of other endpoints' prompts.
    pub(crate) parts: u16,
    /// Those of them that belong to prompts that are late anyway.
    pub(crate) late_parts: u16,
    /// Time of a pass without reading; 0 without writers.
    pub(crate) pass_ms: f64,
    /// Free memory, in tokens.
    pub(crate) free_tokens: u64,
    /// By what factor its answers come later than predicted, at least 1.
    pub(crate) slowness: f64,
    /// Whether it is on trial after failures.
    pub(crate) trial: bool,
    /// See [`Options::joining_factor`].
    joining_factor: f64,
}

impl Survey {
    pub(crate) fn of(
        candidate: &Candidate,
        board: &Board,
        model: &EngineModel,
        options: &Options,
        now_ms: f64,
    ) -> Self {
        let held = board.held(candidate.key);
        let held_tokens = u64::from(held.memory_tokens);
        let mut survey = Self {
            key: candidate.key,
            backlog_ms: board.backlog_ms(candidate.key, now_ms, options.unknown_share),
            joining_factor: options.joining_factor,
            writers: held.writers,
            parts: held.parts,
            late_parts: held.late_parts,
            pass_ms: 0.0,
            free_tokens: model.memory_tokens.saturating_sub(held_tokens),
            slowness: candidate.slowness.max(1.0),
            trial: candidate.trial,
        };
        if survey.running() > 0 {
            survey.pass_ms = model.pass_ms(survey.running(), held_tokens) * survey.slowness;
        }
        survey
    }

    /// Requests whose answers are or will be written there.
    pub(crate) fn running(&self) -> u32 {
        self.writers.iter().map(|count| u32::from(*count)).sum()
    }

    /// Worth of the streams there that are late by a pause if `read_ms` is read there besides, in units.
    ///
    /// What is already queued there may have spoiled them; only the difference counts.
    pub(crate) fn harm(&self, read_ms: f64) -> f64 {
        let pause_ms = self.backlog_ms + self.pass_ms;
        let longer_ms = pause_ms + read_ms * self.slowness;
        let mut harm = 0.0;
        for class in 0..PAUSE_CLASSES {
            let limit_ms = PAUSE_CLASSES_MS[class];
            let more = late(longer_ms, limit_ms, PAUSE_BLUR) - late(pause_ms, limit_ms, PAUSE_BLUR);
            harm += f64::from(self.writers[class]) * CLASS_UNITS[class] * more;
        }
        harm * LATE_SHARE
    }

    /// Time until a whole prompt of `read_ms` has been read there, in milliseconds: after all parts of
    /// other prompts.
    pub(crate) fn ready_ms(&self, read_ms: f64) -> f64 {
        let backlog_ms = match self.running() {
            0 => self.backlog_ms,
            // What arrives while a pass runs is read in the next one, together with this.
            _ => self.backlog_ms * self.joining_factor,
        };
        HOPS_MS + self.pass_wait_ms() + backlog_ms + read_ms * self.slowness
    }

    /// Time until a part of `read_ms` that arrives after `hold_ms` has been read there, from its
    /// arrival, in milliseconds.
    ///
    /// An engine reads the newest part first. One that writes shows what it has read at the end of a
    /// pass only, and a pass reads all that waits.
    pub(crate) fn part_ready_ms(&self, read_ms: f64, hold_ms: f64) -> f64 {
        let mut ready_ms = HOPS_MS + self.pass_wait_ms() + read_ms * self.slowness;
        if self.running() > 0 {
            ready_ms += (self.backlog_ms - hold_ms).max(0.0);
        }
        ready_ms
    }

    /// A pass that is under way ends first, half a pass on average; and the token of the prompt comes at
    /// the end of the next one.
    fn pass_wait_ms(&self) -> f64 {
        self.pass_ms * 1.5
    }
}

/// Probability that something predicted to take `takes_ms` exceeds `limit_ms`; `blur` is the width of the step
/// as a share of the limit.
pub(crate) fn late(takes_ms: f64, limit_ms: f64, blur: f64) -> f64 {
    let off = (takes_ms - limit_ms) / (limit_ms * blur);
    1.0 / (1.0 + (-off).exp())
}
