//! One queue for all, first in, first out: the baseline.

use std::collections::HashSet;
use std::collections::VecDeque;

use mgs_schema::key::RequestId;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::RefusalReason;

use crate::queue::Action;
use crate::queue::Admission;
use crate::queue::Offer;
use crate::queue::Room;
use crate::queue::Verdict;

/// Most queued requests.
const QUEUE_MAX: usize = 10_000;

/// When to come back to a full queue, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The baseline: no limits, no fairness, the head of the queue waits for room.
#[derive(Debug, Default)]
pub struct Fifo {
    queue: VecDeque<Offer>,
    queued: HashSet<RequestId>,
}

impl Admission for Fifo {
    fn settings(&mut self, _now_ms: u64, _snapshot: &Snapshot) {}

    fn offer(&mut self, _now_ms: u64, offer: &Offer) -> Verdict {
        if self.queue.len() >= QUEUE_MAX {
            return Verdict::Refused {
                reason: RefusalReason::QueueFull,
                retry_after_ms: RETRY_AFTER_MS,
            };
        }
        self.queued.insert(offer.id);
        self.queue.push_back(offer.clone());
        Verdict::Queued
    }

    fn next(&mut self, now_ms: u64, room: &mut dyn Room) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(offer) = self.queue.front() {
            let wanted = self.queued.contains(&offer.id);
            let late = offer.deadline_ms <= now_ms;
            if wanted && !late && room.first_token_ms(offer).is_none() {
                break;
            }
            if wanted && !late {
                room.taken(offer);
                actions.push(Action::Start(offer.id));
            } else if wanted {
                actions.push(Action::Refuse {
                    id: offer.id,
                    reason: RefusalReason::Deadline,
                    retry_after_ms: RETRY_AFTER_MS,
                });
            }
            self.queued.remove(&offer.id);
            self.queue.pop_front();
        }
        actions
    }

    fn cancel(&mut self, _now_ms: u64, id: RequestId) -> bool {
        self.queued.remove(&id)
    }

    fn finished(&mut self, _now_ms: u64, _id: RequestId, _generated_tokens: u64) {}
}
