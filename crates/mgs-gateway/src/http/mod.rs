//! Callers' HTTP: heads, bodies, answers.

pub mod body;
pub mod completion;
pub mod head;
pub mod problem;
pub(crate) mod serve;
pub(crate) mod service;
pub mod sse;
