//! Requests that crash the endpoints that run them (also known as queries of death): identified and
//! held back.
//!
//! Such a request is repeated by its client's retries, at any gateway. Gateways share the crashes
//! that they have seen under a request, and refuse it once it has crashed a few endpoints. Other
//! requests that happened to run on a crashed endpoint, up to a few dozen for each crash, are still
//! accepted.
//!
//! What crashes an endpoint may also be a part of the prompt that many requests share, none of them
//! sent twice. Crashes are kept under the parts of a prompt as well, in the same table. Each request
//! has several parts, so [`blame`] says which of the keys with the same crashes is the cause.
//!
//! - [`fingerprint`]: identifies repetitions of the same request, and parts of prompts.
//! - [`record`]: the crashes under one fingerprint, as a set that gateways can merge in any order.
//! - [`blame`]: orders the keys under which the same endpoints crashed.
//! - [`begun`]: parts of prompts on which runs have begun to write.
//! - [`table`]: the records of one gateway.
//! - [`verdict`]: whether requests with a key may be dispatched.
//! - [`shared`]: records as they are sent to peers and stored.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod begun;
pub mod blame;
pub mod completed;
pub mod fingerprint;
pub mod options;
pub mod record;
pub mod shared;
pub mod table;
mod times;
pub mod verdict;
