//! Tools that test the product and are never shipped: fault proxy, history checker, chaos, load and slopes.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod argument;
pub mod caller;
pub mod chaos;
pub mod check;
pub mod cluster;
pub mod history;
mod legend;
pub mod load;
pub mod measure;
pub mod port;
pub mod proxy;
pub mod settings;
