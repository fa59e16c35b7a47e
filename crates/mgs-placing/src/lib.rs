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

pub mod choose;
pub mod concurrent_choices;
pub mod dispatch;
mod engine_state;
mod evaluation;
mod late_prompt;
pub mod length_counts;
pub mod load_table;
pub mod model;
pub mod need;
pub mod options;
pub mod pass_timeline;
pub mod peer_message;
pub mod placement;
pub mod plain;
pub mod queue_order;
mod setting_text;
pub mod spare_slots;
mod split_memory;
pub mod stream_group;
pub mod zone;
