//! The choice of engines for one prompt.
//!
//! Each way to place it (one engine, or reading shared by 2 to 16) is judged by the worth that it is
//! expected to lose: that the prompt itself is late, and that streams that share its engines are late
//! by a pause. Short streams gather on few engines, since a further writer costs a step next to
//! nothing, and reading beside any writer stalls all of them for its length.

use mgs_fleet::view::EndpointKey;

use crate::board::Board;
use crate::figure::apply;
use crate::figure::Figure;
use crate::judge::Placing;
use crate::late;
use crate::model::EngineModel;
use crate::need::Need;
use crate::survey::Survey;

/// Settings of [`choose`].
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// A prompt whose reading takes less than this on one engine isn't shared, in milliseconds. Two
    /// passes of an engine; below that the hop costs more than it saves.
    pub share_from_ms: f64,
    /// Most engines that read one prompt; the engines take 16 helpers beside the first.
    pub engines_max: usize,
    /// Share of all engines that may read a prompt that isn't long and can't be on time any more: it isn't to
    /// stand in the way of short prompts, whose number may be several times as large a second later.
    pub late_engines_share: f64,
    /// Time that the answer of a late prompt takes to be written, in milliseconds: 16 events at 70 ms, and as
    /// much again for passes that read.
    pub late_write_ms: f64,
    /// Factor by which the reading of a late prompt may take longer than predicted: it is long under way, and
    /// newer parts go first.
    pub late_margin_factor: f64,
    /// Least part of a prompt that is worth a helper, in milliseconds of reading.
    pub part_min_ms: f64,
    /// Places of an engine that are left free while others have room: a part of a prompt needs one too,
    /// and what peers have placed in the last milliseconds isn't known yet.
    pub slots_spare: u32,
    /// Places of an engine, as a share, that short streams take with time to spare: at 50 ms a pass and 33
    /// events a stream, 9 of 16 are 5.5 starts a second, and their reading takes a quarter of its time.
    pub streams_share: f64,
    /// Reading on one engine from which on a prompt is long, in milliseconds: it keeps to the engines that
    /// short streams leave. Twice that of an average review.
    pub long_read_ms: f64,
    /// Engines that a long prompt may use even if there is no room, when its deadline forces it.
    pub room_min: usize,
    /// Cost of a short stream's start on an engine without short streams, in units: it takes the engine
    /// from long prompts while it writes. Less for prompts of less than a unit.
    pub open_units: f64,
    /// Places of an engine, as a share, from which on one more short stream counts as good company as with
    /// any other number. Above the share that is kept free, engines would be filled before others are used.
    pub pack_share: f64,
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
            late_write_ms: 2_200.0,
            late_margin_factor: 1.2,
            part_min_ms: 25.0,
            slots_spare: 3,
            streams_share: 0.56,
            long_read_ms: 900.0,
            room_min: 2,
            open_units: 0.7,
            pack_share: 0.6,
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
    pub fn with(self, text: &str) -> Result<Self, String> {
        apply(self, text, Self::set)
    }

    fn set(&mut self, figure: &Figure) -> bool {
        let value = figure.value;
        match figure.name.as_str() {
            "share_from_ms" => self.share_from_ms = value,
            "engines_max" => self.engines_max = value as usize,
            "late_engines_share" => self.late_engines_share = value,
            "late_write_ms" => self.late_write_ms = value,
            "late_margin_factor" => self.late_margin_factor = value,
            "part_min_ms" => self.part_min_ms = value,
            "pack_share" => self.pack_share = value,
            "blur" => self.blur = value,
            "slots_spare" => self.slots_spare = value as u32,
            "streams_share" => self.streams_share = value,
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
            _ => return false,
        }
        true
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
    /// Those that read for prompts that are late anyway.
    pub late_engines: usize,
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
    /// Whether it is late whatever is done, and goes where it does least harm.
    pub is_late: bool,
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
    let is_long = model.read_ms(need.prompt_tokens) > options.long_read_ms;
    if is_long {
        placing.engines_max = placing.room().clamp(options.room_min, options.engines_max);
    }
    let widest = match placing.place() {
        Err(NoPlace::TooLate { .. }) => placing.place_at_declared_speed()?,
        placed => placed?,
    };
    if widest.first_token_ms <= need.aim_ms {
        return Ok(widest);
    }
    if is_long {
        return Ok(late::place(&mut placing, widest));
    }
    let late_max = (placing.surveys.len() as f64 * options.late_engines_share) as usize;
    placing.engines_max = late_max.max(1).min(placing.engines_max);
    // Where fewer engines can't hold it or would be later than its deadline, the wide way stands.
    Ok(placing.place().unwrap_or(widest))
}
