//! What a gateway knows of the fleet: endpoints, their load, health and cached prefixes.
//!
//! A [`Fleet`] is the one writer; it is fed settings, load reports and lost connections and gives
//! immutable [`view::View`]s that request threads read without a lock.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod view;
