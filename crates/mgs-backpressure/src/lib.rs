//! What endpoints ask of those that send them requests (backpressure), and what may be sent to them for it.
//!
//! An endpoint in need says so in its answers, to all gateways that it answers. That is newer than what any store says
//! of it, and belongs to one life of the endpoint.
//!
//! - [`advice`]: what one answer says.
//! - [`limit`]: a rate that all gateways together must keep to, at one of them.
//! - [`share`]: how gateways share it without talking about it.
//! - [`table`]: what one gateway knows of all endpoints, and whether one may be sent something now.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod advice;
pub mod limit;
pub mod options;
pub mod share;
pub mod table;
