//! The thread that groups conditional writes into transactions.

use std::collections::HashSet;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::RecvError;
use crossbeam::channel::Sender;
use mgs_platform::table::Row;
use mgs_platform::table::Table;
use mgs_platform::table::Txn;
use mgs_platform::table::TXN_ROWS_MAX;
use mgs_platform::Error;

use crate::batch::Batch;
use crate::batch::Op;
use crate::batch::Step;
use crate::batch::Written;
use crate::metrics::Metrics;

/// Settings of a grouper.
#[derive(Debug, Clone)]
pub struct Options {
    /// Shortest time between the starts of two transactions, in milliseconds, unless
    /// [`Grouper::set_window`] says another one. Writes that come meanwhile are grouped.
    pub window_ms: u64,
    /// Most writes in one transaction.
    pub group_max: usize,
    /// Wait before a transaction is tried again, in milliseconds.
    pub retry_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            window_ms: 5,
            group_max: TXN_ROWS_MAX,
            retry_ms: 50,
        }
    }
}

struct Job {
    op: Op,
    until: Instant,
    reply: Sender<Written>,
}

/// A handle to the thread; it ends when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct Grouper {
    jobs: Sender<Job>,
    window_ms: Arc<AtomicU64>,
}

impl Grouper {
    /// Starts the thread.
    pub fn start(
        options: Options,
        table: Arc<dyn Table>,
        metrics: Arc<Metrics>,
    ) -> (Self, JoinHandle<()>) {
        let (jobs, inbox) = channel::unbounded();
        let window_ms = Arc::new(AtomicU64::new(options.window_ms));
        let runner = Runner {
            window_ms: Arc::clone(&window_ms),
            options,
            table,
            metrics,
            inbox,
            deferred: Vec::new(),
        };
        let thread = thread::Builder::new().name("durable-grouper".to_string());
        let thread = thread.spawn(move || runner.run());
        let thread = thread.expect("the system can start a thread");
        (Self { jobs, window_ms }, thread)
    }

    /// Sets the shortest time between the starts of two transactions, in milliseconds.
    pub fn set_window(&self, window_ms: u64) {
        self.window_ms.store(window_ms, Ordering::Relaxed);
    }

    /// Makes a conditional write and waits for its outcome, at most about `patience`.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use std::time::Duration;
    ///
    /// use mgs_durable::batch::Op;
    /// use mgs_durable::batch::Written;
    /// use mgs_durable::grouper::Grouper;
    /// use mgs_durable::grouper::Options;
    /// use mgs_standin::platform::memory::Memory;
    ///
    /// let table = Arc::new(Memory::default());
    /// let (grouper, thread) = Grouper::start(Options::default(), table, Arc::default());
    /// let op = Op { key: "a".to_string(), expected: 0, value: Some("1".to_string()) };
    /// assert!(matches!(grouper.write(op, Duration::from_secs(5)), Written::Done(_)));
    /// drop(grouper);
    /// thread.join().unwrap();
    /// ```
    pub fn write(&self, op: Op, patience: Duration) -> Written {
        let (reply, outcome) = channel::bounded(1);
        let until = Instant::now() + patience;
        if self.jobs.send(Job { op, until, reply }).is_err() {
            return Written::Unavailable;
        }
        outcome.recv().unwrap_or(Written::Unknown)
    }
}

struct Runner {
    window_ms: Arc<AtomicU64>,
    options: Options,
    table: Arc<dyn Table>,
    metrics: Arc<Metrics>,
    inbox: Receiver<Job>,
    /// Writes that wait because another one of the same row goes first.
    deferred: Vec<Job>,
}

impl Runner {
    fn run(mut self) {
        loop {
            let began = Instant::now();
            let group = match self.collect() {
                Ok(group) => group,
                Err(RecvError) => return,
            };
            self.make(group);
            let window = Duration::from_millis(self.window_ms.load(Ordering::Relaxed));
            thread::sleep(window.saturating_sub(began.elapsed()));
        }
    }

    /// The next group: waits for a first write, then takes what else is there.
    fn collect(&mut self) -> Result<Vec<Job>, RecvError> {
        let mut waiting = std::mem::take(&mut self.deferred);
        if waiting.is_empty() {
            waiting.push(self.inbox.recv()?);
        }
        waiting.extend(self.inbox.try_iter());
        let mut keys = HashSet::new();
        let mut group = Vec::new();
        for job in waiting {
            let fits = group.len() < self.options.group_max;
            if fits && keys.insert(job.op.key.clone()) {
                group.push(job);
            } else {
                self.deferred.push(job);
            }
        }
        Ok(group)
    }

    /// Drives one group to its end.
    fn make(&self, group: Vec<Job>) {
        let mut batch = Batch::new(group.iter().map(|job| job.op.clone()).collect());
        loop {
            batch.give_up(|place| Instant::now() >= group[place].until);
            self.answer(&group, &mut batch);
            let failed = match batch.step() {
                Step::Finished => return,
                Step::Commit(txn) => self.commit(&mut batch, &txn),
                Step::ReadBack(keys) => self.read_back(&mut batch, &keys),
            };
            self.answer(&group, &mut batch);
            if failed {
                thread::sleep(Duration::from_millis(self.options.retry_ms));
            }
        }
    }

    fn answer(&self, group: &[Job], batch: &mut Batch) {
        for (place, written) in batch.take_ended() {
            self.metrics.count_write(&written);
            // A caller that no longer waits needs no answer.
            let _ = group[place].reply.send(written);
        }
    }

    /// Makes a transaction; returns whether to wait before the next step.
    fn commit(&self, batch: &mut Batch, txn: &Txn) -> bool {
        self.metrics.txns.add(1);
        let reply = self.table.commit(txn);
        if let Err(error) = &reply {
            log::warn!(error:% = error, writes = txn.writes.len(); "group of writes failed");
        }
        let failed = reply.is_err();
        batch.committed(reply);
        failed
    }

    fn read_back(&self, batch: &mut Batch, keys: &[String]) -> bool {
        self.metrics.settled.add(1);
        let rows: Result<Vec<Option<Row>>, Error> =
            keys.iter().map(|key| self.table.get(key)).collect();
        match rows {
            Ok(rows) => batch.read_back(rows),
            Err(error) => {
                log::warn!(error:% = error; "writes can't be read back yet");
                return true;
            }
        }
        false
    }
}
