//! Queue of waiting requests, ordered by priority with ageing, then urgency, then fairness between
//! organisations.
//!
//! The level of a request starts at its priority and falls to 0 in proportion to the remaining
//! share of its time budget, so that requests of low priority aren't starved. Level 0 is served
//! first. Within a level, requests close to their deadline go first, in order of deadline. The
//! others follow start-time fair queueing by token cost and weight.

use std::collections::BTreeMap;

use mgs_schema::key::RequestId;

use crate::job::Job;
use crate::job::OrganisationKey;
use crate::job::Sender;

/// Cost of one prefill token in virtual time for an organisation of weight 1.
const COST_SCALE: u64 = 1_000;

/// Cost of one generated token, in prefill tokens.
const GENERATED_TOKEN_COST: u64 = 8;

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Waiting {
    /// The request.
    pub job: Job,
    /// When it arrived.
    pub arrived_ms: u64,
    /// When its time budget ends.
    pub deadline_ms: u64,
    /// Number of starts that bypassed it because it didn't fit into free memory.
    pub bypassed: u32,
    /// Virtual start time in fair queueing.
    start_tag: u64,
}

impl Waiting {
    /// Creates an entry for a request that arrived now, without a place in the fair order.
    pub(crate) fn new(now_ms: u64, job: Job) -> Self {
        Self {
            job,
            arrived_ms: now_ms,
            deadline_ms: now_ms.saturating_add(job.budget_ms),
            bypassed: 0,
            start_tag: 0,
        }
    }

    /// Its current level: its priority, reduced by ageing.
    pub fn level(&self, now_ms: u64) -> u32 {
        let allotted = self.deadline_ms.saturating_sub(self.arrived_ms).max(1);
        let left = self.deadline_ms.saturating_sub(now_ms).min(allotted);
        let level = u128::from(self.job.priority) * u128::from(left) / u128::from(allotted);
        u32::try_from(level).unwrap_or(self.job.priority)
    }
}

/// The waiting requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Queue {
    waiting: Vec<Waiting>,
    /// Virtual finish time of the last request of each organisation.
    finish_tags: BTreeMap<OrganisationKey, u64>,
    /// Highest virtual start time among the requests started.
    virtual_time: u64,
}

impl Queue {
    /// Adds a request, with its virtual start time after the earlier requests of its organisation.
    ///
    /// ```
    /// use mgs_ledger::queue::Queue;
    ///
    /// let queue = Queue::default();
    /// assert!(queue.start_order(0, 500).is_empty());
    /// ```
    pub fn push(&mut self, now_ms: u64, job: Job) {
        let finished = self.finish_tags.get(&job.organisation).copied();
        let start_tag = finished.unwrap_or(0).max(self.virtual_time);
        let generated = job.max_tokens.saturating_mul(GENERATED_TOKEN_COST);
        let cost = job.prefill_tokens().saturating_add(generated);
        let cost = cost.saturating_mul(COST_SCALE) / u64::from(job.weight.max(1));
        self.finish_tags
            .insert(job.organisation, start_tag.saturating_add(cost));
        self.waiting.push(Waiting {
            start_tag,
            ..Waiting::new(now_ms, job)
        });
    }

    /// Removes a request without starting it.
    pub fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        let index = self.waiting.iter().position(|w| w.job.id == id)?;
        let removed = self.waiting.swap_remove(index);
        if self.waiting.is_empty() {
            self.finish_tags.clear();
            self.virtual_time = 0;
        }
        Some(removed)
    }

    /// Removes a request that starts, and counts the start for the `bypassed` requests, which
    /// precede it but didn't fit.
    pub fn start(&mut self, id: RequestId, bypassed: &[RequestId]) -> Option<Waiting> {
        let index = self.waiting.iter().position(|w| w.job.id == id)?;
        self.virtual_time = self.virtual_time.max(self.waiting[index].start_tag);
        for waiting in &mut self.waiting {
            if bypassed.contains(&waiting.job.id) {
                waiting.bypassed += 1;
            }
        }
        let virtual_time = self.virtual_time;
        self.finish_tags.retain(|_, tag| *tag > virtual_time);
        self.remove(id)
    }

    /// Puts back a request that is proved not to have started, with its place in the fair order.
    pub fn requeue(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
    }

    /// Sets the gateway session that owns a request.
    pub(crate) fn set_sender(&mut self, id: RequestId, sender: &Sender) {
        for waiting in self.waiting.iter_mut().filter(|w| w.job.id == id) {
            waiting.job.sender = *sender;
        }
    }

    /// Returns the requests in the order in which they should start. A request with at most
    /// `urgent_ms` left to its deadline precedes the others of its level.
    pub fn start_order(&self, now_ms: u64, urgent_ms: u64) -> Vec<Waiting> {
        let mut order = self.waiting.clone();
        order.sort_by_key(|waiting| {
            let urgent = waiting.deadline_ms <= now_ms.saturating_add(urgent_ms);
            let deadline_ms = if urgent {
                waiting.deadline_ms
            } else {
                u64::MAX
            };
            let level = waiting.level(now_ms);
            (
                level,
                deadline_ms,
                waiting.start_tag,
                waiting.arrived_ms,
                waiting.job.id,
            )
        });
        order
    }

    /// Iterates over the waiting requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.waiting.iter()
    }

    /// Whether a request waits.
    pub fn contains(&self, id: RequestId) -> bool {
        self.waiting.iter().any(|waiting| waiting.job.id == id)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
