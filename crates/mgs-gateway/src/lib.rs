//! The gateway role: callers' HTTP, queues, dispatch and answers.

#![deny(missing_docs)]
#![forbid(unsafe_code)]
