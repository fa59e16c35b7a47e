//! What endpoints ask of those that send them requests (backpressure), and what may be sent to them for it.
//!
//! An endpoint in need says so in its answers, to all gateways that it answers. That is newer than what any store says
//! of it, and belongs to one life of the endpoint.
//!
//! - [`advice`]: what one answer says.
//! - [`share`]: which gateways may use a limit that all of them share.
//! - [`told`]: what gateways tell each other.
//! - [`table`]: what one gateway knows of all endpoints, and whether one may be sent something now.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod advice;
mod limit;
pub mod options;
pub mod share;
pub mod table;
pub mod told;
