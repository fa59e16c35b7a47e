//! The schema of messages and settings, the types generated from it, and their codec.
//!
//! The schema is `proto/*.proto`. The types in [`wire`] and [`settings`] are generated from it and
//! committed; `MGS_REGENERATE=1 cargo test -p mgs-schema` writes them anew, and without the
//! variable the same test finds any difference. [`codec`] turns an [`wire::Envelope`] into bytes
//! and back. [`key`] holds the small `Copy` keys that the rest of the workspace shares, and
//! [`prefix`] the hashes of a prompt's blocks.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod codec;
mod hot;
pub mod key;
pub mod name;
pub mod prefix;

/// Settings, generated from `proto/settings.proto`.
#[allow(clippy::all, unreachable_pub)]
#[rustfmt::skip]
#[path = "generated/mgs.settings.rs"]
pub mod settings;

/// Messages, generated from `proto/wire.proto`.
#[allow(clippy::all, unreachable_pub)]
#[rustfmt::skip]
#[path = "generated/mgs.wire.rs"]
pub mod wire;
