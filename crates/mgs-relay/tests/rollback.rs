//! What a gateway believes of endpoints while the store comes back from older copies, whatever the order of writes, copies and
//! readings.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use mgs_relay::membership::Endpoints;
use mgs_relay::membership::Origin;
use mgs_relay::source::EndpointFacts;
use mgs_relay::source::Incarnation;
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

/// Endpoints, each with an address of its own.
const ENDPOINT_COUNT: usize = 4;

/// Something that happens.
#[derive(Debug, Clone)]
enum Event {
    /// An endpoint says that it leaves.
    Leave(usize),
    /// It has gone.
    Remove(usize),
    /// Another life of it starts.
    Start(usize),
    /// The store comes back as it was so many writes before.
    RollBack(usize),
    /// Whoever lives writes again what it is, some of them only.
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

struct World {
    log: Vec<(String, Option<EndpointFacts>)>,
    era: u64,
    states: Vec<(u64, State)>,
    endpoints: Endpoints,
    /// Up to where the gateway has read, in which era.
    cursor: Option<(u64, usize)>,
    /// Lives that the gateway has heard to leave or end.
    known_ended: HashSet<Incarnation>,
    /// Lives that the gateway knew after its last reading.
    known: HashSet<Incarnation>,
    now_ms: u64,
    apply_entry: ApplyEntry,
}

type ApplyEntry = fn(&mut Endpoints, EndpointFacts, Origin, u64) -> Result<(), RowFault>;

fn apply_entry(
    endpoints: &mut Endpoints,
    facts: EndpointFacts,
    origin: Origin,
    now_ms: u64,
) -> Result<(), RowFault> {
    endpoints.apply(facts, true, origin, now_ms)
}

/// Takes the copy's word over what was heard.
fn apply_as_change(
    endpoints: &mut Endpoints,
    facts: EndpointFacts,
    _: Origin,
    now_ms: u64,
) -> Result<(), RowFault> {
    endpoints.apply(facts, true, Origin::Change, now_ms)
}

impl World {
    fn new(apply_entry: ApplyEntry) -> Self {
        let mut world = Self {
            log: Vec::new(),
            era: 1,
            states: vec![(1, State::Ready); ENDPOINT_COUNT],
            endpoints: Endpoints::new(EXPIRY_GRACE_MS),
            cursor: None,
            known_ended: HashSet::new(),
            known: HashSet::new(),
            now_ms: 0,
            apply_entry,
        };
        (0..ENDPOINT_COUNT).for_each(|index| world.write(index));
        world.read();
        world
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
        let is_there = self.states[index].1 != State::Gone;
        let id = facts.incarnation.id.clone();
        self.log.push((id, is_there.then_some(facts)));
    }

    fn apply(&mut self, event: &Event) {
        self.now_ms += 400;
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
            }
            Event::Rewrite(index) if self.states[index].1 != State::Gone => self.write(index),
            Event::Read => self.read(),
            _ => {}
        }
    }

    /// Reads as a follower does: by the cursor in its era, else all.
    fn read(&mut self) {
        match self.cursor {
            Some((era, from)) if era == self.era => self.read_changes(from),
            before => self.read_all(before.is_some()),
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
        // What isn't listed may have lapsed for a while; once it is dropped it has gone.
        let dropped = self.known.difference(&known).cloned();
        self.known_ended.extend(dropped);
        self.known = known;
    }

    fn read_changes(&mut self, from: usize) {
        let changes: Vec<_> = self.log[from..].to_vec();
        for (id, facts) in changes {
            let Some(facts) = facts else {
                self.endpoints.mark_missing(&id, self.now_ms);
                continue;
            };
            if !facts.is_leaving {
                // It lives: whoever was taken to have gone has written again.
                self.known_ended.remove(&facts.incarnation);
            }
            self.take(facts, Origin::Change);
        }
    }

    /// Takes word of an endpoint; whether it is taken shows in what is used.
    fn take(&mut self, facts: EndpointFacts, origin: Origin) {
        let _ = (self.apply_entry)(&mut self.endpoints, facts, origin, self.now_ms);
    }

    fn read_all(&mut self, is_rollback: bool) {
        if is_rollback {
            self.endpoints.note_rollback(self.now_ms);
        }
        let mut rows: BTreeMap<String, EndpointFacts> = BTreeMap::new();
        for (id, facts) in self.log.clone() {
            match facts {
                Some(facts) => rows.insert(id, facts),
                None => rows.remove(&id),
            };
        }
        let updates: Vec<Update> = rows.into_values().map(Update::Endpoint).collect();
        for update in updates.clone() {
            if let Update::Endpoint(facts) = update {
                self.take(facts, Origin::Snapshot);
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

    /// Whether nothing is used that was heard to leave or to end, lives that were born since aside.
    fn ignores_known_ended(&self) -> bool {
        self.used().is_disjoint(&self.known_ended)
    }

    /// All that live have written again, entries of the others have lapsed, and the gateway has read.
    fn settle(&mut self) {
        (0..ENDPOINT_COUNT).for_each(|index| self.write(index));
        for _ in 0..3 {
            self.now_ms += EXPIRY_GRACE_MS;
            self.read();
        }
    }

    fn living(&self) -> HashSet<Incarnation> {
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

/// Whether no word that was heard is taken back on the way, and all that live, and no others, are used in the end.
fn is_consistent(history: &[Event], apply_entry: ApplyEntry) -> bool {
    let mut world = World::new(apply_entry);
    for event in history {
        world.apply(event);
        if !world.ignores_known_ended() {
            return false;
        }
    }
    world.settle();
    world.used() == world.living()
}

proptest! {
    #[test]
    fn what_was_heard_goes_before_the_copy_and_nobody_is_lost(history in history()) {
        prop_assert!(is_consistent(&history, apply_entry));
    }
}

#[test]
fn the_property_finds_a_copy_that_is_taken_over_what_was_heard() {
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
