//! The platform's services as trait objects, and a client for them over HTTP.
//!
//! What the system must agree on or keep lives in four services that the platform runs:
//! a transactional [`table`] service, an [`object`] store, a rate-limited [`weight`] store and a
//! lagging list of [`host`]s. Each is a trait here, so that decisions and tests meet a fake while
//! the binary meets [`http::Client`], which implements all four.
//!
//! The one thing that each caller must mind is [`Error`]: `Unavailable` says that nothing
//! happened, `Unknown` that a write may have taken effect although its answer was lost.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod host;
pub mod http;
pub mod object;
pub mod table;
pub mod weight;

use displaydoc::Display;

/// Why a call of the platform has no result.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the platform can't be reached; nothing happened: {0}
    Unavailable(String),
    /// the answer was lost; a write may have taken effect: {0}
    Unknown(String),
    /// the platform asks to come back in {retry_after_ms} ms
    Throttled {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// the platform refuses the call: {0}
    Rejected(String),
}

impl std::error::Error for Error {}
