//! The choice of engines for one prompt.
//!
//! Each possible placement (one engine, or prefill shared by 2 to 16) is rated by the worth that it
//! is expected to lose: by lateness of the prompt itself, and by pauses in streams on the same
//! engines. Short streams are gathered on few engines, since one more decoding request lengthens a
//! step very little, while prefill on an engine pauses all of its streams for as long as it takes.

use crate::engine_state::EngineState;
use crate::evaluation::Evaluation;
use crate::late_prompt;
use crate::load_table::LoadTable;
use crate::model::EngineModel;
use crate::need::Need;
use crate::options::PlacementOptions;
use crate::placement::Candidate;
use crate::placement::Placement;
use crate::placement::PlacementError;
use crate::split_memory;
use crate::stream_group;

/// Share of the observed slowness that is kept when engines are assumed to run at their declared
/// speed: enough to break ties between them.
const SLOWNESS_TIE_BREAK: f64 = 0.01;

/// Randomization that makes gateways with the same view choose different engines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RandomDraw {
    /// Random number from 0 up to, but not including, 1, drawn for each choice; 0 for the best
    /// placement.
    pub draw: f64,
    /// Share of the peers' placements that is assumed to go to the candidates: their share of all
    /// engines.
    pub share: f64,
}

/// Places a prompt. Among equally good engines, the first candidates are chosen.
///
/// # Errors
///
/// Returns a [`PlacementError`] if there is no candidate, if there is no room, or if the prompt
/// would be answered too late.
///
/// ```
/// use mgs_fleet::view::EndpointKey;
/// use mgs_placing::load_table::LoadTable;
/// use mgs_placing::choose::choose_engines;
/// use mgs_placing::choose::RandomDraw;
/// use mgs_placing::placement::Candidate;
/// use mgs_placing::options::PlacementOptions;
/// use mgs_placing::model::EngineModel;
/// use mgs_placing::need::Need;
///
/// let engine = |key| Candidate::of(EndpointKey(key));
/// let need = Need {
///     prompt_tokens: 154_000,
///     output_tokens: 800,
///     expected_tokens: 800,
///     pause_ms: 1_000.0,
///     ttft_target_ms: 3_000.0,
///     ttft_left_ms: 3_000.0,
///     deadline_left_ms: 15_000.0,
///     patience_ms: 12_000.0,
/// };
/// let engines: Vec<Candidate> = (0..21).map(engine).collect();
/// let model = EngineModel::default();
/// let placement = choose_engines(&need, &engines, &LoadTable::new(), &model, &PlacementOptions::default(), RandomDraw::default(), 0.0).unwrap();
/// assert!(!placement.helpers.is_empty());
/// assert!(placement.first_token_ms < need.ttft_left_ms);
/// ```
pub fn choose_engines(
    need: &Need,
    candidates: &[Candidate],
    load_table: &LoadTable,
    model: &EngineModel,
    options: &PlacementOptions,
    random: RandomDraw,
    now_ms: f64,
) -> Result<Placement, PlacementError> {
    if candidates.is_empty() {
        return Err(PlacementError::NoEndpoint);
    }
    let engine = |candidate| EngineState::of(candidate, load_table, model, options, now_ms);
    let peer_rates = load_table.peer_rates(now_ms);
    let mut evaluation = Evaluation {
        need,
        model,
        options,
        engines_max: options.engines_max,
        engines: candidates.iter().map(engine).collect(),
        unseen_ms: options.unseen_ms + options.unseen_ms_per_peer * load_table.peer_count() as f64,
        peer_rates,
        random,
        worth_units: need.worth_units(model),
        passes: model.passes_for(need.expected_tokens) as f64,
        is_long: is_long(need, model, options),
        is_tight: stream_group::is_tight(need.slack_share(model, 0.0)),
    };
    if evaluation.is_long {
        evaluation.engines_max = evaluation
            .engines_for_long()
            .clamp(options.room_min, options.engines_max);
    }
    let widest = match find_placement(&evaluation) {
        Err(PlacementError::TooLate { .. }) => place_at_declared_speed(&mut evaluation)?,
        placed => placed?,
    };
    if widest.first_token_ms <= need.ttft_left_ms {
        return Ok(widest);
    }
    if evaluation.is_long {
        return Ok(late_prompt::place_late_prompt(&mut evaluation, widest));
    }
    let late_engines_max = (evaluation.engines.len() as f64 * options.late_engines_share) as usize;
    evaluation.engines_max = late_engines_max.max(1).min(evaluation.engines_max);
    // If fewer engines lack the room or would miss the deadline, the wide placement is used.
    Ok(find_placement(&evaluation).unwrap_or(widest))
}

/// Whether a prompt is long: one engine alone would miss its first-token target, or nearly so.
pub fn is_long(need: &Need, model: &EngineModel, options: &PlacementOptions) -> bool {
    model.prefill_ms(need.prompt_tokens) > need.ttft_target_ms * options.long_aim_share
}

/// The placement with the least loss. There is none for a prompt whose client would disconnect
/// before its first token, or whose answer can't end in time even without any prefill beside it.
fn find_placement(evaluation: &Evaluation<'_>) -> Result<Placement, PlacementError> {
    let best = if evaluation.needs_reservations() {
        split_memory::place_over_engines(evaluation)?
    } else {
        evaluation.best_placement()?
    };
    let over_ms = best.first_token_ms - evaluation.need.first_token_limit_ms();
    if over_ms > 0.0 {
        return Err(PlacementError::TooLate {
            backlog_ms: over_ms,
        });
    }
    let end_ms = best.first_token_ms + evaluation.min_decode_ms();
    if end_ms > evaluation.need.deadline_left_ms {
        return Err(PlacementError::TooLate {
            backlog_ms: end_ms - evaluation.need.deadline_left_ms,
        });
    }
    Ok(Placement {
        snapshot: evaluation.snapshot(),
        ..best
    })
}

/// Places a prompt that would be too late at the observed speed of the engines as if they ran at
/// the declared speed. Slowness is learned from first tokens, which also arrive late when this
/// gateway itself was paused, and isn't corrected where nothing is sent. It may therefore rank
/// engines, but must not cause a refusal.
fn place_at_declared_speed(evaluation: &mut Evaluation<'_>) -> Result<Placement, PlacementError> {
    for engine in &mut evaluation.engines {
        let slowness = 1.0 + (engine.slowness - 1.0) * SLOWNESS_TIE_BREAK;
        engine.set_slowness(slowness);
    }
    find_placement(evaluation)
}
