//! The weight store: where engines get a model's weights, limited in rate.

use crate::Error;

/// The weight store.
pub trait Weights: Send + Sync {
    /// Asks for leave to load one version of a model now. `Throttled` says when to come back.
    fn permit(&self, model: &str, version: &str) -> Result<(), Error>;
}
