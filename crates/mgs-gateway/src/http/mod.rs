//! Callers' HTTP: heads, bodies, answers.

pub(crate) mod answer;
pub mod body;
pub mod completion;
pub mod head;
pub(crate) mod keyed;
pub mod problem;
pub(crate) mod requests;
pub(crate) mod serve;
pub(crate) mod service;
pub(crate) mod sse;
pub(crate) mod work;
