//! Whose turn it is among long prompts.
//!
//! The load that this answers: for ten seconds and more, audits ask for as much reading as all engines
//! have, or more. Engines read the newest part first, so prompts that are sent anyway overtake each
//! other, and all become late; and their reading and memory stand in the way of the short prompts of
//! the next ten seconds. So a long prompt waits at its gateway until the engines have read what was
//! sent before, and of those that wait, the one goes first that is worth most for its reading. One that
//! can't be on time any more lets the others pass, until its deadline forces it.

use crate::length_counts::LengthBand;
use crate::model::EngineModel;
use crate::need::Need;
use crate::placement::Placement;
use crate::queue_order::QueueHeads;
use crate::queue_order::Score;
use crate::queue_order::LATE_BASE;
use crate::queue_order::NONE_WAITING;
use crate::setting_text::apply_settings;
use crate::setting_text::Setting;

/// Least share of a score that is left however seldom prompts of its length are sent.
const SCORE_LEAST_SHARE: f64 = 0.02;

/// Settings of the order among long prompts.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchOptions {
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

impl Default for DispatchOptions {
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

impl DispatchOptions {
    /// Sets the figures of `text`, as in `write_factor=3,overtake_ms=40`.
    ///
    /// ```
    /// use mgs_placing::dispatch::DispatchOptions;
    ///
    /// let options = DispatchOptions::default().with("write_factor=3").unwrap();
    /// assert_eq!(options.write_factor, 3.0);
    /// ```
    pub fn with(self, text: &str) -> Result<Self, String> {
        apply_settings(self, text, Self::set)
    }

    fn set(&mut self, setting: &Setting) -> bool {
        match setting.name.as_str() {
            "overtake_ms" => self.overtake_ms = setting.value,
            "start_backlog_ms" => self.start_backlog_ms = setting.value,
            "room_engines" => self.room_engines = setting.value as usize,
            "short_work_ms" => self.short_work_ms = setting.value,
            "idle_share" => self.idle_share = setting.value,
            "last_share" => self.last_share = setting.value,
            "last_engines" => self.last_engines = setting.value,
            "plenty_engines" => self.plenty_engines = setting.value as usize,
            "write_factor" => self.write_factor = setting.value,
            "spare_from_share" => self.spare_from_share = setting.value,
            "spare_margin_share" => self.spare_margin_share = setting.value,
            "spare_least_share" => self.spare_least_share = setting.value,
            "margin_factor" => self.margin_factor = setting.value,
            "sent_least_ratio" => self.sent_least_ratio = setting.value,
            "sent_power" => self.sent_power = setting.value,
            "late_worth_share" => self.late_worth_share = setting.value,
            _ => return false,
        }
        true
    }
}

/// What a prompt is to do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchDecision {
    /// Be sent.
    Dispatch,
    /// Wait and ask again.
    Wait,
    /// Be refused: it can't end in time any more without more harm than it is worth.
    Refuse,
}

/// The band of lengths in which a prompt counts, if reading it takes so long that it may have to wait for its turn.
pub fn length_band(
    need: &Need,
    model: &EngineModel,
    options: &DispatchOptions,
) -> Option<LengthBand> {
    let is_long = model.prefill_ms(need.prompt_tokens) > options.short_work_ms;
    is_long.then(|| LengthBand::of(need.prompt_tokens, need.ttft_target_ms))
}

/// The score of a prompt: milliseconds of reading on one engine for a unit of worth while it can be on time, less
/// if prompts of its length are sent less often than others (`sent_ratio`), and then what is left of its time.
pub fn score(
    need: &Need,
    placement: &Placement,
    model: &EngineModel,
    sent_ratio: f64,
    options: &DispatchOptions,
) -> Score {
    if placement.first_token_ms > need.ttft_left_ms {
        return Score(LATE_BASE.saturating_add(need.deadline_left_ms.max(0.0) as u32));
    }
    let single_engine_ms = model.prefill_ms(need.prompt_tokens);
    let per_unit_ms = single_engine_ms / need.worth_units(model).max(f64::MIN_POSITIVE);
    let behind = (sent_ratio / options.sent_least_ratio).min(1.0);
    let score_ms = per_unit_ms * behind.powf(options.sent_power).max(SCORE_LEAST_SHARE);
    Score((score_ms as u32).min(LATE_BASE - 1))
}

/// A prompt that may have to wait.
#[derive(Debug, Clone, Copy)]
pub struct WaitingPrompt<'a> {
    /// What it asks for.
    pub need: &'a Need,
    /// Where it would go now.
    pub placement: &'a Placement,
    /// Figures of its engines.
    pub model: &'a EngineModel,
    /// Its score.
    pub score: Score,
    /// The least scores of the others that wait, here and at peers.
    pub others: QueueHeads,
    /// Short prompts that wait here for a spare place since before it did.
    pub ahead: usize,
    /// Spare places that such prompts found here in a second of late.
    pub spare_per_s: f64,
    /// Gateways that share the engines, this one included.
    pub gateways: usize,
}

impl WaitingPrompt<'_> {
    /// Its reading on one engine, in milliseconds.
    fn single_engine_ms(&self) -> f64 {
        self.model.prefill_ms(self.need.prompt_tokens)
    }

    /// Time that its answer takes to be written on an engine half full, in milliseconds.
    fn decode_ms(&self) -> f64 {
        let passes = self.model.passes_for(self.need.expected_tokens);
        passes as f64 * self.model.usual_pass_ms()
    }

    /// Whether its reading delays nobody much, so that it needs no turn.
    pub fn is_short(&self, options: &DispatchOptions) -> bool {
        self.single_engine_ms() <= options.short_work_ms
            || self.placement.prefill_ms <= options.overtake_ms
    }

    /// Time until those that wait for a spare place before it have found one, in milliseconds: as many find
    /// one in a second as of late, and no fewer than a part of the places that fall free on full engines.
    pub fn spare_slot_wait_ms(&self, options: &DispatchOptions) -> f64 {
        let places = self.placement.snapshot.engines as f64 * f64::from(self.model.slots);
        let free_per_ms = places / self.decode_ms() / self.gateways.max(1) as f64;
        let least_per_ms = free_per_ms * options.spare_least_share;
        self.ahead as f64 / least_per_ms.max(self.spare_per_s / 1e3)
    }

    fn engine_count(&self) -> usize {
        self.placement.helpers.len() + 1
    }

    /// The least score of the others in its line.
    pub fn best_other(&self) -> Score {
        self.others.head_for(self.score)
    }

    /// Whether it is first in line and its engines are done with what was sent before.
    fn is_next(&self, options: &DispatchOptions) -> bool {
        self.score <= self.best_other() && self.placement.backlog_ms <= options.start_backlog_ms
    }

    /// Time until its answer is written if it is sent now, in milliseconds.
    fn end_ms(&self, options: &DispatchOptions) -> f64 {
        let reading_ms = self.placement.first_token_ms * options.margin_factor;
        reading_ms + self.decode_ms() * options.write_factor
    }

    /// Whether it would still end in time if it were sent now.
    fn ends_in_time(&self, options: &DispatchOptions) -> bool {
        self.end_ms(options) <= self.need.deadline_left_ms
    }
}

/// Whether a prompt that waits at a host that stops is given back to its client: if it were sent now, it wouldn't be
/// answered before the host cuts what is open. Until then it has the same chance here as anywhere, and its client, which may come
/// back once or twice only, keeps that.
pub fn should_return_to_client(
    waiting: &WaitingPrompt<'_>,
    host_left_ms: f64,
    options: &DispatchOptions,
) -> bool {
    waiting.end_ms(options) > host_left_ms
}

/// Whether a prompt is sent now.
pub fn decide(waiting: &WaitingPrompt<'_>, options: &DispatchOptions) -> DispatchDecision {
    let placement = waiting.placement;
    if waiting.is_short(options) {
        return decide_short(waiting, options);
    }
    if placement.is_late {
        return decide_late(waiting, options);
    }
    if is_last_chance(waiting, options) {
        return DispatchDecision::Dispatch;
    }
    let plenty = waiting.engine_count() + options.plenty_engines;
    let is_plenty = placement.snapshot.without_reading >= plenty;
    if is_plenty && placement.backlog_ms <= options.start_backlog_ms {
        return DispatchDecision::Dispatch;
    }
    let has_room = placement.snapshot.engines_for_long >= options.room_engines;
    if has_room && waiting.is_next(options) {
        return DispatchDecision::Dispatch;
    }
    DispatchDecision::Wait
}

/// Whether a short prompt that is sent now takes a place that others can do without.
pub fn needs_spare_slot(waiting: &WaitingPrompt<'_>, options: &DispatchOptions) -> bool {
    let need = waiting.need;
    let margin_ms = need.ttft_target_ms * options.spare_margin_share;
    waiting.placement.first_token_ms + margin_ms > need.ttft_left_ms
}

/// A short prompt goes at once while it can be on time, and while there are places to spare. Else it waits for
/// one, unless it would end too late after all that wait before it.
fn decide_short(waiting: &WaitingPrompt<'_>, options: &DispatchOptions) -> DispatchDecision {
    let snapshot = &waiting.placement.snapshot;
    let taken_share = f64::from(snapshot.slots_taken_permille) / 1e3;
    if !needs_spare_slot(waiting, options) || taken_share < options.spare_from_share {
        return DispatchDecision::Dispatch;
    }
    let spare_slot_wait_ms = waiting.spare_slot_wait_ms(options);
    let ends = spare_slot_wait_ms + waiting.decode_ms() <= waiting.need.deadline_left_ms;
    // Its client leaves before a first token that comes later.
    let is_borne = spare_slot_wait_ms <= waiting.need.first_token_limit_ms();
    match ends && is_borne {
        true => DispatchDecision::Wait,
        false => DispatchDecision::Refuse,
    }
}

/// A prompt that is late anyway goes when nobody waits who can be on time, or at its last chance, while few engines
/// will still do; and only if few read for others like it, and if it harms no streams that are worth more. Sooner it
/// would take engines from those that can be on time.
///
/// It is refused as soon as it can't end in time on the engines that short streams leave: kept waiting for more, such
/// prompts are refused later, and no more of them are answered.
fn decide_late(waiting: &WaitingPrompt<'_>, options: &DispatchOptions) -> DispatchDecision {
    if !waiting.ends_in_time(options) {
        return DispatchDecision::Refuse;
    }
    let snapshot = &waiting.placement.snapshot;
    let is_alone = snapshot.late_engines == 0;
    let nobody_else = waiting.others.on_time == NONE_WAITING && waiting.is_next(options);
    let engines_max = match nobody_else {
        true => snapshot.engines_for_long as f64 * options.idle_share,
        false => snapshot.engines as f64 * options.last_share,
    };
    let engines = (snapshot.late_engines + waiting.engine_count()) as f64;
    let has_engines = is_alone || engines <= engines_max;
    let max_harm_units = waiting.need.worth_units(waiting.model) * options.late_worth_share;
    let is_worth_it = waiting.placement.harm_units <= max_harm_units;
    let is_time = nobody_else || is_last_chance(waiting, options);
    match is_time && has_engines && is_worth_it {
        true => DispatchDecision::Dispatch,
        false => DispatchDecision::Wait,
    }
}

/// Whether a prompt that waits any longer would miss its deadline.
fn is_last_chance(waiting: &WaitingPrompt<'_>, options: &DispatchOptions) -> bool {
    let reading_ms = waiting.single_engine_ms() / options.last_engines * options.margin_factor;
    waiting.need.deadline_left_ms < reading_ms + waiting.decode_ms() * options.write_factor
}
