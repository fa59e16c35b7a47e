//! The facade of this crate for one process.

use std::collections::HashSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel;
use crossbeam::channel::Sender;
use mgs_platform::object::Objects;
use mgs_platform::table::Table;
use mgs_platform::Error;

use crate::claim;
use crate::claim::Asked;
use crate::claim::Claimed;
use crate::clock::Clock;
use crate::core::lock;
use crate::core::Core;
use crate::entry::async_key;
use crate::entry::is_id;
use crate::entry::Done;
use crate::executor::Answer;
use crate::executor::Executor;
use crate::executor::Work;
use crate::grouper;
use crate::grouper::Grouper;
use crate::keeper::Keeper;
use crate::lease::Watch;
use crate::metrics::Metrics;
use crate::request;
use crate::request::Cancelled;
use crate::request::Status;
use crate::request::Submitted;
use crate::run;
use crate::tenure;
use crate::tenure::Closing;
use crate::worker;
use crate::worker::Worker;

/// Wait between two looks at whether the last request has ended.
const PAUSE: Duration = Duration::from_millis(20);

/// Settings.
#[derive(Debug, Clone)]
pub struct Options {
    /// Incarnation of this gateway, random at its start and never 0.
    pub gateway: u64,
    /// How writes are grouped.
    pub grouper: grouper::Options,
    /// Transactions of all gateways together that the store is given per second; each gateway
    /// groups its writes for as long as its share of them asks.
    pub txns_per_s: u64,
    /// Longest wait for one write, in milliseconds.
    pub write_patience_ms: u64,
    /// How long a withdrawn request's tombstone must last, in milliseconds: longer than the
    /// longest allotted time.
    pub tombstone_ms: u64,
    /// How long an entry is kept after its request's allotted time, in milliseconds.
    pub keep_ms: u64,
    /// How long a tenure that was given up is looked for, in milliseconds.
    pub surrender_ms: u64,
    /// Shortest time between two beats, in milliseconds; five missed ones end a lease.
    pub beat_min_ms: u64,
    /// Time between two scans, in milliseconds.
    pub scan_ms: u64,
    /// Durable requests that this process works on at once, at most.
    pub held_max: usize,
    /// Expired entries deleted in one pass, at most.
    pub deletes_max: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            gateway: 1,
            grouper: grouper::Options::default(),
            txns_per_s: 200,
            write_patience_ms: 2_000,
            tombstone_ms: 2 * 3_600_000,
            keep_ms: 24 * 3_600_000,
            surrender_ms: 60_000,
            beat_min_ms: 1_000,
            scan_ms: 2_000,
            held_max: 64,
            deletes_max: 20,
        }
    }
}

/// Keyed and durable requests of one gateway.
#[derive(Debug)]
pub struct Durable {
    core: Arc<Core>,
    closers: Option<Sender<Closing>>,
    threads: Vec<JoinHandle<()>>,
}

impl Durable {
    /// Starts the threads. Until the store has been reached once, keyed and durable requests
    /// count as in an outage.
    pub fn start(
        options: Options,
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        executor: Arc<dyn Executor>,
    ) -> Self {
        let metrics = Arc::new(Metrics::default());
        let (grouper, grouping) = Grouper::start(
            options.grouper.clone(),
            Arc::clone(&table),
            Arc::clone(&metrics),
        );
        let core = Arc::new(Core {
            options,
            table,
            objects,
            executor,
            grouper,
            metrics,
            watch: Mutex::new(Watch::default()),
            clock: Mutex::new(Clock::default()),
            active: Mutex::new(HashSet::new()),
            surrendered: Mutex::new(Vec::new()),
            working: Mutex::new(HashSet::new()),
            beaten: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            started: Instant::now(),
        });
        let (closers, inbox) = channel::unbounded();
        // Grouper and closers end by themselves, after the last part that may write.
        drop(grouping);
        drop(tenure::start_closers(&inbox));
        let keeper = Keeper::new(Arc::clone(&core));
        let worker = Worker::new(Arc::clone(&core), closers.clone());
        let threads = vec![
            spawn("durable-keeper", move || keeper.run()),
            spawn("durable-worker", move || worker.run()),
        ];
        Self {
            core,
            closers: Some(closers),
            threads,
        }
    }

    /// Whether the store knows this gateway, so that keyed and durable requests can be taken.
    pub fn ready(&self) -> bool {
        self.core.shared_ms().is_some()
    }

    /// Claims a keyed request. Blocks for a write, and while an earlier request of the same key
    /// runs, within the budget.
    pub fn claim(&self, asked: &Asked) -> Claimed {
        claim::claim(&self.core, self.closers(), asked)
    }

    /// Keeps a durable request; [`Asked::key`] may be empty. Blocks for the writes.
    pub fn submit(&self, asked: &Asked, work: &Work) -> Submitted {
        let kept = request::submit(&self.core, asked, work);
        if let Some(pursuit) = kept.held {
            run::start(&self.core, self.closers(), pursuit);
        }
        kept.submitted
    }

    /// Where a durable request of this organisation stands. One that is past its time and whose
    /// holder hasn't ended it is ended first.
    pub fn status(&self, organisation: &str, id: &str) -> Result<Option<Status>, Error> {
        if is_id(id) {
            self.end_overdue(&async_key(id))?;
        }
        let status = request::status(self.core.table.as_ref(), id)?;
        Ok(status.filter(|status| status.entry.organisation == organisation))
    }

    fn end_overdue(&self, key: &str) -> Result<(), Error> {
        let Some(shared_ms) = self.core.shared_ms() else {
            return Ok(());
        };
        let Some((row, entry)) = self.core.read(key)? else {
            return Ok(());
        };
        if worker::is_overdue(&entry, shared_ms) {
            worker::take(&self.core, self.closers(), row, entry, shared_ms);
        }
        Ok(())
    }

    /// The answer of an ended request.
    pub fn answer(&self, done: &Done) -> Result<Answer, Error> {
        self.core.read_answer(done)
    }

    /// Cancels a durable request of this organisation.
    pub fn cancel(&self, organisation: &str, id: &str) -> Result<Cancelled, Error> {
        match self.status(organisation, id)? {
            Some(_) => request::cancel(self.core.table.as_ref(), id),
            None => Ok(Cancelled::NotFound),
        }
    }

    /// Counters.
    pub fn metrics(&self) -> &Metrics {
        &self.core.metrics
    }

    /// Takes no more durable requests, waits until those at work have ended or `limit_ms` is
    /// over, and stops. What hasn't ended is left to other gateways.
    pub fn drain(mut self, limit_ms: u64) {
        let until = Instant::now() + Duration::from_millis(limit_ms);
        self.core.draining.store(true, Ordering::Relaxed);
        while Instant::now() < until && !lock(&self.core.active).is_empty() {
            thread::sleep(PAUSE);
        }
        self.stop();
        for thread in self.threads.drain(..) {
            // A thread that panicked has logged why.
            let _ = thread.join();
        }
    }

    fn stop(&mut self) {
        self.core.draining.store(true, Ordering::Relaxed);
        self.core.stopping.store(true, Ordering::Relaxed);
        self.closers = None;
    }

    fn closers(&self) -> &Sender<Closing> {
        self.closers.as_ref().expect("present until it is stopped")
    }
}

impl Drop for Durable {
    fn drop(&mut self) {
        self.stop();
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    let thread = thread::Builder::new().name(name.to_string());
    thread.spawn(body).expect("the system can start a thread")
}
