//! The life of one request: attempts, deadline, retries, resume and its one outcome.

#![deny(missing_docs)]
#![forbid(unsafe_code)]
