//! The event-driven path of a request: from a client's connection to an endpoint's and back.
//!
//! Entry hosts may have a tenth of a core, so one thread carries all open requests, and nothing on it
//! waits for anything but sockets and timers. What a request looks like on the wire, at either end, is
//! the matter of a [`dialect::Dialect`]; where the routes and the fleet come from is the matter of whoever
//! fills [`view::Published`]. Which endpoint is right is decided by `mgs-placing`.
//!
//! What this crate keeps to:
//!
//! - Each request gets its final answer by the earlier of its deadline and its route's timeout.
//! - *Not run* is said only if no endpoint can have run it.
//! - A request that isn't idempotent is sent again only after a proof that it didn't run.
//! - An answer is passed on only if it is the endpoint's own and whole; one that breaks off looks broken.
//! - A client that leaves takes its work at the endpoints with it.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod advice;
mod answer;
mod attempt;
mod bad_rows;
mod broadcast;
pub mod budget;
mod calls;
mod client;
pub mod connect;
mod core;
mod crash;
mod crash_gossip;
pub mod dialect;
mod dispatch_outcome;
pub mod drain;
mod event;
mod fault;
pub mod follow;
pub mod freshness;
pub mod gateway_count;
mod gather;
mod grant;
mod help;
pub mod helpers;
pub mod holds;
pub mod membership;
mod memory;
pub mod metrics;
mod peer_snapshot;
mod peers;
mod place;
mod place_log;
mod progress;
mod pursue;
mod quarantine;
mod readiness;
pub mod relay;
mod serve;
pub mod source;
mod stream;
mod traffic;
pub mod view;
mod wait;
