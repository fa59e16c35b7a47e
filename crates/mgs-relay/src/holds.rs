//! Exchanges held requests between the thread that follows the store and the one that serves
//! requests.
//!
//! Gateways tell each other which requests are held, but all of them may lose power at
//! once, so held requests are rows of the store too. They are kept in the table that each gateway
//! follows anyway, since a table of their own would cost each gateway one more waiting call.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::shared::SharedRecord;
use tokio::sync::Notify;

/// A change of a held request in the store.
#[derive(Debug, Clone, PartialEq)]
pub enum HoldUpdate {
    /// The request is held.
    Held(SharedRecord),
    /// The request was held and has been released.
    Released(Fingerprint),
}

/// A write to the store about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum HoldWrite {
    /// Write that the request is held.
    Hold(SharedRecord),
    /// Write that the request is no longer held.
    Release,
}

/// Updates and writes that the other thread has yet to take.
#[derive(Debug, Default)]
pub struct Holds {
    updates: Mutex<Vec<HoldUpdate>>,
    updates_changed: Notify,
    writes: Mutex<BTreeMap<Fingerprint, HoldWrite>>,
    writes_changed: Notify,
    rewrite_requested: Notify,
}

impl Holds {
    /// Hands over updates read from the store.
    pub fn publish(&self, updates: Vec<HoldUpdate>) {
        if updates.is_empty() {
            return;
        }
        let mut all = self.updates.lock().unwrap_or_else(PoisonError::into_inner);
        all.extend(updates);
        drop(all);
        self.updates_changed.notify_one();
    }

    /// Waits for updates from the store and takes them.
    pub async fn next_updates(&self) -> Vec<HoldUpdate> {
        self.updates_changed.notified().await;
        let mut updates = self.updates.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *updates)
    }

    /// Requests a write; it replaces a pending one for the same request.
    pub fn write(&self, fingerprint: Fingerprint, write: HoldWrite) {
        let mut writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        writes.insert(fingerprint, write);
        drop(writes);
        self.writes_changed.notify_one();
    }

    /// Requests a failed write again, unless another one for the same request is pending.
    pub fn requeue_write(&self, fingerprint: Fingerprint, write: HoldWrite) {
        let mut writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        writes.entry(fingerprint).or_insert(write);
        drop(writes);
        self.writes_changed.notify_one();
    }

    /// Waits for pending writes and takes them.
    pub async fn next_writes(&self) -> BTreeMap<Fingerprint, HoldWrite> {
        self.writes_changed.notified().await;
        let mut writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *writes)
    }

    /// Requests that all held requests are written again, since the store may have lost them.
    pub fn want_rewrite(&self) {
        self.rewrite_requested.notify_one();
    }

    /// Waits until held requests are to be written again.
    pub async fn rewrite_wanted(&self) {
        self.rewrite_requested.notified().await;
    }
}
