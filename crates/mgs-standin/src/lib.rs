//! Stand-ins for a model engine, a plain service and the platform, as threads or processes.

#![deny(missing_docs)]
#![forbid(unsafe_code)]
