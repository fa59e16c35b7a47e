//! The endpoints that the store lists, and those whose entry may merely have expired during an
//! outage of the store.
//!
//! Rows are kept as they were last read. Which endpoints are used follows from them, from the
//! services that the configuration names, and from what is remembered of shutdowns and starts; it
//! is derived anew whenever one of these changes. A conclusion (an endpoint is replaced by another
//! at its address, or its service isn't named) therefore never outlives what it was drawn from: the
//! store reports a row only when it changes, so a row that was deleted on account of a conclusion
//! would be missing for good.
//!
//! Everything recorded here belongs to an incarnation. An endpoint that starts again, under another
//! identifier or under the same one with a later start, gets a new key, so no knowledge about the
//! earlier incarnation is applied to the new one. Late reports about an earlier incarnation (from a
//! slow store, a peer or a read during an outage) change nothing. An entry that can't be parsed
//! names no endpoint; the endpoint that it named before isn't used until the entry can be parsed
//! again.

mod conclusions;
mod entry;
mod lists;

use std::collections::HashMap;
use std::collections::HashSet;

use mgs_fleet::view::EndpointKey;

use self::entry::Entry;
use self::entry::Identity;
use crate::source::EndpointRow;
use crate::source::Incarnation;
use crate::source::Revision;
use crate::source::RowFault;
use crate::source::Update;

/// Maximum number of identifiers and of removed incarnations that are remembered although they
/// aren't listed any more, so that a writer of ever new identifiers can't fill a host's memory.
const REMEMBERED_MAX: usize = 10_000;

/// Maximum number of rows that are kept. Beyond it rows of services that the configuration doesn't
/// name are dropped, those written last first, and read again once it names other services.
pub const ROWS_MAX: usize = 10_000;

/// How long a removed incarnation is remembered, in milliseconds: a copy of the store that is some
/// seconds old, restored after an outage of any usual length, may list it again.
const REMOVED_KEPT_MS: u64 = 120_000;

/// Time within which the entry of an endpoint that has ended expires, in milliseconds. An endpoint
/// that a restored copy of the store lists for longer is alive.
pub const ENTRY_EXPIRY_MS: u64 = 6_000;

/// How an entry was learnt, and so how old it may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A change: the entry was written just now.
    Change,
    /// Part of a full read of the store, or of a peer's list: the entry may have been written at
    /// any time before.
    Snapshot,
}

/// The rows of endpoints as they were last read, and what is remembered besides.
#[derive(Debug)]
pub struct Endpoints {
    /// Rows by key.
    entries: HashMap<String, Entry>,
    /// Services that the configuration in force names; `None` while no configuration is known.
    services: Option<HashSet<String>>,
    /// Latest start of each identifier that has ever reported one, in Unix milliseconds. Rows of
    /// services that aren't named say nothing about an endpoint.
    starts_ms: HashMap<String, u64>,
    /// Time of removal of each remembered incarnation, in milliseconds.
    removed_ms: HashMap<Incarnation, u64>,
    /// When the store was last restored from an older copy, in milliseconds. What it lists since
    /// then may be older than what was learnt before.
    rolled_back_ms: Option<u64>,
    next_key: u32,
    /// Revision of the store as of which the list holds, if it is known.
    revision: Option<Revision>,
    /// Whether the list was taken from a peer since the last own read of the store.
    is_from_peer: bool,
    /// Whether the named services have changed since the last call of
    /// [`Self::take_services_changed`].
    are_services_changed: bool,
    /// Whether the store lists rows that aren't kept: beyond the bound, or left out of a peer's list.
    lacks_rows: bool,
    /// Whether the store must be read in full, since rows that aren't kept may be needed.
    needs_full_read: bool,
    /// When the store must be read in full, since it was restored from an older copy, in
    /// milliseconds. By then, the entries of the copy have expired unless their endpoints are alive.
    full_read_due_ms: Option<u64>,
    expiry_grace_ms: u64,
    outage_ended_ms: Option<u64>,
    /// Identifiers of the endpoints that were replaced when rows were last settled.
    last_replaced: HashSet<String>,
    /// Whether no row has changed since the last call of [`Self::settle`].
    is_settled: bool,
    is_changed: bool,
}

impl Endpoints {
    /// Creates an empty table. Entries that expired during an outage are kept for `expiry_grace_ms`
    /// after its end.
    pub fn new(expiry_grace_ms: u64) -> Self {
        Self {
            entries: HashMap::new(),
            services: None,
            starts_ms: HashMap::new(),
            removed_ms: HashMap::new(),
            rolled_back_ms: None,
            next_key: 0,
            revision: None,
            is_from_peer: false,
            are_services_changed: false,
            lacks_rows: false,
            needs_full_read: false,
            full_read_due_ms: None,
            expiry_grace_ms,
            outage_ended_ms: None,
            last_replaced: HashSet::new(),
            is_settled: true,
            is_changed: false,
        }
    }

    /// Records that the store can be read again, after an outage that began at `began_ms`. Each
    /// topic notices the end of the same outage by itself, up to one retry interval later. Only the
    /// first notice counts; otherwise an endpoint that has left would be used for that much longer.
    pub fn note_outage_end(&mut self, began_ms: u64, now_ms: u64) {
        let began_before = |ended_ms: u64| began_ms < ended_ms;
        let is_known = self.is_in_grace(now_ms) && self.outage_ended_ms.is_some_and(began_before);
        if !is_known {
            self.outage_ended_ms = Some(now_ms);
        }
    }

    /// Records that the store was restored from an older copy. As after an outage, live endpoints
    /// write again what the copy lacks. From now until the process ends, what a full read lists may
    /// be older than what was learnt before, since the store may be restored again.
    pub fn note_rollback(&mut self, now_ms: u64) {
        self.rolled_back_ms = Some(now_ms);
        self.full_read_due_ms = Some(now_ms + ENTRY_EXPIRY_MS);
        self.outage_ended_ms = Some(now_ms);
    }

    /// Whether a missing entry may have expired during an outage.
    fn is_in_grace(&self, now_ms: u64) -> bool {
        let ended_ms = self.outage_ended_ms;
        ended_ms.is_some_and(|ended_ms| now_ms < ended_ms + self.expiry_grace_ms)
    }

    /// Applies a row, or returns why what it says doesn't count. Once the store was restored from an
    /// older copy, a shutdown or removal that was seen before takes precedence over a row of a
    /// snapshot, which may predate it. A live endpoint writes its row again, which counts as a
    /// change; or it had already done so, and then its row doesn't expire. A shutdown also takes
    /// precedence over a change, which may be a status report that the store performs late, until
    /// the row has stood for [`ENTRY_EXPIRY_MS`].
    pub fn apply(&mut self, row: EndpointRow, origin: Origin, now_ms: u64) -> Result<(), RowFault> {
        self.check_start(&row.facts.incarnation)?;
        if self.has_service(&row.facts.service) {
            self.remember_start(&row.facts.incarnation);
        }
        let rolled_back_ms = self.rolled_back_ms.filter(|_| origin == Origin::Snapshot);
        let may_still_expire = rolled_back_ms.is_some_and(|at_ms| now_ms < at_ms + ENTRY_EXPIRY_MS);
        let incarnation = row.facts.incarnation.clone();
        let is_outdated = may_still_expire && self.removed_ms.contains_key(&incarnation);
        if rolled_back_ms.is_none() {
            self.removed_ms.remove(&incarnation);
        }
        let was_leaving = !row.facts.is_leaving && self.is_leaving(&incarnation);
        let is_late = was_leaving && rolled_back_ms.is_none();
        self.update_or_insert(row);
        let late_ms = is_late.then_some(now_ms);
        self.weigh(&incarnation.id, was_leaving, is_outdated, late_ms);
        match is_outdated {
            true => Err(RowFault::Gone),
            false => Ok(()),
        }
    }

    /// Whether this incarnation is known and was seen to shut down.
    fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        let known = self.entries.get(&incarnation.id);
        known.is_some_and(|entry| entry.incarnation() == incarnation && entry.is_leaving())
    }

    /// Records what outweighs the row just read under a key: a shutdown that was seen, or a removal
    /// that was seen before the store was restored from an older copy. `late_ms` is the time of the
    /// read if the row says again that its endpoint is ready, and isn't from such a copy.
    fn weigh(&mut self, id: &str, was_leaving: bool, is_outdated: bool, late_ms: Option<u64>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.ready_since_ms = late_ms.and(entry.ready_since_ms).or(late_ms);
        if (entry.was_leaving, entry.is_outdated) != (was_leaving, is_outdated) {
            entry.was_leaving = was_leaving;
            entry.is_outdated = is_outdated;
            self.is_changed = true;
            self.is_settled = false;
        }
    }

    /// Takes endpoints for ready again whose rows have said so for so long that they would have been
    /// written again, or have expired, if the endpoints were shutting down.
    fn believe_ready(&mut self, now_ms: u64) {
        let has_stood = |since_ms: u64| now_ms >= since_ms + ENTRY_EXPIRY_MS;
        for entry in self.entries.values_mut().filter(|entry| entry.is_listed()) {
            if entry.ready_since_ms.is_some_and(has_stood) {
                log::info!(endpoint = entry.row.facts.incarnation.id; "endpoint ready again");
                entry.ready_since_ms = None;
                entry.was_leaving = false;
                self.is_changed = true;
            }
        }
    }

    /// Returns why a row says nothing about the current incarnation under its key, if it doesn't.
    fn check_start(&mut self, own: &Incarnation) -> Result<(), RowFault> {
        let Some(newest_ms) = self.starts_ms.get(&own.id) else {
            return Ok(());
        };
        match own.born_ms {
            None => {
                self.mark_unreadable(&own.id);
                Err(RowFault::NoStart)
            }
            Some(born_ms) if born_ms < *newest_ms => Err(RowFault::OlderStart),
            Some(_) => Ok(()),
        }
    }

    /// Remembers removed incarnations.
    fn remember_removed(&mut self, removed: HashSet<Incarnation>, now_ms: u64) {
        self.removed_ms
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < REMOVED_KEPT_MS);
        if self.removed_ms.len() < REMEMBERED_MAX {
            self.removed_ms
                .extend(removed.into_iter().map(|incarnation| (incarnation, now_ms)));
        }
    }

    fn remember_start(&mut self, incarnation: &Incarnation) {
        let Some(born_ms) = incarnation.born_ms else {
            return;
        };
        let start_ms = self.starts_ms.entry(incarnation.id.clone());
        let start_ms = start_ms.or_insert(born_ms);
        *start_ms = born_ms.max(*start_ms);
        if self.starts_ms.len() > REMEMBERED_MAX {
            let entries = &self.entries;
            self.starts_ms.retain(|id, _| entries.contains_key(id));
        }
    }

    /// Keeps a row as it was read.
    fn update_or_insert(&mut self, row: EndpointRow) {
        let id = row.facts.incarnation.id.clone();
        let known = self.entries.get_mut(&id);
        let is_known = known.filter(|entry| *entry.incarnation() == row.facts.incarnation);
        match is_known {
            Some(entry) => {
                let is_same = entry.row.facts == row.facts && entry.is_listed();
                if !is_same {
                    log::info!(
                        endpoint = id, leaving = row.facts.is_leaving;
                        "endpoint changed"
                    );
                }
                entry.missing_since_ms = None;
                entry.is_unreadable = false;
                self.is_changed |= !is_same;
                self.is_settled &= is_same && entry.row == row;
                entry.row = row;
            }
            None => self.insert(row),
        }
    }

    /// Adds an incarnation, in place of another one of the same identifier.
    fn insert(&mut self, row: EndpointRow) {
        let facts = &row.facts;
        let id = facts.incarnation.id.clone();
        let before = self.entries.remove(&id);
        log::info!(
            endpoint = id, service = facts.service, address:% = facts.address,
            born_ms = facts.incarnation.born_ms.unwrap_or(0), restarted = before.is_some(),
            leaving = facts.is_leaving;
            "endpoint listed"
        );
        let (identity, set_aside) = self.identify(&row, before);
        let mut entry = Entry::new(row, identity);
        entry.set_aside = set_aside;
        self.entries.insert(id, entry);
        self.is_changed = true;
        self.is_settled = false;
    }

    /// The identity of the incarnation that a row names, and the one that its key keeps besides. A
    /// row of an unnamed service doesn't end the endpoint under its key, which may be listed again.
    fn identify(
        &mut self,
        row: &EndpointRow,
        before: Option<Entry>,
    ) -> (Identity, Option<(Incarnation, Identity)>) {
        let is_named = self.has_service(&row.facts.service);
        let was_named = before.as_ref().is_some_and(|entry| self.is_named(entry));
        let kept = before.and_then(|entry| match was_named {
            true => Some((entry.row.facts.incarnation, entry.identity)),
            false => entry.set_aside,
        });
        match kept {
            Some((incarnation, identity)) if incarnation == row.facts.incarnation => {
                (identity, None)
            }
            kept => {
                let key = EndpointKey(self.next_key);
                self.next_key += 1;
                (Identity::new(key), kept.filter(|_| !is_named))
            }
        }
    }

    /// Records that an endpoint's entry says it is cold until this time, in milliseconds. The hash
    /// that gateways compare doesn't depend on it, since each reads the entry at another time.
    pub fn extend_cold(&mut self, id: &str, until_ms: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            let cold = &mut entry.identity.cold;
            self.is_changed |= until_ms > cold.entry_until_ms;
            cold.entry_until_ms = cold.entry_until_ms.max(until_ms);
        }
    }

    /// Records when the incarnations that are new since the last call were first listed, in
    /// milliseconds; `None` if they may have been listed at any time before.
    pub fn date_new(&mut self, listed_ms: Option<u64>) {
        for entry in self.entries.values_mut() {
            if std::mem::take(&mut entry.identity.is_new) {
                entry.identity.cold.listed_ms = listed_ms;
            }
        }
    }

    /// Records that the row of an endpoint can't be parsed: it isn't used until it can. Its key is
    /// kept, since the same incarnation may be listed again.
    pub fn mark_unreadable(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            self.is_changed |= !entry.is_unreadable;
            self.is_settled = false;
            entry.is_unreadable = true;
            entry.missing_since_ms = None;
        }
    }

    /// Records that an endpoint isn't listed any more.
    pub fn mark_missing(&mut self, id: &str, now_ms: u64) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.missing_since_ms.is_none() {
            log::info!(endpoint = id; "endpoint not listed any more");
            entry.missing_since_ms = Some(now_ms);
            self.is_settled = false;
        }
    }

    /// The identifiers that a full read lists.
    pub fn listed_ids(updates: &[Update]) -> HashSet<String> {
        let id = |update: &Update| match update {
            Update::Endpoint(row) => Some(row.facts.incarnation.id.clone()),
            Update::Unreadable { key, .. } => Some(key.clone()),
            _ => None,
        };
        updates.iter().filter_map(id).collect()
    }

    /// Records, after a full read, that all endpoints except the `listed` ones aren't listed any
    /// more.
    pub fn mark_missing_except(&mut self, listed: &HashSet<String>, now_ms: u64) {
        let missing = self.entries.keys().filter(|id| !listed.contains(*id));
        let missing: Vec<String> = missing.cloned().collect();
        for id in missing {
            self.mark_missing(&id, now_ms);
        }
    }

    /// Records that all rows that the store lists are about to be applied.
    pub fn begin_full_read(&mut self, now_ms: u64) {
        self.lacks_rows = false;
        self.needs_full_read = false;
        self.full_read_due_ms = self.full_read_due_ms.filter(|due_ms| *due_ms > now_ms);
    }

    /// Whether the store must be read in full: rows that were dropped may be needed, or those of an
    /// older copy have had time to expire.
    pub fn needs_full_read(&self, now_ms: u64) -> bool {
        let is_due = self.full_read_due_ms.is_some_and(|due_ms| due_ms <= now_ms);
        self.needs_full_read || is_due
    }

    /// Removes endpoints that aren't listed, except shortly after an outage. Those that were
    /// shutting down, and those whose row couldn't be parsed, are removed without that grace.
    pub fn drop_missing(&mut self, now_ms: u64) {
        self.believe_ready(now_ms);
        let in_grace = self.is_in_grace(now_ms);
        let before = self.entries.len();
        let mut removed = HashSet::new();
        self.entries.retain(|id, entry| {
            let is_missing = entry.missing_since_ms.is_some();
            let may_have_expired = !entry.is_leaving() && entry.is_valid();
            let is_kept = !is_missing || (in_grace && may_have_expired);
            if !is_kept {
                log::info!(endpoint = id; "endpoint dropped");
                removed.insert(entry.incarnation().clone());
            }
            is_kept
        });
        let is_any_removed = self.entries.len() != before;
        self.is_changed |= is_any_removed;
        self.is_settled &= !is_any_removed;
        self.remember_removed(removed, now_ms);
        self.settle();
    }

    /// The time to wait for changes, at most `longest_ms`: entries that expired in an outage must
    /// be removed in time, and a full read that is due must be made.
    pub fn bounded_wait_ms(&self, longest_ms: u64, now_ms: u64) -> u64 {
        let has_missing = self.entries.values().any(|e| e.missing_since_ms.is_some());
        let ended_ms = self.outage_ended_ms.filter(|_| has_missing);
        let grace_ends_ms = ended_ms.map(|ended_ms| ended_ms + self.expiry_grace_ms);
        let due_ms = grace_ends_ms.into_iter().chain(self.full_read_due_ms).min();
        let wait_ms = due_ms.map(|due_ms| due_ms.saturating_sub(now_ms).max(50));
        wait_ms.map_or(longest_ms, |wait_ms| longest_ms.min(wait_ms))
    }

    /// Returns whether something changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
