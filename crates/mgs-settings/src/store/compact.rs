//! Shortening the log: snapshots and an archive in the object store.
//!
//! The order of the steps makes each of them safe to be cut off or repeated, and a second
//! compactor harmless: objects of one version always have the same content, the pointer only moves
//! forward in a transaction, and the log is only deleted behind the pointer.

use mgs_platform::table::Txn;
use mgs_platform::table::TxnOutcome;
use mgs_platform::table::TXN_ROWS_MAX;
use mgs_schema::settings::Edit;
use mgs_schema::settings::Snapshot;

use super::archive_first;
use super::archive_key;
use super::decode;
use super::encode;
use super::log_key;
use super::read;
use super::read::Store;
use super::snapshot_key;
use super::Compacted;
use super::Error;
use super::ARCHIVE_EDITS;
use super::COMPACTED_KEY;
use super::LOG_PREFIX;
use crate::table;

/// Settings of compaction.
#[derive(Debug, Clone)]
pub struct Options {
    /// Newest edits that stay in the log, for processes that lag; a whole number of archive
    /// objects is compacted at once.
    pub keep_edits: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { keep_edits: 512 }
    }
}

/// What was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The log is short enough.
    NotNeeded,
    /// Another process moved the pointer.
    Raced,
    /// The pointer now names this version.
    Compacted(u64),
}

/// Compacts the log if it is long enough.
pub fn run(store: Store<'_>, options: &Options) -> Result<Outcome, Error> {
    let (revision, old) = read::compacted(store.table)?;
    delete_log(store, old.first)?;
    let head = read::head(store.table)?;
    let keep = options.keep_edits.max(1);
    let target = head.head.version.saturating_sub(keep) / ARCHIVE_EDITS * ARCHIVE_EDITS;
    if target < old.first {
        return Ok(Outcome::NotNeeded);
    }
    let edits = read::history(store, old.snapshot + 1, target)?;
    put_archive(store, &edits)?;
    put_snapshot(store, old.snapshot, &edits)?;
    let new = Compacted {
        snapshot: target,
        first: target + 1,
    };
    if !move_pointer(store, revision, &new)? {
        return Ok(Outcome::Raced);
    }
    delete_log(store, new.first)?;
    delete_older_snapshot(store, old.snapshot)?;
    Ok(Outcome::Compacted(target))
}

fn put_archive(store: Store<'_>, edits: &[Edit]) -> Result<(), Error> {
    for chunk in edits.chunk_by(|a, b| archive_first(a.version) == archive_first(b.version)) {
        let key = archive_key(chunk[0].version);
        store.objects.put(&key, encode(&key, &chunk)?.as_bytes())?;
    }
    Ok(())
}

fn put_snapshot(store: Store<'_>, from: u64, edits: &[Edit]) -> Result<(), Error> {
    let mut snapshot = match from {
        0 => Snapshot::default(),
        _ => {
            let key = snapshot_key(from);
            let body = store.objects.get(&key)?.ok_or(Error::Gap(from))?;
            decode(&key, &body)?
        }
    };
    for edit in edits {
        table::apply_edit(&mut snapshot, edit).map_err(|_| Error::Gap(edit.version))?;
    }
    let key = snapshot_key(snapshot.version);
    store
        .objects
        .put(&key, encode(&key, &snapshot)?.as_bytes())?;
    Ok(())
}

/// A lost answer is settled by the next run: the pointer names what it names.
fn move_pointer(store: Store<'_>, revision: u64, new: &Compacted) -> Result<bool, Error> {
    let txn = Txn::default()
        .when(COMPACTED_KEY, revision)
        .put(COMPACTED_KEY, &encode(COMPACTED_KEY, new)?);
    Ok(matches!(
        store.table.commit(&txn)?,
        TxnOutcome::Committed(_)
    ))
}

/// Deletes what the log has before `first`, oldest first, so that what is left has no gap.
fn delete_log(store: Store<'_>, first: u64) -> Result<(), Error> {
    let end = log_key(first);
    loop {
        let page = store.table.scan(LOG_PREFIX, "", TXN_ROWS_MAX)?;
        let old = page.rows.iter().take_while(|row| row.key < end);
        let txn = old.fold(Txn::default(), |txn, row| txn.delete(&row.key));
        if txn.writes.is_empty() {
            return Ok(());
        }
        store.table.commit(&txn)?;
    }
}

/// A reader that still has the pointer to it finds it gone and reads the pointer anew.
fn delete_older_snapshot(store: Store<'_>, version: u64) -> Result<(), Error> {
    if version > 0 {
        store.objects.delete(&snapshot_key(version))?;
    }
    Ok(())
}
