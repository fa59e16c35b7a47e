//! Applies the result of a read to what is known of a topic.

use std::net::SocketAddr;

use mgs_backpressure::warm_up::COLD_MAX_MS;
use mgs_quarantine::shared::SharedRecord;

use super::Follower;
use crate::bad_rows::BadRow;
use crate::holds::HoldUpdate;
use crate::membership::Endpoints;
use crate::membership::Origin;
use crate::source::Batch;
use crate::source::Revision;
use crate::source::RowFault;
use crate::source::Topic;
use crate::source::Update;
use crate::view::Configuration;

/// Maximum number of endpoints whose malformed cold times are remembered as logged; beyond it all of
/// them may be logged again.
const LOGGED_COLD_MAX: usize = 10_000;

impl Follower {
    /// Applies the result of a read, which holds as of `as_of_ms`.
    pub(super) fn apply(&mut self, batch: Batch, as_of_ms: u64) {
        for update in &batch.updates {
            self.track_bad_row(update);
        }
        let is_full_read = self.revision.is_none();
        let is_first_read = self.era.is_none();
        let has_more = batch.has_more;
        self.revision = Some(batch.revision);
        let has_rolled_back = self.update_era(batch.revision);
        match self.topic {
            Topic::Configuration => {
                // Before the configuration, without which no request is served.
                self.apply_zone_orders(&batch.updates, batch.revision, is_full_read, as_of_ms);
                self.apply_configuration(batch.updates, as_of_ms);
            }
            Topic::Endpoints if !is_full_read && self.is_outdated(batch.revision) => {
                log::info!(
                    revision = batch.revision.number;
                    "an answer of the store is older than a peer's list; all is read again"
                );
                self.revision = None;
            }
            Topic::Endpoints => {
                if has_rolled_back {
                    let now_ms = self.published.now_ms();
                    self.endpoints.borrow_mut().note_rollback(now_ms);
                }
                self.endpoints.borrow_mut().set_revision(batch.revision);
                let listed_ms = (!is_first_read).then(|| self.published.now_ms());
                self.apply_endpoints(batch.updates, is_full_read, as_of_ms, listed_ms);
            }
            Topic::Gateways if has_rolled_back => {
                self.extend_gateway_list(&batch.updates);
                self.apply_rolled_back_gateways(batch.updates);
                self.confirm_gateway_list(!self.needs_registration, has_more);
            }
            Topic::Gateways => {
                self.extend_gateway_list(&batch.updates);
                self.apply_gateways(batch.updates, is_full_read);
                let own = self.gateways.get(&self.options.name);
                let has_own_entry = own == Some(&self.options.peer_address);
                self.confirm_gateway_list(has_own_entry, has_more);
            }
        }
    }

    /// Whether a list that was read at a later revision is in force.
    fn is_outdated(&self, revision: Revision) -> bool {
        self.endpoints.borrow().is_newer_than(revision)
    }

    /// Records the era of a read; returns whether the store has been restored from an older copy
    /// since the last one.
    fn update_era(&mut self, revision: Revision) -> bool {
        let before = self.era.replace(revision.era);
        let Some(before) = before.filter(|before| *before < revision.era) else {
            return false;
        };
        self.rollbacks.inc(self.topic.name());
        log::warn!(
            topic = self.topic.name(), from = before, to = revision.era, revision = revision.number;
            "the store came back from an older copy; all was read again"
        );
        true
    }

    /// Applies the list of gateways of a restored older copy. Gateways that it lacks write their
    /// entries again, and so does this one; held requests are written again too.
    fn apply_rolled_back_gateways(&mut self, updates: Vec<Update>) {
        let is_own = |update: &Update| match update {
            Update::Gateway { name, address } => {
                *name == self.options.name && *address == self.options.peer_address
            }
            _ => false,
        };
        self.needs_registration = !updates.iter().any(is_own);
        self.apply_gateways(updates, false);
        self.published.holds().want_rewrite();
    }

    /// Logs rows that can't be parsed, and those that can be again.
    fn track_bad_row(&mut self, update: &Update) {
        match update {
            Update::Unreadable {
                key,
                fault,
                detail,
                revision,
            } => {
                let row = BadRow {
                    key,
                    fault: *fault,
                    detail,
                    revision: *revision,
                };
                match fault {
                    RowFault::Zone => self.zone_rows.report(self.topic, &row),
                    _ => self.bad_rows.report(self.topic, &row),
                }
            }
            Update::Gateway { name, .. } | Update::GatewayRemoved { name } => {
                self.bad_rows.clear(self.topic, name);
            }
            Update::Held(SharedRecord {
                fingerprint: key, ..
            })
            | Update::Released(key) => {
                self.bad_rows.clear(self.topic, &key.to_string());
            }
            Update::Configuration(_) => self.bad_rows.clear_all(self.topic),
            // Handled in `apply_endpoints`, which knows whether the entry is accepted.
            Update::Endpoint(_) | Update::EndpointRemoved { .. } | Update::EndpointCold { .. } => {}
            // Handled in `apply_zone_orders`, which knows the endpoints.
            Update::ZoneOrder(_) => {}
        }
    }

    fn apply_configuration(&mut self, updates: Vec<Update>, as_of_ms: u64) {
        for update in updates {
            let Update::Configuration(configuration) = update else {
                continue;
            };
            let version = configuration.version;
            let routes: usize = configuration.routes.values().map(Vec::len).sum();
            let before = self.published.configuration();
            let is_newer = self.published.put_configuration(*configuration);
            log::info!(version = version, routes = routes, in_force = is_newer; "configuration read");
            if is_newer {
                self.published
                    .apply_services(&mut self.endpoints.borrow_mut());
                self.log_engines(before.as_deref());
            }
        }
        self.published.configuration_freshness().confirm(as_of_ms);
    }

    /// Logs the performance models that operators declare for engines, where they differ from the
    /// previous configuration.
    fn log_engines(&self, before: Option<&Configuration>) {
        let Some(configuration) = self.published.configuration() else {
            return;
        };
        let declared = |of: &Configuration, service: &str| of.services.get(service)?.engine.clone();
        for service in configuration.services.keys() {
            let engine = declared(&configuration, service);
            let known = before.and_then(|before| declared(before, service));
            let Some(engine) = engine.filter(|engine| Some(engine) != known.as_ref()) else {
                continue;
            };
            log::info!(
                service = service,
                slots = engine.slots,
                memory_tokens = engine.memory_tokens,
                stride_steps = engine.stride_steps,
                step_ms = engine.step_ms,
                writer_step_ms = engine.writer_step_ms,
                context_step_ms_per_1k = engine.context_step_ms_per_1k,
                read_tokens_per_ms = engine.read_tokens_per_ms,
                chunk_tokens = engine.chunk_tokens,
                pair_ms_per_million = engine.pair_ms_per_million,
                usual_prompt_tokens = engine.usual_prompt_tokens,
                usual_answer_tokens = engine.usual_answer_tokens;
                "engines declared"
            );
        }
    }

    /// `listed_ms` is the time at which new endpoints were first listed, if it is known.
    fn apply_endpoints(
        &mut self,
        updates: Vec<Update>,
        is_full_read: bool,
        as_of_ms: u64,
        listed_ms: Option<u64>,
    ) {
        let now_ms = self.published.now_ms();
        let endpoints = self.endpoints.clone();
        let mut endpoints = endpoints.borrow_mut();
        let origin = match is_full_read {
            true => Origin::Snapshot,
            false => Origin::Change,
        };
        let listed = is_full_read.then(|| Endpoints::listed_ids(&updates));
        let has_updates = !updates.is_empty() || is_full_read;
        let mut applied = Vec::new();
        if is_full_read {
            endpoints.begin_full_read(now_ms);
        }
        for update in updates {
            match update {
                Update::Endpoint(row) => {
                    let id = row.facts.incarnation.id.clone();
                    match endpoints.apply(row, origin, now_ms) {
                        Ok(()) => applied.push(id),
                        Err(fault) => self
                            .bad_rows
                            .report(self.topic, &BadRow::without_detail(&id, fault)),
                    }
                }
                Update::EndpointCold {
                    id,
                    remaining_ms: Ok(remaining_ms),
                } => {
                    self.logged_cold.remove(&id);
                    let remaining_ms = remaining_ms.min(COLD_MAX_MS as u64);
                    if remaining_ms > 0 {
                        endpoints.extend_cold(&id, now_ms + remaining_ms);
                    }
                }
                Update::EndpointCold {
                    id,
                    remaining_ms: Err(value),
                } => self.log_malformed_cold(id, value),
                Update::EndpointRemoved { id } => {
                    self.logged_cold.remove(&id);
                    self.bad_rows.clear(self.topic, &id);
                    endpoints.mark_missing(&id, now_ms);
                }
                Update::Unreadable { key, .. } => endpoints.mark_unreadable(&key),
                _ => {}
            }
        }
        endpoints.date_new(listed_ms);
        if let Some(listed) = listed {
            endpoints.mark_missing_except(&listed, now_ms);
        }
        endpoints.drop_missing(now_ms);
        let judged = match endpoints.take_services_changed() {
            true => endpoints.listed_keys(),
            false => applied,
        };
        self.report_unused(&judged, &endpoints);
        let is_changed = endpoints.take_changed() || is_full_read;
        if has_updates || is_changed {
            self.published.put_endpoints(&endpoints, is_changed);
        }
        self.published.endpoint_freshness().confirm(as_of_ms);
    }

    /// Logs which of these rows aren't used although they can be parsed, and which are right again.
    fn report_unused(&mut self, ids: &[String], endpoints: &Endpoints) {
        if ids.is_empty() {
            return;
        }
        let faults = endpoints.faults();
        for id in ids {
            match faults.get(id.as_str()) {
                None => self.bad_rows.clear(self.topic, id),
                Some(fault) => {
                    let row = BadRow::without_detail(id, *fault);
                    self.bad_rows.report(self.topic, &row);
                }
            }
        }
    }

    /// Logs a malformed time for which an endpoint is cold, unless it was logged before. The rest of
    /// the entry is used.
    fn log_malformed_cold(&mut self, id: String, value: String) {
        if self.logged_cold.len() >= LOGGED_COLD_MAX {
            self.logged_cold.clear();
        }
        if self.logged_cold.get(&id) != Some(&value) {
            log::warn!(
                endpoint = id, value = value;
                "the time for which an endpoint is cold can't be read; its entry is used without it"
            );
            self.logged_cold.insert(id, value);
        }
    }

    /// Adds the gateways that a read lists to those that were ever listed. One whose row can't be
    /// parsed may still send.
    fn extend_gateway_list(&mut self, updates: &[Update]) {
        for update in updates {
            if let Update::Gateway { name, .. } | Update::Unreadable { key: name, .. } = update {
                self.gateway_list.add(name);
            }
        }
    }

    /// Records that a read, which was applied, covers the list of gateways. A read without all
    /// changes confirms nothing.
    fn confirm_gateway_list(&mut self, has_own_entry: bool, has_more: bool) {
        if has_more {
            return;
        }
        let now_ms = self.published.boot_ms();
        self.gateway_list
            .confirm(self.call_boot_ms, now_ms, has_own_entry);
        self.published.put_gateway_list(self.gateway_list.clone());
        // Without a limit, peers find this gateway by its messages.
        self.needs_registration |= !has_own_entry && self.published.has_warm_up_limits();
    }

    fn apply_gateways(&mut self, updates: Vec<Update>, is_full_read: bool) {
        if is_full_read {
            self.gateways.clear();
        }
        let mut hold_updates = Vec::new();
        for update in updates {
            match update {
                Update::Held(record) => hold_updates.push(HoldUpdate::Held(record)),
                Update::Released(fingerprint) => {
                    hold_updates.push(HoldUpdate::Released(fingerprint))
                }
                Update::Gateway { name, address } => {
                    self.gateways.insert(name, address);
                }
                Update::GatewayRemoved { name } | Update::Unreadable { key: name, .. } => {
                    self.gateways.remove(&name);
                }
                _ => {}
            }
        }
        self.published.holds().publish(hold_updates);
        let own = self.options.peer_address;
        let mut peers: Vec<SocketAddr> = self.gateways.values().copied().collect();
        peers.extend(&self.options.seed_peers);
        peers.retain(|address| *address != own);
        peers.sort();
        peers.dedup();
        log::info!(peers = peers.len(); "gateways read");
        self.published.put_listed_gateways(peers.len() + 1);
        self.published.put_peers(peers);
    }
}
