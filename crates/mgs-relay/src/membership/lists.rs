//! The list as gateways hand it to each other and compare it, and as of when it holds.

use std::collections::HashSet;

use super::entry::Entry;
use super::Endpoints;
use super::Origin;
use crate::endpoint_list::EndpointList;
use crate::source::EndpointRow;
use crate::source::Revision;

impl Endpoints {
    /// Records that the list holds as of a revision, which this gateway read itself.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = Some(revision);
        self.is_from_peer = false;
    }

    /// Whether the list holds as of a later revision than this one.
    pub fn is_newer_than(&self, revision: Revision) -> bool {
        self.revision.is_some_and(|own| own > revision)
    }

    /// Whether the list is a peer's, or nothing is known yet.
    pub fn is_provisional(&self) -> bool {
        self.is_from_peer || self.revision.is_none()
    }

    /// Hash of the listed rows, equal at all gateways that have read the same rows, whatever they
    /// conclude from them; not 0 for an empty list, since 0 stands for a list that was never read.
    pub fn content_hash(&self) -> u64 {
        let listed = self.entries.values().filter(|entry| entry.is_listed());
        // An endpoint that is shutting down hashes differently from before.
        let hash = |entry: &Entry| {
            let hash = entry.incarnation().hash_64();
            match entry.row.facts.is_leaving {
                true => !hash,
                false => hash,
            }
        };
        // A sum doesn't depend on the order, which differs between gateways.
        listed.map(hash).fold(1, u64::wrapping_add)
    }

    /// The list for peers.
    pub fn list(&self) -> EndpointList {
        let replaced = self.replaced();
        let is_used = |entry: &&Entry| {
            let is_replaced = replaced.contains(entry.incarnation().id.as_str());
            let may_be_named = self.services.is_none() || self.is_named(entry);
            !is_replaced && may_be_named
        };
        let valid = self.entries.values().filter(|entry| entry.is_valid());
        let (used, unused): (Vec<&Entry>, Vec<&Entry>) = valid.partition(is_used);
        let (listed, expiring): (Vec<&Entry>, Vec<&Entry>) =
            used.into_iter().partition(|entry| entry.is_listed());
        let unused = unused.into_iter().filter(|entry| entry.is_listed());
        let is_ready_again = |entry: &&Entry| entry.was_leaving && !entry.row.facts.is_leaving;
        let ready_again = self.entries.values().filter(is_ready_again);
        EndpointList {
            revision: self.revision,
            listed: rows_by_write(listed),
            expiring: rows_by_write(expiring),
            unused: rows_by_write(unused.collect()),
            ready_again: ready_again.map(|e| e.incarnation().id.clone()).collect(),
            lacks_rows: self.lacks_rows || self.has_outdated_rows(),
            expiring_until_ms: self.outage_ended_ms.unwrap_or(0) + self.expiry_grace_ms,
        }
    }

    /// Whether rows are listed that peers aren't told, since their endpoints had gone before the store
    /// was restored from an older copy. Some may be alive.
    fn has_outdated_rows(&self) -> bool {
        let mut listed = self.entries.values().filter(|entry| entry.is_listed());
        listed.any(|entry| entry.is_outdated)
    }

    /// Takes the list of a peer if it is newer than the own one; returns whether it was taken. A
    /// list without a revision is taken if `is_reported_newer`, or if nothing else is known.
    pub fn take_list(&mut self, list: EndpointList, is_reported_newer: bool, now_ms: u64) -> bool {
        let is_newer = match (list.revision, self.revision) {
            (Some(theirs), Some(own)) => theirs > own,
            (Some(_), None) => true,
            // An empty one is that of a peer which has read nothing yet.
            (None, own) => !list.listed.is_empty() && (own.is_none() || is_reported_newer),
        };
        if !is_newer {
            return false;
        }
        let is_restored =
            |theirs: Revision| self.revision.is_some_and(|r| r.is_outdated_by(theirs));
        if list.revision.is_some_and(is_restored) {
            self.note_rollback(now_ms);
        }
        if !list.expiring.is_empty() {
            let ended_ms = list.expiring_until_ms.saturating_sub(self.expiry_grace_ms);
            self.outage_ended_ms = self.outage_ended_ms.max(Some(ended_ms));
        }
        let expiring = list.expiring.iter();
        let expiring: Vec<String> = expiring.map(|r| r.facts.incarnation.id.clone()).collect();
        let mut all = list.listed;
        all.extend(list.unused);
        all.extend(list.expiring);
        let ready_again = all
            .iter()
            .filter(|row| list.ready_again.contains(&row.facts.incarnation.id));
        let ready_again: Vec<EndpointRow> = ready_again.cloned().collect();
        self.replace_all(all, now_ms);
        for mut row in ready_again {
            row.facts.is_leaving = false;
            self.apply_of_peer(row, now_ms);
        }
        self.lacks_rows = list.lacks_rows;
        self.needs_full_read = list.lacks_rows;
        for id in expiring {
            self.mark_missing(&id, now_ms);
        }
        self.drop_missing(now_ms);
        // Without one, the own revision stays: what is read next is applied to what was read last.
        self.revision = list.revision.or(self.revision);
        self.is_from_peer = true;
        true
    }

    /// Replaces the list by one that was read from the store.
    pub fn replace_all(&mut self, listed: Vec<EndpointRow>, now_ms: u64) {
        let ids = listed.iter().map(|row| row.facts.incarnation.id.clone());
        let ids: HashSet<String> = ids.collect();
        for row in listed {
            self.apply_of_peer(row, now_ms);
        }
        self.mark_missing_except(&ids, now_ms);
        self.drop_missing(now_ms);
    }

    fn apply_of_peer(&mut self, row: EndpointRow, now_ms: u64) {
        let id = row.facts.incarnation.id.clone();
        if let Err(fault) = self.apply(row, Origin::Snapshot, now_ms) {
            log::info!(endpoint = id, fault = fault.name(); "a peer's entry isn't taken");
        }
    }
}

/// Rows as peers get them, in the order in which they were written, in which peers of earlier
/// releases apply them.
fn rows_by_write(entries: Vec<&Entry>) -> Vec<EndpointRow> {
    let mut rows: Vec<EndpointRow> = entries.into_iter().map(Entry::row_in_force).collect();
    rows.sort_by_key(|row| row.written);
    rows
}
