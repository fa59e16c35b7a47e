//! The [`Admission`] interface between a gateway and its queue implementations.

use mgs_schema::key::RequestId;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::RefusalReason;

use crate::fair::FairQueue;
use crate::fifo::Fifo;
use crate::lease::Limits;

/// A request submitted for admission.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Request identifier.
    pub id: RequestId,
    /// Organisation that sent the request.
    pub organisation: String,
    /// Kind of request, which selects the row of limits.
    pub kind: String,
    /// Name of the model or service.
    pub model: String,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Arrival time on the process's monotonic clock, in milliseconds.
    pub arrived_ms: u64,
    /// Deadline of the request on the same clock, in milliseconds.
    pub deadline_ms: u64,
}

/// Immediate result of [`Admission::submit`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is queued; [`Admission::schedule`] later returns an [`Action`] for it.
    Queued,
    /// The request is refused.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which to retry, in milliseconds; 0 if unknown.
        retry_after_ms: u64,
    },
}

/// What the gateway does with a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Dispatch the request now.
    Start(RequestId),
    /// Refuse the request now.
    Refuse {
        /// Identifier of the request.
        id: RequestId,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which to retry, in milliseconds; 0 if unknown.
        retry_after_ms: u64,
    },
}

/// Free capacity of the fleet, queried while queued requests are scheduled.
pub trait Capacity {
    /// Predicted time to first token if the request were dispatched now, in milliseconds; `None`
    /// if no endpoint should take it now.
    fn first_token_ms(&self, request: &AdmissionRequest) -> Option<u64>;

    /// Reserves capacity for a started request; later predictions take it into account.
    fn reserve(&mut self, request: &AdmissionRequest);
}

/// Limits and queues requests, and decides when each of them starts.
pub trait Admission: Send {
    /// Replaces the settings.
    fn apply_settings(&mut self, now_ms: u64, snapshot: &Snapshot);

    /// Queues or refuses a request.
    fn submit(&mut self, now_ms: u64, request: &AdmissionRequest) -> AdmissionDecision;

    /// Starts or refuses queued requests. The gateway calls it after each change and on a timer.
    fn schedule(&mut self, now_ms: u64, capacity: &mut dyn Capacity) -> Vec<Action>;

    /// Removes a queued request; returns whether it was still queued.
    fn cancel(&mut self, now_ms: u64, id: RequestId) -> bool;

    /// Records the end of a started request and the number of tokens that it generated.
    fn finished(&mut self, now_ms: u64, id: RequestId, generated_tokens: u64);

    /// Returns the demand of each active row with limits, for which the gateway requests a lease.
    ///
    /// The rates are averages since the previous call. A queue without limits has no demand.
    fn demands(&mut self, _now_ms: u64) -> Vec<Demand> {
        Vec::new()
    }

    /// Sets the share of a row's limits that this gateway may admit.
    ///
    /// New settings can replace a row's limits, so the gateway calls this after each
    /// [`Admission::apply_settings`] and whenever the share changes.
    fn set_share(&mut self, _now_ms: u64, _organisation: &str, _kind: &str, _limits: &Limits) {}
}

/// Demand of an active row with limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Organisation of the row.
    pub organisation: String,
    /// Kind of request; `*` for all kinds without a row of their own.
    pub kind: String,
    /// Configured limits of the row, across all gateways.
    pub limits: Limits,
    /// Requests submitted per second, including refused ones.
    pub requests_per_s: f64,
    /// Tokens submitted per second: prompt tokens and maximum generated tokens.
    pub tokens_per_s: f64,
    /// Requests admitted and not yet ended.
    pub in_flight: u32,
}

/// Queue names that [`by_name`] accepts; the first one is the default.
pub const NAMES: [&str; 2] = ["fair", "fifo"];

/// Creates an empty queue by its name; `None` if the name is unknown.
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
