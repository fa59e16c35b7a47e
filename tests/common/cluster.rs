//! Sidecars and the initial settings table, shared by tests with real processes.

use std::net::SocketAddr;

use mgs_platform::http;
use mgs_schema::settings::Change;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;
use mgs_settings::row::RowValue;
use mgs_settings::row::ANY;
use mgs_settings::store::edit;
use mgs_settings::store::read::Store;
use mgs_settings::table::key_digest;
use mgs_settings::table::Table;

use super::process::Process;

/// API key of the only organisation, sent as a bearer token.
pub(crate) const API_KEY: &str = "key-of-org-1";

/// Listen address with a port that the system chooses.
pub(crate) const ANY_PORT: &str = "127.0.0.1:0";

/// Starts the sidecar of an endpoint.
pub(crate) fn start_sidecar(
    name: &str,
    kind: &str,
    url: &str,
    platform: &str,
) -> (Process, SocketAddr) {
    Process::start_role(
        "sidecar",
        &[
            "--name",
            name,
            "--endpoint-kind",
            kind,
            "--endpoint-url",
            url,
            "--listen",
            ANY_PORT,
            "--admin",
            ANY_PORT,
            "--platform",
            platform,
        ],
    )
}

/// A row for an endpoint that serves one model.
pub(crate) fn endpoint_row(
    name: &str,
    kind: EndpointKind,
    sidecar_address: SocketAddr,
    model: &str,
) -> EndpointRow {
    EndpointRow {
        name: name.to_string(),
        kind: kind.into(),
        sidecar_address: sidecar_address.to_string(),
        zone: "zone-1".to_string(),
        models: vec![model.to_string()],
        started: true,
        ..EndpointRow::default()
    }
}

/// Writes the first version of the table: one organisation, one limit for all, and these endpoints.
pub(crate) fn write_initial_table(platform_url: &str, endpoints: &[EndpointRow]) {
    let client = http::Client::new(http::Options {
        base_url: platform_url.to_string(),
        ..http::Options::default()
    });
    let organisation = OrganisationRow {
        name: "org-1".to_string(),
        key_digests: vec![key_digest(API_KEY)],
        version: 0,
    };
    let limit = LimitRow {
        organisation: ANY.to_string(),
        kind: ANY.to_string(),
        weight: 1,
        allotted_ms: 60_000,
        ..LimitRow::default()
    };
    let mut changes: Vec<Change> = vec![
        RowValue::Organisation(organisation).set(),
        RowValue::Limit(limit).set(),
    ];
    let endpoints = endpoints.iter().cloned().map(RowValue::Endpoint);
    changes.extend(endpoints.map(RowValue::set));
    let options = edit::Options {
        edit_id: "test-1".to_string(),
        author: "test".to_string(),
        changes,
        ..edit::Options::default()
    };
    let store = Store {
        table: &client,
        objects: &client,
    };
    edit::commit(store, &Table::default(), &options).unwrap();
}
