//! A gateway before emulated engines: it places prompts as the relay does.

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
use mgs_placing::queue_order::QueueHeads;
use mgs_placing::queue_order::Score;
use mgs_placing::spare_slots::SpareSlotRate;
use mgs_placing::stream_group::StreamGroup;
use mgs_placing::zone::place_prompt;
use mgs_placing::zone::Scope;
use mgs_placing::zone::ScopedPlacement;
use mgs_placing::zone::ZoneCandidates;

use super::load;
use super::Audits;
use super::Emulator;
use super::Event;
use super::Numbers;
use super::Phase;
use super::Prompt;
use super::Questions;
use super::Seen;
use super::Wrote;

pub(super) const LOOK_MS: f64 = 12.0;

/// Time between two judgements of a prompt that isn't first in line.
const JUDGEMENT_MS: f64 = 240.0;

/// Availability zones of a fleet.
pub(super) const ZONES: usize = 5;

/// Prompts of fewer tokens are short in each load.
const SHORT_TOKENS: u64 = 24_000;

/// A fleet and the longest prompts that it gets.
#[derive(Debug, Clone)]
pub(crate) struct Deployment {
    pub(crate) engines: usize,
    pub(crate) model: EngineModel,
    pub(crate) audits: Audits,
    /// Short prompts and clients unlike those of the sheets.
    pub(crate) questions: Option<Questions>,
    /// Requests and parts that an engine runs at once; more wait at the engine.
    pub(crate) places: usize,
    /// Plays with different numbers, over which the mean is taken.
    pub(crate) plays: u64,
    /// Engines that name a limit.
    pub(crate) limited: Option<Limited>,
}

/// Engines that name a limit of requests a second, the first ones of the fleet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limited {
    pub(crate) engines: u32,
    pub(crate) per_s: f64,
    pub(crate) way: LimitWay,
}

/// What is asked of an engine whose limit is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitWay {
    /// Parts for others, as the gateway does.
    Parts,
    /// Nothing.
    Nothing,
    /// Parts for others; and it gets a request of its own only if no other engine has it on time.
    LastToLead,
}

/// How prompts are placed in a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// As the gateway does.
    Turns,
    /// As the gateway does, and nobody waits for a turn.
    NoTurns,
    /// As the gateway does, but short prompts are sent also when they can't be on time.
    NoSpare,
    /// As the gateway does, but late prompts go at their last chance and over as many engines as may be.
    WideWhenLate,
    /// On the one engine with the least reading and writing.
    LeastLoaded,
}

/// Reading that was placed and that peers haven't been told of.
#[derive(Debug, Clone, Copy)]
pub(super) struct FreshRead {
    pub(super) endpoint: EndpointKey,
    pub(super) read_ms: f64,
    pub(super) reads: PrefillPart,
}

pub(super) struct Gateway {
    policy: Policy,
    /// Engines that it may choose.
    pub(super) engines: Vec<u32>,
    /// Its availability zone; the engines of each lie together.
    pub(super) zone: usize,
    /// Zones of its engines.
    pub(super) zones: usize,
    /// Gateways that share the engines.
    pub(super) gateways: usize,
    /// What its choices are drawn from; without it, it takes what looks best.
    pub(super) draws: Option<Numbers>,
    pub(super) fresh_reads: Vec<FreshRead>,
    pub(super) fresh_held: Vec<(EndpointKey, EndpointLoad)>,
    /// Whether engines are free again for which long prompts may wait.
    pub(super) has_freed: bool,
    pub(super) board: LoadTable,
    pub(super) options: options::PlacementOptions,
    turns: dispatch::DispatchOptions,
    pub(super) waiting: Vec<usize>,
    spare: SpareSlotRate,
    pub(super) lengths: LengthCounter,
    placed: HashMap<usize, Sent>,
    judged: HashMap<usize, Judged>,
    limited: Option<Limited>,
    limits: Backpressure,
}

/// What was last found of a prompt that waits for its turn.
#[derive(Debug, Clone, Copy)]
struct Judged {
    score: Score,
    at_ms: f64,
}

impl Judged {
    /// Whether its chances are judged anew later only, as others go first.
    fn rests(&self, firsts: QueueHeads, now_ms: f64) -> bool {
        now_ms - self.at_ms < JUDGEMENT_MS && self.score > firsts.head_for(self.score)
    }
}

struct Sent {
    placement: Placement,
    parts: Vec<(EndpointKey, EndpointLoad)>,
    /// The writer and memory, until the end.
    rest: Vec<(EndpointKey, EndpointLoad)>,
}

impl Gateway {
    pub(super) fn new(policy: Policy, deployment: &Deployment) -> Self {
        let mut options = options::PlacementOptions::default();
        let mut turns = dispatch::DispatchOptions::default();
        // Engines that never run out of places have no spare ones to wait for.
        if policy == Policy::NoSpare || deployment.places == usize::MAX {
            turns.spare_from_share = f64::INFINITY;
        }
        if policy == Policy::WideWhenLate {
            // Nothing narrow ends in time by this, and there are always engines for the last chance.
            options.late_margin_factor = 100.0;
            turns.last_engines = 10.0;
            turns.last_share = 1.0;
        }
        let mut board = LoadTable::new();
        for key in 0..deployment.engines as u32 {
            board.set_pass_ms(EndpointKey(key), deployment.model.min_pass_ms());
        }
        Self {
            policy,
            engines: (0..deployment.engines as u32).collect(),
            zone: 0,
            zones: 1,
            gateways: 1,
            draws: None,
            fresh_reads: Vec::new(),
            fresh_held: Vec::new(),
            has_freed: false,
            board,
            options,
            turns,
            waiting: Vec::new(),
            spare: SpareSlotRate::default(),
            lengths: LengthCounter::default(),
            placed: HashMap::new(),
            judged: HashMap::new(),
            limited: deployment.limited,
            limits: limits(deployment.limited),
        }
    }

    fn need(prompt: &Prompt, model: &EngineModel, now_ms: f64) -> Need {
        let stride = u64::from(model.stride_steps);
        let waited_ms = now_ms - prompt.at_ms;
        Need {
            prompt_tokens: prompt.tokens,
            output_tokens: u64::from(prompt.most_events) * stride,
            expected_tokens: u64::from(prompt.expected_events) * stride,
            pause_ms: prompt.pause_ms,
            ttft_target_ms: prompt.aim_ms,
            ttft_left_ms: prompt.aim_ms - waited_ms,
            deadline_left_ms: prompt.deadline_ms - waited_ms,
            patience_ms: prompt.patience_ms,
        }
    }

    fn place(&mut self, need: &Need, model: &EngineModel, now_ms: f64) -> Option<ScopedPlacement> {
        let mut keys = self.engines.clone();
        // Its own zone comes first, from another engine on each time.
        let zone_engines = keys.len() / self.zones;
        let mut draw = 0.0;
        if let Some(draws) = &mut self.draws {
            draw = draws.unit();
            let before = self.zone * keys.len() / ZONES;
            keys.rotate_left(before);
            let first = (draws.unit() * zone_engines as f64) as usize;
            keys[..zone_engines].rotate_left(first);
        }
        let shut: HashSet<u64> = self
            .limits
            .blocked(now_ms)
            .iter()
            .map(|(l, _)| l.0)
            .collect();
        let placed = self.place_among(&keys, &shut, need, model, draw, now_ms);
        let is_on_time =
            |placed: &ScopedPlacement| placed.placement.first_token_ms <= need.ttft_left_ms;
        let limited = self.limited;
        let Some(limited) = limited.filter(|limited| limited.way == LimitWay::LastToLead) else {
            return placed;
        };
        let all: HashSet<u64> = (0..u64::from(limited.engines)).collect();
        let elsewhere = self.place_among(&keys, &all, need, model, draw, now_ms);
        elsewhere.filter(is_on_time).or(placed)
    }

    /// `shut`: engines that get no request of their own.
    fn place_among(
        &self,
        keys: &[u32],
        shut: &HashSet<u64>,
        need: &Need,
        model: &EngineModel,
        draw: f64,
        now_ms: f64,
    ) -> Option<ScopedPlacement> {
        let zone_engines = keys.len() / self.zones;
        let is_asked_nothing = self.limited.is_some_and(|l| l.way == LimitWay::Nothing);
        let candidate = |key: &u32| {
            let leads = !shut.contains(&u64::from(*key));
            Candidate {
                can_lead: leads,
                can_help: leads || !is_asked_nothing,
                ..Candidate::of(EndpointKey(*key))
            }
        };
        let all: Vec<Candidate> = keys.iter().map(candidate).collect();
        let field = ZoneCandidates {
            own_zone: &all[..zone_engines],
            all: &all,
        };
        place_prompt(
            need,
            &field,
            &self.board,
            model,
            &self.options,
            draw,
            now_ms,
        )
        .ok()
    }

    fn score(&self, need: &Need, placement: &Placement, model: &EngineModel, now_ms: f64) -> Score {
        let sent_ratio = self.sent_ratio(need, now_ms);
        score(need, placement, model, sent_ratio, &self.turns)
    }

    fn sent_ratio(&self, need: &Need, now_ms: f64) -> f64 {
        let mut counts = self.lengths.counts(now_ms);
        self.board.add_length_counts(&mut counts);
        counts.sent_ratio(LengthBand::of(need.prompt_tokens, need.ttft_target_ms))
    }

    pub(super) fn arrive(&mut self, emulator: &mut Emulator, prompt: usize) {
        let need = Self::need(&emulator.prompts[prompt], &emulator.model, emulator.now_ms);
        if let Some(band) = dispatch::length_band(&need, &emulator.model, &self.turns) {
            self.lengths.count_asked(band, emulator.now_ms);
        }
        self.waiting.push(prompt);
        self.look(emulator);
    }

    pub(super) fn look(&mut self, emulator: &mut Emulator) {
        self.note(&std::mem::take(&mut emulator.seen));
        let now_ms = emulator.now_ms;
        let mut scored = Vec::new();
        // Who stays in line; those that go at once never stand in it.
        let mut before = QueueHeads::default();
        let firsts = self.judged.values();
        let firsts = firsts.fold(QueueHeads::default(), |firsts, judged| {
            firsts.with_score(judged.score)
        });
        for prompt in std::mem::take(&mut self.waiting) {
            if let Some(judged) = self.judged.get(&prompt) {
                if judged.rests(firsts, now_ms) {
                    before = before.with_score(judged.score);
                    self.waiting.push(prompt);
                    continue;
                }
            }
            self.judged.remove(&prompt);
            let need = Self::need(&emulator.prompts[prompt], &emulator.model, now_ms);
            let Some(placed) = self.place(&need, &emulator.model, now_ms) else {
                continue;
            };
            let own = self.score(&need, &placed.placement, &emulator.model, now_ms);
            scored.push((own, prompt, placed));
        }
        scored.sort_by_key(|(score, prompt, _)| (*score, *prompt));
        let short = |(_, prompt, _): &(Score, usize, ScopedPlacement)| {
            let is_short = emulator.prompts[*prompt].tokens < SHORT_TOKENS;
            is_short.then_some(*prompt)
        };
        let mut shorts: Vec<usize> = scored.iter().filter_map(short).collect();
        shorts.sort();
        let mut has_sent = false;
        for (own, prompt, placed) in scored {
            let need = Self::need(&emulator.prompts[prompt], &emulator.model, now_ms);
            // What was sent in this look takes engines from the others.
            let placed = match has_sent {
                false => Some(placed),
                true => self.place(&need, &emulator.model, now_ms),
            };
            let Some(ScopedPlacement { placement, scope }) = placed else {
                continue;
            };
            let zone = ZoneKey(self.zone as u32 + 1);
            let (waiting, gateways) = match scope {
                Scope::Zone => (
                    self.board.peer_heads_in(zone),
                    self.board.peer_count_in(zone) + 1,
                ),
                Scope::Fleet => (self.board.peer_heads(), self.gateways),
            };
            let waiting = dispatch::WaitingPrompt {
                need: &need,
                placement: &placement,
                model: &emulator.model,
                score: own,
                others: before.merge(waiting),
                // Short prompts that came before it; they are numbered as they come.
                ahead: shorts.partition_point(|short| *short < prompt),
                spare_per_s: self.spare.per_s(now_ms),
                gateways,
            };
            let turn = dispatch::decide(&waiting, &self.turns);
            if turn == DispatchDecision::Dispatch
                && waiting.is_short(&self.turns)
                && dispatch::needs_spare_slot(&waiting, &self.turns)
            {
                self.spare.record(now_ms);
            }
            if turn == DispatchDecision::Dispatch || self.policy == Policy::NoTurns {
                has_sent = true;
                self.send(emulator, prompt, &need, placement);
            } else if turn == DispatchDecision::Wait {
                if !waiting.is_short(&self.turns) {
                    before = before.with_score(own);
                    let judged = Judged {
                        score: own,
                        at_ms: now_ms,
                    };
                    self.judged.insert(prompt, judged);
                }
                self.waiting.push(prompt);
            }
        }
    }

    /// Takes what it sees of its own streams.
    pub(super) fn note(&mut self, seen: &Seen) {
        let own = |wrote: &&Wrote| self.placed.contains_key(&wrote.prompt);
        for wrote in seen.wrote.iter().filter(own) {
            let key = EndpointKey(wrote.engine as u32);
            self.board.record_stream_event(key, wrote.at_ms);
        }
        for prompt in &seen.started {
            let Some(placed) = self.placed.get(prompt) else {
                continue;
            };
            self.has_freed |= !placed.parts.is_empty();
            for (key, part) in &placed.parts {
                self.board.remove_own(*key, part);
            }
        }
        for prompt in &seen.ended {
            if let Some(placed) = self.placed.remove(prompt) {
                self.has_freed |= !placed.placement.helpers.is_empty();
                for (key, held) in &placed.rest {
                    self.board.remove_own(*key, held);
                }
            }
        }
    }

    fn send(&mut self, emulator: &mut Emulator, prompt: usize, need: &Need, placement: Placement) {
        // Nobody else takes it between choice and dispatch.
        let taken = self.limits.permit(
            IncarnationHash(u64::from(placement.lead.0)),
            emulator.now_ms,
        );
        assert!(taken.is_ok(), "{taken:?}");
        if let Some(band) = dispatch::length_band(need, &emulator.model, &self.turns) {
            self.lengths.count_sent(band, emulator.now_ms);
        }
        let memory = |tokens: u64| EndpointLoad {
            memory_tokens: tokens as u32,
            ..EndpointLoad::default()
        };
        let reserves = placement.reservations.iter();
        let mut rest: Vec<(EndpointKey, EndpointLoad)> = reserves
            .map(|reserve| (reserve.endpoint, memory(reserve.tokens)))
            .collect();
        let reserved: u64 = placement.reservations.iter().map(|r| r.tokens).sum();
        let mut writer = memory(need.memory_tokens().saturating_sub(reserved));
        let is_long = is_long(need, &emulator.model, &self.options);
        let passes = emulator.model.passes_for(need.expected_tokens);
        let units = need.worth_units(&emulator.model);
        let stream = StreamGroup::single(need.pause_ms, is_long, units, passes)
            .with_patience(need.patience_ms)
            .with_slack(need.slack_share(&emulator.model, placement.first_token_ms));
        writer.streams = vec![stream];
        rest.push((placement.lead, writer));
        let mut readers = vec![placement.lead];
        readers.extend(&placement.helpers);
        for key in &readers {
            self.board
                .add_prefill(*key, emulator.now_ms, placement.prefill_ms);
            self.fresh_reads.push(FreshRead {
                endpoint: *key,
                read_ms: placement.prefill_ms,
                reads: match (readers.len(), *key == placement.lead) {
                    (1, _) => PrefillPart::Whole,
                    (_, true) => PrefillPart::FirstPart,
                    (_, false) => PrefillPart::Part,
                },
            });
        }
        for (key, held) in &rest {
            self.board.add_own(*key, held);
            self.fresh_held.push((*key, held.clone()));
        }
        let part = EndpointLoad {
            parts: 1,
            late_parts: u16::from(placement.is_late),
            shared_read_ms: placement.prefill_ms as u32,
            ..EndpointLoad::default()
        };
        let mut parts = Vec::new();
        for key in &readers {
            if readers.len() > 1 {
                self.board.add_own(*key, &part);
                self.fresh_held.push((*key, part.clone()));
                parts.push((*key, part.clone()));
            }
        }
        let at_ms = emulator.now_ms + placement.hold_ms;
        let placed = Sent {
            placement,
            parts,
            rest,
        };
        self.placed.insert(prompt, placed);
        emulator.schedule(at_ms, Event::Send(prompt));
    }

    /// The engines that read a prompt, the one that writes first.
    pub(super) fn readers(&self, prompt: usize) -> Vec<usize> {
        let placement = &self.placed[&prompt].placement;
        let mut readers = vec![placement.lead.0 as usize];
        readers.extend(placement.helpers.iter().map(|key| key.0 as usize));
        readers
    }

    /// Who goes first among the prompts that wait here, as last judged.
    pub(super) fn first_waiting(&self) -> QueueHeads {
        let judged = self.judged.values();
        judged.fold(QueueHeads::default(), |firsts, judged| {
            firsts.with_score(judged.score)
        })
    }

    fn least_loaded(&mut self, emulator: &mut Emulator, prompt: usize) {
        self.note(&std::mem::take(&mut emulator.seen));
        let now_ms = emulator.now_ms;
        let need = Self::need(&emulator.prompts[prompt], &emulator.model, now_ms);
        let load = |key: &&u32| {
            let key = EndpointKey(**key);
            let running = self.board.load(key).running();
            self.board.backlog_ms(key, now_ms, 0.0) + 50.0 * f64::from(running)
        };
        let least = self
            .engines
            .iter()
            .min_by(|a, b| load(a).total_cmp(&load(b)));
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

/// The limits that engines have named, at the only gateway.
fn limits(limited: Option<Limited>) -> Backpressure {
    let mut table = Backpressure::new(Default::default());
    table.set_gateways(Gateways {
        count: Some(1),
        ..Gateways::default()
    });
    let Some(limited) = limited else {
        return table;
    };
    let says = Advice {
        limit_per_s: advice::Field::Value(limited.per_s),
        ..Advice::default()
    };
    for engine in 0..limited.engines {
        table.apply_advice(IncarnationHash(u64::from(engine)), says, 0.0, 0.0);
    }
    table
}

/// Plays a load to its end; what became of each prompt is in the emulator.
pub(crate) fn play(
    policy: Policy,
    deployment: &Deployment,
    phases: &[Phase],
    seed: u64,
) -> Emulator {
    let mut prompts = load(phases, &deployment.audits, seed);
    if let Some(questions) = &deployment.questions {
        questions.draw(&mut prompts, seed);
    }
    let model = deployment.model.clone();
    let mut emulator = Emulator::new(model, deployment.engines, prompts);
    emulator.places = deployment.places;
    let mut gateway = Gateway::new(policy, deployment);
    emulator.schedule(LOOK_MS, Event::Look);
    let end_ms = phases.iter().map(|phase| phase.length_ms).sum::<f64>() + 15_000.0;
    while let Some(event) = emulator.next() {
        if emulator.now_ms > end_ms {
            break;
        }
        match event {
            Event::Arrival(prompt) if policy == Policy::LeastLoaded => {
                gateway.least_loaded(&mut emulator, prompt);
            }
            Event::Arrival(prompt) => gateway.arrive(&mut emulator, prompt),
            Event::Look => {
                gateway.look(&mut emulator);
                let at_ms = emulator.now_ms + LOOK_MS;
                emulator.schedule(at_ms, Event::Look);
            }
            Event::Send(prompt) => {
                emulator.send(prompt, &gateway.readers(prompt));
            }
            Event::Pass(_) => unreachable!("passes are played by the emulator"),
            Event::Tell(_) | Event::Hear(_) => unreachable!("one gateway has no peers"),
        }
    }
    emulator
}
