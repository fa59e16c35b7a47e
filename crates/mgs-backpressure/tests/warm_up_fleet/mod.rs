//! Simulated gateways that follow a list in a store and send to one cold endpoint, with faults of
//! the store, of links, hosts and processes.
//!
//! Time advances in steps of 100 ms. Each gateway has more demand than it may send. A request is
//! sent up to half a second after its permit, or later if its process is paused meanwhile.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use mgs_backpressure::table::IncarnationHash;
use mgs_backpressure::warm_up::lease::GatewayList;
use mgs_backpressure::warm_up::ColdEndpoint;
use mgs_backpressure::warm_up::ColdLimit;
use mgs_backpressure::warm_up::Options;
use mgs_backpressure::warm_up::Permit;
use mgs_backpressure::warm_up::WarmUp;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const STEP_MS: f64 = 100.0;
const POLL_MS: f64 = 6_000.0;
const CALL_TIMEOUT_MS: f64 = 1_500.0;
const RETRY_MS: f64 = 500.0;
/// Longest time of a message to or from the store.
const TRANSIT_MAX_MS: f64 = 120.0;
const ENDPOINT: IncarnationHash = IncarnationHash(77);

/// The limit of the first deployment.
pub(crate) const COLD_PER_S: f64 = 26.0;
pub(crate) const LIMIT: f64 = COLD_PER_S * 1.5 + 5.0;

/// A fault that is injected into all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// A gateway takes the whole limit.
    WholeLimit,
    /// A gateway sends as soon as it has read the list.
    JoinsAtOnce,
    /// The lease never ends.
    EndlessLease,
    /// The rank is taken over the gateways heard instead of those listed.
    RankOverHeard,
    /// An entry entitles as soon as it is as old as the lease.
    NoEntryMargin,
    /// A gateway doesn't notice that the store has lost its entry.
    IgnoresLostEntry,
    /// A gateway forgets names that the store doesn't list any more.
    ForgetsNames,
    /// Permits don't expire.
    EndlessPermits,
}

/// What happens at a time.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// A share of the gateways that have run for a second can't reach the store.
    CutStore { share: f64, lasts_ms: f64 },
    /// Gateways are partitioned into this many groups that hear only their own.
    CutPeers { groups: u64, lasts_ms: f64 },
    /// Another row of the table changes, so that all polls are answered.
    Touch,
    /// This many new gateways start.
    Join { gateways: usize },
    /// A share of the processes ends; each starts again after a while under its name.
    Restart { share: f64, within_ms: f64 },
    /// A share of the processes doesn't run; a suspension of the host looks the same, since time is
    /// boot time.
    Pause { share: f64, lasts_ms: f64 },
    /// The store is restored to its state of that long ago.
    RollBack { age_ms: f64 },
    /// Entries of a share of the gateways are removed; of those that can't reach the store, if there
    /// are any.
    RemoveEntries { share: f64 },
}

#[derive(Debug, Clone)]
pub(crate) struct History {
    pub(crate) seed: u64,
    pub(crate) gateways: usize,
    pub(crate) duration_ms: f64,
    pub(crate) events: Vec<(f64, Event)>,
}

/// Result of a history.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Outcome {
    /// Most requests within one second.
    pub(crate) max_per_s: usize,
    /// Mean requests per second in the last ten seconds.
    pub(crate) last_per_s: f64,
}

type Names = Rc<BTreeSet<usize>>;

struct Store {
    era: u64,
    /// Listed gateways after each change, with its time.
    versions: Vec<(f64, Names)>,
}

impl Store {
    fn listed(&self) -> &Names {
        &self.versions.last().expect("a first version").1
    }

    fn change(&mut self, now_ms: f64, change: impl FnOnce(&mut BTreeSet<usize>)) {
        let mut listed = BTreeSet::clone(self.listed());
        change(&mut listed);
        if listed != **self.listed() {
            self.versions.push((now_ms, Rc::new(listed)));
        }
    }

    fn roll_back(&mut self, to_ms: f64) {
        let first = self.versions[0].clone();
        self.versions.retain(|(at_ms, _)| *at_ms <= to_ms);
        if self.versions.is_empty() {
            self.versions.push(first);
        }
        self.era += 1;
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Full,
    Register,
    Poll,
}

struct Call {
    kind: Kind,
    start_ms: f64,
    /// When the call reaches the store.
    served_from_ms: f64,
    /// The answer and when it arrives.
    answer: Option<(f64, u64, Names)>,
}

struct Gateway {
    name: usize,
    /// When the process starts.
    start_ms: f64,
    list: GatewayList,
    warm_up: WarmUp,
    group: u64,
    cut_until_ms: f64,
    paused_until_ms: f64,
    call: Option<Call>,
    next_call_ms: f64,
    next_kind: Kind,
    era: u64,
    seen: Names,
    /// The list by which it decides, with the injected fault.
    decisive: Arc<GatewayList>,
    pending: Vec<(f64, Permit)>,
}

fn name(number: usize) -> String {
    format!("gateway-{number}")
}

fn options(fault: Fault) -> Options {
    let defaults = Options::default();
    match fault {
        Fault::NoEntryMargin => Options {
            entry_margin_ms: 0.0,
            ..defaults
        },
        Fault::EndlessPermits => Options {
            permit_ms: f64::INFINITY,
            ..defaults
        },
        _ => defaults,
    }
}

impl Gateway {
    fn new(number: usize, start_ms: f64, fault: Fault) -> Self {
        let mut warm_up = WarmUp::new(options(fault));
        let endpoint = ColdEndpoint {
            incarnation: ENDPOINT,
            identifier: ENDPOINT.0,
            limit: ColdLimit {
                requests_per_s: LIMIT,
                start_ms: 3_000.0,
            },
            cold_until_ms: f64::INFINITY,
        };
        warm_up.set_endpoints(vec![endpoint], start_ms);
        Self {
            name: number,
            start_ms,
            list: GatewayList::new(&name(number)),
            warm_up,
            group: 0,
            cut_until_ms: 0.0,
            paused_until_ms: 0.0,
            call: None,
            next_call_ms: start_ms,
            next_kind: Kind::Full,
            era: 0,
            seen: Names::default(),
            decisive: Arc::default(),
            pending: Vec::new(),
        }
    }

    fn runs(&self, now_ms: f64) -> bool {
        now_ms >= self.start_ms && now_ms >= self.paused_until_ms
    }

    /// Lets the store serve a call that has reached it.
    fn be_served(&mut self, store: &mut Store, now_ms: f64, transit_ms: f64) {
        let is_cut = now_ms < self.cut_until_ms;
        let Some(call) = &mut self.call else { return };
        if call.answer.is_some() || now_ms < call.served_from_ms || is_cut {
            return;
        }
        let has_news = !Rc::ptr_eq(store.listed(), &self.seen) || store.era != self.era;
        let waits = call.kind == Kind::Poll && !has_news;
        if waits && now_ms < call.start_ms + POLL_MS {
            return;
        }
        if call.kind == Kind::Register {
            store.change(now_ms, |listed| {
                listed.insert(self.name);
            });
        }
        call.answer = Some((now_ms + transit_ms, store.era, store.listed().clone()));
    }

    fn take_answer(&mut self, now_ms: f64, fault: Fault) {
        let Some(call) = self.call.take() else {
            return;
        };
        let limit_ms = match call.kind {
            Kind::Poll => POLL_MS + CALL_TIMEOUT_MS,
            _ => CALL_TIMEOUT_MS,
        };
        let (kind, start_ms) = (call.kind, call.start_ms);
        match call.answer {
            Some((at_ms, era, names)) if at_ms <= now_ms && at_ms < start_ms + limit_ms => {
                self.next_call_ms = now_ms;
                self.apply(kind, start_ms, era, names, now_ms, fault);
            }
            _ if now_ms >= start_ms + limit_ms => {
                self.next_call_ms = now_ms + RETRY_MS;
                self.next_kind = kind;
            }
            _ => self.call = Some(call),
        }
    }

    fn apply(
        &mut self,
        kind: Kind,
        start_ms: f64,
        era: u64,
        names: Names,
        now_ms: f64,
        fault: Fault,
    ) {
        if kind == Kind::Register {
            self.list.acknowledge_entry(now_ms);
            self.next_kind = Kind::Poll;
            return;
        }
        if kind == Kind::Poll && era != self.era {
            self.next_kind = Kind::Full;
            return;
        }
        if fault == Fault::ForgetsNames {
            let (entry, confirmed) = (self.list.entry_since_ms(), self.list.confirmed_ms());
            self.list = listed_at(self.name, entry, confirmed);
            self.seen = Names::default();
        }
        for number in names.difference(&self.seen) {
            self.list.add(&name(*number));
        }
        let is_listed = names.contains(&self.name);
        let is_noticed = is_listed || fault == Fault::IgnoresLostEntry;
        let was_registered = self.list.entry_since_ms().is_some();
        let has_entry = is_listed || (is_noticed && was_registered);
        self.list.confirm(start_ms, now_ms, has_entry);
        self.next_kind = match has_entry {
            true => Kind::Poll,
            false => Kind::Register,
        };
        (self.era, self.seen) = (era, names);
    }

    fn begin_call(&mut self, now_ms: f64, transit_ms: f64) {
        if self.call.is_some() || now_ms < self.next_call_ms {
            return;
        }
        self.call = Some(Call {
            kind: self.next_kind,
            start_ms: now_ms,
            served_from_ms: now_ms + transit_ms,
            answer: None,
        });
    }

    /// The list by which the gateway decides, with the injected fault.
    fn decisive_list(&self, fault: Fault, heard: &[(usize, u64)]) -> GatewayList {
        let (entry, confirmed) = (self.list.entry_since_ms(), self.list.confirmed_ms());
        match fault {
            Fault::WholeLimit => listed_at(self.name, entry, confirmed),
            Fault::JoinsAtOnce => {
                let mut list = self.list.clone();
                list.confirm(f64::NEG_INFINITY, 0.0, false);
                list.acknowledge_entry(f64::NEG_INFINITY);
                list
            }
            Fault::EndlessLease if confirmed.is_some() => {
                let mut list = self.list.clone();
                if entry.is_some() {
                    list.confirm(f64::INFINITY, 0.0, true);
                }
                list
            }
            Fault::RankOverHeard => {
                let mut list = listed_at(self.name, entry, confirmed);
                for (number, group) in heard {
                    if *group == self.group {
                        list.add(&name(*number));
                    }
                }
                list
            }
            _ => self.list.clone(),
        }
    }

    /// Asks for as many permits as there are, and sends the requests of earlier ones. Returns how
    /// many were sent.
    fn send(&mut self, now_ms: f64, random: &mut ChaCha8Rng) -> usize {
        while let Ok(permit) = self.warm_up.permit(ENDPOINT, now_ms) {
            let is_delayed = random.random_range(0.0..1.0) < 0.3;
            let delay_ms = random.random_range(0.0..500.0) * f64::from(u8::from(is_delayed));
            self.pending.push((now_ms + delay_ms, permit));
        }
        let (due, later) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.pending = later;
        let due: Vec<(f64, Permit)> = due;
        let mut confirm = |permit| self.warm_up.confirm_send(ENDPOINT, permit, now_ms);
        due.into_iter().filter(|(_, p)| confirm(*p)).count()
    }
}

/// The list of a gateway that knows only itself.
fn listed_at(number: usize, entry_ms: Option<f64>, confirmed_ms: Option<f64>) -> GatewayList {
    let mut list = GatewayList::new(&name(number));
    if let Some(entry_ms) = entry_ms {
        list.acknowledge_entry(entry_ms);
    }
    if let Some(confirmed_ms) = confirmed_ms {
        list.confirm(confirmed_ms, entry_ms.unwrap_or(0.0), entry_ms.is_some());
    }
    list
}

struct Fleet {
    fault: Fault,
    store: Store,
    gateways: Vec<Gateway>,
    next_name: usize,
    random: ChaCha8Rng,
}

impl Fleet {
    fn chosen(&mut self, share: f64) -> Vec<usize> {
        let random = &mut self.random;
        let indices = 0..self.gateways.len();
        indices
            .filter(|_| random.random_range(0.0..1.0) < share)
            .collect()
    }

    fn apply(&mut self, event: &Event, now_ms: f64) {
        match event {
            Event::CutStore { share, lasts_ms } => {
                for index in self.chosen(*share) {
                    let gateway = &mut self.gateways[index];
                    if now_ms - gateway.start_ms >= 1_000.0 {
                        gateway.cut_until_ms = now_ms + lasts_ms;
                    }
                }
            }
            Event::CutPeers { groups, .. } => {
                for gateway in &mut self.gateways {
                    gateway.group = self.random.next_u64() % groups;
                }
            }
            Event::Touch => {
                let same = BTreeSet::clone(self.store.listed());
                self.store.versions.push((now_ms, Rc::new(same)));
            }
            Event::Join { gateways } => {
                for _ in 0..*gateways {
                    let start_ms = now_ms + self.random.random_range(0.0..200.0);
                    let joining = Gateway::new(self.next_name, start_ms, self.fault);
                    self.gateways.push(joining);
                    self.next_name += 1;
                }
            }
            Event::Restart { share, within_ms } => {
                for index in self.chosen(*share) {
                    let delay_ms = self.random.random_range(0.0..*within_ms);
                    let number = self.gateways[index].name;
                    let started = Gateway::new(number, now_ms + delay_ms, self.fault);
                    self.gateways[index] = started;
                }
            }
            Event::Pause { share, lasts_ms } => {
                for index in self.chosen(*share) {
                    self.gateways[index].paused_until_ms = now_ms + lasts_ms;
                }
            }
            Event::RollBack { age_ms } => self.store.roll_back(now_ms - age_ms),
            Event::RemoveEntries { share } => {
                let is_cut = |index: &usize| self.gateways[*index].cut_until_ms > now_ms;
                let cut: Vec<usize> = (0..self.gateways.len()).filter(is_cut).collect();
                let removed = match cut.is_empty() {
                    true => self.chosen(*share),
                    false => cut,
                };
                let removed = removed.into_iter().map(|index| self.gateways[index].name);
                let removed: Vec<usize> = removed.collect();
                self.store.change(now_ms, |listed| {
                    listed.retain(|number| !removed.contains(number));
                });
            }
        }
    }

    fn heal_peers(&mut self) {
        for gateway in &mut self.gateways {
            gateway.group = 0;
        }
    }

    /// Advances all gateways by a step; returns how many requests were sent.
    fn step(&mut self, now_ms: f64) -> usize {
        let heard = self.gateways.iter().filter(|g| g.runs(now_ms));
        let heard: Vec<(usize, u64)> = heard.map(|g| (g.name, g.group)).collect();
        let sent = Cell::new(0);
        for gateway in &mut self.gateways {
            let mut transit_ms = || self.random.random_range(0.0..TRANSIT_MAX_MS);
            gateway.be_served(&mut self.store, now_ms, transit_ms());
            if !gateway.runs(now_ms) {
                continue;
            }
            let before = gateway.list.confirmed_ms();
            gateway.take_answer(now_ms, self.fault);
            gateway.begin_call(now_ms, transit_ms());
            let is_heard_again = self.fault == Fault::RankOverHeard && now_ms % 1_000.0 == 0.0;
            if before != gateway.list.confirmed_ms() || is_heard_again {
                gateway.decisive = Arc::new(gateway.decisive_list(self.fault, &heard));
                gateway.warm_up.set_gateways(gateway.decisive.clone());
            }
            let may_send = gateway.decisive.may_send(now_ms, &options(self.fault));
            if may_send || !gateway.pending.is_empty() {
                sent.set(sent.get() + gateway.send(now_ms, &mut self.random));
            }
        }
        sent.get()
    }
}

/// Plays a history with an injected fault.
pub(crate) fn play(history: &History, fault: Fault) -> Outcome {
    let first: BTreeSet<usize> = match history.seed % 3 {
        0 => BTreeSet::new(),
        _ => (0..history.gateways).collect(),
    };
    let mut fleet = Fleet {
        fault,
        store: Store {
            era: 1,
            versions: vec![(0.0, Rc::new(first))],
        },
        gateways: Vec::new(),
        next_name: 0,
        random: ChaCha8Rng::seed_from_u64(history.seed),
    };
    let join = Event::Join {
        gateways: history.gateways,
    };
    fleet.apply(&join, 0.0);
    let steps = (history.duration_ms / STEP_MS) as usize;
    let mut sent_by_step = vec![0; steps];
    let mut heal_ms = f64::INFINITY;
    for (step, sent) in sent_by_step.iter_mut().enumerate() {
        let now_ms = step as f64 * STEP_MS;
        for (at_ms, event) in &history.events {
            if (now_ms..now_ms + STEP_MS).contains(at_ms) {
                fleet.apply(event, now_ms);
                if let Event::CutPeers { lasts_ms, .. } = event {
                    heal_ms = now_ms + lasts_ms;
                }
            }
        }
        if now_ms >= heal_ms {
            fleet.heal_peers();
            heal_ms = f64::INFINITY;
        }
        *sent = fleet.step(now_ms);
    }
    // Both ends of a window count: requests exactly one second apart are within it.
    let window_steps = (1_000.0 / STEP_MS) as usize + 1;
    let max_per_s = sent_by_step.windows(window_steps).map(|w| w.iter().sum());
    let last: usize = sent_by_step[steps - 100..].iter().sum();
    Outcome {
        max_per_s: max_per_s.max().unwrap_or(0),
        last_per_s: last as f64 / 10.0,
    }
}
