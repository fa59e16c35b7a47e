//! The end of a tenure: writing how the request ended, honestly and until it is certain.

use mgs_platform::table::Row;
use mgs_schema::wire::RefusalReason;

use super::Phase;
use super::Pursuit;
use crate::batch::Written;
use crate::entry::Done;
use crate::entry::Ending;
use crate::entry::Entry;
use crate::entry::State;
use crate::pursuit::Action;

/// What a row that changed says of this tenure.
pub(super) enum Rebased {
    /// Another gateway holds it.
    Lost,
    /// It goes on, but the caller wants it cancelled.
    Cancelled,
    /// It goes on.
    Same,
}

impl Pursuit {
    /// Ends a cancelled request between two dispatches. One that may run more than once may have
    /// run in part before.
    pub(super) fn cancel(&mut self) -> Action {
        self.entry.dispatched_before |= self.entry.idempotent && self.sent;
        self.close(Done::refused(RefusalReason::Cancelled))
    }

    /// A refusal says that the request didn't run; one that may have run in part can't be refused.
    /// Where dispatches aren't written down, nobody can tell.
    pub(super) fn honest(&self, mut done: Done) -> Done {
        if done.ending == Ending::Refused && self.entry.dispatched_before {
            done.ending = match self.options.mark_all {
                true => Ending::Failed,
                false => Ending::Unknown,
            };
        }
        done
    }

    pub(super) fn close(&mut self, done: Done) -> Action {
        let done = self.honest(done);
        self.phase = Phase::Closing;
        let refused = done.ending == Ending::Refused;
        self.entry.state = State::Done(done);
        if refused && self.options.forget_refused {
            return self.delete();
        }
        self.write()
    }

    /// An end is written until it is certain, or certainly another gateway's business.
    pub(super) fn closed(&mut self, written: Written) -> Action {
        match written {
            Written::Done(_) | Written::Conflict(None) => Action::Over,
            Written::Conflict(Some(row)) => match self.rebase(&row) {
                Rebased::Lost => Action::Lost,
                Rebased::Cancelled | Rebased::Same => self.close_again(),
            },
            Written::Unavailable | Written::Unknown => self.close_again(),
        }
    }

    pub(super) fn close_again(&mut self) -> Action {
        match self.entry.state.clone() {
            State::Done(done) => self.close(done),
            _ => unreachable!("only an end is closed"),
        }
    }

    /// Takes in a row that changed under this gateway's tenure: by a caller's wish to cancel, or
    /// by an earlier write of its own whose reply was lost.
    pub(super) fn rebase(&mut self, row: &Row) -> Rebased {
        let found = Entry::parse(&row.value);
        let Some(found) = found.filter(|found| found.nonce == self.options.nonce) else {
            return Rebased::Lost;
        };
        self.version = row.version;
        self.entry.cancelled = found.cancelled;
        match found.cancelled {
            true => Rebased::Cancelled,
            false => Rebased::Same,
        }
    }
}
