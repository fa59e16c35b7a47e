//! What the threads of a sidecar share.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use mgs_engine::engine::Engine;
use mgs_schema::key::RequestId;
use mgs_schema::wire::Dispatch;

use crate::answer::Answer;
use crate::report::Reporter;
use crate::service::Client;
use crate::sidecar::Options;

/// What stands behind the sidecar.
pub(crate) enum Endpoint {
    /// A model engine.
    Engine(Box<dyn Engine>),
    /// A plain service.
    Service(Client),
}

/// One known request.
pub(crate) struct Entry {
    pub(crate) answer: Arc<Answer>,
    pub(crate) prompt_tokens: u64,
}

/// State shared by all threads of a sidecar.
pub(crate) struct Shared {
    pub(crate) options: Options,
    pub(crate) incarnation: u64,
    pub(crate) endpoint: Endpoint,
    pub(crate) entries: Mutex<HashMap<RequestId, Entry>>,
    pub(crate) reporter: Reporter,
    pub(crate) leaving: AtomicBool,
    pub(crate) stopped: AtomicBool,
    pub(crate) settings_version: AtomicU64,
    started: Instant,
}

impl Shared {
    pub(crate) fn new(options: Options, incarnation: u64, endpoint: Endpoint) -> Self {
        Self {
            options,
            incarnation,
            endpoint,
            entries: Mutex::new(HashMap::new()),
            reporter: Reporter::default(),
            leaving: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            settings_version: AtomicU64::new(0),
            started: Instant::now(),
        }
    }

    /// Time since the start, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    pub(crate) fn entries(&self) -> MutexGuard<'_, HashMap<RequestId, Entry>> {
        locked(&self.entries)
    }
}

/// A panic while the lock was held leaves data that is still whole.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Name of a request's stream at the engine.
pub(crate) fn stream_name(dispatch: &Dispatch) -> String {
    format!("{}-{}", dispatch.request_id(), dispatch.attempt)
}
