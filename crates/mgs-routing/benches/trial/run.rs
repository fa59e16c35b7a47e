//! One run: gateways with the real decisions, engines by steps, events in order of time.

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
use mgs_routing::policy::Ask;
use mgs_routing::policy::Choice;
use mgs_routing::policy::Policy;
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
use crate::engine::Event;
use crate::engine::Job;
use crate::workload;
use crate::workload::Arrival;

const ENGINES: usize = 20;
const HOP_MS: u64 = 1;
const REPORT_MS: u64 = 100;
const CACHE_DELAY_MS: u64 = 200;
const TICK_MS: u64 = 10;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// A policy under trial.
pub(crate) struct Subject {
    pub(crate) policies: Vec<Arc<dyn Policy>>,
    pub(crate) admissions: Vec<Box<dyn Admission>>,
}

/// What was measured.
pub(crate) struct Figures {
    pub(crate) first_token_ms: Vec<Histogram<u64>>,
    pub(crate) refused: HashMap<String, u64>,
    pub(crate) answered_tokens: u64,
    pub(crate) by_organisation: Vec<(u64, u64)>,
    pub(crate) late: u64,
    pub(crate) queued_ms: [u64; 3],
    pub(crate) engine_ms: [u64; 3],
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
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

struct FleetRoom<'a> {
    policy: &'a dyn Policy,
    view: &'a View,
    zone: &'a str,
    now_ms: u64,
    arrivals: &'a [Arrival],
    rng: RefCell<&'a mut ChaCha8Rng>,
    last: RefCell<Option<(u64, Choice)>>,
    chosen: HashMap<u64, Choice>,
}

fn ask<'a>(arrival: &'a Arrival, zone: &'a str, now_ms: u64) -> Ask<'a> {
    Ask {
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
        let ask = ask(arrival, self.zone, self.now_ms);
        let random = self.rng.borrow_mut().random();
        let choice = self.policy.choose(self.view, &ask, random).ok()?;
        let first_token_ms = choice.first_token_ms;
        self.last.replace(Some((offer.id.serial, choice)));
        Some(first_token_ms)
    }

    fn reserve(&mut self, offer: &AdmissionRequest) {
        let Some((serial, choice)) = self.last.take() else {
            return;
        };
        let arrival = &self.arrivals[offer.id.serial as usize];
        let ask = ask(arrival, self.zone, self.now_ms);
        self.policy.dispatched(choice.endpoint, &ask);
        self.chosen.insert(serial, choice);
    }
}

/// The run.
pub(crate) struct Run<'a> {
    arrivals: &'a [Arrival],
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    stepping: Vec<bool>,
    reports: Vec<u64>,
    cache_news: Vec<Vec<(u64, u64, bool)>>,
    queue: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    order: u64,
    placed: Vec<Option<(usize, u64, u64)>>,
    figures: Figures,
    rng: ChaCha8Rng,
    warm_ms: u64,
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
    pub(crate) fn new(arrivals: &'a [Arrival], subject: Subject, seconds: u64, slow: f64) -> Self {
        let settings = settings();
        let mut gateways = Vec::new();
        for (i, (policy, mut admission)) in subject
            .policies
            .into_iter()
            .zip(subject.admissions)
            .enumerate()
        {
            let mut fleet = Fleet::new(fleet::Options {
                process: format!("gateway-{i}"),
                zone: ZONES[i % 3].into(),
                ..fleet::Options::default()
            });
            fleet.settings(&settings);
            for key in 0..ENGINES {
                fleet.welcome(EndpointKey(key as u32), 1, "");
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
        let speed = |i: usize| if i == 0 { slow } else { 1.0 };
        let mut run = Self {
            arrivals,
            engines: (0..ENGINES).map(|i| Engine::new(speed(i))).collect(),
            stepping: vec![false; ENGINES],
            reports: vec![0; ENGINES],
            cache_news: vec![Vec::new(); ENGINES],
            queue: BinaryHeap::new(),
            order: 0,
            placed: vec![None; arrivals.len()],
            figures: Figures {
                first_token_ms: (0..3).map(|_| Histogram::new(3).expect("valid")).collect(),
                refused: HashMap::new(),
                answered_tokens: 0,
                by_organisation: vec![(0, 0); workload::ORGANISATIONS],
                late: 0,
                queued_ms: [0; 3],
                engine_ms: [0; 3],
            },
            rng: ChaCha8Rng::seed_from_u64(7),
            warm_ms: seconds * 1_000 / 10,
            end_ms: seconds * 1_000,
            gateways,
        };
        for (i, arrival) in arrivals.iter().enumerate() {
            run.at(arrival.at_ms, Happening::Arrive(i));
        }
        for engine in 0..ENGINES {
            run.at(engine as u64 * 5, Happening::Report(engine));
        }
        for gateway in 0..run.gateways.len() {
            run.at(gateway as u64 * 3, Happening::Tick(gateway));
        }
        run
    }

    fn at(&mut self, at_ms: u64, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse((at_ms, self.order, happening)));
    }

    pub(crate) fn finish(mut self) -> Figures {
        let last_ms = self.end_ms + 300_000;
        while let Some(Reverse((now_ms, _, happening))) = self.queue.pop() {
            if now_ms > last_ms {
                break;
            }
            match happening {
                Happening::Arrive(id) => self.arrive(now_ms, id),
                Happening::AtSidecar { id, engine } => self.at_sidecar(now_ms, id, engine),
                Happening::Step(engine) => self.step(now_ms, engine),
                Happening::Report(engine) => self.report(now_ms, engine),
                Happening::Tick(gateway) => {
                    self.pump(now_ms, gateway);
                    self.at(now_ms + TICK_MS, Happening::Tick(gateway));
                }
            }
        }
        self.figures
    }

    fn counts(&self, id: usize) -> bool {
        self.arrivals[id].at_ms >= self.warm_ms
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
        if self.counts(id) {
            self.figures.by_organisation[arrival.organisation].0 += arrival.prompt_tokens;
        }
        match self.gateways[gateway].admission.submit(now_ms, &offer) {
            AdmissionDecision::Queued => self.pump(now_ms, gateway),
            AdmissionDecision::Refused { reason, .. } => self.refused(id, format!("{reason:?}")),
        }
    }

    fn refused(&mut self, id: usize, reason: String) {
        if self.counts(id) {
            let band = workload::BANDS[workload::band(self.arrivals[id].prompt_tokens)].1;
            let who = if self.arrivals[id].organisation == 0 {
                "first"
            } else {
                "others"
            };
            let reason = format!("{reason} {band} {who}");
            *self.figures.refused.entry(reason).or_default() += 1;
        }
    }

    fn pump(&mut self, now_ms: u64, gateway: usize) {
        let g = &mut self.gateways[gateway];
        let mut room = FleetRoom {
            policy: g.policy.as_ref(),
            view: &g.view,
            zone: ZONES[gateway % 3],
            now_ms,
            arrivals: self.arrivals,
            rng: RefCell::new(&mut self.rng),
            last: RefCell::new(None),
            chosen: HashMap::new(),
        };
        let actions = g.admission.schedule(now_ms, &mut room);
        let chosen = room.chosen;
        for action in actions {
            match action {
                Action::Start(id) => {
                    let choice = &chosen[&id.serial];
                    let engine = choice.endpoint.0 as usize;
                    let id = id.serial as usize;
                    self.placed[id] = Some((engine, now_ms, choice.first_token_ms));
                    let far = ZONES[gateway % 3] != ZONES[engine % 3];
                    let hop_ms = if far { 2 * HOP_MS } else { HOP_MS };
                    self.at(now_ms + hop_ms, Happening::AtSidecar { id, engine });
                }
                Action::Refuse { id, reason, .. } => {
                    self.refused(id.serial as usize, format!("{reason:?}"));
                }
            }
        }
    }

    fn at_sidecar(&mut self, now_ms: u64, id: usize, engine: usize) {
        let arrival = &self.arrivals[id];
        let gateway = &self.gateways[arrival.gateway];
        let ask = ask(arrival, ZONES[arrival.gateway % 3], now_ms);
        let priority = gateway.policy.engine_priority(&ask);
        self.engines[engine].push(Job {
            id,
            priority,
            prompt_tokens: arrival.prompt_tokens,
            answer_tokens: arrival.answer_tokens.max(1),
            hashes: arrival.hashes.clone(),
            deadline_ms: arrival.at_ms + arrival.allotted_ms,
            left_tokens: arrival.prompt_tokens,
            generated: 0,
            bypassed: 0,
        });
        if !self.stepping[engine] {
            self.step(now_ms, engine);
        }
    }

    fn step(&mut self, now_ms: u64, engine: usize) {
        let mut events = Vec::new();
        let took_ms = self.engines[engine].step(now_ms, &mut events);
        let end_ms = now_ms + took_ms.unwrap_or(0.0).ceil() as u64;
        self.stepping[engine] = took_ms.is_some();
        if took_ms.is_some() {
            self.at(end_ms, Happening::Step(engine));
        }
        for event in events {
            self.event(end_ms, event);
        }
    }

    fn event(&mut self, now_ms: u64, event: Event) {
        let id = match event {
            Event::FirstToken { id } | Event::Finished { id } | Event::Late { id } => id,
        };
        let arrival = &self.arrivals[id];
        let Some((engine, dispatched_ms, predicted_ms)) = self.placed[id] else {
            return;
        };
        let gateway = &mut self.gateways[arrival.gateway];
        let key = EndpointKey(engine as u32);
        let ask = ask(arrival, ZONES[arrival.gateway % 3], now_ms);
        match event {
            Event::FirstToken { .. } => {
                let took_ms = now_ms - dispatched_ms;
                gateway.policy.first_token(key, &ask, predicted_ms, took_ms);
                let first_token_ms = now_ms + HOP_MS - arrival.at_ms;
                if self.counts(id) {
                    let band = workload::band(arrival.prompt_tokens);
                    self.figures.queued_ms[band] += dispatched_ms - arrival.at_ms;
                    self.figures.engine_ms[band] += took_ms;
                    self.figures.first_token_ms[band] += first_token_ms;
                }
            }
            Event::Finished { .. } => {
                gateway.policy.finished(key, &ask, Outcome::Answered);
                let request = RequestId {
                    origin: 0,
                    serial: id as u64,
                };
                gateway
                    .admission
                    .finished(now_ms, request, arrival.answer_tokens);
                let in_time = now_ms <= arrival.at_ms + arrival.allotted_ms;
                if self.counts(id) && now_ms <= self.end_ms && in_time {
                    self.figures.answered_tokens += arrival.prompt_tokens + arrival.answer_tokens;
                }
                if self.counts(id) && in_time {
                    self.figures.by_organisation[arrival.organisation].1 += arrival.prompt_tokens;
                }
            }
            Event::Late { .. } => {
                gateway.policy.finished(key, &ask, Outcome::Unspecified);
                let request = RequestId {
                    origin: 0,
                    serial: id as u64,
                };
                gateway.admission.finished(now_ms, request, 0);
                self.figures.late += u64::from(self.arrivals[id].at_ms >= self.warm_ms);
            }
        }
    }

    fn report(&mut self, now_ms: u64, engine: usize) {
        self.reports[engine] += 1;
        let e = &mut self.engines[engine];
        let news = std::mem::take(&mut e.news);
        self.cache_news[engine].extend(news.into_iter().map(|(h, c)| (now_ms, h, c)));
        let due = |n: &(u64, u64, bool)| n.0 + CACHE_DELAY_MS <= now_ms;
        let split = self.cache_news[engine].partition_point(due);
        let due: Vec<_> = self.cache_news[engine].drain(..split).collect();
        let (waiting_requests, running_requests) = e.counts();
        let report = LoadReport {
            incarnation: 1,
            report: self.reports[engine],
            state: EndpointState::Live.into(),
            waiting_requests,
            running_requests,
            prefill_waiting_tokens: e.prefill_waiting(u64::MAX),
            short_prefill_waiting_tokens: e.prefill_waiting(SHORT_PROMPT_TOKENS),
            kv_used_tokens: e.used_tokens(),
            kv_capacity_tokens: e.capacity_tokens(),
            prefill_tokens_per_s: e.rate_per_s(),
            decode_step_ms: 12.0,
            cached_hashes: due.iter().filter(|n| n.2).map(|n| n.1).collect(),
            evicted_hashes: due.iter().filter(|n| !n.2).map(|n| n.1).collect(),
            ..LoadReport::default()
        };
        for gateway in &mut self.gateways {
            let key = EndpointKey(engine as u32);
            gateway.fleet.report(now_ms, key, &report);
            gateway.view = gateway.fleet.view();
        }
        self.at(now_ms + REPORT_MS, Happening::Report(engine));
    }
}
