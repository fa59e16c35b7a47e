//! The `load` command: a whole deployment in one process, offered a fixed load under several
//! policies, and measured as callers see it.
//!
//! Gateways, sidecars and stand-in engines are the real ones, with sockets on loopback. Arrivals
//! are open-loop with a fixed seed, and times run from the intended arrival, so that a caller that
//! is held up hides nothing. All times told are the model's: the engines run faster by
//! [`scenario::Options::time_scale`], and what is measured is multiplied by it.

pub mod call;
pub mod cluster;
pub mod figures;
pub mod plot;
pub mod report;
pub mod run;
pub mod scenario;
pub mod workload;
