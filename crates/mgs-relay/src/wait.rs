//! The wait of a prompt until it is its turn, or until it is refused.

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
use mgs_placing::queue_order::QueueHeads;
use mgs_placing::queue_order::Score;
use mgs_placing::zone::place_prompt;
use mgs_placing::zone::Scope;
use mgs_placing::zone::ScopedPlacement;
use mgs_placing::zone::ZoneCandidates;
use tokio::time::sleep;

use crate::core::Core;
use crate::drain::RETRY_AFTER_LEAVING_MS;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::place::no_endpoint;
use crate::place::on_trial;
use crate::place::present;
use crate::place::usable;
use crate::place::Prompt;
use crate::place::Tried;
use crate::place_log;
use crate::view::Endpoint;
use crate::view::Fleet;

/// Least time after which a client is asked to come back, in milliseconds: a few answers have ended by
/// then, and a client that returns sooner only meets the same load.
pub(crate) const RETRY_AFTER_MIN_MS: u64 = 150;

/// Most time after which a client is asked to come back, in milliseconds.
pub(crate) const RETRY_AFTER_MAX_MS: u64 = 3_000;

/// Time between two looks whether it is a prompt's turn.
const TURN_LOOK: Duration = Duration::from_millis(12);

/// Looks after which a prompt that isn't first in line judges its chances anew: choosing engines costs
/// more than comparing scores, and dozens may wait on a host with a tenth of a core.
const LOOKS_PER_JUDGEMENT: u32 = 20;

/// Short prompts that wait for a spare place and are looked at together: some find one at each look.
const AHEAD_PER_LOOK: usize = 4;

/// A prompt whose turn has come.
pub(crate) struct Turned {
    /// What is left of its time now.
    pub(crate) need: Need,
    /// Where it goes.
    pub(crate) placement: Placement,
    /// The fleet by which it was placed: one that was read since may lack the engines chosen.
    pub(crate) fleet: Arc<Fleet>,
    /// How long it waited.
    pub(crate) waited: Waited,
}

/// How long a prompt has waited for its turn.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Waited {
    /// While others went before it in its line, in milliseconds.
    pub(crate) behind_ms: u64,
    /// While it was first and its engines weren't done with what was sent before, in milliseconds.
    pub(crate) first_ms: u64,
}

/// Waits until it is the prompt's turn.
pub(crate) async fn for_turn(
    prompt: &Prompt<'_>,
    band: Option<LengthBand>,
    need: impl Fn() -> Need,
    tried: &Tried,
) -> Result<Turned, Refusal> {
    let core = prompt.core;
    let waiting = Waiting::new(core);
    loop {
        let need = need();
        let fleet = core.published.fleet();
        let ScopedPlacement { placement, scope } = choose_engines(prompt, &fleet, &need, tried)?;
        let turns = &core.options.turns;
        // Short prompts stand in no line, and a hundred come in a second: what peers count isn't summed for them.
        let sent_ratio = band.map_or(1.0, |band| core.sent_ratio(band));
        let own = dispatch::score(&need, &placement, prompt.model, sent_ratio, turns);
        let asked = dispatch::WaitingPrompt {
            need: &need,
            placement: &placement,
            model: prompt.model,
            score: own,
            others: waiting.others(scope),
            ahead: waiting.ahead(),
            spare_per_s: core.spare.borrow().per_s(core.now_ms()),
            gateways: gateways(core, scope),
        };
        let is_short = asked.is_short(turns);
        match dispatch::decide(&asked, turns) {
            DispatchDecision::Dispatch if is_short && dispatch::needs_spare_slot(&asked, turns) => {
                core.spare.borrow_mut().record(core.now_ms());
                return Ok(waiting.turned(need, placement, fleet));
            }
            DispatchDecision::Dispatch => return Ok(waiting.turned(need, placement, fleet)),
            DispatchDecision::Refuse => {
                let wait_ms = match is_short {
                    true => asked.spare_slot_wait_ms(turns),
                    false => placement.backlog_ms,
                };
                return Err(too_late(prompt, &need, &placement, wait_ms));
            }
            DispatchDecision::Wait if is_given_back(core, &asked) => {
                return Err(Refusal::after(Fault::Leaving, RETRY_AFTER_LEAVING_MS));
            }
            DispatchDecision::Wait => {}
        }
        let is_new = match is_short {
            true => waiting.set_for_spare(),
            false => waiting.set(own),
        };
        match (is_new, is_short) {
            (true, true) => place_log::waits_for_place(prompt, &asked),
            (true, false) => place_log::waits_for_turn(prompt, &asked),
            (false, _) => {}
        }
        match is_short {
            true => waiting.until_near().await,
            false => waiting.until_first(own, scope).await,
        }
    }
}

/// Whether this host stops, and what waits wouldn't end before it.
fn is_given_back(core: &Core, asked: &dispatch::WaitingPrompt<'_>) -> bool {
    let left_ms = core.drain.left_ms();
    left_ms.is_some_and(|left_ms| {
        dispatch::should_return_to_client(asked, left_ms, &core.options.turns)
    })
}

/// Lists a prompt among those that wait, until dropped.
struct Waiting {
    core: Rc<Core>,
    number: u64,
    waited: Cell<Waited>,
}

impl Waiting {
    fn new(core: &Rc<Core>) -> Self {
        let number = core.next_number();
        Self {
            core: core.clone(),
            number,
            waited: Cell::default(),
        }
    }

    fn turned(&self, need: Need, placement: Placement, fleet: Arc<Fleet>) -> Turned {
        let waited = self.waited.get();
        Turned {
            need,
            placement,
            fleet,
            waited,
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
    async fn until_first(&self, own: Score, scope: Scope) {
        for _ in 0..LOOKS_PER_JUDGEMENT {
            sleep(TURN_LOOK).await;
            let is_first = own <= self.others(scope).head_for(own);
            self.note_look(is_first);
            if is_first {
                return;
            }
        }
    }

    fn note_look(&self, is_first: bool) {
        let look_ms = TURN_LOOK.as_millis() as u64;
        let mut waited = self.waited.get();
        match is_first {
            true => waited.first_ms += look_ms,
            false => waited.behind_ms += look_ms,
        }
        self.waited.set(waited);
    }

    /// The least scores of the others that wait, here and at peers that wait for the same engines.
    fn others(&self, scope: Scope) -> QueueHeads {
        let waiting = self.core.waiting.borrow();
        let others = waiting.iter().filter(|(number, _)| **number != self.number);
        let here = others.fold(QueueHeads::default(), |firsts, (_, score)| {
            firsts.with_score(*score)
        });
        let board = self.core.board.borrow();
        here.merge(match scope {
            Scope::Zone => board.peer_heads_in(self.core.zone),
            Scope::Fleet => board.peer_heads(),
        })
    }
}

/// Gateways that share the engines among which a prompt was judged, this one included.
fn gateways(core: &Core, scope: Scope) -> usize {
    match scope {
        Scope::Zone => core.board.borrow().peer_count_in(core.zone) + 1,
        Scope::Fleet => core.headcount.borrow().gateways(),
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

fn choose_engines(
    prompt: &Prompt<'_>,
    fleet: &Fleet,
    need: &Need,
    tried: &Tried,
) -> Result<ScopedPlacement, Refusal> {
    let core = prompt.core;
    let shut = core.shut();
    let present = present(core, fleet, prompt.service);
    let may_help = present.iter().filter(|e| !shut.bars_help(e));
    let may_help: Vec<Arc<Endpoint>> = may_help.cloned().collect();
    let mut endpoints = usable(core, &may_help, tried);
    if !present.is_empty() && endpoints.iter().all(|e| shut.contains(e)) {
        return Err(shut.refusal(&present, prompt.request_id));
    }
    let near = own_zone_first(core, &mut endpoints);
    let refusing = refusing_help(core, &endpoints);
    let candidate = |endpoint: &Arc<Endpoint>| Candidate {
        key: endpoint.key,
        slowness: core.outliers.slowness(endpoint.key),
        on_trial: on_trial(core, endpoint),
        can_help: !refusing.contains(&endpoint.key),
        can_lead: !shut.contains(endpoint),
    };
    let all: Vec<Candidate> = endpoints.iter().map(candidate).collect();
    know_passes(core, &all, prompt.model);
    let field = ZoneCandidates {
        own_zone: &all[..near],
        all: &all,
    };
    let board = core.board.borrow();
    let options = &core.options.placing;
    let (draw, now_ms) = (core.draw(), core.now_ms());
    let chosen = place_prompt(need, &field, &board, prompt.model, options, draw, now_ms);
    chosen.map_err(|no_place| {
        let refusal = refuse(no_place);
        place_log::not_placed(prompt, need, all.len(), &no_place, &refusal);
        refusal
    })
}

/// Those of some endpoints that aren't to be asked to help.
fn refusing_help(core: &Core, endpoints: &[Arc<Endpoint>]) -> HashSet<EndpointKey> {
    let helpers = core.helpers.borrow();
    if helpers.is_empty() {
        return HashSet::new();
    }
    let keys: Vec<EndpointKey> = endpoints.iter().map(|endpoint| endpoint.key).collect();
    helpers.refusing(&keys, core.now_whole_ms(), core.fleet_confirmed_ms())
}

/// Puts the endpoints of the own availability zone first, and tells how many they are. They are in the order of all
/// gateways, and begin with another one each time: gateways that choose at the same moment then take others.
fn own_zone_first(core: &Core, endpoints: &mut [Arc<Endpoint>]) -> usize {
    let is_near = |endpoint: &Arc<Endpoint>| endpoint.facts.zone == core.options.zone;
    let first = endpoints.iter().position(is_near).unwrap_or(0);
    endpoints.rotate_left(first);
    let near = endpoints.iter().filter(|e| is_near(e)).count();
    let turned = core.random_below(near as u32) as usize;
    endpoints[..near].rotate_left(turned);
    near
}

/// Engines of one service have passes of one length.
fn know_passes(core: &Core, candidates: &[Candidate], model: &EngineModel) {
    let pass_ms = model.min_pass_ms();
    let mut board = core.board.borrow_mut();
    for candidate in candidates {
        board.set_pass_ms(candidate.key, pass_ms);
    }
}

/// It has waited in vain: it can't end in time any more without more harm than it is worth.
fn too_late(prompt: &Prompt<'_>, need: &Need, placement: &Placement, backlog_ms: f64) -> Refusal {
    let no_place = PlacementError::TooLate { backlog_ms };
    let refusal = refuse(no_place);
    place_log::not_placed(
        prompt,
        need,
        placement.snapshot.engines,
        &no_place,
        &refusal,
    );
    refusal
}

fn refuse(no_place: PlacementError) -> Refusal {
    let after = |backlog_ms: f64| (backlog_ms as u64).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    match no_place {
        PlacementError::NoEndpoint => no_endpoint(),
        PlacementError::TooLarge => Refusal::of(Fault::TooLarge),
        PlacementError::TooLate { backlog_ms } => Refusal::after(Fault::TooLate, after(backlog_ms)),
        PlacementError::Full { backlog_ms, .. } => Refusal::after(Fault::Full, after(backlog_ms)),
    }
}
