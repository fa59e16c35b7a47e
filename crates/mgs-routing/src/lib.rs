//! Request routing: lists candidate endpoints, predicts their time to first token and chooses one.
//!
//! A gateway holds one [`policy::Policy`] as a trait object. [`marigold::Marigold`] is the default;
//! the policies in [`baseline`] exist for comparison in benchmarks and load tests.

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
