//! First come, first served: the queue that others are measured against.

use std::collections::VecDeque;

use mgs_admission::queue::Action;
use mgs_admission::queue::Admission;
use mgs_admission::queue::Offer;
use mgs_admission::queue::Room;
use mgs_admission::queue::Verdict;
use mgs_schema::key::RequestId;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::RefusalReason;

/// Most requests that wait.
const WAITING_MAX: usize = 10_000;

/// When to come back to a full queue, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// One queue without limits or priorities.
#[derive(Debug, Default)]
pub struct Fifo {
    waiting: VecDeque<Offer>,
}

impl Admission for Fifo {
    fn settings(&mut self, _now_ms: u64, _snapshot: &Snapshot) {}

    fn offer(&mut self, _now_ms: u64, offer: &Offer) -> Verdict {
        if self.waiting.len() >= WAITING_MAX {
            return Verdict::Refused {
                reason: RefusalReason::QueueFull,
                retry_after_ms: RETRY_AFTER_MS,
            };
        }
        self.waiting.push_back(offer.clone());
        Verdict::Queued
    }

    fn next(&mut self, now_ms: u64, room: &mut dyn Room) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(offer) = self.waiting.front() {
            let id = offer.id;
            if offer.deadline_ms <= now_ms {
                actions.push(Action::Refuse {
                    id,
                    reason: RefusalReason::Deadline,
                    retry_after_ms: RETRY_AFTER_MS,
                });
            } else if room.first_token_ms(offer).is_some() {
                room.taken(offer);
                actions.push(Action::Start(id));
            } else {
                break;
            }
            self.waiting.pop_front();
        }
        actions
    }

    fn cancel(&mut self, _now_ms: u64, id: RequestId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|offer| offer.id != id);
        self.waiting.len() != before
    }

    fn finished(&mut self, _now_ms: u64, _id: RequestId, _generated_tokens: u64) {}
}
