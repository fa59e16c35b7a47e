//! Runs with faults: real processes, concurrent callers, a seeded schedule of faults, and the
//! checks over the history of it all.

mod duty;
mod inject;
mod measure;
mod operators;
mod report;
mod run;
mod scenario;
mod schedule;

pub use report::Report;
pub use run::run;
pub use run::Options;
pub use scenario::Scenario;
pub use schedule::schedule;
pub use schedule::Fault;
pub use schedule::FaultKind;
pub use schedule::Sizes;
