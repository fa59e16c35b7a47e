//! From a request to the endpoints that serve it: the fleet and the board put before `mgs-placing`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use mgs_fleet::view::EndpointKey;
use mgs_placing::board::Held;
use mgs_placing::choose::is_long;
use mgs_placing::lengths::Band;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::plain;
use mgs_placing::streams::Streams;
use mgs_placing::turn;
use mgs_placing::way::Placement;
use mgs_routing::outlier::Health;

use crate::core::Core;
use crate::dialect::Helper;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::grant::Grant;
use crate::memory::Reservations;
use crate::place_log;
use crate::view::Endpoint;
use crate::view::Fleet;
use crate::wait;

/// When clients may come back if no endpoint is known, in milliseconds: the fleet is read each second or
/// two.
pub(crate) const RETRY_AFTER_NO_ENDPOINT_MS: u64 = 500;

/// How many times a prompt's memory is asked for anew, at other engines, before its client is asked to
/// come back.
const RESERVE_TRIES: usize = 3;

/// Where a dispatch goes and what it holds.
pub(crate) struct Placed {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) helpers: Vec<Helper>,
    pub(crate) helper_keys: Vec<EndpointKey>,
    pub(crate) grant: Grant,
    /// Kept until the request ends or goes on elsewhere.
    pub(crate) reservations: Reservations,
    /// Predicted time to the first token, in milliseconds; 0 without a prediction.
    pub(crate) first_token_ms: f64,
    /// How long to wait before it is sent, in milliseconds.
    pub(crate) hold_ms: f64,
}

impl Placed {
    /// Gives back its places and memory: the run that used them is over.
    pub(crate) fn give_back(&mut self, core: &Rc<Core>) {
        self.grant = Grant::take(core, Vec::new(), Vec::new(), 0.0);
        self.reservations = Reservations::none(core);
    }

    /// Whether all its endpoints are still listed and none of them leaves.
    pub(crate) fn is_present(&self, fleet: &Fleet) -> bool {
        let stays = |key: &EndpointKey| fleet.by_key.get(key).is_some_and(|e| !e.facts.is_leaving);
        stays(&self.endpoint.key) && self.helper_keys.iter().all(stays)
    }
}

/// Endpoints that already failed this request.
pub(crate) type Tried = Vec<EndpointKey>;

/// Endpoints of a service that are listed and don't leave.
pub(crate) fn present(core: &Core, fleet: &Fleet, service: &str) -> Vec<Arc<Endpoint>> {
    let listed = fleet.of_service(service).iter();
    let present = listed.filter(|endpoint| !endpoint.facts.is_leaving);
    let present: Vec<Arc<Endpoint>> = present.cloned().collect();
    // Also those that are shut for now: of all of them, only so many may be passed over.
    core.outliers.set_endpoint_count(present.len());
    present
}

/// Those of the present endpoints that should take something. Those that were tried or are passed over count
/// only if there is no other.
pub(crate) fn usable(core: &Core, present: &[Arc<Endpoint>], tried: &Tried) -> Vec<Arc<Endpoint>> {
    let now_ms = core.now_whole_ms();
    // The entry of an endpoint that has ended lapses seconds later.
    let stands = |endpoint: &Arc<Endpoint>| {
        core.outliers.health(endpoint.key, now_ms) != Health::Ejected
            && !core.refuses_connections(endpoint.key)
    };
    let fresh = |endpoint: &Arc<Endpoint>| !tried.contains(&endpoint.key);
    let best = present.iter().filter(|e| stands(e) && fresh(e));
    let best: Vec<Arc<Endpoint>> = best.cloned().collect();
    if !best.is_empty() {
        return best;
    }
    let untried: Vec<Arc<Endpoint>> = present.iter().filter(|e| fresh(e)).cloned().collect();
    if !untried.is_empty() {
        return untried;
    }
    present.to_vec()
}

pub(crate) fn on_trial(core: &Core, endpoint: &Endpoint) -> bool {
    let now_ms = core.now_whole_ms();
    core.outliers.health(endpoint.key, now_ms) != Health::Healthy
}

/// Places a call of a plain service.
pub(crate) fn plain(
    core: &Rc<Core>,
    service: &str,
    tried: &Tried,
    request_id: &str,
) -> Result<Placed, Refusal> {
    let fleet = core.published.fleet();
    let present = present(core, &fleet, service);
    let shut = core.shut();
    let open: Vec<Arc<Endpoint>> = present
        .iter()
        .filter(|e| !shut.contains(e))
        .cloned()
        .collect();
    if open.is_empty() && !present.is_empty() {
        return Err(shut.refusal(&present, request_id));
    }
    let endpoints = usable(core, &open, tried);
    let candidate = |endpoint: &Arc<Endpoint>| plain::Candidate {
        key: endpoint.key,
        slots: endpoint.facts.slots,
        near: endpoint.facts.zone == core.options.zone,
        trial: on_trial(core, endpoint),
    };
    let candidates: Vec<plain::Candidate> = endpoints.iter().map(candidate).collect();
    let chosen = plain::choose(&candidates, &core.board.borrow());
    let endpoint = chosen
        .and_then(|key| fleet.by_key.get(&key))
        .ok_or_else(no_endpoint)?;
    log::info!(
        request_id = request_id,
        endpoint = endpoint.facts.incarnation.id,
        running_calls = core.board.borrow().held(endpoint.key).calls,
        usable_endpoints = candidates.len(),
        shut_endpoints = present.len() - open.len(),
        tried = tried.len(),
        fleet_age_ms = core.published.fleet_age_ms().unwrap_or(u64::MAX);
        "placed"
    );
    let held = Held {
        calls: 1,
        ..Held::default()
    };
    let grant = Grant::take(core, vec![(endpoint.key, held)], Vec::new(), 0.0);
    Ok(Placed {
        endpoint: endpoint.clone(),
        helpers: Vec::new(),
        helper_keys: Vec::new(),
        grant,
        reservations: Reservations::none(core),
        first_token_ms: 0.0,
        hold_ms: 0.0,
    })
}

pub(crate) fn no_endpoint() -> Refusal {
    Refusal::after(Fault::NoEndpoint, RETRY_AFTER_NO_ENDPOINT_MS)
}

/// One prompt to be placed.
pub(crate) struct Prompt<'a> {
    pub(crate) core: &'a Rc<Core>,
    pub(crate) request_id: &'a str,
    pub(crate) service: &'a str,
    pub(crate) model: &'a EngineModel,
    pub(crate) tried: &'a Tried,
}

/// Places a prompt once it is its turn; `need` tells what is left of its time.
pub(crate) async fn prompt(
    prompt: &Prompt<'_>,
    need: impl Fn() -> Need,
) -> Result<Placed, Refusal> {
    let core = prompt.core;
    let band = turn::band(&need(), prompt.model, &core.options.turns);
    if let Some(band) = band {
        core.lengths.borrow_mut().asked(band, core.now_ms());
    }
    let placed = place_in_turn(prompt, band, need).await?;
    if let Some(band) = band {
        core.lengths.borrow_mut().sent(band, core.now_ms());
    }
    Ok(placed)
}

async fn place_in_turn(
    prompt: &Prompt<'_>,
    band: Option<Band>,
    need: impl Fn() -> Need,
) -> Result<Placed, Refusal> {
    let core = prompt.core;
    let mut avoided = prompt.tried.clone();
    for _ in 0..RESERVE_TRIES {
        let turned = wait::for_turn(prompt, band, &need, &avoided).await?;
        place_log::placed(core, prompt.request_id, &turned);
        let (need, placement, fleet) = (turned.need, turned.placement, turned.fleet);
        let grant = hold(prompt, &need, &placement);
        if placement.reserves.is_empty() {
            let none = Reservations::none(core);
            return placed(&fleet, placement, grant, none);
        }
        if let Some(taken) = Reservations::take(core, &fleet, &placement.reserves).await {
            return placed(&fleet, placement, grant, taken);
        }
        // Whoever had no room has less than the board says.
        avoided.push(placement.first);
    }
    Err(Refusal::after(Fault::Full, wait::RETRY_AFTER_MIN_MS))
}

fn hold(prompt: &Prompt<'_>, need: &Need, placement: &Placement) -> Grant {
    let core = prompt.core;
    let model = prompt.model;
    let is_long = is_long(need, model, &core.options.placing);
    let passes = model.passes(need.expected_tokens);
    let reserved: u64 = placement.reserves.iter().map(|r| r.tokens).sum();
    let at_first = need.memory_tokens().saturating_sub(reserved);
    let stream = Streams::one(need.pause_ms, is_long, need.units(model), passes)
        .with_patience(need.patience_ms)
        .with_slack(need.slack_share(model, placement.first_token_ms));
    let writer = Held {
        streams: vec![stream],
        memory_tokens: small(at_first),
        ..Held::default()
    };
    let mut held = vec![(placement.first, writer)];
    for reserve in &placement.reserves {
        let memory = Held {
            memory_tokens: small(reserve.tokens),
            ..Held::default()
        };
        held.push((reserve.endpoint, memory));
    }
    let mut readers = placement.helpers.clone();
    readers.push(placement.first);
    if !placement.helpers.is_empty() {
        let part = Held {
            parts: 1,
            late_parts: u16::from(placement.is_late),
            shared_read_ms: placement.read_ms as u32,
            ..Held::default()
        };
        held.extend(readers.iter().map(|key| (*key, part.clone())));
    }
    Grant::take(core, held, readers, placement.read_ms)
}

fn small(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

fn placed(
    fleet: &Fleet,
    placement: Placement,
    grant: Grant,
    reservations: Reservations,
) -> Result<Placed, Refusal> {
    let address_of = |key: &EndpointKey| fleet.by_key.get(key).map(|e| e.facts.address);
    let first = fleet.by_key.get(&placement.first).ok_or_else(no_endpoint)?;
    // Reservations are filled in turn, so their holders come first, as placed.
    let addresses: Vec<SocketAddr> = placement.helpers.iter().filter_map(address_of).collect();
    let helper = |address: SocketAddr| Helper {
        address,
        reservation: reservations.at(address),
    };
    let helpers = addresses.into_iter().map(helper).collect();
    Ok(Placed {
        endpoint: first.clone(),
        helpers,
        helper_keys: placement.helpers,
        grant,
        reservations,
        first_token_ms: placement.first_token_ms,
        hold_ms: placement.hold_ms,
    })
}
