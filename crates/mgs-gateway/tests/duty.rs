//! A gateway and the platform: settings, its name, confirmations, leaving hosts.

mod support;

use std::sync::Arc;

use mgs_gateway::duty::Platform;
use mgs_gateway::gateway::Gateway;
use mgs_gateway::gateway::Options;
use mgs_platform::host::Host;
use mgs_platform::host::State;
use mgs_platform::table::Table;
use mgs_schema::settings::Change;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::EndpointState;
use mgs_settings::confirm;
use mgs_settings::confirm::Confirmation;
use mgs_settings::member;
use mgs_settings::row::RowValue;
use mgs_settings::store::edit;
use mgs_settings::store::edit::commit;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_standin::platform::memory::Memory;
use mgs_transport::runtime::Runtime;
use support::sidecar;
use support::snapshot;
use support::until;
use support::Script;

fn changes(snapshot: Snapshot) -> Vec<Change> {
    let limits = snapshot.limits.into_iter().map(RowValue::Limit);
    let organisations = snapshot.organisations.into_iter();
    let organisations = organisations.map(RowValue::Organisation);
    let endpoints = snapshot.endpoints.into_iter().map(RowValue::Endpoint);
    let values = limits.chain(organisations).chain(endpoints);
    values.map(RowValue::set).collect()
}

fn apply(memory: &Memory, edit_id: &str, changes: Vec<Change>) -> u64 {
    let store = Store {
        table: memory,
        objects: memory,
    };
    let base = read::load(store).unwrap();
    let options = edit::Options {
        edit_id: edit_id.to_string(),
        author: "test".to_string(),
        changes,
        ..edit::Options::default()
    };
    commit(store, &base, &options).unwrap().version
}

fn start(memory: &Arc<Memory>, name: &str, peers: Vec<std::net::SocketAddr>) -> Gateway {
    Gateway::start(Options {
        name: name.to_string(),
        peer_listen: Some(([127, 0, 0, 1], 0).into()),
        platform: Some(Platform {
            table: memory.clone(),
            objects: memory.clone(),
            weights: memory.clone(),
            hosts: memory.clone(),
        }),
        member: member::Options {
            renew_interval_ms: 50,
            ..member::Options::default()
        },
        peers,
        ..Options::default()
    })
    .unwrap()
}

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
