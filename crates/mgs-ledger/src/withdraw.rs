//! Taking requests back, ending them, and reading their answers on.

use mgs_schema::key::RequestId;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::WithdrawState;

use crate::job::Sender;
use crate::ledger::Ledger;
use crate::ledger::Resumed;
use crate::memory::Holding;
use crate::memory::Memory;
use crate::plant::Plant;
use crate::record::Fate;

/// How long the tombstone of a cancelled request that never came is kept, in milliseconds.
const CANCEL_KEEP_MS: u64 = 60_000;

impl Ledger {
    /// Takes back the attempts of a request up to `attempt` (0: all), and keeps them from
    /// starting for `tombstone_ms`.
    pub fn withdraw(
        &mut self,
        now_ms: u64,
        id: RequestId,
        attempt: u32,
        incarnation: u64,
        tombstone_ms: u64,
    ) -> WithdrawState {
        let attempt = if attempt == 0 { u32::MAX } else { attempt };
        if let Some(live) = self.live.get(&id) {
            return match live.told {
                true => WithdrawState::Finished,
                false => WithdrawState::Running,
            };
        }
        if self.queue.contains(id) {
            if self.options.plant != Plant::DroppedTombstone {
                let until_ms = now_ms + tombstone_ms.max(self.options.record_keep_ms);
                self.refuse_waiting(id, RefusalReason::Withdrawn, attempt, until_ms);
            }
            return WithdrawState::NeverStarted;
        }
        match self.records.fate(id) {
            Some(Fate::Ran { .. }) => WithdrawState::Finished,
            Some(Fate::NeverStarted { attempt: earlier }) => {
                let attempt = attempt.max(earlier);
                self.records
                    .set(id, Fate::NeverStarted { attempt }, now_ms + tombstone_ms);
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
        if let Some(stream) = self.foreign_stream(id) {
            foreign_state(&self.memory, &stream)
        } else if incarnation != self.incarnation
            || !self.records.may_vouch_for(id)
            || !self.records.has_tombstone_room()
        {
            WithdrawState::CannotTell
        } else {
            if self.options.plant != Plant::DroppedTombstone {
                self.records
                    .set(id, Fate::NeverStarted { attempt }, now_ms + tombstone_ms);
            }
            WithdrawState::NeverStarted
        }
    }

    /// Ends a request for its reader and frees its memory.
    pub fn cancel(&mut self, now_ms: u64, id: RequestId) -> WithdrawState {
        if self.live.contains_key(&id) {
            self.fail_live(now_ms, id, FailureReason::Cancelled);
            return WithdrawState::Running;
        }
        if self.queue.contains(id) {
            let until_ms = now_ms + self.options.record_keep_ms;
            self.refuse_waiting(id, RefusalReason::Cancelled, u32::MAX, until_ms);
            return WithdrawState::NeverStarted;
        }
        if let Some(stream) = self.foreign_stream(id) {
            self.free_soon(now_ms, &Holding::Foreign(stream));
            self.drive_freeing(now_ms);
            return WithdrawState::Running;
        }
        let incarnation = self.incarnation;
        self.withdraw(now_ms, id, 0, incarnation, CANCEL_KEEP_MS)
    }

    /// Whether and how an answer can be read on.
    pub fn resume(
        &mut self,
        now_ms: u64,
        id: RequestId,
        sender: &Sender,
        budget_ms: u64,
    ) -> Resumed {
        if !self.sessions.heard(sender) {
            return Resumed::Stale;
        }
        if let Some(live) = self.live.get_mut(&id) {
            live.waiting.job.sender = *sender;
            return Resumed::Attach;
        }
        if self.queue.contains(id) {
            self.queue.set_sender(id, sender);
            return Resumed::Attach;
        }
        match self.records.fate(id) {
            Some(Fate::Ran {
                answer_bytes: Some(_),
                ..
            }) => Resumed::Attach,
            Some(Fate::Ran { .. }) => Resumed::Dropped,
            Some(Fate::NeverStarted { .. }) => Resumed::NeverStarted,
            None => self.adopt(now_ms, id, sender, budget_ms),
        }
    }
}

/// What may be said of a stream of an earlier incarnation.
fn foreign_state(memory: &Memory, stream: &str) -> WithdrawState {
    let holding = Holding::Foreign(stream.to_string());
    match memory.get(&holding).map(|held| held.freeing_ms) {
        Some(None) => WithdrawState::Running,
        _ => WithdrawState::Finished,
    }
}
