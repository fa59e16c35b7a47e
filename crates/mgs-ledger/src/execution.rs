//! Events that report how the endpoint executed a request.

use mgs_schema::key::RequestId;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;

use crate::action::Action;
use crate::fault::InjectedFault;
use crate::ledger::Ledger;
use crate::memory::AllocationKey;
use crate::memory::Owner;
use crate::record::FinalState;

/// Proof that a request did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotStarted {
    /// The endpoint is full; the request is queued again.
    Full,
    /// The endpoint can't be reached.
    Unreachable,
    /// The endpoint refuses the request.
    Rejected,
}

/// State of a stream at the engine when its request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StreamState {
    /// The engine no longer holds it.
    Released,
    /// The engine may still hold it.
    Unknown,
}

/// Minimum prefill size for a sample of the prefill rate. The time of a shorter prefill is
/// dominated by the engine's step time.
const SAMPLE_MIN_TOKENS: u64 = 512;

/// Value of [`Allocation::next_free_ms`](crate::memory::Allocation::next_free_ms) for a stream that
/// the engine has released while its request is still in flight: no further attempt is made.
const ALREADY_FREED: u64 = u64::MAX;

/// Divisor of the moving average of run times: a new sample has a weight of one part in this many.
const MEAN_RUN_DIVISOR: u64 = 8;

impl Ledger {
    /// Handles the endpoint's confirmation that the request has started.
    pub fn started(&mut self, now_ms: u64, id: RequestId) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        in_flight.running = true;
        if in_flight.outcome_reported {
            self.cancel_in_flight(now_ms, id);
        }
    }

    /// Handles the first token of the answer, and takes a sample of the prefill rate.
    pub fn first_token(&mut self, now_ms: u64, id: RequestId) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        if in_flight.first_token_ms.is_some() {
            return;
        }
        in_flight.first_token_ms = Some(now_ms);
        let tokens = in_flight.job().prefill_tokens();
        if tokens >= SAMPLE_MIN_TOKENS {
            let busy_ms = now_ms.saturating_sub(self.prefill_sample_start_ms).max(1);
            self.rates.record_prefill(tokens, busy_ms);
        }
        self.prefill_sample_start_ms = now_ms;
        self.schedule(now_ms);
    }

    /// Handles proof that the endpoint didn't start the request: it is queued again if the endpoint
    /// is full, and refused otherwise.
    pub fn not_started(&mut self, now_ms: u64, id: RequestId, why: NotStarted) {
        let Some(in_flight) = self.in_flight.remove(&id) else {
            return;
        };
        let attempt = in_flight.job().attempt;
        self.memory.free(&AllocationKey::Stream { id, attempt });
        self.free_owned(now_ms, Owner::Request(id));
        let until_ms = now_ms + self.options.record_keep_ms;
        if in_flight.outcome_reported {
            self.records
                .set(id, FinalState::NeverStarted { attempt }, until_ms);
            self.schedule(now_ms);
            return;
        }
        self.queue.requeue(in_flight.waiting);
        let reason = match why {
            NotStarted::Full => {
                self.starts_paused_until_ms = now_ms + self.options.full_pause_ms;
                return;
            }
            NotStarted::Unreachable => RefusalReason::EndpointDown,
            NotStarted::Rejected => RefusalReason::BadRequest,
        };
        self.refuse_waiting(id, reason, attempt, until_ms);
        self.schedule(now_ms);
    }

    /// Handles the end of a request whose reader has been told the outcome; the retained answer
    /// takes `answer_bytes`.
    pub fn ended(
        &mut self,
        now_ms: u64,
        id: RequestId,
        stream: StreamState,
        answer_bytes: u64,
        generated_tokens: u64,
    ) {
        let Some(in_flight) = self.in_flight.remove(&id) else {
            return;
        };
        let attempt = in_flight.job().attempt;
        let key = AllocationKey::Stream { id, attempt };
        match stream {
            StreamState::Released => {
                self.memory.free(&key);
            }
            StreamState::Unknown if self.is_freed(&key) => {
                self.memory.free(&key);
            }
            StreamState::Unknown => self.schedule_free(now_ms, &key),
        }
        if let Some(first_ms) = in_flight.first_token_ms.filter(|_| generated_tokens > 1) {
            let took_ms = now_ms.saturating_sub(first_ms);
            self.rates.record_decode(generated_tokens - 1, took_ms);
        }
        let run_ms = now_ms.saturating_sub(in_flight.started_ms);
        self.mean_run_ms += run_ms / MEAN_RUN_DIVISOR;
        self.mean_run_ms -= self.mean_run_ms / MEAN_RUN_DIVISOR;
        self.keep_answer(now_ms, id, attempt, answer_bytes);
        self.free_owned(now_ms, Owner::Request(id));
        self.schedule(now_ms);
    }

    fn keep_answer(&mut self, now_ms: u64, id: RequestId, attempt: u32, bytes: u64) {
        let final_state = FinalState::Ran {
            attempt,
            answer_bytes: Some(bytes),
        };
        self.records
            .set(id, final_state, now_ms + self.options.record_keep_ms);
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
        if !self.in_flight.contains_key(&id) && !self.queue.contains(id) {
            self.actions.push(Action::DropAnswer(id));
        }
    }

    /// Reports a failure to the reader of an in-flight request, and cancels the request at the
    /// endpoint.
    pub(crate) fn fail_in_flight(&mut self, now_ms: u64, id: RequestId, reason: FailureReason) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        if in_flight.outcome_reported {
            return;
        }
        in_flight.outcome_reported = true;
        let running = in_flight.running;
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
            self.cancel_in_flight(now_ms, id);
        }
    }

    /// Cancels the stream of an in-flight request; the request's thread still reports its end.
    pub(crate) fn cancel_in_flight(&mut self, now_ms: u64, id: RequestId) {
        let Some(in_flight) = self.in_flight.get(&id) else {
            return;
        };
        let attempt = in_flight.job().attempt;
        self.schedule_free(now_ms, &AllocationKey::Stream { id, attempt });
        self.retry_frees(now_ms);
    }

    /// Marks an allocation to be freed at the engine.
    pub(crate) fn schedule_free(&mut self, now_ms: u64, key: &AllocationKey) {
        if self.options.injected_fault == InjectedFault::ForgottenCancel {
            return;
        }
        if let Some(allocation) = self.memory.get_mut(key) {
            allocation.next_free_ms.get_or_insert(now_ms);
        }
    }

    /// Handles the engine's release of the stream of an attempt.
    pub fn stream_freed(&mut self, now_ms: u64, id: RequestId, attempt: u32) {
        let key = AllocationKey::Stream { id, attempt };
        if !self.in_flight.contains_key(&id) {
            self.memory.free(&key);
            self.schedule(now_ms);
        } else if let Some(allocation) = self.memory.get_mut(&key) {
            // The allocation stays until the request's thread reports its end.
            allocation.next_free_ms = Some(ALREADY_FREED);
        }
    }

    fn is_freed(&self, key: &AllocationKey) -> bool {
        let allocation = self.memory.get(key);
        allocation.is_some_and(|allocation| allocation.next_free_ms == Some(ALREADY_FREED))
    }

    /// Handles the engine's release of an unowned stream, by its name.
    pub fn unowned_stream_freed(&mut self, now_ms: u64, stream: &str) {
        self.memory
            .free(&AllocationKey::UnownedStream(stream.to_string()));
        self.schedule(now_ms);
    }

    /// Handles the engine's release of exported or imported KV, by its name.
    pub fn kv_freed(&mut self, now_ms: u64, kv: &str) {
        self.memory.free(&AllocationKey::Kv(kv.to_string()));
        self.schedule(now_ms);
    }
}
