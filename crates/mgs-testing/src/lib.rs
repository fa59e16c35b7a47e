//! Tools that test the product and are never shipped: fault proxy, history checker, chaos, load and slopes.

#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod check;
pub mod history;
pub mod load;
pub mod proxy;
pub mod settings;
