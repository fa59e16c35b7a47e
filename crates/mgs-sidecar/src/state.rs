//! What the threads of a sidecar share, and how the ledger's actions are carried out.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use arc_swap::ArcSwap;
use mgs_engine::engine::Engine;
use mgs_engine::message::Info;
use mgs_ledger::action::Action;
use mgs_ledger::cache::Cache;
use mgs_ledger::execution::NotStarted;
use mgs_ledger::job::OrganisationKey;
use mgs_ledger::ledger::Ledger;
use mgs_ledger::reconcile::stream_name;
use mgs_schema::key::RequestId;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::Refused;
use mgs_settings::hold::Holder;

use crate::answer::Answer;
use crate::caller::Call;
use crate::caller::Calls;
use crate::metrics::Metrics;
use crate::order::Orders;
use crate::report::Reporter;
use crate::service::Client;
use crate::sidecar::Options;
use crate::stream;

/// What stands behind the sidecar.
pub(crate) enum Endpoint {
    /// A model engine.
    Engine(Box<dyn Engine>),
    /// A plain service.
    Service(Client),
}

/// One request known to the ledger, with what the ledger doesn't need.
pub(crate) struct Work {
    pub(crate) id: RequestId,
    pub(crate) attempt: u32,
    /// Model, or name of the plain service; empty for an adopted stream.
    pub(crate) model: String,
    pub(crate) answer: Answer,
    /// The message that started it, until it is handed over; nothing for an adopted stream.
    pub(crate) dispatch: Mutex<Option<Dispatch>>,
    pub(crate) deadline_ms: u64,
}

impl Work {
    /// Name of its stream at the engine.
    pub(crate) fn stream(&self) -> String {
        stream_name(self.id, self.attempt)
    }
}

/// Why the endpoint takes no new work; any one suffices.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Leaving {
    /// The process was told to drain.
    pub(crate) drain: bool,
    /// The platform's list says that the host is leaving.
    pub(crate) host: bool,
    /// Operators have stopped the endpoint.
    pub(crate) stopped: bool,
    /// A newer sidecar has taken over the endpoint.
    pub(crate) superseded: bool,
}

impl Leaving {
    fn any(self) -> bool {
        self.drain || self.host || self.stopped || self.superseded
    }
}

/// State shared by all threads of a sidecar.
pub(crate) struct Shared {
    pub(crate) options: Options,
    pub(crate) incarnation: u64,
    pub(crate) endpoint: Endpoint,
    pub(crate) calls: Calls,
    pub(crate) cache: Mutex<Cache>,
    pub(crate) info: ArcSwap<Info>,
    pub(crate) reporter: Reporter,
    pub(crate) settings: Holder,
    pub(crate) metrics: Metrics,
    pub(crate) orders: Orders,
    ledger: Mutex<Ledger>,
    works: Mutex<HashMap<RequestId, Arc<Work>>>,
    organisations: Mutex<HashMap<String, OrganisationKey>>,
    leaving: Mutex<Leaving>,
    stopped: AtomicBool,
    started: Instant,
}

impl Shared {
    pub(crate) fn new(
        options: Options,
        incarnation: u64,
        endpoint: Endpoint,
        orders: Orders,
    ) -> Self {
        let mut ledger = Ledger::new(incarnation, options.ledger.clone());
        ledger.engine_down(0);
        Self {
            metrics: Metrics::new(&options.registry),
            incarnation,
            endpoint,
            calls: Calls::default(),
            cache: Mutex::new(Cache::new(options.cache.clone())),
            info: ArcSwap::default(),
            reporter: Reporter::default(),
            settings: Holder::default(),
            orders,
            ledger: Mutex::new(ledger),
            works: Mutex::default(),
            organisations: Mutex::default(),
            leaving: Mutex::default(),
            stopped: AtomicBool::new(false),
            started: Instant::now(),
            options,
        }
    }

    /// Time since the start, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The engine, unless a plain service stands behind.
    pub(crate) fn engine(&self) -> Option<&dyn Engine> {
        match &self.endpoint {
            Endpoint::Engine(engine) => Some(engine.as_ref()),
            Endpoint::Service(_) => None,
        }
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    pub(crate) fn organisation(&self, name: &str) -> OrganisationKey {
        let mut known = locked(&self.organisations);
        if let Some(key) = known.get(name) {
            return *key;
        }
        let key = OrganisationKey(known.len() as u32 + 1);
        known.insert(name.to_string(), key);
        key
    }

    /// Looks at the ledger without changing it.
    pub(crate) fn look<T>(&self, f: impl FnOnce(&Ledger) -> T) -> T {
        f(&locked(&self.ledger))
    }

    /// Tells the ledger something, and carries out what it then wants.
    pub(crate) fn tell<T>(self: &Arc<Self>, f: impl FnOnce(&mut Ledger, u64) -> T) -> T {
        let (result, actions) = {
            let mut ledger = locked(&self.ledger);
            let result = f(&mut ledger, self.now_ms());
            (result, ledger.take_actions())
        };
        self.carry_out(actions);
        result
    }

    /// Tells the ledger of new work. Its answer is known to all threads before any action on it is
    /// carried out.
    pub(crate) fn tell_of_work<T>(
        self: &Arc<Self>,
        f: impl FnOnce(&mut Ledger, u64) -> (T, Option<Arc<Work>>),
    ) -> T {
        let (result, actions) = {
            let mut ledger = locked(&self.ledger);
            let (result, work) = f(&mut ledger, self.now_ms());
            if let Some(work) = work {
                locked(&self.works).insert(work.id, work);
            }
            (result, ledger.take_actions())
        };
        self.carry_out(actions);
        result
    }

    pub(crate) fn work(&self, id: RequestId) -> Option<Arc<Work>> {
        locked(&self.works).get(&id).cloned()
    }

    /// Whether a request of the model waits or runs.
    pub(crate) fn is_in_use(&self, model: &str) -> bool {
        let works = locked(&self.works);
        let mut of_model = works.values().filter(|work| work.model == model);
        of_model.any(|work| !work.answer.is_ended())
    }

    fn carry_out(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            self.carry_out_one(action);
        }
    }

    fn carry_out_one(self: &Arc<Self>, action: Action) {
        match action {
            Action::Start(id) => self.start(id),
            Action::Refuse {
                id,
                reason,
                retry_after_ms,
            } => self.refuse(id, reason, retry_after_ms),
            Action::Fail {
                id,
                outcome,
                reason,
            } => self.fail(id, outcome, reason),
            Action::CancelStream { id, attempt } => match self.engine() {
                Some(_) => self.calls.add(Call::CancelStream { id, attempt }),
                None => self.tell(|ledger, now_ms| ledger.stream_freed(now_ms, id, attempt)),
            },
            Action::CancelUnownedStream(stream) => self.calls.add(Call::CancelForeign(stream)),
            Action::FreeKv(kv) => self.calls.add(Call::FreeKv(kv)),
            Action::DropAnswer(id) => {
                locked(&self.works).remove(&id);
            }
        }
    }

    fn start(self: &Arc<Self>, id: RequestId) {
        let Some(work) = self.work(id) else {
            unreachable!("work is known before its actions are carried out");
        };
        if let Err(error) = stream::spawn(self, work) {
            log::error!(error:% = error, request_id:% = id; "no thread for a request");
            self.tell(|ledger, now_ms| ledger.not_started(now_ms, id, NotStarted::Full));
        }
    }

    fn refuse(&self, id: RequestId, reason: RefusalReason, retry_after_ms: u64) {
        self.metrics.refused(reason);
        if let Some(work) = locked(&self.works).remove(&id) {
            work.answer.end(refused(reason, retry_after_ms, ""));
        }
    }

    fn fail(&self, id: RequestId, outcome: Outcome, reason: FailureReason) {
        let Some(work) = self.work(id) else {
            return;
        };
        if work.answer.end(failed(outcome, reason, "")) {
            self.metrics.ended(outcome);
        }
    }

    /// Whether a newer sidecar has taken over the endpoint.
    pub(crate) fn is_superseded(&self) -> bool {
        locked(&self.leaving).superseded
    }

    /// Changes why the endpoint takes no new work, and tells the gateways at once.
    pub(crate) fn set_leaving(self: &Arc<Self>, change: impl FnOnce(&mut Leaving)) {
        let (before, after) = {
            let mut leaving = locked(&self.leaving);
            let before = *leaving;
            change(&mut leaving);
            (before, *leaving)
        };
        if before == after {
            return;
        }
        log::info!(
            endpoint = self.options.name, drain = after.drain, host = after.host,
            stopped = after.stopped, superseded = after.superseded;
            "whether the endpoint takes work has changed"
        );
        self.tell(|ledger, now_ms| ledger.set_leaving(now_ms, after.any()));
        self.reporter.push(self);
    }
}

/// A panic while the lock was held leaves data that is still whole.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A refusal as gateways read it.
pub(crate) fn refused(reason: RefusalReason, retry_after_ms: u64, detail: &str) -> Body {
    Body::Refused(Refused {
        reason: reason.into(),
        retry_after_ms,
        detail: detail.to_string(),
    })
}

/// An end without a whole answer as gateways read it.
pub(crate) fn failed(outcome: Outcome, reason: FailureReason, detail: &str) -> Body {
    Body::Finished(Finished {
        outcome: outcome.into(),
        failure: reason.into(),
        detail: detail.to_string(),
        ..Finished::default()
    })
}
