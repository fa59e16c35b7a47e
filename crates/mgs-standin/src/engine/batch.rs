//! One life of an engine: its streams, its memory and the steps of its batch.
//!
//! [`Batch`] has no thread; the scheduler begins a step, waits for as long as the step takes, and
//! ends it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mgs_engine::engine::Error;
use mgs_engine::message::KvExport;
use mgs_engine::message::KvHandle;
use mgs_engine::message::Load;
use mgs_engine::message::Start;
use mgs_engine::message::StreamInfo;

use super::held::HeldKv;
use super::job::Job;
use super::job::JobKey;
use super::job::Kind;
use super::job::Phase;
use super::journal::Journal;
use super::journal::RunEnd;
use super::memory::Memory;
use super::options::Options;
use super::progress::End;
use super::progress::Progress;
use super::report::CacheLog;
use super::report::LoadLog;

/// The jobs of one step.
#[derive(Debug, Default)]
pub(super) struct Step {
    prefill: Vec<(JobKey, u64)>,
    decode: Vec<JobKey>,
}

impl Step {
    /// Whether there is nothing to do.
    pub(super) fn is_empty(&self) -> bool {
        self.prefill.is_empty() && self.decode.is_empty()
    }
}

/// The streams and memory of one life.
pub(super) struct Batch {
    options: Arc<Options>,
    journal: Arc<Journal>,
    jobs: BTreeMap<JobKey, Job>,
    by_id: HashMap<String, JobKey>,
    exports: HashMap<String, JobKey>,
    waiting: BTreeSet<(u32, JobKey)>,
    running: BTreeSet<(u32, JobKey)>,
    next_key: JobKey,
    memory: Memory,
    kv: HeldKv,
    loads: LoadLog,
    cache: CacheLog,
}

impl Batch {
    /// An idle engine.
    pub(super) fn new(options: Arc<Options>, journal: Arc<Journal>) -> Self {
        let lag = options.scaled(options.load_lag_ms as f64);
        let delay = options.scaled(options.cache_event_delay_ms as f64);
        Self {
            jobs: BTreeMap::new(),
            by_id: HashMap::new(),
            exports: HashMap::new(),
            waiting: BTreeSet::new(),
            running: BTreeSet::new(),
            next_key: JobKey::default(),
            memory: Memory::new(options.kv_capacity_tokens),
            kv: HeldKv::default(),
            loads: LoadLog::new(lag),
            cache: CacheLog::new(delay, options.cache_event_lose_every),
            options,
            journal,
        }
    }

    /// Accepts a stream.
    pub(super) fn start(&mut self, start: Start) -> Result<Arc<Progress>, Error> {
        self.forget_finished(Instant::now());
        if self.by_id.contains_key(&start.stream) {
            return Err(Error::Exists);
        }
        let covered_tokens = self.kv.text_tokens(&start.kv)?;
        let job = Job::stream(start, covered_tokens, self.options.prompt_kept_bytes);
        self.accept(job)
    }

    /// Finds a stream.
    pub(super) fn resume(&mut self, stream: &str) -> Result<Arc<Progress>, Error> {
        self.forget_finished(Instant::now());
        let job = self.by_id.get(stream).and_then(|key| self.jobs.get(key));
        job.map(|job| Arc::clone(&job.progress))
            .ok_or(Error::NotFound)
    }

    /// Ends a stream and forgets it.
    pub(super) fn cancel(&mut self, stream: &str) -> Result<(), Error> {
        let key = *self.by_id.get(stream).ok_or(Error::NotFound)?;
        if self.jobs[&key].phase != Phase::Finished {
            self.finish(key, true);
        }
        self.forget(key);
        Ok(())
    }

    /// Lists streams.
    pub(super) fn streams(&mut self) -> Vec<StreamInfo> {
        self.forget_finished(Instant::now());
        let streams = self.jobs.values().filter(|job| job.kind == Kind::Stream);
        let info = |job: &Job| StreamInfo {
            stream: job.id.clone(),
            finished: job.phase == Phase::Finished,
            kv_tokens: job.hold.tokens(),
        };
        streams.map(info).collect()
    }

    /// Begins an export; `None` if it has been made already.
    pub(super) fn export(&mut self, export: &KvExport) -> Result<Option<Arc<Progress>>, Error> {
        if self.kv.contains(&export.kv) {
            return Ok(None);
        }
        if let Some(key) = self.exports.get(&export.kv) {
            return Ok(Some(Arc::clone(&self.jobs[key].progress)));
        }
        self.accept(Job::export(export)).map(Some)
    }

    /// Holds imported KV.
    pub(super) fn import(&mut self, handle: &KvHandle) -> Result<KvHandle, Error> {
        if !self.kv.contains(&handle.kv) {
            let tokens = handle.kv_tokens.div_ceil(self.options.kv_import_ratio);
            let hold = self.memory.reserve(&[], tokens).ok_or(Error::Full)?;
            self.kv.insert(&handle.kv, handle.kv_tokens, hold);
            self.note(Instant::now());
        }
        self.kv.get(&handle.kv)
    }

    /// KV held outside streams.
    pub(super) fn kv(&self) -> &HeldKv {
        &self.kv
    }

    /// Frees held KV.
    pub(super) fn free(&mut self, kv: &str) -> Result<(), Error> {
        let hold = self.kv.remove(kv)?;
        self.memory.release(hold);
        self.admit();
        self.note(Instant::now());
        Ok(())
    }

    /// Whether nothing runs.
    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// The memory as it is now.
    pub(super) fn memory(&self) -> &Memory {
        &self.memory
    }

    /// The log of loads.
    pub(super) fn loads(&mut self) -> &mut LoadLog {
        &mut self.loads
    }

    /// The log of cache events.
    pub(super) fn cache(&self) -> &CacheLog {
        &self.cache
    }

    /// Cuts all streams; the engine has crashed.
    pub(super) fn crash(&mut self) {
        for job in self.jobs.values_mut() {
            job.progress.cut();
            if let Some(execution) = job.execution.take() {
                self.journal.end(execution, RunEnd::Crashed);
            }
        }
    }

    /// Chooses the work of the next step.
    pub(super) fn begin_step(&mut self) -> (Step, Duration) {
        let mut step = Step::default();
        let mut budget = self.options.prefill_chunk_tokens;
        for (_, key) in &self.running {
            match self.jobs[key].phase {
                Phase::Prefill { left_tokens } if budget > 0 => {
                    let tokens = left_tokens.min(budget);
                    budget -= tokens;
                    step.prefill.push((*key, tokens));
                }
                Phase::Decode => step.decode.push(*key),
                _ => {}
            }
        }
        for (key, _) in &step.prefill {
            self.note_execution(*key);
        }
        let prefill = step.prefill.iter().map(|(_, tokens)| tokens).sum();
        let duration = self.options.step(prefill, step.decode.len());
        (step, duration)
    }

    /// Gives the streams what the step has made; those cancelled meanwhile get nothing.
    pub(super) fn end_step(&mut self, step: Step) {
        for (key, tokens) in step.prefill {
            self.prefill(key, tokens);
        }
        for key in step.decode {
            self.decode(key);
        }
        self.admit();
        self.note(Instant::now());
    }

    fn accept(&mut self, job: Job) -> Result<Arc<Progress>, Error> {
        if job.total_tokens > self.options.kv_capacity_tokens {
            return Err(Error::Rejected("the prompt can never fit".to_string()));
        }
        let key = self.next_key;
        self.next_key = key.next();
        let progress = Arc::clone(&job.progress);
        match job.kind {
            Kind::Stream => self.by_id.insert(job.id.clone(), key),
            Kind::Export => self.exports.insert(job.id.clone(), key),
        };
        self.waiting.insert((job.priority, key));
        self.jobs.insert(key, job);
        self.admit();
        let waits = self.jobs[&key].phase == Phase::Waiting;
        if waits && self.waiting.len() > self.options.waiting_max as usize {
            self.forget(key);
            return Err(Error::Full);
        }
        self.note(Instant::now());
        Ok(progress)
    }

    /// Starts what waits, in order, until one doesn't fit.
    fn admit(&mut self) {
        while let Some((priority, key)) = self.waiting.first().copied() {
            if self.running.len() >= self.options.streams_max as usize {
                return;
            }
            let job = self.jobs.get_mut(&key).expect("waiting jobs exist");
            let Some(hold) = self.memory.reserve(&job.blocks, job.total_tokens) else {
                return;
            };
            job.begin(hold);
            self.waiting.remove(&(priority, key));
            self.running.insert((priority, key));
        }
    }

    fn note_execution(&mut self, key: JobKey) {
        let job = self.jobs.get_mut(&key).expect("running jobs exist");
        if job.kind == Kind::Stream && job.execution.is_none() {
            job.execution = Some(self.journal.begin(job.new_execution()));
        }
    }

    fn prefill(&mut self, key: JobKey, tokens: u64) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let Phase::Prefill { left_tokens } = &mut job.phase else {
            return;
        };
        *left_tokens -= tokens;
        if *left_tokens > 0 {
            return;
        }
        job.phase = Phase::Decode;
        self.memory.publish(&mut job.hold, &job.blocks);
        if job.max_tokens == 0 {
            return self.finish(key, false);
        }
        // The step that ends the prefill yields the first token.
        self.decode(key);
    }

    fn decode(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        if job.phase != Phase::Decode {
            return;
        }
        job.progress.generate();
        if job.progress.seen().generated == job.max_tokens {
            self.finish(key, false);
        }
    }

    fn finish(&mut self, key: JobKey, cancelled: bool) {
        let job = self.jobs.get_mut(&key).expect("only known jobs finish");
        let cached_tokens = job.hold.cached_tokens().min(job.prompt_tokens);
        let hold = std::mem::take(&mut job.hold);
        job.phase = Phase::Finished;
        job.finished = Some(Instant::now());
        self.waiting.remove(&(job.priority, key));
        self.running.remove(&(job.priority, key));
        if let Some(execution) = job.execution.take() {
            let whole = if cancelled {
                RunEnd::Cancelled
            } else {
                RunEnd::Whole
            };
            self.journal.end(execution, whole);
        }
        if job.kind == Kind::Export && !cancelled {
            self.kv.insert(&job.id, job.prompt_tokens, hold);
        } else {
            self.memory.release(hold);
        }
        job.progress.end(End {
            cached_tokens,
            cancelled,
        });
        if job.kind == Kind::Export {
            self.forget(key);
        }
        self.admit();
        self.note(Instant::now());
    }

    fn forget(&mut self, key: JobKey) {
        let job = self
            .jobs
            .remove(&key)
            .expect("only known jobs are forgotten");
        self.waiting.remove(&(job.priority, key));
        match job.kind {
            Kind::Stream => self.by_id.remove(&job.id),
            Kind::Export => self.exports.remove(&job.id),
        };
    }

    fn forget_finished(&mut self, now: Instant) {
        let keep = Duration::from_millis(self.options.keep_finished_ms);
        let old = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_forgettable(now, keep));
        let old: Vec<_> = old.map(|(key, _)| *key).collect();
        for key in old {
            self.forget(key);
        }
    }

    /// Notes load and cache events.
    fn note(&mut self, now: Instant) {
        let jobs = self.jobs.values();
        let left = jobs.map(Job::prefill_left_tokens).sum();
        let load = Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            kv_used_tokens: self.memory.used_tokens(),
            prefill_waiting_tokens: left,
        };
        self.loads.note(now, load);
        let changes = self.memory.take_changes();
        self.cache.note(now, changes);
    }
}
