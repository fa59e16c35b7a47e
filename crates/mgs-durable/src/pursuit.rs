//! What one gateway does with one entry, from finding it to its end.
//!
//! The machine is told what happened and says what to do; it does nothing itself. Its rules:
//!
//! - An entry changes only by a write that is conditional on the version last seen.
//! - A non-idempotent request is sent nowhere before a write that names its [`Target`] has taken
//!   effect, so that a later holder knows whom to ask.
//! - The entry of a holder that is gone is taken over at once if the request may run again or
//!   was sent nowhere. Otherwise the endpoint is asked first: [`Proof::NeverStarted`] frees the
//!   request, a running or finished one is resumed, and without a proof it ends `unknown`. An
//!   endpoint that can't be asked is asked again until the request's time is over.
//! - Without a proof that a write took effect, nothing that depends on it is done.

pub use event::Action;
pub use event::Event;
pub use event::Proof;

mod close;
mod event;

use mgs_platform::table::Row;
use mgs_schema::name::Name;
use mgs_schema::wire::RefusalReason;

use crate::batch::Op;
use crate::batch::Written;
use crate::entry::Done;
use crate::entry::Ending;
use crate::entry::Entry;
use crate::entry::State;
use crate::entry::Target;
use crate::pursuit::close::Rebased;

/// Whether the holder of an entry is gone, as far as this gateway knows.
pub type Gone<'a> = &'a dyn Fn(&Entry) -> bool;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Start,
    Inserting,
    Following,
    Asking(Target),
    Taking,
    Dropping,
    Uploading,
    Submitting,
    Holding,
    Marking(Target),
    Closing,
    Over,
}

/// Settings of a pursuit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Incarnation of this gateway.
    pub gateway: u64,
    /// Nonce of this gateway's tenure, random.
    pub nonce: u64,
    /// Key of the row.
    pub key: String,
    /// Whether a refused request's row is deleted, so that its key may be used again.
    pub forget_refused: bool,
    /// Whether each dispatch is written down even if the request may run more than once.
    pub mark_all: bool,
    /// Whether this gateway holds a durable request from its acceptance on, rather than leave it
    /// to whichever gateway finds it.
    pub hold_accepted: bool,
}

/// One gateway's work on one entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Pursuit {
    options: Options,
    phase: Phase,
    /// The entry that this gateway would insert.
    wanted: Entry,
    /// The entry as this gateway last wrote it, writes it now, or wants it.
    entry: Entry,
    /// Version of the row that the next write depends on.
    version: u64,
    writes: u64,
    /// Whether a dispatch went out under this tenure.
    sent: bool,
    /// Whether the request's allotted time is over.
    late: bool,
}

impl Pursuit {
    /// A pursuit that wants to insert `entry`. Its tenure, holder and fencing number are set
    /// here.
    pub fn new(options: Options, mut entry: Entry) -> Self {
        entry.nonce = options.nonce;
        entry.holder = options.gateway;
        entry.fencing = 1;
        Self {
            options,
            phase: Phase::Start,
            wanted: entry.clone(),
            entry,
            version: 0,
            writes: 0,
            sent: false,
            late: false,
        }
    }

    /// Starts by inserting the entry.
    pub fn insert(&mut self) -> Action {
        self.phase = Phase::Inserting;
        self.entry = self.wanted.clone();
        self.version = 0;
        self.write()
    }

    /// Starts from a row that was found; `doomed` says why a request that hasn't run mustn't.
    pub fn found(
        &mut self,
        row: Option<Row>,
        gone: Gone<'_>,
        doomed: Option<RefusalReason>,
    ) -> Action {
        self.phase = Phase::Following;
        self.late = doomed == Some(RefusalReason::Deadline);
        match row {
            Some(row) => self.decide(row, gone, doomed),
            None => self.over(Action::Over),
        }
    }

    /// Key of the row.
    pub fn key(&self) -> &str {
        &self.options.key
    }

    /// Nonce of this gateway's tenure.
    pub fn nonce(&self) -> u64 {
        self.options.nonce
    }

    /// The entry as this gateway knows it.
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Takes in an event and says what to do.
    pub fn on(&mut self, event: Event, gone: Gone<'_>) -> Action {
        let phase = std::mem::replace(&mut self.phase, Phase::Over);
        match (phase, event) {
            (Phase::Inserting, Event::Written(written)) => self.inserted(written, gone),
            (Phase::Following, Event::Row(row)) => self.followed(row, gone),
            (Phase::Asking(target), Event::Proof(proof)) => self.proved(target, proof),
            (Phase::Taking, Event::Written(written)) => self.taken(written, gone),
            (Phase::Dropping, Event::Written(_)) => Action::Over,
            (Phase::Uploading, Event::Uploaded(kept)) => self.uploaded(kept),
            (Phase::Submitting, Event::Written(written)) => self.submitted(written),
            (Phase::Holding, Event::Dispatch(target)) => self.mark(target),
            (Phase::Marking(target), Event::Written(written)) => self.marked(target, written),
            (Phase::Holding, Event::Ended(done)) => self.close(done),
            (Phase::Closing, Event::Written(written)) => self.closed(written),
            (phase, event) => unreachable!("{event:?} doesn't belong to {phase:?}"),
        }
    }

    fn inserted(&mut self, written: Written, gone: Gone<'_>) -> Action {
        match written {
            Written::Done(version) => self.inserted_own(version),
            Written::Conflict(Some(row)) => self.decide(row, gone, None),
            Written::Conflict(None) => self.insert(),
            Written::Unavailable | Written::Unknown => {
                Action::Refuse(RefusalReason::StoreUnavailable)
            }
        }
    }

    fn inserted_own(&mut self, version: u64) -> Action {
        self.version = version;
        match self.entry.state {
            State::Submitting => {
                self.phase = Phase::Uploading;
                Action::Upload
            }
            State::Async => self.over(Action::Moved),
            _ => self.hold(Action::Run),
        }
    }

    fn followed(&mut self, row: Option<Row>, gone: Gone<'_>) -> Action {
        match row {
            Some(row) => self.decide(row, gone, None),
            // The holder was refused and has freed the key.
            None => self.insert(),
        }
    }

    /// What to do with an entry that this gateway doesn't hold.
    fn decide(&mut self, row: Row, gone: Gone<'_>, doomed: Option<RefusalReason>) -> Action {
        let Some(found) = Entry::parse(&row.value) else {
            return Action::Refuse(RefusalReason::KeyConflict);
        };
        if found.digest != self.entry.digest {
            return Action::Refuse(RefusalReason::KeyConflict);
        }
        let free = found.state == State::Queued || gone(&found);
        let doomed = match found.cancelled {
            true => Some(RefusalReason::Cancelled),
            false => doomed,
        };
        match found.state.clone() {
            State::Done(done) => return Action::Replay(done),
            State::Async => return Action::Moved,
            _ if !free => {
                self.phase = Phase::Following;
                return Action::Follow;
            }
            _ => {}
        }
        self.version = row.version;
        let rerun = found.idempotent;
        let state = found.state.clone();
        self.take(found);
        match (state, doomed) {
            (State::Submitting, _) => {
                self.phase = Phase::Dropping;
                self.delete()
            }
            (State::Dispatched(target), _) if !rerun => {
                self.phase = Phase::Asking(target.clone());
                Action::Ask(target)
            }
            (_, Some(reason)) => {
                let done = self.honest(Done::refused(reason));
                self.take_as(State::Done(done))
            }
            (_, None) => self.take_as(State::Held),
        }
    }

    /// Makes the entry found the one wanted, under this gateway's tenure.
    fn take(&mut self, found: Entry) {
        let held = matches!(found.state, State::Held | State::Dispatched(_));
        let unmarked = !self.options.mark_all && held;
        let marked = matches!(found.state, State::Dispatched(_));
        self.entry = found;
        self.entry.dispatched_before |= self.entry.idempotent && (marked || unmarked);
        self.entry.nonce = self.options.nonce;
        self.entry.holder = self.options.gateway;
        self.entry.fencing += 1;
    }

    fn take_as(&mut self, state: State) -> Action {
        self.phase = Phase::Taking;
        self.entry.state = state;
        self.write()
    }

    fn proved(&mut self, target: Target, proof: Proof) -> Action {
        match proof {
            Proof::NeverStarted if self.late => {
                self.take_as(State::Done(Done::refused(RefusalReason::Deadline)))
            }
            Proof::NeverStarted if self.entry.cancelled => {
                self.take_as(State::Done(Done::refused(RefusalReason::Cancelled)))
            }
            Proof::NeverStarted => self.take_as(State::Held),
            Proof::Running | Proof::Finished if self.late => {
                let done = Done::without_answer(Ending::Failed, &RefusalReason::Deadline.name());
                self.take_as(State::Done(done))
            }
            Proof::Running | Proof::Finished => self.take_as(State::Dispatched(target)),
            Proof::Unreachable if !self.late => {
                self.phase = Phase::Following;
                Action::Follow
            }
            Proof::CannotTell | Proof::Unreachable => {
                let done = Done::without_answer(Ending::Unknown, "no_proof");
                self.take_as(State::Done(done))
            }
        }
    }

    fn taken(&mut self, written: Written, gone: Gone<'_>) -> Action {
        match written {
            Written::Done(version) => {
                self.version = version;
                match self.entry.state.clone() {
                    State::Held => self.hold(Action::Run),
                    State::Dispatched(target) => self.hold(Action::Resume(target)),
                    State::Done(done) => self.over(Action::Replay(done)),
                    _ => unreachable!("no other state is taken"),
                }
            }
            Written::Conflict(Some(row)) => self.decide(row, gone, None),
            Written::Conflict(None) => self.over(Action::Over),
            Written::Unavailable | Written::Unknown => {
                Action::Refuse(RefusalReason::StoreUnavailable)
            }
        }
    }

    fn uploaded(&mut self, kept: bool) -> Action {
        if !kept {
            return Action::Refuse(RefusalReason::StoreUnavailable);
        }
        self.phase = Phase::Submitting;
        self.entry.state = match self.options.hold_accepted {
            true => State::Held,
            false => State::Queued,
        };
        self.write()
    }

    fn submitted(&mut self, written: Written) -> Action {
        match written {
            Written::Done(version) => {
                self.version = version;
                self.hold(Action::Accepted)
            }
            Written::Conflict(_) | Written::Unavailable => {
                Action::Refuse(RefusalReason::StoreUnavailable)
            }
            Written::Unknown => Action::Unsure,
        }
    }

    fn mark(&mut self, target: Target) -> Action {
        if self.entry.idempotent && !self.options.mark_all {
            return self.send(target);
        }
        self.phase = Phase::Marking(target.clone());
        self.entry.state = State::Dispatched(target);
        self.write()
    }

    fn marked(&mut self, target: Target, written: Written) -> Action {
        match written {
            Written::Done(version) => {
                self.version = version;
                self.send(target)
            }
            Written::Conflict(Some(row)) => match self.rebase(&row) {
                Rebased::Lost => Action::Lost,
                Rebased::Cancelled => self.cancel(),
                Rebased::Same => self.mark(target),
            },
            Written::Conflict(None) => Action::Lost,
            Written::Unavailable | Written::Unknown => self.hold(Action::Hold),
        }
    }

    fn send(&mut self, target: Target) -> Action {
        self.sent = true;
        self.hold(Action::Send(target))
    }

    fn write(&mut self) -> Action {
        self.writes += 1;
        self.entry.write = self.writes;
        Action::Write(Op {
            key: self.options.key.clone(),
            expected: self.version,
            value: Some(self.entry.to_text()),
        })
    }

    fn delete(&mut self) -> Action {
        Action::Write(Op {
            key: self.options.key.clone(),
            expected: self.version,
            value: None,
        })
    }

    fn hold(&mut self, action: Action) -> Action {
        self.phase = Phase::Holding;
        action
    }

    fn over(&mut self, action: Action) -> Action {
        self.phase = Phase::Over;
        action
    }
}
