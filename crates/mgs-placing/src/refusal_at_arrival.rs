//! Refusal at arrival of prompts that can't be served.
//!
//! A client that is refused after seconds has no time left to go elsewhere or to return. When a
//! prompt arrives that would have to wait, its dispatch is therefore estimated from what goes ahead
//! of it at all gateways, and it is refused at once if the estimate leaves it no chance. Short
//! prompts don't queue; under overload, those that can't be on time are refused.

use crate::dispatch::needs_spare_slot;
use crate::dispatch::DispatchDecision;
use crate::dispatch::DispatchOptions;
use crate::dispatch::WaitingPrompt;
use crate::queue_demand::DemandAhead;
use crate::queue_demand::QueueDemand;
use crate::queue_demand::QueuedPrompt;
use crate::queue_demand::DECAY_MS;

/// Longest wait that is predicted, in milliseconds: longer than any deadline.
const WAIT_MAX_MS: f64 = 30_000.0;

/// Options of [`is_refused_at_arrival`].
#[derive(Debug, Clone, PartialEq)]
pub struct RefusalOptions {
    /// Share of their time that engines which short streams don't need spend on prefill of prompts
    /// that are on time: a third of them waits for other engines of a wide prompt, and decoding and
    /// short prompts take a part of the rest.
    pub prefill_share: f64,
    /// Ratio of the engine time asked for to that of all engines from which on short prompts that
    /// can't be on time are refused: any that were served would take the time of others.
    pub overload_ratio: f64,
    /// The same ratio from which on no engine has time left for long prompts that can't be on time:
    /// wide prompts leave a fifth of the engines' time unused.
    pub late_load_ratio: f64,
    /// Prompts of peers that aren't known yet and that are assumed on the engine of a short prompt
    /// if the prompts that don't queue ask for the time of all engines; more in proportion if they
    /// ask for more. All gateways then choose among the few engines with a slot.
    pub unknown_prompts: f64,
}

impl Default for RefusalOptions {
    fn default() -> Self {
        Self {
            prefill_share: 0.5,
            overload_ratio: 1.0,
            late_load_ratio: 0.8,
            unknown_prompts: 0.75,
        }
    }
}

/// What the demand ahead means for a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Time until its dispatch while it can be on time, in milliseconds.
    pub wait_ms: f64,
    /// Time until its first token after that wait, in milliseconds.
    pub first_token_ms: f64,
    /// Time until the end of its answer if it is dispatched behind all that waits, in milliseconds.
    pub late_end_ms: f64,
    /// Ratio of the engine time asked for to that of all engines.
    pub load_ratio: f64,
    /// The same for prompts that don't queue.
    pub short_load_ratio: f64,
}

impl Estimate {
    /// The estimate for a prompt that would wait behind this demand, with this number of engines in
    /// all availability zones. The engines of other zones are assumed to be as busy as those among
    /// which the prompt was placed.
    pub fn of(
        waiting: &WaitingPrompt<'_>,
        ahead: &DemandAhead,
        engines: usize,
        dispatch_options: &DispatchOptions,
        options: &RefusalOptions,
    ) -> Self {
        let snapshot = &waiting.placement.snapshot;
        let engines = engines.max(snapshot.engines).max(1) as f64;
        let zones = engines / snapshot.engines.max(1) as f64;
        let backlog_ms = snapshot.backlog_ms as f64 * zones;
        let for_long = snapshot.engines_for_long as f64 * zones * options.prefill_share;
        let wait_ms = drain_ms(
            ahead.waiting_ms + backlog_ms,
            for_long - ahead.asked_engines,
        );
        let late_wait_ms = drain_ms(
            ahead.waiting_ms_of_all + backlog_ms,
            engines - ahead.asked_engines_of_short - ahead.asked_engines,
        );
        let prefill_ms = waiting.placement.prefill_ms * dispatch_options.margin_factor;
        let decode_ms = waiting.decode_ms() * dispatch_options.write_factor;
        let load_ratio = |asked_engines: f64| asked_engines / engines;
        Self {
            wait_ms,
            first_token_ms: wait_ms + prefill_ms,
            late_end_ms: late_wait_ms + prefill_ms + decode_ms,
            load_ratio: load_ratio(ahead.asked_engines_of_all),
            short_load_ratio: load_ratio(ahead.asked_engines_of_short),
        }
    }
}

/// Time in which this many engines do this much prefill, in milliseconds. With none left, those that
/// arrive later go ahead for as long as they do.
fn drain_ms(prefill_ms: f64, engines: f64) -> f64 {
    match engines > 0.0 {
        true => (prefill_ms / engines).min(WAIT_MAX_MS),
        false => WAIT_MAX_MS,
    }
}

/// Records the demand of a prompt that arrives now.
pub fn record_arrival(
    demand: &mut QueueDemand,
    waiting: &WaitingPrompt<'_>,
    dispatch_options: &DispatchOptions,
    now_ms: f64,
) {
    let prefill_ms = waiting.single_engine_ms();
    if waiting.is_short(dispatch_options) {
        let decode_ms = waiting.decode_ms() / f64::from(waiting.model.slots.max(1));
        demand.record_short(now_ms, prefill_ms + decode_ms);
        return;
    }
    let score = waiting.score;
    demand.record_long(now_ms, QueuedPrompt { score, prefill_ms });
}

/// Whether a prompt that has just arrived, and for which `decision` was made, is refused at once.
pub fn is_refused_at_arrival(
    waiting: &WaitingPrompt<'_>,
    decision: DispatchDecision,
    estimate: &Estimate,
    dispatch_options: &DispatchOptions,
    options: &RefusalOptions,
) -> bool {
    if waiting.is_short(dispatch_options) {
        return estimate.load_ratio >= options.overload_ratio
            && is_short_late(waiting, estimate, dispatch_options, options);
    }
    let must_wait = decision == DispatchDecision::Wait;
    let is_on_time = estimate.first_token_ms <= waiting.need.ttft_left_ms;
    if !must_wait || is_on_time {
        return false;
    }
    let ends_in_time = estimate.late_end_ms <= waiting.need.deadline_left_ms;
    !ends_in_time || estimate.load_ratio >= options.late_load_ratio
}

/// Whether a short prompt can't be on time under overload.
fn is_short_late(
    waiting: &WaitingPrompt<'_>,
    estimate: &Estimate,
    dispatch_options: &DispatchOptions,
    options: &RefusalOptions,
) -> bool {
    if needs_spare_slot(waiting, dispatch_options) {
        return true;
    }
    let slots_taken_share = f64::from(waiting.placement.snapshot.slots_taken_permille) / 1e3;
    let are_slots_short = slots_taken_share >= dispatch_options.spare_from_share;
    if !are_slots_short || estimate.short_load_ratio < options.overload_ratio {
        return false;
    }
    let slot_interval_ms = waiting.decode_ms() / f64::from(waiting.model.slots.max(1));
    let unknown_prompts = options.unknown_prompts * estimate.short_load_ratio;
    let unknown_ms = slot_interval_ms * unknown_prompts;
    waiting.placement.first_token_ms + unknown_ms > waiting.need.ttft_left_ms
}

/// Time after which a prompt that is refused at arrival may find room, in milliseconds. Short prompts
/// find it once the excess of demand has passed: clients that return sooner add to the demand, by
/// which then more of them are refused.
pub fn room_in_ms(
    waiting: &WaitingPrompt<'_>,
    estimate: &Estimate,
    dispatch_options: &DispatchOptions,
    options: &RefusalOptions,
) -> f64 {
    if !waiting.is_short(dispatch_options) {
        return estimate.wait_ms;
    }
    let excess_ratio = (estimate.load_ratio / options.overload_ratio).max(1.0);
    let excess_ms = DECAY_MS * excess_ratio.ln();
    waiting.spare_slot_wait_ms(dispatch_options).max(excess_ms)
}
