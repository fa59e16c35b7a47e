//! The life of one request: attempts, deadline, retries, resume and its one outcome.
//!
//! A [`life::Life`] is told what happened and answers with what is to be done. It reads no clock,
//! opens no socket and starts no thread; the gateway drives it, and so do tests that go through
//! every order of a few events.
//!
//! The rules:
//!
//! - A request has exactly one outcome: answered, refused, failed or unknown.
//! - *Refused* is said only when no attempt can have run.
//! - A request that isn't idempotent is attempted elsewhere only after a proof that the attempt
//!   before it didn't run and never will.
//! - Once a piece of the answer has gone to the caller, only the same attempt may go on with it.
//! - Each request ends by its deadline.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod attempt;
pub mod budget;
pub mod delivery;
pub mod event;
pub mod life;
pub mod outcome;
pub mod plant;
pub mod span;
