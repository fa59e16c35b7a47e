//! A gateway and the platform: settings, its name, confirmations, leaving hosts.

mod support;

use std::sync::Arc;

use mgs_gateway::gateway::Gateway;
use mgs_platform::host::Host;
use mgs_platform::host::State;
use mgs_platform::table::Table;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::LimitLeaseRequest;
use mgs_settings::confirm;
use mgs_settings::confirm::Confirmation;
use mgs_settings::member;
use mgs_settings::row::RowValue;
use mgs_standin::platform::memory::Memory;
use mgs_transport::client::Connection;
use mgs_transport::runtime::Runtime;
use support::platform::apply;
use support::platform::changes;
use support::platform::start;
use support::sidecar;
use support::snapshot;
use support::until;
use support::Script;

fn confirmed(memory: &Memory, gateway: &str) -> Confirmation {
    let row = memory.get(&confirm::key(gateway)).unwrap();
    row.map_or_else(Confirmation::default, |row| {
        serde_json::from_str(&row.value).unwrap()
    })
}

#[test]
fn an_edit_reaches_the_sidecar_and_is_confirmed() {
    let runtime = Runtime::new(&Default::default()).unwrap();
    let engine = sidecar(&runtime, Script::Answer(1));
    let memory = Arc::new(Memory::default());
    let table = snapshot(&[&engine], &[]);
    let first = apply(&memory, "first", changes(table.clone()));
    let gateway = start(&memory, "g1", Vec::new());
    until("settings", || gateway.health().ready().is_ok());
    until("confirmation", || {
        confirmed(&memory, "g1").sidecars.get("m-0") == Some(&first)
    });
    let mut limit = table.limits[0].clone();
    limit.weight = 9;
    let second = apply(&memory, "second", vec![RowValue::Limit(limit).set()]);
    until("the second edit at the sidecar", || {
        engine.fake.settings.version() == second
    });
    until("its confirmation", || {
        let confirmed = confirmed(&memory, "g1");
        confirmed.version == second && confirmed.sidecars.get("m-0") == Some(&second)
    });
}

#[test]
fn a_gateway_whose_name_is_taken_over_takes_no_new_requests() {
    let memory = Arc::new(Memory::default());
    apply(&memory, "first", changes(snapshot(&[], &[])));
    let old = start(&memory, "g1", Vec::new());
    until("settings", || old.health().ready().is_ok());
    until("the claim", || {
        let row = memory.get(&member::key(member::Role::Gateway, "g1"));
        row.unwrap().is_some()
    });
    let new = start(&memory, "g1", Vec::new());
    until("the old one's end", || old.core().is_superseded());
    assert!(old.health().ready().is_err());
    until("settings", || new.health().ready().is_ok());
}

#[test]
fn a_gateway_starts_without_the_store_from_its_peer() {
    let memory = Arc::new(Memory::default());
    apply(&memory, "first", changes(snapshot(&[], &[])));
    let old = start(&memory, "g1", Vec::new());
    until("settings", || old.health().ready().is_ok());
    memory.faults().set_outage(true);
    let new = start(&memory, "g2", vec![old.peer_address().unwrap()]);
    until("settings from the peer", || new.health().ready().is_ok());
}

#[test]
fn an_endpoint_on_a_leaving_host_gets_no_new_work() {
    let runtime = Runtime::new(&Default::default()).unwrap();
    let engine = sidecar(&runtime, Script::Answer(1));
    let memory = Arc::new(Memory::default());
    let table = snapshot(&[&engine], &[]);
    let address = table.endpoints[0].sidecar_address.clone();
    apply(&memory, "first", changes(table));
    let gateway = start(&memory, "g1", Vec::new());
    let state = || {
        let view = gateway.core().view();
        let endpoint = view.endpoints.iter().flatten().next().map(|e| e.state);
        endpoint.unwrap_or(EndpointState::Unspecified)
    };
    until("a live endpoint", || state() == EndpointState::Live);
    memory.set_hosts(vec![Host {
        address,
        zone: "zone-1".to_string(),
        state: State::Leaving,
    }]);
    until("a leaving endpoint", || state() == EndpointState::Leaving);
}

#[test]
fn one_of_the_gateways_grants_shares_of_a_limit() {
    let memory = Arc::new(Memory::default());
    let mut table = snapshot(&[], &[]);
    table.limits[0].requests_per_s = 10.0;
    apply(&memory, "first", changes(table));
    let gateways = ["g1", "g2"].map(|name| start(&memory, name, Vec::new()));
    let runtime = Runtime::new(&Default::default()).unwrap();
    let granted = |gateway: &Gateway| {
        let address = gateway.peer_address().unwrap();
        let connection = Connection::open(&runtime, address, &Default::default()).unwrap();
        let request = LimitLeaseRequest {
            organisation: "verdure".into(),
            kind: "stock".into(),
            gateway_incarnation: gateways[0].incarnation(),
            wanted_requests_per_s: 4.0,
            ..LimitLeaseRequest::default()
        };
        match connection.ask(Body::LimitLeaseRequest(request), support::WAIT) {
            Ok(Body::LimitLease(lease)) => Some(lease.requests_per_s),
            _ => None,
        }
    };
    // While they don't know of each other, each is the home of all rows.
    until("one home", || {
        let grants = [granted(&gateways[0]), granted(&gateways[1])];
        grants.iter().flatten().count() == 1
    });
    let grants = gateways.iter().filter_map(granted);
    let all: Vec<f64> = grants.collect();
    assert!(all.len() == 1 && all[0] > 0.0 && all[0] <= 10.0, "{all:?}");
}
