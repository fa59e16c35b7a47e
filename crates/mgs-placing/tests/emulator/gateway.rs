//! A gateway in front of emulated engines, which places and dispatches prompts as the relay does.

use std::collections::HashMap;
use std::collections::HashSet;

use mgs_backpressure::advice;
use mgs_backpressure::advice::Advice;
use mgs_backpressure::share::Gateways;
use mgs_backpressure::table::Backpressure;
use mgs_backpressure::table::IncarnationHash;
use mgs_fleet::view::EndpointKey;
use mgs_placing::choose::is_long;
use mgs_placing::dispatch;
use mgs_placing::dispatch::score;
use mgs_placing::dispatch::DispatchDecision;
use mgs_placing::length_counts::LengthBand;
use mgs_placing::length_counts::LengthCounter;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::load_table::ZoneKey;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::options;
use mgs_placing::peer_message::PrefillPart;
use mgs_placing::placement::Candidate;
use mgs_placing::placement::FleetSnapshot;
use mgs_placing::placement::Placement;
use mgs_placing::queue_demand::QueueDemand;
use mgs_placing::queue_demand::QueuedPrompt;
use mgs_placing::queue_order::QueueHeads;
use mgs_placing::queue_order::Score;
use mgs_placing::refusal_at_arrival;
use mgs_placing::refusal_at_arrival::Estimate;
use mgs_placing::refusal_at_arrival::RefusalOptions;
use mgs_placing::spare_slots::SpareSlotRate;
use mgs_placing::stream_group::StreamGroup;
use mgs_placing::zone::place_prompt;
use mgs_placing::zone::Scope;
use mgs_placing::zone::ScopedPlacement;
use mgs_placing::zone::ZoneCandidates;

use super::generate_prompts;
use super::AuditDistribution;
use super::Emulator;
use super::Event;
use super::Observations;
use super::Phase;
use super::Prompt;
use super::QuestionDistribution;
use super::Rng;
use super::StreamEvent;

/// Time between two rounds of decisions on the waiting prompts, in milliseconds.
pub(super) const DISPATCH_INTERVAL_MS: f64 = 12.0;

/// Time after which the score of a prompt that isn't first in its queue is computed anew, in
/// milliseconds.
const REEVALUATION_INTERVAL_MS: f64 = 240.0;

/// Prompts of fewer tokens count as short among those that wait for a spare slot.
const SHORT_TOKENS: u64 = 24_000;

/// The engines of a deployment and the prompts that it gets.
#[derive(Debug, Clone)]
pub(crate) struct Deployment {
    /// Number of engines.
    pub(crate) engines: usize,
    pub(crate) model: EngineModel,
    pub(crate) audits: AuditDistribution,
    /// Distribution of the questions, if it differs from the usual one; clients then have limited
    /// patience.
    pub(crate) questions: Option<QuestionDistribution>,
    /// Number of requests and parts that an engine runs at the same time; others queue at the
    /// engine. With `usize::MAX` nothing ever queues.
    pub(crate) engine_slots: usize,
    /// Number of runs with different seeds, over which results are averaged.
    pub(crate) runs: u64,
    /// The request rate limit that some engines declare.
    pub(crate) rate_limit: Option<RateLimit>,
}

/// A request rate limit that the first engines of a deployment declare.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateLimit {
    /// Number of engines that declare it.
    pub(crate) engines: u32,
    /// Requests per second that each of them accepts.
    pub(crate) per_s: f64,
    /// How gateways use these engines.
    pub(crate) limit_policy: LimitPolicy,
}

/// How gateways use engines that declare a rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitPolicy {
    /// An engine that has exhausted its limit still prefills parts for other lead engines; the
    /// gateway's own policy.
    HelperWhenExhausted,
    /// An engine that has exhausted its limit isn't used at all.
    UnusedWhenExhausted,
    /// Like `HelperWhenExhausted`, and an engine with a limit leads only if no placement led by an
    /// engine without one is on time.
    LeadAsLastResort,
}

/// How prompts are placed and dispatched in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The gateway's own policy.
    Gateway,
    /// Like `Gateway`, but each prompt is dispatched as soon as it has a placement, without
    /// queueing or being refused.
    NoQueue,
    /// Like `Gateway`, but short prompts that can't be on time are dispatched without waiting for a
    /// spare slot.
    NoSpareSlots,
    /// Like `Gateway`, but late prompts are dispatched at the last possible moment and over as many
    /// engines as allowed.
    WideWhenLate,
    /// Each prompt goes to the one engine with the least prefill and decoding.
    LeastLoaded,
}

/// Prefill that was placed and not reported to peers yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacedPrefill {
    pub(super) endpoint: EndpointKey,
    pub(super) prefill_ms: f64,
    pub(super) part: PrefillPart,
}

/// The state of one gateway. Prompts are identified by their index in the emulator.
pub(super) struct Gateway {
    policy: Policy,
    /// Keys of the engines among which it chooses, ordered by availability zone.
    pub(super) engines: Vec<u32>,
    /// Index of its availability zone.
    pub(super) zone: usize,
    /// Number of zones that it distinguishes; 1 if it prefers none.
    pub(super) zones: usize,
    /// Number of availability zones of the deployment.
    pub(super) deployment_zones: usize,
    /// Number of gateways that share the engines, including this one.
    pub(super) gateway_count: usize,
    /// Randomizes its choices; without it, the best placement is chosen.
    pub(super) rng: Option<Rng>,
    /// Prefill placed since the last report to peers.
    pub(super) unreported_prefill: Vec<PlacedPrefill>,
    /// Load placed since the last report to peers.
    pub(super) unreported_loads: Vec<(EndpointKey, EndpointLoad)>,
    /// Whether engines that long prompts at peers may wait for have become free since the last
    /// full report.
    pub(super) has_freed_engines: bool,
    pub(super) load_table: LoadTable,
    pub(super) options: options::PlacementOptions,
    dispatch_options: dispatch::DispatchOptions,
    refusal_options: RefusalOptions,
    /// What is asked of the engines, here and at peers.
    pub(super) demand: QueueDemand,
    /// Prompts that wait to be dispatched.
    pub(super) waiting: Vec<usize>,
    spare_slots: SpareSlotRate,
    pub(super) length_counter: LengthCounter,
    /// Dispatched prompts that haven't ended.
    sent: HashMap<usize, SentPrompt>,
    /// Last score of each long prompt that waits.
    last_scores: HashMap<usize, LastScore>,
    rate_limit: Option<RateLimit>,
    /// The rate limits that engines have declared, and their use.
    limit_table: Backpressure,
}

/// The last score of a waiting prompt.
#[derive(Debug, Clone, Copy)]
struct LastScore {
    score: Score,
    at_ms: f64,
    /// Prefill of the prompt on one engine.
    prefill_ms: f64,
}

impl LastScore {
    /// Whether the score needn't be computed anew yet, because other prompts go first.
    fn is_still_valid(&self, heads: QueueHeads, now_ms: f64) -> bool {
        now_ms - self.at_ms < REEVALUATION_INTERVAL_MS && self.score > heads.head_for(self.score)
    }
}

/// A dispatched prompt and the load that it takes.
struct SentPrompt {
    placement: Placement,
    /// Load of its parts until the first token.
    part_loads: Vec<(EndpointKey, EndpointLoad)>,
    /// Its stream and memory, until the answer ends.
    lasting_loads: Vec<(EndpointKey, EndpointLoad)>,
}

impl Gateway {
    /// Creates a gateway with the view of a deployment's only one; [`super::many_gateways`] adapts
    /// it.
    pub(super) fn new(policy: Policy, deployment: &Deployment) -> Self {
        let mut options = options::PlacementOptions::default();
        let mut dispatch_options = dispatch::DispatchOptions::default();
        // Engines that never run out of slots have no spare ones to wait for.
        if policy == Policy::NoSpareSlots || deployment.engine_slots == usize::MAX {
            dispatch_options.spare_from_share = f64::INFINITY;
        }
        if policy == Policy::WideWhenLate {
            // With this margin no narrow placement ends in time, and any number of engines may
            // prefill late prompts.
            options.late_margin_factor = 100.0;
            dispatch_options.last_engines = 10.0;
            dispatch_options.last_share = 1.0;
        }
        let mut load_table = LoadTable::new();
        for key in 0..deployment.engines as u32 {
            load_table.set_pass_ms(EndpointKey(key), deployment.model.min_pass_ms());
        }
        Self {
            policy,
            engines: (0..deployment.engines as u32).collect(),
            zone: 0,
            zones: 1,
            deployment_zones: 1,
            gateway_count: 1,
            rng: None,
            unreported_prefill: Vec::new(),
            unreported_loads: Vec::new(),
            has_freed_engines: false,
            load_table,
            options,
            dispatch_options,
            refusal_options: RefusalOptions::default(),
            demand: QueueDemand::started_at(0.0),
            waiting: Vec::new(),
            spare_slots: SpareSlotRate::default(),
            length_counter: LengthCounter::default(),
            sent: HashMap::new(),
            last_scores: HashMap::new(),
            rate_limit: deployment.rate_limit,
            limit_table: limit_table(deployment.rate_limit),
        }
    }

    /// The requirements of a prompt at `now_ms`.
    fn need(prompt: &Prompt, model: &EngineModel, now_ms: f64) -> Need {
        let stride = u64::from(model.stride_steps);
        let waited_ms = now_ms - prompt.arrival_ms;
        Need {
            prompt_tokens: prompt.prompt_tokens,
            output_tokens: u64::from(prompt.max_events) * stride,
            expected_tokens: u64::from(prompt.expected_events) * stride,
            pause_ms: prompt.pause_ms,
            ttft_target_ms: prompt.ttft_target_ms,
            ttft_left_ms: prompt.ttft_target_ms - waited_ms,
            deadline_left_ms: prompt.deadline_ms - waited_ms,
            patience_ms: prompt.patience_ms,
        }
    }

    /// Places a prompt; `None` if there is no placement for it.
    fn place(&mut self, need: &Need, model: &EngineModel, now_ms: f64) -> Option<ScopedPlacement> {
        let mut keys = self.engines.clone();
        // The own zone comes first, and begins with a random engine.
        let zone_engines = keys.len() / self.zones;
        let mut draw = 0.0;
        if let Some(rng) = &mut self.rng {
            draw = rng.uniform();
            let zone_start = self.zone * keys.len() / self.deployment_zones;
            keys.rotate_left(zone_start);
            let offset = (rng.uniform() * zone_engines as f64) as usize;
            keys[..zone_engines].rotate_left(offset);
        }
        let exhausted: HashSet<u64> = self
            .limit_table
            .blocked(now_ms)
            .iter()
            .map(|(life, _)| life.0)
            .collect();
        let placed = self.place_among(&keys, &exhausted, need, model, draw, now_ms);
        let is_on_time =
            |placed: &ScopedPlacement| placed.placement.first_token_ms <= need.ttft_left_ms;
        let rate_limit = self.rate_limit;
        let Some(rate_limit) = rate_limit
            .filter(|rate_limit| rate_limit.limit_policy == LimitPolicy::LeadAsLastResort)
        else {
            return placed;
        };
        let limited_engines: HashSet<u64> = (0..u64::from(rate_limit.engines)).collect();
        let elsewhere = self.place_among(&keys, &limited_engines, need, model, draw, now_ms);
        elsewhere.filter(is_on_time).or(placed)
    }

    /// Places a prompt on engines of `keys`. Those of `exhausted` can't lead.
    fn place_among(
        &self,
        keys: &[u32],
        exhausted: &HashSet<u64>,
        need: &Need,
        model: &EngineModel,
        draw: f64,
        now_ms: f64,
    ) -> Option<ScopedPlacement> {
        let zone_engines = keys.len() / self.zones;
        let is_unused_when_exhausted = self
            .rate_limit
            .is_some_and(|rate_limit| rate_limit.limit_policy == LimitPolicy::UnusedWhenExhausted);
        let candidate = |key: &u32| {
            let may_lead = !exhausted.contains(&u64::from(*key));
            Candidate {
                can_lead: may_lead,
                can_help: may_lead || !is_unused_when_exhausted,
                ..Candidate::of(EndpointKey(*key))
            }
        };
        let all: Vec<Candidate> = keys.iter().map(candidate).collect();
        let zones = ZoneCandidates {
            own_zone: &all[..zone_engines],
            all: &all,
        };
        place_prompt(
            need,
            &zones,
            &self.load_table,
            model,
            &self.options,
            draw,
            now_ms,
        )
        .ok()
    }

    fn score(&self, need: &Need, placement: &Placement, model: &EngineModel, now_ms: f64) -> Score {
        let sent_ratio = self.sent_ratio(need, now_ms);
        score(need, placement, model, sent_ratio, &self.dispatch_options)
    }

    /// Ratio at which prompts of this length are dispatched compared with others of their kind.
    fn sent_ratio(&self, need: &Need, now_ms: f64) -> f64 {
        let mut counts = self.length_counter.counts(now_ms);
        self.load_table.add_length_counts(&mut counts);
        counts.sent_ratio(LengthBand::of(need.prompt_tokens, need.ttft_target_ms))
    }

    /// Receives a prompt that arrives now.
    pub(super) fn receive(&mut self, emulator: &mut Emulator, prompt: usize) {
        let need = Self::need(&emulator.prompts[prompt], &emulator.model, emulator.now_ms);
        if let Some(band) = dispatch::length_band(&need, &emulator.model, &self.dispatch_options) {
            self.length_counter.count_asked(band, emulator.now_ms);
        }
        self.waiting.push(prompt);
        self.dispatch(emulator, Some(prompt));
    }

    /// Decides for each waiting prompt whether it is sent now, keeps waiting or is refused.
    pub(super) fn dispatch_waiting(&mut self, emulator: &mut Emulator) {
        self.dispatch(emulator, None);
    }

    /// Decides for each waiting prompt, among them the one that arrives now.
    fn dispatch(&mut self, emulator: &mut Emulator, arrival: Option<usize>) {
        self.observe(&std::mem::take(&mut emulator.observations));
        let now_ms = emulator.now_ms;
        let mut scored = Vec::new();
        // Only prompts that stay in the queue count; those dispatched now never block others.
        let mut remaining_heads = QueueHeads::default();
        let heads = self.last_scores.values();
        let heads = heads.fold(QueueHeads::default(), |heads, last_score| {
            heads.with_score(last_score.score)
        });
        for prompt in std::mem::take(&mut self.waiting) {
            if let Some(last_score) = self.last_scores.get(&prompt) {
                if last_score.is_still_valid(heads, now_ms) {
                    remaining_heads = remaining_heads.with_score(last_score.score);
                    self.waiting.push(prompt);
                    continue;
                }
            }
            self.last_scores.remove(&prompt);
            let need = Self::need(&emulator.prompts[prompt], &emulator.model, now_ms);
            let Some(placed) = self.place(&need, &emulator.model, now_ms) else {
                emulator.refuse(prompt);
                continue;
            };
            let own_score = self.score(&need, &placed.placement, &emulator.model, now_ms);
            scored.push((own_score, prompt, placed));
        }
        scored.sort_by_key(|(score, prompt, _)| (*score, *prompt));
        let short = |(_, prompt, _): &(Score, usize, ScopedPlacement)| {
            let is_short = emulator.prompts[*prompt].prompt_tokens < SHORT_TOKENS;
            is_short.then_some(*prompt)
        };
        let mut waiting_short: Vec<usize> = scored.iter().filter_map(short).collect();
        waiting_short.sort();
        let mut has_sent = false;
        for (own_score, prompt, placed) in scored {
            let need = Self::need(&emulator.prompts[prompt], &emulator.model, now_ms);
            // Prompts sent in this round take engines from the others.
            let placed = match has_sent {
                false => Some(placed),
                true => self.place(&need, &emulator.model, now_ms),
            };
            let Some(ScopedPlacement { placement, scope }) = placed else {
                emulator.refuse(prompt);
                continue;
            };
            let zone = ZoneKey(self.zone as u32 + 1);
            let (peer_heads, gateways) = match scope {
                Scope::Zone => (
                    self.load_table.peer_heads_in(zone),
                    self.load_table.peer_count_in(zone) + 1,
                ),
                Scope::Fleet => (self.load_table.peer_heads(), self.gateway_count),
            };
            let waiting = dispatch::WaitingPrompt {
                need: &need,
                placement: &placement,
                model: &emulator.model,
                score: own_score,
                others: remaining_heads.merge(peer_heads),
                // Indices of prompts are in order of arrival.
                ahead: waiting_short.partition_point(|short| *short < prompt),
                spare_per_s: self.spare_slots.per_s(now_ms),
                gateways,
            };
            let mut decision = dispatch::decide(&waiting, &self.dispatch_options);
            if arrival == Some(prompt) && self.is_refused_at_arrival(&waiting, decision, now_ms) {
                decision = DispatchDecision::Refuse;
            }
            if decision == DispatchDecision::Dispatch
                && waiting.is_short(&self.dispatch_options)
                && dispatch::needs_spare_slot(&waiting, &self.dispatch_options)
            {
                self.spare_slots.record(now_ms);
            }
            if decision == DispatchDecision::Dispatch || self.policy == Policy::NoQueue {
                has_sent = true;
                self.send(emulator, prompt, &need, placement);
            } else if decision == DispatchDecision::Wait {
                if !waiting.is_short(&self.dispatch_options) {
                    remaining_heads = remaining_heads.with_score(own_score);
                    let last_score = LastScore {
                        score: own_score,
                        at_ms: now_ms,
                        prefill_ms: emulator.model.prefill_ms(need.prompt_tokens),
                    };
                    self.last_scores.insert(prompt, last_score);
                }
                self.waiting.push(prompt);
            } else {
                emulator.refuse(prompt);
            }
        }
    }

    /// Records the demand of a prompt that arrives now, and returns whether it is refused at once.
    fn is_refused_at_arrival(
        &mut self,
        waiting: &dispatch::WaitingPrompt<'_>,
        decision: DispatchDecision,
        now_ms: f64,
    ) -> bool {
        if self.gateway_count < self.options.near_gateways_min {
            return false;
        }
        let (dispatch_options, options) = (&self.dispatch_options, &self.refusal_options);
        let queued = self.queued();
        let ahead = self.demand.ahead_of(waiting.score, &queued, now_ms);
        refusal_at_arrival::record_arrival(&mut self.demand, waiting, dispatch_options, now_ms);
        let estimate = Estimate::of(
            waiting,
            &ahead,
            self.engines.len(),
            dispatch_options,
            options,
        );
        refusal_at_arrival::is_refused_at_arrival(
            waiting,
            decision,
            &estimate,
            dispatch_options,
            options,
        )
    }

    /// The prompts that wait in the queue of long ones.
    pub(super) fn queued(&self) -> Vec<QueuedPrompt> {
        let last_scores = self.last_scores.values();
        let queued = last_scores.map(|last_score| QueuedPrompt {
            score: last_score.score,
            prefill_ms: last_score.prefill_ms,
        });
        queued.collect()
    }

    /// Updates the load from observations of the prompts that this gateway has sent.
    pub(super) fn observe(&mut self, observations: &Observations) {
        let is_own = |event: &&StreamEvent| self.sent.contains_key(&event.prompt);
        for event in observations.stream_events.iter().filter(is_own) {
            let key = EndpointKey(event.engine as u32);
            self.load_table.record_stream_event(key, event.at_ms);
        }
        for prompt in &observations.started {
            let Some(sent) = self.sent.get(prompt) else {
                continue;
            };
            self.has_freed_engines |= !sent.part_loads.is_empty();
            for (key, part) in &sent.part_loads {
                self.load_table.remove_own(*key, part);
            }
        }
        for prompt in &observations.ended {
            if let Some(sent) = self.sent.remove(prompt) {
                self.has_freed_engines |= !sent.placement.helpers.is_empty();
                for (key, load) in &sent.lasting_loads {
                    self.load_table.remove_own(*key, load);
                }
            }
        }
    }

    /// Records the load of a prompt and schedules its sending at the end of its hold time.
    fn send(&mut self, emulator: &mut Emulator, prompt: usize, need: &Need, placement: Placement) {
        // Nothing else can use up the limit between the choice and this call.
        let permit = self.limit_table.permit(
            IncarnationHash(u64::from(placement.lead.0)),
            emulator.now_ms,
        );
        assert!(permit.is_ok(), "{permit:?}");
        if let Some(band) = dispatch::length_band(need, &emulator.model, &self.dispatch_options) {
            self.length_counter.count_sent(band, emulator.now_ms);
        }
        let memory = |tokens: u64| EndpointLoad {
            memory_tokens: tokens as u32,
            ..EndpointLoad::default()
        };
        let reservations = placement.reservations.iter();
        let mut lasting_loads: Vec<(EndpointKey, EndpointLoad)> = reservations
            .map(|reservation| (reservation.endpoint, memory(reservation.tokens)))
            .collect();
        let reserved: u64 = placement.reservations.iter().map(|r| r.tokens).sum();
        let mut lead_load = memory(need.memory_tokens().saturating_sub(reserved));
        let is_long = is_long(need, &emulator.model, &self.options);
        let passes = emulator.model.passes_for(need.expected_tokens);
        let worth_units = need.worth_units(&emulator.model);
        let stream = StreamGroup::single(need.pause_ms, is_long, worth_units, passes)
            .with_patience(need.patience_ms)
            .with_slack(need.slack_share(&emulator.model, placement.first_token_ms));
        lead_load.streams = vec![stream];
        lasting_loads.push((placement.lead, lead_load));
        let mut prefill_engines = vec![placement.lead];
        prefill_engines.extend(&placement.helpers);
        for key in &prefill_engines {
            self.load_table
                .add_prefill(*key, emulator.now_ms, placement.prefill_ms);
            self.unreported_prefill.push(PlacedPrefill {
                endpoint: *key,
                prefill_ms: placement.prefill_ms,
                part: match (prefill_engines.len(), *key == placement.lead) {
                    (1, _) => PrefillPart::Whole,
                    (_, true) => PrefillPart::FirstPart,
                    (_, false) => PrefillPart::Part,
                },
            });
        }
        for (key, load) in &lasting_loads {
            self.load_table.add_own(*key, load);
            self.unreported_loads.push((*key, load.clone()));
        }
        let part = EndpointLoad {
            parts: 1,
            late_parts: u16::from(placement.is_late),
            shared_read_ms: placement.prefill_ms as u32,
            ..EndpointLoad::default()
        };
        let mut part_loads = Vec::new();
        for key in &prefill_engines {
            if prefill_engines.len() > 1 {
                self.load_table.add_own(*key, &part);
                self.unreported_loads.push((*key, part.clone()));
                part_loads.push((*key, part.clone()));
            }
        }
        let at_ms = emulator.now_ms + placement.hold_ms;
        let sent = SentPrompt {
            placement,
            part_loads,
            lasting_loads,
        };
        self.sent.insert(prompt, sent);
        emulator.schedule(at_ms, Event::Send(prompt));
    }

    /// The engines that prefill a prompt, the lead first.
    pub(super) fn prefill_engines(&self, prompt: usize) -> Vec<usize> {
        let placement = &self.sent[&prompt].placement;
        let mut prefill_engines = vec![placement.lead.0 as usize];
        prefill_engines.extend(placement.helpers.iter().map(|key| key.0 as usize));
        prefill_engines
    }

    /// The best scores among the prompts that wait here, as last computed.
    pub(super) fn queue_heads(&self) -> QueueHeads {
        let last_scores = self.last_scores.values();
        last_scores.fold(QueueHeads::default(), |heads, last_score| {
            heads.with_score(last_score.score)
        })
    }

    /// Sends a prompt at once to the engine with the least backlog; each stream there counts as
    /// 50 ms.
    fn send_to_least_loaded(&mut self, emulator: &mut Emulator, prompt: usize) {
        self.observe(&std::mem::take(&mut emulator.observations));
        let now_ms = emulator.now_ms;
        let need = Self::need(&emulator.prompts[prompt], &emulator.model, now_ms);
        let estimate_ms = |key: &&u32| {
            let key = EndpointKey(**key);
            let running = self.load_table.load(key).running();
            self.load_table.backlog_ms(key, now_ms, 0.0) + 50.0 * f64::from(running)
        };
        let least = self
            .engines
            .iter()
            .min_by(|a, b| estimate_ms(a).total_cmp(&estimate_ms(b)));
        let placement = Placement {
            lead: EndpointKey(*least.expect("there are engines")),
            helpers: Vec::new(),
            reservations: Vec::new(),
            prefill_ms: emulator.model.prefill_ms(need.prompt_tokens),
            backlog_ms: 0.0,
            hold_ms: 0.0,
            first_token_ms: 0.0,
            loss_units: 0.0,
            harm_units: 0.0,
            is_late: false,
            snapshot: FleetSnapshot::default(),
        };
        self.send(emulator, prompt, &need, placement);
    }
}

/// The declared rate limits, as the only gateway has them.
fn limit_table(rate_limit: Option<RateLimit>) -> Backpressure {
    let mut table = Backpressure::new(Default::default());
    table.set_gateways(Gateways {
        count: Some(1),
        ..Gateways::default()
    });
    let Some(rate_limit) = rate_limit else {
        return table;
    };
    let advice = Advice {
        limit_per_s: advice::Field::Value(rate_limit.per_s),
        ..Advice::default()
    };
    for engine in 0..rate_limit.engines {
        table.apply_advice(IncarnationHash(u64::from(engine)), advice, 0.0, 0.0);
    }
    table
}

/// Runs a load with one gateway until 15 s after its last phase; the result of each prompt is in
/// the returned emulator.
pub(crate) fn run(
    policy: Policy,
    deployment: &Deployment,
    phases: &[Phase],
    seed: u64,
) -> Emulator {
    let mut prompts = generate_prompts(phases, &deployment.audits, seed);
    if let Some(questions) = &deployment.questions {
        questions.redraw(&mut prompts, seed);
    }
    let model = deployment.model.clone();
    let mut emulator = Emulator::new(model, deployment.engines, prompts);
    emulator.engine_slots = deployment.engine_slots;
    let mut gateway = Gateway::new(policy, deployment);
    emulator.schedule(DISPATCH_INTERVAL_MS, Event::DispatchRound);
    let end_ms = phases.iter().map(|phase| phase.duration_ms).sum::<f64>() + 15_000.0;
    while let Some(event) = emulator.next() {
        if emulator.now_ms > end_ms {
            break;
        }
        match event {
            Event::Arrival(prompt) if policy == Policy::LeastLoaded => {
                gateway.send_to_least_loaded(&mut emulator, prompt);
            }
            Event::Arrival(prompt) => gateway.receive(&mut emulator, prompt),
            Event::DispatchRound => {
                gateway.dispatch_waiting(&mut emulator);
                let at_ms = emulator.now_ms + DISPATCH_INTERVAL_MS;
                emulator.schedule(at_ms, Event::DispatchRound);
            }
            Event::Send(prompt) => {
                emulator.send(prompt, &gateway.prefill_engines(prompt));
            }
            Event::PassEnd(_) => unreachable!("the emulator handles the ends of passes"),
            Event::SendReport(_) | Event::ReceiveReport(_) => {
                unreachable!("one gateway has no peers")
            }
        }
    }
    emulator
}
