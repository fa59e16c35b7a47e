//! When a waiting prompt is dispatched.
//!
//! During overload, long prompts ask for as much prefill as all engines can do, or more, for ten
//! seconds and longer. Engines prefill the newest part first, so prompts dispatched regardless
//! would overtake each other and all become late, and their prefill and memory would block the
//! short prompts of the next ten seconds. A long prompt therefore waits at its gateway until the
//! engines have finished the prefill dispatched before, and the waiting prompt with the most worth
//! for its prefill goes next. A prompt that can't be on time any more lets others pass until its
//! deadline forces it.

use crate::length_counts::LengthBand;
use crate::model::EngineModel;
use crate::need::Need;
use crate::placement::Placement;
use crate::queue_order::QueueHeads;
use crate::queue_order::Score;
use crate::queue_order::LATE_SCORE_BASE;
use crate::queue_order::NONE_WAITING;
use crate::setting_text::apply_settings;
use crate::setting_text::Setting;

/// Lower bound to which a score is reduced, however seldom prompts of its length are dispatched, as
/// a share of the score.
const MIN_SCORE_SHARE: f64 = 0.02;

/// Options of [`decide`] and [`score`].
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchOptions {
    /// A prompt whose part takes less prefill than this doesn't wait, in milliseconds: overtaking
    /// delays others by less than a pass of a decoding engine.
    pub overtake_ms: f64,
    /// Backlog of the engines at which the next prompt is dispatched, in milliseconds: enough to
    /// bridge the network delay without idle engines.
    pub start_backlog_ms: f64,
    /// Number of engines without prefill that must remain beside those that a prompt would use for
    /// it to skip the queue: a large fleet prefills many prompts at the same time, and the next in
    /// line still finds engines.
    pub plenty_engines: usize,
    /// Least number of engines that short streams don't need for a long prompt to be dispatched.
    pub room_engines: usize,
    /// Prefill on one engine up to which a prompt never waits in the queue of long prompts, in
    /// milliseconds: that of the longest short question.
    pub short_work_ms: f64,
    /// Largest share of all engines that prefill for late prompts. One late prompt is dispatched in
    /// any case.
    pub last_share: f64,
    /// Largest share of the engines not needed by short streams that prefill for late prompts while
    /// no waiting prompt can be on time: the next prompt finds the others.
    pub idle_share: f64,
    /// Number of engines assumed for a prompt that the deadline forces: few, so that it is
    /// dispatched while few suffice.
    pub last_engines: f64,
    /// Ratio of the time to decode an answer to the duration of its passes without prefill.
    pub write_factor: f64,
    /// Share of all engines' slots from which on the remaining slots are kept for short prompts
    /// that can be on time.
    pub spare_from_share: f64,
    /// Margin before the first-token target that a short prompt must keep to count as on time once
    /// engines are full, as a share of the target: slots become free at the same rate, and a prompt
    /// queued at an engine waits for fewer of them.
    pub spare_margin_share: f64,
    /// Least share of the slots that become free on full engines that late short prompts are
    /// assumed to find.
    pub spare_least_share: f64,
    /// Ratio to the prediction that prefill may take when the deadline is near.
    pub margin_factor: f64,
    /// Least ratio at which prompts of each length should be dispatched compared with all others,
    /// as far as their order can achieve it.
    pub sent_least_ratio: f64,
    /// Exponent of the ratio by which a length that is dispatched less often moves ahead: two
    /// prompts received and none dispatched weigh as much as seven times the worth for the prefill.
    pub sent_power: f64,
    /// Share of a late request's worth that remains: the most harm that it may do to others.
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
    /// Applies the settings in `text`, such as `write_factor=3,overtake_ms=40`.
    ///
    /// # Errors
    ///
    /// Returns a message if a setting's name is unknown or its value isn't a number.
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

/// What to do with a waiting prompt now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchDecision {
    /// Send it to its engines.
    Dispatch,
    /// Keep it waiting and ask again.
    Wait,
    /// Refuse it: it can't end in time any more without more harm than it is worth.
    Refuse,
}

/// The length band in which a prompt is counted; `None` for one with so little prefill that it
/// never waits in the queue of long prompts.
pub fn length_band(
    need: &Need,
    model: &EngineModel,
    options: &DispatchOptions,
) -> Option<LengthBand> {
    let is_long = model.prefill_ms(need.prompt_tokens) > options.short_work_ms;
    is_long.then(|| LengthBand::of(need.prompt_tokens, need.ttft_target_ms))
}

/// The score of a prompt. While it can be on time, this is its prefill on one engine in
/// milliseconds per unit of worth, reduced if prompts of its length are dispatched less often than
/// others (`sent_ratio`). After that, it is the time left until its deadline.
pub fn score(
    need: &Need,
    placement: &Placement,
    model: &EngineModel,
    sent_ratio: f64,
    options: &DispatchOptions,
) -> Score {
    if placement.first_token_ms > need.ttft_left_ms {
        return Score(LATE_SCORE_BASE.saturating_add(need.deadline_left_ms.max(0.0) as u32));
    }
    let single_engine_ms = model.prefill_ms(need.prompt_tokens);
    let per_unit_ms = single_engine_ms / need.worth_units(model).max(f64::MIN_POSITIVE);
    let capped_ratio = (sent_ratio / options.sent_least_ratio).min(1.0);
    let score_ms = per_unit_ms * capped_ratio.powf(options.sent_power).max(MIN_SCORE_SHARE);
    Score((score_ms as u32).min(LATE_SCORE_BASE - 1))
}

/// A prompt that may have to wait.
#[derive(Debug, Clone, Copy)]
pub struct WaitingPrompt<'a> {
    /// Its requirements.
    pub need: &'a Need,
    /// Where it would be placed now.
    pub placement: &'a Placement,
    /// Performance model of its engines.
    pub model: &'a EngineModel,
    /// Its position in the queue.
    pub score: Score,
    /// The least scores of the other waiting prompts, here and at peers.
    pub others: QueueHeads,
    /// Short prompts that wait here for a spare slot and arrived earlier.
    pub ahead: usize,
    /// Recent rate at which such prompts found spare slots here, per second.
    pub spare_per_s: f64,
    /// Gateways that share the engines, including this one.
    pub gateways: usize,
}

impl WaitingPrompt<'_> {
    /// Prefill of the whole prompt on one engine, in milliseconds.
    pub(crate) fn single_engine_ms(&self) -> f64 {
        self.model.prefill_ms(self.need.prompt_tokens)
    }

    /// Time to decode the answer on an engine with half of its slots taken, in milliseconds.
    pub(crate) fn decode_ms(&self) -> f64 {
        let passes = self.model.passes_for(self.need.expected_tokens);
        passes as f64 * self.model.usual_pass_ms()
    }

    /// Whether its prefill delays others so little that it needn't queue.
    pub fn is_short(&self, options: &DispatchOptions) -> bool {
        self.single_engine_ms() <= options.short_work_ms
            || self.placement.prefill_ms <= options.overtake_ms
    }

    /// Expected time until the prompts ahead have found a spare slot, in milliseconds. The rate is
    /// the recent one, and at least a share of the slots that become free on full engines.
    pub fn spare_slot_wait_ms(&self, options: &DispatchOptions) -> f64 {
        let slots = self.placement.snapshot.engines as f64 * f64::from(self.model.slots);
        let free_per_ms = slots / self.decode_ms() / self.gateways.max(1) as f64;
        let least_per_ms = free_per_ms * options.spare_least_share;
        self.ahead as f64 / least_per_ms.max(self.spare_per_s / 1e3)
    }

    /// Number of engines of its placement.
    fn engine_count(&self) -> usize {
        self.placement.helpers.len() + 1
    }

    /// The least score of the others in its queue.
    pub fn best_other(&self) -> Score {
        self.others.head_for(self.score)
    }

    /// Whether it is next in its queue and its engines have little backlog left.
    fn is_next(&self, options: &DispatchOptions) -> bool {
        self.score <= self.best_other() && self.placement.backlog_ms <= options.start_backlog_ms
    }

    /// Predicted time until its answer is complete if it is dispatched now, in milliseconds.
    fn end_ms(&self, options: &DispatchOptions) -> f64 {
        let first_token_ms = self.placement.first_token_ms * options.margin_factor;
        first_token_ms + self.decode_ms() * options.write_factor
    }

    /// Whether its answer would be complete before the deadline if it were dispatched now.
    fn ends_in_time(&self, options: &DispatchOptions) -> bool {
        self.end_ms(options) <= self.need.deadline_left_ms
    }
}

/// Whether a prompt that waits at a host that shuts down is returned to its client, because its
/// answer wouldn't be complete before the host closes its connections. Until then it keeps its
/// chance here, which is as good as elsewhere, and its client, which may retry only once or twice,
/// saves a retry.
pub fn should_return_to_client(
    waiting: &WaitingPrompt<'_>,
    host_left_ms: f64,
    options: &DispatchOptions,
) -> bool {
    waiting.end_ms(options) > host_left_ms
}

/// Decides whether a prompt is dispatched now, waits or is refused.
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
    let is_plenty = placement.snapshot.without_prefill >= plenty;
    if is_plenty && placement.backlog_ms <= options.start_backlog_ms {
        return DispatchDecision::Dispatch;
    }
    let has_room = placement.snapshot.engines_for_long >= options.room_engines;
    if has_room && waiting.is_next(options) {
        return DispatchDecision::Dispatch;
    }
    DispatchDecision::Wait
}

/// Whether a short prompt may only take a spare slot, since it can't meet its first-token target
/// with the required margin.
pub fn needs_spare_slot(waiting: &WaitingPrompt<'_>, options: &DispatchOptions) -> bool {
    let need = waiting.need;
    let margin_ms = need.ttft_target_ms * options.spare_margin_share;
    waiting.placement.first_token_ms + margin_ms > need.ttft_left_ms
}

/// A short prompt is dispatched at once while it can be on time or while there are spare slots.
/// Otherwise it waits for a spare slot, unless the prompts ahead of it would make it end too late.
fn decide_short(waiting: &WaitingPrompt<'_>, options: &DispatchOptions) -> DispatchDecision {
    let snapshot = &waiting.placement.snapshot;
    let slots_taken_share = f64::from(snapshot.slots_taken_permille) / 1e3;
    if !needs_spare_slot(waiting, options) || slots_taken_share < options.spare_from_share {
        return DispatchDecision::Dispatch;
    }
    let spare_slot_wait_ms = waiting.spare_slot_wait_ms(options);
    let ends_in_time = spare_slot_wait_ms + waiting.decode_ms() <= waiting.need.deadline_left_ms;
    // The client disconnects before a first token that comes later.
    let is_within_patience = spare_slot_wait_ms <= waiting.need.first_token_limit_ms();
    match ends_in_time && is_within_patience {
        true => DispatchDecision::Wait,
        false => DispatchDecision::Refuse,
    }
}

/// A late prompt is dispatched when no waiting prompt can be on time, or at the last moment at
/// which few engines still suffice; in both cases only if few engines prefill for late prompts and
/// if it does no more harm to streams than it is worth. Earlier it would take engines from prompts
/// that can be on time.
///
/// It is refused as soon as it can't end in time on the engines that short streams don't need: if
/// such prompts are kept waiting for more engines, they are refused later and no more of them are
/// answered.
fn decide_late(waiting: &WaitingPrompt<'_>, options: &DispatchOptions) -> DispatchDecision {
    if !waiting.ends_in_time(options) {
        return DispatchDecision::Refuse;
    }
    let snapshot = &waiting.placement.snapshot;
    let is_only_late = snapshot.late_engines == 0;
    let no_other_on_time = waiting.others.on_time == NONE_WAITING && waiting.is_next(options);
    let engines_max = match no_other_on_time {
        true => snapshot.engines_for_long as f64 * options.idle_share,
        false => snapshot.engines as f64 * options.last_share,
    };
    let engines = (snapshot.late_engines + waiting.engine_count()) as f64;
    let has_engines = is_only_late || engines <= engines_max;
    let max_harm_units = waiting.need.worth_units(waiting.model) * options.late_worth_share;
    let is_worth_it = waiting.placement.harm_units <= max_harm_units;
    let is_due = no_other_on_time || is_last_chance(waiting, options);
    match is_due && has_engines && is_worth_it {
        true => DispatchDecision::Dispatch,
        false => DispatchDecision::Wait,
    }
}

/// Whether a prompt would miss its deadline if it waited any longer.
fn is_last_chance(waiting: &WaitingPrompt<'_>, options: &DispatchOptions) -> bool {
    let prefill_ms = waiting.single_engine_ms() / options.last_engines * options.margin_factor;
    waiting.need.deadline_left_ms < prefill_ms + waiting.decode_ms() * options.write_factor
}
