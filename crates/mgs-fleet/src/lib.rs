//! What a gateway knows of the fleet: endpoints, their load, health and cached prefixes.
//!
//! A [`fleet::Fleet`] is the one writer; it is fed settings, load reports and lost connections and gives
//! immutable [`view::View`]s that request threads read without a lock.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod block;
pub mod cache;
pub mod fleet;
pub mod subset;
pub mod view;
