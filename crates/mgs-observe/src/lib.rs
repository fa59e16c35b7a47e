//! Counters, histograms and JSON-line logs shared by every role.

#![deny(missing_docs)]
#![forbid(unsafe_code)]
