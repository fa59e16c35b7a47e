//! Limits, queues and fairness: which request may run next, and which is refused early.
//!
//! An [`queue::Admission`] is a trait object behind one lock of the gateway. It is told what
//! happens and answers at once; it reads no clock and starts no thread.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod ageing;
mod answer;
pub mod arena;
pub mod bucket;
pub mod drain;
mod entry;
pub mod fair;
pub mod fifo;
pub mod flows;
pub mod lease;
pub mod queue;
pub mod rows;
