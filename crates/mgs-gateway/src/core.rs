//! What the gateway's threads share.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use mgs_admission::queue::Admission;
use mgs_durable::durable::Durable;
use mgs_fleet::fleet;
use mgs_fleet::fleet::Fleet;
use mgs_fleet::view::View;
use mgs_observe::admin::Health;
use mgs_request::budget::RetryBudget;
use mgs_request::outcome::Refusal;
use mgs_routing::policy::Policy;
use mgs_routing::policy::RoutingError;
use mgs_routing::span;
use mgs_schema::key::RequestId;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::RefusalReason;
use mgs_settings::confirm;
use mgs_settings::confirm::Reporter;
use mgs_settings::hold::Holder;
use mgs_transport::runtime::Runtime;

use crate::duty::demand::Demand;
use crate::gateway::Options;
use crate::http::body;
use crate::hub::Hub;
use crate::job::Job;
use crate::metrics::Metrics;
use crate::parting::Parting;
use crate::session::Session;
use crate::session::Sessions;
use crate::session::Slot;
use crate::span::keep::Keeper;

/// How long a gateway waits after its start for the store, before it serves without it, in
/// milliseconds.
const STORE_WAIT_MS: u64 = 3_000;

/// State shared by the threads of one gateway.
pub struct Core {
    pub(crate) options: Options,
    pub(crate) incarnation: u64,
    pub(crate) settings: Arc<Holder>,
    pub(crate) policy: Arc<dyn Policy>,
    pub(crate) budget: RetryBudget,
    pub(crate) runtime: Runtime,
    pub(crate) metrics: Metrics,
    pub(crate) hub: Hub,
    pub(crate) sessions: Sessions,
    pub(crate) parting: Parting,
    pub(crate) spans: Keeper,
    pub(crate) demand: Demand,
    durable: ArcSwapOption<Durable>,
    reporter: Mutex<Reporter>,
    fleet: Mutex<Fleet>,
    view: ArcSwap<View>,
    started: Instant,
    next_serial: AtomicU64,
    next_session: AtomicU64,
    /// Requests that have a thread.
    pub(crate) open: AtomicUsize,
    leaving: AtomicBool,
    closed: AtomicBool,
    superseded: AtomicBool,
    /// Taken, and so disconnected, when the gateway stops.
    stopper: Mutex<Option<Sender<()>>>,
    stopped: Receiver<()>,
}

impl Core {
    pub(crate) fn new(
        options: Options,
        policy: Arc<dyn Policy>,
        admission: Box<dyn Admission>,
        runtime: Runtime,
        parting: Parting,
        spans: Keeper,
    ) -> Self {
        let fleet = Fleet::new(fleet::Options {
            process: options.name.clone(),
            zone: options.zone.clone(),
            ..fleet::Options::default()
        });
        let incarnation = rand::random_range(1..=u64::MAX);
        let (stopper, stopped) = crossbeam::channel::bounded(0);
        Self {
            incarnation,
            settings: options.settings.clone(),
            policy,
            budget: RetryBudget::new(options.retry_budget.clone()),
            runtime,
            metrics: Metrics::new(&options.registry),
            hub: Hub::new(admission),
            sessions: Sessions::default(),
            parting,
            spans,
            demand: Demand::default(),
            durable: ArcSwapOption::empty(),
            reporter: Mutex::new(Reporter::new(confirm::Options::default(), incarnation)),
            fleet: Mutex::new(fleet),
            view: ArcSwap::default(),
            started: Instant::now(),
            next_serial: AtomicU64::new(1),
            next_session: AtomicU64::new(1),
            open: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            superseded: AtomicBool::new(false),
            stopper: Mutex::new(Some(stopper)),
            stopped,
            options,
        }
    }

    /// The process's monotonic clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The fleet as known now.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// A fresh identifier.
    pub fn next_id(&self) -> RequestId {
        RequestId {
            origin: self.incarnation,
            serial: self.next_serial.fetch_add(1, Ordering::Relaxed),
        }
    }

    pub(crate) fn next_session(&self) -> u64 {
        self.next_session.fetch_add(1, Ordering::Relaxed)
    }

    /// Changes the fleet and publishes its new picture.
    pub(crate) fn change_fleet<T>(&self, change: impl FnOnce(&mut Fleet) -> T) -> T {
        let mut fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
        let result = change(&mut fleet);
        self.view.store(fleet.view());
        result
    }

    /// Whether the gateway wants no new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether new requests are refused.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    /// Requests that are open now.
    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Bounds of a caller's body.
    pub(crate) fn body(&self) -> body::Options {
        body::Options {
            max_bytes: self.options.callers.body_max_bytes,
            timeout_ms: self.options.callers.body_timeout_ms,
        }
    }

    /// Refuses at once what no endpoint can serve now, without a place in the queue.
    pub(crate) fn check_fleet(&self, job: &Job) -> Result<(), Refusal> {
        let view = self.view();
        let ask = job.ask(&self.options.zone, &[], self.now_ms());
        let no_choice = match self.policy.choose(&view, &ask, rand::random()) {
            Ok(_) | Err(RoutingError::AllBusy) => return Ok(()),
            Err(RoutingError::PromptExceedsMemory)
                if span::first_token_ms(&view, &ask, &self.options.spans).is_ok() =>
            {
                return Ok(());
            }
            Err(no_choice) => no_choice,
        };
        let reason = match (no_choice, job.endpoint_kind) {
            (RoutingError::UnknownModel, _) if view.by_model.contains_key(&job.model) => {
                RefusalReason::NoEndpoint
            }
            (RoutingError::UnknownModel, EndpointKind::Service) => RefusalReason::UnknownService,
            (RoutingError::UnknownModel, _) => RefusalReason::UnknownModel,
            (RoutingError::PromptExceedsMemory, _) => RefusalReason::PromptExceedsMemory,
            _ => RefusalReason::NoEndpoint,
        };
        Err(Refusal::new(reason, &no_choice.to_string()))
    }

    /// Whether its threads must end.
    pub(crate) fn is_stopped(&self) -> bool {
        !matches!(
            self.stopped.try_recv(),
            Err(crossbeam::channel::TryRecvError::Empty)
        )
    }

    /// Waits; returns whether the gateway still runs.
    pub(crate) fn pause(&self, wait_ms: u64) -> bool {
        let waited = self.stopped.recv_timeout(Duration::from_millis(wait_ms));
        waited == Err(RecvTimeoutError::Timeout)
    }

    /// Another process has this one's name: it takes no new requests and must be stopped.
    pub(crate) fn supersede(&self) {
        self.superseded.store(true, Ordering::Release);
        self.leave();
        self.close();
    }

    /// Whether another process has taken this gateway's name.
    pub fn is_superseded(&self) -> bool {
        self.superseded.load(Ordering::Acquire)
    }

    /// Keyed and durable requests, if there is a store for them.
    pub(crate) fn durable(&self) -> Option<Arc<Durable>> {
        self.durable.load_full()
    }

    /// Sets the facade to the store, or removes it.
    pub(crate) fn set_durable(&self, durable: Option<Arc<Durable>>) -> Option<Arc<Durable>> {
        self.durable.swap(durable)
    }

    /// Notes or asks for what is to be confirmed.
    pub(crate) fn report<T>(&self, change: impl FnOnce(&mut Reporter) -> T) -> T {
        let mut reporter = self.reporter.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut reporter)
    }

    /// Where the session with the sidecar of an endpoint is found.
    pub(crate) fn slot_of(&self, endpoint: &str) -> Option<Arc<Slot>> {
        let fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
        let key = fleet.find(endpoint)?;
        drop(fleet);
        self.sessions.slot(key)
    }

    /// The session with the sidecar of an endpoint.
    pub(crate) fn session_of(&self, endpoint: &str) -> Option<Arc<Session>> {
        self.slot_of(endpoint)?.session()
    }

    pub(crate) fn stop(&self) {
        self.leave();
        self.close();
        let mut stopper = self.stopper.lock().unwrap_or_else(PoisonError::into_inner);
        stopper.take();
        self.set_durable(None);
    }

    /// Whether there are settings to serve by.
    pub(crate) fn has_settings(&self) -> bool {
        self.settings.version() > 0 && (self.options.ready)()
    }
}

impl Health for Core {
    fn healthy(&self) -> bool {
        !self.is_stopped() && !self.is_superseded()
    }

    fn ready(&self) -> Result<(), String> {
        if self.is_leaving() {
            return Err("leaving".to_string());
        }
        if !self.has_settings() {
            return Err("no settings that are fresh enough".to_string());
        }
        let opening = self.durable().is_some_and(|durable| !durable.ready());
        if opening && self.now_ms() < STORE_WAIT_MS {
            return Err("the store isn't reached yet".to_string());
        }
        Ok(())
    }
}
