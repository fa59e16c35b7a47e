//! Step-based model of an engine and of the queue in its sidecar.

use std::collections::HashMap;
use std::collections::VecDeque;

/// KV memory of an engine, in tokens.
const KV_CAPACITY_TOKENS: u64 = 400_000;
/// Maximum number of prompt tokens that one step processes (chunked prefill).
const CHUNK_TOKENS: u64 = 512;
/// Prefill rate of an engine with speed 1.
const PREFILL_TOKENS_PER_MS: f64 = 20.0;
/// Duration of a decode step, apart from the part per request.
const DECODE_STEP_MS: f64 = 12.0;
/// Additional duration of a decode step for each decoding request.
const DECODE_STEP_MS_PER_REQUEST: f64 = 0.05;
/// Maximum number of blocks in the prefix cache.
const CACHE_BLOCKS_MAX: usize = 600;
/// Number of bypasses after which a job that doesn't fit blocks the jobs behind it.
const BYPASSES_MAX: u32 = 16;

/// A request at an engine.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) id: usize,
    pub(crate) priority: u32,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) hashes: Vec<u64>,
    pub(crate) deadline_ms: u64,
    pub(crate) remaining_prompt_tokens: u64,
    pub(crate) generated_tokens: u64,
    pub(crate) bypass_count: u32,
}

impl Job {
    /// KV memory of prompt and answer, in tokens.
    fn kv_tokens(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens
    }
}

/// Event of a step. `Expired` means that the deadline passed while the job was waiting.
#[derive(Debug, Clone, Copy)]
pub(crate) enum EngineEvent {
    FirstToken { id: usize },
    Finished { id: usize },
    Expired { id: usize },
}

/// An engine with its sidecar's queue, both ordered by priority.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    waiting: Vec<Job>,
    running: Vec<Job>,
    cached: HashMap<u64, u64>,
    cache_order: VecDeque<u64>,
    insertions: u64,
    pub(crate) speed: f64,
    /// Block hashes inserted into the cache (`true`) or evicted (`false`) since the last report.
    pub(crate) cache_changes: Vec<(u64, bool)>,
    prefill_tokens_per_ms: f64,
}

impl Engine {
    pub(crate) fn new(speed: f64) -> Self {
        Self {
            speed,
            prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
            ..Self::default()
        }
    }

    pub(crate) fn push(&mut self, job: Job) {
        let index = self.waiting.partition_point(|j| j.priority <= job.priority);
        self.waiting.insert(index, job);
    }

    pub(crate) fn kv_used_tokens(&self) -> u64 {
        let all = self.running.iter().chain(&self.waiting);
        all.map(Job::kv_tokens).sum()
    }

    fn running_kv_tokens(&self) -> u64 {
        self.running.iter().map(Job::kv_tokens).sum()
    }

    pub(crate) fn request_counts(&self) -> (u32, u32) {
        (self.waiting.len() as u32, self.running.len() as u32)
    }

    pub(crate) fn prefill_waiting_tokens(&self, prompt_tokens_max: u64) -> u64 {
        let all = self.running.iter().chain(&self.waiting);
        all.filter(|j| j.prompt_tokens <= prompt_tokens_max)
            .map(|j| j.remaining_prompt_tokens)
            .sum()
    }

    pub(crate) fn prefill_tokens_per_s(&self) -> f64 {
        self.prefill_tokens_per_ms * 1_000.0
    }

    pub(crate) fn kv_capacity_tokens(&self) -> u64 {
        KV_CAPACITY_TOKENS
    }

    /// Drops expired jobs, then starts waiting jobs that fit into the free memory, in order. Jobs
    /// that don't fit are bypassed up to [`BYPASSES_MAX`] times.
    fn start_waiting_jobs(&mut self, now_ms: u64, events: &mut Vec<EngineEvent>) {
        let is_expired = |j: &Job| j.deadline_ms <= now_ms;
        for job in self.waiting.iter().filter(|j| is_expired(j)) {
            events.push(EngineEvent::Expired { id: job.id });
        }
        self.waiting.retain(|j| !is_expired(j));
        let mut index = 0;
        while index < self.waiting.len() {
            let fits =
                self.running_kv_tokens() + self.waiting[index].kv_tokens() <= KV_CAPACITY_TOKENS;
            if !fits {
                if self.waiting[index].bypass_count >= BYPASSES_MAX {
                    return;
                }
                index += 1;
                continue;
            }
            let mut job = self.waiting.remove(index);
            for bypassed in &mut self.waiting[..index] {
                bypassed.bypass_count += 1;
            }
            let cached_blocks = job
                .hashes
                .iter()
                .take_while(|h| self.cached.contains_key(h));
            let cached_tokens = cached_blocks.count() as u64 * 256;
            job.remaining_prompt_tokens = job.prompt_tokens.saturating_sub(cached_tokens).max(1);
            let index = self.running.partition_point(|j| j.priority <= job.priority);
            self.running.insert(index, job);
        }
    }

    /// Runs one step that begins at `now_ms` and returns its duration in milliseconds, or `None` if
    /// no job is running.
    pub(crate) fn step(&mut self, now_ms: u64, events: &mut Vec<EngineEvent>) -> Option<f64> {
        self.start_waiting_jobs(now_ms, events);
        if self.running.is_empty() {
            return None;
        }
        let mut chunk_budget_tokens = CHUNK_TOKENS;
        let decoding_requests = self
            .running
            .iter()
            .filter(|j| j.remaining_prompt_tokens == 0)
            .count();
        let mut completed_hashes = Vec::new();
        for job in &mut self.running {
            if job.remaining_prompt_tokens == 0 {
                job.generated_tokens += 1;
            } else if chunk_budget_tokens > 0 {
                let tokens = job.remaining_prompt_tokens.min(chunk_budget_tokens);
                chunk_budget_tokens -= tokens;
                job.remaining_prompt_tokens -= tokens;
                if job.remaining_prompt_tokens == 0 {
                    job.generated_tokens = 1;
                    completed_hashes.extend(job.hashes.iter().take(64).copied());
                    events.push(EngineEvent::FirstToken { id: job.id });
                }
            }
        }
        for job in self
            .running
            .iter()
            .filter(|j| j.generated_tokens >= j.answer_tokens)
        {
            events.push(EngineEvent::Finished { id: job.id });
        }
        self.running
            .retain(|j| j.generated_tokens < j.answer_tokens);
        self.insert_cached(completed_hashes);
        let prefilled_tokens = (CHUNK_TOKENS - chunk_budget_tokens) as f64;
        let mut took_ms = prefilled_tokens / PREFILL_TOKENS_PER_MS;
        if decoding_requests > 0 {
            took_ms += DECODE_STEP_MS + DECODE_STEP_MS_PER_REQUEST * decoding_requests as f64;
        }
        took_ms /= self.speed;
        if chunk_budget_tokens == 0 {
            self.prefill_tokens_per_ms +=
                0.05 * (prefilled_tokens / took_ms - self.prefill_tokens_per_ms);
        }
        Some(took_ms)
    }

    /// Adds block hashes to the prefix cache and evicts the oldest ones beyond
    /// [`CACHE_BLOCKS_MAX`].
    fn insert_cached(&mut self, hashes: Vec<u64>) {
        for hash in hashes {
            self.insertions += 1;
            if self.cached.insert(hash, self.insertions).is_none() {
                self.cache_order.push_back(hash);
                self.cache_changes.push((hash, true));
            }
            while self.cache_order.len() > CACHE_BLOCKS_MAX {
                let Some(oldest) = self.cache_order.pop_front() else {
                    break;
                };
                self.cached.remove(&oldest);
                self.cache_changes.push((oldest, false));
            }
        }
    }
}
