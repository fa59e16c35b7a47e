//! The controller duty: a lease with fencing, placement of models, and orders to engines.

#![deny(missing_docs)]
#![forbid(unsafe_code)]
