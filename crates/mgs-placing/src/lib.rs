//! Which engines read a prompt and which one writes the answer.
//!
//! Decision code: it has no clock, thread, socket or log. A gateway keeps one [`board::Board`] of the
//! work that it and its peers have placed, and asks [`choose::choose`] for each prompt and
//! [`plain::choose`] for each call of a plain service. All times are milliseconds on the gateway's own
//! monotonic clock.
//!
//! The load that this answers is a mix that swings within seconds between many short prompts, whose
//! streams break when an engine pauses to read, and few very long ones, which miss their first token
//! when they are read by one engine alone. So three things are decided at once: over how many engines a
//! prompt is read, which engines keep clear of reading because short streams are being written there,
//! and which streams share an engine.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod board;
pub mod choose;
pub mod crowd;
mod figure;
mod judge;
mod late;
pub mod lengths;
pub mod line;
pub mod model;
pub mod near;
pub mod need;
pub mod options;
pub mod passes;
pub mod plain;
pub mod share;
pub mod spare;
mod split;
pub mod streams;
mod survey;
pub mod turn;
pub mod way;
