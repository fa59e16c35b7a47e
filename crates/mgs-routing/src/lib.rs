//! Which endpoint serves a request: candidates, predicted time to first token, and the choice.
//!
//! A [`policy::Policy`] is a trait object; the gateway holds one, the baselines beside it are
//! there to be measured against.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod baseline;
pub mod candidate;
pub mod lane;
pub mod marigold;
pub mod outlier;
pub mod outstanding;
pub mod policy;
pub mod predict;
pub mod recent;
pub mod span;
