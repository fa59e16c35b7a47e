//! From a request to the endpoints that serve it: the fleet and the board put before `mgs-placing`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mgs_fleet::view::EndpointKey;
use mgs_placing::board::Held;
use mgs_placing::choose::choose;
use mgs_placing::choose::is_long;
use mgs_placing::line::Firsts;
use mgs_placing::line::Score;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::plain;
use mgs_placing::streams::Streams;
use mgs_placing::turn;
use mgs_placing::turn::Turn;
use mgs_placing::way::Candidate;
use mgs_placing::way::NoPlace;
use mgs_placing::way::Placement;
use mgs_routing::outlier::Standing;
use tokio::time::sleep;

use crate::core::Core;
use crate::dialect::Helper;
use crate::drain::Phase;
use crate::drain::RETRY_AFTER_LEAVING_MS;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::grant::Grant;
use crate::memory::Reservations;
use crate::view::Endpoint;
use crate::view::Fleet;

/// Least time after which a client is asked to come back, in milliseconds: a few answers have ended by
/// then, and a client that returns sooner only meets the same load.
const RETRY_AFTER_MIN_MS: u64 = 150;

/// Most time after which a client is asked to come back, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 3_000;

/// When clients may come back if no endpoint is known, in milliseconds: the fleet is read each second or
/// two.
const RETRY_AFTER_NO_ENDPOINT_MS: u64 = 500;

/// How many times a prompt's memory is asked for anew, at other engines, before its client is asked to
/// come back.
const RESERVE_TRIES: usize = 3;

/// Where a dispatch goes and what it holds.
pub(crate) struct Placed {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) helpers: Vec<Helper>,
    pub(crate) helper_keys: Vec<EndpointKey>,
    pub(crate) grant: Grant,
    /// Kept until the request ends.
    pub(crate) _reservations: Reservations,
    /// Predicted time to the first token, in milliseconds; 0 without a prediction.
    pub(crate) first_token_ms: f64,
    /// How long to wait before it is sent, in milliseconds.
    pub(crate) hold_ms: f64,
}

impl Placed {
    /// Whether all its endpoints are still listed and none of them leaves.
    pub(crate) fn is_present(&self, fleet: &Fleet) -> bool {
        let stays = |key: &EndpointKey| fleet.by_key.get(key).is_some_and(|e| !e.facts.is_leaving);
        stays(&self.endpoint.key) && self.helper_keys.iter().all(stays)
    }
}

/// Endpoints that already failed this request.
pub(crate) type Tried = Vec<EndpointKey>;

/// Endpoints of a service that may take something now. Those that were tried or are passed over count
/// only if there is no other.
fn usable(core: &Core, fleet: &Fleet, service: &str, tried: &Tried) -> Vec<Arc<Endpoint>> {
    let present: Vec<Arc<Endpoint>> = fleet
        .of_service(service)
        .iter()
        .filter(|endpoint| !endpoint.facts.is_leaving)
        .cloned()
        .collect();
    core.outliers.known(present.len());
    let now_ms = core.now_whole_ms();
    let stands = |endpoint: &Arc<Endpoint>| {
        core.outliers.standing(endpoint.key, now_ms) != Standing::Ejected
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
    present
}

fn on_trial(core: &Core, endpoint: &Endpoint) -> bool {
    let now_ms = core.now_whole_ms();
    core.outliers.standing(endpoint.key, now_ms) != Standing::Good
}

/// Places a call of a plain service.
pub(crate) fn plain(
    core: &Rc<Core>,
    service: &str,
    tried: &Tried,
    request_id: &str,
) -> Result<Placed, Refusal> {
    let fleet = core.published.fleet();
    let endpoints = usable(core, &fleet, service, tried);
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
        endpoint = endpoint.facts.id,
        running_calls = core.board.borrow().held(endpoint.key).calls,
        usable_endpoints = candidates.len(),
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
        _reservations: Reservations::none(core),
        first_token_ms: 0.0,
        hold_ms: 0.0,
    })
}

fn no_endpoint() -> Refusal {
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
    let mut avoided = prompt.tried.clone();
    for _ in 0..RESERVE_TRIES {
        let (need, placement) = await_turn(prompt, &need, &avoided).await?;
        let fleet = core.published.fleet();
        log_placement(core, prompt.request_id, &fleet, &need, &placement);
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
    Err(Refusal::after(Fault::Full, RETRY_AFTER_MIN_MS))
}

/// Time between two looks whether it is a prompt's turn.
const TURN_LOOK: Duration = Duration::from_millis(12);

/// Looks after which a prompt that isn't first in line judges its chances anew: choosing engines costs
/// more than comparing scores, and dozens may wait on a host with a tenth of a core.
const LOOKS_PER_JUDGEMENT: u32 = 20;

/// Short prompts that wait for a spare place and are looked at together: some find one at each look.
const AHEAD_PER_LOOK: usize = 4;

/// Waits until it is the prompt's turn.
async fn await_turn(
    prompt: &Prompt<'_>,
    need: impl Fn() -> Need,
    tried: &Tried,
) -> Result<(Need, Placement), Refusal> {
    let core = prompt.core;
    let waiting = Waiting::new(core);
    loop {
        let need = need();
        let placement = choose_engines(prompt, &need, tried)?;
        let own = turn::score(&need, &placement, prompt.model);
        let best_other = waiting.best_other(own);
        let asked = turn::Waiting {
            need: &need,
            placement: &placement,
            model: prompt.model,
            own,
            best_other,
            ahead: waiting.ahead(),
            spare_per_s: core.spare.borrow().per_s(core.now_ms()),
            gateways: core.gateways.get(),
        };
        let turns = &core.options.turns;
        let is_short = asked.is_short(turns);
        match turn::turn(&asked, turns) {
            Turn::Go if is_short && turn::takes_spare(&asked, turns) => {
                core.spare.borrow_mut().found(core.now_ms());
                return Ok((need, placement));
            }
            Turn::Go => return Ok((need, placement)),
            Turn::Refuse => {
                let wait_ms = match is_short {
                    true => asked.spare_ms(turns),
                    false => placement.backlog_ms,
                };
                return Err(too_late(prompt, &need, &placement, wait_ms));
            }
            // Another host has all of its time for it.
            Turn::Wait if core.drain.phase() != Phase::Serving => {
                return Err(Refusal::after(Fault::Leaving, RETRY_AFTER_LEAVING_MS));
            }
            Turn::Wait => {}
        }
        let is_new = match is_short {
            true => waiting.set_for_spare(),
            false => waiting.set(own),
        };
        match (is_new, is_short) {
            (true, true) => log_wait_for_place(prompt, &asked),
            (true, false) => log_wait(prompt, &need, &placement, own, best_other),
            (false, _) => {}
        }
        match is_short {
            true => waiting.until_near().await,
            false => waiting.until_first(own).await,
        }
    }
}

fn log_wait_for_place(prompt: &Prompt<'_>, asked: &turn::Waiting<'_>) {
    log::info!(
        request_id = prompt.request_id,
        prompt_tokens = asked.need.prompt_tokens,
        aim_ms = asked.need.aim_ms as i64,
        left_ms = asked.need.left_ms as u64,
        ahead = asked.ahead,
        spare_per_s = asked.spare_per_s,
        gateways = asked.gateways,
        places_taken_permille = asked.placement.scene.places_taken_permille,
        predicted_first_token_ms = asked.placement.first_token_ms as u64;
        "waits for a place"
    );
}

fn log_wait(
    prompt: &Prompt<'_>,
    need: &Need,
    placement: &Placement,
    own: Score,
    best_other: Score,
) {
    log::info!(
        request_id = prompt.request_id,
        prompt_tokens = need.prompt_tokens,
        left_ms = need.left_ms as u64,
        score = own.0,
        best_other_score = best_other.0,
        engines_backlog_ms = placement.backlog_ms as u64,
        room = placement.scene.room,
        predicted_first_token_ms = placement.first_token_ms as u64;
        "waits for its turn"
    );
}

/// Lists a prompt among those that wait, until dropped.
struct Waiting {
    core: Rc<Core>,
    number: u64,
}

impl Waiting {
    fn new(core: &Rc<Core>) -> Self {
        let number = core.next_number();
        Self {
            core: core.clone(),
            number,
        }
    }

    /// Lists it with a score; tells whether it wasn't listed before.
    fn set(&self, score: Score) -> bool {
        let before = self.core.waiting.borrow_mut().insert(self.number, score);
        if before != Some(score) {
            self.core.board_changed.notify_one();
        }
        before.is_none()
    }

    /// Lists it among the short prompts that wait for a spare place; tells whether it wasn't listed before.
    fn set_for_spare(&self) -> bool {
        self.core.waiting_for_spare.borrow_mut().insert(self.number)
    }

    /// How many short prompts wait for a spare place since before it came.
    fn ahead(&self) -> usize {
        let waiting = self.core.waiting_for_spare.borrow();
        waiting.range(..self.number).count()
    }

    /// Waits for the next look, the longer the more wait before it.
    async fn until_near(&self) {
        let looks = (1 + self.ahead() / AHEAD_PER_LOOK).min(LOOKS_PER_JUDGEMENT as usize);
        sleep(TURN_LOOK * looks as u32).await;
    }

    /// Waits for the next look, or for more of them while others go first.
    async fn until_first(&self, own: Score) {
        for _ in 0..LOOKS_PER_JUDGEMENT {
            sleep(TURN_LOOK).await;
            if own <= self.best_other(own) {
                return;
            }
        }
    }

    /// The least score of the others in the line of `own`, here and at peers.
    fn best_other(&self, own: Score) -> Score {
        let waiting = self.core.waiting.borrow();
        let others = waiting.iter().filter(|(number, _)| **number != self.number);
        let here = others.fold(Firsts::default(), |firsts, (_, score)| firsts.with(*score));
        here.and(self.core.board.borrow().waiting()).in_line_of(own)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.core
            .waiting_for_spare
            .borrow_mut()
            .remove(&self.number);
        let waited = self.core.waiting.borrow_mut().remove(&self.number);
        if waited.is_some() {
            self.core.board_changed.notify_one();
        }
    }
}

fn choose_engines(prompt: &Prompt<'_>, need: &Need, tried: &Tried) -> Result<Placement, Refusal> {
    let core = prompt.core;
    let fleet = core.published.fleet();
    let endpoints = usable(core, &fleet, prompt.service, tried);
    let candidate = |endpoint: &Arc<Endpoint>| Candidate {
        key: endpoint.key,
        slowness: core.outliers.slowness(endpoint.key),
        trial: on_trial(core, endpoint),
    };
    let candidates: Vec<Candidate> = endpoints.iter().map(candidate).collect();
    know_passes(core, &candidates, prompt.model);
    let board = core.board.borrow();
    let options = &core.options.placing;
    let chosen = choose(
        need,
        &candidates,
        &board,
        prompt.model,
        options,
        core.now_ms(),
    );
    chosen.map_err(|no_place| {
        let refusal = refuse(no_place);
        log_refusal(prompt, need, candidates.len(), &refusal);
        refusal
    })
}

/// Engines of one service have passes of one length.
fn know_passes(core: &Core, candidates: &[Candidate], model: &EngineModel) {
    let pass_ms = model.bare_pass_ms();
    let mut board = core.board.borrow_mut();
    for candidate in candidates {
        board.know_pass(candidate.key, pass_ms);
    }
}

/// It has waited in vain: it can't end in time any more without more harm than it is worth.
fn too_late(prompt: &Prompt<'_>, need: &Need, placement: &Placement, backlog_ms: f64) -> Refusal {
    let refusal = refuse(NoPlace::TooLate { backlog_ms });
    log_refusal(prompt, need, placement.scene.engines, &refusal);
    refusal
}

fn log_refusal(prompt: &Prompt<'_>, need: &Need, usable: usize, refusal: &Refusal) {
    let core = prompt.core;
    log::info!(
        request_id = prompt.request_id,
        service = prompt.service,
        reason = refusal.fault.name(),
        retry_after_ms = refusal.retry_after_ms.unwrap_or(0),
        prompt_tokens = need.prompt_tokens,
        left_ms = need.left_ms as u64,
        usable_engines = usable,
        tried = prompt.tried.len(),
        waiting_here = core.waiting.borrow().len(),
        peers = core.board.borrow().peers(),
        fleet_age_ms = core.published.fleet_age_ms().unwrap_or(u64::MAX);
        "not placed"
    );
}

fn refuse(no_place: NoPlace) -> Refusal {
    let after = |backlog_ms: f64| (backlog_ms as u64).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    match no_place {
        NoPlace::NoEndpoint => no_endpoint(),
        NoPlace::TooLarge => Refusal::of(Fault::TooLarge),
        NoPlace::TooLate { backlog_ms } => Refusal::after(Fault::TooLate, after(backlog_ms)),
        NoPlace::Full { backlog_ms } => Refusal::after(Fault::Full, after(backlog_ms)),
    }
}

fn hold(prompt: &Prompt<'_>, need: &Need, placement: &Placement) -> Grant {
    let core = prompt.core;
    let model = prompt.model;
    let is_long = is_long(need, model, &core.options.placing);
    let passes = model.passes(need.expected_tokens);
    let reserved: u64 = placement.reserves.iter().map(|r| r.tokens).sum();
    let at_first = need.memory_tokens().saturating_sub(reserved);
    let writer = Held {
        streams: vec![Streams::one(
            need.pause_ms,
            is_long,
            need.units(model),
            passes,
        )],
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
        _reservations: reservations,
        first_token_ms: placement.first_token_ms,
        hold_ms: placement.hold_ms,
    })
}

fn log_placement(core: &Core, request_id: &str, fleet: &Fleet, need: &Need, placement: &Placement) {
    let first = fleet.by_key.get(&placement.first);
    let endpoint = first.map_or("gone", |endpoint| endpoint.facts.id.as_str());
    let helpers: Vec<&str> = placement
        .helpers
        .iter()
        .filter_map(|key| fleet.by_key.get(key))
        .map(|endpoint| endpoint.facts.id.as_str())
        .collect();
    log::info!(
        request_id = request_id,
        endpoint = endpoint,
        prompt_tokens = need.prompt_tokens,
        output_tokens = need.output_tokens,
        engines = placement.helpers.len() + 1,
        helpers = helpers.join(" "),
        reservations = placement.reserves.len(),
        read_ms = placement.read_ms as u64,
        hold_ms = placement.hold_ms as u64,
        predicted_first_token_ms = placement.first_token_ms as u64,
        left_ms = need.left_ms as u64,
        loss_milliunits = (placement.loss_units * 1e3) as u64,
        room = placement.scene.room,
        usable_engines = placement.scene.engines,
        engines_with_short_streams = placement.scene.with_short_streams,
        engines_with_other_streams = placement.scene.with_other_streams,
        engines_without_reading = placement.scene.without_reading,
        engines_with_late_prompts = placement.scene.late_engines,
        is_late = placement.is_late,
        backlog_ms = placement.scene.backlog_ms,
        fleet_age_ms = core.published.fleet_age_ms().unwrap_or(u64::MAX),
        peers = core.board.borrow().peers();
        "placed"
    );
}
