//! Makes a prompt wait until it is dispatched or refused.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mgs_fleet::view::EndpointKey;
use mgs_placing::dispatch;
use mgs_placing::dispatch::DispatchDecision;
use mgs_placing::length_counts::LengthBand;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::placement::Candidate;
use mgs_placing::placement::Placement;
use mgs_placing::placement::PlacementError;
use mgs_placing::queue_demand::QueuedPrompt;
use mgs_placing::queue_order::QueueHeads;
use mgs_placing::queue_order::Score;
use mgs_placing::zone::place_prompt;
use mgs_placing::zone::Scope;
use mgs_placing::zone::ScopedPlacement;
use mgs_placing::zone::ZoneCandidates;
use tokio::time::sleep;

use crate::core::Core;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::place::active_endpoints;
use crate::place::eligible_endpoints;
use crate::place::is_on_probation;
use crate::place::no_endpoint;
use crate::place::Prompt;
use crate::place::TriedEndpoints;
use crate::place_log;
use crate::view::Endpoint;
use crate::view::Fleet;

/// Least `Retry-After` under load, in milliseconds: some answers have ended by then, and a client
/// that returns sooner only meets the same load.
pub(crate) const RETRY_AFTER_MIN_MS: u64 = 150;

/// Largest `Retry-After` under load, in milliseconds.
pub(crate) const RETRY_AFTER_MAX_MS: u64 = 3_000;

/// Interval at which a waiting prompt checks whether it may be dispatched.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(12);

/// Polls after which a prompt that isn't first in its queue computes its placement again. Choosing
/// engines costs more than comparing scores, and dozens may wait on a host with a tenth of a core.
const POLLS_PER_PLACEMENT: u32 = 20;

/// Short prompts ahead in the wait for a spare slot that add one poll interval to the wait: some of
/// them find a slot at each poll.
const AHEAD_PER_POLL: usize = 4;

/// A prompt that may be dispatched now.
pub(crate) struct ReadyPrompt {
    /// Its need, with the time left now.
    pub(crate) need: Need,
    /// The chosen engines.
    pub(crate) placement: Placement,
    /// The fleet that the placement refers to; a newer one may lack the chosen engines.
    pub(crate) fleet: Arc<Fleet>,
    /// How long it waited.
    pub(crate) waited: WaitTimes,
}

/// How long a prompt has waited for its dispatch, by cause.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WaitTimes {
    /// While others were ahead of it in its queue, in milliseconds.
    pub(crate) behind_ms: u64,
    /// While it was first and its engines were still busy with earlier prompts, in milliseconds.
    pub(crate) first_ms: u64,
}

/// Waits until the prompt may be dispatched, or returns a refusal.
pub(crate) async fn wait_for_dispatch(
    prompt: &Prompt<'_>,
    band: Option<LengthBand>,
    need: impl Fn() -> Need,
    tried: &TriedEndpoints,
) -> Result<ReadyPrompt, Refusal> {
    let core = prompt.core;
    let entry = QueueEntry::new(core);
    let mut is_arrival = prompt.tried.is_empty() && tried.is_empty();
    loop {
        let need = need();
        let fleet = core.published.fleet();
        let ScopedPlacement { placement, scope } = choose_engines(prompt, &fleet, &need, tried)?;
        let options = &core.options.dispatch;
        // Short prompts have no such queue, and a hundred arrive per second, so the counts of peers
        // aren't summed for them.
        let sent_ratio = band.map_or(1.0, |band| core.sent_ratio(band));
        let own = dispatch::score(&need, &placement, prompt.model, sent_ratio, options);
        let waiting = dispatch::WaitingPrompt {
            need: &need,
            placement: &placement,
            model: prompt.model,
            score: own,
            others: entry.others(scope),
            ahead: entry.ahead(),
            spare_per_s: core.spare.borrow().per_s(core.now_ms()),
            gateways: gateways(core, scope),
        };
        let is_short = waiting.is_short(options);
        let decision = dispatch::decide(&waiting, options);
        if is_arrival {
            core.check_arrival(prompt, &fleet, &waiting, decision)?;
            is_arrival = false;
        }
        match decision {
            DispatchDecision::Dispatch
                if is_short && dispatch::needs_spare_slot(&waiting, options) =>
            {
                core.spare.borrow_mut().record(core.now_ms());
                return Ok(entry.ready(need, placement, fleet));
            }
            DispatchDecision::Dispatch => return Ok(entry.ready(need, placement, fleet)),
            DispatchDecision::Refuse => {
                let wait_ms = match is_short {
                    true => waiting.spare_slot_wait_ms(options),
                    false => placement.backlog_ms,
                };
                return Err(refuse_too_late(prompt, &need, &placement, wait_ms));
            }
            DispatchDecision::Wait if is_returned_on_drain(core, &waiting) => {
                return Err(Refusal::leaving());
            }
            DispatchDecision::Wait => {}
        }
        let is_new = match is_short {
            true => entry.list_for_spare(),
            false => entry.list(QueuedPrompt {
                score: own,
                prefill_ms: prompt.model.prefill_ms(need.prompt_tokens),
            }),
        };
        match (is_new, is_short) {
            (true, true) => place_log::waits_for_slot(prompt, &waiting),
            (true, false) => place_log::waits_in_queue(prompt, &waiting),
            (false, _) => {}
        }
        match is_short {
            true => entry.sleep_until_spare_check().await,
            false => entry.sleep_until_first(own, scope).await,
        }
    }
}

/// Whether this host drains, and the waiting prompt wouldn't end before it stops.
fn is_returned_on_drain(core: &Core, waiting: &dispatch::WaitingPrompt<'_>) -> bool {
    let left_ms = core.drain.left_ms();
    left_ms.is_some_and(|left_ms| {
        dispatch::should_return_to_client(waiting, left_ms, &core.options.dispatch)
    })
}

/// Lists a prompt as waiting until dropped.
struct QueueEntry {
    core: Rc<Core>,
    number: u64,
    waited: Cell<WaitTimes>,
}

impl QueueEntry {
    fn new(core: &Rc<Core>) -> Self {
        let number = core.next_serial();
        Self {
            core: core.clone(),
            number,
            waited: Cell::default(),
        }
    }

    fn ready(&self, need: Need, placement: Placement, fleet: Arc<Fleet>) -> ReadyPrompt {
        let waited = self.waited.get();
        ReadyPrompt {
            need,
            placement,
            fleet,
            waited,
        }
    }

    /// Lists the prompt with its score; returns whether it wasn't listed before.
    fn list(&self, queued: QueuedPrompt) -> bool {
        let before = self.core.waiting.borrow_mut().insert(self.number, queued);
        if before != Some(queued) {
            self.core.broadcast_wanted.notify_one();
        }
        before.is_none()
    }

    /// Lists the prompt among the short ones that wait for a spare slot; returns whether it wasn't
    /// listed before.
    fn list_for_spare(&self) -> bool {
        self.core.waiting_for_spare.borrow_mut().insert(self.number)
    }

    /// Number of short prompts that have waited for a spare slot for longer.
    fn ahead(&self) -> usize {
        let waiting = self.core.waiting_for_spare.borrow();
        waiting.range(..self.number).count()
    }

    /// Sleeps until the next poll, longer the more prompts are ahead.
    async fn sleep_until_spare_check(&self) {
        let polls = (1 + self.ahead() / AHEAD_PER_POLL).min(POLLS_PER_PLACEMENT as usize);
        sleep(QUEUE_POLL_INTERVAL * polls as u32).await;
    }

    /// Sleeps until the prompt is first in its queue, for at most [`POLLS_PER_PLACEMENT`] polls.
    async fn sleep_until_first(&self, own: Score, scope: Scope) {
        for _ in 0..POLLS_PER_PLACEMENT {
            sleep(QUEUE_POLL_INTERVAL).await;
            let is_first = own <= self.others(scope).head_for(own);
            self.record_poll(is_first);
            if is_first {
                return;
            }
        }
    }

    fn record_poll(&self, is_first: bool) {
        let poll_ms = QUEUE_POLL_INTERVAL.as_millis() as u64;
        let mut waited = self.waited.get();
        match is_first {
            true => waited.first_ms += poll_ms,
            false => waited.behind_ms += poll_ms,
        }
        self.waited.set(waited);
    }

    /// Least scores of the other waiting prompts, here and at peers whose prompts wait for the same
    /// engines.
    fn others(&self, scope: Scope) -> QueueHeads {
        let waiting = self.core.waiting.borrow();
        let others = waiting.iter().filter(|(number, _)| **number != self.number);
        let here = others.fold(QueueHeads::default(), |heads, (_, queued)| {
            heads.with_score(queued.score)
        });
        let load_table = self.core.load_table.borrow();
        here.merge(match scope {
            Scope::Zone => load_table.peer_heads_in(self.core.zone),
            Scope::Fleet => load_table.peer_heads(),
        })
    }
}

/// Gateways that share the engines considered for a prompt, this one included.
fn gateways(core: &Core, scope: Scope) -> usize {
    match scope {
        Scope::Zone => core.load_table.borrow().peer_count_in(core.zone) + 1,
        Scope::Fleet => core.gateway_count.borrow().heard_gateways(),
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.core
            .waiting_for_spare
            .borrow_mut()
            .remove(&self.number);
        let waited = self.core.waiting.borrow_mut().remove(&self.number);
        if waited.is_some() {
            self.core.broadcast_wanted.notify_one();
        }
    }
}

fn choose_engines(
    prompt: &Prompt<'_>,
    fleet: &Fleet,
    need: &Need,
    tried: &TriedEndpoints,
) -> Result<ScopedPlacement, Refusal> {
    let core = prompt.core;
    let blocked = core.blocked_endpoints();
    let present = active_endpoints(core, fleet, prompt.service);
    let may_help = present.iter().filter(|e| !blocked.blocks_help(e));
    let may_help: Vec<Arc<Endpoint>> = may_help.cloned().collect();
    let mut endpoints = eligible_endpoints(core, &may_help, tried);
    if !present.is_empty() && endpoints.iter().all(|e| blocked.contains(e)) {
        return Err(blocked.refusal(&present, prompt.request_id));
    }
    let near = own_zone_first(core, &mut endpoints);
    let cold = core.cold_endpoints();
    let refusing = refusing_help(core, &endpoints);
    let candidate = |endpoint: &Arc<Endpoint>| Candidate {
        key: endpoint.key,
        slowness: core.slowness(endpoint.key),
        on_probation: is_on_probation(core, endpoint),
        can_help: !refusing.contains(&endpoint.key),
        can_lead: !blocked.contains(endpoint),
        is_cold: cold.contains(&endpoint.key),
    };
    let all: Vec<Candidate> = endpoints.iter().map(candidate).collect();
    register_pass_times(core, &all, prompt.model);
    let load_table = core.load_table.borrow();
    let options = &core.options.placing;
    let (draw, now_ms) = (core.random_unit(), core.now_ms());
    let place_among = |all: &[Candidate]| {
        let field = ZoneCandidates {
            own_zone: &all[..near],
            all,
        };
        place_prompt(
            need,
            &field,
            &load_table,
            prompt.model,
            options,
            draw,
            now_ms,
        )
    };
    let awaited = core.awaited_endpoints(&endpoints, |endpoint| !blocked.contains(endpoint));
    if !awaited.is_empty() {
        let preferred = without_leads(&all, &awaited);
        let chosen = place_among(&preferred).ok();
        let in_time = |c: &ScopedPlacement| c.placement.first_token_ms <= need.ttft_left_ms;
        if let Some(chosen) = chosen.filter(in_time) {
            return Ok(chosen);
        }
    }
    place_among(&all).map_err(|error| {
        let refusal = refusal_for(error);
        place_log::not_placed(prompt, need, all.len(), &error, &refusal);
        refusal
    })
}

/// The candidates, of which `others` may only help.
fn without_leads(candidates: &[Candidate], others: &HashSet<EndpointKey>) -> Vec<Candidate> {
    let restricted = |candidate: &Candidate| Candidate {
        can_lead: candidate.can_lead && !others.contains(&candidate.key),
        ..*candidate
    };
    candidates.iter().map(restricted).collect()
}

/// Endpoints among these that shouldn't be asked to help.
fn refusing_help(core: &Core, endpoints: &[Arc<Endpoint>]) -> HashSet<EndpointKey> {
    let helpers = core.helpers.borrow();
    if helpers.is_empty() {
        return HashSet::new();
    }
    let keys: Vec<EndpointKey> = endpoints.iter().map(|endpoint| endpoint.key).collect();
    helpers.refusing_endpoints(&keys, core.now_whole_ms(), core.fleet_confirmed_ms())
}

/// Moves the endpoints of this host's availability zone to the front and returns their number. They
/// keep the order common to all gateways but start at a random one, so that gateways that choose at
/// the same moment take different engines.
fn own_zone_first(core: &Core, endpoints: &mut [Arc<Endpoint>]) -> usize {
    let is_near = |endpoint: &Arc<Endpoint>| endpoint.facts.zone == core.options.zone;
    let first = endpoints.iter().position(is_near).unwrap_or(0);
    endpoints.rotate_left(first);
    let near = endpoints.iter().filter(|e| is_near(e)).count();
    let offset = core.random_below(near as u32) as usize;
    endpoints[..near].rotate_left(offset);
    near
}

/// Records the pass duration of the candidates; it is the same for all engines of a service.
fn register_pass_times(core: &Core, candidates: &[Candidate], model: &EngineModel) {
    let pass_ms = model.min_pass_ms();
    let mut load_table = core.load_table.borrow_mut();
    for candidate in candidates {
        load_table.set_pass_ms(candidate.key, pass_ms);
    }
}

/// Refuses a prompt that can't end in time any more without costing others more than it is worth.
fn refuse_too_late(
    prompt: &Prompt<'_>,
    need: &Need,
    placement: &Placement,
    backlog_ms: f64,
) -> Refusal {
    let error = PlacementError::TooLate { backlog_ms };
    let refusal = refusal_for(error);
    place_log::not_placed(prompt, need, placement.snapshot.engines, &error, &refusal);
    refusal
}

fn refusal_for(error: PlacementError) -> Refusal {
    let after = |backlog_ms: f64| (backlog_ms as u64).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    match error {
        PlacementError::NoEndpoint => no_endpoint(),
        PlacementError::TooLarge => Refusal::of(Fault::TooLarge),
        PlacementError::TooLate { backlog_ms } => Refusal::after(Fault::TooLate, after(backlog_ms)),
        PlacementError::Full { backlog_ms, .. } => Refusal::after(Fault::Full, after(backlog_ms)),
    }
}
