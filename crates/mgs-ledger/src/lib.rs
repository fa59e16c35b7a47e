//! A sidecar's ledger: at-most-once execution, engine memory and the local order of work.

#![deny(missing_docs)]
#![forbid(unsafe_code)]
