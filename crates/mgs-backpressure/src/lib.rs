//! Backpressure from endpoints: the limits that endpoints announce in their responses, and how
//! gateways apply them.
//!
//! An endpoint under load reports it in its responses, to every gateway that it answers. These
//! reports are newer than what the store holds about the endpoint, and apply to one incarnation of
//! it.
//!
//! - [`advice`]: the backpressure fields of one response.
//! - [`share`]: how gateways divide a limit that applies to all of them together.
//! - [`peer_update`]: what gateways exchange about limits.
//! - [`warm_up`]: how many requests may be sent to an endpoint that has just started.
//! - [`first_answers`]: which endpoints are preferred while the limits of others aren't known.
//! - [`table`]: the state of all endpoints at one gateway, and whether a request may be sent now.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod advice;
pub mod first_answers;
mod limit;
pub mod options;
pub mod peer_update;
pub mod share;
pub mod table;
pub mod warm_up;
