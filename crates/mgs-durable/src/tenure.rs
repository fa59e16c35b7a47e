//! An entry that this process holds: permits for its dispatches, and its end.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;

use crate::core::lock;
use crate::core::Core;
use crate::entry::Ending;
use crate::entry::Target;
use crate::executor::Answer;
use crate::executor::Permit;
use crate::executor::Permits;
use crate::pursuit::Action;
use crate::pursuit::Event;
use crate::pursuit::Pursuit;

/// Threads that write ends.
const CLOSERS: usize = 4;

/// Wait before an answer that couldn't be kept is tried again.
const KEEP_RETRY: Duration = Duration::from_millis(500);

/// An entry that this process holds. Dropping it without [`Tenure::finish`] ends the request as
/// refused if it was dispatched nowhere; otherwise the next gateway asks its endpoint.
#[derive(Debug)]
pub struct Tenure {
    inner: Option<Inner>,
    closers: Sender<Closing>,
}

#[derive(Debug)]
struct Inner {
    core: Arc<Core>,
    held: Mutex<Held>,
}

#[derive(Debug)]
struct Held {
    pursuit: Pursuit,
    dispatched: bool,
    /// Set once no dispatch may go any more.
    ended: Option<Permit>,
}

/// A request whose end is to be written.
#[derive(Debug)]
pub(crate) struct Closing {
    core: Arc<Core>,
    pursuit: Pursuit,
    answer: Answer,
}

impl Tenure {
    pub(crate) fn new(core: Arc<Core>, pursuit: Pursuit, closers: Sender<Closing>) -> Self {
        let dispatched = matches!(pursuit.entry().state, crate::entry::State::Dispatched(_));
        let held = Mutex::new(Held {
            pursuit,
            dispatched,
            ended: None,
        });
        let inner = Some(Inner { core, held });
        Self { inner, closers }
    }

    /// Ends the request. The end is written in the background, for as long as it takes.
    pub fn finish(mut self, answer: Answer) {
        let Some(Inner { core, held }) = self.inner.take() else {
            return;
        };
        let held = held.into_inner().expect("no holder panics");
        close_later(&self.closers, core, held, answer);
    }

    /// Gives the entry up as it stands, so that another gateway goes on with it.
    pub fn surrender(mut self) {
        let Some(Inner { core, held }) = self.inner.take() else {
            return;
        };
        let pursuit = held.into_inner().expect("no holder panics").pursuit;
        core.surrender(pursuit.key(), pursuit.nonce());
        core.leave(pursuit.nonce());
    }

    /// Whether no dispatch may go any more, as the request was cancelled or taken over.
    pub fn ended(&self) -> bool {
        lock(&self.inner().held).ended.is_some()
    }

    fn inner(&self) -> &Inner {
        self.inner.as_ref().expect("a tenure is finished only once")
    }
}

impl Drop for Tenure {
    fn drop(&mut self) {
        let Some(Inner { core, held }) = self.inner.take() else {
            return;
        };
        // A holder that panicked leaves the entry as one that stopped does.
        let held = held.into_inner().unwrap_or_else(PoisonError::into_inner);
        if held.dispatched {
            core.surrender(held.pursuit.key(), held.pursuit.nonce());
            core.leave(held.pursuit.nonce());
            return;
        }
        let answer = Answer::without_body(Ending::Refused, "stopped");
        close_later(&self.closers, core, held, answer);
    }
}

/// Has the end written in the background.
fn close_later(closers: &Sender<Closing>, core: Arc<Core>, held: Held, answer: Answer) {
    if held.ended.is_some() {
        core.leave(held.pursuit.nonce());
        return;
    }
    let closing = Closing {
        core,
        pursuit: held.pursuit,
        answer,
    };
    // The closers outlive every tenure of a running process.
    let _ = closers.send(closing);
}

impl Permits for Tenure {
    fn before_dispatch(&self, target: &Target) -> Permit {
        let Inner { core, held } = self.inner();
        let mut held = lock(held);
        if let Some(permit) = held.ended {
            return permit;
        }
        let action = held
            .pursuit
            .on(Event::Dispatch(target.clone()), &|entry| core.gone(entry));
        let permit = match core.drive(&mut held.pursuit, action, Instant::now()) {
            Action::Send(_) => Permit::Go,
            Action::Hold => Permit::StoreUnavailable,
            Action::Lost => Permit::Lost,
            _ => Permit::Cancelled,
        };
        match permit {
            Permit::Go => held.dispatched = true,
            Permit::StoreUnavailable => {}
            Permit::Lost | Permit::Cancelled => held.ended = Some(permit),
        }
        permit
    }
}

/// Starts the threads that write ends; they stop when the last sender is gone.
pub(crate) fn start_closers(inbox: &Receiver<Closing>) -> Vec<JoinHandle<()>> {
    let start = |_| {
        let inbox = inbox.clone();
        let thread = thread::Builder::new().name("durable-closer".to_string());
        let thread = thread.spawn(move || inbox.iter().for_each(close));
        thread.expect("the system can start a thread")
    };
    (0..CLOSERS).map(start).collect()
}

fn close(closing: Closing) {
    let Closing {
        core,
        mut pursuit,
        answer,
    } = closing;
    let fencing = pursuit.entry().fencing;
    let done = loop {
        match core.keep_answer(pursuit.key(), fencing, &answer) {
            Some(done) => break done,
            None if core.stopping() => {
                core.leave(pursuit.nonce());
                return;
            }
            None => thread::sleep(KEEP_RETRY),
        }
    };
    let action = pursuit.on(Event::Ended(done), &|entry| core.gone(entry));
    let action = core.drive(&mut pursuit, action, Instant::now());
    if action == Action::Lost {
        log::warn!(key = pursuit.key(); "another gateway has taken the entry over");
    }
    core.metrics.finished.add(1);
    core.leave(pursuit.nonce());
}
