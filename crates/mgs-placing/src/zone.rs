//! Preference for engines in the gateway's own availability zone.
//!
//! In a fleet of a hundred gateways that share 172 engines in five zones, a gateway that chooses
//! among all engines competes with a hundred others that choose at the same time. One that chooses
//! in its own zone competes with twenty, evaluates a fifth of the engines, and keeps the parts of
//! its prompts close together.
//!
//! The preference applies only where a zone has enough engines: for the widest prompt or, where
//! many gateways choose at the same time, for short streams if one engine prefills the prompt. It
//! applies only to prompts with time to spare in the zone. Any other prompt is also evaluated over all
//! engines and goes where it loses least.

use crate::choose::choose_engines;
use crate::choose::RandomDraw;
use crate::evaluation::may_share_prefill;
use crate::load_table::LoadTable;
use crate::model::EngineModel;
use crate::need::Need;
use crate::options::PlacementOptions;
use crate::placement::Candidate;
use crate::placement::Placement;
use crate::placement::PlacementError;

/// Engines that may take a prompt. In both lists engines close to each other are adjacent, and the
/// first of several equally good ones are chosen.
#[derive(Debug, Clone, Copy)]
pub struct ZoneCandidates<'a> {
    /// Engines in the gateway's own availability zone.
    pub own_zone: &'a [Candidate],
    /// All engines, including those in `own_zone`.
    pub all: &'a [Candidate],
}

/// The set of engines among which a prompt was placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The engines of the gateway's own availability zone.
    Zone,
    /// All engines.
    Fleet,
}

/// A placement and its scope.
#[derive(Debug, Clone, PartialEq)]
pub struct ScopedPlacement {
    /// Where the prompt goes.
    pub placement: Placement,
    /// The engines it was chosen from, and thus the prompts it competes with.
    pub scope: Scope,
}

/// Places a prompt in its own zone if that is as good, else anywhere. `draw` is the random number
/// of [`RandomDraw`].
///
/// # Errors
///
/// Returns a [`PlacementError`] as [`choose_engines`] does if no scope has a placement.
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
    let gateways = load_table.peer_count() + 1;
    let own_zone = match is_zone_large_enough(need, zones, gateways, model, options) {
        true => among(zones.own_zone).ok(),
        false => None,
    };
    let in_zone = |placement| ScopedPlacement {
        placement,
        scope: Scope::Zone,
    };
    if let Some(placement) = own_zone
        .as_ref()
        .filter(|own_zone| has_time_to_spare(need, own_zone, options))
    {
        return Ok(in_zone(placement.clone()));
    }
    let fleet_wide = among(zones.all);
    match (own_zone, fleet_wide) {
        (Some(own_zone), Ok(best_of_all)) if own_zone.loss_units <= best_of_all.loss_units => {
            Ok(in_zone(own_zone))
        }
        (Some(own_zone), Err(_)) => Ok(in_zone(own_zone)),
        (_, fleet_wide) => fleet_wide.map(|placement| ScopedPlacement {
            placement,
            scope: Scope::Fleet,
        }),
    }
}

/// Whether the own zone has enough engines for the prompt and isn't the only zone.
fn is_zone_large_enough(
    need: &Need,
    zones: &ZoneCandidates<'_>,
    gateways: usize,
    model: &EngineModel,
    options: &PlacementOptions,
) -> bool {
    let are_many = options.are_many(gateways);
    let least = match are_many && !may_share_prefill(need, model, options) {
        true => options.near_engines_min as f64,
        false => options.engines_max as f64 * options.near_engines_factor,
    };
    zones.own_zone.len() as f64 >= least && zones.own_zone.len() < zones.all.len()
}

/// Whether a prompt's first token has time to spare and, if several engines prefill it, their
/// backlog is small. Otherwise it would wait for its turn in its zone while engines in other zones
/// have no prefill.
fn has_time_to_spare(need: &Need, placement: &Placement, options: &PlacementOptions) -> bool {
    let must_wait = !placement.helpers.is_empty() && placement.backlog_ms > options.near_backlog_ms;
    !must_wait && placement.first_token_ms <= need.ttft_left_ms * options.near_aim_share
}
