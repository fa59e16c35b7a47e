//! A fleet of gateways that follow orders to evacuate zones, with random disturbances. The network
//! is emulated as datagrams that get lost, are repeated or arrive late.

mod store;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mgs_relay::evacuation::Evacuations;
use mgs_relay::evacuation::FullRead;
use mgs_relay::evacuation::ZoneOrder;
use mgs_relay::membership::ENTRY_EXPIRY_MS;
use mgs_relay::source::Revision;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use store::Store;
use store::ZONES;

/// Time between two steps, in milliseconds.
const STEP_MS: u64 = 300;

/// Steps with disturbances.
const DISTURBED_STEPS: usize = 90;

/// Steps without disturbances after them, in which all gateways must come to agree: an order that
/// a restored copy lacks is dropped after 6 s, and one that is heard of only then after 6 s more.
const QUIET_STEPS: usize = 60;

/// Peers that a gateway sends its orders to in each step. Real gateways send them to all; with
/// fewer, orders take more ways.
const PEERS_PER_STEP: usize = 4;

/// Peers that a gateway sends its orders to when they change.
const PEERS_AT_CHANGE: usize = 12;

/// Longest delay of a late datagram, in milliseconds.
const LATE_MAX_MS: u32 = 9_000;

/// Faults that the checks must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    /// None.
    Nothing,
    /// A gateway that starts without the store doesn't take the orders of a peer.
    StartForgetsOrders,
    /// A removal that arrives before its order isn't remembered, so that the order counts later.
    RemovalBeforeOrder,
    /// A gateway takes the orders of a restored older copy for all there are.
    OlderCopyWins,
}

/// One gateway.
#[derive(Default)]
struct Gateway {
    evacuations: Evacuations,
    is_running: bool,
    reaches_store: bool,
    /// Part of a partitioned network that it is in.
    network: u32,
    /// Revision up to which it has read the store.
    read_until: Option<Revision>,
    /// The newest order that reached it, by zone.
    newest: BTreeMap<String, ZoneOrder>,
    /// Registers after the last check.
    checked: BTreeMap<String, ZoneOrder>,
}

/// Orders on their way to a gateway.
struct Datagram {
    arrives_ms: u64,
    to: usize,
    orders: Vec<ZoneOrder>,
}

struct Fleet {
    store: Store,
    gateways: Vec<Gateway>,
    in_flight: Vec<Datagram>,
    random: ChaCha8Rng,
    now_ms: u64,
    fault: InjectedFault,
    violations: Vec<String>,
}

/// Plays a random history, and returns the broken requirements.
pub(crate) fn play(gateways: usize, seed: u64, fault: InjectedFault) -> Vec<String> {
    let mut fleet = Fleet {
        store: Store::new(),
        gateways: (0..gateways).map(|_| Gateway::default()).collect(),
        in_flight: Vec::new(),
        random: ChaCha8Rng::seed_from_u64(seed),
        now_ms: 0,
        fault,
        violations: Vec::new(),
    };
    for number in 0..gateways {
        fleet.gateways[number].reaches_store = true;
        fleet.start(number);
    }
    for _ in 0..DISTURBED_STEPS {
        fleet.disturb();
        fleet.step();
    }
    fleet.repair();
    for _ in 0..QUIET_STEPS {
        fleet.step();
    }
    fleet.check_agreement();
    fleet.violations
}

impl Fleet {
    fn below(&mut self, bound: usize) -> usize {
        self.random.random_range(0..bound.max(1))
    }

    fn happens(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    /// Injects some disturbances; their number grows with that of the gateways.
    fn disturb(&mut self) {
        if self.happens(0.15) {
            let zone = self.below(ZONES.len());
            let is_evacuated = self.happens(0.5);
            self.store.write(zone, is_evacuated);
        }
        if self.happens(0.06) {
            self.store.is_up = !self.store.is_up;
        }
        if self.happens(0.04) {
            let lost = self.below(5);
            self.store.roll_back(lost, self.now_ms);
        }
        if self.happens(0.04) {
            self.rewrite();
        }
        if self.happens(0.05) {
            let networks = 1 + self.below(3) as u32;
            for number in 0..self.gateways.len() {
                self.gateways[number].network = self.random.next_u32() % networks;
            }
        }
        for _ in 0..1 + self.gateways.len() / 20 {
            let number = self.below(self.gateways.len());
            match self.below(8) {
                0 | 1 => {
                    let reaches_store = self.happens(0.6);
                    self.gateways[number].reaches_store = reaches_store;
                }
                2 => self.stop(number),
                3 | 4 => self.start(number),
                _ => {}
            }
        }
    }

    /// The operators write again what a rollback has lost.
    fn rewrite(&mut self) {
        for zone in 0..ZONES.len() {
            if self.store.wanted[zone] != self.store.is_listed(zone) {
                self.store.write(zone, self.store.wanted[zone]);
            }
        }
    }

    /// Repairs everything, except that a third of the gateways stay cut off from the store.
    fn repair(&mut self) {
        self.store.is_up = true;
        self.rewrite();
        for number in 0..self.gateways.len() {
            self.gateways[number].network = 0;
            self.gateways[number].reaches_store = number % 3 != 2;
            self.start(number);
        }
    }

    fn stop(&mut self, number: usize) {
        let reaches_store = self.gateways[number].reaches_store;
        self.gateways[number] = Gateway {
            reaches_store,
            network: self.gateways[number].network,
            ..Gateway::default()
        };
        self.in_flight.retain(|datagram| datagram.to != number);
    }

    /// Starts a gateway that has something to start with: the store, or a peer that knows it.
    fn start(&mut self, number: usize) {
        if self.gateways[number].is_running {
            return;
        }
        if self.store.is_up && self.gateways[number].reaches_store {
            self.gateways[number].is_running = true;
            self.read_store(number);
            return;
        }
        let network = self.gateways[number].network;
        let is_reachable = |gateway: &Gateway| gateway.is_running && gateway.network == network;
        let Some(peer) = self.gateways.iter().position(is_reachable) else {
            return;
        };
        let snapshot = self.gateways[peer].evacuations.orders();
        self.gateways[number].is_running = true;
        if self.fault != InjectedFault::StartForgetsOrders {
            self.hear(number, &snapshot);
        }
        let known = self.gateways[number].evacuations.evacuated_zones();
        let at_peer = self.gateways[peer].evacuations.evacuated_zones();
        if !known.is_superset(&at_peer) {
            self.violate(number, "starts without an order of its peer");
        }
    }

    /// Lets a gateway hear orders of a peer.
    fn hear(&mut self, number: usize, orders: &[ZoneOrder]) {
        let now_ms = self.now_ms;
        let heeded = self.without_early_removals(number, orders);
        let gateway = &mut self.gateways[number];
        gateway.note_newest(orders);
        let taken = gateway.evacuations.merge(&heeded, now_ms);
        if !taken.is_empty() {
            self.send(number, PEERS_AT_CHANGE);
        }
    }

    fn without_early_removals(&self, number: usize, orders: &[ZoneOrder]) -> Vec<ZoneOrder> {
        let evacuations = &self.gateways[number].evacuations;
        let is_kept = |order: &&ZoneOrder| {
            self.fault != InjectedFault::RemovalBeforeOrder
                || order.is_evacuated
                || evacuations.is_evacuated(&order.zone)
        };
        orders.iter().filter(is_kept).cloned().collect()
    }

    /// Lets a gateway read the store as its follower does: changes within an era, else everything.
    fn read_store(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let revision = self.store.revision();
        let gateway = &mut self.gateways[number];
        let is_due = gateway
            .evacuations
            .full_read_due_ms()
            .is_some_and(|due_ms| due_ms <= now_ms);
        let read_until = gateway.read_until.filter(|read| read.era == revision.era);
        gateway.read_until = Some(revision);
        let taken = match read_until.filter(|_| !is_due) {
            Some(read_until) => {
                let changes = self.store.changes(read_until.number);
                gateway.note_newest(&changes);
                gateway
                    .evacuations
                    .apply_changes(&changes, revision, now_ms)
            }
            None => {
                let read = self.store.full_read(now_ms);
                gateway.note_newest(&read.listed);
                let fault = self.fault;
                gateway.apply_full_read(&read, now_ms, fault)
            }
        };
        if !taken.is_empty() {
            self.send(number, PEERS_AT_CHANGE);
        }
        self.check_in_touch(number);
    }

    /// Sends all orders of a gateway to some peers.
    fn send(&mut self, from: usize, peers: usize) {
        let orders = self.gateways[from].evacuations.orders();
        if orders.is_empty() {
            return;
        }
        for _ in 0..peers {
            let to = self.below(self.gateways.len());
            let is_lost = self.happens(0.3);
            if to == from || is_lost || self.gateways[to].network != self.gateways[from].network {
                continue;
            }
            let copies = 1 + usize::from(self.happens(0.1));
            for _ in 0..copies {
                let is_late = self.happens(0.1);
                let late_ms = u64::from(self.random.next_u32() % LATE_MAX_MS);
                let delay_ms = if is_late { late_ms } else { 2 };
                self.in_flight.push(Datagram {
                    arrives_ms: self.now_ms + delay_ms,
                    to,
                    orders: orders.clone(),
                });
            }
        }
    }

    /// Plays the next step.
    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later) = in_flight.into_iter().partition(|d| d.arrives_ms <= now_ms);
        self.in_flight = later;
        let mut due: Vec<Datagram> = due;
        due.sort_by_key(|datagram| datagram.arrives_ms);
        for datagram in due {
            if self.gateways[datagram.to].is_running {
                self.hear(datagram.to, &datagram.orders);
                self.check_changes(datagram.to);
            }
        }
        for number in 0..self.gateways.len() {
            if !self.gateways[number].is_running {
                continue;
            }
            if self.store.is_up && self.gateways[number].reaches_store {
                self.read_store(number);
            }
            self.check_changes(number);
            self.send(number, PEERS_PER_STEP);
        }
    }

    fn violate(&mut self, number: usize, what: &str) {
        let text = format!("at {} ms: gateway {number} {what}", self.now_ms);
        self.violations.push(text);
    }

    /// Checks that a gateway that has just read the store is bound by all orders in it.
    fn check_in_touch(&mut self, number: usize) {
        for (zone, name) in ZONES.iter().enumerate() {
            let is_bound = self.gateways[number].evacuations.is_evacuated(name);
            if self.store.is_listed(zone) && !is_bound {
                self.violate(number, "has read an order and isn't bound by it");
            }
        }
    }

    /// Checks that orders are dropped only for a reason, and that a zone isn't evacuated by an
    /// order that is older than a known removal.
    fn check_changes(&mut self, number: usize) {
        let orders = self.gateways[number].evacuations.orders();
        let orders = orders.into_iter().map(|order| (order.zone.clone(), order));
        let now: BTreeMap<String, ZoneOrder> = orders.collect();
        let before = std::mem::replace(&mut self.gateways[number].checked, now.clone());
        for (zone, name) in ZONES.iter().enumerate() {
            let is_evacuated = self.gateways[number].evacuations.is_evacuated(name);
            let newest = self.gateways[number].newest.get(*name);
            if is_evacuated && !newest.is_some_and(|order| order.is_evacuated) {
                self.violate(number, "is bound by an order older than its removal");
            }
            let Some(held) = before.get(*name).filter(|held| held.is_evacuated) else {
                continue;
            };
            let is_dropped_rightly = now.get(*name).is_some_and(|order| {
                let (from, to) = (held.revision, order.revision);
                self.store
                    .may_restore(zone, from, to, self.now_ms, ENTRY_EXPIRY_MS)
            });
            if !is_evacuated && !is_dropped_rightly {
                self.violate(number, "has dropped an order that is in force");
            }
        }
    }

    /// Checks that all gateways agree with the store, also those that are cut off from it.
    fn check_agreement(&mut self) {
        let listed = (0..ZONES.len()).filter(|zone| self.store.is_listed(*zone));
        let listed: BTreeSet<String> = listed.map(|zone| ZONES[zone].to_string()).collect();
        for number in 0..self.gateways.len() {
            let known = self.gateways[number].evacuations.evacuated_zones();
            if known != listed {
                let text = format!("holds {known:?} for evacuated in the end, not {listed:?}");
                self.violate(number, &text);
            }
        }
    }
}

impl Gateway {
    fn note_newest(&mut self, orders: &[ZoneOrder]) {
        for order in orders {
            let known = self.newest.get(&order.zone);
            if known.is_none_or(|known| known.revision < order.revision) {
                self.newest.insert(order.zone.clone(), order.clone());
            }
        }
    }

    fn apply_full_read(
        &mut self,
        read: &FullRead,
        now_ms: u64,
        fault: InjectedFault,
    ) -> Vec<ZoneOrder> {
        if fault == InjectedFault::OlderCopyWins {
            self.evacuations = Evacuations::default();
        }
        self.evacuations.apply_full_read(read, now_ms)
    }
}
