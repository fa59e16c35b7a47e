//! Whose turn it is among long prompts.
//!
//! The load that this answers: for ten seconds and more, audits ask for as much reading as all engines
//! have, or more. Engines read the newest part first, so prompts that are sent anyway overtake each
//! other, and all become late; and their reading and memory stand in the way of the short prompts of
//! the next ten seconds. So a long prompt waits at its gateway until the engines have read what was
//! sent before, and of those that wait, the one goes first that is worth most for its reading. One that
//! can't be on time any more lets the others pass, until its deadline forces it.

use crate::figure::apply;
use crate::figure::Figure;
use crate::lengths::Band;
use crate::line::Firsts;
use crate::line::Score;
use crate::line::NOBODY;
use crate::line::TOO_LATE;
use crate::model::EngineModel;
use crate::need::Need;
use crate::way::Placement;

/// Least share of a score that is left however seldom prompts of its length are sent.
const SCORE_LEAST_SHARE: f64 = 0.02;

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
    /// Share of the engines that short streams leave which read for late prompts while nobody waits who can be on
    /// time: whoever comes next finds the others.
    pub idle_share: f64,
    /// Engines that are counted on when the deadline forces a prompt: few, so that it goes while few will do.
    pub last_engines: f64,
    /// Factor by which an answer takes longer to be written than its passes would without any reading.
    pub write_factor: f64,
    /// Share of the places of all engines from which on those that are left are kept for short prompts that can
    /// be on time.
    pub spare_from_share: f64,
    /// Share of its aim by which a short prompt must be expected sooner to count as on time once engines are
    /// full: places fall free as often, and whoever waits at an engine waits for fewer.
    pub spare_margin_share: f64,
    /// Places of full engines that fall free, as a share, which late short prompts are taken to find at least.
    pub spare_least_share: f64,
    /// Factor by which reading may take longer than predicted when the deadline is near.
    pub margin_factor: f64,
    /// How often prompts of each length are to be sent beside all others at least, as far as their order can do it.
    pub sent_least_ratio: f64,
    /// How strongly a length that is sent less often goes before others, as a power of its ratio: two that are asked
    /// for and none that is sent weigh as much as seven times the worth for the reading.
    pub sent_power: f64,
    /// Share of a request's worth that is left when it is late: the most that it may cost others then.
    pub late_worth_share: f64,
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
            idle_share: 0.5,
            last_engines: 8.0,
            write_factor: 2.0,
            spare_from_share: 0.8,
            spare_margin_share: 0.2,
            spare_least_share: 0.05,
            margin_factor: 1.2,
            sent_least_ratio: 0.9,
            sent_power: 2.0,
            late_worth_share: 0.25,
        }
    }
}

impl Options {
    /// Sets the figures of `text`, as in `write_factor=3,overtake_ms=40`.
    ///
    /// ```
    /// use mgs_placing::turn::Options;
    ///
    /// let options = Options::default().with("write_factor=3").unwrap();
    /// assert_eq!(options.write_factor, 3.0);
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
            "idle_share" => self.idle_share = figure.value,
            "last_share" => self.last_share = figure.value,
            "last_engines" => self.last_engines = figure.value,
            "plenty_engines" => self.plenty_engines = figure.value as usize,
            "write_factor" => self.write_factor = figure.value,
            "spare_from_share" => self.spare_from_share = figure.value,
            "spare_margin_share" => self.spare_margin_share = figure.value,
            "spare_least_share" => self.spare_least_share = figure.value,
            "margin_factor" => self.margin_factor = figure.value,
            "sent_least_ratio" => self.sent_least_ratio = figure.value,
            "sent_power" => self.sent_power = figure.value,
            "late_worth_share" => self.late_worth_share = figure.value,
            _ => return false,
        }
        true
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

/// The band of lengths in which a prompt counts, if reading it takes so long that it may have to wait for its turn.
pub fn band(need: &Need, model: &EngineModel, options: &Options) -> Option<Band> {
    let is_long = model.read_ms(need.prompt_tokens) > options.short_work_ms;
    is_long.then(|| Band::of(need.prompt_tokens, need.full_aim_ms))
}

/// The score of a prompt: milliseconds of reading on one engine for a unit of worth while it can be on time, less
/// if prompts of its length are sent less often than others (`sent_ratio`), and then what is left of its time.
pub fn score(
    need: &Need,
    placement: &Placement,
    model: &EngineModel,
    sent_ratio: f64,
    options: &Options,
) -> Score {
    if placement.first_token_ms > need.aim_ms {
        return Score(TOO_LATE.saturating_add(need.left_ms.max(0.0) as u32));
    }
    let work_ms = model.read_ms(need.prompt_tokens);
    let per_unit_ms = work_ms / need.units(model).max(f64::MIN_POSITIVE);
    let behind = (sent_ratio / options.sent_least_ratio).min(1.0);
    let score_ms = per_unit_ms * behind.powf(options.sent_power).max(SCORE_LEAST_SHARE);
    Score((score_ms as u32).min(TOO_LATE - 1))
}

/// A prompt that may have to wait.
#[derive(Debug, Clone, Copy)]
pub struct Waiting<'a> {
    /// What it asks for.
    pub need: &'a Need,
    /// Where it would go now.
    pub placement: &'a Placement,
    /// Figures of its engines.
    pub model: &'a EngineModel,
    /// Its score.
    pub own: Score,
    /// The least scores of the others that wait, here and at peers.
    pub others: Firsts,
    /// Short prompts that wait here for a spare place since before it did.
    pub ahead: usize,
    /// Spare places that such prompts found here in a second of late.
    pub spare_per_s: f64,
    /// Gateways that share the engines, this one included.
    pub gateways: usize,
}

impl Waiting<'_> {
    /// Its reading on one engine, in milliseconds.
    fn work_ms(&self) -> f64 {
        self.model.read_ms(self.need.prompt_tokens)
    }

    /// Time that its answer takes to be written on an engine half full, in milliseconds.
    fn answer_ms(&self) -> f64 {
        let passes = self.model.passes(self.need.expected_tokens);
        passes as f64 * self.model.usual_pass_ms()
    }

    /// Whether its reading delays nobody much, so that it needs no turn.
    pub fn is_short(&self, options: &Options) -> bool {
        self.work_ms() <= options.short_work_ms || self.placement.read_ms <= options.overtake_ms
    }

    /// Time until those that wait for a spare place before it have found one, in milliseconds: as many find
    /// one in a second as of late, and no fewer than a part of the places that fall free on full engines.
    pub fn spare_ms(&self, options: &Options) -> f64 {
        let places = self.placement.scene.engines as f64 * f64::from(self.model.slots);
        let free_per_ms = places / self.answer_ms() / self.gateways.max(1) as f64;
        let least_per_ms = free_per_ms * options.spare_least_share;
        self.ahead as f64 / least_per_ms.max(self.spare_per_s / 1e3)
    }

    fn engines(&self) -> usize {
        self.placement.helpers.len() + 1
    }

    /// The least score of the others in its line.
    pub fn best_other(&self) -> Score {
        self.others.in_line_of(self.own)
    }

    /// Whether it is first in line and its engines are done with what was sent before.
    fn is_first(&self, options: &Options) -> bool {
        self.own <= self.best_other() && self.placement.backlog_ms <= options.start_backlog_ms
    }

    /// Time until its answer is written if it is sent now, in milliseconds.
    fn end_ms(&self, options: &Options) -> f64 {
        let reading_ms = self.placement.first_token_ms * options.margin_factor;
        reading_ms + self.answer_ms() * options.write_factor
    }

    /// Whether it would still end in time if it were sent now.
    fn ends_in_time(&self, options: &Options) -> bool {
        self.end_ms(options) <= self.need.left_ms
    }
}

/// Whether a prompt that waits at a host that stops is given back to its client: if it were sent now, it wouldn't be
/// answered before the host cuts what is open. Until then it has the same chance here as anywhere, and its client, which may come
/// back once or twice only, keeps that.
pub fn gives_back(waiting: &Waiting<'_>, host_left_ms: f64, options: &Options) -> bool {
    waiting.end_ms(options) > host_left_ms
}

/// Whether a prompt is sent now.
pub fn turn(waiting: &Waiting<'_>, options: &Options) -> Turn {
    let placement = waiting.placement;
    if waiting.is_short(options) {
        return short_turn(waiting, options);
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

/// Whether a short prompt that is sent now takes a place that others can do without.
pub fn takes_spare(waiting: &Waiting<'_>, options: &Options) -> bool {
    let need = waiting.need;
    let margin_ms = need.full_aim_ms * options.spare_margin_share;
    waiting.placement.first_token_ms + margin_ms > need.aim_ms
}

/// A short prompt goes at once while it can be on time, and while there are places to spare. Else it waits for
/// one, unless it would end too late after all that wait before it.
fn short_turn(waiting: &Waiting<'_>, options: &Options) -> Turn {
    let scene = &waiting.placement.scene;
    let taken_share = f64::from(scene.places_taken_permille) / 1e3;
    if !takes_spare(waiting, options) || taken_share < options.spare_from_share {
        return Turn::Go;
    }
    let spare_ms = waiting.spare_ms(options);
    let ends = spare_ms + waiting.answer_ms() <= waiting.need.left_ms;
    // Its client leaves before a first token that comes later.
    let is_borne = spare_ms <= waiting.need.first_left_ms();
    match ends && is_borne {
        true => Turn::Wait,
        false => Turn::Refuse,
    }
}

/// A prompt that is late anyway goes when nobody waits who can be on time, or at its last chance, while few engines
/// will still do; and only if few read for others like it, and if it harms no streams that are worth more. Sooner it
/// would take engines from those that can be on time.
///
/// It is refused as soon as it can't end in time on the engines that short streams leave: kept waiting for more, such
/// prompts are refused later, and no more of them are answered.
fn late_turn(waiting: &Waiting<'_>, options: &Options) -> Turn {
    if !waiting.ends_in_time(options) {
        return Turn::Refuse;
    }
    let scene = &waiting.placement.scene;
    let is_alone = scene.late_engines == 0;
    let nobody_else = waiting.others.on_time == NOBODY && waiting.is_first(options);
    let engines_max = match nobody_else {
        true => scene.room as f64 * options.idle_share,
        false => scene.engines as f64 * options.last_share,
    };
    let engines = (scene.late_engines + waiting.engines()) as f64;
    let has_engines = is_alone || engines <= engines_max;
    let worth_units = waiting.need.units(waiting.model) * options.late_worth_share;
    let is_worth_it = waiting.placement.harm_units <= worth_units;
    let is_time = nobody_else || must_go(waiting, options);
    match is_time && has_engines && is_worth_it {
        true => Turn::Go,
        false => Turn::Wait,
    }
}

/// Whether a prompt that waits any longer would miss its deadline.
fn must_go(waiting: &Waiting<'_>, options: &Options) -> bool {
    let reading_ms = waiting.work_ms() / options.last_engines * options.margin_factor;
    waiting.need.left_ms < reading_ms + waiting.answer_ms() * options.write_factor
}
