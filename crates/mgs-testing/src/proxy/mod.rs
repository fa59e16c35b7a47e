//! A TCP proxy that injects faults.
//!
//! A [`Route`] listens on a free port of the loopback address and passes each connection on to one
//! target. Faults are set while it runs, for the connections that exist, for those to come, or for
//! one of them:
//!
//! | fault | how |
//! |---|---|
//! | delay | [`PathFaults::delay_ms`] |
//! | silence, one way or both | [`PathFaults::hold`] |
//! | half-dead: existing connections silent, new ones fine | [`Route::set_existing`] |
//! | reorder across connections | [`Route::set_connection`] holds one while others pass |
//! | reset | [`Route::cut`] |
//! | reset after a number of bytes | [`PathFaults::cut_after_bytes`] |
//! | refused connections | [`Route::refuse`] |
//!
//! Held bytes are not lost: they pass once the hold is lifted, so that a late frame out of a
//! connection long given up can be brought about too.

mod connection;
mod faults;
mod pump;
mod route;

pub use connection::ConnectionInfo;
pub use faults::Direction;
pub use faults::Faults;
pub use faults::PathFaults;
pub use route::Route;
