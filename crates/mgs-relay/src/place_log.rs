//! Log lines on the placement of prompts: the values behind each decision and their age.

use mgs_placing::dispatch;
use mgs_placing::need::Need;
use mgs_placing::placement::PlacementError;
use mgs_placing::placement::Shortage;

use crate::core::Core;
use crate::fault::Refusal;
use crate::place::Prompt;
use crate::wait::ReadyPrompt;

/// Logs that a short prompt waits for a spare place.
pub(crate) fn waits_for_place(prompt: &Prompt<'_>, asked: &dispatch::WaitingPrompt<'_>) {
    log::info!(
        request_id = prompt.request_id,
        prompt_tokens = asked.need.prompt_tokens,
        aim_ms = asked.need.ttft_left_ms as i64,
        left_ms = asked.need.deadline_left_ms as u64,
        ahead = asked.ahead,
        spare_per_s = asked.spare_per_s,
        gateways = asked.gateways,
        places_taken_permille = asked.placement.snapshot.slots_taken_permille,
        predicted_first_token_ms = asked.placement.first_token_ms as u64;
        "waits for a place"
    );
}

/// Logs that a prompt waits for its turn among long ones.
pub(crate) fn waits_for_turn(prompt: &Prompt<'_>, asked: &dispatch::WaitingPrompt<'_>) {
    let placement = asked.placement;
    log::info!(
        request_id = prompt.request_id,
        prompt_tokens = asked.need.prompt_tokens,
        left_ms = asked.need.deadline_left_ms as u64,
        score = asked.score.0,
        best_other_score = asked.best_other().0,
        engines_backlog_ms = placement.backlog_ms as u64,
        room = placement.snapshot.engines_for_long,
        predicted_first_token_ms = placement.first_token_ms as u64;
        "waits for its turn"
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
    fn of(no_place: &PlacementError) -> Self {
        let PlacementError::Full { shortage: lack, .. } = no_place else {
            return Self::default();
        };
        match *lack {
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
    no_place: &PlacementError,
    refusal: &Refusal,
) {
    let core = prompt.core;
    let lack = MissingResource::of(no_place);
    log::info!(
        request_id = prompt.request_id,
        service = prompt.service,
        reason = refusal.fault.name(),
        lacks = lack.resource,
        needed_tokens = lack.needed_tokens,
        engines_allowed = lack.engines_max,
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

/// Logs that a prompt is sent.
pub(crate) fn placed(core: &Core, request_id: &str, turned: &ReadyPrompt) {
    let fleet = &turned.fleet;
    let (need, placement) = (&turned.need, &turned.placement);
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
        behind_ms = turned.waited.behind_ms,
        first_in_line_ms = turned.waited.first_ms,
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
