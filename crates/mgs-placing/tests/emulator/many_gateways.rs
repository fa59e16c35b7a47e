//! Many gateways in front of the same emulated engines. Each learns of the others' placements from
//! reports, which arrive with a delay or are lost.

use mgs_placing::load_table::PeerKey;
use mgs_placing::load_table::PeerReport;
use mgs_placing::load_table::ZoneKey;
use mgs_placing::queue_demand::GatewayDemand;

use super::gateway::Deployment;
use super::gateway::Gateway;
use super::gateway::PlacedPrefill;
use super::gateway::Policy;
use super::gateway::DISPATCH_INTERVAL_MS;
use super::generate_prompts;
use super::Emulator;
use super::Event;
use super::Phase;
use super::Prompt;
use super::Rng;

/// Least time between two reports of a gateway, in milliseconds.
const REPORT_MIN_INTERVAL_MS: f64 = 15.0;

/// Time between two full reports of a gateway, in milliseconds.
const FULL_REPORT_INTERVAL_MS: f64 = 300.0;

/// Prompts collide if they are placed on the same engine within this time, in milliseconds.
const COLLISION_WINDOW_MS: f64 = 20.0;

/// How a gateway chooses among engines. `ZoneRandomized` is the gateway's own rule, the others are
/// for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChoiceRule {
    /// The placement that looks best, over all engines.
    Best,
    /// Randomized against concurrent choices of other gateways, over all engines.
    Randomized,
    /// The better of two engines drawn at random for each prompt.
    TwoChoices,
    /// The best engines of the gateway's own availability zone, and no others.
    ZoneOnly,
    /// The best of forty engines drawn at random for each gateway.
    Subset,
    /// Randomized, with engines of the gateway's own availability zone preferred.
    ZoneRandomized,
}

/// The gateways in front of a deployment's engines.
#[derive(Debug, Clone)]
pub(crate) struct GatewaySetup {
    /// Number of gateways.
    pub(crate) gateways: usize,
    /// Number of availability zones, over which gateways and engines are spread evenly.
    pub(crate) zones: usize,
    pub(crate) rule: ChoiceRule,
    /// Mean time from sending a report to its arrival, in milliseconds.
    pub(crate) delay_ms: f64,
    /// Share of reports that a peer doesn't receive.
    pub(crate) lost_share: f64,
}

/// The result of a run.
pub(crate) struct RunResult {
    pub(crate) emulator: Emulator,
    /// Mean number of collisions with earlier prompts, of prompts that one engine prefills alone;
    /// see [`COLLISION_WINDOW_MS`].
    pub(crate) mean_collisions: f64,
}

/// A report on its way to all peers.
struct Message {
    /// Index of the gateway that sends it.
    from: usize,
    /// Whether the report covers all load of the sender, not only what it added since its last
    /// report.
    is_full: bool,
    report: PeerReport,
    /// Prefill placed since the last report.
    prefill: Vec<PlacedPrefill>,
    /// The demand at the sender; in full reports only.
    demand: GatewayDemand,
}

/// A run of many gateways.
struct Simulation<'a> {
    setup: &'a GatewaySetup,
    deployment: &'a Deployment,
    emulator: Emulator,
    gateways: Vec<Gateway>,
    /// Index of the gateway of each prompt.
    owners: Vec<usize>,
    /// When each gateway sends its next report, or sent its last one.
    report_times_ms: Vec<f64>,
    /// When each gateway sent its last full report.
    full_report_times_ms: Vec<f64>,
    messages: Vec<Message>,
    rng: Rng,
    /// Time and engine of each prompt that one engine prefills alone.
    whole_prompts: Vec<(f64, usize)>,
}

impl Simulation<'_> {
    /// Handles the next event.
    fn handle(&mut self, event: Event) {
        self.deliver_observations();
        match event {
            Event::Arrival(prompt) => {
                let owner = self.owners[prompt];
                self.draw_engines(owner);
                self.gateways[owner].receive(&mut self.emulator, prompt);
                self.schedule_report(owner);
            }
            Event::DispatchRound => {
                for owner in 0..self.gateways.len() {
                    if !self.gateways[owner].waiting.is_empty() {
                        self.gateways[owner].dispatch_waiting(&mut self.emulator);
                        self.schedule_report(owner);
                    }
                }
                let at_ms = self.emulator.now_ms + DISPATCH_INTERVAL_MS;
                self.emulator.schedule(at_ms, Event::DispatchRound);
            }
            Event::Send(prompt) => {
                let prefill_engines = self.gateways[self.owners[prompt]].prefill_engines(prompt);
                if prefill_engines.len() == 1 {
                    self.whole_prompts
                        .push((self.emulator.now_ms, prefill_engines[0]));
                }
                self.emulator.send(prompt, &prefill_engines);
            }
            Event::SendReport(gateway) => self.send_report(gateway),
            Event::ReceiveReport(message) => self.receive_report(message),
            Event::PassEnd(_) => unreachable!("the emulator handles the ends of passes"),
        }
    }

    /// Passes observations to the gateways whose prompts they concern.
    fn deliver_observations(&mut self) {
        let observations = std::mem::take(&mut self.emulator.observations);
        let concerned = observations.started.iter().chain(&observations.ended);
        let streamed = observations.stream_events.iter().map(|event| &event.prompt);
        let mut owners: Vec<usize> = concerned.chain(streamed).map(|p| self.owners[*p]).collect();
        owners.sort();
        owners.dedup();
        for owner in owners {
            self.gateways[owner].observe(&observations);
            if self.gateways[owner].has_freed_engines {
                self.schedule_report(owner);
            }
        }
    }

    /// For [`ChoiceRule::TwoChoices`], draws the engines for the next prompt.
    fn draw_engines(&mut self, owner: usize) {
        if self.setup.rule == ChoiceRule::TwoChoices {
            let engines = self.deployment.engines as f64;
            let rng = &mut self.rng;
            let drawn = (0..2).map(|_| (rng.uniform() * engines) as u32);
            self.gateways[owner].engines = drawn.collect();
        }
    }

    /// Schedules a report of a gateway whose load has changed, unless one is scheduled already.
    fn schedule_report(&mut self, gateway: usize) {
        let now_ms = self.emulator.now_ms;
        let last_ms = self.report_times_ms[gateway];
        if last_ms > now_ms {
            return;
        }
        let at_ms = (last_ms + REPORT_MIN_INTERVAL_MS).max(now_ms + 0.01);
        self.report_times_ms[gateway] = at_ms;
        self.emulator.schedule(at_ms, Event::SendReport(gateway));
    }

    /// Sends a report to all peers; it is full if the last full one is old enough or engines have
    /// become free.
    fn send_report(&mut self, from: usize) {
        let now_ms = self.emulator.now_ms;
        let gateway = &mut self.gateways[from];
        let is_due = now_ms - self.full_report_times_ms[from] >= FULL_REPORT_INTERVAL_MS;
        let is_full = is_due || std::mem::take(&mut gateway.has_freed_engines);
        if is_full {
            self.full_report_times_ms[from] = now_ms;
            self.emulator
                .schedule(now_ms + FULL_REPORT_INTERVAL_MS, Event::SendReport(from));
        }
        let new_loads = std::mem::take(&mut gateway.unreported_loads);
        let report = PeerReport {
            zone: ZoneKey(gateway.zone as u32 + 1),
            waiting: gateway.queue_heads(),
            lengths: gateway.length_counter.band_counts(now_ms),
            loads: match is_full {
                true => gateway.load_table.own_loads(),
                false => new_loads,
            },
        };
        let prefill = std::mem::take(&mut gateway.unreported_prefill);
        let demand = match is_full {
            true => gateway.demand.report(&gateway.queued(), now_ms),
            false => GatewayDemand::default(),
        };
        self.messages.push(Message {
            demand,
            from,
            is_full,
            report,
            prefill,
        });
        let delay_ms = self.setup.delay_ms * (0.5 + self.rng.uniform());
        let received = Event::ReceiveReport(self.messages.len() - 1);
        self.emulator.schedule(now_ms + delay_ms, received);
    }

    /// Enters a report at each peer that receives it.
    fn receive_report(&mut self, message_index: usize) {
        let now_ms = self.emulator.now_ms;
        let message = &self.messages[message_index];
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let is_lost = self.rng.uniform() < self.setup.lost_share;
            if index == message.from || is_lost {
                continue;
            }
            for placed in &message.prefill {
                let (endpoint, prefill_ms) = (placed.endpoint, placed.prefill_ms);
                gateway
                    .load_table
                    .add_peer_prefill(endpoint, now_ms, prefill_ms, placed.part);
            }
            let peer = PeerKey(message.from as u64);
            let report = message.report.clone();
            if message.is_full {
                let (sequence, demand) = (message_index as u64, message.demand.clone());
                gateway.demand.record_peer(now_ms, peer, sequence, demand);
            }
            match message.is_full {
                true => gateway.load_table.replace_peer(peer, now_ms, report),
                false => gateway
                    .load_table
                    .extend_peer(peer, now_ms, report.waiting, report.loads),
            }
        }
    }

    /// Mean number of collisions, as in [`RunResult::mean_collisions`].
    fn mean_collisions(&self) -> f64 {
        let mut others = 0;
        for (index, (at_ms, engine)) in self.whole_prompts.iter().enumerate() {
            let before = self.whole_prompts[..index].iter().rev();
            let near = before.take_while(|(other_ms, _)| at_ms - other_ms <= COLLISION_WINDOW_MS);
            others += near.filter(|(_, other)| other == engine).count();
        }
        others as f64 / self.whole_prompts.len().max(1) as f64
    }
}

/// Creates the gateway with this index.
fn new_gateway(index: usize, setup: &GatewaySetup, deployment: &Deployment, seed: u64) -> Gateway {
    let mut gateway = Gateway::new(Policy::Gateway, deployment);
    let mut rng = Rng::new(seed * 1_000 + index as u64 + 1);
    gateway.gateway_count = setup.gateways;
    gateway.zone = index % setup.zones;
    gateway.deployment_zones = setup.zones;
    match setup.rule {
        ChoiceRule::Best | ChoiceRule::TwoChoices => {}
        ChoiceRule::ZoneOnly => gateway
            .engines
            .retain(|key| *key as usize * setup.zones / deployment.engines == index % setup.zones),
        ChoiceRule::Subset => {
            let engines = gateway.engines.len() as f64;
            let drawn = (0..40).map(|_| (rng.uniform() * engines) as u32);
            gateway.engines = drawn.collect();
            gateway.engines.sort();
            gateway.engines.dedup();
        }
        ChoiceRule::Randomized => gateway.rng = Some(rng),
        ChoiceRule::ZoneRandomized => {
            gateway.zones = setup.zones;
            gateway.rng = Some(rng);
        }
    }
    gateway
}

/// Runs a load with many gateways until 15 s after its last phase.
pub(crate) fn run(
    setup: &GatewaySetup,
    deployment: &Deployment,
    phases: &[Phase],
    seed: u64,
) -> RunResult {
    let mut prompts = generate_prompts(phases, &deployment.audits, seed);
    if let Some(questions) = &deployment.questions {
        questions.redraw(&mut prompts, seed);
    }
    let duration_ms: f64 = phases.iter().map(|phase| phase.duration_ms).sum();
    run_prompts(setup, deployment, prompts, duration_ms + 15_000.0, seed)
}

/// Runs these prompts with many gateways until `end_ms`.
pub(crate) fn run_prompts(
    setup: &GatewaySetup,
    deployment: &Deployment,
    prompts: Vec<Prompt>,
    end_ms: f64,
    seed: u64,
) -> RunResult {
    let mut rng = Rng::new(seed + 77);
    let owner = |_| (rng.uniform() * setup.gateways as f64) as usize;
    let owners = prompts.iter().map(owner).collect();
    let mut emulator = Emulator::new(deployment.model.clone(), deployment.engines, prompts);
    emulator.engine_slots = deployment.engine_slots;
    emulator.schedule(DISPATCH_INTERVAL_MS, Event::DispatchRound);
    let gateway = |index| new_gateway(index, setup, deployment, seed);
    let mut simulation = Simulation {
        setup,
        deployment,
        emulator,
        gateways: (0..setup.gateways).map(gateway).collect(),
        owners,
        report_times_ms: vec![0.0; setup.gateways],
        full_report_times_ms: vec![-FULL_REPORT_INTERVAL_MS; setup.gateways],
        messages: Vec::new(),
        rng: Rng::new(seed + 78),
        whole_prompts: Vec::new(),
    };
    while let Some(event) = simulation.emulator.next() {
        if simulation.emulator.now_ms > end_ms {
            break;
        }
        simulation.handle(event);
    }
    RunResult {
        mean_collisions: simulation.mean_collisions(),
        emulator: simulation.emulator,
    }
}
