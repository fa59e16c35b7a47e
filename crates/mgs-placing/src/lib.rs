//! Placement of work on inference engines: which engines prefill a prompt and which one decodes its
//! answer.
//!
//! This crate makes decisions only; it has no clock, thread, socket or log. A gateway keeps one
//! [`load_table::LoadTable`] with the work placed by itself and its peers. For each prompt it calls
//! [`zone::place_prompt`], which evaluates placements with [`choose::choose_engines`], and then
//! [`dispatch::decide`] to learn whether to send the prompt now. For each call to a plain service
//! (short calls, no token stream) it calls [`plain::choose_endpoint`]. All times are milliseconds
//! on the gateway's own monotonic clock.
//!
//! The load shifts within seconds between many short prompts, whose streams stall when an engine
//! interrupts decoding for prefill, and a few very long prompts, which miss their first-token
//! target when a single engine prefills them. Three decisions are therefore made together: how many
//! engines prefill a prompt, which engines are kept free of prefill because short streams are
//! decoded there, and which streams share an engine.
//!
//! # Terms
//!
//! - Prefill is the processing of a prompt, decode the generation of its answer. Names on the wire
//!   and in the settings say "read" and "write" for them, "place" for a slot and "aim" for the
//!   first-token target.
//! - The lead engine receives the request and decodes the answer. Helpers prefill one part of the
//!   prompt each and pass the result to the lead.
//! - A pass is one iteration of an engine; see [`model::EngineModel`].
//! - A prompt is long if one engine alone would miss its first-token target ([`choose::is_long`]),
//!   else short. A stream is tight if decoding takes so much of the time until its deadline that
//!   prefill beside it matters ([`stream_group::StreamGroup::is_tight`]).
//! - Worth is the value of answering a request on time, in units; the operator's usual request is
//!   worth one unit ([`need::Need::worth_units`]). Loss and harm are worth that a placement is
//!   expected to cost its own prompt or others.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod choose;
pub mod concurrent_choices;
pub mod dispatch;
pub mod engine_speed;
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
pub mod process_pauses;
pub mod queue_demand;
pub mod queue_order;
pub mod refusal_at_arrival;
mod setting_text;
pub mod spare_slots;
mod split_memory;
pub mod stream_group;
pub mod zone;
