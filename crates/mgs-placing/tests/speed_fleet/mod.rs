//! Emulates gateways that place short prompts on engines some of which are slow for a while.
//!
//! All gateways share one load table, so that they differ only in what they know of the engines'
//! speeds.

use std::collections::BTreeMap;

use mgs_fleet::view::EndpointKey;
use mgs_placing::choose::choose_engines;
use mgs_placing::choose::RandomDraw;
use mgs_placing::engine_speed::EngineSpeeds;
use mgs_placing::engine_speed::FirstEventSample;
use mgs_placing::engine_speed::PauseSample;
use mgs_placing::engine_speed::SpeedObservation;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::load_table::LoadTable;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::options::PlacementOptions;
use mgs_placing::placement::Candidate;
use mgs_placing::process_pauses::TICK_INTERVAL_MS;
use mgs_placing::stream_group::StreamGroup;

const GATEWAYS: usize = 30;

const ENGINES: usize = 69;

/// Mean time between two prompts, in milliseconds: 86 arrive per second.
const ARRIVAL_INTERVAL_MS: f64 = 1e3 / 86.0;

const PROMPT_TOKENS: u64 = 5_000;

const EVENTS: u32 = 31;

/// Time to the first event, and pause, up to which a prompt is on time, in milliseconds.
const LIMIT_MS: f64 = 250.0;

/// Interval of reports to peers, in milliseconds.
const REPORT_INTERVAL_MS: f64 = 300.0;

/// From when some engines are slow, in milliseconds.
const SLOW_FROM_MS: f64 = 2_000.0;

/// Until when, in milliseconds.
const SLOW_UNTIL_MS: f64 = 8_000.0;

/// Until all streams of prompts that arrived in that time have ended.
const RUN_MS: f64 = 14_000.0;

/// What gateways know of speeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Knowledge {
    /// Declared speeds.
    Declared,
    /// What each observes itself.
    Own,
    /// What all observe.
    Shared,
    /// The same, and one gateway reports false values of engines that run as declared.
    SharedWithFalseReports,
}

/// A scenario.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) knowledge: Knowledge,
    /// Each engine whose number is a multiple of this is slow for a while; 0 for none.
    pub(crate) slow_each: usize,
    /// Factor by which slow engines take longer.
    pub(crate) factor: f64,
    pub(crate) seed: u64,
}

/// Result of a scenario.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outcome {
    /// Prompts that arrived while some engines were slow.
    pub(crate) prompts: usize,
    /// Those of them that were on time.
    pub(crate) on_time: usize,
    /// Engines in all reports to peers.
    pub(crate) reported: usize,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrival,
    PassEnd(usize),
    Tick,
    Reports(usize),
}

/// A prompt and its stream.
#[derive(Debug, Clone)]
struct Prompt {
    gateway: usize,
    sent_ms: f64,
    predicted_ms: f64,
    prefill_ms: f64,
    load: EndpointLoad,
    events: u32,
    last_event_ms: f64,
    /// Backlog of the engine at the last event.
    backlog_ms: f64,
    /// All prefill placed there up to the last event, and up to the one before.
    prefill_total_ms: f64,
    prefill_total_before_ms: f64,
    is_on_time: bool,
}

#[derive(Debug, Default)]
struct Engine {
    is_running: bool,
    queued: Vec<Prompt>,
    in_pass: Vec<Prompt>,
    streams: Vec<Prompt>,
}

struct Fleet {
    scenario: Scenario,
    model: EngineModel,
    load_table: LoadTable,
    engines: Vec<Engine>,
    gateways: Vec<EngineSpeeds>,
    /// Events by time in nanoseconds and serial number.
    events: BTreeMap<(u64, u64), Event>,
    serial: u64,
    random: u64,
    now_ms: f64,
    outcome: Outcome,
}

/// Runs a scenario.
pub(crate) fn run(scenario: Scenario) -> Outcome {
    let mut fleet = Fleet::new(scenario);
    fleet.schedule(0.0, Event::Arrival);
    fleet.schedule(0.0, Event::Tick);
    for gateway in 0..GATEWAYS {
        let offset_ms = REPORT_INTERVAL_MS * gateway as f64 / GATEWAYS as f64;
        fleet.schedule(offset_ms, Event::Reports(gateway));
    }
    while let Some(((at_ns, _), event)) = fleet.events.pop_first() {
        fleet.now_ms = at_ns as f64 / 1e6;
        if fleet.now_ms > RUN_MS {
            break;
        }
        fleet.handle(event);
    }
    fleet.outcome
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let model = EngineModel {
            slots: 12,
            memory_tokens: 197_200,
            stride_steps: 48,
            step_ms: 1.02,
            read_tokens_per_ms: 206.0,
            ..EngineModel::default()
        };
        Self {
            scenario,
            model,
            load_table: LoadTable::new(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            gateways: (0..GATEWAYS).map(|_| EngineSpeeds::default()).collect(),
            events: BTreeMap::new(),
            serial: 0,
            random: scenario.seed,
            now_ms: 0.0,
            outcome: Outcome::default(),
        }
    }

    fn schedule(&mut self, after_ms: f64, event: Event) {
        self.serial += 1;
        let at_ns = ((self.now_ms + after_ms) * 1e6) as u64;
        self.events.insert((at_ns, self.serial), event);
    }

    /// A random number from 0 up to, but not including, 1 (SplitMix64).
    fn uniform(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                let interval_ms = -ARRIVAL_INTERVAL_MS * (1.0 - self.uniform()).ln();
                self.schedule(interval_ms, Event::Arrival);
                self.place();
            }
            Event::PassEnd(engine) => self.end_pass(engine),
            Event::Tick => {
                for gateway in &mut self.gateways {
                    gateway.record_tick(self.now_ms);
                }
                self.schedule(TICK_INTERVAL_MS, Event::Tick);
            }
            Event::Reports(gateway) => {
                self.report(gateway);
                self.schedule(REPORT_INTERVAL_MS, Event::Reports(gateway));
            }
        }
    }

    fn is_slow_phase(&self) -> bool {
        (SLOW_FROM_MS..SLOW_UNTIL_MS).contains(&self.now_ms)
    }

    fn is_slow(&self, engine: usize) -> bool {
        let each = self.scenario.slow_each;
        each > 0 && engine.is_multiple_of(each) && self.is_slow_phase()
    }

    fn place(&mut self) {
        let gateway = (self.uniform() * GATEWAYS as f64) as usize;
        let output_tokens = u64::from(EVENTS * self.model.stride_steps);
        let need = Need {
            prompt_tokens: PROMPT_TOKENS,
            output_tokens,
            expected_tokens: output_tokens,
            pause_ms: LIMIT_MS,
            ttft_target_ms: LIMIT_MS,
            ttft_left_ms: LIMIT_MS,
            deadline_left_ms: 15_000.0,
            patience_ms: f64::INFINITY,
        };
        let now_ms = self.now_ms;
        let first = (self.uniform() * ENGINES as f64) as usize;
        let speeds = &self.gateways[gateway];
        let slowness = |key| match self.scenario.knowledge {
            Knowledge::Declared => 1.0,
            _ => speeds.slowness(key, now_ms),
        };
        let candidate = |index: usize| {
            let key = EndpointKey(((first + index) % ENGINES) as u32);
            Candidate {
                slowness: slowness(key),
                ..Candidate::of(key)
            }
        };
        let candidates: Vec<Candidate> = (0..ENGINES).map(candidate).collect();
        let is_counted = self.is_slow_phase();
        self.outcome.prompts += usize::from(is_counted);
        let placed = choose_engines(
            &need,
            &candidates,
            &self.load_table,
            &self.model,
            &PlacementOptions::default(),
            RandomDraw::default(),
            now_ms,
        );
        let Ok(placement) = placed else {
            return;
        };
        let passes = self.model.passes_for(output_tokens);
        let worth_units = 1.0;
        let load = EndpointLoad {
            streams: vec![StreamGroup::single(LIMIT_MS, false, worth_units, passes)],
            memory_tokens: need.memory_tokens() as u32,
            ..EndpointLoad::default()
        };
        let (lead, prefill_ms) = (placement.lead, placement.prefill_ms);
        self.load_table.add_prefill(lead, now_ms, prefill_ms);
        self.load_table.add_own(lead, &load);
        let engine = lead.0 as usize;
        self.engines[engine].queued.push(Prompt {
            gateway,
            sent_ms: now_ms,
            predicted_ms: placement.first_token_ms,
            prefill_ms,
            load,
            events: 0,
            last_event_ms: now_ms,
            backlog_ms: 0.0,
            prefill_total_ms: self.load_table.prefill_total_ms(lead),
            prefill_total_before_ms: 0.0,
            is_on_time: is_counted,
        });
        if !self.engines[engine].is_running {
            self.start_pass(engine);
        }
    }

    fn start_pass(&mut self, index: usize) {
        let factor = match self.is_slow(index) {
            true => self.scenario.factor,
            false => 1.0,
        };
        let engine = &mut self.engines[index];
        engine.in_pass = std::mem::take(&mut engine.queued);
        engine.is_running = !engine.in_pass.is_empty() || !engine.streams.is_empty();
        if !engine.is_running {
            return;
        }
        let memory = engine.streams.iter().map(|s| s.load.memory_tokens);
        let memory_tokens = u64::from(memory.sum::<u32>());
        let decode_ms = match engine.streams.len() as u32 {
            0 => 0.0,
            streams => self.model.pass_ms(streams, memory_tokens),
        };
        let prefill_ms: f64 = engine.in_pass.iter().map(|p| p.prefill_ms).sum();
        self.schedule((decode_ms + prefill_ms) * factor, Event::PassEnd(index));
    }

    fn end_pass(&mut self, index: usize) {
        let key = EndpointKey(index as u32);
        let engine = &mut self.engines[index];
        let mut prompts = std::mem::take(&mut engine.streams);
        prompts.append(&mut engine.in_pass);
        for mut prompt in prompts {
            self.observe(key, &prompt);
            let limit_from_ms = prompt.last_event_ms;
            prompt.is_on_time &= self.now_ms - limit_from_ms <= LIMIT_MS;
            prompt.events += 1;
            prompt.last_event_ms = self.now_ms;
            prompt.backlog_ms = self.load_table.backlog_ms(key, self.now_ms, 0.0);
            prompt.prefill_total_before_ms = prompt.prefill_total_ms;
            prompt.prefill_total_ms = self.load_table.prefill_total_ms(key);
            self.load_table.record_stream_event(key, self.now_ms);
            if prompt.events < EVENTS {
                self.engines[index].streams.push(prompt);
                continue;
            }
            self.load_table.remove_own(key, &prompt.load);
            self.outcome.on_time += usize::from(prompt.is_on_time);
        }
        self.start_pass(index);
    }

    /// The prompt's gateway learns from an event.
    fn observe(&mut self, key: EndpointKey, prompt: &Prompt) {
        let speeds = &mut self.gateways[prompt.gateway];
        if prompt.events == 0 {
            let sample = FirstEventSample {
                sent_ms: prompt.sent_ms,
                predicted_ms: prompt.predicted_ms,
            };
            speeds.record_first_event(key, self.now_ms, &sample);
            return;
        }
        let load = self.load_table.load(key);
        let placed_ms = self.load_table.prefill_total_ms(key) - prompt.prefill_total_before_ms;
        let memory_tokens = u64::from(load.memory_tokens);
        let sample = PauseSample {
            began_ms: prompt.last_event_ms,
            pass_ms: self.model.pass_ms(load.running(), memory_tokens),
            prefill_ms: prompt.backlog_ms + placed_ms,
        };
        speeds.record_pause(key, self.now_ms, &sample);
    }

    fn report(&mut self, from: usize) {
        let is_shared = match self.scenario.knowledge {
            Knowledge::Declared | Knowledge::Own => false,
            Knowledge::Shared | Knowledge::SharedWithFalseReports => true,
        };
        if !is_shared {
            return;
        }
        let is_false = self.scenario.knowledge == Knowledge::SharedWithFalseReports && from == 0;
        let report = match is_false {
            true => self.false_report(),
            false => self.gateways[from].report(self.now_ms),
        };
        if report.is_empty() {
            return;
        }
        self.outcome.reported += report.len();
        let sequence = (self.now_ms * 1e3) as u64;
        for (_, gateway) in self
            .gateways
            .iter_mut()
            .enumerate()
            .filter(|(index, _)| *index != from)
        {
            gateway.record_peer(self.now_ms, from as u64, sequence, &report);
        }
    }

    /// The largest ratio for engines that run as declared.
    fn false_report(&self) -> Vec<(EndpointKey, SpeedObservation)> {
        let lie = SpeedObservation {
            ratio: 20.0,
            weight: 1e6,
            age_ms: 0,
        };
        let as_declared = (0..ENGINES).filter(|engine| !self.is_slow(*engine));
        let engines = as_declared.take(mgs_placing::engine_speed::REPORTED_MAX);
        engines
            .map(|engine| (EndpointKey(engine as u32), lie))
            .collect()
    }
}
