//! Gateways on a platform in memory.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;

use mgs_gateway::duty::Platform;
use mgs_gateway::gateway::Gateway;
use mgs_gateway::gateway::Options;
use mgs_schema::settings::Change;
use mgs_schema::settings::Snapshot;
use mgs_settings::member;
use mgs_settings::row::RowValue;
use mgs_settings::store::edit;
use mgs_settings::store::edit::commit;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_standin::platform::memory::Memory;

/// The changes that make a table.
pub(crate) fn changes(snapshot: Snapshot) -> Vec<Change> {
    let limits = snapshot.limits.into_iter().map(RowValue::Limit);
    let organisations = snapshot.organisations.into_iter();
    let organisations = organisations.map(RowValue::Organisation);
    let endpoints = snapshot.endpoints.into_iter().map(RowValue::Endpoint);
    let values = limits.chain(organisations).chain(endpoints);
    values.map(RowValue::set).collect()
}

/// Makes an edit.
pub(crate) fn apply(memory: &Memory, edit_id: &str, changes: Vec<Change>) -> u64 {
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

/// Starts a gateway.
pub(crate) fn start(memory: &Arc<Memory>, name: &str, peers: Vec<SocketAddr>) -> Gateway {
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
        leave_grace_ms: 10,
        peers,
        ..Options::default()
    })
    .unwrap()
}
