//! The engine's own lists against the ledger, and the engine's comings and goings.

use std::collections::BTreeSet;

use mgs_schema::key::RequestId;
use mgs_schema::wire::RefusalReason;

use crate::job::Job;
use crate::job::OrganisationKey;
use crate::job::Sender;
use crate::ledger::Ledger;
use crate::ledger::Live;
use crate::ledger::Resumed;
use crate::memory::Allocation;
use crate::memory::Holding;
use crate::memory::Owner;
use crate::queue::Waiting;
use crate::record::Fate;

/// Something that the engine lists.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Memory that it holds.
    pub tokens: u64,
    /// Whether it is a stream that has ended, whose answer the engine still keeps.
    pub finished: bool,
}

/// Name of a request's stream at the engine.
///
/// ```
/// use mgs_ledger::reconcile::stream_name;
/// use mgs_schema::key::RequestId;
///
/// let id = RequestId { origin: 1, serial: 2 };
/// assert!(stream_name(id, 3).ends_with("2-3"));
/// ```
pub fn stream_name(id: RequestId, attempt: u32) -> String {
    format!("{id}-{attempt}")
}

/// The request and attempt that a stream's name stands for.
pub fn parse_stream_name(name: &str) -> Option<(RequestId, u32)> {
    let (id, attempt) = name.split_once('-')?;
    Some((id.parse().ok()?, attempt.parse().ok()?))
}

impl Ledger {
    /// The endpoint answered. A new boot number says that it lost all it held.
    pub fn engine_up(&mut self, now_ms: u64, boot: u64, capacity_tokens: u64, streams_max: usize) {
        self.closed.down = false;
        if capacity_tokens > 0 {
            self.memory.set_capacity(capacity_tokens);
        }
        if streams_max > 0 {
            self.streams_max = streams_max;
        }
        if self.boot != 0 && self.boot != boot {
            self.forget_ownerless();
        }
        self.boot = boot;
        self.schedule(now_ms);
    }

    /// The endpoint doesn't answer: nothing new is taken, and what waits is refused.
    pub fn engine_down(&mut self, now_ms: u64) {
        self.closed.down = true;
        self.refuse_all_waiting(now_ms, RefusalReason::EndpointDown);
    }

    /// A restarted engine holds nothing of what nobody here waits for.
    fn forget_ownerless(&mut self) {
        let gone: Vec<Holding> = self
            .memory
            .iter()
            .filter(|(holding, _)| self.is_ownerless(holding))
            .map(|(holding, _)| holding.clone())
            .collect();
        for holding in gone {
            self.memory.free(&holding);
        }
    }

    fn is_ownerless(&self, holding: &Holding) -> bool {
        match holding {
            Holding::Stream { id, .. } => !self.live.contains_key(id),
            Holding::Foreign(_) | Holding::Kv(_) => true,
            Holding::Span(_) => false,
        }
    }

    /// Compares the engine's lists of streams and of KV with the ledger.
    pub fn reconcile(&mut self, now_ms: u64, streams: &[Listed], kv: &[Listed]) {
        for stream in streams {
            self.reconcile_stream(now_ms, stream);
        }
        for kv in kv {
            let holding = Holding::Kv(kv.name.clone());
            self.note_ownerless(now_ms, holding, kv.tokens, false);
        }
        let listed: BTreeSet<&str> = streams.iter().map(|s| s.name.as_str()).collect();
        let listed_kv: BTreeSet<&str> = kv.iter().map(|kv| kv.name.as_str()).collect();
        let gone: Vec<Holding> = self
            .memory
            .iter()
            .filter(|(holding, held)| match holding {
                Holding::Foreign(name) => !listed.contains(name.as_str()),
                // What is wanted may be on its way to the engine.
                Holding::Kv(name) => {
                    let is_wanted = held.owner != Owner::Nobody && held.freeing_ms.is_none();
                    !is_wanted && !listed_kv.contains(name.as_str())
                }
                _ => false,
            })
            .map(|(holding, _)| holding.clone())
            .collect();
        for holding in gone {
            self.memory.free(&holding);
        }
        self.drive_freeing(now_ms);
        self.schedule(now_ms);
    }

    fn reconcile_stream(&mut self, now_ms: u64, stream: &Listed) {
        let mut over = false;
        if let Some((id, attempt)) = parse_stream_name(&stream.name) {
            if self.memory.get(&Holding::Stream { id, attempt }).is_some() {
                return;
            }
            over = self.records.fate(id).is_some() || self.live.contains_key(&id);
        }
        if over && stream.finished {
            return;
        }
        let holding = Holding::Foreign(stream.name.clone());
        self.note_ownerless(now_ms, holding, stream.tokens, over);
    }

    /// Takes up what nobody here owns, for a while or, if its request is over, to free it.
    pub(crate) fn note_ownerless(
        &mut self,
        now_ms: u64,
        holding: Holding,
        tokens: u64,
        over: bool,
    ) {
        if self.memory.get(&holding).is_none() {
            let wait_ms = if over { 0 } else { self.options.adopt_ms };
            let allocation = Allocation {
                tokens,
                expires_ms: now_ms + wait_ms,
                owner: Owner::Nobody,
                freeing_ms: None,
            };
            self.memory.hold(holding.clone(), allocation);
        }
        if over {
            self.free_soon(now_ms, &holding);
        }
    }

    /// The stream of an earlier incarnation that belongs to a request.
    pub(crate) fn foreign_stream(&self, id: RequestId) -> Option<String> {
        let prefix = format!("{id}-");
        self.memory.iter().find_map(|(holding, _)| match holding {
            Holding::Foreign(name) if name.starts_with(&prefix) => Some(name.clone()),
            _ => None,
        })
    }

    /// Makes a stream of an earlier incarnation a request of this one.
    pub(crate) fn adopt(
        &mut self,
        now_ms: u64,
        id: RequestId,
        sender: &Sender,
        budget_ms: u64,
    ) -> Resumed {
        let Some(stream) = self.foreign_stream(id) else {
            return Resumed::Unknown;
        };
        let Some((_, attempt)) = parse_stream_name(&stream) else {
            return Resumed::Unknown;
        };
        let holding = Holding::Foreign(stream.clone());
        match self.memory.get(&holding) {
            Some(held) if held.freeing_ms.is_none() => {}
            _ => return Resumed::Dropped,
        }
        let Some(mut allocation) = self.memory.free(&holding) else {
            return Resumed::Unknown;
        };
        let budget_ms = if budget_ms == 0 {
            self.options.record_keep_ms
        } else {
            budget_ms
        };
        let job = Job {
            id,
            attempt,
            sender: *sender,
            sidecar_incarnation: self.incarnation,
            organisation: OrganisationKey(0),
            weight: 1,
            priority: 0,
            prompt_tokens: allocation.tokens,
            cached_tokens: allocation.tokens,
            max_tokens: 0,
            budget_ms,
            orphan_ms: 0,
            idempotent: false,
            span: 0,
            unloading: false,
        };
        let waiting = Waiting::new(now_ms, job);
        allocation.expires_ms = waiting.deadline_ms;
        allocation.owner = Owner::Request(id);
        self.memory
            .hold(Holding::Stream { id, attempt }, allocation);
        let live = Live {
            waiting,
            running: true,
            started_ms: now_ms,
            first_token_ms: Some(now_ms),
            told: false,
        };
        self.live.insert(id, live);
        Resumed::Adopt { stream, attempt }
    }

    /// Whether a request is over here, as far as is known.
    pub fn fate(&self, id: RequestId) -> Option<Fate> {
        self.records.fate(id)
    }
}
