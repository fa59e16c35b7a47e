//! The gateway role: callers' HTTP, queues, dispatch and answers.
//!
//! [`gateway::Gateway`] wires the decision crates to sockets and threads. A caller's request is
//! read and checked by [`http`], waits in the queue (`hub`), and is then driven by its own thread
//! (`drive`) through a [`mgs_request::lifecycle::RequestLifecycle`] over the sessions with sidecars
//! (`session`).

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod core;
mod drive;
pub mod duty;
pub mod gateway;
pub mod http;
mod hub;
pub mod job;
mod keeper;
mod lent;
pub mod listen;
pub mod metrics;
pub mod pace;
mod parting;
mod peer;
mod room;
mod run;
mod session;
mod span;
mod workers;
