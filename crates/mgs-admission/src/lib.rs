//! Admission control: rate and concurrency limits, fair queueing and early refusal.
//!
//! The gateway holds one [`queue::Admission`] trait object behind a lock. Its methods return
//! without blocking, take the current time as a parameter and start no threads.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod ageing;
pub mod arena;
pub mod bucket;
pub mod demand_shares;
pub mod drain;
mod entry;
pub mod fair;
pub mod fifo;
pub mod flows;
pub mod lease;
pub mod queue;
mod response;
pub mod rows;
