//! The engine behind its server: one life after another, and the thread that drives the batch.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mgs_engine::engine::Error;
use mgs_engine::message::Info;
use mgs_engine::message::KvExport;
use mgs_engine::message::KvHandle;
use mgs_engine::message::Order;
use mgs_engine::message::Start;
use serde::Serialize;

use super::batch::Batch;
use super::journal::Journal;
use super::options::Options;
use super::progress::Progress;
use crate::gate::Gate;

/// How far a late scheduler runs ahead of real time to make up for it.
const CATCH_UP: Duration = Duration::from_millis(50);

/// The memory of an engine as it is, not as it is reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemoryUse {
    /// In use by streams and held KV, the idle cache excluded.
    pub used_tokens: u64,
    /// The idle cache.
    pub cached_tokens: u64,
    /// The most that was in use in this life.
    pub peak_tokens: u64,
    /// KV held outside streams.
    pub held_kv: Vec<KvHandle>,
}

/// What a life begins with and a crash ends.
pub(super) struct Life {
    /// Streams and memory.
    pub(super) batch: Batch,
    boot: u64,
    models: Vec<String>,
    loading: Vec<(Instant, String)>,
    role: String,
    fencing: u64,
}

/// The engine behind its server.
pub(super) struct Core {
    /// Settings.
    pub(super) options: Arc<Options>,
    /// Runs and orders.
    pub(super) journal: Arc<Journal>,
    /// Where calls wait while it is frozen.
    pub(super) gate: Gate,
    life: Mutex<Life>,
    work: Condvar,
    stopped: AtomicBool,
}

impl Core {
    /// An engine in its first life.
    pub(super) fn new(options: Options) -> Self {
        let options = Arc::new(options);
        let journal = Arc::new(Journal::new());
        Self {
            life: Mutex::new(Life::new(&options, &journal)),
            options,
            journal,
            gate: Gate::default(),
            work: Condvar::new(),
            stopped: AtomicBool::new(false),
        }
    }

    /// The life as it is now.
    pub(super) fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("no holder panics")
    }

    /// Starts a stream.
    pub(super) fn start(&self, start: Start) -> Result<Arc<Progress>, Error> {
        let mut life = self.life();
        if !life.serves(&start.model) {
            return Err(Error::Rejected("no such model".to_string()));
        }
        let progress = life.batch.start(start);
        self.work.notify_all();
        progress
    }

    /// Ends a stream and forgets it.
    pub(super) fn cancel(&self, stream: &str) -> Result<(), Error> {
        let result = self.life().batch.cancel(stream);
        self.work.notify_all();
        result
    }

    /// Frees held KV.
    pub(super) fn free(&self, kv: &str) -> Result<(), Error> {
        let result = self.life().batch.free(kv);
        self.work.notify_all();
        result
    }

    /// Exports KV, which takes as long as its prefill.
    pub(super) fn export(&self, export: &KvExport) -> Result<KvHandle, Error> {
        let progress = self.life().batch.export(export)?;
        self.work.notify_all();
        if let Some(progress) = progress {
            progress.wait(u64::MAX);
        }
        self.life().batch.kv().get(&export.kv)
    }

    /// Imports KV, which takes its time while the memory is held already.
    pub(super) fn import(&self, handle: &KvHandle) -> Result<KvHandle, Error> {
        let held = self.life().batch.import(handle)?;
        thread::sleep(self.options.import(handle.kv_tokens));
        Ok(held)
    }

    /// Obeys an order, or refuses an old one where that is checked.
    pub(super) fn order(&self, order: &Order) -> Result<(), Error> {
        let result = self.life().obey(order, &self.options);
        self.journal.order(order, result.is_ok());
        result
    }

    /// What the engine says of itself.
    pub(super) fn info(&self) -> Info {
        let mut life = self.life();
        life.finish_loading();
        Info {
            boot: life.boot,
            models: life.models.clone(),
            kv_capacity_tokens: self.options.kv_capacity_tokens,
            streams_max: self.options.streams_max,
            fencing: life.fencing,
            role: life.role.clone(),
        }
    }

    /// The memory as it is.
    pub(super) fn memory(&self) -> MemoryUse {
        let life = self.life();
        let memory = life.batch.memory();
        MemoryUse {
            used_tokens: memory.used_tokens(),
            cached_tokens: memory.cached_tokens(),
            peak_tokens: memory.peak_tokens(),
            held_kv: life.batch.kv().list(),
        }
    }

    /// Forgets everything and begins another life.
    pub(super) fn crash(&self) {
        let mut life = self.life();
        self.gate.crash();
        life.batch.crash();
        *life = Life::new(&self.options, &self.journal);
    }

    /// Ends the scheduler and cuts all streams.
    pub(super) fn stop(&self) {
        self.gate.freeze(false);
        let mut life = self.life();
        self.stopped.store(true, Ordering::Release);
        self.gate.crash();
        life.batch.crash();
        self.work.notify_all();
    }

    /// Drives the batch until the engine stops.
    pub(super) fn run(&self) {
        let mut clock = Instant::now();
        while !self.stopped.load(Ordering::Acquire) {
            let crashes = self.gate.pass();
            let (step, duration) = self.life().batch.begin_step();
            if step.is_empty() {
                self.wait_for_work();
                clock = Instant::now();
                continue;
            }
            let earliest = Instant::now().checked_sub(CATCH_UP);
            clock = earliest.map_or(clock, |earliest| clock.max(earliest)) + duration;
            self.gate.sleep_until(crashes, clock);
            self.gate.pass();
            let mut life = self.life();
            if crashes == self.gate.life() {
                life.batch.end_step(step);
            }
        }
    }

    fn wait_for_work(&self) {
        let life = self.life();
        let idle = |life: &mut Life| {
            let stopped = self.stopped.load(Ordering::Acquire);
            !stopped && life.batch.is_idle()
        };
        drop(self.work.wait_while(life, idle).expect("no holder panics"));
    }
}

impl Life {
    fn new(options: &Arc<Options>, journal: &Arc<Journal>) -> Self {
        Self {
            batch: Batch::new(Arc::clone(options), Arc::clone(journal)),
            boot: rand::random(),
            models: options.models.clone(),
            loading: Vec::new(),
            role: options.role.clone(),
            fencing: 0,
        }
    }

    fn serves(&mut self, model: &str) -> bool {
        self.finish_loading();
        self.models.iter().any(|served| served == model)
    }

    fn finish_loading(&mut self) {
        let now = Instant::now();
        while self.loading.first().is_some_and(|(due, _)| *due <= now) {
            let (_, model) = self.loading.remove(0);
            if !self.models.contains(&model) {
                self.models.push(model);
            }
        }
    }

    fn obey(&mut self, order: &Order, options: &Options) -> Result<(), Error> {
        if options.check_fencing {
            if order.fencing < self.fencing {
                return Err(Error::StaleFencing);
            }
            self.fencing = order.fencing;
        }
        match order.action.as_str() {
            "load" => {
                let due = Instant::now() + options.scaled(options.load_model_ms as f64);
                self.loading.push((due, order.subject.clone()));
            }
            "unload" => {
                self.loading.retain(|(_, model)| *model != order.subject);
                self.models.retain(|model| *model != order.subject);
            }
            "role" => self.role = order.subject.clone(),
            _ => return Err(Error::Rejected("no such action".to_string())),
        }
        self.finish_loading();
        Ok(())
    }
}
