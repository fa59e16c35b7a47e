//! Reading the table and its log.

use mgs_platform::object::Objects;
use mgs_platform::table::Table as TableService;
use mgs_platform::table::PAGE_ROWS_MAX;
use mgs_schema::settings::Edit;
use mgs_schema::settings::Snapshot;

use super::archive_first;
use super::archive_key;
use super::decode;
use super::decode_edits;
use super::log_key;
use super::snapshot_key;
use super::Compacted;
use super::Error;
use super::HeadRow;
use super::ARCHIVE_EDITS;
use super::COMPACTED_KEY;
use super::HEAD_KEY;
use super::LOG_PREFIX;
use crate::table::Table;

/// How often a reading is begun anew when the log is compacted under it.
const READ_ATTEMPTS: usize = 5;

/// The services that the settings live in.
#[derive(Clone, Copy)]
pub struct Store<'a> {
    /// Head and log.
    pub table: &'a dyn TableService,
    /// Snapshots and archive.
    pub objects: &'a dyn Objects,
}

impl std::fmt::Debug for Store<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}

/// Reads the head. One read.
pub fn head(table: &dyn TableService) -> Result<HeadRow, Error> {
    let Some(row) = table.get(HEAD_KEY)? else {
        return Ok(HeadRow::default());
    };
    Ok(HeadRow {
        revision: row.version,
        head: decode(HEAD_KEY, row.value.as_bytes())?,
    })
}

/// Reads the pointer to the newest snapshot, and the version of its row. One read.
pub fn compacted(table: &dyn TableService) -> Result<(u64, Compacted), Error> {
    let Some(row) = table.get(COMPACTED_KEY)? else {
        return Ok((
            0,
            Compacted {
                snapshot: 0,
                first: 1,
            },
        ));
    };
    Ok((row.version, decode(COMPACTED_KEY, row.value.as_bytes())?))
}

/// Reads the edits after a version that the log has, at most a page of them, in order.
/// [`Error::Gap`] says that the log no longer reaches back so far. One read.
pub fn edits_after(table: &dyn TableService, version: u64) -> Result<Vec<Edit>, Error> {
    let page = table.scan(LOG_PREFIX, &log_key(version), PAGE_ROWS_MAX)?;
    let edits = decode_edits(&page.rows)?;
    check_dense(version, &edits)?;
    Ok(edits)
}

/// Reads all the edits after a version that the log has.
pub fn all_edits_after(table: &dyn TableService, version: u64) -> Result<Vec<Edit>, Error> {
    let mut edits: Vec<Edit> = Vec::new();
    loop {
        let last = edits.last().map_or(version, |edit| edit.version);
        let page = edits_after(table, last)?;
        let more = page.len() == PAGE_ROWS_MAX;
        edits.extend(page);
        if !more {
            return Ok(edits);
        }
    }
}

fn check_dense(version: u64, edits: &[Edit]) -> Result<(), Error> {
    for (expected, edit) in (version + 1..).zip(edits) {
        if edit.version != expected {
            return Err(Error::Gap(expected));
        }
    }
    Ok(())
}

/// Reads the newest table: the newest snapshot and the log behind it.
pub fn load(store: Store<'_>) -> Result<Table, Error> {
    past_gaps(|| load_once(store))
}

/// Reads anew when the log was compacted under a reading.
fn past_gaps<T>(read: impl Fn() -> Result<T, Error>) -> Result<T, Error> {
    let mut result = read();
    for _ in 1..READ_ATTEMPTS {
        if !matches!(result, Err(Error::Gap(_))) {
            break;
        }
        result = read();
    }
    result
}

fn load_once(store: Store<'_>) -> Result<Table, Error> {
    let (_, compacted) = compacted(store.table)?;
    let snapshot = snapshot(store.objects, compacted.snapshot)?;
    let edits = all_edits_after(store.table, snapshot.version)?;
    Ok(Table::new(snapshot).after(&edits)?)
}

/// A snapshot that is gone was replaced by a newer one since the pointer was read.
fn snapshot(objects: &dyn Objects, version: u64) -> Result<Snapshot, Error> {
    if version == 0 {
        return Ok(Snapshot::default());
    }
    let key = snapshot_key(version);
    let body = objects.get(&key)?.ok_or(Error::Gap(version))?;
    decode(&key, &body)
}

/// The newest table, given an older one: the log's edits if they reach back so far, else as
/// [`load`] does.
pub fn refresh(store: Store<'_>, table: &Table) -> Result<Table, Error> {
    match all_edits_after(store.table, table.version()) {
        Ok(edits) => Ok(table.after(&edits)?),
        Err(Error::Gap(_)) => load(store),
        Err(error) => Err(error),
    }
}

/// Reads the edits from version `first` to `last`, both included, from the archive and the log;
/// fewer if the newest is older than `last`.
pub fn history(store: Store<'_>, first: u64, last: u64) -> Result<Vec<Edit>, Error> {
    past_gaps(|| history_once(store, first.max(1), last))
}

fn history_once(store: Store<'_>, first: u64, last: u64) -> Result<Vec<Edit>, Error> {
    let (_, compacted) = compacted(store.table)?;
    let mut edits = Vec::new();
    let mut from = archive_first(first);
    while from < compacted.first && from <= last {
        edits.extend(archived(store.objects, from)?);
        from += ARCHIVE_EDITS;
    }
    let logged_after = edits.last().map_or(first - 1, |edit: &Edit| edit.version);
    if logged_after < last {
        edits.extend(all_edits_after(store.table, logged_after)?);
    }
    edits.retain(|edit| (first..=last).contains(&edit.version));
    Ok(edits)
}

/// The version of an edit, searched in what the log still has.
pub fn find_edit(table: &dyn TableService, edit_id: &str) -> Result<Option<u64>, Error> {
    let (_, compacted) = compacted(table)?;
    let edits = all_edits_after(table, compacted.first - 1)?;
    let found = edits.iter().find(|edit| edit.edit_id == edit_id);
    Ok(found.map(|edit| edit.version))
}

fn archived(objects: &dyn Objects, first: u64) -> Result<Vec<Edit>, Error> {
    let key = archive_key(first);
    let body = objects.get(&key)?.ok_or(Error::Gap(first))?;
    decode(&key, &body)
}
