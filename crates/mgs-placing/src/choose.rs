//! The choice of engines for one prompt.
//!
//! Each way to place it (one engine, or reading shared by 2 to 16) is judged by the worth that it is
//! expected to lose: that the prompt itself is late, and that streams that share its engines are late
//! by a pause. Short streams gather on few engines, since a further writer costs a step next to
//! nothing, and reading beside any writer stalls all of them for its length.

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

/// What is left of how slow engines seem where they are taken to keep to their declared speed: enough to
/// tell them apart.
const SLOWNESS_TIE_BREAK: f64 = 0.01;

/// By which gateways that see the same choose differently.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RandomDraw {
    /// A number from 0 up to 1, drawn for each choice; 0 for the way that looks best.
    pub draw: f64,
    /// Share of what peers place that goes to the candidates, as one of the same number would.
    pub share: f64,
}

/// Places a prompt. Among engines that are as good the first candidates are taken.
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
    let late_max = (evaluation.engines.len() as f64 * options.late_engines_share) as usize;
    evaluation.engines_max = late_max.max(1).min(evaluation.engines_max);
    // Where fewer engines can't hold it or would be later than its deadline, the wide way stands.
    Ok(find_placement(&evaluation).unwrap_or(widest))
}

/// Whether a prompt is long: one engine alone would have its first token late, or nearly so.
pub fn is_long(need: &Need, model: &EngineModel, options: &PlacementOptions) -> bool {
    model.prefill_ms(need.prompt_tokens) > need.ttft_target_ms * options.long_aim_share
}

/// The way that loses least. A prompt whose client would leave before its first token, or whose answer can't end
/// in time even without any reading beside it, has none.
fn find_placement(evaluation: &Evaluation<'_>) -> Result<Placement, PlacementError> {
    let best = if evaluation.needs_reservations() {
        split_memory::place_over_engines(evaluation)?
    } else {
        evaluation.best_width()?
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

/// The same if engines keep to what their operator declares, for a prompt that would be too late by how
/// slow they seem. That is learned from first tokens, which also come late when this gateway was paused,
/// and isn't learned anew where nothing is sent: it tells engines apart and refuses nobody.
fn place_at_declared_speed(evaluation: &mut Evaluation<'_>) -> Result<Placement, PlacementError> {
    for engine in &mut evaluation.engines {
        let seems_slow = 1.0 + (engine.slowness - 1.0) * SLOWNESS_TIE_BREAK;
        engine.set_slowness(seems_slow);
    }
    find_placement(evaluation)
}
