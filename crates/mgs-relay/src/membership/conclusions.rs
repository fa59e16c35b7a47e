//! What follows from the rows, the configuration in force and what is remembered: which endpoints
//! are used, and why the others aren't.

use std::borrow::Cow;
use std::collections::HashMap;
use std::collections::HashSet;

use super::entry::Entry;
use super::Endpoints;
use super::ROWS_MAX;
use crate::replacement::replaced;
use crate::source::Incarnation;
use crate::source::Revision;
use crate::source::RowFault;
use crate::view::Endpoint;
use crate::view::Fleet;

impl Endpoints {
    /// Sets the services that the configuration in force names. Only endpoints of these can replace
    /// others at their address.
    pub fn set_services<'a>(&mut self, services: impl IntoIterator<Item = &'a str>) {
        let services: HashSet<String> = services.into_iter().map(str::to_string).collect();
        if self.services.as_ref() == Some(&services) {
            return;
        }
        self.services = Some(services);
        self.are_services_changed = true;
        self.is_changed |= !self.entries.is_empty();
        self.is_settled = false;
        self.needs_full_read |= self.lacks_rows;
        let named: Vec<Incarnation> = self
            .entries
            .values()
            .filter(|entry| entry.is_listed() && self.is_named(entry))
            .map(|entry| entry.incarnation().clone())
            .collect();
        named.iter().for_each(|own| self.remember_start(own));
        self.settle();
    }

    /// Whether the configuration in force names a service.
    pub(super) fn has_service(&self, service: &str) -> bool {
        let services = self.services.as_ref();
        services.is_some_and(|services| services.contains(service))
    }

    pub(super) fn is_named(&self, entry: &Entry) -> bool {
        self.has_service(&entry.row.facts.service)
    }

    /// Whether the named services have changed since the last call, and with them the rows that can't
    /// be used.
    pub fn take_services_changed(&mut self) -> bool {
        std::mem::take(&mut self.are_services_changed)
    }

    /// Identifiers of the endpoints that another one at their address has replaced.
    pub(super) fn replaced(&self) -> Cow<'_, HashSet<String>> {
        match self.is_settled {
            true => Cow::Borrowed(&self.last_replaced),
            false => Cow::Owned(self.find_replaced()),
        }
    }

    fn find_replaced(&self) -> HashSet<String> {
        let valid = self.entries.values().filter(|entry| entry.is_valid());
        let claims = valid.map(|entry| entry.claim(self.is_named(entry)));
        let replaced = replaced(claims.collect()).into_iter();
        replaced.map(str::to_string).collect()
    }

    /// Takes notice of which endpoints have been replaced, or aren't any longer, if rows have changed
    /// since the last call.
    pub(super) fn settle(&mut self) {
        if std::mem::replace(&mut self.is_settled, true) {
            return;
        }
        self.drop_excess_rows();
        let replaced = self.find_replaced();
        for id in replaced.difference(&self.last_replaced) {
            log::info!(endpoint = id; "endpoint replaced by another at its address");
        }
        for id in self.last_replaced.difference(&replaced) {
            log::info!(endpoint = id; "endpoint not replaced any more, or not listed");
        }
        self.is_changed |= replaced != self.last_replaced;
        self.last_replaced = replaced;
    }

    /// Why what the store lists under a key isn't used, although it can be parsed.
    pub fn faults(&self) -> HashMap<&str, RowFault> {
        let replaced = self.replaced();
        let fault = |entry: &Entry| match () {
            () if entry.is_outdated => Some(RowFault::Gone),
            () if self.services.is_some() && !self.is_named(entry) => Some(RowFault::Service),
            () if replaced.contains(entry.incarnation().id.as_str()) => {
                entry.incarnation().born_ms.map(|_| RowFault::OlderStart)
            }
            () => None,
        };
        let listed = self.entries.iter().filter(|(_, entry)| entry.is_listed());
        listed
            .filter_map(|(id, entry)| Some((id.as_str(), fault(entry)?)))
            .collect()
    }

    /// Keys of the listed rows that can be parsed.
    pub fn listed_keys(&self) -> Vec<String> {
        let listed = self.entries.iter().filter(|(_, entry)| entry.is_listed());
        listed.map(|(id, _)| id.clone()).collect()
    }

    /// Drops rows of unnamed services while there are more rows than are kept.
    fn drop_excess_rows(&mut self) {
        let excess = self.entries.len().saturating_sub(ROWS_MAX);
        if excess == 0 || self.services.is_none() {
            return;
        }
        let unnamed = self.entries.iter().filter(|(_, e)| !self.is_named(e));
        let mut unnamed: Vec<(Revision, String)> = unnamed
            .map(|(id, entry)| (entry.row.written, id.clone()))
            .collect();
        unnamed.sort_unstable();
        let first_dropped = unnamed.len().saturating_sub(excess);
        for (_, id) in unnamed.drain(first_dropped..) {
            self.entries.remove(&id);
            self.lacks_rows = true;
        }
    }

    /// All usable endpoints, including those whose entry may have expired during an outage.
    pub fn fleet(&self) -> Fleet {
        let replaced = self.replaced();
        let is_used = |entry: &&Entry| {
            entry.is_valid() && !replaced.contains(entry.incarnation().id.as_str())
        };
        let endpoint = |entry: &Entry| Endpoint {
            key: entry.identity.key,
            facts: entry.facts(),
            cold: entry.identity.cold,
        };
        let used = self.entries.values().filter(is_used);
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
