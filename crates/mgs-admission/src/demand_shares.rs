//! Shares of organisations when the engines can't serve everything that is asked for.
//!
//! Each gateway decides alone at the arrival of a prompt, by figures summed over all gateways:
//! core-stateless fair queueing. The cost of a prompt is engine time. While capacity isn't short,
//! everything is admitted. Otherwise each organisation may use its usual cost, and what others leave
//! unused is divided in proportion to the usual costs. Prompts of an organisation that asks for more
//! are admitted at random, so that the admitted cost is what it may use. Beyond that they are admitted
//! as long as the engines begin at once with what arrives: what is left of their time is used, and
//! nobody waits for it.
//!
//! [`DemandShares`] is the state of one gateway. It has no clock and no random source.

mod figures;
mod rates;
mod room;
mod shortage;
mod surge;
mod water_filling;

use std::collections::HashMap;

use rates::Growth;
use rates::OwnRates;
use rates::RATE_MS;
use room::Room;
use room::WAIT_COUNTED_MAX_MS;
use shortage::Shortage;
use shortage::Strain;
use surge::SurgeEvidence;

pub use figures::EnginePressure;
pub use figures::OrganisationDemand;
pub use figures::OrganisationHash;
pub use figures::ShareRefusal;
pub use figures::ShortageChange;
pub use water_filling::water_level;
pub use water_filling::WeightedDemand;

/// Most organisations in a report to peers.
pub const REPORTED_ORGANISATIONS_MAX: usize = 24;

/// Time for which the allowed rates are kept before they are computed again, in milliseconds: short
/// compared with the interval of 300 ms between reports of peers.
const REFRESH_MS: f64 = 50.0;

/// Age from which on a report doesn't count any more, in milliseconds: ten intervals. A gateway that
/// is heard and sends no reports has no demand, or doesn't use shares any more.
const REPORT_EXPIRY_MS: f64 = 3_000.0;

/// Milliseconds of engine time that one engine has per second.
const ENGINE_TIME_PER_S: f64 = 1_000.0;

/// Part of an equal share of the usual costs that an organisation has as weight at least, also if it
/// has just appeared. An equal share would let many new names take most of the capacity.
const WEIGHT_MIN_SHARE: f64 = 0.25;

/// Part of an equal share of the capacity that each organisation keeps, whatever its priority.
const KEPT_SHARE: f64 = 0.1;

/// Ratio to its usual cost up to which an organisation is served before anyone's excess: the usual
/// cost follows growth of demand only after some seconds.
const USUAL_MARGIN: f64 = 1.25;

/// Share of the engines' time that is divided among usual costs at least, however much the capacity
/// is reduced because of a surge: the excess is refused first.
const USUAL_CAPACITY_SHARE: f64 = 0.7;

/// Number of deviations from the usual cost at which half of the excess counts as demand. The rate of
/// one second of a small organisation is a few long prompts or none; without this it would be
/// refused what it always asks for.
const NOISE_DEVIATIONS: f64 = 2.0;

/// Factor of an organisation's weight for each step that its priority is below the highest.
const PRIORITY_FACTOR: f64 = 0.5;

/// Least factor of an organisation's weight by its priority.
const PRIORITY_FACTOR_MIN: f64 = 0.1;

/// Share of the engines' time that all usual costs together exceed if they are known. Below it the
/// fleet was idle, and the usual costs say nothing.
const KNOWN_SHARE: f64 = 0.02;

/// Share of the engines' time that an organisation asks for beyond its usual cost if it can be the
/// cause of a shortage: the distance between a busy fleet and a full one.
const SURGE_MIN_SHARE: f64 = 0.1;

/// Time after a shortage for which its refusals by shares are part of the rates, in milliseconds:
/// three time constants, after which a twentieth is left of them.
const SHARE_REFUSALS_MS: f64 = 3.0 * RATE_MS;

/// Bounds of `Retry-After`, in milliseconds: those of other refusals for lack of capacity.
const RETRY_AFTER_MIN_MS: f64 = 150.0;
const RETRY_AFTER_MAX_MS: f64 = 3_000.0;

/// Largest factor by which `Retry-After` is drawn out, so that what was refused at the same time
/// doesn't return at the same time.
const RETRY_SPREAD_FACTOR: f64 = 1.5;

/// The last report of a peer.
#[derive(Debug)]
struct PeerDemands {
    sequence: u64,
    at_ms: f64,
    demands: Vec<OrganisationDemand>,
}

impl PeerDemands {
    fn is_learned(&self) -> bool {
        self.demands.iter().any(|demand| demand.usual > 0.0)
    }
}

/// Figures of one organisation, summed over all gateways.
#[derive(Debug, Clone, Copy, Default)]
struct FleetDemand {
    asked: f64,
    admitted: f64,
    usual: f64,
    /// The usual cost, or the least weight if that is more.
    weight: f64,
    /// Excess over the usual cost that may be chance.
    noise: f64,
    /// Evidence that the excess isn't chance.
    evidence: f64,
    /// What is asked for without the part of a deviation that is likely to be chance.
    demand: f64,
    /// The part of the demand that may be admitted, as cost.
    allowed: f64,
}

impl FleetDemand {
    /// The most that counts as usual.
    fn usual_max(&self) -> f64 {
        self.weight * USUAL_MARGIN + self.noise
    }

    /// Part of what is asked for that is admitted.
    fn admitted_share(&self) -> f64 {
        match self.allowed >= self.demand {
            true => 1.0,
            false => self.allowed / self.demand,
        }
    }
}

/// Demand of all organisations, and the decision which prompts are admitted.
///
/// ```
/// use mgs_admission::demand_shares::DemandShares;
/// use mgs_admission::demand_shares::EnginePressure;
/// use mgs_admission::demand_shares::OrganisationHash;
///
/// let mut shares = DemandShares::started_at(0.0);
/// let acme = OrganisationHash::of("acme");
/// let calm = EnginePressure { engines: 4, busy_share: 0.1, wait_ms: 0.0 };
/// shares.refresh(0.0, &calm);
/// // Nothing is short.
/// assert!(shares.admit(0.0, acme, 120.0, 0.99).is_ok());
/// assert_eq!(shares.report(10.0).len(), 1);
/// ```
#[derive(Debug)]
pub struct DemandShares {
    own: OwnRates,
    peers: HashMap<u64, PeerDemands>,
    /// Priorities that differ from the highest, 0.
    priorities: HashMap<OrganisationHash, u8>,
    shortage: Shortage,
    surge_evidence: SurgeEvidence,
    /// When capacity was last short.
    last_short_ms: Option<f64>,
    fleet: HashMap<OrganisationHash, FleetDemand>,
    all: FleetDemand,
    /// The capacity while it is short.
    capacity: Option<f64>,
    /// Whether the engines can begin with more at once.
    room: Room,
    /// Time of all usable engines, in milliseconds per second.
    engine_time: f64,
    refreshed_ms: Option<f64>,
}

impl DemandShares {
    /// The state of a gateway that has just started and knows nothing.
    pub fn started_at(now_ms: f64) -> Self {
        Self {
            own: OwnRates::started_at(now_ms),
            peers: HashMap::new(),
            priorities: HashMap::new(),
            shortage: Shortage::started_at(now_ms),
            surge_evidence: SurgeEvidence::started_at(now_ms),
            last_short_ms: None,
            fleet: HashMap::new(),
            all: FleetDemand::default(),
            capacity: None,
            room: Room::started_at(now_ms),
            engine_time: 0.0,
            refreshed_ms: None,
        }
    }

    /// Replaces the priorities of organisations, 0 being the highest and that of others.
    pub fn set_priorities(&mut self, priorities: HashMap<OrganisationHash, u8>) {
        self.priorities = priorities;
    }

    /// Takes a peer's report unless a newer one is known. Figures that aren't finite or are negative
    /// are left out; returns whether there were any.
    pub fn record_peer(
        &mut self,
        now_ms: f64,
        peer: u64,
        sequence: u64,
        demands: &[OrganisationDemand],
    ) -> bool {
        let known = self.peers.get(&peer);
        if known.is_some_and(|known| known.sequence >= sequence) {
            return false;
        }
        let reported = &demands[..demands.len().min(REPORTED_ORGANISATIONS_MAX)];
        let valid = reported.iter().filter(|demand| demand.is_valid());
        let valid: Vec<OrganisationDemand> = valid.copied().collect();
        let has_invalid = valid.len() < reported.len();
        let report = PeerDemands {
            sequence,
            at_ms: now_ms,
            demands: valid,
        };
        self.peers.insert(peer, report);
        has_invalid
    }

    /// Forgets a peer that fell silent.
    pub fn drop_peer(&mut self, peer: u64) {
        self.peers.remove(&peer);
    }

    /// Number of peers whose reports count.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// This gateway's demand for its peers: the organisations with the most cost, at most
    /// [`REPORTED_ORGANISATIONS_MAX`].
    pub fn report(&mut self, now_ms: f64) -> Vec<OrganisationDemand> {
        self.own.advance(now_ms);
        let mut demands: Vec<OrganisationDemand> = self.own.demands().collect();
        let size = |demand: &OrganisationDemand| demand.asked.max(demand.usual);
        demands.sort_by(|a, b| {
            let by_size = size(b).total_cmp(&size(a));
            by_size.then(a.organisation.cmp(&b.organisation))
        });
        demands.truncate(REPORTED_ORGANISATIONS_MAX);
        demands
    }

    /// Whether [`Self::refresh`] is due.
    pub fn is_refresh_due(&self, now_ms: f64) -> bool {
        let due_ms = self.refreshed_ms.map(|at_ms| at_ms + REFRESH_MS);
        due_ms.is_none_or(|due_ms| now_ms >= due_ms)
    }

    /// Computes what each organisation may use. Returns a change of whether capacity is short.
    pub fn refresh(&mut self, now_ms: f64, engines: &EnginePressure) -> Option<ShortageChange> {
        let was_short = self.capacity.is_some();
        self.refreshed_ms = Some(now_ms);
        self.own.advance(now_ms);
        self.peers
            .retain(|_, peer| now_ms - peer.at_ms <= REPORT_EXPIRY_MS);
        let engine_time = engines.engines as f64 * ENGINE_TIME_PER_S;
        self.engine_time = engine_time;
        let knows_usual = self.sum_demands();
        let is_known = knows_usual && self.all.usual > engine_time * KNOWN_SHARE;
        let largest_cost_ms = self.own.largest_cost_ms();
        self.surge_evidence
            .update(now_ms, &mut self.fleet, &self.all, largest_cost_ms);
        self.set_growth(is_known, was_short);
        if was_short {
            self.last_short_ms = Some(now_ms);
        }
        let strain = Strain {
            engine_time,
            asked: self.all.demand,
            admitted: self.all.admitted,
            busy_share: engines.busy_share,
            wait_ms: engines.wait_ms.clamp(0.0, WAIT_COUNTED_MAX_MS),
            refused_share: self.refused_share(now_ms),
            has_surge: is_known && self.has_surge(engine_time),
        };
        self.room.update(now_ms, &strain, was_short);
        // Without engines, as while all zones are evacuated, refusals say nothing about the capacity.
        let capacity = match engine_time > 0.0 {
            true => self.shortage.update(now_ms, &strain),
            false => None,
        };
        self.capacity = capacity.filter(|_| is_known);
        self.set_allowed(strain.has_surge);
        let is_short = self.capacity.is_some();
        (is_short != was_short).then_some(ShortageChange {
            is_short,
            asked: self.all.asked,
            admitted: self.all.admitted,
            capacity: self.capacity.unwrap_or(0.0),
        })
    }

    /// Decides whether a prompt of `cost_ms` milliseconds of engine time is admitted, and counts it
    /// as asked for and as admitted if it is. A prompt that waits for engines counts as admitted, since
    /// it would seem to be refused by them otherwise. `draw` is a random number in `[0, 1)`.
    ///
    /// # Errors
    ///
    /// Returns the figures behind the refusal if the organisation's share is used up and the engines
    /// have no room.
    pub fn admit(
        &mut self,
        now_ms: f64,
        organisation: OrganisationHash,
        cost_ms: f64,
        draw: f64,
    ) -> Result<(), ShareRefusal> {
        self.own.advance(now_ms);
        self.own.add_asked(organisation, cost_ms);
        if let (Some(capacity), Some(fleet)) = (self.capacity, self.fleet.get(&organisation)) {
            let factor = priority_factor(&self.priorities, organisation);
            if draw >= fleet.admitted_share() && !self.room.is_left(factor) {
                return Err(self.refusal(now_ms, fleet, capacity, draw));
            }
        }
        self.room.take(cost_ms);
        self.own.add_admitted(organisation, cost_ms);
        Ok(())
    }

    /// Counts a prompt that was admitted `waited_ms` milliseconds ago and that no engine takes.
    pub fn record_refused(
        &mut self,
        now_ms: f64,
        organisation: OrganisationHash,
        cost_ms: f64,
        waited_ms: f64,
    ) {
        self.own.advance(now_ms);
        self.own.add_refused(organisation, cost_ms, waited_ms);
    }

    /// The share of what gateways would send to engines that these refuse. While nobody is throttled,
    /// that is all that isn't admitted anywhere. During a shortage and as long as the rates contain its
    /// refusals by shares, only this gateway's part is known.
    fn refused_share(&self, now_ms: f64) -> f64 {
        let since_short_ms = self.last_short_ms.map(|at_ms| now_ms - at_ms);
        let is_mixed = since_short_ms.is_some_and(|since_ms| since_ms < SHARE_REFUSALS_MS);
        if is_mixed || self.all.asked <= 0.0 {
            return self.own.refused_share();
        }
        (1.0 - self.all.admitted / self.all.asked).clamp(0.0, 1.0)
    }

    /// Sums the figures of all gateways. Returns whether at least half of the gateways know usual
    /// costs; the sums are scaled to all gateways.
    fn sum_demands(&mut self) -> bool {
        let mut fleet: HashMap<OrganisationHash, FleetDemand> = HashMap::new();
        let from_peers = self.peers.values().flat_map(|peer| peer.demands.iter());
        for demand in self.own.demands().chain(from_peers.copied()) {
            let sum = fleet.entry(demand.organisation).or_default();
            sum.asked += f64::from(demand.asked);
            sum.admitted += f64::from(demand.admitted);
            sum.usual += f64::from(demand.usual);
        }
        let learned = self.peers.values().filter(|peer| peer.is_learned()).count()
            + usize::from(self.own.is_learned());
        let gateways = self.peers.len() + 1;
        let scale = gateways as f64 / learned.max(1) as f64;
        let mut all = FleetDemand::default();
        for sum in fleet.values_mut() {
            sum.usual *= scale;
            all.asked += sum.asked;
            all.admitted += sum.admitted;
            all.usual += sum.usual;
        }
        let weight_min = WEIGHT_MIN_SHARE * all.usual / fleet.len().max(1) as f64;
        for sum in fleet.values_mut() {
            sum.weight = sum.usual.max(weight_min).max(f64::MIN_POSITIVE);
            sum.noise = NOISE_DEVIATIONS * self.own.deviation(sum.weight);
            sum.demand = without_noise(sum.asked, sum.weight, sum.noise);
            all.weight += sum.weight;
            all.demand += sum.demand;
        }
        self.fleet = fleet;
        self.all = all;
        learned * 2 >= gateways
    }

    fn set_growth(&mut self, is_known: bool, is_short: bool) {
        let fleet = &self.fleet;
        self.own.set_growth(|organisation| {
            let sum = fleet.get(&organisation).filter(|_| is_known);
            sum.map_or(Growth::STEADY, |sum| {
                Growth::of(sum.demand, sum.weight, sum.is_doubtful(), is_short)
            })
        });
    }

    fn has_surge(&self, engine_time: f64) -> bool {
        let excess_min = engine_time * SURGE_MIN_SHARE;
        let is_large = |sum: &&FleetDemand| sum.demand - sum.weight > excess_min;
        let mut large = self.fleet.values().filter(is_large);
        large.any(|sum| sum.is_surge(&self.all))
    }

    /// Divides the capacity: first the part that everyone keeps, then by weight. During a surge, usual
    /// costs go before the excess, and those of the others aren't bounded by the reduced capacity. If
    /// all that the others ask for fits, none of them is throttled.
    fn set_allowed(&mut self, has_surge: bool) {
        let Some(capacity) = self.capacity else {
            return;
        };
        let kept_max = KEPT_SHARE * capacity / self.fleet.len().max(1) as f64;
        for sum in self.fleet.values_mut() {
            sum.allowed = sum.demand.min(kept_max);
        }
        if has_surge {
            let all = self.all;
            let for_usual = capacity.max(self.engine_time * USUAL_CAPACITY_SHARE);
            self.fill(capacity, FleetDemand::usual_max);
            let others = self.fleet.values().filter(|sum| !sum.is_surge(&all));
            let others_fit = others.map(|sum| sum.demand).sum::<f64>() <= for_usual;
            self.fill(for_usual, |sum| match sum.is_surge(&all) {
                true => 0.0,
                false if others_fit => f64::INFINITY,
                false => sum.usual_max(),
            });
        }
        self.fill(capacity, |_| f64::INFINITY);
    }

    /// Divides what is left of the capacity by weight, up to `most` for each organisation.
    fn fill(&mut self, capacity: f64, most: impl Fn(&FleetDemand) -> f64) {
        let taken: f64 = self.fleet.values().map(|sum| sum.allowed).sum();
        let priorities = &self.priorities;
        let demand = |(organisation, sum): (&OrganisationHash, &FleetDemand)| WeightedDemand {
            asked: (sum.demand.min(most(sum)) - sum.allowed).max(0.0),
            weight: sum.weight * priority_factor(priorities, *organisation),
        };
        let demands: Vec<WeightedDemand> = self.fleet.iter().map(demand).collect();
        let level = water_level(capacity - taken, &demands);
        for (sum, demand) in self.fleet.values_mut().zip(&demands) {
            sum.allowed += demand.at_level(level);
        }
    }

    fn refusal(&self, now_ms: f64, fleet: &FleetDemand, capacity: f64, draw: f64) -> ShareRefusal {
        let ages_ms = self.peers.values().map(|peer| now_ms - peer.at_ms);
        // If nothing more came, the rate of what is asked for would fall to what is allowed by then.
        let excess_ms = -RATE_MS * fleet.admitted_share().max(f64::MIN_POSITIVE).ln();
        let spread = 1.0 + (RETRY_SPREAD_FACTOR - 1.0) * draw;
        let retry_after_ms = (excess_ms.max(RETRY_AFTER_MIN_MS) * spread).min(RETRY_AFTER_MAX_MS);
        ShareRefusal {
            asked: fleet.asked,
            allowed: fleet.allowed,
            usual: fleet.usual,
            asked_by_all: self.all.asked,
            capacity,
            peers: self.peers.len(),
            oldest_report_ms: ages_ms.fold(0.0, f64::max),
            retry_after_ms: retry_after_ms as u64,
        }
    }
}

/// What an organisation asks for, with its deviation from the usual cost reduced the more, the likelier
/// it is chance: by half if it is `noise`, and hardly at nine times the usual.
fn without_noise(asked: f64, usual: f64, noise: f64) -> f64 {
    let deviation = asked - usual;
    let squared = deviation * deviation;
    let counted_share = squared / (squared + noise * noise).max(f64::MIN_POSITIVE);
    usual + deviation * counted_share
}

fn priority_factor(
    priorities: &HashMap<OrganisationHash, u8>,
    organisation: OrganisationHash,
) -> f64 {
    let priority = priorities.get(&organisation).copied().unwrap_or(0);
    PRIORITY_FACTOR
        .powi(i32::from(priority))
        .max(PRIORITY_FACTOR_MIN)
}
