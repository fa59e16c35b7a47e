//! Limits, queues and fairness: which request may run next, and which is refused early.

#![deny(missing_docs)]
#![forbid(unsafe_code)]
