//! A single first-in, first-out queue for all requests, used as a baseline.

use std::collections::HashSet;
use std::collections::VecDeque;

use mgs_schema::key::RequestId;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::RefusalReason;

use crate::queue::Action;
use crate::queue::Admission;
use crate::queue::AdmissionDecision;
use crate::queue::AdmissionRequest;
use crate::queue::Capacity;

/// Maximum number of queued requests.
const QUEUE_MAX: usize = 10_000;

/// Time after which a refused request should be retried, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// A queue without limits or fairness; its first request blocks the others until it can start.
#[derive(Debug, Default)]
pub struct Fifo {
    queue: VecDeque<AdmissionRequest>,
    queued: HashSet<RequestId>,
}

impl Admission for Fifo {
    fn apply_settings(&mut self, _now_ms: u64, _snapshot: &Snapshot) {}

    fn submit(&mut self, _now_ms: u64, request: &AdmissionRequest) -> AdmissionDecision {
        if self.queue.len() >= QUEUE_MAX {
            return AdmissionDecision::Refused {
                reason: RefusalReason::QueueFull,
                retry_after_ms: RETRY_AFTER_MS,
            };
        }
        self.queued.insert(request.id);
        self.queue.push_back(request.clone());
        AdmissionDecision::Queued
    }

    fn schedule(&mut self, now_ms: u64, capacity: &mut dyn Capacity) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(request) = self.queue.front() {
            let is_queued = self.queued.contains(&request.id);
            let is_expired = request.deadline_ms <= now_ms;
            if is_queued && !is_expired && capacity.first_token_ms(request).is_none() {
                break;
            }
            if is_queued && !is_expired {
                capacity.reserve(request);
                actions.push(Action::Start(request.id));
            } else if is_queued {
                actions.push(Action::Refuse {
                    id: request.id,
                    reason: RefusalReason::Deadline,
                    retry_after_ms: RETRY_AFTER_MS,
                });
            }
            self.queued.remove(&request.id);
            self.queue.pop_front();
        }
        actions
    }

    fn cancel(&mut self, _now_ms: u64, id: RequestId) -> bool {
        self.queued.remove(&id)
    }

    fn finished(&mut self, _now_ms: u64, _id: RequestId, _generated_tokens: u64) {}
}
