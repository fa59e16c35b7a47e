//! Endpoints that restart under the same identifier, and entries by other writers, in any order.
//!
//! These tests guard against three faults. Two incarnations under one identifier were one endpoint
//! to a gateway, so what it knew of the first (work placed there, failures, reserved memory) was
//! applied to the second. A late entry of an older incarnation replaced the newer one. And any
//! entry with a listed address removed the endpoint that was really there.

use std::collections::HashMap;

use mgs_fleet::view::EndpointKey;
use mgs_relay::membership::Endpoints;
use mgs_relay::membership::Origin;
use mgs_relay::source::EndpointFacts;
use mgs_relay::source::EndpointRow;
use mgs_relay::source::Incarnation;
use mgs_relay::source::Revision;
use mgs_relay::source::RowFault;
use proptest::prelude::prop;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::prop_oneof;
use proptest::prelude::proptest;
use proptest::prelude::Strategy;
use rstest::rstest;

const EXPIRY_GRACE_MS: u64 = 2_200;

fn facts(id: u8, born_ms: Option<u64>) -> EndpointFacts {
    EndpointFacts {
        incarnation: Incarnation {
            id: format!("i-{id}"),
            born_ms,
        },
        service: "model".to_string(),
        address: ([10, 0, 0, 1], 1_000 + u16::from(id)).into(),
        zone: "north".to_string(),
        slots: 16,
        is_leaving: false,
    }
}

/// A row that is written at this revision.
fn row(facts: EndpointFacts, number: u64) -> EndpointRow {
    let written = Revision { era: 1, number };
    EndpointRow { facts, written }
}

/// A gateway that knows a configuration and has read no endpoint.
fn gateway() -> Endpoints {
    let mut endpoints = Endpoints::new(EXPIRY_GRACE_MS);
    endpoints.set_services(["model", "other"]);
    endpoints
}

fn read(endpoints: &mut Endpoints, facts: EndpointFacts) -> Result<(), RowFault> {
    endpoints.apply(row(facts, 1), Origin::Change, 0)
}

fn key_of(endpoints: &Endpoints, id: u8) -> Option<EndpointKey> {
    let id = format!("i-{id}");
    let fleet = endpoints.fleet();
    let mut known = fleet.by_key.values();
    let found = known.find(|endpoint| endpoint.facts.incarnation.id == id);
    found.map(|endpoint| endpoint.key)
}

#[test]
fn a_restart_under_the_same_identifier_is_a_new_endpoint() {
    let mut endpoints = gateway();
    read(&mut endpoints, facts(1, Some(10))).expect("accepted");
    let first = key_of(&endpoints, 1);
    let before = endpoints.content_hash();
    read(&mut endpoints, facts(1, Some(20))).expect("accepted");
    assert_ne!(key_of(&endpoints, 1), first);
    assert_ne!(
        endpoints.content_hash(),
        before,
        "peers see that it is a new incarnation"
    );
    let earlier = facts(1, Some(10)).incarnation;
    assert!(endpoints.fleet().has_restarted(&earlier));
    assert!(!endpoints
        .fleet()
        .has_restarted(&facts(1, Some(20)).incarnation));
}

#[rstest]
#[case::older(Some(10), Err(RowFault::OlderStart), true)]
#[case::the_same(Some(20), Ok(()), true)]
#[case::without_a_start(None, Err(RowFault::NoStart), false)]
fn an_entry_after_a_later_start(
    #[case] born_ms: Option<u64>,
    #[case] expected: Result<(), RowFault>,
    #[case] is_used: bool,
) {
    let mut endpoints = gateway();
    read(&mut endpoints, facts(1, Some(20))).expect("accepted");
    let key = key_of(&endpoints, 1);
    assert_eq!(read(&mut endpoints, facts(1, born_ms)), expected);
    assert_eq!(key_of(&endpoints, 1), key.filter(|_| is_used));
    read(&mut endpoints, facts(1, Some(20))).expect("accepted");
    assert_eq!(
        key_of(&endpoints, 1),
        key,
        "the same incarnation keeps its key"
    );
}

#[test]
fn an_endpoint_that_never_reported_its_start_stays_in_use() {
    let mut endpoints = gateway();
    read(&mut endpoints, facts(1, None)).expect("accepted");
    let key = key_of(&endpoints, 1);
    read(&mut endpoints, facts(1, None)).expect("accepted");
    assert_eq!(key_of(&endpoints, 1), key);
}

#[test]
fn the_latest_start_is_remembered_after_the_endpoint_is_removed() {
    let mut endpoints = gateway();
    read(&mut endpoints, facts(1, Some(20))).expect("accepted");
    endpoints.mark_missing("i-1", 100);
    endpoints.drop_missing(100);
    assert_eq!(
        read(&mut endpoints, facts(1, Some(10))),
        Err(RowFault::OlderStart)
    );
    assert_eq!(key_of(&endpoints, 1), None);
}

/// An entry with the address of a listed endpoint.
fn facts_at_address_of_1(born_ms: Option<u64>, service: &str) -> EndpointFacts {
    EndpointFacts {
        address: facts(1, None).address,
        service: service.to_string(),
        ..facts(2, born_ms)
    }
}

#[rstest]
#[case::of_an_unknown_service(None, None, false, true)]
#[case::written_later(None, None, true, false)]
#[case::started_later(Some(10), Some(20), true, false)]
#[case::started_earlier(Some(20), Some(10), true, true)]
#[case::without_a_start(Some(20), None, true, true)]
#[case::with_a_start_where_the_other_has_none(None, Some(20), true, true)]
fn an_entry_at_a_listed_address(
    #[case] listed_born_ms: Option<u64>,
    #[case] born_ms: Option<u64>,
    #[case] is_service_known: bool,
    #[case] is_kept: bool,
) {
    let mut endpoints = gateway();
    read(&mut endpoints, facts(1, listed_born_ms)).expect("accepted");
    let service = if is_service_known {
        "other"
    } else {
        "nobody-s"
    };
    let written_later = row(facts_at_address_of_1(born_ms, service), 2);
    let result = endpoints.apply(written_later, Origin::Change, 0);
    assert_eq!(key_of(&endpoints, 1).is_some(), is_kept, "{result:?}");
}

#[test]
fn an_unreadable_row_hides_its_endpoint_until_it_is_readable_again() {
    let mut endpoints = gateway();
    for id in 1..=2 {
        read(&mut endpoints, facts(id, Some(10))).expect("accepted");
    }
    let key = key_of(&endpoints, 1);
    endpoints.mark_unreadable("i-1");
    endpoints.mark_unreadable("nobody");
    assert_eq!(key_of(&endpoints, 1), None);
    assert!(
        key_of(&endpoints, 2).is_some(),
        "the other endpoints are unaffected"
    );
    read(&mut endpoints, facts(1, Some(10))).expect("accepted");
    assert_eq!(key_of(&endpoints, 1), key);
    endpoints.mark_unreadable("i-1");
    endpoints.note_outage_end(0, 100);
    endpoints.mark_missing("i-1", 100);
    endpoints.drop_missing(200);
    assert_eq!(
        key_of(&endpoints, 1),
        None,
        "its entry didn't expire in an outage"
    );
}

/// Something that happens to the entries.
#[derive(Debug, Clone)]
enum Event {
    /// An entry is read, perhaps an old one.
    Entry {
        id: u8,
        born_ms: Option<u64>,
        is_leaving: bool,
    },
    /// A row can't be parsed.
    Unreadable { id: u8 },
    /// A row was removed.
    Gone { id: u8 },
    /// An outage of the store has ended.
    OutageEnded,
    /// A peer sends the list that it has read.
    Peer { entries: Vec<(u8, u64)> },
}

fn event() -> impl Strategy<Value = Event> {
    let id = || 0u8..4;
    let start = || prop::option::weighted(0.9, 1u64..6);
    prop_oneof![
        4 => (id(), start(), prop::bool::weighted(0.2)).prop_map(|(id, born_ms, is_leaving)| {
            Event::Entry { id, born_ms, is_leaving }
        }),
        1 => id().prop_map(|id| Event::Unreadable { id }),
        1 => id().prop_map(|id| Event::Gone { id }),
        1 => proptest::prelude::Just(Event::OutageEnded),
        1 => prop::collection::vec((id(), 1u64..6), 0..4)
            .prop_map(|entries| Event::Peer { entries }),
    ]
}

fn apply(endpoints: &mut Endpoints, event: &Event, now_ms: u64) {
    match event {
        Event::Entry {
            id,
            born_ms,
            is_leaving,
        } => {
            let entry = EndpointFacts {
                is_leaving: *is_leaving,
                ..facts(*id, *born_ms)
            };
            // The properties check whether it is accepted.
            let _ = endpoints.apply(row(entry, 1), Origin::Change, now_ms);
        }
        Event::Unreadable { id } => endpoints.mark_unreadable(&format!("i-{id}")),
        Event::Gone { id } => endpoints.mark_missing(&format!("i-{id}"), now_ms),
        Event::OutageEnded => endpoints.note_outage_end(now_ms.saturating_sub(1), now_ms),
        Event::Peer { entries } => {
            let listed = entries
                .iter()
                .map(|(id, born_ms)| row(facts(*id, Some(*born_ms)), 1));
            endpoints.replace_all(listed.collect(), now_ms);
        }
    }
    endpoints.drop_missing(now_ms);
}

/// The expected state after the entries so far, computed independently of the code under test.
#[derive(Debug, Default)]
struct Expected {
    newest_ms: HashMap<u8, u64>,
    /// Whether the last row of an identifier can be parsed and reports a start if an earlier one
    /// did.
    is_usable: HashMap<u8, bool>,
}

impl Expected {
    fn record(&mut self, event: &Event) {
        match event {
            Event::Entry { id, born_ms, .. } => self.record_entry(*id, *born_ms),
            Event::Unreadable { id } => {
                self.is_usable.insert(*id, false);
            }
            Event::Gone { .. } | Event::OutageEnded => {}
            Event::Peer { entries } => {
                for (id, born_ms) in entries {
                    self.record_entry(*id, Some(*born_ms));
                }
            }
        }
    }

    fn record_entry(&mut self, id: u8, born_ms: Option<u64>) {
        let newest_ms = self.newest_ms.get(&id).copied();
        match born_ms {
            None => {
                self.is_usable.insert(id, newest_ms.is_none());
            }
            Some(born_ms) if newest_ms.is_none_or(|newest_ms| born_ms >= newest_ms) => {
                self.newest_ms.insert(id, born_ms);
                self.is_usable.insert(id, true);
            }
            // An old entry changes nothing.
            Some(_) => {}
        }
    }
}

proptest! {
    /// Each usable endpoint is the one of its newest parsable entry, and no key is reused for
    /// another incarnation.
    #[test]
    fn only_the_newest_incarnation_is_used(events in prop::collection::vec(event(), 1..60)) {
        let mut endpoints = gateway();
        let mut expected = Expected::default();
        let mut incarnations: HashMap<EndpointKey, Incarnation> = HashMap::new();
        for (step, event) in events.iter().enumerate() {
            expected.record(event);
            apply(&mut endpoints, event, step as u64 * 700);
            for endpoint in endpoints.fleet().by_key.values() {
                let incarnation = &endpoint.facts.incarnation;
                let id: u8 = incarnation.id[2..].parse().expect("a number");
                let newest_ms = expected.newest_ms.get(&id).copied();
                prop_assert_eq!(incarnation.born_ms, newest_ms, "{:?}", event);
                prop_assert!(
                    expected.is_usable.get(&id) == Some(&true),
                    "{:?} after {:?}",
                    incarnation,
                    event
                );
                let first = incarnations.entry(endpoint.key).or_insert_with(|| incarnation.clone());
                prop_assert_eq!(&*first, incarnation, "one key for two incarnations");
            }
        }
    }

    /// Two gateways that have read the same in the end agree, whatever each read before.
    #[test]
    fn gateways_that_read_the_same_list_agree(events in prop::collection::vec(event(), 1..40)) {
        let (mut one, mut other) = (gateway(), gateway());
        for (step, event) in events.iter().enumerate() {
            apply(&mut one, event, step as u64 * 700);
        }
        let last = [(0u8, 9u64), (1, 9), (2, 9)];
        let peer = Event::Peer { entries: last.to_vec() };
        apply(&mut one, &peer, 1_000_000);
        apply(&mut other, &peer, 1_000_000);
        prop_assert_eq!(one.content_hash(), other.content_hash());
    }
}
