//! Rows of the store that name nothing to use, as other writers may leave them: each is told once, and again when what
//! is wrong with it changes.

use std::collections::HashMap;

use mgs_observe::metrics::Counters;

use crate::source::Revision;
use crate::source::RowFault;
use crate::source::Topic;

/// Rows that are remembered as told; beyond that all may be told again, so that a writer of ever new keys can't fill
/// a host's memory.
const LOGGED_MAX: usize = 10_000;

/// Most of a key that is told, in characters.
const KEY_CHARS_MAX: usize = 200;

/// One row.
#[derive(Debug)]
pub(crate) struct BadRow<'a> {
    pub(crate) key: &'a str,
    pub(crate) fault: RowFault,
    pub(crate) detail: &'a str,
    pub(crate) revision: Revision,
}

impl<'a> BadRow<'a> {
    /// One that can be read, and that isn't taken for what it says beside others.
    pub(crate) fn without_detail(key: &'a str, fault: RowFault) -> Self {
        Self {
            key,
            fault,
            detail: "",
            revision: Revision::default(),
        }
    }
}

/// The rows of one topic that have been told.
#[derive(Debug)]
pub(crate) struct BadRows {
    logged: HashMap<String, RowFault>,
    counters: Counters,
}

impl BadRows {
    pub(crate) fn new(counters: Counters) -> Self {
        Self {
            logged: HashMap::new(),
            counters,
        }
    }

    /// A row names nothing to use.
    pub(crate) fn report(&mut self, topic: Topic, row: &BadRow<'_>) {
        if self.logged.len() >= LOGGED_MAX {
            self.logged.clear();
        }
        let before = self.logged.insert(row.key.to_string(), row.fault);
        if before == Some(row.fault) {
            return;
        }
        self.counters.inc(row.fault.name());
        let key: String = row.key.chars().take(KEY_CHARS_MAX).collect();
        log::warn!(
            topic = topic.name(),
            key = key,
            fault = row.fault.name(),
            why:% = row.fault,
            detail = row.detail,
            revision = row.revision.number,
            era = row.revision.era;
            "a row of the store names nothing to use"
        );
    }

    /// A row can be used, or is gone.
    pub(crate) fn clear(&mut self, topic: Topic, key: &str) {
        if self.logged.remove(key).is_some() {
            log::info!(topic = topic.name(), key = key; "a row of the store is right again or gone");
        }
    }

    /// All rows can be used.
    pub(crate) fn clear_all(&mut self, topic: Topic) {
        let logged = std::mem::take(&mut self.logged);
        for key in logged.keys() {
            log::info!(topic = topic.name(), key = key; "a row of the store is right again or gone");
        }
    }
}
