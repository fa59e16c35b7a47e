//! The choice of engines for one prompt.
//!
//! Each way to place it (one engine, or reading shared by 2 to 16) is judged by the worth that it is
//! expected to lose: that the prompt itself is late, and that streams that share its engines are late
//! by a pause. Short streams gather on few engines, since a further writer costs a step next to
//! nothing, and reading beside any writer stalls all of them for its length.

use crate::board::Board;
use crate::judge::Placing;
use crate::late;
use crate::model::EngineModel;
use crate::need::Need;
use crate::options::Options;
use crate::split;
use crate::streams;
use crate::survey::Survey;
use crate::way::Candidate;
use crate::way::NoPlace;
use crate::way::Placement;

/// What is left of how slow engines seem where they are taken to keep to their declared speed: enough to
/// tell them apart.
const DECLARED_BLUR: f64 = 0.01;

/// By which gateways that see the same choose differently.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Lot {
    /// A number from 0 up to 1, drawn for each choice; 0 for the way that looks best.
    pub draw: f64,
    /// Share of what peers place that goes to the candidates, as one of the same number would.
    pub share: f64,
}

/// Places a prompt. Among engines that are as good the first candidates are taken.
///
/// ```
/// use mgs_fleet::view::EndpointKey;
/// use mgs_placing::board::Board;
/// use mgs_placing::choose::choose;
/// use mgs_placing::choose::Lot;
/// use mgs_placing::way::Candidate;
/// use mgs_placing::options::Options;
/// use mgs_placing::model::EngineModel;
/// use mgs_placing::need::Need;
///
/// let engine = |key| Candidate::of(EndpointKey(key));
/// let need = Need {
///     prompt_tokens: 154_000,
///     output_tokens: 800,
///     expected_tokens: 800,
///     pause_ms: 1_000.0,
///     full_aim_ms: 3_000.0,
///     aim_ms: 3_000.0,
///     left_ms: 15_000.0,
///     patience_ms: 12_000.0,
/// };
/// let engines: Vec<Candidate> = (0..21).map(engine).collect();
/// let model = EngineModel::default();
/// let placement = choose(&need, &engines, &Board::new(), &model, &Options::default(), Lot::default(), 0.0).unwrap();
/// assert!(!placement.helpers.is_empty());
/// assert!(placement.first_token_ms < need.aim_ms);
/// ```
pub fn choose(
    need: &Need,
    candidates: &[Candidate],
    board: &Board,
    model: &EngineModel,
    options: &Options,
    lot: Lot,
    now_ms: f64,
) -> Result<Placement, NoPlace> {
    if candidates.is_empty() {
        return Err(NoPlace::NoEndpoint);
    }
    let survey = |candidate| Survey::of(candidate, board, model, options, now_ms);
    let elsewhere = board.elsewhere(now_ms);
    let mut placing = Placing {
        need,
        model,
        options,
        engines_max: options.engines_max,
        surveys: candidates.iter().map(survey).collect(),
        unseen_ms: options.unseen_ms + options.unseen_ms_per_peer * board.peers() as f64,
        elsewhere,
        lot,
        units: need.units(model),
        passes: model.passes(need.expected_tokens) as f64,
        is_long: is_long(need, model, options),
        is_tight: streams::is_tight(need.slack_share(model, 0.0)),
    };
    if placing.is_long {
        placing.engines_max = placing.room().clamp(options.room_min, options.engines_max);
    }
    let widest = match place(&placing) {
        Err(NoPlace::TooLate { .. }) => place_at_declared_speed(&mut placing)?,
        placed => placed?,
    };
    if widest.first_token_ms <= need.aim_ms {
        return Ok(widest);
    }
    if placing.is_long {
        return Ok(late::place(&mut placing, widest));
    }
    let late_max = (placing.surveys.len() as f64 * options.late_engines_share) as usize;
    placing.engines_max = late_max.max(1).min(placing.engines_max);
    // Where fewer engines can't hold it or would be later than its deadline, the wide way stands.
    Ok(place(&placing).unwrap_or(widest))
}

/// Whether a prompt is long: one engine alone would have its first token late, or nearly so.
pub fn is_long(need: &Need, model: &EngineModel, options: &Options) -> bool {
    model.read_ms(need.prompt_tokens) > need.full_aim_ms * options.long_aim_share
}

/// The way that loses least. A prompt whose client would leave before its first token, or whose answer can't end
/// in time even without any reading beside it, has none.
fn place(placing: &Placing<'_>) -> Result<Placement, NoPlace> {
    let best = if placing.needs_reserves() {
        split::place(placing)?
    } else {
        placing.best_width()?
    };
    let over_ms = best.first_token_ms - placing.need.first_left_ms();
    if over_ms > 0.0 {
        return Err(NoPlace::TooLate {
            backlog_ms: over_ms,
        });
    }
    let end_ms = best.first_token_ms + placing.least_write_ms();
    if end_ms > placing.need.left_ms {
        return Err(NoPlace::TooLate {
            backlog_ms: end_ms - placing.need.left_ms,
        });
    }
    Ok(Placement {
        scene: placing.scene(),
        ..best
    })
}

/// The same if engines keep to what their operator declares, for a prompt that would be too late by how
/// slow they seem. That is learned from first tokens, which also come late when this gateway was paused,
/// and isn't learned anew where nothing is sent: it tells engines apart and refuses nobody.
fn place_at_declared_speed(placing: &mut Placing<'_>) -> Result<Placement, NoPlace> {
    for survey in &mut placing.surveys {
        let seems_slow = 1.0 + (survey.slowness - 1.0) * DECLARED_BLUR;
        survey.slow_down(seems_slow);
    }
    place(placing)
}
