//! Gateways, engines that crash as they begin to write on a deadly part of a prompt, and sound
//! requests that share all other parts with the deadly ones. No two requests are alike.

use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::fingerprint::PromptPart;
use mgs_quarantine::options::Options;
use mgs_quarantine::shared::PlacedPart;
use mgs_quarantine::shared::SharedRecord;
use mgs_quarantine::table::Quarantine;
use mgs_quarantine::verdict::Verdict;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 5;

/// Time between two events of a stream, in milliseconds.
const EVENT_MS: u64 = 45;

/// Events of a stream.
const EVENTS: u64 = 25;

/// Events from which a run counts as having begun to write.
const BEGUN_EVENTS: u64 = 2;

/// First parts of prompts; the deadly requests share the first of them with sound ones.
const FIRST_PARTS: usize = 20;

/// Second parts of prompts.
const SUBJECTS: usize = 300;

/// Time after a fifth crash from which hardly any deadly request may be sent, in milliseconds.
pub(crate) const NEWS_MS: u64 = 3_000;

/// Mistakes that the checks must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Plant {
    Nothing,
    /// The first part of a prompt is blamed before the later ones, and nothing clears a part.
    FirstPartBlamed,
    /// Each gateway counts only the crashes that it saw.
    OwnEvidenceOnly,
    /// What is held isn't in the store.
    HoldsEndWithGateways,
    /// A run that broke off clears its parts.
    BrokenRunsClear,
    /// Whatever ran on the endpoint is suspected, and nothing clears a part.
    AllOnBoardBlamed,
}

#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) gateways: usize,
    pub(crate) engines: usize,
    /// Sound requests per second.
    pub(crate) sound_per_s: f64,
    /// Deadly requests per second.
    pub(crate) deadly_per_s: f64,
    /// Engines that end by themselves per second.
    pub(crate) ends_per_s: f64,
    /// Deadly parts, each in requests of its own.
    pub(crate) deadly_parts: usize,
    /// Share of sound requests whose prompts take a second or more to read.
    pub(crate) long_share: f64,
    /// Share of messages between gateways that are lost.
    pub(crate) loss: f64,
    /// Times at which all gateways are restarted, in milliseconds.
    pub(crate) restarts_ms: Vec<u64>,
    /// When deadly requests begin, in milliseconds.
    pub(crate) deadly_from_ms: u64,
    pub(crate) span_ms: u64,
    pub(crate) plant: Plant,
}

impl Scenario {
    pub(crate) fn of(gateways: usize) -> Self {
        Self {
            gateways,
            engines: 20 + gateways * 3 / 2,
            sound_per_s: 40.0 + 2.0 * gateways as f64,
            deadly_per_s: 15.0,
            ends_per_s: 0.0,
            deadly_parts: 1,
            long_share: 0.05,
            loss: 0.02,
            restarts_ms: Vec::new(),
            deadly_from_ms: 4_000,
            span_ms: 20_000,
            plant: Plant::Nothing,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Sound,
    /// Bears the deadly part of this number.
    Deadly(usize),
}

#[derive(Debug, Clone)]
struct Request {
    kind: Kind,
    gateway: usize,
    fingerprint: Fingerprint,
    parts: Vec<PlacedPart>,
    shares_first: bool,
    prefill_ms: u64,
    attempts: usize,
}

#[derive(Debug, Clone)]
struct Run {
    request: Request,
    engine: usize,
    started_ms: u64,
    has_begun: bool,
}

impl Run {
    fn begins_ms(&self) -> u64 {
        self.started_ms + self.request.prefill_ms
    }

    fn events(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.begins_ms()) / EVENT_MS
    }
}

#[derive(Debug, Clone)]
struct Engine {
    incarnation: u64,
    back_ms: u64,
}

/// News of a crash that reaches a gateway some time later.
#[derive(Debug)]
struct LossSeen {
    at_ms: u64,
    incarnation: u64,
    events: u64,
    request: Request,
}

/// What callers and operators see.
#[derive(Debug, Default, Clone)]
pub(crate) struct Outcome {
    /// Engines that crashed under each deadly part.
    pub(crate) crashes: Vec<usize>,
    /// Deadly requests sent later than [`NEWS_MS`] after the fifth crash under their part.
    pub(crate) late_deadly: Vec<usize>,
    /// Sound requests, after twice [`NEWS_MS`] from the fifth crash, that share the first part of
    /// deadly ones: all, and those that were refused.
    pub(crate) neighbours: usize,
    pub(crate) neighbours_refused: usize,
    /// All sound requests, and those refused as held.
    pub(crate) sound: usize,
    pub(crate) sound_refused: usize,
}

pub(crate) struct Fleet {
    scenario: Scenario,
    random: ChaCha8Rng,
    now_ms: u64,
    serial: u64,
    gateways: Vec<Quarantine>,
    stored: Vec<SharedRecord>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    losses: Vec<LossSeen>,
    messages: Vec<(u64, usize, Vec<SharedRecord>)>,
    fifth_crash_ms: Vec<Option<u64>>,
    outcome: Outcome,
}

/// Plays a scenario.
pub(crate) fn play(scenario: &Scenario, seed: u64) -> Outcome {
    let engine = |index: usize| Engine {
        incarnation: index as u64,
        back_ms: 0,
    };
    let mut fleet = Fleet {
        random: ChaCha8Rng::seed_from_u64(seed),
        now_ms: 0,
        serial: scenario.engines as u64,
        gateways: Vec::new(),
        stored: Vec::new(),
        engines: (0..scenario.engines).map(engine).collect(),
        runs: Vec::new(),
        losses: Vec::new(),
        messages: Vec::new(),
        fifth_crash_ms: vec![None; scenario.deadly_parts],
        outcome: Outcome {
            crashes: vec![0; scenario.deadly_parts],
            late_deadly: vec![0; scenario.deadly_parts],
            ..Outcome::default()
        },
        scenario: scenario.clone(),
    };
    fleet.start_gateways();
    while fleet.now_ms < scenario.span_ms {
        fleet.step();
    }
    fleet.outcome
}

impl Fleet {
    fn step(&mut self) {
        self.now_ms += STEP_MS;
        if self.scenario.restarts_ms.contains(&self.now_ms) {
            self.start_gateways();
        }
        self.deliver_messages();
        self.notice_losses();
        self.advance_runs();
        if self.now_ms.is_multiple_of(250) {
            for gateway in &mut self.gateways {
                gateway.set_endpoint_count(self.scenario.engines);
                gateway.prune(self.now_ms as f64);
            }
        }
        self.send_changes();
        self.end_engines();
        self.accept_requests();
    }

    /// Starts all gateways anew, with what the store has.
    fn start_gateways(&mut self) {
        let stored = match self.scenario.plant {
            Plant::HoldsEndWithGateways => &[],
            _ => self.stored.as_slice(),
        };
        let new = |_| {
            let mut gateway = Quarantine::new(Options::default());
            gateway.merge_all(stored, self.now_ms as f64);
            gateway
        };
        self.gateways = (0..self.scenario.gateways).map(new).collect();
        self.runs.clear();
        self.losses.clear();
        self.messages.clear();
    }

    /// Ends engines whatever they run.
    fn end_engines(&mut self) {
        let expected = self.scenario.ends_per_s * STEP_MS as f64 / 1e3;
        if self.random.random_bool(expected.min(1.0)) {
            let engine = self.random.random_range(0..self.engines.len());
            if self.engines[engine].back_ms <= self.now_ms {
                self.crash(engine);
            }
        }
    }

    fn accept_requests(&mut self) {
        let step_s = STEP_MS as f64 / 1e3;
        let expected = self.scenario.sound_per_s * step_s;
        if self.random.random_bool(expected.min(1.0)) {
            let request = self.new_request(Kind::Sound);
            self.count_sound(&request);
            self.dispatch(request);
        }
        let is_deadly_time = self.now_ms >= self.scenario.deadly_from_ms;
        let expected = self.scenario.deadly_per_s * step_s;
        if is_deadly_time && self.random.random_bool(expected.min(1.0)) {
            let part = self.random.random_range(0..self.scenario.deadly_parts);
            let request = self.new_request(Kind::Deadly(part));
            self.dispatch(request);
        }
    }

    fn new_request(&mut self, kind: Kind) -> Request {
        self.serial += 1;
        let first = match kind {
            Kind::Deadly(_) => 0,
            // A few first parts are in most requests.
            Kind::Sound => {
                let spread = self.random.random_range(0.0..1.0_f64);
                (spread * spread * FIRST_PARTS as f64) as usize
            }
        };
        let subject = self.random.random_range(0..SUBJECTS);
        let mut names = vec![format!("first-{first}")];
        if let Kind::Deadly(part) = kind {
            names.push(format!("deadly-{part}"));
        }
        names.push(format!("subject-{subject}"));
        let is_long = kind == Kind::Sound && self.random.random_bool(self.scenario.long_share);
        Request {
            kind,
            gateway: self.random.random_range(0..self.scenario.gateways),
            fingerprint: Fingerprint(u128::from(self.serial)),
            parts: names.into_iter().enumerate().map(placed_part).collect(),
            shares_first: first == 0,
            prefill_ms: match is_long {
                true => self.random.random_range(1_000..2_000),
                false => self.random.random_range(50..150),
            },
            attempts: 0,
        }
    }

    fn count_sound(&mut self, request: &Request) {
        self.outcome.sound += 1;
        let is_refused = self.verdict(request) == Verdict::Held;
        self.outcome.sound_refused += usize::from(is_refused);
        let is_counted =
            |at_ms: &Option<u64>| at_ms.is_some_and(|at| self.now_ms > at + 2 * NEWS_MS);
        if request.shares_first && self.fifth_crash_ms.iter().any(is_counted) {
            self.outcome.neighbours += 1;
            self.outcome.neighbours_refused += usize::from(is_refused);
        }
    }

    fn verdict(&self, request: &Request) -> Verdict {
        let gateway = &self.gateways[request.gateway];
        let parts = request.parts.iter().map(|part| part.fingerprint);
        let keys = std::iter::once(request.fingerprint).chain(parts);
        let verdicts: Vec<Verdict> = keys.map(|key| gateway.verdict(key)).collect();
        match () {
            () if verdicts.contains(&Verdict::Held) => Verdict::Held,
            () if verdicts.contains(&Verdict::Confined) => Verdict::Confined,
            () => Verdict::Allowed,
        }
    }

    fn dispatch(&mut self, mut request: Request) {
        let verdict = self.verdict(&request);
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|index| self.engines[*index].back_ms <= self.now_ms)
            .collect();
        if verdict == Verdict::Held || up.is_empty() {
            return;
        }
        let engine = match verdict {
            Verdict::Confined => up[0],
            _ => up[self.random.random_range(0..up.len())],
        };
        if let Kind::Deadly(part) = request.kind {
            let is_late = self.fifth_crash_ms[part].is_some_and(|at| self.now_ms > at + NEWS_MS);
            self.outcome.late_deadly[part] += usize::from(is_late);
        }
        request.attempts += 1;
        self.runs.push(Run {
            request,
            engine,
            started_ms: self.now_ms,
            has_begun: false,
        });
    }

    fn advance_runs(&mut self) {
        let mut index = 0;
        while index < self.runs.len() {
            let run = &self.runs[index];
            let events = run.events(self.now_ms);
            if events >= 1 {
                if let Kind::Deadly(part) = run.request.kind {
                    let engine = run.engine;
                    self.count_crash(part);
                    self.crash(engine);
                    index = 0;
                    continue;
                }
            }
            if events >= BEGUN_EVENTS && !run.has_begun {
                self.runs[index].has_begun = true;
                self.record_begun(&self.runs[index].request.clone());
            }
            index += 1;
        }
        let now_ms = self.now_ms;
        self.runs.retain(|run| run.events(now_ms) < EVENTS);
    }

    fn record_begun(&mut self, request: &Request) {
        if matches!(
            self.scenario.plant,
            Plant::FirstPartBlamed | Plant::AllOnBoardBlamed
        ) {
            return;
        }
        for part in &request.parts {
            self.gateways[request.gateway].record_part_begun(part.fingerprint, self.now_ms as f64);
        }
    }

    fn count_crash(&mut self, part: usize) {
        self.outcome.crashes[part] += 1;
        if self.outcome.crashes[part] == 5 {
            self.fifth_crash_ms[part] = Some(self.now_ms);
        }
    }

    /// An engine ends; all its runs are lost.
    fn crash(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        self.serial += 1;
        self.engines[engine] = Engine {
            incarnation: self.serial,
            back_ms: self.now_ms + self.random.random_range(3_000..4_500),
        };
        let (lost, kept) = self.runs.drain(..).partition(|run| run.engine == engine);
        self.runs = kept;
        let lost: Vec<Run> = lost;
        for run in lost {
            self.losses.push(LossSeen {
                at_ms: self.now_ms + self.random.random_range(5..40),
                incarnation,
                events: run.events(self.now_ms).saturating_sub(1),
                request: run.request,
            });
        }
    }

    fn notice_losses(&mut self) {
        let now_ms = self.now_ms;
        let (seen, later) = self.losses.drain(..).partition(|loss| loss.at_ms <= now_ms);
        self.losses = later;
        let seen: Vec<LossSeen> = seen;
        for loss in seen {
            self.record_loss(&loss);
            if loss.request.attempts < 2 {
                self.dispatch(loss.request);
            }
        }
    }

    fn record_loss(&mut self, loss: &LossSeen) {
        let plant = self.scenario.plant;
        let now_ms = self.now_ms as f64;
        let gateway = &mut self.gateways[loss.request.gateway];
        let fingerprint = loss.request.fingerprint;
        gateway.record_crash(fingerprint, loss.incarnation, loss.events as u32, now_ms);
        let is_beginning = loss.events < BEGUN_EVENTS;
        if is_beginning || plant == Plant::AllOnBoardBlamed {
            let mut parts = loss.request.parts.clone();
            if plant == Plant::FirstPartBlamed {
                let last = parts.len() as u16;
                parts
                    .iter_mut()
                    .for_each(|part| part.depth = last - part.depth);
            }
            gateway.record_part_crashes(&parts, loss.incarnation, now_ms);
        }
        if plant == Plant::BrokenRunsClear {
            for part in &loss.request.parts {
                gateway.record_part_begun(part.fingerprint, now_ms);
            }
        }
    }

    fn send_changes(&mut self) {
        for from in 0..self.gateways.len() {
            let gateway = &mut self.gateways[from];
            for part in gateway.take_unknown_to_peers() {
                gateway.mark_changed(part);
            }
            let changed = gateway.take_changed();
            let records: Vec<SharedRecord> = changed
                .iter()
                .filter_map(|key| gateway.shared_record(*key, self.now_ms as f64))
                .collect();
            for (key, is_held) in gateway.take_hold_changes() {
                self.stored.retain(|record| record.fingerprint != key);
                if is_held {
                    self.stored
                        .extend(gateway.shared_record(key, self.now_ms as f64));
                }
            }
            if records.is_empty() || self.scenario.plant == Plant::OwnEvidenceOnly {
                continue;
            }
            for to in (0..self.scenario.gateways).filter(|to| *to != from) {
                // Each message is sent once more later.
                for delay_ms in [5, 255] {
                    if !self.random.random_bool(self.scenario.loss) {
                        let at_ms = self.now_ms + delay_ms + self.random.random_range(0..20);
                        self.messages.push((at_ms, to, records.clone()));
                    }
                }
            }
        }
    }

    fn deliver_messages(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = self
            .messages
            .drain(..)
            .partition(|(at_ms, _, _)| *at_ms <= now_ms);
        self.messages = later;
        let due: Vec<(u64, usize, Vec<SharedRecord>)> = due;
        for (_, to, records) in due {
            self.gateways[to].merge_all(&records, now_ms as f64);
        }
    }
}

fn placed_part((depth, id): (usize, String)) -> PlacedPart {
    let name = PromptPart {
        service: "model".to_string(),
        id,
    };
    PlacedPart {
        fingerprint: name.fingerprint(),
        name,
        depth: depth as u16,
    }
}
