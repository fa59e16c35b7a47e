//! Counters, histograms and JSON-line logs shared by every role.
//!
//! A role makes one [`metrics::Registry`], registers its families in it once and keeps the handles;
//! counting is then an atomic addition. [`admin::serve`] shows the registry and the role's health
//! to operators over HTTP, and [`logs::start`] sends the process's log to standard error as one JSON
//! object a line.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod admin;
pub mod logs;
pub mod metrics;
