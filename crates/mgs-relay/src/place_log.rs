//! Log lines on the placement of prompts: the values behind each decision and their age.

use mgs_placing::dispatch;
use mgs_placing::need::Need;
use mgs_placing::placement::PlacementError;
use mgs_placing::placement::Shortage;
use mgs_placing::queue_demand::DemandAhead;
use mgs_placing::refusal_at_arrival::Estimate;

use crate::core::Core;
use crate::fault::Refusal;
use crate::place::Prompt;
use crate::wait::ReadyPrompt;

/// Logs that a short prompt waits for a spare slot.
pub(crate) fn waits_for_slot(prompt: &Prompt<'_>, waiting: &dispatch::WaitingPrompt<'_>) {
    log::info!(
        request_id = prompt.request_id,
        prompt_tokens = waiting.need.prompt_tokens,
        aim_ms = waiting.need.ttft_left_ms as i64,
        left_ms = waiting.need.deadline_left_ms as u64,
        ahead = waiting.ahead,
        spare_per_s = waiting.spare_per_s,
        gateways = waiting.gateways,
        places_taken_permille = waiting.placement.snapshot.slots_taken_permille,
        predicted_first_token_ms = waiting.placement.first_token_ms as u64;
        "waits for a place"
    );
}

/// Logs that a prompt waits in the queue of long ones.
pub(crate) fn waits_in_queue(prompt: &Prompt<'_>, waiting: &dispatch::WaitingPrompt<'_>) {
    let placement = waiting.placement;
    log::info!(
        request_id = prompt.request_id,
        prompt_tokens = waiting.need.prompt_tokens,
        left_ms = waiting.need.deadline_left_ms as u64,
        score = waiting.score.0,
        best_other_score = waiting.best_other().0,
        engines_backlog_ms = placement.backlog_ms as u64,
        room = placement.snapshot.engines_for_long,
        predicted_first_token_ms = placement.first_token_ms as u64;
        "waits for its turn"
    );
}

/// Logs that a prompt is refused at its arrival, with the estimate behind it.
pub(crate) fn refused_at_arrival(
    prompt: &Prompt<'_>,
    waiting: &dispatch::WaitingPrompt<'_>,
    ahead: &DemandAhead,
    estimate: &Estimate,
    retry_after_ms: u64,
) {
    let snapshot = &waiting.placement.snapshot;
    log::info!(
        request_id = prompt.request_id,
        service = prompt.service,
        prompt_tokens = waiting.need.prompt_tokens,
        aim_ms = waiting.need.ttft_left_ms as i64,
        left_ms = waiting.need.deadline_left_ms as u64,
        waiting_ahead_ms = ahead.waiting_ms as u64,
        backlog_ms = snapshot.backlog_ms,
        asked_ahead_ms_per_s = (ahead.asked_engines * 1e3) as u64,
        asked_by_all_ms_per_s = (ahead.asked_engines_of_all * 1e3) as u64,
        candidate_engines = snapshot.engines,
        room = snapshot.engines_for_long,
        load_permille = (estimate.load_ratio * 1e3) as u64,
        predicted_wait_ms = estimate.wait_ms as u64,
        predicted_first_token_ms = estimate.first_token_ms as u64,
        predicted_late_end_ms = estimate.late_end_ms as u64,
        peers = prompt.core.load_table.borrow().peer_count(),
        oldest_report_ms = ahead.oldest_report_ms as u64,
        retry_after_ms = retry_after_ms;
        "refused at arrival since it would wait too long"
    );
}

/// The resource that engines lack, as log fields.
#[derive(Debug, Default)]
struct MissingResource {
    resource: &'static str,
    needed_tokens: u64,
    engines_max: usize,
}

impl MissingResource {
    fn of(error: &PlacementError) -> Self {
        let PlacementError::Full { shortage, .. } = error else {
            return Self::default();
        };
        match *shortage {
            Shortage::Slot => Self {
                resource: "place",
                ..Self::default()
            },
            Shortage::Memory {
                needed_tokens,
                engines_max,
            } => Self {
                resource: "memory",
                needed_tokens,
                engines_max,
            },
        }
    }
}

/// Logs that a prompt is refused.
pub(crate) fn not_placed(
    prompt: &Prompt<'_>,
    need: &Need,
    usable: usize,
    error: &PlacementError,
    refusal: &Refusal,
) {
    let core = prompt.core;
    let missing = MissingResource::of(error);
    log::info!(
        request_id = prompt.request_id,
        service = prompt.service,
        reason = refusal.fault.name(),
        lacks = missing.resource,
        needed_tokens = missing.needed_tokens,
        engines_allowed = missing.engines_max,
        retry_after_ms = refusal.retry_after_ms.unwrap_or(0),
        prompt_tokens = need.prompt_tokens,
        left_ms = need.deadline_left_ms as u64,
        usable_engines = usable,
        tried = prompt.tried.len(),
        waiting_here = core.waiting.borrow().len(),
        peers = core.load_table.borrow().peer_count(),
        fleet_age_ms = core.published.fleet_age_ms().unwrap_or(u64::MAX);
        "not placed"
    );
}

/// Logs the placement of a prompt that is dispatched.
pub(crate) fn placed(core: &Core, request_id: &str, ready: &ReadyPrompt) {
    let fleet = &ready.fleet;
    let (need, placement) = (&ready.need, &ready.placement);
    let first = fleet.by_key.get(&placement.lead);
    let endpoint = first.map_or("gone", |endpoint| endpoint.facts.incarnation.id.as_str());
    let helpers: Vec<&str> = placement
        .helpers
        .iter()
        .filter_map(|key| fleet.by_key.get(key))
        .map(|endpoint| endpoint.facts.incarnation.id.as_str())
        .collect();
    log::info!(
        request_id = request_id,
        endpoint = endpoint,
        kind = "streaming",
        aim_ms = need.ttft_target_ms,
        pause_limit_ms = need.pause_ms,
        prompt_tokens = need.prompt_tokens,
        output_tokens = need.output_tokens,
        expected_tokens = need.expected_tokens,
        behind_ms = ready.waited.behind_ms,
        first_in_line_ms = ready.waited.first_ms,
        slowness_permille = (core.slowness(placement.lead) * 1e3) as u64,
        slowness_age_ms = core.slowness_age_ms(placement.lead).unwrap_or(u64::MAX),
        engines = placement.helpers.len() + 1,
        helpers = helpers.join(" "),
        reservations = placement.reservations.len(),
        read_ms = placement.prefill_ms as u64,
        hold_ms = placement.hold_ms as u64,
        predicted_first_token_ms = placement.first_token_ms as u64,
        left_ms = need.deadline_left_ms as u64,
        loss_milliunits = (placement.loss_units * 1e3) as u64,
        harm_milliunits = (placement.harm_units * 1e3) as u64,
        room = placement.snapshot.engines_for_long,
        usable_engines = placement.snapshot.engines,
        awaited_endpoints = core.first_answers.borrow().awaited_endpoints(),
        engines_with_short_streams = placement.snapshot.with_short_streams,
        engines_with_other_streams = placement.snapshot.with_other_streams,
        engines_without_reading = placement.snapshot.without_prefill,
        engines_with_late_prompts = placement.snapshot.late_engines,
        is_late = placement.is_late,
        backlog_ms = placement.snapshot.backlog_ms,
        fleet_age_ms = core.published.fleet_age_ms().unwrap_or(u64::MAX),
        peers = core.load_table.borrow().peer_count();
        "placed"
    );
}
