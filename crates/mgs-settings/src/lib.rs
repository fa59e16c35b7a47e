//! The operators' table: rows, checks, edits, versions and the snapshot every process serves from.

#![deny(missing_docs)]
#![forbid(unsafe_code)]
