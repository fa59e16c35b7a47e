//! Requests that crash whatever endpoint runs them ("queries of death"): told from their neighbours, and held.
//!
//! Such a request comes again, by its client's retries, at any gateway. Gateways share what they have seen of its crashes,
//! and refuse it once it has crashed a few endpoints. What only happened to run there, up to a few dozen
//! requests for each crash, goes on as before.
//!
//! - [`key`]: which requests are one and the same work.
//! - [`record`]: the crashes under one work, as a set that gateways can merge in any order.
//! - [`table`]: all that one gateway knows, and its verdict on a request.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod key;
pub mod options;
pub mod record;
pub mod table;
