//! The border between a gateway and the way it queues.

use mgs_schema::key::RequestId;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::RefusalReason;

use crate::fair::FairQueue;
use crate::fifo::Fifo;
use crate::lease::Limits;

/// A request that asks to be admitted.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Its identifier.
    pub id: RequestId,
    /// Organisation.
    pub organisation: String,
    /// Kind of request.
    pub kind: String,
    /// Model or name of the service.
    pub model: String,
    /// Prompt length.
    pub prompt_tokens: u64,
    /// Longest answer.
    pub max_tokens: u64,
    /// When it arrived, on the process's monotonic clock, in milliseconds.
    pub arrived_ms: u64,
    /// When its allotted time ends, on the same clock.
    pub deadline_ms: u64,
}

/// Answer to an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It waits; an [`Action`] will follow.
    Queued,
    /// It is refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds; 0 if unknown.
        retry_after_ms: u64,
    },
}

/// What is to be done with a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Dispatch it now.
    Start(RequestId),
    /// Refuse it now.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds; 0 if unknown.
        retry_after_ms: u64,
    },
}

/// What the fleet can take, asked while requests are chosen.
pub trait Room {
    /// Predicted time to first token if the offer were dispatched now, in milliseconds; `None`
    /// if no endpoint should take it now.
    fn first_token_ms(&self, offer: &Offer) -> Option<u64>;

    /// Notes that the offer takes its room, before the next question.
    fn taken(&mut self, offer: &Offer);
}

/// Limits and queues.
pub trait Admission: Send {
    /// Takes new settings.
    fn settings(&mut self, now_ms: u64, snapshot: &Snapshot);

    /// Admits or refuses a request.
    fn offer(&mut self, now_ms: u64, offer: &Offer) -> Verdict;

    /// Chooses what to do next with queued requests; called whenever something changed and on a
    /// timer.
    fn next(&mut self, now_ms: u64, room: &mut dyn Room) -> Vec<Action>;

    /// A queued request is no longer wanted; returns whether it was still queued.
    fn cancel(&mut self, now_ms: u64, id: RequestId) -> bool;

    /// A started request has ended.
    fn finished(&mut self, now_ms: u64, id: RequestId, generated_tokens: u64);

    /// What each limited row in use wants now, to ask its home for a share. Each call tells the
    /// rates since the one before it. A queue without limits wants nothing.
    fn demands(&mut self, _now_ms: u64) -> Vec<Demand> {
        Vec::new()
    }

    /// Sets what this gateway may admit of a row's limits from now on; limits change with the
    /// settings, so it is set again after each new settings and whenever a share changes.
    fn set_share(&mut self, _now_ms: u64, _organisation: &str, _kind: &str, _limits: &Limits) {}
}

/// What a limited row in use wants.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Organisation.
    pub organisation: String,
    /// Kind of request, `*` for all without a row of their own.
    pub kind: String,
    /// The whole limits, of which a share is wanted.
    pub limits: Limits,
    /// Requests offered per second.
    pub requests_per_s: f64,
    /// Tokens offered per second.
    pub tokens_per_s: f64,
    /// Requests in flight.
    pub in_flight: u32,
}

/// Names that [`by_name`] knows; the first is the product's own.
pub const NAMES: [&str; 2] = ["fair", "fifo"];

/// A fresh queue of a name.
///
/// ```
/// assert!(mgs_admission::queue::by_name("fair").is_some());
/// assert!(mgs_admission::queue::by_name("other").is_none());
/// ```
pub fn by_name(name: &str) -> Option<Box<dyn Admission>> {
    match name {
        "fair" => Some(Box::new(FairQueue::default())),
        "fifo" => Some(Box::new(Fifo::default())),
        _ => None,
    }
}
