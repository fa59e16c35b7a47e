//! What outlives a gateway: idempotency keys and durable requests, kept in the platform's store.
//!
//! A request with an `Idempotency-Key`, or one with `Prefer: respond-async`, has an [`entry`] in
//! the table service that any gateway can find. One gateway holds the entry at a time; each of its
//! writes is conditional on the version that it saw last, so a holder that was paused and replaced
//! writes nothing more.
//!
//! Decisions are free of I/O: [`pursuit`] says what a gateway does next with an entry, [`batch`]
//! groups conditional writes into transactions and settles lost replies, [`lease`] judges by the
//! observer's own clock which gateways are gone, [`clock`] keeps a time that all gateways share,
//! and [`shard`] shares out the scanning. The threads that drive them are in [`grouper`], `keeper`,
//! `worker`, [`run`] and [`tenure`]; [`durable::Durable`] is the facade for the gateway, which lends
//! its own means by [`executor::Executor`].

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod batch;
pub mod claim;
pub mod clock;
mod core;
pub mod durable;
pub mod entry;
pub mod executor;
pub mod grouper;
mod keeper;
pub mod lease;
pub mod metrics;
pub mod pursuit;
pub mod request;
pub mod run;
pub mod shard;
pub mod tenure;
mod worker;
