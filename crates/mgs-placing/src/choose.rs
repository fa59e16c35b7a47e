//! The choice of engines for one prompt.
//!
//! Each way to place it (one engine, or reading shared by 2 to 16) is judged by the worth that it is
//! expected to lose: that the prompt itself is late, and that streams that share its engines are late
//! by a pause. Short streams gather on few engines, since a further writer costs a step next to
//! nothing, and reading beside any writer stalls all of them for its length.

use mgs_fleet::view::EndpointKey;

use crate::board::Board;
use crate::figure::figures;
use crate::figure::Figure;
use crate::model::EngineModel;
use crate::need::Need;
use crate::need::PAUSE_CLASSES;
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
    /// Share of all engines that may read a prompt that can't be on time any more: it isn't to stand in the
    /// way of short prompts, whose number may be several times as large a second later.
    pub late_engines_share: f64,
    /// Least part of a prompt that is worth a helper, in milliseconds of reading.
    pub part_min_ms: f64,
    /// Places of an engine that are left free while others have room: a part of a prompt needs one too,
    /// and what peers have placed in the last milliseconds isn't known yet.
    pub slots_spare: u32,
    /// Short streams that an engine writes with time to spare: at 50 ms a pass and 33 events a stream, 9 are
    /// 5.5 starts a second, and their reading takes a quarter of its time.
    pub streams_per_engine: f64,
    /// Reading on one engine from which on a prompt is long, in milliseconds: it keeps to the engines that
    /// short streams leave. Twice that of an average review.
    pub long_read_ms: f64,
    /// Engines that a long prompt may use even if there is no room, when its deadline forces it.
    pub room_min: usize,
    /// Cost of a short stream's start on an engine without short streams, in units: it takes the engine
    /// from long prompts while it writes.
    pub open_units: f64,
    /// Short streams of an engine from which on one more counts as good company as with any other number.
    pub pack_streams: f64,
    /// Width of the step from on time to late for a first token, as a share of the aim.
    pub blur: f64,
    /// The same for another stream on an engine without streams, in units: a pass that writes is long, so
    /// reading that engine's part of a prompt ends late.
    pub open_other_units: f64,
    /// Cost of each further engine that reads, in units; it breaks ties only.
    pub engine_units: f64,
    /// Longest time for which a shared prompt is held back until its engines are done with earlier ones,
    /// as a multiple of its own part's reading. Engines read the newest part first, so one that isn't
    /// held delays the earlier ones: a short one may, a long one waits.
    pub hold_factor: f64,
    /// Cost of delaying earlier prompts by a second, in units.
    pub overtake_units: f64,
    /// Cost of being a full time aim late for the first token when all is within aims, in units.
    pub wait_units: f64,
    /// Share of the reading of shared prompts without a first token that counts as still to be done: half
    /// of their parts, which end together at best, are done when they are half through.
    pub unknown_share: f64,
    /// What is read in the pass that shows a prompt's first token, as a multiple of what was there when the
    /// prompt came.
    pub joining_factor: f64,
    /// Memory of an engine that is kept free of promises, in tokens: answers that grow beyond their hint.
    pub memory_spare_tokens: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            share_from_ms: 90.0,
            engines_max: 16,
            late_engines_share: 0.3,
            part_min_ms: 25.0,
            slots_spare: 3,
            streams_per_engine: 9.0,
            long_read_ms: 900.0,
            room_min: 2,
            open_units: 0.7,
            pack_streams: 10.0,
            blur: 0.2,
            open_other_units: 6.0,
            engine_units: 0.002,
            hold_factor: 1.0,
            overtake_units: 1.0,
            wait_units: 0.3,
            unknown_share: 0.25,
            joining_factor: 1.5,
            memory_spare_tokens: 6_000,
        }
    }
}

impl Options {
    /// Sets the figures of `text`, as in `open_units=1.5,hold_factor=0.5`.
    ///
    /// ```
    /// use mgs_placing::choose::Options;
    ///
    /// let options = Options::default().with("open_units=2").unwrap();
    /// assert_eq!(options.open_units, 2.0);
    /// assert!(Options::default().with("open_unit=2").is_err());
    /// ```
    pub fn with(mut self, text: &str) -> Result<Self, String> {
        for figure in figures(text)? {
            self.set(&figure)?;
        }
        Ok(self)
    }

    fn set(&mut self, figure: &Figure) -> Result<(), String> {
        let value = figure.value;
        match figure.name.as_str() {
            "share_from_ms" => self.share_from_ms = value,
            "engines_max" => self.engines_max = value as usize,
            "late_engines_share" => self.late_engines_share = value,
            "part_min_ms" => self.part_min_ms = value,
            "pack_streams" => self.pack_streams = value,
            "blur" => self.blur = value,
            "slots_spare" => self.slots_spare = value as u32,
            "streams_per_engine" => self.streams_per_engine = value,
            "long_read_ms" => self.long_read_ms = value,
            "room_min" => self.room_min = value as usize,
            "open_units" => self.open_units = value,
            "open_other_units" => self.open_other_units = value,
            "engine_units" => self.engine_units = value,
            "hold_factor" => self.hold_factor = value,
            "overtake_units" => self.overtake_units = value,
            "wait_units" => self.wait_units = value,
            "memory_spare_tokens" => self.memory_spare_tokens = value as u64,
            "unknown_share" => self.unknown_share = value,
            "joining_factor" => self.joining_factor = value,
            name => return Err(format!("there is no figure {name:?}")),
        }
        Ok(())
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

/// What the engines were doing when a prompt was placed, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Scene {
    /// Engines that might take it.
    pub engines: usize,
    /// Those that write short streams.
    pub with_short_streams: usize,
    /// Those that write other streams and no short ones.
    pub with_other_streams: usize,
    /// Engines that short streams don't need.
    pub room: usize,
    /// Those without any reading left.
    pub without_reading: usize,
    /// Reading left at all of them, in milliseconds.
    pub backlog_ms: u64,
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
    /// Longest backlog of its engines, in milliseconds.
    pub backlog_ms: f64,
    /// How long to wait before it is sent, in milliseconds: its engines finish what was placed before.
    pub hold_ms: f64,
    /// Predicted time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Expected loss, in units of worth.
    pub loss_units: f64,
    /// What the engines were doing.
    pub scene: Scene,
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

/// A prompt is small if it takes less than this part of an engine's memory: one in so many.
const SMALL_SHARE: u64 = 6;

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
        .map(|candidate| Survey::of(candidate, board, model, options, now_ms))
        .collect();
    let mut placing = Placing {
        need,
        model,
        options,
        engines_max: options.engines_max,
        surveys,
    };
    if model.read_ms(need.prompt_tokens) > options.long_read_ms {
        placing.engines_max = placing.room().clamp(options.room_min, options.engines_max);
    }
    let widest = placing.place()?;
    if widest.first_token_ms <= need.aim_ms {
        return Ok(widest);
    }
    let late_max = (placing.surveys.len() as f64 * options.late_engines_share) as usize;
    placing.engines_max = late_max.max(1).min(placing.engines_max);
    // Where fewer engines can't hold it or would be later than its deadline, the wide way stands.
    Ok(placing.place().unwrap_or(widest))
}

/// One decision.
pub(crate) struct Placing<'a> {
    pub(crate) need: &'a Need,
    pub(crate) model: &'a EngineModel,
    pub(crate) options: &'a Options,
    pub(crate) engines_max: usize,
    pub(crate) surveys: Vec<Survey>,
}

impl Placing<'_> {
    fn place(&self) -> Result<Placement, NoPlace> {
        let best = if self.needs_reserves() {
            split::place(self)?
        } else {
            self.best_width()?
        };
        if best.first_token_ms > self.need.left_ms {
            let backlog_ms = best.first_token_ms - self.need.left_ms;
            return Err(NoPlace::TooLate { backlog_ms });
        }
        Ok(Placement {
            scene: self.scene(),
            ..best
        })
    }

    /// Engines that are left for a long prompt: without those that the short streams of the moment need,
    /// wherever they are.
    fn room(&self) -> usize {
        let short = |survey: &Survey| f64::from(survey.writers[0] + survey.writers[1]);
        let streams: f64 = self.surveys.iter().map(short).sum();
        let needed = (streams / self.options.streams_per_engine).ceil() as usize;
        self.surveys.len().saturating_sub(needed)
    }

    fn scene(&self) -> Scene {
        let count = |is: fn(&Survey) -> bool| self.surveys.iter().filter(|s| is(s)).count();
        let backlog_ms: f64 = self.surveys.iter().map(|survey| survey.backlog_ms).sum();
        Scene {
            engines: self.surveys.len(),
            with_short_streams: count(|survey| survey.writers[0] > 0),
            with_other_streams: count(|survey| survey.writers[0] == 0 && survey.running() > 0),
            room: self.room(),
            without_reading: count(|survey| survey.backlog_ms <= 0.0),
            backlog_ms: backlog_ms as u64,
        }
    }

    /// Whether memory at several engines is needed. A prompt that takes a small part of an engine's memory
    /// rather waits there until others end.
    fn needs_reserves(&self) -> bool {
        !self.is_small() && !self.surveys.iter().any(|survey| self.has_memory(survey))
    }

    fn is_small(&self) -> bool {
        let small_tokens = self.model.memory_tokens / SMALL_SHARE;
        self.need.memory_tokens() < small_tokens
    }

    fn has_memory(&self, survey: &Survey) -> bool {
        let needed = self.need.memory_tokens() + self.options.memory_spare_tokens;
        survey.free_tokens >= needed
    }

    /// Time until there is a place and memory for an answer there, in milliseconds.
    fn place_wait_ms(&self, survey: &Survey) -> f64 {
        let places = self.model.slots.saturating_sub(self.options.slots_spare);
        let over = (survey.running() + 1).saturating_sub(places);
        let turns = f64::from(over) / f64::from(self.model.slots.max(1));
        let memory_ms = match self.has_memory(survey) {
            true => 0.0,
            false => PLACE_FREE_MS,
        };
        turns * PLACE_FREE_MS * 2.0 + memory_ms
    }

    /// Whether an engine may get one more answer to write: it queues no more than it runs.
    pub(crate) fn has_place(&self, survey: &Survey) -> bool {
        survey.running() < self.model.slots * 2
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
        let engines_max = self.engines_max.min(self.surveys.len());
        let part_ms = read_ms / width as f64;
        width <= engines_max
            && read_ms >= self.options.share_from_ms
            && part_ms >= self.options.part_min_ms
    }

    fn with_width(&self, width: usize, part_ms: f64) -> Option<Placement> {
        let is_shared = width > 1;
        let first = self.first_for(part_ms, is_shared)?;
        if !is_shared {
            return Some(self.judge_alone(first, part_ms));
        }
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
        Some(self.judge_shared(first, &others, part_ms))
    }

    /// The engine that writes: expected loss of its own part, of its place and of its company.
    fn first_for(&self, part_ms: f64, is_shared: bool) -> Option<&Survey> {
        let loss = |survey: &Survey| match is_shared {
            true => self.first_part_loss(survey, part_ms),
            false => self.alone_loss(survey, part_ms),
        };
        self.surveys
            .iter()
            .filter(|survey| self.has_place(survey))
            .filter(|survey| self.is_small() || self.has_memory(survey))
            .min_by(|a, b| loss(a).total_cmp(&loss(b)))
    }

    /// Loss by reading a part there and writing the answer.
    fn first_part_loss(&self, survey: &Survey, part_ms: f64) -> f64 {
        let ready_ms = survey.ready_ms(part_ms);
        let wait_ms = self.place_wait_ms(survey);
        let waits = self.late_units(ready_ms + wait_ms) - self.late_units(ready_ms);
        self.part_loss(survey, part_ms) + waits + self.company_loss(survey)
    }

    /// Loss by reading all of the prompt there.
    fn alone_loss(&self, survey: &Survey, read_ms: f64) -> f64 {
        let late = self.late_units(survey.ready_ms(read_ms) + self.place_wait_ms(survey));
        late + survey.harm(read_ms) + self.company_loss(survey) + self.trial_loss(survey)
    }

    /// Loss by reading a part there: the prompt's lateness if this engine were the last to be done,
    /// and the streams there that pause. Engines with less to read are better, also where the part
    /// would overtake what waits.
    fn part_loss(&self, survey: &Survey, part_ms: f64) -> f64 {
        let late = self.late_units(survey.ready_ms(part_ms));
        late + survey.harm(part_ms) + self.trial_loss(survey)
    }

    /// One request at a time shows whether an engine has recovered.
    fn trial_loss(&self, survey: &Survey) -> f64 {
        if !survey.trial {
            return 0.0;
        }
        self.need.units() * f64::from(1 + survey.running().min(4))
    }

    /// What it costs others that this answer is written there: short streams belong together, the more
    /// there are the better, so that engines with few fall free again; other streams belong together
    /// apart from them.
    fn company_loss(&self, survey: &Survey) -> f64 {
        let short = survey.writers[0];
        let other = survey.running() - u32::from(short);
        if self.need.pause_class() < PAUSE_CLASSES - 1 {
            let alike = short + survey.writers[1];
            let missing = 1.0 - f64::from(alike) / self.options.pack_streams;
            return self.options.open_units * missing.max(0.0);
        }
        if short > 0 {
            return self.options.open_units;
        }
        self.options.open_other_units / (1.0 + f64::from(other))
    }

    /// What the prompt loses if its first token comes after `first_token_ms`, in units. One whose aim has
    /// passed has only its end to lose; it isn't worth more harm to others than that.
    fn late_units(&self, first_token_ms: f64) -> f64 {
        let need = self.need;
        let blur = self.options.blur;
        let left_ms = need.left_ms.max(1.0);
        let lost = (1.0 - LATE_SHARE) * late(first_token_ms, left_ms, blur);
        if need.aim_ms <= 0.0 {
            let waits = self.options.wait_units * (1.0 - LATE_SHARE) * first_token_ms / left_ms;
            return need.units() * (lost + waits);
        }
        let misses = LATE_SHARE * late(first_token_ms, need.aim_ms, blur);
        let waits = self.options.wait_units * first_token_ms / need.aim_ms;
        need.units() * (misses + lost + waits)
    }

    fn judge_alone(&self, first: &Survey, read_ms: f64) -> Placement {
        Placement {
            first: first.key,
            helpers: Vec::new(),
            reserves: Vec::new(),
            read_ms,
            backlog_ms: first.backlog_ms,
            hold_ms: 0.0,
            first_token_ms: first.ready_ms(read_ms) + self.place_wait_ms(first),
            loss_units: self.alone_loss(first, read_ms),
            scene: Scene::default(),
        }
    }

    fn judge_shared(&self, first: &Survey, others: &[&Survey], part_ms: f64) -> Placement {
        let mut readers = vec![first];
        readers.extend(others);
        let hold_ms = self.hold_ms(&readers, part_ms);
        let mut ready_ms: f64 = 0.0;
        let mut loss_units = self.company_loss(first);
        for survey in &readers {
            ready_ms = ready_ms.max(survey.part_ready_ms(part_ms, hold_ms));
            loss_units += survey.harm(part_ms) + self.options.engine_units;
        }
        let first_token_ms = hold_ms + ready_ms + self.place_wait_ms(first);
        loss_units += self.late_units(first_token_ms);
        loss_units += self.overtake_loss(&readers, part_ms, hold_ms);
        Placement {
            first: first.key,
            helpers: others.iter().map(|survey| survey.key).collect(),
            reserves: Vec::new(),
            read_ms: part_ms,
            backlog_ms: longest_backlog_ms(&readers),
            hold_ms,
            first_token_ms,
            loss_units,
            scene: Scene::default(),
        }
    }

    /// How long its engines need for what was placed before, within bounds.
    pub(crate) fn hold_ms(&self, readers: &[&Survey], part_ms: f64) -> f64 {
        let longest_ms = longest_backlog_ms(readers);
        longest_ms.min(part_ms * self.options.hold_factor)
    }

    /// What earlier prompts lose by this one's overtaking them.
    fn overtake_loss(&self, readers: &[&Survey], part_ms: f64, hold_ms: f64) -> f64 {
        let overtaken = readers.iter().filter(|survey| survey.backlog_ms > hold_ms);
        let share = overtaken.count() as f64 / readers.len() as f64;
        share * part_ms / 1e3 * self.options.overtake_units
    }
}

/// The longest backlog among some engines, in milliseconds.
pub(crate) fn longest_backlog_ms(readers: &[&Survey]) -> f64 {
    let backlogs = readers.iter().map(|survey| survey.backlog_ms);
    backlogs.fold(0.0, f64::max)
}
