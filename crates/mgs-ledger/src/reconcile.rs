//! Comparison of the engine's lists of streams and KV with the ledger, and handling of engine
//! restarts and outages.

use std::collections::BTreeSet;

use mgs_schema::key::RequestId;
use mgs_schema::wire::RefusalReason;

use crate::job::Job;
use crate::job::OrganisationKey;
use crate::job::Sender;
use crate::ledger::InFlight;
use crate::ledger::Ledger;
use crate::ledger::ResumeResult;
use crate::memory::Allocation;
use crate::memory::AllocationKey;
use crate::memory::Owner;
use crate::queue::Waiting;
use crate::record::FinalState;

/// A stream or KV that the engine lists.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EngineEntry {
    /// Name at the engine.
    pub name: String,
    /// Memory that it holds, in tokens.
    pub tokens: u64,
    /// Whether it is a finished stream whose answer the engine still retains.
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

/// Parses the name of a stream into its request and attempt; `None` if the name has another form.
pub fn parse_stream_name(name: &str) -> Option<(RequestId, u32)> {
    let (id, attempt) = name.split_once('-')?;
    Some((id.parse().ok()?, attempt.parse().ok()?))
}

impl Ledger {
    /// Handles an answer of the endpoint. A new boot number means that the engine restarted and
    /// lost all its state. A capacity or stream limit of 0 is ignored.
    pub fn engine_up(&mut self, now_ms: u64, boot: u64, capacity_tokens: u64, streams_max: usize) {
        self.unavailable.down = false;
        if capacity_tokens > 0 {
            self.memory.set_capacity(capacity_tokens);
        }
        if streams_max > 0 {
            self.streams_max = streams_max;
        }
        if self.boot != 0 && self.boot != boot {
            self.remove_unowned();
        }
        self.boot = boot;
        self.schedule(now_ms);
    }

    /// Handles an endpoint that doesn't answer: new and waiting requests are refused.
    pub fn engine_down(&mut self, now_ms: u64) {
        self.unavailable.down = true;
        self.refuse_all_waiting(now_ms, RefusalReason::EndpointDown);
    }

    /// Removes the allocations lost in an engine restart that no in-flight request or reservation
    /// accounts for.
    fn remove_unowned(&mut self) {
        let released: Vec<AllocationKey> = self
            .memory
            .iter()
            .filter(|(key, _)| self.is_unowned(key))
            .map(|(key, _)| key.clone())
            .collect();
        for key in released {
            self.memory.free(&key);
        }
    }

    fn is_unowned(&self, key: &AllocationKey) -> bool {
        match key {
            AllocationKey::Stream { id, .. } => !self.in_flight.contains_key(id),
            AllocationKey::UnownedStream(_) | AllocationKey::Kv(_) => true,
            AllocationKey::Span(_) => false,
        }
    }

    /// Compares the engine's lists of streams and of KV with the ledger.
    pub fn reconcile(&mut self, now_ms: u64, streams: &[EngineEntry], kv: &[EngineEntry]) {
        for stream in streams {
            self.reconcile_stream(now_ms, stream);
        }
        for kv in kv {
            let key = AllocationKey::Kv(kv.name.clone());
            self.insert_unowned(now_ms, key, kv.tokens, false);
        }
        let listed_streams: BTreeSet<&str> = streams.iter().map(|s| s.name.as_str()).collect();
        let listed_kv: BTreeSet<&str> = kv.iter().map(|kv| kv.name.as_str()).collect();
        let released: Vec<AllocationKey> = self
            .memory
            .iter()
            .filter(|(key, allocation)| match key {
                AllocationKey::UnownedStream(name) => !listed_streams.contains(name.as_str()),
                // KV in use may not have reached the engine yet.
                AllocationKey::Kv(name) => {
                    let is_wanted =
                        allocation.owner != Owner::Nobody && allocation.next_free_ms.is_none();
                    !is_wanted && !listed_kv.contains(name.as_str())
                }
                _ => false,
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in released {
            self.memory.free(&key);
        }
        self.retry_frees(now_ms);
        self.schedule(now_ms);
    }

    fn reconcile_stream(&mut self, now_ms: u64, stream: &EngineEntry) {
        let mut request_ended = false;
        if let Some((id, attempt)) = parse_stream_name(&stream.name) {
            if self
                .memory
                .get(&AllocationKey::Stream { id, attempt })
                .is_some()
            {
                return;
            }
            request_ended =
                self.records.final_state(id).is_some() || self.in_flight.contains_key(&id);
        }
        if request_ended && stream.finished {
            return;
        }
        let key = AllocationKey::UnownedStream(stream.name.clone());
        self.insert_unowned(now_ms, key, stream.tokens, request_ended);
    }

    /// Adds an allocation without an owner. It is freed at once if its request has ended, and after
    /// [`Options::adopt_ms`](crate::ledger::Options::adopt_ms) otherwise.
    pub(crate) fn insert_unowned(
        &mut self,
        now_ms: u64,
        key: AllocationKey,
        tokens: u64,
        request_ended: bool,
    ) {
        if self.memory.get(&key).is_none() {
            let wait_ms = if request_ended {
                0
            } else {
                self.options.adopt_ms
            };
            let allocation = Allocation {
                tokens,
                expires_ms: now_ms + wait_ms,
                owner: Owner::Nobody,
                next_free_ms: None,
            };
            self.memory.insert(key.clone(), allocation);
        }
        if request_ended {
            self.schedule_free(now_ms, &key);
        }
    }

    /// Name of the unowned stream, started by an earlier incarnation, that belongs to a request.
    pub(crate) fn find_unowned_stream(&self, id: RequestId) -> Option<String> {
        let prefix = format!("{id}-");
        self.memory.iter().find_map(|(key, _)| match key {
            AllocationKey::UnownedStream(name) if name.starts_with(&prefix) => Some(name.clone()),
            _ => None,
        })
    }

    /// Adopts the stream of an earlier incarnation as an in-flight request of this one.
    pub(crate) fn adopt(
        &mut self,
        now_ms: u64,
        id: RequestId,
        sender: &Sender,
        budget_ms: u64,
    ) -> ResumeResult {
        let Some(stream) = self.find_unowned_stream(id) else {
            return ResumeResult::Unknown;
        };
        let Some((_, attempt)) = parse_stream_name(&stream) else {
            return ResumeResult::Unknown;
        };
        let key = AllocationKey::UnownedStream(stream.clone());
        match self.memory.get(&key) {
            Some(allocation) if allocation.next_free_ms.is_none() => {}
            _ => return ResumeResult::Dropped,
        }
        let Some(mut allocation) = self.memory.free(&key) else {
            return ResumeResult::Unknown;
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
            .insert(AllocationKey::Stream { id, attempt }, allocation);
        let in_flight = InFlight {
            waiting,
            running: true,
            started_ms: now_ms,
            first_token_ms: Some(now_ms),
            outcome_reported: false,
        };
        self.in_flight.insert(id, in_flight);
        ResumeResult::Adopt { stream, attempt }
    }

    /// Returns the recorded final state of a request.
    pub fn final_state(&self, id: RequestId) -> Option<FinalState> {
        self.records.final_state(id)
    }
}
