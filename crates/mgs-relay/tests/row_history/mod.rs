//! Histories of the store's rows: their events, how they are drawn, and the store in which they
//! happen.

pub(crate) mod gateway;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mgs_relay::source::EndpointFacts;
use mgs_relay::source::EndpointRow;
use mgs_relay::source::Incarnation;
use mgs_relay::source::Revision;
use mgs_relay::source::RowFault;
use mgs_relay::source::Update;
use proptest::prelude::prop;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;

/// Keys of rows. Workers restart with later starts, which only some tell; what other writers write
/// has any start.
pub(crate) const WORKERS: u8 = 4;
pub(crate) const TELL_START: u8 = 2;
pub(crate) const KEYS: u8 = 8;

/// Number of addresses, which rows share.
pub(crate) const ADDRESSES: u16 = 3;

/// Number of services that a configuration may name.
pub(crate) const SERVICES: u8 = 3;

pub(crate) const GATEWAYS: usize = 2;

/// Content of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Content {
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
pub(crate) enum Event {
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
pub(crate) struct Store {
    pub(crate) era: u64,
    pub(crate) log: Vec<(u8, Option<Content>)>,
    pub(crate) services: Option<BTreeSet<u8>>,
}

impl Store {
    pub(crate) fn revision(&self, position: usize) -> Revision {
        Revision {
            era: self.era,
            number: position as u64 + 1,
        }
    }

    /// The present rows in the order in which they were written.
    pub(crate) fn rows(&self) -> Vec<(usize, u8, Content)> {
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

pub(crate) fn id(key: u8) -> String {
    format!("i-{key}")
}

pub(crate) fn service(number: u8) -> String {
    format!("service-{number}")
}

/// The update that a read of a row yields.
pub(crate) fn update(key: u8, content: Content, written: Revision) -> Update {
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

impl Content {
    pub(crate) fn born_ms(&self) -> Option<u64> {
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

pub(crate) fn history() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(event(), 1..60)
}
