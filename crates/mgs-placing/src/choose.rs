//! The choice of engines for one prompt.
//!
//! Each way to place it (one engine, or reading shared by 2 to 16) is judged by the worth that it is
//! expected to lose: that the prompt itself is late, and that streams that share its engines are late
//! by a pause. Short streams gather on few engines, since a further writer costs a step next to
//! nothing, and reading beside any writer stalls all of them for its length.

use mgs_fleet::view::EndpointKey;

use crate::board::Board;
use crate::model::EngineModel;
use crate::need::Need;
use crate::split;
use crate::survey::late;
use crate::survey::Survey;
use crate::survey::LATE_SHARE;

/// Settings of [`choose`].
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// A prompt whose reading takes less than this on one engine isn't shared, in milliseconds. Two
    /// passes of an engine; below that the hop costs more than it saves.
    pub share_from_ms: f64,
    /// Most engines that read one prompt; the engines take 16 helpers beside the first.
    pub engines_max: usize,
    /// Least part of a prompt that is worth a helper, in milliseconds of reading.
    pub part_min_ms: f64,
    /// Requests that an engine writes for before it is full, below its slots: what peers have placed in
    /// the last milliseconds isn't known yet.
    pub slots_spare: u32,
    /// Cost of a short stream's start on an engine without short streams, in units: it takes the engine
    /// from long prompts while it writes.
    pub open_units: f64,
    /// Cost of each further engine that reads, in units; it breaks ties only.
    pub engine_units: f64,
    /// Cost of being a full time aim late for the first token when all is within aims, in units.
    pub wait_units: f64,
    /// Memory of an engine that is kept free of promises, in tokens: answers that grow beyond their hint.
    pub memory_spare_tokens: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            share_from_ms: 90.0,
            engines_max: 16,
            part_min_ms: 25.0,
            slots_spare: 2,
            open_units: 0.15,
            engine_units: 0.002,
            wait_units: 0.1,
            memory_spare_tokens: 6_000,
        }
    }
}

/// An engine that may take the prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Its key.
    pub key: EndpointKey,
    /// By what factor its answers come later than predicted; 1 if as predicted.
    pub slowness: f64,
    /// Whether it is on trial after failures.
    pub trial: bool,
}

/// Memory to be reserved at one engine before the prompt is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reserve {
    /// The engine.
    pub endpoint: EndpointKey,
    /// Tokens.
    pub tokens: u64,
}

/// Where a prompt goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The engine that gets the request and writes its answer.
    pub first: EndpointKey,
    /// Engines that read parts, without the first.
    pub helpers: Vec<EndpointKey>,
    /// Memory to reserve at helpers, in the order in which the prompt fills it; empty for a prompt that
    /// fits the first engine.
    pub reserves: Vec<Reserve>,
    /// Predicted reading at each engine, in milliseconds.
    pub read_ms: f64,
    /// Predicted time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Expected loss, in units of worth.
    pub loss_units: f64,
}

/// Why there is no placement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoPlace {
    /// No engine may take it.
    NoEndpoint,
    /// All engines together can't hold it.
    TooLarge,
    /// It would have to wait beyond its deadline; work placed now should be done in `backlog_ms`.
    TooLate {
        /// Predicted time until there is room, in milliseconds.
        backlog_ms: f64,
    },
    /// All places or all memory are taken.
    Full {
        /// Predicted time until there is room, in milliseconds.
        backlog_ms: f64,
    },
}

/// Numbers of engines that are tried for a prompt that is shared.
const WIDTHS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 13, 16];

/// Time until a place falls free on a full engine, in milliseconds: half of an average answer of 33
/// events at 45 ms each.
const PLACE_FREE_MS: f64 = 750.0;

/// Places a prompt.
///
/// ```
/// use mgs_fleet::view::EndpointKey;
/// use mgs_placing::board::Board;
/// use mgs_placing::choose::choose;
/// use mgs_placing::choose::Candidate;
/// use mgs_placing::choose::Options;
/// use mgs_placing::model::EngineModel;
/// use mgs_placing::need::Need;
///
/// let engine = |key| Candidate { key: EndpointKey(key), slowness: 1.0, trial: false };
/// let need = Need {
///     prompt_tokens: 154_000,
///     output_tokens: 800,
///     pause_ms: 1_000.0,
///     aim_ms: 3_000.0,
///     left_ms: 15_000.0,
/// };
/// let engines: Vec<Candidate> = (0..21).map(engine).collect();
/// let model = EngineModel::default();
/// let placement = choose(&need, &engines, &Board::new(), &model, &Options::default(), 0.0).unwrap();
/// assert!(!placement.helpers.is_empty());
/// assert!(placement.first_token_ms < need.aim_ms);
/// ```
pub fn choose(
    need: &Need,
    candidates: &[Candidate],
    board: &Board,
    model: &EngineModel,
    options: &Options,
    now_ms: f64,
) -> Result<Placement, NoPlace> {
    if candidates.is_empty() {
        return Err(NoPlace::NoEndpoint);
    }
    let surveys: Vec<Survey> = candidates
        .iter()
        .map(|candidate| Survey::of(candidate, board, model, now_ms))
        .collect();
    let placing = Placing {
        need,
        model,
        options,
        surveys,
    };
    placing.place()
}

/// One decision.
pub(crate) struct Placing<'a> {
    pub(crate) need: &'a Need,
    pub(crate) model: &'a EngineModel,
    pub(crate) options: &'a Options,
    pub(crate) surveys: Vec<Survey>,
}

impl Placing<'_> {
    fn place(&self) -> Result<Placement, NoPlace> {
        let best = if self.exceeds_free_memory() {
            split::place(self)?
        } else {
            self.best_width()?
        };
        if best.first_token_ms > self.need.left_ms {
            let backlog_ms = best.first_token_ms - self.need.left_ms;
            return Err(NoPlace::TooLate { backlog_ms });
        }
        Ok(best)
    }

    fn exceeds_free_memory(&self) -> bool {
        let needed = self.need.memory_tokens() + self.options.memory_spare_tokens;
        let mut with_place = self.surveys.iter().filter(|survey| self.has_place(survey));
        !with_place.any(|survey| survey.free_tokens >= needed)
    }

    /// Whether one more answer may be written there.
    pub(crate) fn has_place(&self, survey: &Survey) -> bool {
        let slots = self.model.slots.saturating_sub(self.options.slots_spare);
        survey.running() < slots.max(1)
    }

    pub(crate) fn full(&self) -> NoPlace {
        let backlogs = self.surveys.iter().map(|survey| survey.backlog_ms);
        let backlog_ms = backlogs.fold(f64::INFINITY, f64::min).max(PLACE_FREE_MS);
        NoPlace::Full { backlog_ms }
    }

    fn best_width(&self) -> Result<Placement, NoPlace> {
        let read_ms = self.model.read_ms(self.need.prompt_tokens);
        let mut best: Option<Placement> = None;
        for width in WIDTHS {
            if !self.may_share(width, read_ms) {
                break;
            }
            let Some(placement) = self.with_width(width, read_ms / width as f64) else {
                continue;
            };
            let better = match &best {
                Some(best) => placement.loss_units < best.loss_units,
                None => true,
            };
            if better {
                best = Some(placement);
            }
        }
        best.ok_or_else(|| self.full())
    }

    /// Whether a prompt of `read_ms` may be read by `width` engines.
    fn may_share(&self, width: usize, read_ms: f64) -> bool {
        if width == 1 {
            return true;
        }
        let engines_max = self.options.engines_max.min(self.surveys.len());
        let part_ms = read_ms / width as f64;
        width <= engines_max
            && read_ms >= self.options.share_from_ms
            && part_ms >= self.options.part_min_ms
    }

    fn with_width(&self, width: usize, part_ms: f64) -> Option<Placement> {
        let first = self.first_for(part_ms)?;
        let mut others: Vec<&Survey> = self
            .surveys
            .iter()
            .filter(|survey| survey.key != first.key && !survey.trial)
            .filter(|survey| u32::from(survey.parts) + 1 < self.model.slots)
            .collect();
        if others.len() + 1 < width {
            return None;
        }
        others.sort_by(|a, b| {
            let (a, b) = (self.part_loss(a, part_ms), self.part_loss(b, part_ms));
            a.total_cmp(&b)
        });
        others.truncate(width - 1);
        Some(self.judge(first, &others, part_ms))
    }

    /// The engine that writes: expected loss of its own part, of its place and of its company.
    fn first_for(&self, part_ms: f64) -> Option<&Survey> {
        let needed = self.need.memory_tokens() + self.options.memory_spare_tokens;
        self.surveys
            .iter()
            .filter(|survey| survey.free_tokens >= needed && self.has_place(survey))
            .min_by(|a, b| {
                let (a, b) = (self.first_loss(a, part_ms), self.first_loss(b, part_ms));
                a.total_cmp(&b)
            })
    }

    pub(crate) fn first_loss(&self, survey: &Survey, part_ms: f64) -> f64 {
        self.part_loss(survey, part_ms) + self.company_loss(survey)
    }

    /// Loss by reading a part there: the prompt's lateness if this engine were the last to be done,
    /// and the streams there that pause.
    fn part_loss(&self, survey: &Survey, part_ms: f64) -> f64 {
        let mut loss = survey.harm(part_ms) + self.late_units(survey.ready_ms(part_ms));
        if survey.trial {
            // One request at a time shows whether it has recovered.
            loss += self.need.units() * f64::from(1 + survey.running().min(4));
        }
        loss
    }

    /// What it costs others that this answer is written there: short streams belong together.
    fn company_loss(&self, survey: &Survey) -> f64 {
        let short = self.need.pause_class() == 0;
        let short_writers = survey.writers[0];
        if short && short_writers == 0 {
            return self.options.open_units;
        }
        if !short && short_writers > 0 {
            return self.options.open_units;
        }
        0.0
    }

    /// What the prompt loses if its first token comes after `first_token_ms`, in units.
    fn late_units(&self, first_token_ms: f64) -> f64 {
        let need = self.need;
        let waits = self.options.wait_units * first_token_ms / need.aim_ms;
        let misses = LATE_SHARE * late(first_token_ms, need.aim_ms);
        let lost = (1.0 - LATE_SHARE) * late(first_token_ms, need.left_ms);
        need.units() * (misses + lost) + waits
    }

    fn judge(&self, first: &Survey, others: &[&Survey], part_ms: f64) -> Placement {
        let mut first_token_ms = first.ready_ms(part_ms);
        let mut loss_units = first.harm(part_ms) + self.company_loss(first);
        for survey in others {
            first_token_ms = first_token_ms.max(survey.ready_ms(part_ms));
            loss_units += survey.harm(part_ms) + self.options.engine_units;
        }
        loss_units += self.late_units(first_token_ms);
        Placement {
            first: first.key,
            helpers: others.iter().map(|survey| survey.key).collect(),
            reserves: Vec::new(),
            read_ms: part_ms,
            first_token_ms,
            loss_units,
        }
    }
}
