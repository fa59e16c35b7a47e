//! The sidecar role: the only door to one endpoint.

#![deny(missing_docs)]
#![forbid(unsafe_code)]
