//! Metrics, JSON-line logs and the admin server, shared by all roles.
//!
//! A role creates one [`metrics::Registry`], registers its metrics once and keeps the handles;
//! counting is then an atomic addition. [`admin::serve`] exposes the registry and the role's health
//! to operators over HTTP, and [`logs::start_stderr`] writes the process's log to standard error as
//! one JSON object per line.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod admin;
pub mod logs;
pub mod metrics;
