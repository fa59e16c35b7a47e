//! What a process knows of the fleet: endpoints with their load, state and cached prefixes.
//!
//! A [`fleet::Fleet`] is the mutable state, owned by a single writer. It is updated from settings,
//! load reports and lost connections, and publishes immutable [`view::View`]s that request threads
//! read without a lock.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod block;
pub mod cache;
pub mod fleet;
pub mod subset;
pub mod view;
