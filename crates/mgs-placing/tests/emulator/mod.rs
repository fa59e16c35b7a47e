//! Engines that work in passes, as calibrated against the users' bench (design note 91), and a load of
//! short and long prompts that swings between two mixes.

// Each test program uses a part of it.
#![allow(dead_code)]

pub(crate) mod deployments;
pub(crate) mod fleet;
pub(crate) mod gateway;
pub(crate) mod sizes;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use mgs_placing::model::EngineModel;

/// One prompt of the load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prompt {
    pub(crate) at_ms: f64,
    pub(crate) tokens: u64,
    pub(crate) events: u32,
    /// Events that the client expects.
    pub(crate) expected_events: u32,
    /// Most events that the client takes.
    pub(crate) most_events: u32,
    pub(crate) aim_ms: f64,
    pub(crate) pause_ms: f64,
    pub(crate) deadline_ms: f64,
    /// The client leaves after a longer silence than this, and at its deadline; those that bear any silence stay
    /// to the end.
    pub(crate) patience_ms: f64,
}

impl Prompt {
    /// Whether the client is gone, `silent_ms` after the last event.
    fn is_given_up(&self, now_ms: f64, silent_ms: f64) -> bool {
        let is_over = now_ms - self.at_ms > self.deadline_ms;
        self.patience_ms.is_finite() && (is_over || silent_ms > self.patience_ms)
    }
}

/// What became of a prompt.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Fate {
    pub(crate) first_token_ms: Option<f64>,
    pub(crate) longest_pause_ms: f64,
    pub(crate) is_whole: bool,
}

impl Fate {
    pub(crate) fn is_on_time(&self, prompt: &Prompt) -> bool {
        let first_ms = self.first_token_ms.unwrap_or(f64::INFINITY);
        self.is_whole && first_ms <= prompt.aim_ms && self.longest_pause_ms <= prompt.pause_ms
    }
}

/// A repeatable source of numbers (an xorshift), so that each run plays the same load.
pub(crate) struct Numbers(u64);

impl Numbers {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// From 0 up to 1.
    pub(crate) fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Exponential, with this mean.
    pub(crate) fn gap(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// Log-normal, with this mean and spread.
    pub(crate) fn spread(&mut self, mean: f64, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.unit()).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }
}

/// A reading on an engine.
#[derive(Debug, Clone, Copy)]
struct Read {
    prompt: usize,
    is_part: bool,
    left_tokens: f64,
    ms_per_token: f64,
    came: u64,
}

#[derive(Debug, Clone, Copy)]
struct Writer {
    prompt: usize,
    events_left: u32,
    tokens: u64,
    last_ms: f64,
}

#[derive(Debug, Default)]
struct Engine {
    /// Requests and parts that wait for a place, the first first.
    queued: VecDeque<Read>,
    reads: Vec<Read>,
    writers: Vec<Writer>,
    is_busy: bool,
}

/// What happens next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A prompt comes to the gateway.
    Arrival(usize),
    /// The gateway looks at what waits.
    Look,
    /// The gateway sends a prompt.
    Send(usize),
    /// An engine ends a pass.
    Pass(usize),
    /// A gateway tells its peers what it holds.
    Tell(usize),
    /// Peers hear a message.
    Hear(usize),
}

/// An event of a stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wrote {
    pub(crate) prompt: usize,
    pub(crate) engine: usize,
    pub(crate) at_ms: f64,
}

/// What gateways see of their streams.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// Prompts whose first token came, and those that ended.
    pub(crate) started: Vec<usize>,
    pub(crate) ended: Vec<usize>,
    pub(crate) wrote: Vec<Wrote>,
}

/// Engines and a clock.
pub(crate) struct Emulator {
    pub(crate) model: EngineModel,
    pub(crate) now_ms: f64,
    /// Requests and parts that an engine runs at once.
    pub(crate) places: usize,
    pub(crate) fates: Vec<Fate>,
    pub(crate) prompts: Vec<Prompt>,
    engines: Vec<Engine>,
    parts_left: Vec<usize>,
    firsts: Vec<usize>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    /// What came since the last look.
    pub(crate) seen: Seen,
}

impl Emulator {
    pub(crate) fn new(model: EngineModel, engines: usize, prompts: Vec<Prompt>) -> Self {
        let mut emulator = Self {
            model,
            now_ms: 0.0,
            places: usize::MAX,
            fates: vec![Fate::default(); prompts.len()],
            engines: (0..engines).map(|_| Engine::default()).collect(),
            parts_left: vec![0; prompts.len()],
            firsts: vec![0; prompts.len()],
            queue: BinaryHeap::new(),
            sequence: 0,
            seen: Seen::default(),
            prompts,
        };
        for index in 0..emulator.prompts.len() {
            emulator.schedule(emulator.prompts[index].at_ms, Event::Arrival(index));
        }
        emulator
    }

    pub(crate) fn schedule(&mut self, at_ms: f64, event: Event) {
        self.sequence += 1;
        let at_us = (at_ms * 1e3) as u64;
        self.queue.push(Reverse((at_us, self.sequence, event)));
    }

    /// The next event that concerns the gateway; passes are played on the way.
    pub(crate) fn next(&mut self) -> Option<Event> {
        loop {
            let Reverse((at_us, _, event)) = self.queue.pop()?;
            self.now_ms = at_us as f64 / 1e3;
            match event {
                Event::Pass(engine) => self.end_pass(engine),
                event => return Some(event),
            }
        }
    }

    /// Sends a prompt: `readers` read it in even parts, the first of them writes.
    pub(crate) fn send(&mut self, prompt: usize, readers: &[usize]) {
        let tokens = self.prompts[prompt].tokens;
        let read_ms = self.bare_read_ms(tokens);
        self.parts_left[prompt] = readers.len();
        self.firsts[prompt] = readers[0];
        for engine in readers {
            self.sequence += 1;
            let read = Read {
                prompt,
                is_part: readers.len() > 1,
                left_tokens: tokens as f64 / readers.len() as f64,
                ms_per_token: read_ms / tokens as f64,
                came: self.sequence,
            };
            self.engines[*engine].queued.push_back(read);
            self.begin_pass(*engine);
        }
    }

    /// Reading without the steps, which passes add.
    fn bare_read_ms(&self, tokens: u64) -> f64 {
        let steps = tokens as f64 / self.model.chunk_tokens as f64;
        self.model.prefill_ms(tokens) - steps * self.model.step_ms
    }

    fn begin_pass(&mut self, index: usize) {
        let slots = self.places;
        let engine = &mut self.engines[index];
        while engine.reads.len() + engine.writers.len() < slots {
            let Some(read) = engine.queued.pop_front() else {
                break;
            };
            engine.reads.push(read);
        }
        let idle = engine.reads.is_empty() && engine.writers.is_empty();
        if engine.is_busy || idle {
            return;
        }
        engine.is_busy = true;
        let steps = match engine.writers.len() {
            0 => 1,
            _ => self.model.stride_steps,
        };
        let context: u64 = engine.writers.iter().map(|writer| writer.tokens).sum();
        let context_ms = context as f64 / 1e3 * self.model.context_step_ms_per_1k;
        let writers_ms = engine.writers.len() as f64 * self.model.writer_step_ms;
        let mut pass_ms = f64::from(steps) * (self.model.step_ms + writers_ms + context_ms);
        let mut budget = f64::from(steps) * self.model.chunk_tokens as f64;
        // Parts go first, and the newest of them before the others.
        engine.reads.sort_by_key(|read| {
            (
                !read.is_part,
                if read.is_part {
                    u64::MAX - read.came
                } else {
                    read.came
                },
            )
        });
        for read in &mut engine.reads {
            let tokens = read.left_tokens.min(budget);
            read.left_tokens -= tokens;
            budget -= tokens;
            pass_ms += tokens * read.ms_per_token;
        }
        self.schedule(self.now_ms + pass_ms, Event::Pass(index));
    }

    fn end_pass(&mut self, index: usize) {
        self.engines[index].is_busy = false;
        self.write(index);
        let done: Vec<Read> = {
            let engine = &mut self.engines[index];
            let done = engine.reads.iter().filter(|read| read.left_tokens < 0.5);
            let done = done.copied().collect();
            engine.reads.retain(|read| read.left_tokens >= 0.5);
            done
        };
        for read in done {
            self.parts_left[read.prompt] -= 1;
            if self.parts_left[read.prompt] == 0 {
                self.start_writing(read.prompt);
            }
        }
        self.begin_pass(index);
    }

    fn start_writing(&mut self, prompt: usize) {
        let wanted = self.prompts[prompt];
        let after_ms = self.now_ms - wanted.at_ms;
        self.seen.started.push(prompt);
        if wanted.is_given_up(self.now_ms, after_ms) {
            self.seen.ended.push(prompt);
            return;
        }
        self.fates[prompt].first_token_ms = Some(after_ms);
        let engine = self.firsts[prompt];
        self.engines[engine].writers.push(Writer {
            prompt,
            events_left: wanted.events.saturating_sub(1),
            tokens: wanted.tokens,
            last_ms: self.now_ms,
        });
        self.begin_pass(engine);
    }

    fn write(&mut self, index: usize) {
        let now_ms = self.now_ms;
        for writer in &mut self.engines[index].writers {
            self.seen.wrote.push(Wrote {
                prompt: writer.prompt,
                engine: index,
                at_ms: now_ms,
            });
            // One that started within this pass has its event in the next.
            if writer.last_ms >= now_ms {
                continue;
            }
            let pause_ms = now_ms - writer.last_ms;
            let fate = &mut self.fates[writer.prompt];
            fate.longest_pause_ms = fate.longest_pause_ms.max(pause_ms);
            writer.last_ms = now_ms;
            let prompt = &self.prompts[writer.prompt];
            if prompt.is_given_up(now_ms, pause_ms) {
                writer.events_left = 0;
                self.seen.ended.push(writer.prompt);
                continue;
            }
            writer.events_left = writer.events_left.saturating_sub(1);
            if writer.events_left == 0 {
                fate.is_whole = now_ms - prompt.at_ms <= prompt.deadline_ms;
                self.seen.ended.push(writer.prompt);
            }
        }
        self.engines[index]
            .writers
            .retain(|writer| writer.events_left > 0);
    }
}

/// A phase of the load: starts a second of short prompts, reviews and audits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Phase {
    pub(crate) length_ms: f64,
    pub(crate) short_per_s: f64,
    pub(crate) reviews_per_s: f64,
    pub(crate) audits_per_s: f64,
}

/// The longest prompts of a deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Audits {
    pub(crate) mean_tokens: f64,
    pub(crate) spread: f64,
    pub(crate) most_tokens: f64,
    pub(crate) aim_ms: f64,
}

/// The short prompts of a deployment, whose answers are as unlike as their sizes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Questions {
    pub(crate) mean_tokens: f64,
    pub(crate) spread: f64,
    pub(crate) most_tokens: f64,
    pub(crate) mean_events: f64,
    pub(crate) events_spread: f64,
    pub(crate) most_events: f64,
    /// Spread of what clients expect around the true length.
    pub(crate) hint_spread: f64,
    pub(crate) aim_ms: f64,
    pub(crate) pause_ms: f64,
}

impl Questions {
    /// Those of the load, in which all answers are of one length, drawn anew; their clients leave.
    pub(crate) fn draw(&self, prompts: &mut [Prompt], seed: u64) {
        let mut numbers = Numbers::new(seed);
        let is_short = |prompt: &&mut Prompt| prompt.aim_ms == QUESTION_AIM_MS;
        for prompt in prompts.iter_mut().filter(is_short) {
            let tokens = numbers.spread(self.mean_tokens, self.spread);
            let events = numbers.spread(self.mean_events, self.events_spread);
            let events = events.clamp(2.0, self.most_events);
            let expected = events * numbers.spread(1.0, self.hint_spread);
            prompt.tokens = tokens.clamp(400.0, self.most_tokens) as u64;
            prompt.events = events as u32;
            prompt.most_events = self.most_events as u32;
            prompt.expected_events = expected.clamp(1.0, self.most_events) as u32;
            prompt.aim_ms = self.aim_ms;
            prompt.pause_ms = self.pause_ms;
        }
        prompts.iter_mut().for_each(Prompt::leaves);
    }
}

impl Prompt {
    /// Its client leaves as those of the deployments do.
    pub(crate) fn leaves(&mut self) {
        let patience_ms: f64 = 2_000.0;
        self.patience_ms = patience_ms.max(4.0 * self.aim_ms).max(8.0 * self.pause_ms);
    }

    /// Its length as tokens read, with ten for each that is written.
    pub(crate) fn size_tokens(&self, stride: u32) -> u64 {
        self.tokens + 10 * u64::from(self.events * stride)
    }
}

/// Time to the first event that short prompts of the load ask for.
const QUESTION_AIM_MS: f64 = 300.0;

/// The load of some phases, one after the other.
pub(crate) fn load(phases: &[Phase], audits: &Audits, seed: u64) -> Vec<Prompt> {
    let mut numbers = Numbers::new(seed);
    let mut prompts = Vec::new();
    let mut start_ms = 0.0;
    for phase in phases {
        let end_ms = start_ms + phase.length_ms;
        for (per_s, kind) in [
            (phase.short_per_s, 0),
            (phase.reviews_per_s, 1),
            (phase.audits_per_s, 2),
        ] {
            let mut at_ms = start_ms;
            loop {
                at_ms += numbers.gap(1e3 / per_s);
                if at_ms >= end_ms {
                    break;
                }
                prompts.push(prompt(&mut numbers, audits, at_ms, kind));
            }
        }
        start_ms = end_ms;
    }
    prompts.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    prompts
}

fn prompt(numbers: &mut Numbers, audits: &Audits, at_ms: f64, kind: usize) -> Prompt {
    // As on the sheets of the deployments: mean tokens and events, spreads, aims and limits.
    let (tokens, spread, most, events, aim_ms, pause_ms, deadline_ms) = [
        (4_960.0, 0.8, 23_800.0, 33, QUESTION_AIM_MS, 250.0, 10_000.0),
        (45_000.0, 0.47, 110_000.0, 20, 1_500.0, 600.0, 10_000.0),
        (
            audits.mean_tokens,
            audits.spread,
            audits.most_tokens,
            16,
            audits.aim_ms,
            1_000.0,
            15_000.0,
        ),
    ][kind];
    Prompt {
        at_ms,
        tokens: numbers.spread(tokens, spread).min(most).max(400.0) as u64,
        events,
        expected_events: events,
        most_events: events,
        aim_ms,
        pause_ms,
        deadline_ms,
        patience_ms: f64::INFINITY,
    }
}
