//! What time alone brings about.

use mgs_schema::key::RequestId;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::RefusalReason;

use crate::action::Action;
use crate::job::Job;
use crate::ledger::Ledger;
use crate::memory::Holding;
use crate::memory::Owner;

impl Ledger {
    /// Looks at what is due; to be called every few milliseconds.
    pub fn tick(&mut self, now_ms: u64) {
        self.expire_waiting(now_ms);
        self.expire_live(now_ms);
        self.expire_answers(now_ms);
        for id in self.records.expire(now_ms) {
            self.actions.push(Action::Forget(id));
        }
        self.sessions.expire(now_ms, self.options.record_keep_ms);
        self.expire_memory(now_ms);
        self.drive_freeing(now_ms);
        self.schedule(now_ms);
    }

    /// Whether the gateway of a request has been gone for too long.
    fn is_orphan(&self, now_ms: u64, job: &Job) -> bool {
        let lease_ms = self.options.gateway_lease_ms.max(job.orphan_ms);
        self.sessions.gone_ms(now_ms, job.sender.gateway) > lease_ms
    }

    fn expire_waiting(&mut self, now_ms: u64) {
        let mut over: Vec<(RequestId, u32, RefusalReason)> = Vec::new();
        for waiting in self.queue.iter() {
            let reason = if waiting.deadline_ms <= now_ms {
                RefusalReason::Deadline
            } else if self.is_orphan(now_ms, &waiting.job) {
                RefusalReason::Cancelled
            } else {
                continue;
            };
            over.push((waiting.job.id, waiting.job.attempt, reason));
        }
        let until_ms = now_ms + self.options.record_keep_ms;
        for (id, attempt, reason) in over {
            self.refuse_waiting(id, reason, attempt, until_ms);
        }
    }

    fn expire_live(&mut self, now_ms: u64) {
        let mut over: Vec<(RequestId, FailureReason)> = Vec::new();
        for (id, live) in &self.live {
            if live.told {
                continue;
            }
            if live.waiting.deadline_ms <= now_ms {
                over.push((*id, FailureReason::Deadline));
            } else if self.is_orphan(now_ms, live.job()) {
                over.push((*id, FailureReason::Path));
            }
        }
        for (id, reason) in over {
            self.fail_live(now_ms, id, reason);
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

    /// Ends reservations and what nobody has come back for.
    fn expire_memory(&mut self, now_ms: u64) {
        let mut spans = Vec::new();
        let mut foreign = Vec::new();
        for (holding, allocation) in self.memory.iter() {
            let over = allocation.expires_ms <= now_ms;
            match holding {
                Holding::Span(span) if over || self.is_gone(now_ms, allocation.owner) => {
                    spans.push(*span);
                }
                Holding::Foreign(_) | Holding::Kv(_) if over => foreign.push(holding.clone()),
                _ => {}
            }
        }
        for span in spans {
            self.span_release(now_ms, span);
        }
        for holding in foreign {
            self.free_soon(now_ms, &holding);
        }
    }

    /// Whether a gateway that owns something has been gone for too long.
    fn is_gone(&self, now_ms: u64, owner: Owner) -> bool {
        match owner {
            Owner::Gateway(gateway) => {
                self.sessions.gone_ms(now_ms, gateway) > self.options.gateway_lease_ms
            }
            Owner::Nobody | Owner::Request(_) | Owner::Span(_) => false,
        }
    }

    /// Asks the engine to free what is due to be freed, again and again until it is gone.
    pub(crate) fn drive_freeing(&mut self, now_ms: u64) {
        let mut due = Vec::new();
        for (holding, allocation) in self.memory.iter() {
            if allocation.freeing_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                due.push(holding.clone());
            }
        }
        for holding in due {
            if let Some(allocation) = self.memory.get_mut(&holding) {
                allocation.freeing_ms = Some(now_ms + self.options.free_retry_ms);
            }
            let action = match holding {
                Holding::Stream { id, attempt } => Action::CancelStream { id, attempt },
                Holding::Foreign(stream) => Action::CancelForeign(stream),
                Holding::Kv(kv) => Action::FreeKv(kv),
                Holding::Span(_) => continue,
            };
            self.actions.push(action);
        }
    }
}
