//! Streams of messages between the system's own processes, over h2 and bincode.
//!
//! A process calls another with one message and reads any number of messages back; each call is
//! one h2 stream. The asynchronous runtime that h2 needs stays inside this crate: callers block
//! on a [`client::Call`], servers answer through a [`server::Reply`] that never blocks.
//!
//! Connections are judged one by one. Each is pinged on a timer; one that stays silent for longer
//! than its limit is given up at once, without waiting for TCP, and its calls end with
//! [`client::Error::Silent`], so that their owners can go on over a new connection.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod activity;
pub mod client;
mod frame;
pub mod pool;
pub mod runtime;
pub mod server;
