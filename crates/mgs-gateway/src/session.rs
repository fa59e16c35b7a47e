//! One session with each sidecar: a connection, its load reports, and its replacement.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::TryRecvError;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::View;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Hello;
use mgs_schema::wire::LoadReport;
use mgs_schema::wire::SettingsRequest;
use mgs_schema::wire::Welcome;
use mgs_transport::client::Call;
use mgs_transport::client::Connection;
use mgs_transport::client::Error;

use crate::core::Core;
use crate::pace;

/// Stack of a session's thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Longest wait for the answer to a hello.
const WELCOME_WAIT: Duration = Duration::from_millis(1_500);

/// Reports that may be missing before a second connection is opened beside the first.
const REPORTS_MISSING_MAX: u64 = 4;

/// Time beside the missing reports, for a sidecar that is slow to send them, in milliseconds.
const REPORT_SLACK_MS: u64 = 200;

/// Shortest time between two messages with settings, in milliseconds.
const PUSH_INTERVAL_MS: u64 = 500;

const BACKOFF_MIN_MS: u64 = 50;
const BACKOFF_MAX_MS: u64 = 1_000;

/// An open session.
#[derive(Debug)]
pub(crate) struct Session {
    /// Its connection.
    pub(crate) connection: Connection,
    /// Its number, growing within the gateway's incarnation.
    pub(crate) number: u64,
    /// Incarnation of the sidecar.
    pub(crate) incarnation: u64,
    /// Disconnected when the session is over; nothing is ever sent.
    pub(crate) over: Receiver<()>,
}

/// Where the present session with a sidecar is found.
#[derive(Debug)]
pub(crate) struct Slot {
    /// Key of the endpoint.
    pub(crate) key: EndpointKey,
    /// Name of the endpoint.
    name: String,
    address: SocketAddr,
    current: ArcSwapOption<Session>,
    /// The endpoint is gone from the settings.
    retired: AtomicBool,
}

impl Session {
    /// Whether it has been replaced or lost.
    pub(crate) fn is_over(&self) -> bool {
        self.over.try_recv() == Err(TryRecvError::Disconnected)
    }
}

impl Slot {
    /// The session, if one works.
    pub(crate) fn session(&self) -> Option<Arc<Session>> {
        let session = self.current.load_full()?;
        session.connection.is_open().then_some(session)
    }
}

/// The sessions of a gateway.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    slots: Mutex<HashMap<EndpointKey, Arc<Slot>>>,
}

impl Sessions {
    fn lock(&self) -> MutexGuard<'_, HashMap<EndpointKey, Arc<Slot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The slot of an endpoint.
    pub(crate) fn slot(&self, key: EndpointKey) -> Option<Arc<Slot>> {
        self.lock().get(&key).cloned()
    }

    /// Opens sessions with new endpoints, and retires those of endpoints that are gone or have
    /// moved. A retired session works until no request holds its slot.
    pub(crate) fn reconcile(&self, core: &Arc<Core>, view: &View) {
        let mut slots = self.lock();
        slots.retain(|key, slot| {
            let endpoint = view.get(*key);
            let stays = endpoint.is_some_and(|endpoint| endpoint.sidecar_address == slot.address);
            if !stays {
                slot.retired.store(true, Ordering::Release);
            }
            stays
        });
        for endpoint in view.endpoints.iter().flatten() {
            slots.entry(endpoint.key).or_insert_with(|| {
                let slot = Arc::new(Slot {
                    key: endpoint.key,
                    name: endpoint.name.clone(),
                    address: endpoint.sidecar_address,
                    current: ArcSwapOption::empty(),
                    retired: AtomicBool::new(false),
                });
                spawn(core.clone(), slot.clone());
                slot
            });
        }
    }
}

fn spawn(core: Arc<Core>, slot: Arc<Slot>) {
    let address = slot.address;
    let spawned = std::thread::Builder::new()
        .name("session".to_string())
        .stack_size(STACK_BYTES)
        .spawn(move || Keeping::new(core, slot).run());
    if let Err(error) = spawned {
        log::error!(sidecar:% = address, error:% = error; "no thread for a session");
    }
}

/// The last time that a sidecar was sent settings.
#[derive(Debug, Default)]
struct Pushed {
    at_ms: u64,
    /// The version that it had.
    to: Option<u64>,
}

/// Keeps one session alive; what its thread runs.
struct Keeping {
    core: Arc<Core>,
    slot: Arc<Slot>,
    /// Disconnects the present session's `over` when it is replaced.
    alive: Option<Sender<()>>,
    /// Time between the reports of the present session, in milliseconds.
    report_interval_ms: u64,
}

impl Keeping {
    fn new(core: Arc<Core>, slot: Arc<Slot>) -> Self {
        Self {
            core,
            slot,
            alive: None,
            report_interval_ms: 0,
        }
    }

    fn run(mut self) {
        let mut backoff_ms = BACKOFF_MIN_MS;
        while !self.is_over() {
            match self.open() {
                Ok((call, incarnation)) => {
                    backoff_ms = BACKOFF_MIN_MS;
                    let why = self.follow(&call, incarnation);
                    log::info!(sidecar:% = self.slot.address, why:% = why; "session ended");
                    self.core.metrics.sessions_lost.inc();
                }
                Err(error) => {
                    self.end();
                    log::debug!(sidecar:% = self.slot.address, error:% = error; "no session");
                    self.core.pause(backoff_ms);
                    backoff_ms = (backoff_ms * 2).min(BACKOFF_MAX_MS);
                }
            }
        }
        self.end();
    }

    fn is_over(&self) -> bool {
        // The thread itself holds one.
        let unused = Arc::strong_count(&self.slot) == 1;
        self.core.is_stopped() || (self.slot.retired.load(Ordering::Acquire) && unused)
    }

    /// Opens a connection, beside the present one if there is one, and makes it the session.
    fn open(&mut self) -> Result<(Call, u64), Error> {
        let report_interval_ms = self.wanted_interval_ms();
        let options = &self.core.options.transport;
        let connection = Connection::open(&self.core.runtime, self.slot.address, options)?;
        let number = self.core.next_session();
        let hello = Hello {
            incarnation: self.core.incarnation,
            process: self.core.options.name.clone(),
            session: number,
            settings_version: self.core.settings.version(),
            report_interval_ms,
        };
        let call = connection.call(Body::Hello(hello))?;
        let Body::Welcome(welcome) = call.recv_timeout(WELCOME_WAIT)? else {
            return Err(Error::Broken("no welcome".to_string()));
        };
        if welcome.process != self.slot.name {
            let why = format!("{} answers at its address", welcome.process);
            return Err(Error::Broken(why));
        }
        self.report_interval_ms = report_interval_ms;
        self.begin(connection, number, &welcome);
        Ok((call, welcome.incarnation))
    }

    fn wanted_interval_ms(&self) -> u64 {
        let view = self.core.view();
        let sessions = view.endpoints.iter().flatten().count();
        pace::report_interval_ms(&self.core.options, sessions)
    }

    fn begin(&mut self, connection: Connection, number: u64, welcome: &Welcome) {
        let (alive, over) = crossbeam::channel::bounded(0);
        let session = Session {
            connection,
            number,
            incarnation: welcome.incarnation,
            over,
        };
        self.slot.current.store(Some(Arc::new(session)));
        if self.alive.replace(alive).is_none() {
            self.core.metrics.sessions.inc();
        }
        let key = self.slot.key;
        self.core
            .change_fleet(|fleet| fleet.apply_welcome(key, welcome.incarnation, &welcome.zone));
    }

    /// Takes load reports until the session must be replaced; says why.
    fn follow(&self, call: &Call, incarnation: u64) -> Error {
        let wait_ms = self.report_interval_ms * REPORTS_MISSING_MAX + REPORT_SLACK_MS;
        let wait = Duration::from_millis(wait_ms);
        let mut pushed = Pushed::default();
        loop {
            let report = match call.recv_timeout(wait) {
                Ok(Body::LoadReport(report)) => report,
                Ok(_) => continue,
                Err(error) => return error,
            };
            if self.is_over() {
                return Error::Ended;
            }
            if pace::is_off(self.report_interval_ms, self.wanted_interval_ms()) {
                return Error::Broken("the fleet wants another report interval".to_string());
            }
            if report.incarnation == incarnation {
                let (now_ms, key) = (self.core.now_ms(), self.slot.key);
                self.core
                    .change_fleet(|fleet| fleet.apply_report(now_ms, key, &report));
                self.core.hub.wake_waiting();
                self.settings(&report, &mut pushed);
            }
        }
    }

    /// Sends the sidecar newer settings than it reports; the whole table if the edits since its
    /// version didn't help.
    fn settings(&self, report: &LoadReport, pushed: &mut Pushed) {
        let core = &self.core;
        let name = &self.slot.name;
        let has = report.settings_version;
        core.report(|reporter| reporter.sidecar(name, has));
        let now_ms = core.now_ms();
        let waits = now_ms < pushed.at_ms + PUSH_INTERVAL_MS && pushed.at_ms != 0;
        if !core.has_settings() || has >= core.settings.version() || waits {
            return;
        }
        let since_version = match pushed.to == Some(has) {
            true => 0,
            false => has,
        };
        let reply = core.settings.answer(&SettingsRequest { since_version });
        let session = self.slot.session();
        let call = session.and_then(|s| s.connection.call(Body::SettingsReply(reply)).ok());
        if let Some(call) = call {
            core.parting.keep(call);
        }
        *pushed = Pushed {
            at_ms: now_ms,
            to: Some(has),
        };
    }

    /// No connection works: requests that wait on the session go on without it.
    fn end(&mut self) {
        if self.alive.take().is_none() {
            return;
        }
        self.slot.current.store(None);
        self.core.metrics.sessions.dec();
        let (now_ms, key) = (self.core.now_ms(), self.slot.key);
        self.core
            .change_fleet(|fleet| fleet.mark_unreachable(now_ms, key));
        let name = &self.slot.name;
        self.core.report(|reporter| reporter.lost(name));
    }
}
