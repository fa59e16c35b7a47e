//! Many gateways before emulated engines, which hear of each other late.

use mgs_placing::load_table::PeerKey;
use mgs_placing::load_table::PeerReport;
use mgs_placing::load_table::ZoneKey;

use super::gateway::Deployment;
use super::gateway::FreshRead;
use super::gateway::Gateway;
use super::gateway::Policy;
use super::gateway::LOOK_MS;
use super::gateway::ZONES;
use super::load;
use super::Emulator;
use super::Event;
use super::Numbers;
use super::Phase;

/// Least time between two messages of a gateway, in milliseconds.
const TELL_MS: f64 = 15.0;

/// Time between two messages of all that a gateway holds, in milliseconds.
const WHOLE_MS: f64 = 300.0;

/// Prompts placed on the same engine within this time before another one, in milliseconds, are its company.
const TOGETHER_MS: f64 = 20.0;

/// How a gateway chooses among engines. All but the last are what it is measured against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rule {
    /// The one that looks best.
    Best,
    /// As the others in the crowd may choose too.
    Crowd,
    /// The better of two that are drawn for each prompt.
    TwoChoices,
    /// The best of its availability zone's, and none else.
    Zone,
    /// The best of forty that are drawn for each gateway.
    Share,
    /// As the gateway does: as the others in the crowd may choose too, those of its zone first.
    ZoneCrowd,
}

/// Gateways before the engines of a deployment.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    pub(crate) gateways: usize,
    pub(crate) rule: Rule,
    /// Mean time from a message to its being heard, in milliseconds.
    pub(crate) delay_ms: f64,
    /// Share of messages that a peer doesn't hear.
    pub(crate) lost_share: f64,
}

/// What became of a play.
pub(crate) struct Played {
    pub(crate) emulator: Emulator,
    /// Others placed whole on the same engine shortly before a prompt, on average.
    pub(crate) together: f64,
}

struct Message {
    from: usize,
    is_whole: bool,
    said: PeerReport,
    reads: Vec<FreshRead>,
}

struct Play<'a> {
    fleet: &'a Fleet,
    deployment: &'a Deployment,
    emulator: Emulator,
    gateways: Vec<Gateway>,
    /// The gateway of each prompt.
    owners: Vec<usize>,
    /// When each gateway tells next, or told last.
    tells_ms: Vec<f64>,
    /// When each gateway last told all.
    wholes_ms: Vec<f64>,
    messages: Vec<Message>,
    numbers: Numbers,
    /// When and where a prompt was placed whole.
    alone: Vec<(f64, usize)>,
}

impl Play<'_> {
    fn step(&mut self, event: Event) {
        self.route();
        match event {
            Event::Arrival(prompt) => {
                let owner = self.owners[prompt];
                self.choose_among(owner);
                self.gateways[owner].arrive(&mut self.emulator, prompt);
                self.changed(owner);
            }
            Event::Look => {
                for owner in 0..self.gateways.len() {
                    if !self.gateways[owner].waiting.is_empty() {
                        self.gateways[owner].look(&mut self.emulator);
                        self.changed(owner);
                    }
                }
                let at_ms = self.emulator.now_ms + LOOK_MS;
                self.emulator.schedule(at_ms, Event::Look);
            }
            Event::Send(prompt) => {
                let readers = self.gateways[self.owners[prompt]].readers(prompt);
                if readers.len() == 1 {
                    self.alone.push((self.emulator.now_ms, readers[0]));
                }
                self.emulator.send(prompt, &readers);
            }
            Event::Tell(gateway) => self.tell(gateway),
            Event::Hear(message) => self.hear(message),
            Event::Pass(_) => unreachable!("passes are played by the emulator"),
        }
    }

    /// Hands what was seen to the gateways that it concerns.
    fn route(&mut self) {
        let seen = std::mem::take(&mut self.emulator.seen);
        let concerned = seen.started.iter().chain(&seen.ended);
        let wrote = seen.wrote.iter().map(|wrote| &wrote.prompt);
        let mut owners: Vec<usize> = concerned.chain(wrote).map(|p| self.owners[*p]).collect();
        owners.sort();
        owners.dedup();
        for owner in owners {
            self.gateways[owner].note(&seen);
            if self.gateways[owner].has_freed {
                self.changed(owner);
            }
        }
    }

    fn choose_among(&mut self, owner: usize) {
        if self.fleet.rule == Rule::TwoChoices {
            let engines = self.deployment.engines as f64;
            let numbers = &mut self.numbers;
            let drawn = (0..2).map(|_| (numbers.unit() * engines) as u32);
            self.gateways[owner].engines = drawn.collect();
        }
    }

    /// A gateway tells its peers soon, if it has anything to tell.
    fn changed(&mut self, gateway: usize) {
        let now_ms = self.emulator.now_ms;
        let last_ms = self.tells_ms[gateway];
        if last_ms > now_ms {
            return;
        }
        let at_ms = (last_ms + TELL_MS).max(now_ms + 0.01);
        self.tells_ms[gateway] = at_ms;
        self.emulator.schedule(at_ms, Event::Tell(gateway));
    }

    fn tell(&mut self, from: usize) {
        let now_ms = self.emulator.now_ms;
        let gateway = &mut self.gateways[from];
        let is_due = now_ms - self.wholes_ms[from] >= WHOLE_MS;
        let is_whole = is_due || std::mem::take(&mut gateway.has_freed);
        if is_whole {
            self.wholes_ms[from] = now_ms;
            self.emulator.schedule(now_ms + WHOLE_MS, Event::Tell(from));
        }
        let more = std::mem::take(&mut gateway.fresh_held);
        let said = PeerReport {
            zone: ZoneKey(gateway.zone as u32 + 1),
            waiting: gateway.first_waiting(),
            lengths: gateway.lengths.band_counts(now_ms),
            loads: match is_whole {
                true => gateway.board.own_loads(),
                false => more,
            },
        };
        let reads = std::mem::take(&mut gateway.fresh_reads);
        self.messages.push(Message {
            from,
            is_whole,
            said,
            reads,
        });
        let delay_ms = self.fleet.delay_ms * (0.5 + self.numbers.unit());
        let heard = Event::Hear(self.messages.len() - 1);
        self.emulator.schedule(now_ms + delay_ms, heard);
    }

    fn hear(&mut self, message: usize) {
        let now_ms = self.emulator.now_ms;
        let message = &self.messages[message];
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let is_lost = self.numbers.unit() < self.fleet.lost_share;
            if index == message.from || is_lost {
                continue;
            }
            for read in &message.reads {
                let (endpoint, read_ms) = (read.endpoint, read.read_ms);
                gateway
                    .board
                    .add_peer_prefill(endpoint, now_ms, read_ms, read.reads);
            }
            let peer = PeerKey(message.from as u64);
            let said = message.said.clone();
            match message.is_whole {
                true => gateway.board.replace_peer(peer, now_ms, said),
                false => gateway
                    .board
                    .extend_peer(peer, now_ms, said.waiting, said.loads),
            }
        }
    }

    /// Others placed whole on the same engine shortly before a prompt, on average.
    fn together(&self) -> f64 {
        let mut others = 0;
        for (index, (at_ms, engine)) in self.alone.iter().enumerate() {
            let before = self.alone[..index].iter().rev();
            let near = before.take_while(|(other_ms, _)| at_ms - other_ms <= TOGETHER_MS);
            others += near.filter(|(_, other)| other == engine).count();
        }
        others as f64 / self.alone.len().max(1) as f64
    }
}

fn gateway(index: usize, fleet: &Fleet, deployment: &Deployment, seed: u64) -> Gateway {
    let mut gateway = Gateway::new(Policy::Turns, deployment);
    let mut draws = Numbers::new(seed * 1_000 + index as u64 + 1);
    gateway.gateways = fleet.gateways;
    gateway.zone = index % ZONES;
    match fleet.rule {
        Rule::Best | Rule::TwoChoices => {}
        Rule::Zone => gateway
            .engines
            .retain(|key| *key as usize * ZONES / deployment.engines == index % ZONES),
        Rule::Share => {
            let engines = gateway.engines.len() as f64;
            let drawn = (0..40).map(|_| (draws.unit() * engines) as u32);
            gateway.engines = drawn.collect();
            gateway.engines.sort();
            gateway.engines.dedup();
        }
        Rule::Crowd => gateway.draws = Some(draws),
        Rule::ZoneCrowd => {
            gateway.zones = ZONES;
            gateway.draws = Some(draws);
        }
    }
    gateway
}

/// Plays a load to its end before many gateways.
pub(crate) fn play(fleet: &Fleet, deployment: &Deployment, phases: &[Phase], seed: u64) -> Played {
    let mut prompts = load(phases, &deployment.audits, seed);
    if let Some(questions) = &deployment.questions {
        questions.draw(&mut prompts, seed);
    }
    let mut numbers = Numbers::new(seed + 77);
    let owner = |_| (numbers.unit() * fleet.gateways as f64) as usize;
    let owners = prompts.iter().map(owner).collect();
    let mut emulator = Emulator::new(deployment.model.clone(), deployment.engines, prompts);
    emulator.places = deployment.places;
    emulator.schedule(LOOK_MS, Event::Look);
    let gateway = |index| gateway(index, fleet, deployment, seed);
    let mut play = Play {
        fleet,
        deployment,
        emulator,
        gateways: (0..fleet.gateways).map(gateway).collect(),
        owners,
        tells_ms: vec![0.0; fleet.gateways],
        wholes_ms: vec![-WHOLE_MS; fleet.gateways],
        messages: Vec::new(),
        numbers: Numbers::new(seed + 78),
        alone: Vec::new(),
    };
    let length_ms: f64 = phases.iter().map(|phase| phase.length_ms).sum();
    while let Some(event) = play.emulator.next() {
        if play.emulator.now_ms > length_ms + 15_000.0 {
            break;
        }
        play.step(event);
    }
    Played {
        together: play.together(),
        emulator: play.emulator,
    }
}
