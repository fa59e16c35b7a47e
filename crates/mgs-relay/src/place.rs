//! Chooses the endpoints of a request: prepares the fleet and the load table for `mgs-placing`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use mgs_backpressure::warm_up::Permit;
use mgs_fleet::view::EndpointKey;
use mgs_placing::choose::is_long;
use mgs_placing::dispatch;
use mgs_placing::length_counts::LengthBand;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::placement::Placement;
use mgs_placing::plain;
use mgs_placing::stream_group::StreamGroup;
use mgs_routing::outlier::Health;

use crate::core::Core;
use crate::dialect::Helper;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::first_answers::InProgress;
use crate::load_guard::LoadGuard;
use crate::place_log;
use crate::reservations::Reservations;
use crate::view::Endpoint;
use crate::view::Fleet;
use crate::wait;

/// `Retry-After` if no endpoint is known, in milliseconds; the fleet is read every second or two.
pub(crate) const RETRY_AFTER_NO_ENDPOINT_MS: u64 = 500;

/// Attempts to reserve a prompt's memory, at other engines each time, before it is refused.
const RESERVE_ATTEMPTS: usize = 3;

/// The endpoints chosen for a dispatch, and the load and memory held there.
pub(crate) struct PlacedRequest {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) helpers: Vec<Helper>,
    pub(crate) helper_keys: Vec<EndpointKey>,
    pub(crate) load_guard: LoadGuard,
    /// Kept until the request ends or is placed elsewhere.
    pub(crate) _in_progress: InProgress,
    /// Kept until the request ends or is dispatched elsewhere.
    pub(crate) reservations: Reservations,
    /// Predicted time to the first token, in milliseconds; 0 without a prediction.
    pub(crate) first_token_ms: f64,
    /// How long to wait before the dispatch, in milliseconds.
    pub(crate) hold_ms: f64,
    /// The permission to send it, if the endpoint is cold.
    pub(crate) permit: Permit,
}

impl PlacedRequest {
    /// Releases load and memory once the run that used them is over.
    pub(crate) fn release(&mut self, core: &Rc<Core>) {
        self.load_guard = LoadGuard::take(core, Vec::new(), Vec::new(), 0.0);
        self.reservations = Reservations::none(core);
    }

    /// Whether all its endpoints are still listed and none of them is leaving.
    pub(crate) fn is_present(&self, fleet: &Fleet) -> bool {
        let stays = |key: &EndpointKey| fleet.by_key.get(key).is_some_and(|e| !e.facts.is_leaving);
        stays(&self.endpoint.key) && self.helper_keys.iter().all(stays)
    }
}

/// Endpoints that have already failed this request.
pub(crate) type TriedEndpoints = Vec<EndpointKey>;

/// Endpoints of a service that are listed and not leaving.
pub(crate) fn active_endpoints(core: &Core, fleet: &Fleet, service: &str) -> Vec<Arc<Endpoint>> {
    let listed = fleet.of_service(service).iter();
    let present = listed.filter(|endpoint| !endpoint.facts.is_leaving);
    let present: Vec<Arc<Endpoint>> = present.cloned().collect();
    // Includes blocked endpoints: the number of endpoints that may be ejected depends on all.
    core.outliers.set_endpoint_count(present.len());
    present
}

/// Those of the present endpoints that should be chosen from. Tried, ejected and unreachable ones
/// are returned only if there is no other.
pub(crate) fn eligible_endpoints(
    core: &Core,
    present: &[Arc<Endpoint>],
    tried: &TriedEndpoints,
) -> Vec<Arc<Endpoint>> {
    let now_ms = core.now_whole_ms();
    // The entry of a crashed endpoint lapses only seconds later, so refused connections count here.
    let is_healthy = |endpoint: &Arc<Endpoint>| {
        core.outliers.health(endpoint.key, now_ms) != Health::Ejected
            && !core.refuses_connections(endpoint.key)
    };
    let is_untried = |endpoint: &Arc<Endpoint>| !tried.contains(&endpoint.key);
    let best = present.iter().filter(|e| is_healthy(e) && is_untried(e));
    let best: Vec<Arc<Endpoint>> = best.cloned().collect();
    if !best.is_empty() {
        return best;
    }
    let untried: Vec<Arc<Endpoint>> = present.iter().filter(|e| is_untried(e)).cloned().collect();
    if !untried.is_empty() {
        return untried;
    }
    present.to_vec()
}

pub(crate) fn is_on_probation(core: &Core, endpoint: &Endpoint) -> bool {
    let now_ms = core.now_whole_ms();
    core.outliers.health(endpoint.key, now_ms) != Health::Healthy
}

/// Places a call of a service that has no engine model.
pub(crate) fn place_call(
    core: &Rc<Core>,
    service: &str,
    tried: &TriedEndpoints,
    request_id: &str,
) -> Result<PlacedRequest, Refusal> {
    let fleet = core.published.fleet();
    let present = active_endpoints(core, &fleet, service);
    let blocked = core.blocked_endpoints();
    let allowed: Vec<Arc<Endpoint>> = present
        .iter()
        .filter(|e| !blocked.contains(e))
        .cloned()
        .collect();
    if allowed.is_empty() && !present.is_empty() {
        return Err(blocked.refusal(&present, request_id));
    }
    let mut endpoints = eligible_endpoints(core, &allowed, tried);
    let awaited = core.awaited_endpoints(&endpoints, |endpoint| has_free_slot(core, endpoint));
    endpoints.retain(|endpoint| !awaited.contains(&endpoint.key));
    core.put_cold_last(&mut endpoints);
    let candidate = |endpoint: &Arc<Endpoint>| plain::Candidate {
        key: endpoint.key,
        slots: endpoint.facts.slots,
        in_own_zone: endpoint.facts.zone == core.options.zone,
        on_probation: is_on_probation(core, endpoint),
    };
    let candidates: Vec<plain::Candidate> = endpoints.iter().map(candidate).collect();
    let chosen = plain::choose_endpoint(&candidates, &core.load_table.borrow());
    let endpoint = chosen
        .and_then(|key| fleet.by_key.get(&key))
        .ok_or_else(no_endpoint)?;
    log::info!(
        request_id = request_id,
        endpoint = endpoint.facts.incarnation.id,
        running_calls = core.load_table.borrow().load(endpoint.key).calls,
        usable_endpoints = candidates.len(),
        shut_endpoints = present.len() - allowed.len(),
        awaited_endpoints = awaited.len(),
        tried = tried.len(),
        fleet_age_ms = core.published.fleet_age_ms().unwrap_or(u64::MAX);
        "placed"
    );
    let load = EndpointLoad {
        calls: 1,
        ..EndpointLoad::default()
    };
    let load_guard = LoadGuard::take(core, vec![(endpoint.key, load)], Vec::new(), 0.0);
    Ok(PlacedRequest {
        endpoint: endpoint.clone(),
        helpers: Vec::new(),
        helper_keys: Vec::new(),
        load_guard,
        _in_progress: InProgress::begin(core, endpoint),
        reservations: Reservations::none(core),
        first_token_ms: 0.0,
        hold_ms: 0.0,
        permit: Permit::default(),
    })
}

fn has_free_slot(core: &Core, endpoint: &Endpoint) -> bool {
    let calls = core.load_table.borrow().load(endpoint.key).calls;
    u32::from(calls) < endpoint.facts.slots
}

pub(crate) fn no_endpoint() -> Refusal {
    Refusal::after(Fault::NoEndpoint, RETRY_AFTER_NO_ENDPOINT_MS)
}

/// A prompt to place, with the context of its placement.
pub(crate) struct Prompt<'a> {
    pub(crate) core: &'a Rc<Core>,
    pub(crate) request_id: &'a str,
    pub(crate) service: &'a str,
    pub(crate) model: &'a EngineModel,
    pub(crate) tried: &'a TriedEndpoints,
}

/// Places a prompt once it may be dispatched. `need` returns the current need, with the time left
/// now.
pub(crate) async fn place_prompt(
    prompt: &Prompt<'_>,
    need: impl Fn() -> Need,
) -> Result<PlacedRequest, Refusal> {
    let core = prompt.core;
    let band = dispatch::length_band(&need(), prompt.model, &core.options.dispatch);
    if let Some(band) = band {
        core.lengths.borrow_mut().count_asked(band, core.now_ms());
    }
    let placed = place_and_reserve(prompt, band, need).await?;
    if let Some(band) = band {
        core.lengths.borrow_mut().count_sent(band, core.now_ms());
    }
    Ok(placed)
}

async fn place_and_reserve(
    prompt: &Prompt<'_>,
    band: Option<LengthBand>,
    need: impl Fn() -> Need,
) -> Result<PlacedRequest, Refusal> {
    let core = prompt.core;
    let mut avoided = prompt.tried.clone();
    for _ in 0..RESERVE_ATTEMPTS {
        let ready = wait::wait_for_dispatch(prompt, band, &need, &avoided).await?;
        place_log::placed(core, prompt.request_id, &ready);
        let (need, placement, fleet) = (ready.need, ready.placement, ready.fleet);
        let load_guard = take_load_guard(prompt, &need, &placement);
        let lead = fleet.by_key.get(&placement.lead).ok_or_else(no_endpoint)?;
        let in_progress = InProgress::begin(core, lead);
        if placement.reservations.is_empty() {
            let none = Reservations::none(core);
            return Ok(placed_request(
                &fleet,
                lead,
                placement,
                load_guard,
                in_progress,
                none,
            ));
        }
        if let Some(taken) = Reservations::reserve_all(core, &fleet, &placement.reservations).await
        {
            return Ok(placed_request(
                &fleet,
                lead,
                placement,
                load_guard,
                in_progress,
                taken,
            ));
        }
        // An engine that refused has less memory free than the load table shows.
        avoided.push(placement.lead);
    }
    Err(Refusal::after(Fault::Full, wait::RETRY_AFTER_MIN_MS))
}

fn take_load_guard(prompt: &Prompt<'_>, need: &Need, placement: &Placement) -> LoadGuard {
    let core = prompt.core;
    let model = prompt.model;
    let is_long = is_long(need, model, &core.options.placing);
    let passes = model.passes_for(need.expected_tokens);
    let reserved: u64 = placement.reservations.iter().map(|r| r.tokens).sum();
    let at_first = need.memory_tokens().saturating_sub(reserved);
    let stream = StreamGroup::single(need.pause_ms, is_long, need.worth_units(model), passes)
        .with_patience(need.patience_ms)
        .with_slack(need.slack_share(model, placement.first_token_ms));
    let writer = EndpointLoad {
        streams: vec![stream],
        memory_tokens: saturating_u32(at_first),
        ..EndpointLoad::default()
    };
    let mut loads = vec![(placement.lead, writer)];
    for reserve in &placement.reservations {
        let memory = EndpointLoad {
            memory_tokens: saturating_u32(reserve.tokens),
            ..EndpointLoad::default()
        };
        loads.push((reserve.endpoint, memory));
    }
    let mut prefill_endpoints = placement.helpers.clone();
    prefill_endpoints.push(placement.lead);
    if !placement.helpers.is_empty() {
        let part = EndpointLoad {
            parts: 1,
            late_parts: u16::from(placement.is_late),
            shared_read_ms: placement.prefill_ms as u32,
            ..EndpointLoad::default()
        };
        loads.extend(prefill_endpoints.iter().map(|key| (*key, part.clone())));
    }
    LoadGuard::take(core, loads, prefill_endpoints, placement.prefill_ms)
}

fn saturating_u32(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

fn placed_request(
    fleet: &Fleet,
    lead: &Arc<Endpoint>,
    placement: Placement,
    load_guard: LoadGuard,
    in_progress: InProgress,
    reservations: Reservations,
) -> PlacedRequest {
    let address_of = |key: &EndpointKey| fleet.by_key.get(key).map(|e| e.facts.address);
    // Engines fill reservations in this order, so the helpers that hold them come first, as placed.
    let addresses: Vec<SocketAddr> = placement.helpers.iter().filter_map(address_of).collect();
    let helper = |address: SocketAddr| Helper {
        address,
        reservation: reservations.id_at(address),
    };
    let helpers = addresses.into_iter().map(helper).collect();
    PlacedRequest {
        endpoint: lead.clone(),
        helpers,
        helper_keys: placement.helpers,
        load_guard,
        _in_progress: in_progress,
        reservations,
        first_token_ms: placement.first_token_ms,
        hold_ms: placement.hold_ms,
        permit: Permit::default(),
    }
}
