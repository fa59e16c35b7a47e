//! A gateway that follows the rows of a history.

use std::collections::BTreeSet;

use mgs_relay::membership::Endpoints;
use mgs_relay::membership::Origin;
use mgs_relay::source::EndpointFacts;
use mgs_relay::source::RowFault;
use mgs_relay::source::Update;

use super::id;
use super::service;
use super::update;
use super::Store;

const EXPIRY_GRACE_MS: u64 = 2_200;

/// A gateway, which follows the store as `mgs_relay::follow` does.
pub(crate) struct Gateway {
    pub(crate) endpoints: Endpoints,
    pub(crate) services: Option<BTreeSet<u8>>,
    /// Era and position of the log up to which it has read.
    pub(crate) cursor: Option<(u64, usize)>,
    last_era: Option<u64>,
    /// The endpoints as it last published them.
    pub(crate) published: Vec<EndpointFacts>,
    /// Whether it deletes the rows of endpoints that it doesn't use.
    forgets_unused: bool,
}

impl Gateway {
    pub(crate) fn new(forgets_unused: bool) -> Self {
        Self {
            endpoints: Endpoints::new(EXPIRY_GRACE_MS),
            published: Vec::new(),
            forgets_unused,
            services: None,
            cursor: None,
            last_era: None,
        }
    }

    pub(crate) fn apply_services(&mut self, services: Option<&BTreeSet<u8>>) {
        if let Some(services) = services {
            self.services = Some(services.clone());
            let names: Vec<String> = services.iter().copied().map(service).collect();
            self.endpoints
                .set_services(names.iter().map(String::as_str));
        }
        self.publish();
    }

    pub(crate) fn read_rows(&mut self, store: &Store, now_ms: u64) {
        if self.endpoints.needs_full_read(now_ms) {
            self.cursor = None;
        }
        let revision = store.revision(store.log.len());
        let cursor = self.cursor.filter(|(era, _)| *era == store.era);
        self.cursor = Some((store.era, store.log.len()));
        match cursor {
            Some(_) if self.endpoints.is_newer_than(revision) => self.cursor = None,
            Some((_, from)) => {
                self.endpoints.set_revision(revision);
                self.read_changes(store, from, now_ms);
            }
            None => {
                if self.last_era.is_some_and(|era| era < store.era) {
                    self.endpoints.note_rollback(now_ms);
                }
                self.endpoints.set_revision(revision);
                self.read_all(store, now_ms);
            }
        }
        self.last_era = Some(store.era);
        if self.forgets_unused {
            self.forget_unused(now_ms);
        }
        self.endpoints.drop_missing(now_ms);
        self.publish();
    }

    fn forget_unused(&mut self, now_ms: u64) {
        let faults = self.endpoints.faults().into_iter();
        let replaced = faults.filter(|(_, fault)| *fault == RowFault::OlderStart);
        let replaced: Vec<String> = replaced.map(|(id, _)| id.to_string()).collect();
        for id in replaced {
            self.endpoints.mark_missing(&id, now_ms);
        }
    }

    fn read_changes(&mut self, store: &Store, from: usize, now_ms: u64) {
        for (position, (key, content)) in store.log.iter().enumerate().skip(from) {
            match content {
                Some(content) => {
                    let update = update(*key, *content, store.revision(position));
                    self.apply(update, Origin::Change, now_ms);
                }
                None => self.endpoints.mark_missing(&id(*key), now_ms),
            }
        }
    }

    fn read_all(&mut self, store: &Store, now_ms: u64) {
        let rows = store.rows().into_iter();
        let updates = rows.map(|(at, key, content)| update(key, content, store.revision(at)));
        let updates: Vec<Update> = updates.collect();
        self.endpoints.begin_full_read(now_ms);
        for update in updates.clone() {
            self.apply(update, Origin::Snapshot, now_ms);
        }
        let listed = Endpoints::listed_ids(&updates);
        self.endpoints.mark_missing_except(&listed, now_ms);
    }

    /// Applies an update; whether it counts shows in which endpoints are used.
    fn apply(&mut self, update: Update, origin: Origin, now_ms: u64) {
        match update {
            Update::Endpoint(row) => {
                let _ = self.endpoints.apply(row, origin, now_ms);
            }
            Update::Unreadable { key, .. } => self.endpoints.mark_unreadable(&key),
            _ => {}
        }
    }

    pub(crate) fn publish(&mut self) {
        if !self.endpoints.take_changed() {
            return;
        }
        let fleet = self.endpoints.fleet();
        let used = fleet.by_key.values().map(|e| e.facts.clone());
        self.published = used.collect();
        self.published
            .sort_by_key(|facts| facts.incarnation.id.clone());
    }
}
