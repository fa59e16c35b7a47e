//! The first deployment's load on 30 gateways and 69 engines, without a network.
//!
//! Engines are emulated by the time for which they are busy: a prompt goes to the engines that are
//! free first, and is on time if its wait and its prefill fit its first-token target.

mod kinds;

use std::collections::BTreeMap;
use std::collections::HashMap;

use mgs_admission::demand_shares::DemandShares;
use mgs_admission::demand_shares::EnginePressure;
use mgs_admission::demand_shares::OrganisationDemand;
use mgs_admission::demand_shares::OrganisationHash;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use kinds::Kind;
use kinds::KINDS;

pub(crate) const ORGANISATIONS: usize = 24;
pub(crate) const GATEWAYS: usize = 30;
const ENGINES: usize = 69;

const STEP_MS: f64 = 5.0;
const REPORT_INTERVAL_MS: f64 = 300.0;
const REPORT_DELAY_MS: f64 = 30.0;
const REPORT_LOSS_SHARE: f64 = 0.02;
/// Silence after which a peer is dropped, as in `mgs-placing`.
const PEER_SILENCE_MS: f64 = 1_200.0;
/// Time over which the engines' time in use is averaged for [`Fleet::refusals_with_room`].
const USE_MS: f64 = 1_000.0;
/// Share of the engines' time in use up to which nothing is short.
const ROOM_SHARE: f64 = 0.9;
/// First of the small organisations: one long prompt in ten seconds, or fewer.
const FIRST_SMALL: usize = 8;
/// Most long prompts that a small organisation sends at once, if it sends them in groups.
const GROUP_MAX: usize = 3;
/// Times that a client comes back after a refusal.
const RETRIES_MAX: u32 = 2;

/// Engine time that the usual load of all organisations needs, as a share of what there is.
pub(crate) fn usual_load_share() -> f64 {
    let cost_ms: f64 = KINDS.iter().map(|kind| kind.per_s * kind.cost_ms()).sum();
    cost_ms / (ENGINES as f64 * 1e3)
}

/// Size of an organisation relative to the largest.
fn size(organisation: usize) -> f64 {
    1.0 / (organisation + 1) as f64
}

pub(crate) fn hash(organisation: usize) -> OrganisationHash {
    OrganisationHash::of(&format!("organisation-{organisation}"))
}

/// Outcomes of one organisation's requests; a client's retry isn't another request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outcomes {
    pub(crate) requests: f64,
    /// Served at any attempt.
    pub(crate) served: f64,
    pub(crate) served_ms: f64,
    /// On time at the first attempt.
    pub(crate) on_time: f64,
    pub(crate) share_refusals: f64,
    pub(crate) engine_refusals: f64,
}

impl Outcomes {
    pub(crate) fn on_time_share(&self) -> f64 {
        self.on_time / self.requests
    }

    pub(crate) fn served_share(&self) -> f64 {
        self.served / self.requests
    }
}

/// A request on its way to a gateway.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    organisation: usize,
    kind: Kind,
    retries: u32,
}

#[derive(Debug)]
struct Gateway {
    shares: DemandShares,
    incarnation: u64,
    sequence: u64,
    report_due_ms: f64,
    last_heard_ms: HashMap<u64, f64>,
}

#[derive(Debug)]
struct Report {
    due_ms: f64,
    to: usize,
    from: u64,
    sequence: u64,
    demands: Vec<OrganisationDemand>,
}

/// What differs from the usual load and from undisturbed gateways.
#[derive(Debug, Clone)]
pub(crate) struct Conditions {
    /// Load of each organisation relative to its usual.
    pub(crate) load: [f64; ORGANISATIONS],
    /// Whether shares are in use.
    pub(crate) is_on: bool,
    /// Speed of the engines relative to their declared figures.
    pub(crate) engine_speed: f64,
    /// The gateway that gets all requests of an organisation, if it isn't drawn for each.
    pub(crate) pinned: HashMap<usize, usize>,
    /// Gateways from this index on neither send nor receive reports.
    pub(crate) cut_off_from: usize,
    /// Rate of long prompts of all organisations, relative to their usual rate.
    pub(crate) long_load: f64,
    /// Engines that are there.
    pub(crate) engines: usize,
    /// Whether small organisations send their long prompts in groups, at the same mean rate.
    pub(crate) has_groups: bool,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            load: [1.0; ORGANISATIONS],
            is_on: true,
            engine_speed: 1.0,
            pinned: HashMap::new(),
            cut_off_from: GATEWAYS,
            long_load: 1.0,
            engines: ENGINES,
            has_groups: false,
        }
    }
}

/// Gateways, engines and clients.
pub(crate) struct Fleet {
    pub(crate) conditions: Conditions,
    pub(crate) outcomes: [Outcomes; ORGANISATIONS],
    pub(crate) now_ms: f64,
    /// Refusals by shares while the engines had room in the last second.
    pub(crate) refusals_with_room: f64,
    /// Share of the engines' time in use, averaged over [`USE_MS`], and the most that it was.
    pub(crate) use_share: f64,
    pub(crate) use_share_max: f64,
    gateways: Vec<Gateway>,
    engines: Vec<f64>,
    reports: Vec<Report>,
    retries: Vec<(f64, Attempt)>,
    /// Clients' requests.
    arrivals: ChaCha8Rng,
    /// All other random events, so that requests are the same with and without shares.
    random: ChaCha8Rng,
}

impl Fleet {
    pub(crate) fn new(seed: u64, conditions: Conditions) -> Self {
        let mut fleet = Self {
            conditions,
            outcomes: [Outcomes::default(); ORGANISATIONS],
            now_ms: 0.0,
            refusals_with_room: 0.0,
            use_share: 0.0,
            use_share_max: 0.0,
            gateways: Vec::new(),
            engines: vec![0.0; ENGINES],
            reports: Vec::new(),
            retries: Vec::new(),
            arrivals: ChaCha8Rng::seed_from_u64(seed),
            random: ChaCha8Rng::seed_from_u64(seed + 1_000_000),
        };
        for _ in 0..GATEWAYS {
            let gateway = fleet.started_gateway();
            fleet.gateways.push(gateway);
        }
        fleet
    }

    fn started_gateway(&mut self) -> Gateway {
        Gateway {
            shares: DemandShares::started_at(self.now_ms),
            incarnation: self.random.random(),
            sequence: 0,
            report_due_ms: self.now_ms + self.random.random_range(0.0..REPORT_INTERVAL_MS),
            last_heard_ms: HashMap::new(),
        }
    }

    /// Restarts all gateways at once.
    pub(crate) fn restart_gateways(&mut self) {
        for index in 0..GATEWAYS {
            self.gateways[index] = self.started_gateway();
        }
    }

    pub(crate) fn set_priorities(&mut self, priorities: &HashMap<OrganisationHash, u8>) {
        for gateway in &mut self.gateways {
            gateway.shares.set_priorities(priorities.clone());
        }
    }

    /// Runs for a time and returns the outcomes of its requests by organisation.
    pub(crate) fn run(&mut self, duration_s: f64) -> [Outcomes; ORGANISATIONS] {
        self.outcomes = [Outcomes::default(); ORGANISATIONS];
        (self.refusals_with_room, self.use_share_max) = (0.0, 0.0);
        let end_ms = self.now_ms + duration_s * 1e3;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.start_and_stop_engines();
            let step = STEP_MS / USE_MS;
            self.use_share += (self.pressure().busy_share - self.use_share) * step;
            self.use_share_max = self.use_share_max.max(self.use_share);
            if self.conditions.is_on {
                self.exchange_reports();
            }
            for attempt in self.due_attempts() {
                self.serve(attempt);
            }
        }
        self.outcomes
    }

    /// Takes away the engines that have most to do, which then never finish it, or adds idle ones.
    fn start_and_stop_engines(&mut self) {
        if self.engines.len() != self.conditions.engines {
            self.engines.sort_by(f64::total_cmp);
            self.engines.resize(self.conditions.engines, self.now_ms);
        }
    }

    fn exchange_reports(&mut self) {
        for index in 0..GATEWAYS {
            if self.gateways[index].report_due_ms <= self.now_ms {
                self.send_report(index);
            }
        }
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|report| report.due_ms <= now_ms);
        self.reports = later;
        for report in due {
            let gateway = &mut self.gateways[report.to];
            gateway
                .shares
                .record_peer(now_ms, report.from, report.sequence, &report.demands);
            gateway.last_heard_ms.insert(report.from, now_ms);
        }
        for gateway in &mut self.gateways {
            let shares = &mut gateway.shares;
            gateway.last_heard_ms.retain(|peer, heard_ms| {
                let is_heard = now_ms - *heard_ms <= PEER_SILENCE_MS;
                if !is_heard {
                    shares.drop_peer(*peer);
                }
                is_heard
            });
        }
    }

    fn send_report(&mut self, from: usize) {
        let cut_off_from = self.conditions.cut_off_from;
        let gateway = &mut self.gateways[from];
        gateway.report_due_ms += REPORT_INTERVAL_MS;
        gateway.sequence += 1;
        let demands = gateway.shares.report(self.now_ms);
        let (incarnation, sequence) = (gateway.incarnation, gateway.sequence);
        for to in 0..GATEWAYS {
            let is_cut = from >= cut_off_from || to >= cut_off_from;
            let is_lost = self.random.random::<f64>() < REPORT_LOSS_SHARE;
            if to == from || is_cut || is_lost {
                continue;
            }
            self.reports.push(Report {
                due_ms: self.now_ms + self.random.random_range(0.0..2.0 * REPORT_DELAY_MS),
                to,
                from: incarnation,
                sequence,
                demands: demands.clone(),
            });
        }
    }

    /// New requests and retries that arrive in this step.
    fn due_attempts(&mut self) -> Vec<Attempt> {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.retries)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.retries = later;
        let due: Vec<(f64, Attempt)> = due;
        let mut attempts: Vec<Attempt> = due.into_iter().map(|(_, attempt)| attempt).collect();
        let sizes: f64 = (0..ORGANISATIONS).map(size).sum();
        for organisation in 0..ORGANISATIONS {
            let share = size(organisation) / sizes * self.conditions.load[organisation];
            for kind in KINDS {
                let expected = kind.per_s * share * STEP_MS / 1e3;
                for _ in 0..self.arriving(organisation, &kind, expected) {
                    self.outcomes[organisation].requests += 1.0;
                    attempts.push(Attempt {
                        organisation,
                        kind,
                        retries: 0,
                    });
                }
            }
        }
        attempts
    }

    /// Number of prompts of a kind that an organisation sends in this step.
    fn arriving(&mut self, organisation: usize, kind: &Kind, expected: f64) -> usize {
        let is_long = kind.is_long();
        let is_grouped = self.conditions.has_groups && is_long && organisation >= FIRST_SMALL;
        let mean_group = (1 + GROUP_MAX) as f64 / 2.0;
        let load = if is_long {
            self.conditions.long_load
        } else {
            1.0
        };
        let events = expected * load / if is_grouped { mean_group } else { 1.0 };
        let whole = events.floor();
        let extra = self.arrivals.random::<f64>() < events - whole;
        let count = whole as usize + usize::from(extra);
        match is_grouped {
            true => (0..count)
                .map(|_| self.arrivals.random_range(1..=GROUP_MAX))
                .sum(),
            false => count,
        }
    }

    fn serve(&mut self, attempt: Attempt) {
        let now_ms = self.now_ms;
        let cost_ms = attempt.kind.cost_ms();
        let name = hash(attempt.organisation);
        let pinned = self.conditions.pinned.get(&attempt.organisation).copied();
        let drawn = self.random.random_range(0..GATEWAYS);
        let index = pinned.unwrap_or(drawn);
        let draw = self.random.random::<f64>();
        if self.conditions.is_on {
            let pressure = self.pressure();
            let shares = &mut self.gateways[index].shares;
            if shares.is_refresh_due(now_ms) {
                shares.refresh(now_ms, &pressure);
            }
            if let Err(refusal) = shares.admit(now_ms, name, cost_ms, draw) {
                self.outcomes[attempt.organisation].share_refusals += 1.0;
                if self.use_share < ROOM_SHARE {
                    self.refusals_with_room += 1.0;
                }
                return self.come_back(attempt, refusal.retry_after_ms as f64);
            }
        }
        let Some(wait_ms) = self.place(attempt.kind) else {
            self.outcomes[attempt.organisation].engine_refusals += 1.0;
            let shares = &mut self.gateways[index].shares;
            shares.record_refused(now_ms, name, cost_ms, 0.0);
            return self.come_back(attempt, 1_000.0);
        };
        let outcomes = &mut self.outcomes[attempt.organisation];
        outcomes.served += 1.0;
        outcomes.served_ms += cost_ms;
        let prefill_ms = attempt.kind.prefill_ms() / attempt.kind.engines as f64;
        let is_on_time = wait_ms + prefill_ms <= attempt.kind.ttft_target_ms;
        if is_on_time && attempt.retries == 0 {
            outcomes.on_time += 1.0;
        }
    }

    fn come_back(&mut self, attempt: Attempt, after_ms: f64) {
        if attempt.retries < RETRIES_MAX {
            let again = Attempt {
                retries: attempt.retries + 1,
                ..attempt
            };
            self.retries.push((self.now_ms + after_ms, again));
        }
    }

    /// What each gateway sees of the engines in its load table.
    fn pressure(&self) -> EnginePressure {
        let busy = self.engines.iter().filter(|until| **until > self.now_ms);
        let free_first = self.engines.iter().copied().fold(f64::INFINITY, f64::min);
        EnginePressure {
            engines: self.engines.len(),
            busy_share: busy.count() as f64 / self.engines.len() as f64,
            wait_ms: (free_first - self.now_ms).max(0.0),
        }
    }

    /// Places a prompt on the engines that are free first; returns its wait, or `None` if it is too
    /// late.
    fn place(&mut self, kind: Kind) -> Option<f64> {
        let now_ms = self.now_ms;
        self.engines.sort_by(f64::total_cmp);
        let wait_ms = (self.engines[kind.engines - 1] - now_ms).max(0.0);
        if wait_ms > kind.patience_ms {
            return None;
        }
        let part_ms = kind.cost_ms() / kind.engines as f64 / self.conditions.engine_speed;
        for until in &mut self.engines[..kind.engines] {
            *until = until.max(now_ms) + part_ms;
        }
        Some(wait_ms)
    }
}

/// Shares of a gateway that has learned equal usual costs of some organisations.
pub(crate) fn learned_shares(organisations: usize) -> DemandShares {
    let mut shares = DemandShares::started_at(0.0);
    for step in 0..400 {
        let now_ms = f64::from(step) * 50.0;
        for organisation in 0..organisations {
            let _ = shares.admit(now_ms, hash(organisation), 5.0, 0.0);
        }
    }
    shares
}

/// On-time share of all requests.
pub(crate) fn on_time(outcomes: &[Outcomes; ORGANISATIONS]) -> f64 {
    let on_time: f64 = outcomes.iter().map(|row| row.on_time).sum();
    on_time / outcomes.iter().map(|row| row.requests).sum::<f64>()
}

/// On-time share of all organisations but one, over all their requests.
pub(crate) fn others_on_time(outcomes: &[Outcomes; ORGANISATIONS], except: usize) -> f64 {
    let others = (0..ORGANISATIONS).filter(|index| *index != except);
    let (mut on_time, mut requests) = (0.0, 0.0);
    for index in others {
        on_time += outcomes[index].on_time;
        requests += outcomes[index].requests;
    }
    on_time / requests
}

/// Jain's index of some shares: 1 if all are equal, 1 / n if one has everything.
pub(crate) fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (shares.len() as f64 * squares)
}

/// Prints the outcomes by organisation.
pub(crate) fn print_outcomes(title: &str, outcomes: &[Outcomes; ORGANISATIONS]) {
    println!("{title}");
    let rows: BTreeMap<usize, &Outcomes> = outcomes.iter().enumerate().collect();
    for (organisation, row) in rows {
        println!(
            "  {organisation:>2}: {:>5} requests, on time {:.3}, served {:.3}, refused by share {:>5}, by engines {:>5}",
            row.requests,
            row.on_time_share(),
            row.served_share(),
            row.share_refusals,
            row.engine_refusals
        );
    }
}

/// Time in which gateways learn usual costs, in seconds.
pub(crate) const LEARN_S: f64 = 40.0;

/// Time that a load lasts before outcomes count, in seconds: the shares need about one.
pub(crate) const SETTLE_S: f64 = 2.0;

/// Time over which outcomes are counted, in seconds.
pub(crate) const MEASURE_S: f64 = 40.0;

/// Outcomes under a load that begins after the gateways have learned the usual one.
pub(crate) fn outcomes_under(
    seed: u64,
    conditions: Conditions,
    load: [f64; ORGANISATIONS],
) -> [Outcomes; ORGANISATIONS] {
    let mut fleet = Fleet::new(seed, conditions);
    fleet.run(LEARN_S);
    fleet.conditions.load = load;
    fleet.run(SETTLE_S);
    fleet.run(MEASURE_S)
}
