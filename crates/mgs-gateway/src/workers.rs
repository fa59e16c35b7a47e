//! A thread for each open request, up to a bound; threads wait a while for the next request.

use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::TrySendError;
use mgs_request::outcome::Refusal;
use mgs_schema::wire::RefusalReason;
use tiny_http::Request;

use crate::core::Core;
use crate::http::serve;

/// Threads that refuse what is over the bound.
const REFUSERS: usize = 2;

/// How long a thread without a request waits for one.
const IDLE: Duration = Duration::from_secs(5);

/// The threads that serve callers. Clones share them.
#[derive(Clone)]
pub(crate) struct Workers {
    core: Arc<Core>,
    /// Without room: a request goes to a thread that waits, or nowhere.
    hand: Sender<Request>,
    taken: Receiver<Request>,
    refuse: Sender<Request>,
}

impl Workers {
    /// Starts the refusers; the others start with the requests.
    pub(crate) fn start(core: &Arc<Core>) -> io::Result<Self> {
        let (hand, taken) = crossbeam::channel::bounded(0);
        let (refuse, refused) = crossbeam::channel::unbounded();
        for _ in 0..REFUSERS {
            let (core, refused) = (core.clone(), refused.clone());
            std::thread::Builder::new()
                .name("refuser".to_string())
                .spawn(move || run_refuser(&core, &refused))?;
        }
        Ok(Self {
            core: core.clone(),
            hand,
            taken,
            refuse,
        })
    }

    /// Gives a request a thread, or refuses it. Never waits for a caller.
    pub(crate) fn serve(&self, request: Request) {
        let open = self.core.open.fetch_add(1, Ordering::AcqRel);
        if open >= self.core.options.callers.open_max {
            return self.refuse(request);
        }
        let request = match self.hand.try_send(request) {
            Ok(()) => return,
            Err(TrySendError::Full(request) | TrySendError::Disconnected(request)) => request,
        };
        match self.spawn() {
            // Taken at once, by the new thread or by one that has just become free.
            Ok(()) => {
                let _ = self.hand.send(request);
            }
            Err(error) => {
                log::error!(error:% = error; "no thread for a request");
                self.refuse(request);
            }
        }
    }

    fn spawn(&self) -> io::Result<()> {
        let (core, taken) = (self.core.clone(), self.taken.clone());
        std::thread::Builder::new()
            .name("request".to_string())
            .stack_size(self.core.options.callers.stack_bytes)
            .spawn(move || {
                while let Ok(request) = taken.recv_timeout(IDLE) {
                    let _open = Open::new(&core);
                    serve::serve(&core, request);
                }
            })
            .map(drop)
    }

    fn refuse(&self, request: Request) {
        self.core.open.fetch_sub(1, Ordering::AcqRel);
        // The refusers live as long as this sender.
        let _ = self.refuse.send(request);
    }
}

/// Counts a request as open until it is dropped, also by a panic.
struct Open<'a> {
    core: &'a Core,
}

impl<'a> Open<'a> {
    fn new(core: &'a Core) -> Self {
        core.metrics.open.inc();
        Self { core }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.core.metrics.open.dec();
        self.core.open.fetch_sub(1, Ordering::AcqRel);
    }
}

fn run_refuser(core: &Core, refused: &Receiver<Request>) {
    while let Ok(request) = refused.recv() {
        let refusal = Refusal::new(RefusalReason::Busy, "too many open requests");
        serve::refuse(core, request, core.next_id(), &refusal);
    }
}
