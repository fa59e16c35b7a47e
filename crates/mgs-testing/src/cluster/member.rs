//! The place of a process: its ports, its routes and its starts.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::process::Process;
use crate::cluster::Error;
use crate::port::Port;
use crate::proxy::Route;

const POLL_MS: u64 = 10;

const ADMIN_TIMEOUT_MS: u64 = 500;

const SESSIONS_METRIC: &str = "mgs_gateway_sessions";

/// What a member is made of.
pub(super) struct Parts {
    /// Name of the place.
    pub(super) place: String,
    /// The binary.
    pub(super) binary: PathBuf,
    /// Its arguments.
    pub(super) arguments: Vec<String>,
    /// Its log.
    pub(super) log: PathBuf,
    /// Where it listens for those in front of it.
    pub(super) listen: Port,
    /// Where operators reach it.
    pub(super) admin: Port,
    /// Further ports that must stay its own.
    pub(super) _others: Vec<Port>,
    /// The way to it.
    pub(super) front: Route,
    /// Its way to the platform.
    pub(super) platform: Route,
}

/// The place of a gateway or a sidecar, whose process may be started many times.
pub struct Member {
    parts: Parts,
    process: Mutex<Option<Process>>,
    starts: AtomicU32,
}

impl Member {
    pub(super) fn new(parts: Parts) -> Self {
        Self {
            parts,
            process: Mutex::new(None),
            starts: AtomicU32::new(0),
        }
    }

    /// Name of the place.
    pub fn place(&self) -> &str {
        &self.parts.place
    }

    /// Name of the process that runs there now, or ran last.
    pub fn process_name(&self) -> String {
        let starts = self.starts.load(Ordering::Acquire);
        format!("{}#{starts}", self.parts.place)
    }

    /// The way to it.
    pub fn front(&self) -> &Route {
        &self.parts.front
    }

    /// Its way to the platform.
    pub fn platform(&self) -> &Route {
        &self.parts.platform
    }

    /// Where its metrics are read, past any proxy.
    pub fn admin(&self) -> SocketAddr {
        self.parts.admin.address()
    }

    /// Whether a process runs there, paused or not.
    pub fn is_running(&self) -> bool {
        self.locked().is_some()
    }

    /// Starts a process and waits until it listens. Does nothing if one runs.
    pub fn start(&self, limit_ms: u64) -> Result<(), Error> {
        let mut process = self.locked();
        if process.is_some() {
            return Ok(());
        }
        let parts = &self.parts;
        let started = Process::start(&parts.binary, &parts.arguments, &parts.log);
        *process = Some(started.map_err(|error| self.failed(error))?);
        self.starts.fetch_add(1, Ordering::AcqRel);
        drop(process);
        self.wait(limit_ms, || {
            TcpStream::connect(parts.listen.address()).is_ok()
        })?;
        parts.front.refuse(false)?;
        Ok(())
    }

    /// Waits until it says that it is ready.
    pub fn wait_ready(&self, limit_ms: u64) -> Result<(), Error> {
        self.wait(limit_ms, || self.admin_text("/readyz").is_some())
    }

    /// Kills the process without a warning.
    pub fn kill(&self) -> Result<(), Error> {
        if let Some(mut process) = self.locked().take() {
            process.kill().map_err(|error| self.failed(error))?;
            self.parts.front.refuse(true)?;
        }
        Ok(())
    }

    /// Stops the process's threads until [`Member::resume`].
    pub fn pause(&self) -> Result<(), Error> {
        self.signal(Process::pause)
    }

    /// Lets a paused process go on.
    pub fn resume(&self) -> Result<(), Error> {
        self.signal(Process::resume)
    }

    /// Asks the process to stop gracefully.
    pub fn terminate(&self) -> Result<(), Error> {
        self.signal(Process::terminate)
    }

    /// Waits for the end of a process that was asked to stop; whether it ended in time and well.
    /// One that somebody else killed meanwhile isn't judged.
    pub fn wait_exit(&self, limit_ms: u64) -> Result<bool, Error> {
        let asked = self.process_name();
        let end = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            let mut process = self.locked();
            let Some(running) = process.as_mut().filter(|_| asked == self.process_name()) else {
                return Ok(true);
            };
            let status = running.ended().map_err(|error| self.failed(error))?;
            if let Some(status) = status {
                *process = None;
                self.parts.front.refuse(true)?;
                return Ok(status.success());
            }
            drop(process);
            if Instant::now() >= end {
                return Ok(false);
            }
            thread::sleep(Duration::from_millis(POLL_MS));
        }
    }

    /// What it answers to operators, if it answers with success.
    pub fn admin_text(&self, path: &str) -> Option<String> {
        let limit = Duration::from_millis(ADMIN_TIMEOUT_MS);
        let url = format!("http://{}{path}", self.admin());
        let response = attohttpc::get(url).timeout(limit).send().ok()?;
        let success = response.is_success();
        response.text().ok().filter(|_| success)
    }

    /// The value of the first of these metrics that it has; they have no labels.
    pub fn first_metric(&self, names: &[&str]) -> Option<f64> {
        let text = self.admin_text("/metrics")?;
        names.iter().find_map(|name| value_of(&text, name))
    }

    /// Waits until a gateway has sessions with so many sidecars.
    pub(super) fn wait_sessions(&self, count: usize, limit_ms: u64) -> Result<(), Error> {
        self.wait(limit_ms, || {
            let sessions = self.first_metric(&[SESSIONS_METRIC]);
            sessions.is_some_and(|sessions| sessions >= count as f64)
        })
    }

    fn signal(&self, send: impl Fn(&Process) -> std::io::Result<()>) -> Result<(), Error> {
        match self.locked().as_ref() {
            Some(process) => send(process).map_err(|error| self.failed(error)),
            None => Ok(()),
        }
    }

    fn wait(&self, limit_ms: u64, done: impl Fn() -> bool) -> Result<(), Error> {
        let end = Instant::now() + Duration::from_millis(limit_ms);
        while !done() {
            if Instant::now() >= end {
                return Err(self.not_ready(limit_ms));
            }
            thread::sleep(Duration::from_millis(POLL_MS));
        }
        Ok(())
    }

    pub(super) fn not_ready(&self, limit_ms: u64) -> Error {
        let log = self.parts.log.display().to_string();
        Error::NotReady(self.process_name(), limit_ms, log)
    }

    fn failed(&self, error: std::io::Error) -> Error {
        Error::Process(self.parts.place.clone(), error)
    }

    /// A panic while the lock was held leaves a process that can still be killed.
    fn locked(&self) -> MutexGuard<'_, Option<Process>> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn value_of(metrics: &str, name: &str) -> Option<f64> {
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
    value.parse().ok()
}
