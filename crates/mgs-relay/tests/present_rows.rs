//! Which endpoints a gateway uses depends on what the store holds now, not on what it held before.
//!
//! Guards against conclusions that outlive what they were drawn from. The store reports a row only
//! when it changes; a gateway that deleted or refused one, since its service wasn't named yet or
//! another row had its address, didn't use that endpoint until the process ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use mgs_fleet::view::EndpointKey;
use mgs_relay::membership::Endpoints;
use mgs_relay::membership::Origin;
use mgs_relay::membership::ENTRY_EXPIRY_MS;
use mgs_relay::membership::ROWS_MAX;
use mgs_relay::source::EndpointFacts;
use mgs_relay::source::EndpointRow;
use mgs_relay::source::Incarnation;
use mgs_relay::source::Revision;
use mgs_relay::source::RowFault;
use mgs_relay::source::Update;
use proptest::prelude::prop;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;

const EXPIRY_GRACE_MS: u64 = 2_200;

/// Duration of a step, in milliseconds: histories cover the grace after an outage and the time in
/// which entries of a restored copy may expire.
const STEP_MS: u64 = 400;

/// Number of histories that are drawn.
const HISTORIES: u32 = 3_000;

/// Keys of rows. Workers restart with later starts, which only some tell; what other writers write
/// has any start.
const WORKERS: u8 = 4;
const TELL_START: u8 = 2;
const KEYS: u8 = 8;

/// Number of addresses, which rows share.
const ADDRESSES: u16 = 3;

/// Number of services that a configuration may name.
const SERVICES: u8 = 3;

const GATEWAYS: usize = 2;

/// Content of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    /// One that describes an endpoint.
    Whole {
        service: u8,
        address: u16,
        born_ms: Option<u64>,
        is_leaving: bool,
    },
    /// One that lacks fields.
    Incomplete,
}

/// A step of a history.
#[derive(Debug, Clone)]
enum Event {
    /// A worker writes its row: the first time, or with another state.
    Report {
        key: u8,
        service: u8,
        address: u16,
        is_leaving: bool,
    },
    /// The next start of a worker will be a later one.
    End(u8),
    /// Any writer writes any content under any key.
    Write { key: u8, content: Content },
    /// A row is removed.
    Remove(u8),
    /// The operators name these services.
    Configure(BTreeSet<u8>),
    /// The store is restored from a copy that lacks this many of the last writes.
    RollBack(usize),
    /// A gateway reads the configuration.
    ReadConfiguration(usize),
    /// A gateway reads the rows.
    ReadRows(usize),
    /// The store has dropped the history that a gateway needs for its next read.
    Compact(usize),
    /// An outage of the store ends for a gateway.
    EndOutage(usize),
    /// The other gateway hands its configuration and its list to this one.
    Handover(usize),
}

/// The store's rows and configuration.
#[derive(Debug, Default)]
struct Store {
    era: u64,
    log: Vec<(u8, Option<Content>)>,
    services: Option<BTreeSet<u8>>,
}

impl Store {
    fn revision(&self, position: usize) -> Revision {
        Revision {
            era: self.era,
            number: position as u64 + 1,
        }
    }

    /// The present rows in the order in which they were written.
    fn rows(&self) -> Vec<(usize, u8, Content)> {
        let mut rows = BTreeMap::new();
        for (position, (key, content)) in self.log.iter().enumerate() {
            rows.insert(*key, (position, *content));
        }
        let present = rows.into_iter();
        let present = present.filter_map(|(key, (at, content))| Some((at, key, content?)));
        let mut present: Vec<_> = present.collect();
        present.sort_by_key(|(position, _, _)| *position);
        present
    }
}

fn id(key: u8) -> String {
    format!("i-{key}")
}

fn service(number: u8) -> String {
    format!("service-{number}")
}

/// The update that a read of a row yields.
fn update(key: u8, content: Content, written: Revision) -> Update {
    match content {
        Content::Whole {
            service: number,
            address,
            born_ms,
            is_leaving,
        } => Update::Endpoint(EndpointRow {
            facts: EndpointFacts {
                incarnation: Incarnation {
                    id: id(key),
                    born_ms,
                },
                service: service(number),
                address: ([10, 0, 0, 1], address).into(),
                zone: "north".to_string(),
                slots: 4,
                is_leaving,
            },
            written,
        }),
        Content::Incomplete => Update::Unreadable {
            key: id(key),
            fault: RowFault::Content,
            detail: String::new(),
            revision: written,
        },
    }
}

/// A gateway, which follows the store as `mgs_relay::follow` does.
struct Gateway {
    endpoints: Endpoints,
    services: Option<BTreeSet<u8>>,
    /// Era and position of the log up to which it has read.
    cursor: Option<(u64, usize)>,
    last_era: Option<u64>,
    /// The endpoints as it last published them.
    published: Vec<EndpointFacts>,
    /// Whether it deletes the rows of endpoints that it doesn't use.
    forgets_unused: bool,
}

impl Gateway {
    fn new(forgets_unused: bool) -> Self {
        Self {
            endpoints: Endpoints::new(EXPIRY_GRACE_MS),
            published: Vec::new(),
            forgets_unused,
            services: None,
            cursor: None,
            last_era: None,
        }
    }

    fn apply_services(&mut self, services: Option<&BTreeSet<u8>>) {
        if let Some(services) = services {
            self.services = Some(services.clone());
            let names: Vec<String> = services.iter().copied().map(service).collect();
            self.endpoints
                .set_services(names.iter().map(String::as_str));
        }
        self.publish();
    }

    fn read_rows(&mut self, store: &Store, now_ms: u64) {
        if self.endpoints.needs_full_read(now_ms) {
            self.cursor = None;
        }
        let revision = store.revision(store.log.len());
        let cursor = self.cursor.filter(|(era, _)| *era == store.era);
        self.cursor = Some((store.era, store.log.len()));
        match cursor {
            Some(_) if self.endpoints.is_newer_than(revision) => self.cursor = None,
            Some((_, from)) => {
                self.endpoints.set_revision(revision);
                self.read_changes(store, from, now_ms);
            }
            None => {
                if self.last_era.is_some_and(|era| era < store.era) {
                    self.endpoints.note_rollback(now_ms);
                }
                self.endpoints.set_revision(revision);
                self.read_all(store, now_ms);
            }
        }
        self.last_era = Some(store.era);
        if self.forgets_unused {
            self.forget_unused(now_ms);
        }
        self.endpoints.drop_missing(now_ms);
        self.publish();
    }

    fn forget_unused(&mut self, now_ms: u64) {
        let faults = self.endpoints.faults().into_iter();
        let replaced = faults.filter(|(_, fault)| *fault == RowFault::OlderStart);
        let replaced: Vec<String> = replaced.map(|(id, _)| id.to_string()).collect();
        for id in replaced {
            self.endpoints.mark_missing(&id, now_ms);
        }
    }

    fn read_changes(&mut self, store: &Store, from: usize, now_ms: u64) {
        for (position, (key, content)) in store.log.iter().enumerate().skip(from) {
            match content {
                Some(content) => {
                    let update = update(*key, *content, store.revision(position));
                    self.apply(update, Origin::Change, now_ms);
                }
                None => self.endpoints.mark_missing(&id(*key), now_ms),
            }
        }
    }

    fn read_all(&mut self, store: &Store, now_ms: u64) {
        let rows = store.rows().into_iter();
        let updates = rows.map(|(at, key, content)| update(key, content, store.revision(at)));
        let updates: Vec<Update> = updates.collect();
        self.endpoints.begin_full_read(now_ms);
        for update in updates.clone() {
            self.apply(update, Origin::Snapshot, now_ms);
        }
        let listed = Endpoints::listed_ids(&updates);
        self.endpoints.mark_missing_except(&listed, now_ms);
    }

    /// Applies an update; whether it counts shows in which endpoints are used.
    fn apply(&mut self, update: Update, origin: Origin, now_ms: u64) {
        match update {
            Update::Endpoint(row) => {
                let _ = self.endpoints.apply(row, origin, now_ms);
            }
            Update::Unreadable { key, .. } => self.endpoints.mark_unreadable(&key),
            _ => {}
        }
    }

    fn publish(&mut self) {
        if !self.endpoints.take_changed() {
            return;
        }
        let fleet = self.endpoints.fleet();
        let used = fleet.by_key.values().map(|e| e.facts.clone());
        self.published = used.collect();
        self.published
            .sort_by_key(|facts| facts.incarnation.id.clone());
    }
}

/// A history as it happens.
struct Simulation {
    store: Store,
    gateways: Vec<Gateway>,
    /// Current start of each worker, in milliseconds.
    starts_ms: HashMap<u8, u64>,
    /// Every content ever written under each key, also what a restoration has lost.
    written: HashMap<u8, Vec<Content>>,
    has_rolled_back: bool,
    /// Incarnation of each key at each gateway.
    incarnations: Vec<HashMap<EndpointKey, Incarnation>>,
    now_ms: u64,
}

impl Simulation {
    fn new(forgets_unused: bool) -> Self {
        Self {
            store: Store {
                era: 1,
                ..Store::default()
            },
            gateways: (0..GATEWAYS)
                .map(|_| Gateway::new(forgets_unused))
                .collect(),
            starts_ms: HashMap::new(),
            written: HashMap::new(),
            has_rolled_back: false,
            incarnations: vec![HashMap::new(); GATEWAYS],
            now_ms: 10_000,
        }
    }

    fn write(&mut self, key: u8, content: Option<Content>) {
        self.store.log.push((key, content));
        self.written.entry(key).or_default().extend(content);
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        self.now_ms += STEP_MS;
        match event {
            Event::Report {
                key,
                service,
                address,
                is_leaving,
            } => {
                let born_ms = *self.starts_ms.entry(*key).or_insert(u64::from(*key) + 1);
                let content = Content::Whole {
                    service: *service,
                    address: *address,
                    born_ms: (*key < TELL_START).then_some(born_ms),
                    is_leaving: *is_leaving,
                };
                self.write(*key, Some(content));
            }
            Event::End(key) => {
                *self.starts_ms.entry(*key).or_insert(u64::from(*key) + 1) += u64::from(KEYS);
            }
            Event::Write { key, content } => self.write(*key, Some(*content)),
            Event::Remove(key) => self.write(*key, None),
            Event::Configure(services) => self.store.services = Some(services.clone()),
            Event::RollBack(writes) => {
                let kept = self.store.log.len().saturating_sub(*writes);
                self.store.log.truncate(kept);
                self.store.era += 1;
                self.has_rolled_back = true;
            }
            Event::ReadConfiguration(index) => {
                self.gateways[*index].apply_services(self.store.services.as_ref());
            }
            Event::ReadRows(index) => self.gateways[*index].read_rows(&self.store, self.now_ms),
            Event::Compact(index) => self.gateways[*index].cursor = None,
            Event::EndOutage(index) => {
                let endpoints = &mut self.gateways[*index].endpoints;
                endpoints.note_outage_end(self.now_ms - STEP_MS, self.now_ms);
            }
            Event::Handover(index) => self.hand_over(*index),
        }
        self.check_keys()
    }

    fn hand_over(&mut self, to: usize) {
        let from = &self.gateways[(to + 1) % GATEWAYS];
        // A peer without a configuration tells nothing.
        let Some(services) = from.services.clone() else {
            return;
        };
        let list = from.endpoints.list();
        let receiver = &mut self.gateways[to];
        if receiver.services.is_none() {
            receiver.apply_services(Some(&services));
        }
        receiver.endpoints.take_list(list, false, self.now_ms);
        receiver.publish();
    }

    /// Whether each key stands for one incarnation.
    fn check_keys(&mut self) -> Result<(), TestCaseError> {
        for (gateway, known) in self.gateways.iter().zip(&mut self.incarnations) {
            for endpoint in gateway.endpoints.fleet().by_key.values() {
                let incarnation = &endpoint.facts.incarnation;
                let first = known
                    .entry(endpoint.key)
                    .or_insert_with(|| incarnation.clone());
                prop_assert_eq!(&*first, incarnation, "one key for two incarnations");
            }
        }
        Ok(())
    }

    /// Lets the grace end, and all gateways read what the store holds.
    fn settle(&mut self) {
        for _ in 0..4 {
            self.now_ms += ENTRY_EXPIRY_MS;
            for gateway in &mut self.gateways {
                gateway.apply_services(self.store.services.as_ref());
                gateway.read_rows(&self.store, self.now_ms);
            }
        }
    }

    /// Keys under which an earlier row told a later start than the present one, or the present one
    /// tells none. A start that was seen outweighs earlier ones of the same endpoint, whose reports
    /// arrive late from a slow store.
    fn keys_with_older_starts(&self) -> HashSet<u8> {
        let present = self.store.rows().into_iter();
        let is_older = |(_, key, content): &(usize, u8, Content)| {
            let latest = self.written[key].iter().map(|c| c.born_ms()).max();
            latest > Some(content.born_ms())
        };
        present.filter(is_older).map(|(_, key, _)| key).collect()
    }

    /// Addresses at which it depends on the rows of these keys who is replaced.
    fn addresses_of(&self, keys: &HashSet<u8>) -> HashSet<u16> {
        let contents = keys.iter().flat_map(|key| &self.written[key]);
        let address = |content: &Content| match content {
            Content::Whole { address, .. } => Some(*address),
            Content::Incomplete => None,
        };
        contents.filter_map(address).collect()
    }

    /// Incarnations that were ever listed as leaving. A shutdown that was seen outweighs an older
    /// copy of the store.
    fn ever_left(&self) -> HashSet<Incarnation> {
        let mut left = HashSet::new();
        for (key, contents) in &self.written {
            for content in contents {
                let update = update(*key, *content, Revision::default());
                if let Update::Endpoint(row) = update {
                    if row.facts.is_leaving {
                        left.insert(row.facts.incarnation);
                    }
                }
            }
        }
        left
    }

    /// Checks that each gateway uses the endpoints that one uses which starts now.
    fn check_settled(&self) -> Result<(), TestCaseError> {
        let with_older_starts = self.keys_with_older_starts();
        let contested = self.addresses_of(&with_older_starts);
        let left = match self.has_rolled_back {
            true => self.ever_left(),
            false => HashSet::new(),
        };
        let fresh = self.fresh_gateways();
        for gateway in self.gateways.iter().chain(&fresh[1..]) {
            let comparable = |gateway: &Gateway| -> Vec<EndpointFacts> {
                let used = gateway.published.iter().cloned();
                let is_excepted = |facts: &EndpointFacts| contested.contains(&facts.address.port());
                let used = used.filter(|facts| !is_excepted(facts));
                used.map(|facts| EndpointFacts {
                    is_leaving: facts.is_leaving && !left.contains(&facts.incarnation),
                    ..facts
                })
                .collect()
            };
            prop_assert_eq!(comparable(gateway), comparable(&fresh[0]));
            if with_older_starts.is_empty() && !self.has_rolled_back {
                let hash = fresh[0].endpoints.content_hash();
                prop_assert_eq!(gateway.endpoints.content_hash(), hash);
            }
        }
        Ok(())
    }

    /// Gateways that start now: one that reads the configuration first, and one that does so last.
    fn fresh_gateways(&self) -> [Gateway; 2] {
        let mut fresh = [Gateway::new(false), Gateway::new(false)];
        fresh[0].apply_services(self.store.services.as_ref());
        fresh[0].read_rows(&self.store, self.now_ms);
        fresh[1].read_rows(&self.store, self.now_ms);
        fresh[1].apply_services(self.store.services.as_ref());
        fresh
    }
}

impl Content {
    fn born_ms(&self) -> Option<u64> {
        match self {
            Self::Whole { born_ms, .. } => *born_ms,
            Self::Incomplete => None,
        }
    }
}

fn content() -> impl Strategy<Value = Content> {
    let whole = (
        0..SERVICES,
        0..ADDRESSES,
        prop::option::weighted(0.7, 1..40_u64),
        prop::bool::weighted(0.2),
    );
    prop_oneof![
        4 => whole.prop_map(|(service, address, born_ms, is_leaving)| Content::Whole {
            service,
            address,
            born_ms,
            is_leaving,
        }),
        1 => Just(Content::Incomplete),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let report = (0..WORKERS, 0..2_u8, 0..ADDRESSES, prop::bool::weighted(0.2));
    let foreign = (WORKERS..KEYS, content());
    prop_oneof![
        6 => report.prop_map(|(key, service, address, is_leaving)| Event::Report {
            key,
            service,
            address,
            is_leaving,
        }),
        2 => (0..WORKERS).prop_map(Event::End),
        3 => foreign.prop_map(|(key, content)| Event::Write { key, content }),
        1 => (0..KEYS, content()).prop_map(|(key, content)| Event::Write { key, content }),
        3 => (0..KEYS).prop_map(Event::Remove),
        2 => prop::collection::btree_set(0..SERVICES, 0..3).prop_map(Event::Configure),
        1 => (1..5_usize).prop_map(Event::RollBack),
        2 => (0..GATEWAYS).prop_map(Event::ReadConfiguration),
        8 => (0..GATEWAYS).prop_map(Event::ReadRows),
        1 => (0..GATEWAYS).prop_map(Event::Compact),
        1 => (0..GATEWAYS).prop_map(Event::EndOutage),
        2 => (0..GATEWAYS).prop_map(Event::Handover),
    ]
}

/// Checks the property for one history.
fn check(history: &[Event], forgets_unused: bool) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new(forgets_unused);
    for event in history {
        simulation.apply(event)?;
    }
    simulation.settle();
    simulation.check_settled()
}

fn history() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(event(), 1..60)
}

proptest! {
    #![proptest_config(Config { cases: HISTORIES, ..Config::default() })]

    /// Two exceptions, which the users' pages ask for, are named where they are granted: a later
    /// start that was seen outweighs an earlier one, and a shutdown that was seen an older copy.
    #[test]
    fn a_gateway_with_any_history_uses_what_one_uses_that_starts_now(history in history()) {
        check(&history, false)?;
    }
}

#[test]
fn the_property_detects_a_gateway_that_forgets_replaced_endpoints() {
    let mut runner = TestRunner::new(Config {
        failure_persistence: None,
        ..Config::default()
    });
    assert!(runner
        .run(&history(), |history| check(&history, true))
        .is_err());
}

/// The row of a worker that tells no start.
fn row(key: &str, service: &str, number: u64) -> EndpointRow {
    let facts = EndpointFacts {
        incarnation: Incarnation {
            id: key.to_string(),
            born_ms: None,
        },
        service: service.to_string(),
        address: ([10, 0, 0, 1], 1).into(),
        zone: "north".to_string(),
        slots: 4,
        is_leaving: false,
    };
    let written = Revision { era: 1, number };
    EndpointRow { facts, written }
}

/// Guards against a host's memory filled by rows of services that nobody names, against endpoints dropped for them, and
/// against rows that are missing for good once their service is named.
#[test]
fn rows_of_unnamed_services_beyond_the_bound_are_dropped_and_read_again_once_needed() {
    let mut endpoints = Endpoints::new(EXPIRY_GRACE_MS);
    endpoints.set_services(["desk"]);
    for number in 0..ROWS_MAX as u64 + 500 {
        let foreign = row(&format!("f-{number}"), "host-agent", 10 + number);
        endpoints
            .apply(foreign, Origin::Snapshot, 0)
            .expect("it can be parsed");
    }
    let desk = row("i-1", "desk", 1);
    endpoints
        .apply(desk, Origin::Snapshot, 0)
        .expect("it can be parsed");
    endpoints.drop_missing(0);
    assert_eq!(endpoints.listed_keys().len(), ROWS_MAX);
    assert_eq!(endpoints.fleet().of_service("desk").len(), 1);
    assert!(!endpoints.needs_full_read(0));
    endpoints.set_services(["desk", "host-agent"]);
    assert!(endpoints.needs_full_read(0));
    endpoints.begin_full_read(0);
    assert!(!endpoints.needs_full_read(0));
}

/// Guards against load that is counted anew for an endpoint that comes back into use: its key, by which all else is
/// known of it, outlives its replacement, a row that can't be parsed, and a row of an unnamed service under its key.
#[test]
fn an_endpoint_that_comes_back_keeps_its_key() {
    let mut endpoints = Endpoints::new(EXPIRY_GRACE_MS);
    endpoints.set_services(["desk"]);
    let key = |endpoints: &Endpoints| {
        let fleet = endpoints.fleet();
        let desk = fleet.of_service("desk").iter();
        let found = desk.clone().find(|e| e.facts.incarnation.id == "i-1");
        found.map(|endpoint| endpoint.key)
    };
    let own = row("i-1", "desk", 1);
    let read = |endpoints: &mut Endpoints, row| endpoints.apply(row, Origin::Change, 0);
    read(&mut endpoints, own.clone()).expect("accepted");
    let before = key(&endpoints);
    assert!(before.is_some());
    read(&mut endpoints, row("i-2", "desk", 2)).expect("accepted");
    assert_eq!(key(&endpoints), None, "it is replaced");
    endpoints.mark_missing("i-2", 100);
    endpoints.drop_missing(100);
    assert_eq!(key(&endpoints), before);
    endpoints.mark_unreadable("i-1");
    assert_eq!(key(&endpoints), None);
    read(&mut endpoints, own.clone()).expect("accepted");
    assert_eq!(key(&endpoints), before);
    let mut foreign = row("i-1", "host-agent", 4);
    foreign.facts.incarnation.born_ms = Some(7);
    read(&mut endpoints, foreign).expect("it can be parsed");
    assert_eq!(key(&endpoints), None);
    read(&mut endpoints, own).expect("accepted");
    assert_eq!(key(&endpoints), before);
}

/// Guards against an endpoint that is refused for good after the store was restored from an older copy, at a gateway that
/// learnt of the copy from a peer's list and therefore never read the store in full once the copy's entries had expired.
#[test]
fn an_endpoint_of_an_older_copy_is_used_again_where_a_peer_told_of_the_copy() {
    let report = |is_leaving| Event::Report {
        key: 2,
        service: 0,
        address: 0,
        is_leaving,
    };
    let history = [
        Event::Configure(BTreeSet::from([0])),
        Event::ReadConfiguration(1),
        report(true),
        Event::ReadRows(1),
        Event::RollBack(1),
        Event::Handover(0),
        Event::ReadRows(1),
        Event::Handover(0),
        report(false),
        Event::ReadRows(0),
    ];
    check(&history, false).expect("the same endpoints");
}

/// Guards against an endpoint that isn't used for good after the store was restored from an older copy, since a peer that
/// had seen it go before left its row out of the list that it handed over.
#[test]
fn an_endpoint_that_a_peer_left_out_of_its_list_is_used_again() {
    let history = [
        Event::Configure(BTreeSet::from([0])),
        Event::Report {
            key: 2,
            service: 0,
            address: 0,
            is_leaving: false,
        },
        Event::ReadRows(1),
        Event::Remove(2),
        Event::ReadRows(1),
        Event::RollBack(1),
        Event::ReadConfiguration(1),
        Event::ReadRows(0),
        Event::Write {
            key: 4,
            content: Content::Whole {
                service: 0,
                address: 1,
                born_ms: None,
                is_leaving: false,
            },
        },
        Event::ReadRows(1),
        Event::Handover(0),
    ];
    check(&history, false).expect("the same endpoints");
}
