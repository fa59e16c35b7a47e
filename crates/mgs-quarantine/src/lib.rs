//! Requests that crash the endpoints that run them (also known as queries of death): identified and
//! held back.
//!
//! Such a request is repeated by its client's retries, at any gateway. Gateways share the crashes
//! that they have seen under a request, and refuse it once it has crashed a few endpoints. Other
//! requests that happened to run on a crashed endpoint, up to a few dozen for each crash, are still
//! accepted.
//!
//! - [`fingerprint`]: identifies repetitions of the same request.
//! - [`record`]: the crashes under one fingerprint, as a set that gateways can merge in any order.
//! - [`table`]: the records of one gateway, and its verdict on a request.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod fingerprint;
pub mod options;
pub mod record;
pub mod table;
