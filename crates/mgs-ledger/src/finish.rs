//! What the endpoint did with a request.

use mgs_schema::key::RequestId;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;

use crate::action::Action;
use crate::ledger::Ledger;
use crate::memory::Holding;
use crate::memory::Owner;
use crate::plant::Plant;
use crate::record::Fate;

/// Why a start is proved not to have happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotStarted {
    /// The endpoint is full; the request waits again.
    Full,
    /// The endpoint can't be reached.
    Unreachable,
    /// The endpoint refuses the request.
    Rejected,
}

/// What is known of a stream at the end of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Stream {
    /// The engine holds it no longer.
    Gone,
    /// The engine may hold it still.
    Lost,
}

/// Fewest prompt tokens of a request whose prefill is a sample of the rate; shorter ones show
/// the engine's step, not its rate.
const SAMPLE_MIN_TOKENS: u64 = 512;

/// Stands for the next attempt to free memory that is free already.
const FREED: u64 = u64::MAX;

/// Share of a new sample in the mean run time.
const MEAN_SHARE: u64 = 8;

impl Ledger {
    /// The endpoint has started the request.
    pub fn started(&mut self, now_ms: u64, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        live.running = true;
        if live.told {
            self.cancel_live(now_ms, id);
        }
    }

    /// The first token of the answer came.
    pub fn first_token(&mut self, now_ms: u64, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        if live.first_token_ms.is_some() {
            return;
        }
        live.first_token_ms = Some(now_ms);
        let tokens = live.job().prefill_tokens();
        if tokens >= SAMPLE_MIN_TOKENS {
            let busy_ms = now_ms.saturating_sub(self.prefill_from_ms).max(1);
            self.rates.prefilled(tokens, busy_ms);
        }
        self.prefill_from_ms = now_ms;
        self.schedule(now_ms);
    }

    /// The endpoint proved that it didn't start the request.
    pub fn not_started(&mut self, now_ms: u64, id: RequestId, why: NotStarted) {
        let Some(live) = self.live.remove(&id) else {
            return;
        };
        let attempt = live.job().attempt;
        self.memory.free(&Holding::Stream { id, attempt });
        self.free_owned(now_ms, Owner::Request(id));
        let until_ms = now_ms + self.options.record_keep_ms;
        if live.told {
            self.records
                .set(id, Fate::NeverStarted { attempt }, until_ms);
            self.schedule(now_ms);
            return;
        }
        self.queue.put_back(live.waiting);
        let reason = match why {
            NotStarted::Full => {
                self.full_until_ms = now_ms + self.options.full_pause_ms;
                return;
            }
            NotStarted::Unreachable => RefusalReason::EndpointDown,
            NotStarted::Rejected => RefusalReason::BadRequest,
        };
        self.refuse_waiting(id, reason, attempt, until_ms);
        self.schedule(now_ms);
    }

    /// The request has ended, and its reader knows how; the kept answer takes `answer_bytes`.
    pub fn ended(
        &mut self,
        now_ms: u64,
        id: RequestId,
        stream: Stream,
        answer_bytes: u64,
        generated_tokens: u64,
    ) {
        let Some(live) = self.live.remove(&id) else {
            return;
        };
        let attempt = live.job().attempt;
        let holding = Holding::Stream { id, attempt };
        match stream {
            Stream::Gone => {
                self.memory.free(&holding);
            }
            Stream::Lost if self.is_freed(&holding) => {
                self.memory.free(&holding);
            }
            Stream::Lost => self.free_soon(now_ms, &holding),
        }
        if let Some(first_ms) = live.first_token_ms.filter(|_| generated_tokens > 1) {
            let took_ms = now_ms.saturating_sub(first_ms);
            self.rates.decoded(generated_tokens - 1, took_ms);
        }
        let run_ms = now_ms.saturating_sub(live.started_ms);
        self.mean_run_ms += run_ms / MEAN_SHARE;
        self.mean_run_ms -= self.mean_run_ms / MEAN_SHARE;
        self.keep_answer(now_ms, id, attempt, answer_bytes);
        self.free_owned(now_ms, Owner::Request(id));
        self.schedule(now_ms);
    }

    fn keep_answer(&mut self, now_ms: u64, id: RequestId, attempt: u32, bytes: u64) {
        let fate = Fate::Ran {
            attempt,
            answer_bytes: Some(bytes),
        };
        self.records
            .set(id, fate, now_ms + self.options.record_keep_ms);
        let until_ms = now_ms + self.options.answer_keep_ms;
        self.answers.push_back((until_ms, id, bytes));
        self.answers_bytes += bytes;
        while self.answers_bytes > self.options.answers_max_bytes && self.answers.len() > 1 {
            self.drop_oldest_answer();
        }
    }

    pub(crate) fn drop_oldest_answer(&mut self) {
        let Some((_, id, bytes)) = self.answers.pop_front() else {
            return;
        };
        self.answers_bytes -= bytes;
        self.records.drop_answer(id);
        if !self.live.contains_key(&id) && !self.queue.contains(id) {
            self.actions.push(Action::Forget(id));
        }
    }

    /// Ends a request for its reader, and cancels it at the endpoint.
    pub(crate) fn fail_live(&mut self, now_ms: u64, id: RequestId, reason: FailureReason) {
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        if live.told {
            return;
        }
        live.told = true;
        let running = live.running;
        let outcome = match running {
            true => Outcome::Failed,
            false => Outcome::Unknown,
        };
        self.actions.push(Action::Fail {
            id,
            outcome,
            reason,
        });
        if running {
            self.cancel_live(now_ms, id);
        }
    }

    /// Cancels the stream of a request whose thread will report its end.
    pub(crate) fn cancel_live(&mut self, now_ms: u64, id: RequestId) {
        let Some(live) = self.live.get(&id) else {
            return;
        };
        let attempt = live.job().attempt;
        self.free_soon(now_ms, &Holding::Stream { id, attempt });
        self.drive_freeing(now_ms);
    }

    /// Marks an allocation as no longer wanted.
    pub(crate) fn free_soon(&mut self, now_ms: u64, holding: &Holding) {
        if self.options.plant == Plant::ForgottenCancel {
            return;
        }
        if let Some(allocation) = self.memory.get_mut(holding) {
            allocation.freeing_ms.get_or_insert(now_ms);
        }
    }

    /// The engine no longer holds the stream of an attempt.
    pub fn stream_freed(&mut self, now_ms: u64, id: RequestId, attempt: u32) {
        let holding = Holding::Stream { id, attempt };
        if !self.live.contains_key(&id) {
            self.memory.free(&holding);
            self.schedule(now_ms);
        } else if let Some(allocation) = self.memory.get_mut(&holding) {
            // The request's thread still has to report its end.
            allocation.freeing_ms = Some(FREED);
        }
    }

    fn is_freed(&self, holding: &Holding) -> bool {
        let allocation = self.memory.get(holding);
        allocation.is_some_and(|allocation| allocation.freeing_ms == Some(FREED))
    }

    /// The engine no longer holds a stream that nobody owned.
    pub fn foreign_freed(&mut self, now_ms: u64, stream: &str) {
        self.memory.free(&Holding::Foreign(stream.to_string()));
        self.schedule(now_ms);
    }

    /// The engine no longer holds KV that nobody owned.
    pub fn kv_freed(&mut self, now_ms: u64, kv: &str) {
        self.memory.free(&Holding::Kv(kv.to_string()));
        self.schedule(now_ms);
    }
}
