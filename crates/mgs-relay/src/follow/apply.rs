//! What a reading of the store changes in what is known of a topic.

use std::net::SocketAddr;
use std::sync::Arc;

use mgs_quarantine::table::SharedRecord;

use super::Follower;
use crate::bad_rows::BadRow;
use crate::holds::News;
use crate::membership::Endpoints;
use crate::membership::Origin;
use crate::membership::LAPSE_MS;
use crate::source::Batch;
use crate::source::Revision;
use crate::source::Topic;
use crate::source::Update;
use crate::view::Configuration;

impl Follower {
    /// Takes a reading that was begun at `start_ms`.
    pub(super) fn apply(&mut self, batch: Batch, start_ms: u64) {
        for update in &batch.updates {
            self.note_row(update);
        }
        let is_whole = self.revision.is_none();
        self.revision = Some(batch.revision);
        let has_rolled_back = self.note_era(batch.revision);
        match self.topic {
            Topic::Configuration => self.apply_configuration(batch.updates, start_ms),
            Topic::Endpoints => {
                if has_rolled_back {
                    let now_ms = self.published.now_ms();
                    self.endpoints.borrow_mut().rolled_back(now_ms);
                    self.read_all_at_ms = Some(now_ms + LAPSE_MS);
                }
                self.apply_endpoints(batch.updates, is_whole, start_ms);
            }
            Topic::Gateways if has_rolled_back => self.recover_gateways(batch.updates),
            Topic::Gateways => self.apply_gateways(batch.updates, is_whole),
        }
    }

    /// Takes note of the era of a reading; answers whether the store has come back from an older copy since the last one.
    fn note_era(&mut self, revision: Revision) -> bool {
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

    /// Takes the list of gateways of an older copy: those that it lacks list themselves again, and so does this one.
    /// What is held is written again too.
    fn recover_gateways(&mut self, updates: Vec<Update>) {
        let is_own = |update: &Update| match update {
            Update::Gateway { name, address } => {
                *name == self.options.name && *address == self.options.peer_address
            }
            _ => false,
        };
        self.is_unlisted = !updates.iter().any(is_own);
        self.apply_gateways(updates, false);
        self.published.holds().want_rewrite();
    }

    /// Says what rows can't be understood, and which of them can again.
    fn note_row(&mut self, update: &Update) {
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
                self.rows.note(self.topic, &row);
            }
            Update::Gateway { name, .. } | Update::GatewayGone { name } => {
                self.rows.clear(self.topic, name);
            }
            Update::Held(SharedRecord {
                fingerprint: key, ..
            })
            | Update::LetGo(key) => {
                self.rows.clear(self.topic, &key.to_string());
            }
            Update::Configuration(_) => self.rows.clear_all(self.topic),
            // Whether an endpoint's entry is taken shows when it is.
            Update::Endpoint(_) | Update::EndpointGone { .. } => {}
        }
    }

    fn apply_configuration(&mut self, updates: Vec<Update>, start_ms: u64) {
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
                self.tell_engines(before.as_deref());
            }
        }
        self.published.configuration_belief().confirm(start_ms);
    }

    /// Tells what operators declare of engines, where that differs from what they declared before.
    fn tell_engines(&self, before: Option<&Configuration>) {
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

    fn apply_endpoints(&mut self, updates: Vec<Update>, is_whole: bool, start_ms: u64) {
        let now_ms = self.published.now_ms();
        let mut endpoints = self.endpoints.borrow_mut();
        let origin = match is_whole {
            true => Origin::Listed,
            false => Origin::Written,
        };
        let listed = is_whole.then(|| Endpoints::listed(&updates));
        let configuration = self.published.configuration();
        for update in updates {
            match update {
                Update::Endpoint(facts) => {
                    let id = facts.incarnation.id.clone();
                    // Without a configuration nobody knows which services there are.
                    let names = |c: &Arc<Configuration>| c.services.contains_key(&facts.service);
                    let is_named = configuration.as_ref().is_none_or(names);
                    match endpoints.hear(facts, is_named, origin, now_ms) {
                        Ok(()) => self.rows.clear(self.topic, &id),
                        Err(fault) => self.rows.note(self.topic, &BadRow::of(&id, fault)),
                    }
                }
                Update::EndpointGone { id } => {
                    self.rows.clear(self.topic, &id);
                    endpoints.miss(&id, now_ms);
                }
                Update::Unreadable { key, .. } => endpoints.hide(&key),
                _ => {}
            }
        }
        // After the others: what is missing now may still end an older life at its address.
        if let Some(listed) = listed {
            endpoints.miss_all(&listed, now_ms);
        }
        endpoints.drop_missing(now_ms);
        let belief = self.published.endpoint_belief();
        belief.put(endpoints.content());
        if endpoints.take_changed() || is_whole {
            self.published.put_fleet(endpoints.fleet());
        }
        belief.confirm(start_ms);
    }

    fn apply_gateways(&mut self, updates: Vec<Update>, is_whole: bool) {
        if is_whole {
            self.gateways.clear();
        }
        let mut news = Vec::new();
        for update in updates {
            match update {
                Update::Held(told) => news.push(News::Held(told)),
                Update::LetGo(work) => news.push(News::LetGo(work)),
                Update::Gateway { name, address } => {
                    self.gateways.insert(name, address);
                }
                Update::GatewayGone { name } | Update::Unreadable { key: name, .. } => {
                    self.gateways.remove(&name);
                }
                _ => {}
            }
        }
        self.published.holds().say(news);
        let own = self.options.peer_address;
        let mut peers: Vec<SocketAddr> = self.gateways.values().copied().collect();
        peers.extend(&self.options.first_peers);
        peers.retain(|address| *address != own);
        peers.sort();
        peers.dedup();
        log::info!(peers = peers.len(); "gateways read");
        self.published.put_listed_gateways(peers.len() + 1);
        self.published.put_peers(peers);
    }
}
