//! The command line of marigoldstage: one binary with the serving roles, the operators' commands
//! and a demonstration.
//!
//! Each subcommand is a module of [`command`] with a `command()` that declares it and a `run()`
//! that runs it. [`setting`] reads and checks the settings; beyond that, commands only connect the
//! library crates.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod account;
pub mod command;
#[cfg(feature = "demo")]
pub mod demo;
pub mod error;
pub mod explain;
pub mod operator;
pub mod setting;
pub mod shutdown;
pub mod status;
