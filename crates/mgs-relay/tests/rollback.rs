//! Which endpoints a gateway uses while the store is restored from older copies, whatever the order
//! of writes, restorations and reads.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use mgs_relay::membership::Endpoints;
use mgs_relay::membership::Origin;
use mgs_relay::membership::ENTRY_EXPIRY_MS;
use mgs_relay::source::EndpointFacts;
use mgs_relay::source::EndpointRow;
use mgs_relay::source::Incarnation;
use mgs_relay::source::Revision;
use mgs_relay::source::RowFault;
use mgs_relay::source::Update;
use proptest::prelude::prop;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::TestRunner;

const EXPIRY_GRACE_MS: u64 = 2_200;

/// Number of endpoints, each with an address of its own.
const ENDPOINT_COUNT: usize = 4;

/// A step of a history.
#[derive(Debug, Clone)]
enum Event {
    /// An endpoint announces its shutdown.
    Leave(usize),
    /// It ends, and its entry is removed.
    Remove(usize),
    /// A new incarnation of it starts.
    Start(usize),
    /// The store is restored from a copy that lacks this many of the last writes.
    RollBack(usize),
    /// The endpoint writes its entry again if it is alive; not all of them do after a restoration.
    Rewrite(usize),
    /// The gateway reads.
    Read,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Ready,
    Leaving,
    Gone,
}

/// A gateway that knows a configuration and has read no endpoint.
fn gateway() -> Endpoints {
    let mut endpoints = Endpoints::new(EXPIRY_GRACE_MS);
    endpoints.set_services(["desk"]);
    endpoints
}

struct Simulation {
    log: Vec<(String, Option<EndpointFacts>)>,
    era: u64,
    states: Vec<(u64, State)>,
    endpoints: Endpoints,
    /// Era and log position up to which the gateway has read.
    cursor: Option<(u64, usize)>,
    /// Incarnations that the gateway knows to have announced their shutdown or to have ended.
    known_ended: HashSet<Incarnation>,
    /// Incarnations that the gateway knew after its last read.
    known: HashSet<Incarnation>,
    now_ms: u64,
    /// When the store was last restored, in milliseconds.
    rolled_back_ms: Option<u64>,
    apply_entry: ApplyEntry,
}

type ApplyEntry = fn(&mut Endpoints, EndpointRow, Origin, u64) -> Result<(), RowFault>;

fn apply_entry(
    endpoints: &mut Endpoints,
    row: EndpointRow,
    origin: Origin,
    now_ms: u64,
) -> Result<(), RowFault> {
    endpoints.apply(row, origin, now_ms)
}

/// Applies each entry as a change, so that a restored copy overrides what was known.
fn apply_as_change(
    endpoints: &mut Endpoints,
    row: EndpointRow,
    _: Origin,
    now_ms: u64,
) -> Result<(), RowFault> {
    endpoints.apply(row, Origin::Change, now_ms)
}

impl Simulation {
    fn new(apply_entry: ApplyEntry) -> Self {
        let mut simulation = Self {
            log: Vec::new(),
            era: 1,
            states: vec![(1, State::Ready); ENDPOINT_COUNT],
            endpoints: gateway(),
            cursor: None,
            known_ended: HashSet::new(),
            known: HashSet::new(),
            now_ms: 0,
            rolled_back_ms: None,
            apply_entry,
        };
        (0..ENDPOINT_COUNT).for_each(|index| simulation.write(index));
        simulation.read();
        simulation
    }

    fn facts(&self, index: usize) -> EndpointFacts {
        let (born_ms, state) = self.states[index];
        EndpointFacts {
            incarnation: Incarnation {
                id: format!("i-{index}"),
                born_ms: Some(born_ms),
            },
            service: "desk".to_string(),
            address: SocketAddr::from(([127, 0, 0, 1], 1 + index as u16)),
            zone: "north".to_string(),
            slots: 4,
            is_leaving: state == State::Leaving,
        }
    }

    fn write(&mut self, index: usize) {
        let facts = self.facts(index);
        let is_listed = self.states[index].1 != State::Gone;
        let id = facts.incarnation.id.clone();
        self.log.push((id, is_listed.then_some(facts)));
    }

    /// Lets the entries of a restored copy come to tell what is, once they have had time for it: live
    /// endpoints write theirs again, and those of endpoints that have ended expire.
    fn outlive_copy(&mut self) {
        let has_passed = |at_ms: &u64| self.now_ms >= at_ms + ENTRY_EXPIRY_MS;
        if self
            .rolled_back_ms
            .take_if(|at_ms| has_passed(at_ms))
            .is_some()
        {
            (0..ENDPOINT_COUNT).for_each(|index| self.write(index));
        }
    }

    fn apply(&mut self, event: &Event) {
        self.now_ms += 400;
        self.outlive_copy();
        match *event {
            Event::Leave(index) if self.states[index].1 == State::Ready => {
                self.states[index].1 = State::Leaving;
                self.write(index);
            }
            Event::Remove(index) if self.states[index].1 != State::Gone => {
                self.states[index].1 = State::Gone;
                self.write(index);
            }
            Event::Start(index) if self.states[index].1 == State::Gone => {
                self.states[index] = (self.states[index].0 + 1, State::Ready);
                self.write(index);
            }
            Event::RollBack(writes) => {
                let kept = self.log.len().saturating_sub(writes).max(ENDPOINT_COUNT);
                self.log.truncate(kept);
                self.era += 1;
                self.rolled_back_ms = Some(self.now_ms);
            }
            Event::Rewrite(index) if self.states[index].1 != State::Gone => self.write(index),
            Event::Read => self.read(),
            _ => {}
        }
    }

    /// Reads as the follower does: changes since the cursor within an era, unless a full read is due,
    /// else everything.
    fn read(&mut self) {
        let is_due = self.endpoints.needs_full_read(self.now_ms);
        match self.cursor {
            Some((era, from)) if era == self.era && !is_due => self.read_changes(from),
            before => self.read_all(before.is_some_and(|(era, _)| era < self.era)),
        }
        self.cursor = Some((self.era, self.log.len()));
        self.endpoints.drop_missing(self.now_ms);
        let fleet = self.endpoints.fleet();
        let known: HashSet<Incarnation> = fleet
            .by_key
            .values()
            .map(|endpoint| endpoint.facts.incarnation.clone())
            .collect();
        let leaving = fleet.by_key.values().filter(|e| e.facts.is_leaving);
        let leaving = leaving.map(|e| e.facts.incarnation.clone());
        self.known_ended.extend(leaving);
        // An entry that isn't listed may have expired; once it is dropped, the endpoint has ended.
        let dropped = self.known.difference(&known).cloned();
        self.known_ended.extend(dropped);
        self.known = known;
    }

    fn read_changes(&mut self, from: usize) {
        let changes: Vec<_> = self.log.iter().cloned().enumerate().skip(from).collect();
        for (position, (id, facts)) in changes {
            let Some(facts) = facts else {
                self.endpoints.mark_missing(&id, self.now_ms);
                continue;
            };
            if !facts.is_leaving {
                // The incarnation is alive: one that was taken to have ended has written its entry
                // again.
                self.known_ended.remove(&facts.incarnation);
            }
            self.submit(self.row(facts, position), Origin::Change);
        }
    }

    /// Applies an entry; whether it is accepted shows in which endpoints are used.
    fn submit(&mut self, row: EndpointRow, origin: Origin) {
        let _ = (self.apply_entry)(&mut self.endpoints, row, origin, self.now_ms);
    }

    /// The row of an entry at a position of the log, as read now.
    fn row(&self, facts: EndpointFacts, position: usize) -> EndpointRow {
        let written = Revision {
            era: self.era,
            number: position as u64 + 1,
        };
        EndpointRow { facts, written }
    }

    fn read_all(&mut self, is_rollback: bool) {
        if is_rollback {
            self.endpoints.note_rollback(self.now_ms);
        }
        self.endpoints.begin_full_read(self.now_ms);
        let mut rows: BTreeMap<String, EndpointRow> = BTreeMap::new();
        for (position, (id, facts)) in self.log.clone().into_iter().enumerate() {
            match facts {
                Some(facts) => rows.insert(id, self.row(facts, position)),
                None => rows.remove(&id),
            };
        }
        if !is_rollback {
            // What is listed once the entries of a copy have had time to expire is alive.
            let live = self.live();
            self.known_ended.retain(|ended| !live.contains(ended));
        }
        let updates: Vec<Update> = rows.into_values().map(Update::Endpoint).collect();
        for update in updates.clone() {
            if let Update::Endpoint(row) = update {
                self.submit(row, Origin::Snapshot);
            }
        }
        let listed = Endpoints::listed_ids(&updates);
        self.endpoints.mark_missing_except(&listed, self.now_ms);
    }

    fn used(&self) -> HashSet<Incarnation> {
        let fleet = self.endpoints.fleet();
        let used = fleet.by_key.values().filter(|e| !e.facts.is_leaving);
        used.map(|endpoint| endpoint.facts.incarnation.clone())
            .collect()
    }

    /// Whether no incarnation is used that is known to be shutting down or to have ended.
    fn ignores_known_ended(&self) -> bool {
        self.used().is_disjoint(&self.known_ended)
    }

    /// Lets all live endpoints write their entries again, the other entries expire, and the gateway
    /// read until the full read that a restoration requires is made.
    fn settle(&mut self) {
        (0..ENDPOINT_COUNT).for_each(|index| self.write(index));
        for _ in 0..4 {
            self.now_ms += EXPIRY_GRACE_MS;
            self.read();
        }
    }

    fn live(&self) -> HashSet<Incarnation> {
        let ready = (0..ENDPOINT_COUNT).filter(|index| self.states[*index].1 == State::Ready);
        ready.map(|index| self.facts(index).incarnation).collect()
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..ENDPOINT_COUNT).prop_map(Event::Leave),
        2 => (0..ENDPOINT_COUNT).prop_map(Event::Remove),
        2 => (0..ENDPOINT_COUNT).prop_map(Event::Start),
        2 => (1..8_usize).prop_map(Event::RollBack),
        3 => (0..ENDPOINT_COUNT).prop_map(Event::Rewrite),
        6 => prop::strategy::Just(Event::Read),
    ]
}

fn history() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(event(), 0..40)
}

/// Whether no known shutdown or end is forgotten along the way, and exactly the live endpoints are
/// used in the end.
fn is_consistent(history: &[Event], apply_entry: ApplyEntry) -> bool {
    let mut simulation = Simulation::new(apply_entry);
    for event in history {
        simulation.apply(event);
        if !simulation.ignores_known_ended() {
            return false;
        }
    }
    simulation.settle();
    simulation.used() == simulation.live()
}

proptest! {
    #[test]
    fn known_shutdowns_survive_rollbacks_and_no_live_endpoint_is_lost(history in history()) {
        prop_assert!(is_consistent(&history, apply_entry));
    }
}

#[test]
fn the_property_detects_a_copy_that_overrides_known_shutdowns() {
    let mut runner = TestRunner::new(Config {
        failure_persistence: None,
        ..Config::default()
    });
    let found = runner.run(&history(), |history| {
        prop_assert!(is_consistent(&history, apply_as_change));
        Ok(())
    });
    assert!(found.is_err());
}
