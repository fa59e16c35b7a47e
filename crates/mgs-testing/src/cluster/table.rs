//! The operators' table of the system.

use mgs_platform::object::Objects;
use mgs_platform::table::Table as TableService;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;
use mgs_settings::row::RowValue;
use mgs_settings::row::ANY;
use mgs_settings::store::edit;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_settings::table::key_digest;

use crate::cluster::Error;

/// Bearer key of the one organisation.
pub const BEARER_KEY: &str = "test-key";

/// The model that the engines serve.
pub const MODEL: &str = "model-a";

/// The plain service.
pub const SERVICE: &str = "stock";

/// Name of the organisation.
const ORGANISATION: &str = "org-1";

/// The organisation, its limits and the endpoints.
pub(super) fn rows(allotted_ms: u64, endpoints: Vec<EndpointRow>) -> Vec<RowValue> {
    let organisation = OrganisationRow {
        name: ORGANISATION.to_string(),
        key_digests: vec![key_digest(BEARER_KEY)],
        ..OrganisationRow::default()
    };
    let limit = LimitRow {
        organisation: ANY.to_string(),
        kind: ANY.to_string(),
        weight: 1,
        allotted_ms,
        ..LimitRow::default()
    };
    let mut rows = vec![RowValue::Organisation(organisation), RowValue::Limit(limit)];
    rows.extend(endpoints.into_iter().map(RowValue::Endpoint));
    rows
}

/// Makes one edit; returns the version that has it.
pub(super) fn edit<P>(platform: &P, edit_id: &str, rows: Vec<RowValue>) -> Result<u64, Error>
where
    P: TableService + Objects,
{
    let store = Store {
        table: platform,
        objects: platform,
    };
    let base = read::load(store).map_err(|error| Error::Table(error.to_string()))?;
    let options = edit::Options {
        edit_id: edit_id.to_string(),
        author: "test".to_string(),
        changes: rows.into_iter().map(RowValue::set).collect(),
        ..edit::Options::default()
    };
    let outcome = edit::commit(store, &base, &options);
    let outcome = outcome.map_err(|error| Error::Table(error.to_string()))?;
    Ok(outcome.version)
}
