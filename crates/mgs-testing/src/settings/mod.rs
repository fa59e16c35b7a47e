//! Settings under racing operators and a store with faults, and how fast an edit is in force.
//!
//! [`race`] lets operators edit the same few rows through outages, lost replies and compaction,
//! while followers poll; [`history`] checks what came of it. [`plant`] names deliberate faults
//! that the check must find. [`propagation`] measures that, and [`consistent`]
//! what a consistent read costs.

pub mod consistent;
pub mod history;
pub mod plant;
pub mod propagation;
pub mod race;
