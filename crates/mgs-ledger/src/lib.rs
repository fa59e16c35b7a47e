//! The request state of one sidecar: at-most-once execution, engine memory accounting and
//! scheduling.
//!
//! [`ledger::Ledger`] is a sans-I/O state machine. Its methods take typed events with the time on
//! the process's monotonic clock, and it returns typed [`action::Action`]s; it has no clock,
//! thread, socket, log or random source of its own. These parts can also be used independently:
//!
//! - [`session`]: connected gateways and the newest session of each.
//! - [`record`]: final states of requests, and tombstones of withdrawn ones.
//! - [`memory`]: engine memory allocations, each with one owner and one expiry.
//! - [`queue`]: scheduling order of waiting requests.
//! - [`rate`]: measured engine rates and the predictions made from them.
//! - [`fence`]: the highest fencing number seen.
//! - [`cache`]: an index of the engine's prefix cache, kept from its event stream.
//!
//! These modules hold types and methods of the ledger:
//!
//! - [`schedule`]: choice of the next request to start, and early refusal.
//! - [`reconcile`]: comparison of the engine's lists with the ledger.
//! - [`execution`]: events that report how the endpoint executed a request.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod action;
pub mod cache;
pub mod execution;
pub mod fault;
pub mod fence;
pub mod job;
pub mod ledger;
pub mod memory;
pub mod queue;
pub mod rate;
pub mod reconcile;
pub mod record;
pub mod schedule;
pub mod session;
mod span;
mod tick;
mod withdraw;
