//! The history of one concurrent run: what callers, engines, processes and faults did, and when.
//!
//! Threads write to a [`Recorder`]; once the run is over, [`crate::check`] looks for violations.
//! All times are milliseconds of one monotonic clock since the start of the run.

mod event;
mod recorder;

pub use event::path_to;
pub use event::platform_path_of;
pub use event::Call;
pub use event::Ending;
pub use event::Event;
pub use event::NotRun;
pub use event::Phase;
pub use event::Request;
pub use event::PLATFORM;
pub use recorder::Recorder;

/// An event and when it was recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Milliseconds since the start of the run.
    pub at_ms: u64,
    /// What happened.
    pub event: Event,
}
