//! Prompts that exceed the free memory of every engine: memory is reserved on several.
//!
//! The prompt fills the reservations in order, and the lead engine keeps the rest. All reservations
//! are made before the prompt is sent, or none is kept: a gateway that gets only some of them
//! releases them at once. Nothing waits while holding a reservation, so two prompts can't deadlock.

use crate::engine_state::EngineState;
use crate::evaluation::longest_backlog_ms;
use crate::evaluation::Evaluation;
use crate::placement::FleetSnapshot;
use crate::placement::MemoryReservation;
use crate::placement::Placement;
use crate::placement::PlacementError;
use crate::placement::Shortage;

/// Largest share of an engine's free memory that is reserved: peers may have placed prompts there
/// in the last milliseconds.
const RESERVABLE_SHARE: f64 = 0.85;

/// Smallest reservation that justifies a call, in tokens.
const RESERVE_MIN_TOKENS: u64 = 8_000;

/// Largest share of the lead engine's free memory that the rest of the prompt may take.
const LEAD_REST_SHARE: f64 = 0.8;

/// Places a prompt over several engines. Memory decides how many engines it needs; only further
/// engines for prefill are limited to those that short streams leave. With both limited, thirteen
/// waiting prompts were refused as full within 0.13 s when short prompts arrived, while three
/// quarters of the memory was free.
pub(crate) fn place_over_engines(evaluation: &Evaluation<'_>) -> Result<Placement, PlacementError> {
    let needed_tokens = evaluation.need.memory_tokens() + evaluation.spare_tokens();
    let capacity = evaluation.model.memory_tokens * evaluation.engines.len() as u64;
    if (needed_tokens as f64) > capacity as f64 * RESERVABLE_SHARE {
        return Err(PlacementError::TooLarge);
    }
    let lead = roomiest_engine(evaluation).ok_or_else(|| evaluation.full_error(Shortage::Slot))?;
    let at_lead_tokens = (lead.free_tokens as f64 * LEAD_REST_SHARE) as u64;
    let mut missing_tokens = needed_tokens.saturating_sub(at_lead_tokens);
    let mut holders = Vec::new();
    let mut reservations = Vec::new();
    for engine in by_room(evaluation, lead) {
        if missing_tokens == 0 || holders.len() + 1 >= evaluation.options.engines_max {
            break;
        }
        let available_tokens = (engine.free_tokens as f64 * RESERVABLE_SHARE) as u64;
        let tokens = available_tokens.min(missing_tokens.max(RESERVE_MIN_TOKENS));
        if tokens < RESERVE_MIN_TOKENS {
            continue;
        }
        missing_tokens = missing_tokens.saturating_sub(tokens);
        holders.push(engine);
        reservations.push(MemoryReservation {
            endpoint: engine.key,
            tokens,
        });
    }
    if missing_tokens > 0 {
        return Err(evaluation.full_error(Shortage::Memory {
            needed_tokens,
            engines_max: evaluation.options.engines_max,
        }));
    }
    let prefill_engines = prefill_engines(evaluation, lead, holders);
    let width = (prefill_engines.len() + 1) as f64;
    let prefill_ms = evaluation.model.prefill_ms(evaluation.need.prompt_tokens) / width;
    let mut engines = vec![lead];
    engines.extend(&prefill_engines);
    let hold_ms = evaluation.hold_ms(&engines, prefill_ms);
    let ready_ms = engines
        .iter()
        .map(|engine| engine.part_ready_ms(prefill_ms, hold_ms));
    let first_token_ms = hold_ms + ready_ms.fold(0.0, f64::max);
    let harm_units: f64 = engines
        .iter()
        .map(|engine| engine.prefill_harm(prefill_ms))
        .sum();
    Ok(Placement {
        lead: lead.key,
        helpers: prefill_engines.iter().map(|engine| engine.key).collect(),
        reservations,
        prefill_ms,
        backlog_ms: longest_backlog_ms(&engines),
        hold_ms,
        first_token_ms,
        loss_units: harm_units,
        harm_units,
        is_late: false,
        snapshot: FleetSnapshot::default(),
    })
}

/// The engine with the most room that may lead and isn't on probation.
fn roomiest_engine<'a>(evaluation: &'a Evaluation<'a>) -> Option<&'a EngineState<'a>> {
    evaluation
        .engines
        .iter()
        .filter(|engine| evaluation.has_slot(engine) && !engine.on_probation)
        .max_by(|a, b| room_tokens(a).total_cmp(&room_tokens(b)))
}

/// Penalty for each short stream when engines are compared by room, in tokens: prefill would pause
/// the stream.
const TOKENS_PER_SHORT_STREAM: f64 = 20_000.0;

/// Penalty for each millisecond of backlog when engines are compared by room, in tokens: a fifth of
/// a second outweighs all of an engine's memory, since the prompt waits for the last of its
/// engines.
const TOKENS_PER_BACKLOG_MS: f64 = 1_500.0;

/// Free memory in tokens, less the penalties for short streams and backlog.
fn room_tokens(engine: &EngineState<'_>) -> f64 {
    let streams = f64::from(engine.running_short) * TOKENS_PER_SHORT_STREAM;
    let backlog = engine.backlog_ms * TOKENS_PER_BACKLOG_MS;
    engine.free_tokens as f64 - streams - backlog
}

/// Engines that may help, those with the most room first.
fn by_room<'a>(evaluation: &'a Evaluation<'a>, lead: &EngineState<'a>) -> Vec<&'a EngineState<'a>> {
    let mut others = helpers(evaluation, lead);
    others.sort_by(|a, b| room_tokens(b).total_cmp(&room_tokens(a)));
    others
}

/// Engines that may help `lead`.
fn helpers<'a>(evaluation: &'a Evaluation<'a>, lead: &EngineState<'a>) -> Vec<&'a EngineState<'a>> {
    evaluation
        .engines
        .iter()
        .filter(|engine| engine.key != lead.key && engine.may_help(evaluation.model))
        .collect()
}

/// The engines that hold reservations, and further engines without short streams up to the limit.
fn prefill_engines<'a>(
    evaluation: &'a Evaluation<'a>,
    lead: &EngineState<'a>,
    holders: Vec<&'a EngineState<'a>>,
) -> Vec<&'a EngineState<'a>> {
    let mut prefill_engines = holders;
    let mut others = helpers(evaluation, lead);
    others.retain(|engine| engine.running_short == 0);
    others.sort_by(|a, b| a.backlog_ms.total_cmp(&b.backlog_ms));
    for engine in others {
        let is_included = prefill_engines.iter().any(|other| other.key == engine.key);
        if !is_included && prefill_engines.len() + 1 < evaluation.engines_max {
            prefill_engines.push(engine);
        }
    }
    prefill_engines
}
