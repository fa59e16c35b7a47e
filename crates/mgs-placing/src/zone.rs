//! Engines of the gateway's own availability zone first.
//!
//! The load that this answers: a hundred gateways share 172 engines in five zones. Whoever chooses among all of them
//! meets a hundred others that choose at the same moment; whoever chooses in its own zone meets twenty, surveys a
//! fifth of the engines, and the parts of its prompts lie together.
//!
//! It is done only where a zone has engines enough for the widest prompt, and only for a prompt that has time to spare
//! there. Any other is judged over all engines as well, and goes where it loses least.

use crate::choose::choose_engines;
use crate::choose::RandomDraw;
use crate::load_table::LoadTable;
use crate::model::EngineModel;
use crate::need::Need;
use crate::options::PlacementOptions;
use crate::placement::Candidate;
use crate::placement::Placement;
use crate::placement::PlacementError;

/// Engines that may take a prompt. Those that lie together stand together in both lists, and the first are taken where
/// several are as good.
#[derive(Debug, Clone, Copy)]
pub struct ZoneCandidates<'a> {
    /// Those in the gateway's own availability zone.
    pub own_zone: &'a [Candidate],
    /// All, the near ones included.
    pub all: &'a [Candidate],
}

/// Where a prompt was judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Among the engines of the gateway's own availability zone.
    Zone,
    /// Among all.
    Fleet,
}

/// A placement and where it was judged.
#[derive(Debug, Clone, PartialEq)]
pub struct ScopedPlacement {
    /// Where it goes.
    pub placement: Placement,
    /// Whom it competes with.
    pub scope: Scope,
}

/// Places a prompt in the own zone if that is as good, else anywhere. `draw` as for [`choose`].
///
/// ```
/// use mgs_fleet::view::EndpointKey;
/// use mgs_placing::load_table::LoadTable;
/// use mgs_placing::model::EngineModel;
/// use mgs_placing::zone::place_prompt;
/// use mgs_placing::zone::ZoneCandidates;
/// use mgs_placing::zone::Scope;
/// use mgs_placing::need::Need;
/// use mgs_placing::options::PlacementOptions;
/// use mgs_placing::placement::Candidate;
///
/// let need = Need {
///     prompt_tokens: 5_000,
///     output_tokens: 1_600,
///     expected_tokens: 800,
///     pause_ms: 250.0,
///     ttft_target_ms: 300.0,
///     ttft_left_ms: 300.0,
///     deadline_left_ms: 10_000.0,
///     patience_ms: 2_000.0,
/// };
/// let engine = |key| Candidate::of(EndpointKey(key));
/// let all: Vec<Candidate> = (0..100).map(engine).collect();
/// let zones = ZoneCandidates { own_zone: &all[..30], all: &all };
/// let (load_table, model, options) = (LoadTable::new(), EngineModel::default(), PlacementOptions::default());
/// let placed = place_prompt(&need, &zones, &load_table, &model, &options, 0.5, 0.0).unwrap();
/// assert_eq!(placed.scope, Scope::Zone);
/// assert!(placed.placement.lead.0 < 30);
/// ```
pub fn place_prompt(
    need: &Need,
    zones: &ZoneCandidates<'_>,
    load_table: &LoadTable,
    model: &EngineModel,
    options: &PlacementOptions,
    draw: f64,
    now_ms: f64,
) -> Result<ScopedPlacement, PlacementError> {
    let among = |candidates: &[Candidate]| {
        let share = candidates.len() as f64 / zones.all.len().max(1) as f64;
        choose_engines(
            need,
            candidates,
            load_table,
            model,
            options,
            RandomDraw { draw, share },
            now_ms,
        )
    };
    let near = match is_zone_large_enough(zones, options) {
        true => among(zones.own_zone).ok(),
        false => None,
    };
    let in_zone = |placement| ScopedPlacement {
        placement,
        scope: Scope::Zone,
    };
    if let Some(placement) = near
        .as_ref()
        .filter(|near| has_time_to_spare(need, near, options))
    {
        return Ok(in_zone(placement.clone()));
    }
    let anywhere = among(zones.all);
    match (near, anywhere) {
        (Some(near), Ok(far)) if near.loss_units <= far.loss_units => Ok(in_zone(near)),
        (Some(near), Err(_)) => Ok(in_zone(near)),
        (_, anywhere) => anywhere.map(|placement| ScopedPlacement {
            placement,
            scope: Scope::Fleet,
        }),
    }
}

/// Whether the own zone has engines enough for the widest prompt, and isn't all that there is.
fn is_zone_large_enough(zones: &ZoneCandidates<'_>, options: &PlacementOptions) -> bool {
    let least = options.engines_max as f64 * options.near_engines_factor;
    zones.own_zone.len() as f64 >= least && zones.own_zone.len() < zones.all.len()
}

/// Whether a prompt's first token comes with time to spare, and, if several engines read it, they are done with what was
/// sent before: else it would wait for its turn there while other zones have nothing to read.
fn has_time_to_spare(need: &Need, placement: &Placement, options: &PlacementOptions) -> bool {
    let must_wait = !placement.helpers.is_empty() && placement.backlog_ms > options.near_backlog_ms;
    !must_wait && placement.first_token_ms <= need.ttft_left_ms * options.near_aim_share
}
