//! Event-driven request path: from a client's connection to an endpoint's and back.
//!
//! Entry hosts may have a tenth of a core, so a single thread carries all open requests and blocks
//! on nothing but sockets and timers. The wire format at either end is defined by a
//! [`dialect::Dialect`]. Routes and the fleet are supplied by whoever fills [`view::Published`].
//! `mgs-placing` decides which endpoint gets a request.
//!
//! Invariants of this crate:
//!
//! - Each request gets its final response by the earlier of its deadline and its route's timeout.
//! - *Not run* is reported only if no endpoint can have run the request.
//! - A request that isn't idempotent is sent again only after proof that it didn't run.
//! - A response is forwarded only if it is the endpoint's own and complete; one that breaks off
//!   reaches the client visibly broken.
//! - When a client disconnects, its work at the endpoints is cancelled.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod advice;
mod arrival_refusal;
mod attached_bytes;
mod attempt;
mod bad_rows;
mod broadcast;
pub mod budget;
mod client;
mod client_connection;
mod client_response;
mod confinement;
pub mod connection;
mod core;
mod crash_gossip;
mod crash_keys;
mod delivery;
pub mod dialect;
mod dispatch_outcome;
mod dispatcher;
pub mod drain;
pub mod endpoint_list;
mod engine_speeds;
pub mod evacuation;
mod evacuation_gossip;
pub mod evacuation_state;
mod event_splitter;
mod fault;
mod first_answers;
pub mod follow;
pub mod freshness;
pub mod gateway_count;
pub mod held_bytes;
pub mod helper_refusals;
pub mod holds;
pub mod link_use;
mod load_guard;
mod lost_run;
pub mod membership;
pub mod message_schedule;
pub mod metrics;
mod organisation_shares;
pub mod outage;
mod peer_fallback;
mod peer_snapshot;
mod peers;
mod place;
mod place_log;
mod progress;
mod quarantine;
pub mod read_allowance;
mod read_pause;
mod readiness;
pub mod relay;
pub mod replacement;
mod request_body;
mod reservations;
mod serve;
pub mod snapshot_search;
pub mod source;
mod store_calls;
mod stream;
mod traffic;
pub mod view;
mod wait;
pub mod warm_up;
