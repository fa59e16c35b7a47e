//! Roles with everything that they need around them, for the commands and the demonstration.

pub mod follow;
pub mod gateway;
