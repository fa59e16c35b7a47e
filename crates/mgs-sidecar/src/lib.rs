//! The sidecar role: the only door to one endpoint.
//!
//! [`sidecar::Sidecar`] serves gateways over `mgs-transport` and drives its endpoint: a model
//! engine through [`mgs_engine::engine::Engine`], or a plain service over HTTP. Each request has
//! an [`answer::Answer`] that keeps its frames, so that a gateway whose connection broke reads on
//! from the frame that it wants.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod answer;
mod handler;
mod report;
pub mod service;
pub mod sidecar;
mod state;
mod stream;
