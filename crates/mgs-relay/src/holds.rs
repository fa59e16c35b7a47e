//! Works that are held, as the store keeps them: between the thread that follows the store and the one that serves.
//!
//! Gateways tell each other what they hold, but all of them may lose power at once. What is held is therefore a row of the
//! store too, in the table that each gateway follows anyway: a table of its own would be one more call that waits at each.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::table::SharedRecord;
use tokio::sync::Notify;

/// What the store says of a work.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// It is held.
    Held(SharedRecord),
    /// It was held, and somebody has let it go.
    LetGo(Fingerprint),
}

/// What is to be written of a work.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// That it is held.
    Hold(SharedRecord),
    /// That it isn't any more.
    LetGo,
}

/// What has yet to be taken by either side.
#[derive(Debug, Default)]
pub struct Holds {
    news: Mutex<Vec<News>>,
    said: Notify,
    writes: Mutex<BTreeMap<Fingerprint, Write>>,
    wanted: Notify,
    is_rewrite_wanted: Notify,
}

impl Holds {
    /// The store says something.
    pub fn say(&self, news: Vec<News>) {
        if news.is_empty() {
            return;
        }
        let mut all = self.news.lock().unwrap_or_else(PoisonError::into_inner);
        all.extend(news);
        drop(all);
        self.said.notify_one();
    }

    /// Waits for what the store says.
    pub async fn heard(&self) -> Vec<News> {
        self.said.notified().await;
        let mut news = self.news.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *news)
    }

    /// Something is to be written; it replaces what was to be written of the same work.
    pub fn write(&self, work: Fingerprint, write: Write) {
        let mut writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        writes.insert(work, write);
        drop(writes);
        self.wanted.notify_one();
    }

    /// Something couldn't be written; it still is to be, unless something else is by now.
    pub fn write_if_none(&self, work: Fingerprint, write: Write) {
        let mut writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        writes.entry(work).or_insert(write);
        drop(writes);
        self.wanted.notify_one();
    }

    /// Waits for something to write.
    pub async fn to_write(&self) -> BTreeMap<Fingerprint, Write> {
        self.wanted.notified().await;
        let mut writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *writes)
    }

    /// The store may have lost what was written: whoever serves is to write it again.
    pub fn want_rewrite(&self) {
        self.is_rewrite_wanted.notify_one();
    }

    /// Waits until what is held is to be written again.
    pub async fn rewrite_wanted(&self) {
        self.is_rewrite_wanted.notified().await;
    }
}
