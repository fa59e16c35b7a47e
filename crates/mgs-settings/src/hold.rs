//! The version that a process has in force; it never goes back.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use mgs_schema::settings::Edit;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::SettingsReply;
use mgs_schema::wire::SettingsRequest;

use crate::table::Error;
use crate::table::Table;

/// Most recent edits that are kept, to answer with them instead of the whole table.
pub const RECENT_EDITS_MAX: usize = 512;

/// The table that a process has in force, read without a lock.
///
/// ```
/// use mgs_schema::settings::Snapshot;
/// use mgs_settings::hold::Holder;
///
/// let holder = Holder::default();
/// assert!(holder.adopt_snapshot(Snapshot { version: 4, ..Snapshot::default() }));
/// assert!(!holder.adopt_snapshot(Snapshot { version: 3, ..Snapshot::default() }));
/// assert_eq!(holder.version(), 4);
/// ```
#[derive(Debug, Default)]
pub struct Holder {
    table: ArcSwap<Table>,
    recent: Mutex<VecDeque<Edit>>,
}

impl Holder {
    /// The table in force.
    pub fn table(&self) -> Arc<Table> {
        self.table.load_full()
    }

    /// Version of the table in force; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.table.load().version()
    }

    /// Takes a whole table if it is newer; returns whether it was.
    pub fn adopt_snapshot(&self, snapshot: Snapshot) -> bool {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if snapshot.version <= self.version() {
            return false;
        }
        recent.clear();
        self.table.store(Arc::new(Table::new(snapshot)));
        true
    }

    /// Takes the edits that are newer; returns whether there were any. An error says that edits
    /// between are missing, and nothing was taken.
    pub fn adopt_edits(&self, edits: &[Edit]) -> Result<bool, Error> {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let table = self.table.load();
        let known = edits.partition_point(|edit| edit.version <= table.version());
        let newer = &edits[known..];
        if newer.is_empty() {
            return Ok(false);
        }
        let next = table.after(newer)?;
        self.table.store(Arc::new(next));
        recent.extend(newer.iter().cloned());
        let excess = recent.len().saturating_sub(RECENT_EDITS_MAX);
        recent.drain(..excess);
        Ok(true)
    }

    /// Takes another process's answer; returns whether it was newer.
    pub fn adopt_reply(&self, reply: SettingsReply) -> Result<bool, Error> {
        let newer = match reply.snapshot {
            Some(snapshot) => self.adopt_snapshot(snapshot),
            None => false,
        };
        Ok(self.adopt_edits(&reply.edits)? || newer)
    }

    /// Answers another process that asks for settings: with edits if they are at hand and shorter
    /// than the table, else with the whole table, and with neither if it has nothing newer.
    pub fn answer(&self, request: &SettingsRequest) -> SettingsReply {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let table = self.table.load();
        let mut reply = SettingsReply {
            version: table.version(),
            ..SettingsReply::default()
        };
        if request.since_version >= table.version() {
            return reply;
        }
        let first = recent.front().map_or(u64::MAX, |edit| edit.version);
        if first <= request.since_version + 1 {
            let newer = |edit: &&Edit| edit.version > request.since_version;
            reply.edits = recent.iter().filter(newer).cloned().collect();
        } else {
            reply.snapshot = Some(table.snapshot().clone());
        }
        reply
    }
}
