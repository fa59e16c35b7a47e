//! Callers: what they send, how they read answers, and what they note in the history.

mod answer;
mod durable;
mod plan;
mod send;
mod stream;
mod worker;

pub use plan::marker_of;
pub use plan::Kind;
pub use plan::Plan;
pub use send::send;
pub use send::Exchange;
pub use send::NotSent;
pub use send::Options;
pub use worker::Caller;
pub use worker::Entry;
pub use worker::Gap;
