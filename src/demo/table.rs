//! Settings table of the demonstration: its rows, and the edit that writes them.

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

/// Bearer key of an organisation. The demonstration's keys aren't secret.
pub(super) fn bearer_key(organisation: &str) -> String {
    format!("demo-key-{organisation}")
}

/// Changes that set the rows of the table: endpoints, organisations and kinds of request.
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

/// Commits the changes as the first version of the table. Fails if the store rejects the edit.
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
