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

const GRACE_MS: u64 = 2_200;

/// Endpoints, each with an address of its own.
const PLACES: usize = 4;

/// Something that happens.
#[derive(Debug, Clone)]
enum Event {
    /// An endpoint says that it leaves.
    Leaves(usize),
    /// It has gone.
    Goes(usize),
    /// Another life of it starts.
    Starts(usize),
    /// The store comes back as it was so many writes before.
    RollsBack(usize),
    /// Whoever lives writes again what it is, some of them only.
    WritesAgain(usize),
    /// The gateway reads.
    Reads,
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
    heard_out: HashSet<Incarnation>,
    /// Lives that the gateway knew after its last reading.
    known: HashSet<Incarnation>,
    now_ms: u64,
    hear: Hear,
}

type Hear = fn(&mut Endpoints, EndpointFacts, Origin, u64) -> Result<(), RowFault>;

fn hear(
    endpoints: &mut Endpoints,
    facts: EndpointFacts,
    origin: Origin,
    now_ms: u64,
) -> Result<(), RowFault> {
    endpoints.hear(facts, true, origin, now_ms)
}

/// Takes the copy's word over what was heard.
fn hear_the_copy(
    endpoints: &mut Endpoints,
    facts: EndpointFacts,
    _: Origin,
    now_ms: u64,
) -> Result<(), RowFault> {
    endpoints.hear(facts, true, Origin::Written, now_ms)
}

impl World {
    fn new(hear: Hear) -> Self {
        let mut world = Self {
            log: Vec::new(),
            era: 1,
            states: vec![(1, State::Ready); PLACES],
            endpoints: Endpoints::new(GRACE_MS),
            cursor: None,
            heard_out: HashSet::new(),
            known: HashSet::new(),
            now_ms: 0,
            hear,
        };
        (0..PLACES).for_each(|place| world.write(place));
        world.read();
        world
    }

    fn facts(&self, place: usize) -> EndpointFacts {
        let (born_ms, state) = self.states[place];
        EndpointFacts {
            incarnation: Incarnation {
                id: format!("i-{place}"),
                born_ms: Some(born_ms),
            },
            service: "desk".to_string(),
            address: SocketAddr::from(([127, 0, 0, 1], 1 + place as u16)),
            zone: "north".to_string(),
            slots: 4,
            is_leaving: state == State::Leaving,
        }
    }

    fn write(&mut self, place: usize) {
        let facts = self.facts(place);
        let is_there = self.states[place].1 != State::Gone;
        let id = facts.incarnation.id.clone();
        self.log.push((id, is_there.then_some(facts)));
    }

    fn play(&mut self, event: &Event) {
        self.now_ms += 400;
        match *event {
            Event::Leaves(place) if self.states[place].1 == State::Ready => {
                self.states[place].1 = State::Leaving;
                self.write(place);
            }
            Event::Goes(place) if self.states[place].1 != State::Gone => {
                self.states[place].1 = State::Gone;
                self.write(place);
            }
            Event::Starts(place) if self.states[place].1 == State::Gone => {
                self.states[place] = (self.states[place].0 + 1, State::Ready);
                self.write(place);
            }
            Event::RollsBack(writes) => {
                let kept = self.log.len().saturating_sub(writes).max(PLACES);
                self.log.truncate(kept);
                self.era += 1;
            }
            Event::WritesAgain(place) if self.states[place].1 != State::Gone => self.write(place),
            Event::Reads => self.read(),
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
        self.heard_out.extend(leaving);
        // What isn't listed may have lapsed for a while; once it is dropped it has gone.
        let dropped = self.known.difference(&known).cloned();
        self.heard_out.extend(dropped);
        self.known = known;
    }

    fn read_changes(&mut self, from: usize) {
        let changes: Vec<_> = self.log[from..].to_vec();
        for (id, facts) in changes {
            let Some(facts) = facts else {
                self.endpoints.miss(&id, self.now_ms);
                continue;
            };
            if !facts.is_leaving {
                // It lives: whoever was taken to have gone has written again.
                self.heard_out.remove(&facts.incarnation);
            }
            self.take(facts, Origin::Written);
        }
    }

    /// Takes word of an endpoint; whether it is taken shows in what is used.
    fn take(&mut self, facts: EndpointFacts, origin: Origin) {
        let _ = (self.hear)(&mut self.endpoints, facts, origin, self.now_ms);
    }

    fn read_all(&mut self, is_rollback: bool) {
        if is_rollback {
            self.endpoints.rolled_back(self.now_ms);
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
                self.take(facts, Origin::Listed);
            }
        }
        let listed = Endpoints::listed(&updates);
        self.endpoints.miss_all(&listed, self.now_ms);
    }

    fn used(&self) -> HashSet<Incarnation> {
        let fleet = self.endpoints.fleet();
        let used = fleet.by_key.values().filter(|e| !e.facts.is_leaving);
        used.map(|endpoint| endpoint.facts.incarnation.clone())
            .collect()
    }

    /// Whether nothing is used that was heard to leave or to end, lives that were born since aside.
    fn keeps_what_it_heard(&self) -> bool {
        self.used().is_disjoint(&self.heard_out)
    }

    /// All that live have written again, entries of the others have lapsed, and the gateway has read.
    fn settle(&mut self) {
        (0..PLACES).for_each(|place| self.write(place));
        for _ in 0..3 {
            self.now_ms += GRACE_MS;
            self.read();
        }
    }

    fn living(&self) -> HashSet<Incarnation> {
        let ready = (0..PLACES).filter(|place| self.states[*place].1 == State::Ready);
        ready.map(|place| self.facts(place).incarnation).collect()
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..PLACES).prop_map(Event::Leaves),
        2 => (0..PLACES).prop_map(Event::Goes),
        2 => (0..PLACES).prop_map(Event::Starts),
        2 => (1..8_usize).prop_map(Event::RollsBack),
        3 => (0..PLACES).prop_map(Event::WritesAgain),
        6 => prop::strategy::Just(Event::Reads),
    ]
}

fn history() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(event(), 0..40)
}

/// Whether no word that was heard is taken back on the way, and all that live, and no others, are used in the end.
fn holds(history: &[Event], hear: Hear) -> bool {
    let mut world = World::new(hear);
    for event in history {
        world.play(event);
        if !world.keeps_what_it_heard() {
            return false;
        }
    }
    world.settle();
    world.used() == world.living()
}

proptest! {
    #[test]
    fn what_was_heard_goes_before_the_copy_and_nobody_is_lost(history in history()) {
        prop_assert!(holds(&history, hear));
    }
}

#[test]
fn the_property_finds_a_copy_that_is_taken_over_what_was_heard() {
    let mut runner = TestRunner::new(Config {
        failure_persistence: None,
        ..Config::default()
    });
    let found = runner.run(&history(), |history| {
        prop_assert!(holds(&history, hear_the_copy));
        Ok(())
    });
    assert!(found.is_err());
}
