//! The sidecar role: the one process that calls its endpoint.
//!
//! [`sidecar::Sidecar`] serves gateways over `mgs-transport` and drives its endpoint: a model
//! engine through [`mgs_engine::engine::Engine`], or a plain service over HTTP. What to do is
//! decided by [`mgs_ledger::ledger::Ledger`]; this crate owns the threads, and obeys:
//!
//! | thread | does |
//! |---|---|
//! | transport | takes messages, asks the ledger, never blocks |
//! | timer | tells the ledger the time, sends load reports |
//! | stream, one per running request | reads the endpoint's answer |
//! | caller, two | cancels, frees and gives orders at the engine |
//! | watcher | sees whether the endpoint is there, reads its lists and cache events |
//! | platform | keeps the sidecar's row, looks whether the host is leaving |
//!
//! Each request has an [`answer::Answer`] that keeps its frames, so that a gateway whose connection
//! broke reads on from the frame that it wants.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod answer;
mod caller;
mod handler;
mod member;
mod metrics;
mod order;
mod report;
pub mod service;
pub mod sidecar;
mod span;
mod state;
mod stream;
mod watcher;
