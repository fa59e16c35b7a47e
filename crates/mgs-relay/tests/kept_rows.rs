//! What is kept of rows whose endpoints aren't used.

use mgs_relay::membership::Endpoints;
use mgs_relay::membership::Origin;
use mgs_relay::membership::ROWS_MAX;
use mgs_relay::source::EndpointFacts;
use mgs_relay::source::EndpointRow;
use mgs_relay::source::Incarnation;
use mgs_relay::source::Revision;

const EXPIRY_GRACE_MS: u64 = 2_200;

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
