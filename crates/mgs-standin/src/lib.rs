//! Stand-ins for a model engine, a plain service and the platform, as threads or processes.
//!
//! Each one is started on a loopback port with `start(Options)` and stops when it is dropped. The
//! handle reaches the stand-in's faults and counters from a test; the same are reached over HTTP
//! when the stand-in is a process of its own.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod engine;
mod gate;
mod http;
pub mod platform;
pub mod service;
