//! What a pursuit is told, and what it says.

use mgs_platform::table::Row;
use mgs_schema::wire::RefusalReason;

use crate::batch::Op;
use crate::batch::Written;
use crate::entry::Done;
use crate::entry::Target;

/// What an endpoint says of a request that was dispatched to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Proof {
    /// It never started there and never will.
    NeverStarted,
    /// It runs there.
    Running,
    /// It ran there to its end.
    Finished,
    /// The endpoint can't tell, or no longer exists.
    CannotTell,
    /// The endpoint couldn't be asked; it may be asked again.
    Unreachable,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// The write ended.
    Written(Written),
    /// The row was read again.
    Row(Option<Row>),
    /// The endpoint was asked.
    Proof(Proof),
    /// The body of a durable request was kept, or not.
    Uploaded(bool),
    /// The gateway wants to dispatch the request.
    Dispatch(Target),
    /// The request ended.
    Ended(Done),
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Make this write and tell its outcome.
    Write(Op),
    /// Another gateway holds the entry: read the row again after a while.
    Follow,
    /// Ask this endpoint to withdraw the request.
    Ask(Target),
    /// Keep the body of the durable request.
    Upload,
    /// The durable request is accepted and may be answered 202.
    Accepted,
    /// It may have been accepted; nothing more can be said.
    Unsure,
    /// The entry is held: run the request, announcing each dispatch first.
    Run,
    /// The dispatch that was announced may go.
    Send(Target),
    /// The dispatch that was announced must not go, as the entry can't be written now.
    Hold,
    /// The dispatch that was announced must not go, nor any other: another gateway has taken
    /// the entry over.
    Lost,
    /// Read the answer of the request that runs at this endpoint.
    Resume(Target),
    /// The request has ended before; this is its end.
    Replay(Done),
    /// The key became that of a durable request.
    Moved,
    /// Refuse the request as not run.
    Refuse(RefusalReason),
    /// Nothing more to do.
    Over,
}
