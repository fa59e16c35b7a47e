//! Rows and edits for the tests.
#![allow(dead_code, unreachable_pub)]

use mgs_platform::object::Objects;
use mgs_platform::table::Table as TableService;
use mgs_schema::settings::Change;
use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::LimitRow;
use mgs_schema::settings::OrganisationRow;
use mgs_settings::row::RowValue;
use mgs_settings::store::edit;
use mgs_settings::store::edit::commit;
use mgs_settings::store::read;
use mgs_settings::store::read::Store;
use mgs_settings::table::key_digest;
use mgs_settings::table::Table;

/// A valid row of limits for any organisation.
pub fn limit(kind: &str, weight: u32) -> LimitRow {
    LimitRow {
        organisation: "*".to_string(),
        kind: kind.to_string(),
        weight,
        allotted_ms: 30_000,
        ..LimitRow::default()
    }
}

/// A change that sets [`limit`].
pub fn set_limit(kind: &str, weight: u32) -> Change {
    RowValue::Limit(limit(kind, weight)).set()
}

/// An organisation with one key.
pub fn organisation(name: &str, key: &str) -> OrganisationRow {
    OrganisationRow {
        name: name.to_string(),
        key_digests: vec![key_digest(key)],
        ..OrganisationRow::default()
    }
}

/// An engine.
pub fn engine(name: &str, port: u16) -> EndpointRow {
    EndpointRow {
        name: name.to_string(),
        kind: EndpointKind::Engine.into(),
        sidecar_address: format!("127.0.0.1:{port}"),
        zone: "a".to_string(),
        models: vec!["m".to_string()],
        started: true,
        ..EndpointRow::default()
    }
}

/// Both services of one memory.
pub fn store<T: TableService + Objects>(memory: &T) -> Store<'_> {
    Store {
        table: memory,
        objects: memory,
    }
}

/// Options of an edit with these changes.
pub fn options(edit_id: &str, changes: Vec<Change>) -> edit::Options {
    edit::Options {
        edit_id: edit_id.to_string(),
        author: "test".to_string(),
        changes,
        ..edit::Options::default()
    }
}

/// Makes an edit on the newest table.
pub fn edit_now(store: Store<'_>, edit_id: &str, changes: Vec<Change>) -> Result<u64, edit::Error> {
    let base = read::load(store).map_err(edit::Error::Refused)?;
    commit(store, &base, &options(edit_id, changes)).map(|outcome| outcome.version)
}

/// Makes `count` edits, one after the other.
pub fn fill(store: Store<'_>, count: u64) {
    let mut base = read::load(store).expect("the store is up");
    for _ in 0..count {
        let version = base.version() + 1;
        let weight = u32::try_from(version).expect("few versions");
        let options = options(&format!("fill-{version}"), vec![set_limit("fill", weight)]);
        commit(store, &base, &options).expect("nobody races");
        base = read::refresh(store, &base).expect("the store is up");
    }
}

/// Weight of a row of limits.
pub fn weight(table: &Table, kind: &str) -> Option<u32> {
    let row = table.limit("*", kind).filter(|row| row.kind == kind);
    row.map(|row| row.weight)
}
