//! Which endpoint serves a request: candidates, predicted time to first token, and the choice.

#![deny(missing_docs)]
#![forbid(unsafe_code)]
