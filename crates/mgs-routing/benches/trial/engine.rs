//! A model engine with a sidecar's queue before it, in steps.

use std::collections::HashMap;
use std::collections::VecDeque;

const CAPACITY_TOKENS: u64 = 400_000;
const CHUNK_TOKENS: u64 = 512;
const TOKENS_PER_MS: f64 = 20.0;
const DECODE_MS: f64 = 12.0;
const DECODE_STREAM_MS: f64 = 0.05;
const CACHE_BLOCKS: usize = 600;
const BYPASS_MAX: u32 = 16;

/// A request at an engine.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) id: usize,
    pub(crate) priority: u32,
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) hashes: Vec<u64>,
    pub(crate) deadline_ms: u64,
    pub(crate) left_tokens: u64,
    pub(crate) generated: u64,
    pub(crate) bypassed: u32,
}

impl Job {
    fn memory(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens
    }
}

/// What happened in a step.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Event {
    FirstToken { id: usize },
    Finished { id: usize },
    Late { id: usize },
}

/// An engine.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    waiting: Vec<Job>,
    running: Vec<Job>,
    cached: HashMap<u64, u64>,
    cache_order: VecDeque<u64>,
    stamp: u64,
    pub(crate) speed: f64,
    pub(crate) news: Vec<(u64, bool)>,
    rate: f64,
}

impl Engine {
    pub(crate) fn new(speed: f64) -> Self {
        Self {
            speed,
            rate: TOKENS_PER_MS,
            ..Self::default()
        }
    }

    pub(crate) fn push(&mut self, job: Job) {
        let place = self.waiting.partition_point(|j| j.priority <= job.priority);
        self.waiting.insert(place, job);
    }

    pub(crate) fn used_tokens(&self) -> u64 {
        let all = self.running.iter().chain(&self.waiting);
        all.map(Job::memory).sum()
    }

    fn running_tokens(&self) -> u64 {
        self.running.iter().map(Job::memory).sum()
    }

    pub(crate) fn counts(&self) -> (u32, u32) {
        (self.waiting.len() as u32, self.running.len() as u32)
    }

    pub(crate) fn prefill_waiting(&self, most_tokens: u64) -> u64 {
        let all = self.running.iter().chain(&self.waiting);
        all.filter(|j| j.prompt_tokens <= most_tokens)
            .map(|j| j.left_tokens)
            .sum()
    }

    pub(crate) fn rate_per_s(&self) -> f64 {
        self.rate * 1_000.0
    }

    pub(crate) fn capacity_tokens(&self) -> u64 {
        CAPACITY_TOKENS
    }

    fn admit(&mut self, now_ms: u64, events: &mut Vec<Event>) {
        let late = |j: &Job| j.deadline_ms <= now_ms;
        for job in self.waiting.iter().filter(|j| late(j)) {
            events.push(Event::Late { id: job.id });
        }
        self.waiting.retain(|j| !late(j));
        let mut place = 0;
        while place < self.waiting.len() {
            let fits = self.running_tokens() + self.waiting[place].memory() <= CAPACITY_TOKENS;
            if !fits {
                if self.waiting[place].bypassed >= BYPASS_MAX {
                    return;
                }
                place += 1;
                continue;
            }
            let mut job = self.waiting.remove(place);
            for passed in &mut self.waiting[..place] {
                passed.bypassed += 1;
            }
            let known = job
                .hashes
                .iter()
                .take_while(|h| self.cached.contains_key(h));
            let cached_tokens = known.count() as u64 * 256;
            job.left_tokens = job.prompt_tokens.saturating_sub(cached_tokens).max(1);
            let place = self.running.partition_point(|j| j.priority <= job.priority);
            self.running.insert(place, job);
        }
    }

    /// Runs one step that begins at `now_ms`; returns its length.
    pub(crate) fn step(&mut self, now_ms: u64, events: &mut Vec<Event>) -> Option<f64> {
        self.admit(now_ms, events);
        if self.running.is_empty() {
            return None;
        }
        let mut budget = CHUNK_TOKENS;
        let decoding = self.running.iter().filter(|j| j.left_tokens == 0).count();
        let mut published = Vec::new();
        for job in &mut self.running {
            if job.left_tokens == 0 {
                job.generated += 1;
            } else if budget > 0 {
                let tokens = job.left_tokens.min(budget);
                budget -= tokens;
                job.left_tokens -= tokens;
                if job.left_tokens == 0 {
                    job.generated = 1;
                    published.extend(job.hashes.iter().take(64).copied());
                    events.push(Event::FirstToken { id: job.id });
                }
            }
        }
        for job in self
            .running
            .iter()
            .filter(|j| j.generated >= j.answer_tokens)
        {
            events.push(Event::Finished { id: job.id });
        }
        self.running.retain(|j| j.generated < j.answer_tokens);
        self.publish(published);
        let prefilled = (CHUNK_TOKENS - budget) as f64;
        let mut took_ms = prefilled / TOKENS_PER_MS;
        if decoding > 0 {
            took_ms += DECODE_MS + DECODE_STREAM_MS * decoding as f64;
        }
        took_ms /= self.speed;
        if budget == 0 {
            self.rate += 0.05 * (prefilled / took_ms - self.rate);
        }
        Some(took_ms)
    }

    fn publish(&mut self, hashes: Vec<u64>) {
        for hash in hashes {
            self.stamp += 1;
            if self.cached.insert(hash, self.stamp).is_none() {
                self.cache_order.push_back(hash);
                self.news.push((hash, true));
            }
            while self.cache_order.len() > CACHE_BLOCKS {
                let Some(oldest) = self.cache_order.pop_front() else {
                    break;
                };
                self.cached.remove(&oldest);
                self.news.push((oldest, false));
            }
        }
    }
}
