//! The queue and its dispatcher: requests wait here until the fleet has room for them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use mgs_admission::lease::Limits;
use mgs_admission::queue::Action;
use mgs_admission::queue::Admission;
use mgs_admission::queue::AdmissionDecision;
use mgs_admission::queue::Demand;
use mgs_request::outcome::Refusal;
use mgs_routing::policy::Choice;
use mgs_schema::key::RequestId;
use mgs_schema::wire::RefusalReason;

use crate::core::Core;
use crate::job::Job;
use crate::room::FleetRoom;

/// Time between looks at the queue when nothing happens, in milliseconds.
const TICK_MS: u64 = 10;

/// What a queued request is told.
#[derive(Debug)]
pub(crate) enum Signal {
    /// Go, to this endpoint if one was chosen.
    Start(Option<Choice>),
    /// It is refused.
    Refuse(Refusal),
}

/// A queued request.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) job: Arc<Job>,
    signal: Sender<Signal>,
}

struct Queue {
    admission: Box<dyn Admission>,
    waiting: HashMap<RequestId, Waiting>,
}

/// The queue, behind one lock.
pub(crate) struct Hub {
    queue: Mutex<Queue>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Hub {
    pub(crate) fn new(admission: Box<dyn Admission>) -> Self {
        let (wake, woken) = crossbeam::channel::bounded(1);
        Self {
            queue: Mutex::new(Queue {
                admission,
                waiting: HashMap::new(),
            }),
            wake,
            woken,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the dispatcher look at the queue now.
    pub(crate) fn wake(&self) {
        // A full channel means that it is about to look.
        let _ = self.wake.try_send(());
    }

    /// Has the queue looked at if anything waits in it; a load report changes nothing otherwise.
    pub(crate) fn wake_waiting(&self) {
        if !self.lock().waiting.is_empty() {
            self.wake();
        }
    }

    /// Takes new settings.
    pub(crate) fn settings(&self, core: &Core) {
        let table = core.settings.table();
        let mut queue = self.lock();
        queue
            .admission
            .apply_settings(core.now_ms(), table.snapshot());
    }

    /// Offers a request and waits until it may start; a refusal comes as an error.
    pub(crate) fn admit(&self, core: &Core, job: &Arc<Job>) -> Result<Option<Choice>, Refusal> {
        let (signal, signalled) = crossbeam::channel::bounded(1);
        core.demand
            .add(&job.model, job.prompt_tokens + job.max_tokens);
        self.offer(core, job, signal)?;
        self.wake();
        let wait_ms = job.deadline_ms.saturating_sub(core.now_ms());
        match signalled.recv_timeout(Duration::from_millis(wait_ms)) {
            Ok(Signal::Start(choice)) => Ok(choice),
            Ok(Signal::Refuse(refusal)) => Err(refusal),
            Err(_) => self.leave(core, job, &signalled),
        }
    }

    fn offer(&self, core: &Core, job: &Arc<Job>, signal: Sender<Signal>) -> Result<(), Refusal> {
        let mut queue = self.lock();
        let verdict = queue.admission.submit(core.now_ms(), &job.offer());
        match verdict {
            AdmissionDecision::Queued => {
                let job = job.clone();
                queue.waiting.insert(job.id, Waiting { job, signal });
                Ok(())
            }
            AdmissionDecision::Refused {
                reason,
                retry_after_ms,
            } => Err(refusal(reason, retry_after_ms)),
        }
    }

    /// The allotted time is over; unless the request has been started at this very moment.
    fn leave(
        &self,
        core: &Core,
        job: &Job,
        signalled: &Receiver<Signal>,
    ) -> Result<Option<Choice>, Refusal> {
        let mut queue = self.lock();
        queue.waiting.remove(&job.id);
        queue.admission.cancel(core.now_ms(), job.id);
        drop(queue);
        match signalled.try_recv() {
            Ok(Signal::Start(choice)) => Ok(choice),
            Ok(Signal::Refuse(refusal)) => Err(refusal),
            Err(_) => Err(refusal(RefusalReason::Deadline, 0)),
        }
    }

    /// A started request has ended.
    pub(crate) fn finished(&self, core: &Core, id: RequestId, generated_tokens: u64) {
        let mut queue = self.lock();
        let now_ms = core.now_ms();
        queue.admission.finished(now_ms, id, generated_tokens);
        drop(queue);
        self.wake();
    }

    /// What each limited row in use wants.
    pub(crate) fn demands(&self, core: &Core) -> Vec<Demand> {
        self.lock().admission.demands(core.now_ms())
    }

    /// Sets this gateway's share of a row's limits.
    pub(crate) fn set_share(&self, core: &Core, organisation: &str, kind: &str, share: &Limits) {
        let mut queue = self.lock();
        let now_ms = core.now_ms();
        queue.admission.set_share(now_ms, organisation, kind, share);
    }

    /// Prompt tokens that wait, by model.
    pub(crate) fn waiting_tokens(&self) -> BTreeMap<String, u64> {
        let mut tokens = BTreeMap::new();
        for waiting in self.lock().waiting.values() {
            *tokens.entry(waiting.job.model.clone()).or_default() += waiting.job.prompt_tokens;
        }
        tokens
    }

    /// Looks at the queue once.
    fn look(&self, core: &Core) {
        let mut queue = self.lock();
        let Queue { admission, waiting } = &mut *queue;
        let now_ms = core.now_ms();
        let mut room = FleetRoom {
            policy: core.policy.as_ref(),
            view: core.view(),
            zone: &core.options.zone,
            spans: &core.options.spans,
            now_ms,
            waiting,
            last: RefCell::new(None),
            chosen: HashMap::new(),
        };
        let actions = admission.schedule(now_ms, &mut room);
        let mut chosen = room.chosen;
        for action in actions {
            let (id, signal) = match action {
                Action::Start(id) => (id, Signal::Start(chosen.remove(&id))),
                Action::Refuse {
                    id,
                    reason,
                    retry_after_ms,
                } => (id, Signal::Refuse(refusal(reason, retry_after_ms))),
            };
            if let Some(waiting) = waiting.remove(&id) {
                // The channel has room for one signal, and this is it.
                let _ = waiting.signal.try_send(signal);
            }
        }
    }
}

fn refusal(reason: RefusalReason, retry_after_ms: u64) -> Refusal {
    Refusal {
        reason,
        retry_after_ms,
        detail: String::new(),
    }
}

/// Starts the dispatcher's thread.
pub(crate) fn start(core: &Arc<Core>) -> io::Result<()> {
    let core = core.clone();
    std::thread::Builder::new()
        .name("dispatcher".to_string())
        .spawn(move || {
            let tick = Duration::from_millis(TICK_MS);
            while !core.is_stopped() {
                // A timeout is the tick.
                let _ = core.hub.woken.recv_timeout(tick);
                core.hub.look(&core);
            }
        })?;
    Ok(())
}
