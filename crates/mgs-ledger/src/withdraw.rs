//! Withdrawal, cancellation and resumption of requests.

use mgs_schema::key::RequestId;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::WithdrawState;

use crate::fault::InjectedFault;
use crate::job::Sender;
use crate::ledger::Ledger;
use crate::ledger::ResumeResult;
use crate::memory::AllocationKey;
use crate::memory::Memory;
use crate::record::FinalState;

/// How long the tombstone of a cancelled request that hasn't arrived is kept, in milliseconds.
const CANCEL_KEEP_MS: u64 = 60_000;

impl Ledger {
    /// Withdraws the attempts of a request up to `attempt` (0: all) that haven't started, and keeps
    /// them from starting for at least `tombstone_ms`.
    pub fn withdraw(
        &mut self,
        now_ms: u64,
        id: RequestId,
        attempt: u32,
        incarnation: u64,
        tombstone_ms: u64,
    ) -> WithdrawState {
        let attempt = if attempt == 0 { u32::MAX } else { attempt };
        if let Some(in_flight) = self.in_flight.get(&id) {
            return match in_flight.outcome_reported {
                true => WithdrawState::Finished,
                false => WithdrawState::Running,
            };
        }
        if self.queue.contains(id) {
            if self.options.injected_fault != InjectedFault::DroppedTombstone {
                let until_ms = now_ms + tombstone_ms.max(self.options.record_keep_ms);
                self.refuse_waiting(id, RefusalReason::Withdrawn, attempt, until_ms);
            }
            return WithdrawState::NeverStarted;
        }
        match self.records.final_state(id) {
            Some(FinalState::Ran { .. }) => WithdrawState::Finished,
            Some(FinalState::NeverStarted { attempt: earlier }) => {
                let attempt = attempt.max(earlier);
                self.records.set(
                    id,
                    FinalState::NeverStarted { attempt },
                    now_ms + tombstone_ms,
                );
                WithdrawState::NeverStarted
            }
            None => self.withdraw_unknown(now_ms, id, attempt, incarnation, tombstone_ms),
        }
    }

    fn withdraw_unknown(
        &mut self,
        now_ms: u64,
        id: RequestId,
        attempt: u32,
        incarnation: u64,
        tombstone_ms: u64,
    ) -> WithdrawState {
        if let Some(stream) = self.find_unowned_stream(id) {
            unowned_stream_state(&self.memory, &stream)
        } else if incarnation != self.incarnation
            || !self.records.can_rule_out_start(id)
            || !self.records.has_tombstone_room()
        {
            WithdrawState::CannotTell
        } else {
            if self.options.injected_fault != InjectedFault::DroppedTombstone {
                self.records.set(
                    id,
                    FinalState::NeverStarted { attempt },
                    now_ms + tombstone_ms,
                );
            }
            WithdrawState::NeverStarted
        }
    }

    /// Cancels a request: reports the end to its reader, and frees its memory at the engine.
    pub fn cancel(&mut self, now_ms: u64, id: RequestId) -> WithdrawState {
        if self.in_flight.contains_key(&id) {
            self.fail_in_flight(now_ms, id, FailureReason::Cancelled);
            return WithdrawState::Running;
        }
        if self.queue.contains(id) {
            let until_ms = now_ms + self.options.record_keep_ms;
            self.refuse_waiting(id, RefusalReason::Cancelled, u32::MAX, until_ms);
            return WithdrawState::NeverStarted;
        }
        if let Some(stream) = self.find_unowned_stream(id) {
            self.schedule_free(now_ms, &AllocationKey::UnownedStream(stream));
            self.retry_frees(now_ms);
            return WithdrawState::Running;
        }
        let incarnation = self.incarnation;
        self.withdraw(now_ms, id, 0, incarnation, CANCEL_KEEP_MS)
    }

    /// Resumes the answer of a request for `sender`, which becomes its owner. `budget_ms` is the
    /// time budget of an adopted stream; 0 for the default.
    pub fn resume(
        &mut self,
        now_ms: u64,
        id: RequestId,
        sender: &Sender,
        budget_ms: u64,
    ) -> ResumeResult {
        if !self.sessions.message_received(sender) {
            return ResumeResult::Stale;
        }
        if let Some(in_flight) = self.in_flight.get_mut(&id) {
            in_flight.waiting.job.sender = *sender;
            return ResumeResult::Attach;
        }
        if self.queue.contains(id) {
            self.queue.set_sender(id, sender);
            return ResumeResult::Attach;
        }
        match self.records.final_state(id) {
            Some(FinalState::Ran {
                answer_bytes: Some(_),
                ..
            }) => ResumeResult::Attach,
            Some(FinalState::Ran { .. }) => ResumeResult::Dropped,
            Some(FinalState::NeverStarted { .. }) => ResumeResult::NeverStarted,
            None => self.adopt(now_ms, id, sender, budget_ms),
        }
    }
}

/// State to report for a request whose stream was started by an earlier incarnation.
fn unowned_stream_state(memory: &Memory, stream: &str) -> WithdrawState {
    let key = AllocationKey::UnownedStream(stream.to_string());
    match memory.get(&key).map(|allocation| allocation.next_free_ms) {
        Some(None) => WithdrawState::Running,
        _ => WithdrawState::Finished,
    }
}
