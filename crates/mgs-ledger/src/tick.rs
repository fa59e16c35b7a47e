//! Timeouts: expiry of requests, answers, records and allocations, and retries of frees.

use mgs_schema::key::RequestId;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::RefusalReason;

use crate::action::Action;
use crate::job::Job;
use crate::ledger::Ledger;
use crate::memory::AllocationKey;
use crate::memory::Owner;

impl Ledger {
    /// Handles all timeouts that are due; to be called every few milliseconds.
    pub fn tick(&mut self, now_ms: u64) {
        self.expire_waiting(now_ms);
        self.expire_in_flight(now_ms);
        self.expire_answers(now_ms);
        for id in self.records.expire(now_ms) {
            self.actions.push(Action::DropAnswer(id));
        }
        self.sessions.expire(now_ms, self.options.record_keep_ms);
        self.expire_memory(now_ms);
        self.retry_frees(now_ms);
        self.schedule(now_ms);
    }

    /// Whether the gateway of a request has been disconnected for longer than its lease.
    fn is_orphaned(&self, now_ms: u64, job: &Job) -> bool {
        let lease_ms = self.options.gateway_lease_ms.max(job.orphan_ms);
        self.sessions.disconnected_ms(now_ms, job.sender.gateway) > lease_ms
    }

    fn expire_waiting(&mut self, now_ms: u64) {
        let mut expired: Vec<(RequestId, u32, RefusalReason)> = Vec::new();
        for waiting in self.queue.iter() {
            let reason = if waiting.deadline_ms <= now_ms {
                RefusalReason::Deadline
            } else if self.is_orphaned(now_ms, &waiting.job) {
                RefusalReason::Cancelled
            } else {
                continue;
            };
            expired.push((waiting.job.id, waiting.job.attempt, reason));
        }
        let until_ms = now_ms + self.options.record_keep_ms;
        for (id, attempt, reason) in expired {
            self.refuse_waiting(id, reason, attempt, until_ms);
        }
    }

    fn expire_in_flight(&mut self, now_ms: u64) {
        let mut expired: Vec<(RequestId, FailureReason)> = Vec::new();
        for (id, in_flight) in &self.in_flight {
            if in_flight.outcome_reported {
                continue;
            }
            if in_flight.waiting.deadline_ms <= now_ms {
                expired.push((*id, FailureReason::Deadline));
            } else if self.is_orphaned(now_ms, in_flight.job()) {
                expired.push((*id, FailureReason::Path));
            }
        }
        for (id, reason) in expired {
            self.fail_in_flight(now_ms, id, reason);
        }
    }

    fn expire_answers(&mut self, now_ms: u64) {
        while self
            .answers
            .front()
            .is_some_and(|(until_ms, _, _)| *until_ms <= now_ms)
        {
            self.drop_oldest_answer();
        }
    }

    /// Releases reservations that expired or lost their gateway, and frees expired streams and KV.
    fn expire_memory(&mut self, now_ms: u64) {
        let mut spans = Vec::new();
        let mut unowned = Vec::new();
        for (key, allocation) in self.memory.iter() {
            let is_expired = allocation.expires_ms <= now_ms;
            match key {
                AllocationKey::Span(span)
                    if is_expired || self.is_owner_disconnected(now_ms, allocation.owner) =>
                {
                    spans.push(*span);
                }
                AllocationKey::UnownedStream(_) | AllocationKey::Kv(_) if is_expired => {
                    unowned.push(key.clone())
                }
                _ => {}
            }
        }
        for span in spans {
            self.span_release(now_ms, span);
        }
        for key in unowned {
            self.schedule_free(now_ms, &key);
        }
    }

    /// Whether the owner is a gateway that has been disconnected for longer than its lease.
    fn is_owner_disconnected(&self, now_ms: u64, owner: Owner) -> bool {
        match owner {
            Owner::Gateway(gateway) => {
                self.sessions.disconnected_ms(now_ms, gateway) > self.options.gateway_lease_ms
            }
            Owner::Nobody | Owner::Request(_) | Owner::Span(_) => false,
        }
    }

    /// Asks the engine to free the allocations that are due, and schedules the next attempt for
    /// each.
    pub(crate) fn retry_frees(&mut self, now_ms: u64) {
        let mut due = Vec::new();
        for (key, allocation) in self.memory.iter() {
            if allocation.next_free_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                due.push(key.clone());
            }
        }
        for key in due {
            if let Some(allocation) = self.memory.get_mut(&key) {
                allocation.next_free_ms = Some(now_ms + self.options.free_retry_ms);
            }
            let action = match key {
                AllocationKey::Stream { id, attempt } => Action::CancelStream { id, attempt },
                AllocationKey::UnownedStream(stream) => Action::CancelUnownedStream(stream),
                AllocationKey::Kv(kv) => Action::FreeKv(kv),
                AllocationKey::Span(_) => continue,
            };
            self.actions.push(action);
        }
    }
}
