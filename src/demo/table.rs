//! The demonstration's table: its rows, and the edit that makes them.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mgs_platform::http;
use mgs_schema::settings::Change;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;
use mgs_settings::row::RowValue;
use mgs_settings::row::ANY;
use mgs_settings::store::edit;
use mgs_settings::store::read::Store;
use mgs_settings::table::key_digest;
use mgs_settings::table::Table;

use super::plan;
use crate::error::Error;

/// The demonstration's keys are no secret.
pub(super) fn bearer_key(organisation: &str) -> String {
    format!("demo-key-{organisation}")
}

/// The rows of the table: these endpoints, the organisations and the kinds of request.
pub(super) fn changes(endpoints: &[EndpointRow], bearer_keys: &[String]) -> Vec<Change> {
    let endpoints = endpoints.iter().cloned().map(RowValue::Endpoint);
    let organisations = plan::ORGANISATIONS.iter().zip(bearer_keys);
    let organisations = organisations.map(|(name, key)| {
        RowValue::Organisation(OrganisationRow {
            name: name.to_string(),
            key_digests: vec![key_digest(key)],
            version: 0,
        })
    });
    let limits = plan::KINDS.iter().map(|kind| {
        RowValue::Limit(LimitRow {
            organisation: ANY.to_string(),
            kind: kind.name.to_string(),
            weight: kind.weight,
            priority: kind.priority,
            allotted_ms: kind.allotted_ms,
            ..LimitRow::default()
        })
    });
    let rows = endpoints.chain(organisations).chain(limits);
    rows.map(RowValue::set).collect()
}

/// Writes the first version of the table.
pub(super) fn write(client: &http::Client, changes: Vec<Change>) -> Result<(), Error> {
    let store = Store {
        table: client,
        objects: client,
    };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let options = edit::Options {
        edit_id: "demo-1".to_string(),
        author: "demo".to_string(),
        at_ms: since_epoch.map_or(0, |time| time.as_millis() as u64),
        changes,
        ..edit::Options::default()
    };
    let outcome = edit::commit(store, &Table::default(), &options);
    outcome.map_err(|error| Error::Failed(error.to_string()))?;
    Ok(())
}
