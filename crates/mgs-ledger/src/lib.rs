//! A sidecar's ledger: at-most-once execution, engine memory and the local order of work.
//!
//! [`ledger::Ledger`] takes typed events with the time on the process's monotonic clock and gives
//! typed [`action::Action`]s; it has no clock, thread, socket, log or random source of its own.
//! It is made of parts that stand alone as well:
//!
//! - [`session`]: which gateways are there, and which of their sessions is the newest.
//! - [`record`]: what became of requests that are over, and the tombstones of withdrawn ones.
//! - [`memory`]: one owner and one expiry for each allocation at the engine.
//! - [`queue`]: the local order of work.
//! - [`rate`]: measured rates and the predictions made from them.
//! - [`fence`]: the highest fencing number seen.
//! - [`schedule`]: what starts next, and what is refused early.
//! - [`reconcile`]: the engine's own lists against the ledger.
//! - [`finish`]: what the endpoint did with a request.
//! - [`cache`]: the engine's cache events, with their gaps found.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod action;
pub mod cache;
pub mod fence;
pub mod finish;
pub mod job;
pub mod ledger;
pub mod memory;
pub mod plant;
pub mod queue;
pub mod rate;
pub mod reconcile;
pub mod record;
pub mod schedule;
pub mod session;
mod span;
mod tick;
mod withdraw;
