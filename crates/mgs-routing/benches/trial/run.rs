//! Discrete-event simulation of one run: gateways use the real policy and admission queue, engines
//! are modelled in steps.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;

use hdrhistogram::Histogram;
use mgs_admission::queue::Action;
use mgs_admission::queue::Admission;
use mgs_admission::queue::AdmissionDecision;
use mgs_admission::queue::AdmissionRequest;
use mgs_admission::queue::Capacity;
use mgs_fleet::fleet;
use mgs_fleet::fleet::Fleet;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::View;
use mgs_routing::policy::Choice;
use mgs_routing::policy::Policy;
use mgs_routing::policy::RoutingRequest;
use mgs_schema::key::RequestId;
use mgs_schema::prefix::SHORT_PROMPT_TOKENS;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::LoadReport;
use mgs_schema::wire::Outcome;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::engine::Engine;
use crate::engine::EngineEvent;
use crate::engine::Job;
use crate::workload;
use crate::workload::Arrival;

/// Number of simulated engines.
const ENGINES: usize = 20;
/// Network latency between gateway and engine in one zone; doubled between zones.
const HOP_LATENCY_MS: u64 = 1;
/// Interval of an engine's load reports.
const REPORT_INTERVAL_MS: u64 = 100;
/// Delay until a load report includes a change of the prefix cache.
const CACHE_REPORT_DELAY_MS: u64 = 200;
/// Interval at which a gateway polls its admission queue.
const TICK_INTERVAL_MS: u64 = 10;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The policy to simulate, with one instance and one admission queue per gateway.
pub(crate) struct PolicyUnderTest {
    pub(crate) policies: Vec<Arc<dyn Policy>>,
    pub(crate) admissions: Vec<Box<dyn Admission>>,
}

/// Measurements of a run, without the requests of the warm-up. Arrays and `first_token_ms` are
/// indexed by length band; `by_organisation` holds offered and answered prompt tokens.
pub(crate) struct Measurements {
    pub(crate) first_token_ms: Vec<Histogram<u64>>,
    pub(crate) refusals: HashMap<String, u64>,
    pub(crate) answered_tokens: u64,
    pub(crate) by_organisation: Vec<(u64, u64)>,
    pub(crate) expired: u64,
    pub(crate) queued_ms: [u64; 3],
    pub(crate) engine_ms: [u64; 3],
}

/// An event of the simulation. Numbers are indices of arrivals, engines and gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrive(usize),
    AtSidecar { id: usize, engine: usize },
    Step(usize),
    Report(usize),
    Tick(usize),
}

struct Gateway {
    fleet: Fleet,
    view: Arc<View>,
    policy: Arc<dyn Policy>,
    admission: Box<dyn Admission>,
}

/// Adapter by which the admission queue asks the policy for an endpoint.
struct FleetRoom<'a> {
    policy: &'a dyn Policy,
    view: &'a View,
    zone: &'a str,
    now_ms: u64,
    arrivals: &'a [Arrival],
    rng: RefCell<&'a mut ChaCha8Rng>,
    last_choice: RefCell<Option<(u64, Choice)>>,
    choices: HashMap<u64, Choice>,
}

fn request<'a>(arrival: &'a Arrival, zone: &'a str, now_ms: u64) -> RoutingRequest<'a> {
    RoutingRequest {
        kind: EndpointKind::Engine,
        model: "m",
        prompt_tokens: arrival.prompt_tokens,
        max_tokens: arrival.answer_tokens,
        priority: 1,
        prefix_hashes: &arrival.hashes,
        zone,
        excluded: &[],
        budget_ms: (arrival.at_ms + arrival.allotted_ms).saturating_sub(now_ms),
        now_ms,
    }
}

impl Capacity for FleetRoom<'_> {
    fn first_token_ms(&self, offer: &AdmissionRequest) -> Option<u64> {
        let arrival = &self.arrivals[offer.id.serial as usize];
        let request = request(arrival, self.zone, self.now_ms);
        let random = self.rng.borrow_mut().random();
        let choice = self.policy.choose(self.view, &request, random).ok()?;
        let first_token_ms = choice.first_token_ms;
        self.last_choice.replace(Some((offer.id.serial, choice)));
        Some(first_token_ms)
    }

    fn reserve(&mut self, offer: &AdmissionRequest) {
        let Some((serial, choice)) = self.last_choice.take() else {
            return;
        };
        let arrival = &self.arrivals[offer.id.serial as usize];
        let request = request(arrival, self.zone, self.now_ms);
        self.policy.dispatched(choice.endpoint, &request);
        self.choices.insert(serial, choice);
    }
}

/// State of the simulation.
pub(crate) struct Run<'a> {
    arrivals: &'a [Arrival],
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    is_stepping: Vec<bool>,
    report_counts: Vec<u64>,
    /// By engine: time, block hash, and whether it was inserted (or evicted).
    pending_cache_changes: Vec<Vec<(u64, u64, bool)>>,
    event_queue: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    sequence: u64,
    /// By arrival: engine, dispatch time and predicted time to first token.
    dispatches: Vec<Option<(usize, u64, u64)>>,
    measurements: Measurements,
    rng: ChaCha8Rng,
    warmup_end_ms: u64,
    end_ms: u64,
}

fn settings() -> Snapshot {
    let endpoint = |i: usize| EndpointRow {
        name: format!("engine-{i}"),
        kind: EndpointKind::Engine.into(),
        sidecar_address: format!("127.0.0.1:{}", 7_000 + i),
        zone: ZONES[i % 3].into(),
        models: vec!["m".into()],
        started: true,
        ..EndpointRow::default()
    };
    let limit = |o: usize| LimitRow {
        organisation: o.to_string(),
        kind: "*".into(),
        weight: if o < 3 { 3 } else { 1 },
        priority: 1,
        ..LimitRow::default()
    };
    Snapshot {
        version: 1,
        limits: (0..workload::ORGANISATIONS).map(limit).collect(),
        endpoints: (0..ENGINES).map(endpoint).collect(),
        ..Snapshot::default()
    }
}

impl<'a> Run<'a> {
    pub(crate) fn new(
        arrivals: &'a [Arrival],
        tested: PolicyUnderTest,
        seconds: u64,
        first_engine_speed: f64,
    ) -> Self {
        let settings = settings();
        let mut gateways = Vec::new();
        for (i, (policy, mut admission)) in tested
            .policies
            .into_iter()
            .zip(tested.admissions)
            .enumerate()
        {
            let mut fleet = Fleet::new(fleet::Options {
                process: format!("gateway-{i}"),
                zone: ZONES[i % 3].into(),
                ..fleet::Options::default()
            });
            fleet.apply_settings(&settings);
            for key in 0..ENGINES {
                fleet.apply_welcome(EndpointKey(key as u32), 1, "");
            }
            admission.apply_settings(0, &settings);
            let view = fleet.view();
            gateways.push(Gateway {
                fleet,
                view,
                policy,
                admission,
            });
        }
        let speed = |i: usize| if i == 0 { first_engine_speed } else { 1.0 };
        let mut run = Self {
            arrivals,
            engines: (0..ENGINES).map(|i| Engine::new(speed(i))).collect(),
            is_stepping: vec![false; ENGINES],
            report_counts: vec![0; ENGINES],
            pending_cache_changes: vec![Vec::new(); ENGINES],
            event_queue: BinaryHeap::new(),
            sequence: 0,
            dispatches: vec![None; arrivals.len()],
            measurements: Measurements {
                first_token_ms: (0..3).map(|_| Histogram::new(3).expect("valid")).collect(),
                refusals: HashMap::new(),
                answered_tokens: 0,
                by_organisation: vec![(0, 0); workload::ORGANISATIONS],
                expired: 0,
                queued_ms: [0; 3],
                engine_ms: [0; 3],
            },
            rng: ChaCha8Rng::seed_from_u64(7),
            warmup_end_ms: seconds * 1_000 / 10,
            end_ms: seconds * 1_000,
            gateways,
        };
        for (i, arrival) in arrivals.iter().enumerate() {
            run.schedule(arrival.at_ms, SimulationEvent::Arrive(i));
        }
        for engine in 0..ENGINES {
            run.schedule(engine as u64 * 5, SimulationEvent::Report(engine));
        }
        for gateway in 0..run.gateways.len() {
            run.schedule(gateway as u64 * 3, SimulationEvent::Tick(gateway));
        }
        run
    }

    /// Schedules an event; events of the same time are handled in the order of scheduling.
    fn schedule(&mut self, at_ms: u64, event: SimulationEvent) {
        self.sequence += 1;
        self.event_queue
            .push(Reverse((at_ms, self.sequence, event)));
    }

    /// Handles all events until 300 s after the end of the arrivals, and returns the measurements.
    pub(crate) fn run_to_end(mut self) -> Measurements {
        let last_ms = self.end_ms + 300_000;
        while let Some(Reverse((now_ms, _, event))) = self.event_queue.pop() {
            if now_ms > last_ms {
                break;
            }
            match event {
                SimulationEvent::Arrive(id) => self.arrive(now_ms, id),
                SimulationEvent::AtSidecar { id, engine } => self.at_sidecar(now_ms, id, engine),
                SimulationEvent::Step(engine) => self.step(now_ms, engine),
                SimulationEvent::Report(engine) => self.report(now_ms, engine),
                SimulationEvent::Tick(gateway) => {
                    self.dispatch_queued(now_ms, gateway);
                    self.schedule(now_ms + TICK_INTERVAL_MS, SimulationEvent::Tick(gateway));
                }
            }
        }
        self.measurements
    }

    /// Whether the request arrived after the warm-up.
    fn is_measured(&self, id: usize) -> bool {
        self.arrivals[id].at_ms >= self.warmup_end_ms
    }

    fn arrive(&mut self, now_ms: u64, id: usize) {
        let arrival = &self.arrivals[id];
        let gateway = arrival.gateway;
        let offer = AdmissionRequest {
            id: RequestId {
                origin: 0,
                serial: id as u64,
            },
            organisation: arrival.organisation.to_string(),
            kind: "chat".into(),
            model: "m".into(),
            prompt_tokens: arrival.prompt_tokens,
            max_tokens: arrival.answer_tokens,
            arrived_ms: now_ms,
            deadline_ms: now_ms + arrival.allotted_ms,
        };
        if self.is_measured(id) {
            self.measurements.by_organisation[arrival.organisation].0 += arrival.prompt_tokens;
        }
        match self.gateways[gateway].admission.submit(now_ms, &offer) {
            AdmissionDecision::Queued => self.dispatch_queued(now_ms, gateway),
            AdmissionDecision::Refused { reason, .. } => {
                self.record_refusal(id, format!("{reason:?}"))
            }
        }
    }

    fn record_refusal(&mut self, id: usize, reason: String) {
        if self.is_measured(id) {
            let band =
                workload::LENGTH_BANDS[workload::length_band(self.arrivals[id].prompt_tokens)].1;
            let organisation = if self.arrivals[id].organisation == 0 {
                "first"
            } else {
                "others"
            };
            let reason = format!("{reason} {band} {organisation}");
            *self.measurements.refusals.entry(reason).or_default() += 1;
        }
    }

    /// Dispatches the requests that the gateway's admission queue releases.
    fn dispatch_queued(&mut self, now_ms: u64, gateway: usize) {
        let gateway_state = &mut self.gateways[gateway];
        let mut room = FleetRoom {
            policy: gateway_state.policy.as_ref(),
            view: &gateway_state.view,
            zone: ZONES[gateway % 3],
            now_ms,
            arrivals: self.arrivals,
            rng: RefCell::new(&mut self.rng),
            last_choice: RefCell::new(None),
            choices: HashMap::new(),
        };
        let actions = gateway_state.admission.schedule(now_ms, &mut room);
        let choices = room.choices;
        for action in actions {
            match action {
                Action::Start(id) => {
                    let choice = &choices[&id.serial];
                    let engine = choice.endpoint.0 as usize;
                    let id = id.serial as usize;
                    self.dispatches[id] = Some((engine, now_ms, choice.first_token_ms));
                    let crosses_zones = ZONES[gateway % 3] != ZONES[engine % 3];
                    let hop_ms = if crosses_zones {
                        2 * HOP_LATENCY_MS
                    } else {
                        HOP_LATENCY_MS
                    };
                    self.schedule(now_ms + hop_ms, SimulationEvent::AtSidecar { id, engine });
                }
                Action::Refuse { id, reason, .. } => {
                    self.record_refusal(id.serial as usize, format!("{reason:?}"));
                }
            }
        }
    }

    fn at_sidecar(&mut self, now_ms: u64, id: usize, engine: usize) {
        let arrival = &self.arrivals[id];
        let gateway = &self.gateways[arrival.gateway];
        let request = request(arrival, ZONES[arrival.gateway % 3], now_ms);
        let priority = gateway.policy.engine_priority(&request);
        self.engines[engine].push(Job {
            id,
            priority,
            prompt_tokens: arrival.prompt_tokens,
            answer_tokens: arrival.answer_tokens.max(1),
            hashes: arrival.hashes.clone(),
            deadline_ms: arrival.at_ms + arrival.allotted_ms,
            remaining_prompt_tokens: arrival.prompt_tokens,
            generated_tokens: 0,
            bypass_count: 0,
        });
        if !self.is_stepping[engine] {
            self.step(now_ms, engine);
        }
    }

    fn step(&mut self, now_ms: u64, engine: usize) {
        let mut events = Vec::new();
        let took_ms = self.engines[engine].step(now_ms, &mut events);
        let end_ms = now_ms + took_ms.unwrap_or(0.0).ceil() as u64;
        self.is_stepping[engine] = took_ms.is_some();
        if took_ms.is_some() {
            self.schedule(end_ms, SimulationEvent::Step(engine));
        }
        for event in events {
            self.handle_engine_event(end_ms, event);
        }
    }

    fn handle_engine_event(&mut self, now_ms: u64, event: EngineEvent) {
        let id = match event {
            EngineEvent::FirstToken { id }
            | EngineEvent::Finished { id }
            | EngineEvent::Expired { id } => id,
        };
        let arrival = &self.arrivals[id];
        let Some((engine, dispatched_ms, predicted_ms)) = self.dispatches[id] else {
            return;
        };
        let gateway = &mut self.gateways[arrival.gateway];
        let key = EndpointKey(engine as u32);
        let request = request(arrival, ZONES[arrival.gateway % 3], now_ms);
        match event {
            EngineEvent::FirstToken { .. } => {
                let took_ms = now_ms - dispatched_ms;
                gateway
                    .policy
                    .first_token(key, &request, predicted_ms, took_ms);
                let first_token_ms = now_ms + HOP_LATENCY_MS - arrival.at_ms;
                if self.is_measured(id) {
                    let band = workload::length_band(arrival.prompt_tokens);
                    self.measurements.queued_ms[band] += dispatched_ms - arrival.at_ms;
                    self.measurements.engine_ms[band] += took_ms;
                    self.measurements.first_token_ms[band] += first_token_ms;
                }
            }
            EngineEvent::Finished { .. } => {
                gateway.policy.finished(key, &request, Outcome::Answered);
                let request_id = RequestId {
                    origin: 0,
                    serial: id as u64,
                };
                gateway
                    .admission
                    .finished(now_ms, request_id, arrival.answer_tokens);
                let in_time = now_ms <= arrival.at_ms + arrival.allotted_ms;
                if self.is_measured(id) && now_ms <= self.end_ms && in_time {
                    self.measurements.answered_tokens +=
                        arrival.prompt_tokens + arrival.answer_tokens;
                }
                if self.is_measured(id) && in_time {
                    self.measurements.by_organisation[arrival.organisation].1 +=
                        arrival.prompt_tokens;
                }
            }
            EngineEvent::Expired { .. } => {
                gateway.policy.finished(key, &request, Outcome::Unspecified);
                let request_id = RequestId {
                    origin: 0,
                    serial: id as u64,
                };
                gateway.admission.finished(now_ms, request_id, 0);
                self.measurements.expired +=
                    u64::from(self.arrivals[id].at_ms >= self.warmup_end_ms);
            }
        }
    }

    fn report(&mut self, now_ms: u64, engine: usize) {
        self.report_counts[engine] += 1;
        let engine_model = &mut self.engines[engine];
        let cache_changes = std::mem::take(&mut engine_model.cache_changes);
        self.pending_cache_changes[engine]
            .extend(cache_changes.into_iter().map(|(h, c)| (now_ms, h, c)));
        let due = |n: &(u64, u64, bool)| n.0 + CACHE_REPORT_DELAY_MS <= now_ms;
        let split = self.pending_cache_changes[engine].partition_point(due);
        let due: Vec<_> = self.pending_cache_changes[engine].drain(..split).collect();
        let (waiting_requests, running_requests) = engine_model.request_counts();
        let report = LoadReport {
            incarnation: 1,
            report: self.report_counts[engine],
            state: EndpointState::Live.into(),
            waiting_requests,
            running_requests,
            prefill_waiting_tokens: engine_model.prefill_waiting_tokens(u64::MAX),
            short_prefill_waiting_tokens: engine_model.prefill_waiting_tokens(SHORT_PROMPT_TOKENS),
            kv_used_tokens: engine_model.kv_used_tokens(),
            kv_capacity_tokens: engine_model.kv_capacity_tokens(),
            prefill_tokens_per_s: engine_model.prefill_tokens_per_s(),
            decode_step_ms: 12.0,
            cached_hashes: due.iter().filter(|n| n.2).map(|n| n.1).collect(),
            evicted_hashes: due.iter().filter(|n| !n.2).map(|n| n.1).collect(),
            ..LoadReport::default()
        };
        for gateway in &mut self.gateways {
            let key = EndpointKey(engine as u32);
            gateway.fleet.apply_report(now_ms, key, &report);
            gateway.view = gateway.fleet.view();
        }
        self.schedule(now_ms + REPORT_INTERVAL_MS, SimulationEvent::Report(engine));
    }
}
