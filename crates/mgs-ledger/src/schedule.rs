//! Choice of the next request to start, early refusal, and the predictions behind both.

use mgs_schema::key::RequestId;
use mgs_schema::wire::RefusalReason;

use crate::action::Action;
use crate::job::Job;
use crate::ledger::InFlight;
use crate::ledger::Ledger;
use crate::memory::Allocation;
use crate::memory::AllocationKey;
use crate::memory::Owner;
use crate::queue::Waiting;
use crate::record::FinalState;

/// Minimum and maximum retry delay given to a refused caller.
const RETRY_AFTER_MIN_MS: u64 = 50;
const RETRY_AFTER_MAX_MS: u64 = 30_000;

/// Retry delay given to callers while the endpoint is down or the model is being unloaded, in
/// milliseconds.
const DOWN_RETRY_MS: u64 = 1_000;

/// Load of the endpoint, known to the ledger without asking the engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of requests handed to the endpoint.
    pub running: usize,
    /// Prefill tokens of waiting and in-flight requests that aren't processed yet.
    pub prefill_tokens: u64,
    /// The part of `prefill_tokens` that belongs to short prompts.
    pub short_prefill_tokens: u64,
    /// Engine memory in use or reserved, in tokens.
    pub kv_used_tokens: u64,
    /// Total engine memory in tokens; 0 if unknown.
    pub kv_capacity_tokens: u64,
    /// Prefill rate, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Time of one decoding step, in milliseconds.
    pub decode_step_ms: f64,
}

impl Ledger {
    /// Predicts the time to the first token of a request, in milliseconds, and whether it would be
    /// admitted now.
    pub fn quote(&self, now_ms: u64, job: &Job) -> (u64, bool) {
        let refusal = self.capacity_refusal(now_ms, job);
        (self.first_token_ms(now_ms, job), refusal.is_none())
    }

    /// Returns the current load; prompts of up to `short_tokens` count as short.
    pub fn load(&self, short_tokens: u64) -> Load {
        let waiting = self.queue.iter().map(|waiting| &waiting.job);
        let unprocessed: Vec<&Job> = waiting.chain(self.prefilling()).collect();
        let short = unprocessed
            .iter()
            .filter(|job| job.prompt_tokens <= short_tokens);
        Load {
            waiting: self.queue.len(),
            running: self.in_flight.len(),
            prefill_tokens: unprocessed.iter().map(|job| job.prefill_tokens()).sum(),
            short_prefill_tokens: short.map(|job| job.prefill_tokens()).sum(),
            kv_used_tokens: self.memory.used_tokens(),
            kv_capacity_tokens: self.memory.capacity_tokens().unwrap_or(0),
            prefill_tokens_per_s: self.rates.prefill_tokens_per_s(),
            decode_step_ms: self.rates.decode_step_ms(),
        }
    }

    /// Why the request can't be admitted at the current load, and the retry delay in milliseconds.
    pub(crate) fn capacity_refusal(&self, now_ms: u64, job: &Job) -> Option<(RefusalReason, u64)> {
        if self.unavailable.leaving {
            return Some((RefusalReason::Leaving, 0));
        }
        if self.unavailable.down {
            return Some((RefusalReason::EndpointDown, DOWN_RETRY_MS));
        }
        if job.unloading {
            return Some((RefusalReason::NoEndpoint, DOWN_RETRY_MS));
        }
        if let Some(refusal) = self.memory_refusal(now_ms, job) {
            return Some(refusal);
        }
        if self.queue.len() >= self.options.waiting_max {
            return Some((RefusalReason::Busy, self.queue_wait_ms()));
        }
        let first_token_ms = self.first_token_ms(now_ms, job);
        if first_token_ms > job.budget_ms {
            let late_ms = first_token_ms - job.budget_ms;
            return Some((RefusalReason::Deadline, clamp_retry_ms(late_ms)));
        }
        None
    }

    fn memory_refusal(&self, now_ms: u64, job: &Job) -> Option<(RefusalReason, u64)> {
        if job.span != 0 {
            let is_reserved = self.memory.get(&AllocationKey::Span(job.span)).is_some();
            return (!is_reserved).then_some((RefusalReason::Memory, 0));
        }
        let capacity = self.memory.capacity_tokens()?;
        let need = job.need_tokens();
        if need > capacity {
            return Some((RefusalReason::PromptExceedsMemory, 0));
        }
        let (reserved, first_ms) = self.memory.reserved();
        if need > capacity.saturating_sub(reserved) {
            let wait_ms = first_ms.unwrap_or(now_ms).saturating_sub(now_ms);
            return Some((RefusalReason::Memory, clamp_retry_ms(wait_ms)));
        }
        None
    }

    /// Predicted time until a waiting request starts and leaves the queue, in milliseconds.
    fn queue_wait_ms(&self) -> u64 {
        let tokens: u64 = self.queue.iter().map(|w| w.job.prefill_tokens()).sum();
        let waiting = self.queue.len().max(1) as u64;
        clamp_retry_ms(self.rates.prefill_ms(tokens / waiting) + self.slot_interval_ms())
    }

    /// Maximum number of concurrent requests at the endpoint.
    pub(crate) fn slots(&self) -> usize {
        self.options.running_max.min(self.streams_max)
    }

    /// Predicted interval at which slots become free while all are taken, in milliseconds.
    fn slot_interval_ms(&self) -> u64 {
        self.mean_run_ms / self.slots().max(1) as u64
    }

    /// Predicted time to the first token of a request that arrives now, in milliseconds.
    pub fn first_token_ms(&self, now_ms: u64, job: &Job) -> u64 {
        let ahead = |waiting: &&Waiting| waiting.level(now_ms) <= job.priority;
        let waiting_tokens: u64 = self
            .queue
            .iter()
            .filter(ahead)
            .map(|waiting| waiting.job.prefill_tokens())
            .sum();
        let tokens = self.prefilling_tokens() + waiting_tokens + job.prefill_tokens();
        let prefill_ms = self.rates.prefill_ms(tokens);
        if self.in_flight.len() < self.slots() {
            return prefill_ms;
        }
        let turns = self.queue.iter().filter(ahead).count() as u64 + 1;
        prefill_ms.max(turns * self.slot_interval_ms())
    }

    /// Prefill tokens handed to the endpoint and not yet processed.
    pub(crate) fn prefilling_tokens(&self) -> u64 {
        self.prefilling().map(Job::prefill_tokens).sum()
    }

    fn prefilling(&self) -> impl Iterator<Item = &Job> {
        let requests = self.in_flight.values();
        requests
            .filter(|request| request.first_token_ms.is_none())
            .map(InFlight::job)
    }

    /// Engine memory in use or reserved, in tokens.
    pub fn kv_used_tokens(&self) -> u64 {
        self.memory.used_tokens()
    }

    /// Starts waiting requests while slots, memory and the long prompt limit allow.
    pub(crate) fn schedule(&mut self, now_ms: u64) {
        if self.unavailable.down || now_ms < self.starts_paused_until_ms {
            return;
        }
        while self.in_flight.len() < self.slots() {
            let Some((next, bypassed)) = self.choose_next(now_ms) else {
                return;
            };
            self.start(now_ms, next, &bypassed);
        }
    }

    /// Returns the next request to start, and those that it bypasses because they don't fit.
    fn choose_next(&self, now_ms: u64) -> Option<(RequestId, Vec<RequestId>)> {
        let mut bypassed = Vec::new();
        for waiting in self.queue.start_order(now_ms, self.options.urgent_ms) {
            if waiting.deadline_ms <= now_ms || !self.long_prefill_allows(&waiting.job) {
                continue;
            }
            if self.memory_allows(&waiting.job) {
                return Some((waiting.job.id, bypassed));
            }
            if waiting.bypassed >= self.options.bypass_max {
                return None;
            }
            bypassed.push(waiting.job.id);
        }
        None
    }

    fn memory_allows(&self, job: &Job) -> bool {
        job.span != 0 || self.memory.fits(job.need_tokens())
    }

    fn is_long(&self, job: &Job) -> bool {
        job.prefill_tokens() >= self.options.long_prompt_tokens
    }

    /// Whether the limit on concurrent long prompts allows this request.
    fn long_prefill_allows(&self, job: &Job) -> bool {
        if !self.is_long(job) {
            return true;
        }
        let others = self.prefilling().filter(|other| self.is_long(other));
        let tokens: u64 = others.map(Job::prefill_tokens).sum();
        tokens == 0
            || tokens.saturating_add(job.prefill_tokens()) <= self.options.long_prefill_max_tokens
    }

    fn start(&mut self, now_ms: u64, id: RequestId, bypassed: &[RequestId]) {
        let Some(waiting) = self.queue.start(id, bypassed) else {
            unreachable!("only a waiting request is chosen");
        };
        let job = waiting.job;
        let span = self.memory.free(&AllocationKey::Span(job.span));
        let tokens = span.map_or(job.need_tokens(), |span| span.tokens);
        let key = AllocationKey::Stream {
            id,
            attempt: job.attempt,
        };
        let allocation = Allocation {
            tokens,
            expires_ms: waiting.deadline_ms,
            owner: Owner::Request(id),
            next_free_ms: None,
        };
        self.memory.insert(key, allocation);
        if job.span != 0 {
            self.transfer_span_kv(job.span, id);
        }
        if self.prefilling().next().is_none() {
            self.prefill_sample_start_ms = now_ms;
        }
        let in_flight = InFlight {
            waiting,
            running: false,
            started_ms: now_ms,
            first_token_ms: None,
            outcome_reported: false,
        };
        self.in_flight.insert(id, in_flight);
        self.actions.push(Action::Start(id));
    }

    /// Refuses a waiting request, and records that neither its attempt nor any up to `attempt` will
    /// start.
    pub(crate) fn refuse_waiting(
        &mut self,
        id: RequestId,
        reason: RefusalReason,
        attempt: u32,
        until_ms: u64,
    ) {
        let Some(waiting) = self.queue.remove(id) else {
            return;
        };
        let attempt = attempt.max(waiting.job.attempt);
        self.records
            .set(id, FinalState::NeverStarted { attempt }, until_ms);
        let retry_after_ms = match reason {
            RefusalReason::EndpointDown => DOWN_RETRY_MS,
            RefusalReason::Deadline => self.queue_wait_ms(),
            _ => 0,
        };
        self.actions.push(Action::Refuse {
            id,
            reason,
            retry_after_ms,
        });
    }

    /// Refuses all waiting requests.
    pub(crate) fn refuse_all_waiting(&mut self, now_ms: u64, reason: RefusalReason) {
        let all: Vec<(RequestId, u32)> = self
            .queue
            .iter()
            .map(|waiting| (waiting.job.id, waiting.job.attempt))
            .collect();
        let until_ms = now_ms + self.options.record_keep_ms;
        for (id, attempt) in all {
            self.refuse_waiting(id, reason, attempt, until_ms);
        }
    }
}

fn clamp_retry_ms(ms: u64) -> u64 {
    ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
}
