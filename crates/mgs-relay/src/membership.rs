//! The endpoints that are listed, and those whose entry may only have lapsed in an outage.

use std::collections::HashMap;

use mgs_fleet::view::EndpointKey;
use xxhash_rust::xxh3::xxh3_64;

use crate::source::EndpointFacts;
use crate::source::Update;
use crate::view::Endpoint;
use crate::view::Fleet;

/// An endpoint and since when it isn't listed.
#[derive(Debug, Clone)]
struct Entry {
    key: EndpointKey,
    facts: EndpointFacts,
    missing_since_ms: Option<u64>,
}

/// The endpoints that are listed, and those whose entry may only have lapsed in an outage.
#[derive(Debug)]
pub struct Endpoints {
    entries: HashMap<String, Entry>,
    next_key: u32,
    grace_ms: u64,
    outage_ended_ms: Option<u64>,
    is_changed: bool,
}

impl Endpoints {
    /// None yet.
    pub fn new(grace_ms: u64) -> Self {
        Self {
            entries: HashMap::new(),
            next_key: 0,
            grace_ms,
            outage_ended_ms: None,
            is_changed: false,
        }
    }

    /// The store can be read again.
    pub fn outage_ended(&mut self, now_ms: u64) {
        self.outage_ended_ms = Some(now_ms);
    }

    /// An endpoint is listed.
    pub fn see(&mut self, facts: EndpointFacts) {
        self.replace_at(&facts);
        if let Some(entry) = self.entries.get_mut(&facts.id) {
            let is_same = entry.facts == facts && entry.missing_since_ms.is_none();
            if is_same {
                return;
            }
            log::info!(endpoint = facts.id, leaving = facts.is_leaving; "endpoint changed");
            entry.facts = facts;
            entry.missing_since_ms = None;
        } else {
            log::info!(
                endpoint = facts.id, service = facts.service, address:% = facts.address,
                leaving = facts.is_leaving;
                "endpoint listed"
            );
            let key = EndpointKey(self.next_key);
            self.next_key += 1;
            let entry = Entry {
                key,
                facts: facts.clone(),
                missing_since_ms: None,
            };
            self.entries.insert(facts.id, entry);
        }
        self.is_changed = true;
    }

    /// A later incarnation at the same address ends the earlier one.
    fn replace_at(&mut self, facts: &EndpointFacts) {
        let is_earlier =
            |entry: &Entry| entry.facts.address == facts.address && entry.facts.id != facts.id;
        let before = self.entries.len();
        self.entries.retain(|_, entry| !is_earlier(entry));
        self.is_changed |= self.entries.len() != before;
    }

    /// An endpoint isn't listed any more.
    pub fn miss(&mut self, id: &str, now_ms: u64) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.missing_since_ms.is_none() {
            log::info!(endpoint = id; "endpoint not listed any more");
            entry.missing_since_ms = Some(now_ms);
        }
    }

    /// All were read: those that aren't among them aren't listed any more.
    pub fn miss_all(&mut self, updates: &[Update], now_ms: u64) {
        let is_listed = |id: &String| {
            updates
                .iter()
                .any(|update| matches!(update, Update::Endpoint(facts) if facts.id == *id))
        };
        let missing: Vec<String> = self
            .entries
            .keys()
            .filter(|id| !is_listed(id))
            .cloned()
            .collect();
        for id in missing {
            self.miss(&id, now_ms);
        }
    }

    /// These are listed and no others, by somebody who has read the store.
    pub fn replace_by(&mut self, listed: Vec<EndpointFacts>, now_ms: u64) {
        let updates: Vec<Update> = listed.into_iter().map(Update::Endpoint).collect();
        self.miss_all(&updates, now_ms);
        for update in updates {
            if let Update::Endpoint(facts) = update {
                self.see(facts);
            }
        }
        self.drop_missing(now_ms);
    }

    /// Drops those that aren't listed, except shortly after an outage. One that was leaving is dropped at
    /// once: it was to go.
    pub fn drop_missing(&mut self, now_ms: u64) {
        let grace_ms = self.grace_ms;
        let ended_ms = self.outage_ended_ms;
        let in_grace = ended_ms.is_some_and(|ended_ms| now_ms < ended_ms + grace_ms);
        let before = self.entries.len();
        self.entries.retain(|id, entry| {
            let is_missing = entry.missing_since_ms.is_some();
            let stays = !is_missing || (in_grace && !entry.facts.is_leaving);
            if !stays {
                log::info!(endpoint = id; "endpoint dropped");
            }
            stays
        });
        self.is_changed |= self.entries.len() != before;
    }

    /// How long to wait for changes, at most `longest_ms`: what has lapsed is to be dropped in time.
    pub fn wait_ms(&self, longest_ms: u64, now_ms: u64) -> u64 {
        let has_missing = self.entries.values().any(|e| e.missing_since_ms.is_some());
        let Some(ended_ms) = self.outage_ended_ms.filter(|_| has_missing) else {
            return longest_ms;
        };
        let due_ms = (ended_ms + self.grace_ms).saturating_sub(now_ms);
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
    pub fn content(&self) -> u64 {
        let listed = self
            .entries
            .values()
            .filter(|e| e.missing_since_ms.is_none());
        let hash = |entry: &Entry| {
            let leaving = if entry.facts.is_leaving { "-" } else { "+" };
            xxh3_64(format!("{leaving}{}", entry.facts.id).as_bytes())
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
        let mut endpoints: Vec<Endpoint> = self.entries.values().map(endpoint).collect();
        endpoints.sort_by_key(|endpoint| endpoint.key);
        Fleet::of(endpoints)
    }
}
