//! The endpoints that are listed, and those whose entry may only have lapsed in an outage.
//!
//! All that is kept here belongs to an incarnation: an endpoint that starts again, under another identifier or under
//! the same one with a later start, gets a key of its own, and nothing that is believed of its earlier life is taken
//! for its new one. What an older life says that comes late (from a slow store, a peer, a reading in an outage) changes
//! nothing. An entry that can't be understood names no endpoint; what it named before isn't used until it can be
//! understood again.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use mgs_fleet::view::EndpointKey;

use crate::source::EndpointFacts;
use crate::source::Incarnation;
use crate::source::RowFault;
use crate::source::Update;
use crate::view::Endpoint;
use crate::view::Fleet;

/// Identifiers whose newest start is remembered although they aren't listed any more; more are forgotten, so that a
/// writer of ever new identifiers can't fill a host's memory.
const REMEMBERED_MAX: usize = 10_000;

/// How long an endpoint that has gone is remembered, in milliseconds: a copy of the store may list it again that is some
/// seconds old, after an outage of any usual length.
const GONE_KEPT_MS: u64 = 120_000;

/// Time within which the entry of an endpoint that has gone lapses, in milliseconds. What an older copy of the store has listed for
/// longer lives.
pub const ENTRY_EXPIRY_MS: u64 = 6_000;

/// Where word of an endpoint comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// It was written just now.
    Change,
    /// It was written at any time before: it stands in a reading of all that there is, by the store or by a peer.
    Snapshot,
}

/// An endpoint and since when it isn't listed.
#[derive(Debug, Clone)]
struct Entry {
    key: EndpointKey,
    facts: EndpointFacts,
    missing_since_ms: Option<u64>,
    /// Whether its row can't be understood any more.
    is_unreadable: bool,
}

impl Entry {
    fn is_listed(&self) -> bool {
        self.missing_since_ms.is_none() && !self.is_unreadable
    }
}

/// The endpoints that are listed, and those whose entry may only have lapsed in an outage.
#[derive(Debug)]
pub struct Endpoints {
    entries: HashMap<String, Entry>,
    /// The latest start of each identifier that has ever told one, in Unix milliseconds.
    starts_ms: HashMap<String, u64>,
    /// Incarnations that have gone, and when, in milliseconds.
    gone_ms: HashMap<Incarnation, u64>,
    /// When the store last came back from an older copy, in milliseconds: what it lists may be older than what was heard.
    rolled_back_ms: Option<u64>,
    next_key: u32,
    expiry_grace_ms: u64,
    outage_ended_ms: Option<u64>,
    is_changed: bool,
}

impl Endpoints {
    /// None yet.
    pub fn new(expiry_grace_ms: u64) -> Self {
        Self {
            entries: HashMap::new(),
            starts_ms: HashMap::new(),
            gone_ms: HashMap::new(),
            rolled_back_ms: None,
            next_key: 0,
            expiry_grace_ms,
            outage_ended_ms: None,
            is_changed: false,
        }
    }

    /// The store can be read again, which it couldn't since `began_ms`. Each topic finds the end of one outage by
    /// itself, up to a retry later; the first counts, else an endpoint that has left is used for as much longer.
    pub fn note_outage_end(&mut self, began_ms: u64, now_ms: u64) {
        let began_before = |ended_ms: u64| began_ms < ended_ms;
        let is_known = self.is_in_grace(now_ms) && self.outage_ended_ms.is_some_and(began_before);
        if !is_known {
            self.outage_ended_ms = Some(now_ms);
        }
    }

    /// The store has come back from an older copy. What was written since is written again by those that live, as after
    /// an outage; what it lists may be older than what was heard, for as long as this process lives: it may do so
    /// again.
    pub fn note_rollback(&mut self, now_ms: u64) {
        self.rolled_back_ms = Some(now_ms);
        self.outage_ended_ms = Some(now_ms);
    }

    /// Whether an entry that isn't there may have lapsed in an outage.
    fn is_in_grace(&self, now_ms: u64) -> bool {
        let ended_ms = self.outage_ended_ms;
        ended_ms.is_some_and(|ended_ms| now_ms < ended_ms + self.expiry_grace_ms)
    }

    /// Takes word of an endpoint. What was heard of a leaving or an end goes before what is only listed, once the store has
    /// come back from an older copy: there the leaving may not have happened yet. Whoever lives writes again, and
    /// that counts; or its entry was written again already, and doesn't lapse.
    pub fn apply(
        &mut self,
        facts: EndpointFacts,
        is_service_known: bool,
        origin: Origin,
        now_ms: u64,
    ) -> Result<(), RowFault> {
        let rolled_back_ms = self.rolled_back_ms.filter(|_| origin == Origin::Snapshot);
        let Some(rolled_back_ms) = rolled_back_ms else {
            self.gone_ms.remove(&facts.incarnation);
            return self.upsert(facts, is_service_known);
        };
        let may_have_expired = now_ms < rolled_back_ms + ENTRY_EXPIRY_MS;
        if may_have_expired && self.gone_ms.contains_key(&facts.incarnation) {
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

    /// Remembers incarnations that have gone.
    fn remember_gone(&mut self, gone: HashSet<Incarnation>, now_ms: u64) {
        self.gone_ms
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < GONE_KEPT_MS);
        if self.gone_ms.len() < REMEMBERED_MAX {
            self.gone_ms
                .extend(gone.into_iter().map(|one| (one, now_ms)));
        }
    }

    /// An endpoint is listed. `is_service_known`: whether the configuration names its service; one whose service nobody
    /// names ends no other. Answers why the entry isn't taken, if it isn't.
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

    /// Why an entry tells nothing of the endpoint as it is now.
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
        let is_ended = is_service_known && self.entries.values().any(|entry| is_later(&entry));
        is_ended.then_some(RowFault::OlderStart)
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

    /// A later incarnation at the same address ends the earlier one.
    fn remove_superseded(&mut self, address: SocketAddr, later: &Incarnation) {
        let is_ended = |entry: &Entry| {
            let earlier = &entry.facts.incarnation;
            entry.facts.address == address && earlier.id != later.id && later.supersedes(earlier)
        };
        let before = self.entries.len();
        self.entries.retain(|id, entry| {
            let is_ended = is_ended(entry);
            if is_ended {
                log::info!(endpoint = id, by = later.id; "endpoint ended by another at its address");
            }
            !is_ended
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

    /// Adds an incarnation that isn't known, in place of an earlier one of the same identifier.
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
        };
        self.entries.insert(id, entry);
    }

    /// The row of an endpoint can't be understood: it isn't used until it can. The key is kept, since it may be the
    /// same life that is listed again.
    pub fn mark_unreadable(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            self.is_changed |= !entry.is_unreadable;
            entry.is_unreadable = true;
            entry.missing_since_ms = None;
        }
    }

    /// An endpoint isn't listed any more.
    pub fn mark_missing(&mut self, id: &str, now_ms: u64) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.missing_since_ms.is_none() {
            log::info!(endpoint = id; "endpoint not listed any more");
            entry.missing_since_ms = Some(now_ms);
        }
    }

    /// Identifiers that a reading of all lists.
    pub fn listed_ids(updates: &[Update]) -> HashSet<String> {
        let id = |update: &Update| match update {
            Update::Endpoint(facts) => Some(facts.incarnation.id.clone()),
            Update::Unreadable { key, .. } => Some(key.clone()),
            _ => None,
        };
        updates.iter().filter_map(id).collect()
    }

    /// All were read: those that aren't among them aren't listed any more.
    pub fn mark_missing_except(&mut self, listed: &HashSet<String>, now_ms: u64) {
        let missing = self.entries.keys().filter(|id| !listed.contains(*id));
        let missing: Vec<String> = missing.cloned().collect();
        for id in missing {
            self.mark_missing(&id, now_ms);
        }
    }

    /// These are listed and no others, by somebody who has read the store.
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

    /// Drops those that aren't listed, except shortly after an outage. One that was leaving is dropped at
    /// once: it was to go; so is one whose row couldn't be understood.
    pub fn drop_missing(&mut self, now_ms: u64) {
        let in_grace = self.is_in_grace(now_ms);
        let before = self.entries.len();
        let mut gone = HashSet::new();
        self.entries.retain(|id, entry| {
            let is_missing = entry.missing_since_ms.is_some();
            let may_have_expired = !entry.facts.is_leaving && !entry.is_unreadable;
            let is_kept = !is_missing || (in_grace && may_have_expired);
            if !is_kept {
                log::info!(endpoint = id; "endpoint dropped");
                gone.insert(entry.facts.incarnation.clone());
            }
            is_kept
        });
        self.is_changed |= self.entries.len() != before;
        self.remember_gone(gone, now_ms);
    }

    /// How long to wait for changes, at most `longest_ms`: what has lapsed is to be dropped in time.
    pub fn bounded_wait_ms(&self, longest_ms: u64, now_ms: u64) -> u64 {
        let has_missing = self.entries.values().any(|e| e.missing_since_ms.is_some());
        let Some(ended_ms) = self.outage_ended_ms.filter(|_| has_missing) else {
            return longest_ms;
        };
        let due_ms = (ended_ms + self.expiry_grace_ms).saturating_sub(now_ms);
        longest_ms.min(due_ms.max(50))
    }

    /// Whether something changed since this was last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Names what is listed, alike at all gateways that have read the same.
    pub fn content_hash(&self) -> u64 {
        let listed = self.entries.values().filter(|entry| entry.is_listed());
        // One that is leaving differs from itself before.
        let hash = |entry: &Entry| {
            let hash = entry.facts.incarnation.hash_64();
            match entry.facts.is_leaving {
                true => !hash,
                false => hash,
            }
        };
        // A sum, since the order isn't the same everywhere.
        listed.map(hash).fold(1, u64::wrapping_add)
    }

    /// All that may be used, those whose entry may have lapsed included.
    pub fn fleet(&self) -> Fleet {
        let endpoint = |entry: &Entry| Endpoint {
            key: entry.key,
            facts: entry.facts.clone(),
        };
        let used = self.entries.values().filter(|entry| !entry.is_unreadable);
        let mut endpoints: Vec<Endpoint> = used.map(endpoint).collect();
        // The same order at each gateway: those that lie together stand together, and of engines that are as good the
        // first are taken.
        endpoints.sort_by_cached_key(|endpoint| {
            let facts = &endpoint.facts;
            (facts.zone.clone(), facts.incarnation.hash_64())
        });
        Fleet::of(endpoints)
    }
}
