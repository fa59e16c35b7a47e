//! The state machine of one request: attempts, deadline, retries, resume and outcome.
//!
//! A [`lifecycle::RequestLifecycle`] takes events and returns actions. It reads no clock, opens no
//! socket and starts no thread. The gateway drives it; the tests drive it through every order of a
//! few events.
//!
//! Invariants:
//!
//! - A request has exactly one outcome: answered, refused, failed or unknown.
//! - The outcome is *refused* only if no attempt can have run.
//! - A request that isn't idempotent is retried at another endpoint only after proof that the
//!   previous attempt didn't run and never will.
//! - Once a frame of the response has been delivered to the caller, only the attempt that sent it
//!   may continue the response.
//! - Each request ends by its deadline.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod attempt;
pub mod budget;
pub mod event;
pub mod injected_bug;
pub mod lifecycle;
pub mod outcome;
pub mod reorder;
pub mod span;
