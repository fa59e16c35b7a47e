//! Bringing a process up to date: polling the log, peers while the store is down, readiness.
//!
//! A [`Follower`] has no thread and no clock; its owner calls [`Follower::poll`] and waits as
//! long as the outcome says. One poll is one read of the store, so that reads grow with the
//! gateways only; [`Options::reads_per_s`] bounds them over all gateways.

use std::fmt;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use mgs_platform::object::Objects;
use mgs_platform::table::Table as TableService;
use mgs_platform::table::PAGE_ROWS_MAX;
use mgs_schema::wire::SettingsReply;

use crate::hold::Holder;
use crate::store::read;
use crate::store::read::Store;
use crate::store::Error;

/// Other gateways, asked while the store can't be.
pub trait Peers: Send + Sync {
    /// Asks each peer that can be reached for settings after a version. Peers that aren't ready
    /// themselves have no say and are left out.
    fn ask(&self, since_version: u64) -> Vec<SettingsReply>;
}

/// No peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoPeers;

impl Peers for NoPeers {
    fn ask(&self, _since_version: u64) -> Vec<SettingsReply> {
        Vec::new()
    }
}

/// Settings of a follower.
#[derive(Debug, Clone)]
pub struct Options {
    /// Time between polls, in milliseconds, before jitter.
    pub poll_interval_ms: u64,
    /// Reads per second that all gateways together may spend on polls.
    pub reads_per_s: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            poll_interval_ms: 1_000,
            reads_per_s: 200,
        }
    }
}

/// What a poll brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Whether a newer version is in force.
    pub changed: bool,
    /// When to poll again, in milliseconds.
    pub wait_ms: u64,
    /// Why the store gave nothing, if it didn't.
    pub error: Option<Error>,
}

/// Brings a [`Holder`] up to date.
pub struct Follower {
    options: Options,
    holder: Arc<Holder>,
    table: Arc<dyn TableService>,
    objects: Arc<dyn Objects>,
    peers: Box<dyn Peers>,
    ready: AtomicBool,
}

impl fmt::Debug for Follower {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Follower")
            .field("options", &self.options)
            .field("version", &self.holder.version())
            .field("ready", &self.ready())
            .finish_non_exhaustive()
    }
}

impl Follower {
    /// A follower of these services; nothing is read yet.
    pub fn new(
        options: Options,
        table: Arc<dyn TableService>,
        objects: Arc<dyn Objects>,
        peers: Box<dyn Peers>,
    ) -> Self {
        Self {
            options,
            holder: Arc::new(Holder::default()),
            table,
            objects,
            peers,
            ready: AtomicBool::new(false),
        }
    }

    /// What is in force.
    pub fn holder(&self) -> &Arc<Holder> {
        &self.holder
    }

    /// Whether the process may serve: it has been as new as the store or, while the store was
    /// down, as the newest peer that could be reached.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Reads what is new. `gateways` is how many gateways share the store's budget, `random` is
    /// fresh for each call.
    pub fn poll(&self, gateways: u64, random: u64) -> Outcome {
        let before = self.holder.version();
        let result = if self.ready() {
            self.catch_up()
        } else {
            self.start()
        };
        let wait_ms = match result {
            Ok(true) => 0,
            Ok(false) | Err(_) => self.wait_ms(gateways, random),
        };
        Outcome {
            changed: self.holder.version() > before,
            wait_ms,
            error: result.err(),
        }
    }

    /// Brings the process to at least the version that the store had when this was called: one
    /// read of the head and, unless the process is that new already, one of the log.
    pub fn wait_for_head(&self) -> Result<u64, Error> {
        let head = read::head(self.table.as_ref())?;
        while self.holder.version() < head.head.version {
            self.read_log()?;
        }
        Ok(self.holder.version())
    }

    /// Returns whether there may be more to read at once.
    fn catch_up(&self) -> Result<bool, Error> {
        let result = self.read_log();
        if result.is_err() {
            self.ask_peers();
        }
        result
    }

    fn start(&self) -> Result<bool, Error> {
        let head = read::head(self.table.as_ref());
        let Ok(head) = head else {
            if self.ask_peers() {
                self.ready.store(true, Ordering::Release);
            }
            return head.map(|_| false);
        };
        let mut result = self.read_log();
        if result.is_err() && self.ask_peers() {
            result = self.read_log();
        }
        if self.holder.version() >= head.head.version {
            self.ready.store(true, Ordering::Release);
        }
        result
    }

    fn read_log(&self) -> Result<bool, Error> {
        let version = self.holder.version();
        match read::edits_after(self.table.as_ref(), version) {
            Ok(edits) => {
                self.holder.adopt_edits(&edits)?;
                Ok(edits.len() == PAGE_ROWS_MAX)
            }
            Err(Error::Gap(_)) => self.read_whole(),
            Err(error) => Err(error),
        }
    }

    fn read_whole(&self) -> Result<bool, Error> {
        let store = Store {
            table: self.table.as_ref(),
            objects: self.objects.as_ref(),
        };
        let table = read::load(store)?;
        self.holder.adopt_snapshot(table.snapshot().clone());
        Ok(false)
    }

    /// Takes the newest that any peer holds; returns whether any answered. An answer whose edits
    /// don't follow is left out: its sender answered an older question.
    fn ask_peers(&self) -> bool {
        let replies = self.peers.ask(self.holder.version());
        let mut answered = false;
        for reply in replies {
            let version = reply.version;
            let adopted = self.holder.adopt_reply(reply).is_ok();
            answered |= adopted && version > 0 && self.holder.version() >= version;
        }
        answered
    }

    /// The interval, stretched so that all gateways stay in their budget, and jitter of a quarter
    /// of it to either side.
    fn wait_ms(&self, gateways: u64, random: u64) -> u64 {
        const MS_PER_S: u64 = 1_000;
        let fair_ms = gateways * MS_PER_S / self.options.reads_per_s.max(1);
        let interval_ms = self.options.poll_interval_ms.max(fair_ms);
        let spread_ms = interval_ms / 2;
        interval_ms - spread_ms / 2 + random % (spread_ms + 1)
    }
}
