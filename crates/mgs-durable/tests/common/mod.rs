//! Gateways that share a platform and an endpoint, all in memory.

// Each test file uses its own part of this.
#![allow(dead_code)]

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use mgs_durable::claim::Asked;
use mgs_durable::durable::Durable;
use mgs_durable::durable::Options;
use mgs_durable::entry::body_digest;
use mgs_durable::entry::Ending;
use mgs_durable::entry::Target;
use mgs_durable::executor::Answer;
use mgs_durable::executor::Executor;
use mgs_durable::executor::Permit;
use mgs_durable::executor::Permits;
use mgs_durable::executor::Work;
use mgs_durable::pursuit::Proof;
use mgs_standin::platform::memory::Memory;

/// Longest wait for anything.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Run {
    Tombstone,
    Running,
    Finished(Vec<u8>),
}

/// An endpoint with its sidecar.
#[derive(Debug, Default)]
pub(crate) struct Site {
    runs: Mutex<HashMap<Target, Run>>,
    changed: Condvar,
    executions: AtomicU64,
    incarnation: AtomicU64,
    /// Runs wait while it is set.
    held: Mutex<bool>,
    serial: AtomicU64,
    /// The endpoint can't be asked while it is set.
    cut: AtomicBool,
}

impl Site {
    pub(crate) fn executions(&self) -> u64 {
        self.executions.load(Ordering::SeqCst)
    }

    /// Makes runs wait, or lets them go on.
    pub(crate) fn hold(&self, held: bool) {
        *self.held.lock().unwrap() = held;
        self.changed.notify_all();
    }

    /// Makes the endpoint unreachable, or reachable again.
    pub(crate) fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    /// The sidecar starts anew and knows nothing.
    pub(crate) fn restart(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.runs.lock().unwrap().clear();
    }

    pub(crate) fn target(&self, gateway: u64) -> Target {
        Target {
            endpoint: "e".to_string(),
            sidecar_incarnation: self.incarnation.load(Ordering::SeqCst),
            request_origin: gateway,
            request_serial: self.serial.fetch_add(1, Ordering::SeqCst),
        }
    }

    /// Starts a request as a dispatch does; `false` if it is refused.
    pub(crate) fn start(&self, target: &Target) -> bool {
        let stale = target.sidecar_incarnation != self.incarnation.load(Ordering::SeqCst);
        let mut runs = self.runs.lock().unwrap();
        if stale || runs.contains_key(target) {
            return false;
        }
        runs.insert(target.clone(), Run::Running);
        self.executions.fetch_add(1, Ordering::SeqCst);
        true
    }

    /// Reads the answer of a started request, as a resume does.
    pub(crate) fn read(&self, target: &Target) -> Answer {
        let until = Instant::now() + LIMIT;
        while Instant::now() < until {
            if let Some(Run::Finished(body)) = self.runs.lock().unwrap().get(target) {
                return answered(body);
            }
            std::thread::yield_now();
        }
        Answer::without_body(Ending::Failed, "path")
    }

    /// Lets a started request run to its end.
    pub(crate) fn finish(&self, target: &Target, body: &[u8]) -> Answer {
        let held = self.held.lock().unwrap();
        let (held, wait) = self
            .changed
            .wait_timeout_while(held, LIMIT, |held| *held)
            .unwrap();
        assert!(!wait.timed_out(), "the run was held too long");
        drop(held);
        let run = Run::Finished(body.to_vec());
        self.runs.lock().unwrap().insert(target.clone(), run);
        answered(body)
    }
}

pub(crate) fn answered(body: &[u8]) -> Answer {
    let mut answer = Answer::without_body(Ending::Answered, "");
    answer.status = 200;
    answer.body = body.to_vec();
    answer
}

/// A gateway's means.
#[derive(Debug)]
pub(crate) struct Lent {
    pub(crate) gateway: u64,
    pub(crate) site: Arc<Site>,
}

impl Executor for Lent {
    fn run(&self, work: &Work, _budget_ms: u64, permits: &dyn Permits) -> Answer {
        let target = self.site.target(self.gateway);
        match permits.before_dispatch(&target) {
            Permit::Go => {}
            Permit::StoreUnavailable => {
                return Answer::without_body(Ending::Refused, "store_unavailable")
            }
            Permit::Lost | Permit::Cancelled => {
                return Answer::without_body(Ending::Refused, "cancelled")
            }
        }
        match self.site.start(&target) {
            true => self.site.finish(&target, &work.body),
            false => Answer::without_body(Ending::Refused, "withdrawn"),
        }
    }

    fn resume(&self, _work: &Work, target: &Target, _budget_ms: u64) -> Answer {
        self.site.read(target)
    }

    fn withdraw(&self, target: &Target, _tombstone_ms: u64) -> Proof {
        if self.site.cut.load(Ordering::SeqCst) {
            return Proof::Unreachable;
        }
        if target.sidecar_incarnation != self.site.incarnation.load(Ordering::SeqCst) {
            return Proof::CannotTell;
        }
        let mut runs = self.site.runs.lock().unwrap();
        match runs.entry(target.clone()).or_insert(Run::Tombstone) {
            Run::Tombstone => Proof::NeverStarted,
            Run::Running => Proof::Running,
            Run::Finished(_) => Proof::Finished,
        }
    }

    fn cancel(&self, target: &Target) {
        self.site.runs.lock().unwrap().remove(target);
    }
}

/// Settings with short times.
pub(crate) fn options(gateway: u64) -> Options {
    Options {
        gateway,
        beat_min_ms: 100,
        scan_ms: 50,
        write_patience_ms: 300,
        ..Options::default()
    }
}

/// Starts a gateway and waits until the store knows it.
pub(crate) fn gateway(options: Options, memory: &Arc<Memory>, site: &Arc<Site>) -> Durable {
    let lent = Lent {
        gateway: options.gateway,
        site: Arc::clone(site),
    };
    let table: Arc<Memory> = Arc::clone(memory);
    let objects = Arc::clone(memory);
    let durable = Durable::start(options, table, objects, Arc::new(lent));
    wait_until("the gateway is ready", || durable.ready());
    durable
}

pub(crate) fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let until = Instant::now() + LIMIT;
    while !done() {
        assert!(Instant::now() < until, "waited too long: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub(crate) fn asked(key: &str, body: &[u8]) -> Asked {
    Asked {
        organisation: "org-1".to_string(),
        kind: "order".to_string(),
        key: key.to_string(),
        digest: body_digest("POST", "/services/orders", body),
        idempotent: false,
        budget_ms: LIMIT.as_millis() as u64,
    }
}

pub(crate) fn work(body: &[u8]) -> Work {
    Work {
        organisation: "org-1".to_string(),
        kind: "order".to_string(),
        method: "POST".to_string(),
        path: "/services/orders".to_string(),
        content_type: "application/json".to_string(),
        body: body.to_vec(),
        idempotent: false,
    }
}
