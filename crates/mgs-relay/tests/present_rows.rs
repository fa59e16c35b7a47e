//! Which endpoints a gateway uses depends on what the store holds now, not on what it held before.
//!
//! Guards against conclusions that outlive what they were drawn from. The store reports a row only
//! when it changes; a gateway that deleted or refused one, since its service wasn't named yet or
//! another row had its address, didn't use that endpoint until the process ended.

mod row_history;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use mgs_fleet::view::EndpointKey;
use mgs_relay::membership::ENTRY_EXPIRY_MS;
use mgs_relay::source::EndpointFacts;
use mgs_relay::source::Incarnation;
use mgs_relay::source::Revision;
use mgs_relay::source::Update;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use row_history::gateway::Gateway;
use row_history::history;
use row_history::update;
use row_history::Content;
use row_history::Event;
use row_history::Store;
use row_history::GATEWAYS;
use row_history::KEYS;
use row_history::TELL_START;

/// Duration of a step, in milliseconds: histories cover the grace after an outage and the time in
/// which entries of a restored copy may expire.
const STEP_MS: u64 = 400;

/// Number of histories that are drawn.
const HISTORIES: u32 = 3_000;

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

/// Checks the property for one history.
fn check(history: &[Event], forgets_unused: bool) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new(forgets_unused);
    for event in history {
        simulation.apply(event)?;
    }
    simulation.settle();
    simulation.check_settled()
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
