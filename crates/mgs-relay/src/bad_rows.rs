//! Logs rows of the store that can't be used, as other writers may leave them: each row once, and
//! again when its fault changes.

use std::collections::HashMap;

use mgs_observe::metrics::Counters;

use crate::source::Revision;
use crate::source::RowFault;
use crate::source::Topic;

/// Maximum number of rows remembered as logged. Beyond it all of them may be logged again, so that
/// a writer of ever new keys can't fill a host's memory.
const LOGGED_MAX: usize = 10_000;

/// Maximum length of a key in the log, in characters.
const KEY_CHARS_MAX: usize = 200;

/// A row that can't be used.
#[derive(Debug)]
pub(crate) struct BadRow<'a> {
    pub(crate) key: &'a str,
    pub(crate) fault: RowFault,
    pub(crate) detail: &'a str,
    pub(crate) revision: Revision,
}

impl<'a> BadRow<'a> {
    /// A row that can be parsed but is rejected for its content, with no further detail.
    pub(crate) fn without_detail(key: &'a str, fault: RowFault) -> Self {
        Self {
            key,
            fault,
            detail: "",
            revision: Revision::default(),
        }
    }
}

/// The rows of one topic that were logged and aren't usable yet.
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

    /// Logs and counts a row that can't be used, unless it was logged for the same fault before.
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

    /// Records that a row can be used again, or was removed.
    pub(crate) fn clear(&mut self, topic: Topic, key: &str) {
        if self.logged.remove(key).is_some() {
            log::info!(topic = topic.name(), key = key; "a row of the store is right again or gone");
        }
    }

    /// Records that all rows can be used again.
    pub(crate) fn clear_all(&mut self, topic: Topic) {
        let logged = std::mem::take(&mut self.logged);
        for key in logged.keys() {
            log::info!(topic = topic.name(), key = key; "a row of the store is right again or gone");
        }
    }
}
