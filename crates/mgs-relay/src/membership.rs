//! The endpoints that the store lists, and those whose entry may merely have expired during an
//! outage of the store.
//!
//! Everything recorded here belongs to an incarnation. An endpoint that starts again, under another
//! identifier or under the same one with a later start, gets a new key, so no knowledge about the
//! earlier incarnation is applied to the new one. Late reports about an earlier incarnation (from a
//! slow store, a peer or a read during an outage) change nothing. An entry that can't be parsed
//! names no endpoint; the endpoint that it named before isn't used until the entry can be parsed
//! again.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use mgs_fleet::view::EndpointKey;

use crate::endpoint_list::EndpointList;
use crate::source::EndpointFacts;
use crate::source::Incarnation;
use crate::source::Revision;
use crate::source::RowFault;
use crate::source::Update;
use crate::view::Endpoint;
use crate::view::Fleet;
use crate::warm_up::ColdSigns;

/// Maximum number of identifiers and of removed incarnations that are remembered although they
/// aren't listed any more, so that a writer of ever new identifiers can't fill a host's memory.
const REMEMBERED_MAX: usize = 10_000;

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

/// A known endpoint.
#[derive(Debug, Clone)]
struct Entry {
    key: EndpointKey,
    facts: EndpointFacts,
    missing_since_ms: Option<u64>,
    /// Whether its row can't be parsed any more.
    is_unreadable: bool,
    cold: ColdSigns,
    /// Whether it was inserted since the last call of [`Endpoints::date_new`].
    is_new: bool,
}

impl Entry {
    fn is_listed(&self) -> bool {
        self.missing_since_ms.is_none() && !self.is_unreadable
    }
}

/// The endpoints that are listed, and those whose entry may merely have expired during an outage.
#[derive(Debug)]
pub struct Endpoints {
    entries: HashMap<String, Entry>,
    /// Latest start of each identifier that has ever reported one, in Unix milliseconds.
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
    expiry_grace_ms: u64,
    outage_ended_ms: Option<u64>,
    is_changed: bool,
}

impl Endpoints {
    /// Creates an empty table. Entries that expired during an outage are kept for `expiry_grace_ms`
    /// after its end.
    pub fn new(expiry_grace_ms: u64) -> Self {
        Self {
            entries: HashMap::new(),
            starts_ms: HashMap::new(),
            removed_ms: HashMap::new(),
            rolled_back_ms: None,
            next_key: 0,
            revision: None,
            is_from_peer: false,
            expiry_grace_ms,
            outage_ended_ms: None,
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
        self.outage_ended_ms = Some(now_ms);
    }

    /// Whether a missing entry may have expired during an outage.
    fn is_in_grace(&self, now_ms: u64) -> bool {
        let ended_ms = self.outage_ended_ms;
        ended_ms.is_some_and(|ended_ms| now_ms < ended_ms + self.expiry_grace_ms)
    }

    /// Applies an entry, or returns why it is rejected. Once the store was restored from an older
    /// copy, a shutdown or removal that was seen before takes precedence over an entry of a
    /// snapshot, which may predate it. A live endpoint writes its entry again, which counts as a
    /// change; or it had already done so, and then its entry doesn't expire.
    pub fn apply(
        &mut self,
        facts: EndpointFacts,
        is_service_known: bool,
        origin: Origin,
        now_ms: u64,
    ) -> Result<(), RowFault> {
        let rolled_back_ms = self.rolled_back_ms.filter(|_| origin == Origin::Snapshot);
        let Some(rolled_back_ms) = rolled_back_ms else {
            self.removed_ms.remove(&facts.incarnation);
            return self.upsert(facts, is_service_known);
        };
        let may_still_expire = now_ms < rolled_back_ms + ENTRY_EXPIRY_MS;
        if may_still_expire && self.removed_ms.contains_key(&facts.incarnation) {
            return Err(RowFault::Gone);
        }
        let known = self.entries.get(&facts.incarnation.id);
        let known = known.filter(|entry| entry.facts.incarnation == facts.incarnation);
        let has_left = known.is_some_and(|entry| entry.facts.is_leaving);
        let facts = EndpointFacts {
            is_leaving: facts.is_leaving || has_left,
            ..facts
        };
        self.upsert(facts, is_service_known)
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

    /// Adds or updates a listed endpoint, or returns why the entry is rejected. `is_service_known`
    /// says whether the configuration names its service; an endpoint of an unknown service replaces
    /// no other one at its address.
    pub fn upsert(&mut self, facts: EndpointFacts, is_service_known: bool) -> Result<(), RowFault> {
        let id = facts.incarnation.id.clone();
        match self.rejection_reason(&facts, is_service_known) {
            Some(RowFault::NoStart) => {
                self.mark_unreadable(&id);
                return Err(RowFault::NoStart);
            }
            Some(fault) => return Err(fault),
            None => {}
        }
        self.remember_start(&facts.incarnation);
        if is_service_known {
            self.remove_superseded(facts.address, &facts.incarnation);
        }
        self.update_or_insert(facts);
        match is_service_known {
            true => Ok(()),
            false => Err(RowFault::Service),
        }
    }

    /// Why an entry doesn't describe the current incarnation of its endpoint, if it doesn't.
    fn rejection_reason(&self, facts: &EndpointFacts, is_service_known: bool) -> Option<RowFault> {
        let own = &facts.incarnation;
        if let Some(newest_ms) = self.starts_ms.get(&own.id) {
            match own.born_ms {
                None => return Some(RowFault::NoStart),
                Some(born_ms) if born_ms < *newest_ms => return Some(RowFault::OlderStart),
                Some(_) => {}
            }
        }
        let is_later = |entry: &&Entry| {
            let other = &entry.facts.incarnation;
            let is_start_later = own.born_ms.is_some() && other.supersedes(own);
            entry.facts.address == facts.address && entry.is_listed() && is_start_later
        };
        let is_superseded = is_service_known && self.entries.values().any(|entry| is_later(&entry));
        is_superseded.then_some(RowFault::OlderStart)
    }

    fn remember_start(&mut self, incarnation: &Incarnation) {
        let Some(born_ms) = incarnation.born_ms else {
            return;
        };
        self.starts_ms.insert(incarnation.id.clone(), born_ms);
        if self.starts_ms.len() > REMEMBERED_MAX {
            let entries = &self.entries;
            self.starts_ms.retain(|id, _| entries.contains_key(id));
        }
    }

    /// Removes endpoints that a later incarnation at the same address replaces.
    fn remove_superseded(&mut self, address: SocketAddr, later: &Incarnation) {
        let is_superseded = |entry: &Entry| {
            let earlier = &entry.facts.incarnation;
            entry.facts.address == address && earlier.id != later.id && later.supersedes(earlier)
        };
        let before = self.entries.len();
        self.entries.retain(|id, entry| {
            let is_superseded = is_superseded(entry);
            if is_superseded {
                log::info!(endpoint = id, by = later.id; "endpoint ended by another at its address");
            }
            !is_superseded
        });
        self.is_changed |= self.entries.len() != before;
    }

    fn update_or_insert(&mut self, facts: EndpointFacts) {
        let known = self.entries.get_mut(&facts.incarnation.id);
        match known.filter(|entry| entry.facts.incarnation == facts.incarnation) {
            Some(entry) => {
                if entry.facts == facts && entry.is_listed() {
                    return;
                }
                log::info!(
                    endpoint = facts.incarnation.id, leaving = facts.is_leaving;
                    "endpoint changed"
                );
                entry.facts = facts;
                entry.missing_since_ms = None;
                entry.is_unreadable = false;
            }
            None => self.insert(facts),
        }
        self.is_changed = true;
    }

    /// Adds a new incarnation, in place of an earlier one of the same identifier.
    fn insert(&mut self, facts: EndpointFacts) {
        let is_restart = self.entries.contains_key(&facts.incarnation.id);
        log::info!(
            endpoint = facts.incarnation.id, service = facts.service, address:% = facts.address,
            born_ms = facts.incarnation.born_ms.unwrap_or(0), restarted = is_restart,
            leaving = facts.is_leaving;
            "endpoint listed"
        );
        let key = EndpointKey(self.next_key);
        self.next_key += 1;
        let id = facts.incarnation.id.clone();
        let entry = Entry {
            key,
            facts,
            missing_since_ms: None,
            is_unreadable: false,
            cold: ColdSigns::default(),
            is_new: true,
        };
        self.entries.insert(id, entry);
    }

    /// Records that an endpoint's entry says it is cold until this time, in milliseconds. The hash
    /// that gateways compare doesn't depend on it, since each reads the entry at another time.
    pub fn extend_cold(&mut self, id: &str, until_ms: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            self.is_changed |= until_ms > entry.cold.entry_until_ms;
            entry.cold.entry_until_ms = entry.cold.entry_until_ms.max(until_ms);
        }
    }

    /// Records when the incarnations that are new since the last call were first listed, in
    /// milliseconds; `None` if they may have been listed at any time before.
    pub fn date_new(&mut self, listed_ms: Option<u64>) {
        for entry in self.entries.values_mut() {
            if std::mem::take(&mut entry.is_new) {
                entry.cold.listed_ms = listed_ms;
            }
        }
    }

    /// Records that the row of an endpoint can't be parsed: it isn't used until it can. Its key is
    /// kept, since the same incarnation may be listed again.
    pub fn mark_unreadable(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            self.is_changed |= !entry.is_unreadable;
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
        }
    }

    /// The identifiers that a full read lists.
    pub fn listed_ids(updates: &[Update]) -> HashSet<String> {
        let id = |update: &Update| match update {
            Update::Endpoint(facts) => Some(facts.incarnation.id.clone()),
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
        let expiring: Vec<String> = expiring.map(|f| f.incarnation.id.clone()).collect();
        let mut all = list.listed;
        all.extend(list.expiring);
        self.replace_all(all, now_ms);
        for id in expiring {
            self.mark_missing(&id, now_ms);
        }
        self.drop_missing(now_ms);
        // Without one, the own revision stays: what is read next is applied to what was read last.
        self.revision = list.revision.or(self.revision);
        self.is_from_peer = true;
        true
    }

    /// The list for peers.
    pub fn list(&self) -> EndpointList {
        let used = self.entries.values().filter(|entry| !entry.is_unreadable);
        let (listed, expiring): (Vec<&Entry>, Vec<&Entry>) =
            used.partition(|entry| entry.is_listed());
        let facts = |entries: Vec<&Entry>| entries.into_iter().map(|e| e.facts.clone()).collect();
        EndpointList {
            revision: self.revision,
            listed: facts(listed),
            expiring: facts(expiring),
            expiring_until_ms: self.outage_ended_ms.unwrap_or(0) + self.expiry_grace_ms,
        }
    }

    /// Replaces the list by one that was read from the store.
    pub fn replace_all(&mut self, listed: Vec<EndpointFacts>, now_ms: u64) {
        let updates: Vec<Update> = listed.into_iter().map(Update::Endpoint).collect();
        let listed = Self::listed_ids(&updates);
        for update in updates {
            if let Update::Endpoint(facts) = update {
                let id = facts.incarnation.id.clone();
                if let Err(fault) = self.apply(facts, true, Origin::Snapshot, now_ms) {
                    log::info!(endpoint = id, fault = fault.name(); "a peer's entry isn't taken");
                }
            }
        }
        self.mark_missing_except(&listed, now_ms);
        self.drop_missing(now_ms);
    }

    /// Removes endpoints that aren't listed, except shortly after an outage. Those that were
    /// shutting down, and those whose row couldn't be parsed, are removed without that grace.
    pub fn drop_missing(&mut self, now_ms: u64) {
        let in_grace = self.is_in_grace(now_ms);
        let before = self.entries.len();
        let mut removed = HashSet::new();
        self.entries.retain(|id, entry| {
            let is_missing = entry.missing_since_ms.is_some();
            let may_have_expired = !entry.facts.is_leaving && !entry.is_unreadable;
            let is_kept = !is_missing || (in_grace && may_have_expired);
            if !is_kept {
                log::info!(endpoint = id; "endpoint dropped");
                removed.insert(entry.facts.incarnation.clone());
            }
            is_kept
        });
        self.is_changed |= self.entries.len() != before;
        self.remember_removed(removed, now_ms);
    }

    /// The time to wait for changes, at most `longest_ms`: entries that expired in an outage must
    /// be removed in time.
    pub fn bounded_wait_ms(&self, longest_ms: u64, now_ms: u64) -> u64 {
        let has_missing = self.entries.values().any(|e| e.missing_since_ms.is_some());
        let Some(ended_ms) = self.outage_ended_ms.filter(|_| has_missing) else {
            return longest_ms;
        };
        let due_ms = (ended_ms + self.expiry_grace_ms).saturating_sub(now_ms);
        longest_ms.min(due_ms.max(50))
    }

    /// Returns whether something changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Hash of the listed endpoints, equal at all gateways that have read the same list; not 0 for
    /// an empty list, since 0 stands for a list that was never read.
    pub fn content_hash(&self) -> u64 {
        let listed = self.entries.values().filter(|entry| entry.is_listed());
        // An endpoint that is shutting down hashes differently from before.
        let hash = |entry: &Entry| {
            let hash = entry.facts.incarnation.hash_64();
            match entry.facts.is_leaving {
                true => !hash,
                false => hash,
            }
        };
        // A sum doesn't depend on the order, which differs between gateways.
        listed.map(hash).fold(1, u64::wrapping_add)
    }

    /// All usable endpoints, including those whose entry may have expired during an outage.
    pub fn fleet(&self) -> Fleet {
        let endpoint = |entry: &Entry| Endpoint {
            key: entry.key,
            facts: entry.facts.clone(),
            cold: entry.cold,
        };
        let used = self.entries.values().filter(|entry| !entry.is_unreadable);
        let mut endpoints: Vec<Endpoint> = used.map(endpoint).collect();
        // The same order at each gateway: endpoints of one zone are adjacent, and of equally good
        // engines the first is taken.
        endpoints.sort_by_cached_key(|endpoint| {
            let facts = &endpoint.facts;
            (facts.zone.clone(), facts.incarnation.hash_64())
        });
        Fleet::of(endpoints)
    }
}
