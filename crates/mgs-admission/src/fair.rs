//! Admission by limits and weighted fair queueing between the rows of a priority, with ageing of
//! low priorities and early refusal.

mod options;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::ops::Range;

use mgs_schema::key::RequestId;
use mgs_schema::prefix::LONG_PROMPT_TOKENS;
use mgs_schema::prefix::SHORT_PROMPT_TOKENS;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::RefusalReason;

use crate::ageing::Ageing;
use crate::arena::Arena;
use crate::arena::Key;
use crate::entry::Entry;
use crate::flows::Charge;
use crate::flows::Class;
use crate::flows::ClassKey;
use crate::flows::Flows;
use crate::lease::Limits;
use crate::queue::Action;
use crate::queue::Admission;
use crate::queue::AdmissionDecision;
use crate::queue::AdmissionRequest;
use crate::queue::Capacity;
use crate::queue::Demand;
use crate::response::ResponseEstimator;
use crate::rows::RowKey;
use crate::rows::RowTable;
pub use options::Options;

/// Queueing time from which a request is considered to compete with others, in milliseconds.
///
/// Only such a request is refused because of the expected duration of its response. The estimate
/// can be wrong, and without contention an attempt costs other requests nothing.
const CONTENDED_WAIT_MS: u64 = 50;

/// The default admission: limits, weighted fair queueing, ageing and early refusal.
///
/// ```
/// use mgs_admission::queue::Admission;
/// use mgs_admission::fair::FairQueue;
/// use mgs_admission::fair::Options;
///
/// let queue = FairQueue::new(Options { flow_max: 10, ..Options::default() });
/// # let _ = queue;
/// ```
#[derive(Debug, Default)]
pub struct FairQueue {
    options: Options,
    rows: RowTable,
    estimator: ResponseEstimator,
    flows: Flows,
    entries: Arena<Entry>,
    keys_by_id: HashMap<RequestId, Key>,
    deadlines: BTreeSet<(u64, Key)>,
    ageing: Ageing,
}

impl FairQueue {
    /// Creates an empty queue without settings.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Active rows with their requests in flight, for reports.
    pub fn rows(&self) -> &RowTable {
        &self.rows
    }

    fn class_of(&mut self, row: RowKey, request: &AdmissionRequest) -> ClassKey {
        self.flows.class(Class {
            priority: self.rows.get(row).priority(),
            is_long: request.prompt_tokens > SHORT_PROMPT_TOKENS,
            model: request.model.clone(),
            band: u32::from(request.prompt_tokens >= LONG_PROMPT_TOKENS),
        })
    }

    /// Checks the row's allowed models and its concurrency limit, which charge nothing.
    fn check_model_and_concurrency(
        &self,
        row: RowKey,
        request: &AdmissionRequest,
    ) -> Result<(), AdmissionDecision> {
        let row = self.rows.get(row);
        let allowed = &row.limits.models;
        if !allowed.is_empty() && !allowed.contains(&request.model) {
            return Err(refused(RefusalReason::UnknownModel, 0));
        }
        if row.concurrent_max > 0 && row.in_flight >= row.concurrent_max {
            let retry_after_ms = self.options.retry_after_min_ms;
            return Err(refused(RefusalReason::Concurrency, retry_after_ms));
        }
        Ok(())
    }

    /// Takes the cost of the request from the row's rate limits, or refuses it.
    fn take_rate_tokens(
        &mut self,
        now_ms: u64,
        row: RowKey,
        request: &AdmissionRequest,
    ) -> Result<(), AdmissionDecision> {
        let cost = (request.prompt_tokens + request.max_tokens) as f64;
        let row = self.rows.get_mut(row);
        if let Err(wait_ms) = row.request_bucket.take(now_ms, 1.0) {
            return Err(refused(RefusalReason::RequestRate, wait_ms));
        }
        if let Err(wait_ms) = row.token_bucket.take(now_ms, cost) {
            row.request_bucket.refund(1.0);
            return Err(refused(RefusalReason::TokenRate, wait_ms));
        }
        Ok(())
    }

    /// Refuses a request if the queue is full or its predicted wait is too long. It runs before the
    /// request is charged.
    fn check_predicted_wait(
        &mut self,
        now_ms: u64,
        row: RowKey,
        request: &AdmissionRequest,
    ) -> Result<ClassKey, AdmissionDecision> {
        let class = self.class_of(row, request);
        let tokens = request.prompt_tokens + request.max_tokens;
        let wait_ms = self.flows.wait_ms(now_ms, row, class, tokens);
        let full = self.flows.queued() >= self.options.queue_max
            || self.flows.queued_in_flow(row, class) >= self.options.flow_max;
        if full {
            let retry_after_ms = self.clamp_retry_after(wait_ms.unwrap_or(0));
            return Err(refused(RefusalReason::QueueFull, retry_after_ms));
        }
        let remaining_ms = request.deadline_ms.saturating_sub(now_ms);
        let slack_ms = remaining_ms.saturating_sub(self.estimator.expected_response_ms(
            row,
            class,
            request.max_tokens,
        ));
        let share = if request.prompt_tokens > SHORT_PROMPT_TOKENS {
            self.options.long_wait_share_max
        } else {
            self.options.short_wait_share_max
        };
        let wait_share_ms = (remaining_ms as f64 * share) as u64;
        let wait_max_ms = slack_ms.min(wait_share_ms);
        match wait_ms {
            Some(wait_ms) if wait_ms > wait_max_ms => {
                if wait_ms <= wait_share_ms {
                    self.estimator.decay_duration(row, class);
                }
                let retry_after_ms = self.clamp_retry_after(wait_ms - wait_max_ms);
                Err(refused(RefusalReason::Deadline, retry_after_ms))
            }
            _ => Ok(class),
        }
    }

    fn clamp_retry_after(&self, retry_after_ms: u64) -> u64 {
        let min_ms = self.options.retry_after_min_ms;
        retry_after_ms.clamp(min_ms, self.options.retry_after_max_ms)
    }

    fn enqueue(&mut self, now_ms: u64, row: RowKey, class: ClassKey, request: &AdmissionRequest) {
        let entry = Entry {
            request: request.clone(),
            row,
            class,
            weight: self.rows.get(row).weight(),
            queued: true,
            first_token_at_ms: 0,
        };
        let key = self.entries.insert(entry);
        self.keys_by_id.insert(request.id, key);
        self.deadlines.insert((request.deadline_ms, key));
        if self.rows.get(row).priority() > 0 {
            self.ageing.insert(self.ageing_due_ms(request), key);
        }
        if let Some(entry) = self.entries.get(key) {
            self.flows.push(now_ms, entry.queued_request(key));
        }
        self.rows.get_mut(row).in_flight += 1;
    }

    fn ageing_due_ms(&self, request: &AdmissionRequest) -> u64 {
        let allotted_ms = request.deadline_ms.saturating_sub(request.arrived_ms);
        request.arrived_ms + (allotted_ms as f64 * self.options.aged_share) as u64
    }

    /// Removes a queued request from all structures except the arena.
    fn dequeue(&mut self, now_ms: u64, key: Key) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.queued = false;
        let queued_request = entry.queued_request(key);
        let deadline_ms = entry.request.deadline_ms;
        self.flows.remove(now_ms, queued_request);
        self.remove_timers(deadline_ms, key);
    }

    fn remove_timers(&mut self, deadline_ms: u64, key: Key) {
        self.deadlines.remove(&(deadline_ms, key));
        if let Some(entry) = self.entries.get(key) {
            let ageing_due_ms = self.ageing_due_ms(&entry.request);
            self.ageing.remove(ageing_due_ms, key);
        }
    }

    /// Removes a queued request that will not run and refunds its tokens.
    fn drop_queued(&mut self, now_ms: u64, key: Key) -> Option<RequestId> {
        self.dequeue(now_ms, key);
        let entry = self.entries.remove(key)?;
        self.keys_by_id.remove(&entry.request.id);
        let row = self.rows.get_mut(entry.row);
        row.in_flight = row.in_flight.saturating_sub(1);
        row.token_bucket.refund(entry.reserved_tokens() as f64);
        Some(entry.request.id)
    }

    fn refuse_for_deadline(&mut self, now_ms: u64, key: Key, actions: &mut Vec<Action>) {
        let retry_after_ms = match self.entries.get(key) {
            Some(entry) => self.flows.wait_ms(now_ms, entry.row, entry.class, 0),
            None => None,
        };
        let retry_after_ms = self.clamp_retry_after(retry_after_ms.unwrap_or(0));
        if let Some(id) = self.drop_queued(now_ms, key) {
            actions.push(Action::Refuse {
                id,
                reason: RefusalReason::Deadline,
                retry_after_ms,
            });
        }
    }

    fn refuse_expired(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        while let Some((deadline_ms, key)) = self.deadlines.first().copied() {
            if deadline_ms > now_ms {
                break;
            }
            self.refuse_for_deadline(now_ms, key, actions);
        }
    }

    /// Starts a queued request if there is capacity, or refuses it if it would miss its deadline.
    /// Returns whether the request left the queue.
    fn try_start(
        &mut self,
        now_ms: u64,
        key: Key,
        capacity: &mut dyn Capacity,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(entry) = self.entries.get(key) else {
            return false;
        };
        let Some(first_token_ms) = capacity.first_token_ms(&entry.request) else {
            return false;
        };
        let waited_ms = now_ms.saturating_sub(entry.request.arrived_ms);
        let response_ms = match waited_ms >= CONTENDED_WAIT_MS {
            true => self.estimator.expected_response_ms(
                entry.row,
                entry.class,
                entry.request.max_tokens,
            ),
            false => 0,
        };
        if now_ms + first_token_ms + response_ms > entry.request.deadline_ms {
            if now_ms + first_token_ms <= entry.request.deadline_ms {
                let (row, class) = (entry.row, entry.class);
                self.estimator.decay_duration(row, class);
            }
            self.refuse_for_deadline(now_ms, key, actions);
            return true;
        }
        capacity.reserve(&entry.request);
        actions.push(Action::Start(entry.request.id));
        self.mark_started(now_ms, key, first_token_ms);
        true
    }

    fn mark_started(&mut self, now_ms: u64, key: Key, first_token_ms: u64) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.queued = false;
        entry.first_token_at_ms = now_ms + first_token_ms;
        let queued_request = entry.queued_request(key);
        let deadline_ms = entry.request.deadline_ms;
        let max_tokens = entry.request.max_tokens;
        let response_tokens =
            self.estimator
                .expected_response_tokens(entry.row, entry.class, max_tokens);
        let charge = Charge {
            tokens: entry.request.prompt_tokens + response_tokens as u64,
            waited: now_ms > entry.request.arrived_ms,
        };
        self.flows.start(now_ms, queued_request, charge);
        self.remove_timers(deadline_ms, key);
        let share = self.options.aged_tokens_share;
        self.ageing.add_credit(charge.tokens, share);
    }

    /// Starts requests of a group of classes, in order of virtual time, while there is capacity.
    fn start_class_group(
        &mut self,
        now_ms: u64,
        indices: Range<usize>,
        capacity: &mut dyn Capacity,
        actions: &mut Vec<Action>,
    ) {
        let mut candidates: Vec<ClassKey> =
            indices.map(|index| self.flows.class_at(index)).collect();
        loop {
            let next_in = |class: &ClassKey| Some((self.flows.next_request(*class)?, *class));
            let Some(((_, key), class)) = candidates.iter().filter_map(next_in).min() else {
                return;
            };
            if !self.try_start(now_ms, key, capacity, actions) {
                candidates.retain(|other| *other != class);
            }
        }
    }

    fn record_response(&mut self, now_ms: u64, entry: &Entry, generated_tokens: u64) {
        let Some(sample) = entry.response_stats(now_ms, generated_tokens) else {
            return;
        };
        self.estimator.record(entry.row, entry.class, sample);
    }

    /// Starts aged low-priority requests ahead of the others, within their token credit.
    fn start_aged(&mut self, now_ms: u64, capacity: &mut dyn Capacity, actions: &mut Vec<Action>) {
        self.ageing.advance(now_ms);
        while let Some(key) = self.ageing.first_aged() {
            let queued = self.entries.get(key).filter(|entry| entry.queued);
            if let Some(tokens) = queued.map(|entry| entry.request.prompt_tokens) {
                if !self.ageing.has_credit() || !self.try_start(now_ms, key, capacity, actions) {
                    return;
                }
                self.ageing.spend_credit(tokens);
            }
            self.ageing.pop_first_aged();
        }
    }
}

fn refused(reason: RefusalReason, retry_after_ms: u64) -> AdmissionDecision {
    AdmissionDecision::Refused {
        reason,
        retry_after_ms,
    }
}

impl Admission for FairQueue {
    fn apply_settings(&mut self, now_ms: u64, snapshot: &Snapshot) {
        self.rows.apply_settings(now_ms, snapshot);
    }

    fn submit(&mut self, now_ms: u64, request: &AdmissionRequest) -> AdmissionDecision {
        let row = self
            .rows
            .find_or_insert(now_ms, &request.organisation, &request.kind);
        let row_state = self.rows.get_mut(row);
        row_state.offered_requests += 1;
        row_state.offered_tokens += request.prompt_tokens + request.max_tokens;
        let permitted = self.check_model_and_concurrency(row, request);
        let class = permitted.and_then(|()| self.check_predicted_wait(now_ms, row, request));
        let charged =
            class.and_then(|class| self.take_rate_tokens(now_ms, row, request).map(|()| class));
        match charged {
            Ok(class) => {
                self.enqueue(now_ms, row, class, request);
                AdmissionDecision::Queued
            }
            Err(decision) => decision,
        }
    }

    fn schedule(&mut self, now_ms: u64, capacity: &mut dyn Capacity) -> Vec<Action> {
        let mut actions = Vec::new();
        self.refuse_expired(now_ms, &mut actions);
        self.start_aged(now_ms, capacity, &mut actions);
        let mut index = 0;
        while index < self.flows.classes() {
            let end = self.flows.group_end(index);
            self.start_class_group(now_ms, index..end, capacity, &mut actions);
            index = end;
        }
        actions
    }

    fn cancel(&mut self, now_ms: u64, id: RequestId) -> bool {
        let Some(key) = self.keys_by_id.get(&id).copied() else {
            return false;
        };
        let queued = self.entries.get(key).is_some_and(|entry| entry.queued);
        queued && self.drop_queued(now_ms, key).is_some()
    }

    fn finished(&mut self, now_ms: u64, id: RequestId, generated_tokens: u64) {
        let Some(key) = self.keys_by_id.remove(&id) else {
            return;
        };
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        let unused = entry.request.max_tokens.saturating_sub(generated_tokens);
        let row = self.rows.get_mut(entry.row);
        row.in_flight = row.in_flight.saturating_sub(1);
        row.token_bucket.refund(unused as f64);
        self.record_response(now_ms, &entry, generated_tokens);
    }

    fn demands(&mut self, now_ms: u64) -> Vec<Demand> {
        self.rows.demands(now_ms)
    }

    fn set_share(&mut self, now_ms: u64, organisation: &str, kind: &str, limits: &Limits) {
        let row = self.rows.find_or_insert(now_ms, organisation, kind);
        self.rows.get_mut(row).set_share(now_ms, limits);
    }
}
