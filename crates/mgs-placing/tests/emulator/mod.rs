//! Discrete-event emulator of engines that work in passes, and generated loads of short and long
//! prompts.
//!
//! The timing of passes follows [`EngineModel`], whose figures are calibrated against
//! measurements. A load has three kinds of prompts: questions are short, reviews are longer, and
//! audits are so long that several engines must share their prefill. Its phases differ in the rates
//! at which prompts of each kind arrive. All times are in milliseconds; points in time count from
//! the beginning of the load.

// Each test crate uses only a part of this module.
#![allow(dead_code)]

pub(crate) mod deployments;
pub(crate) mod gateway;
pub(crate) mod many_gateways;
pub(crate) mod sizes;
pub(crate) mod vehicles;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use mgs_placing::model::EngineModel;

/// One prompt of the load, with what its client asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prompt {
    /// When it reaches a gateway.
    pub(crate) arrival_ms: f64,
    pub(crate) prompt_tokens: u64,
    /// Actual length of the answer, in stream events.
    pub(crate) events: u32,
    /// Length of the answer that the client expects, in events.
    pub(crate) expected_events: u32,
    /// Longest answer that the client accepts, in events.
    pub(crate) max_events: u32,
    /// Target for the first token, from the arrival.
    pub(crate) ttft_target_ms: f64,
    /// Longest pause between events at which the answer is on time.
    pub(crate) pause_ms: f64,
    /// Deadline for the whole answer, from the arrival.
    pub(crate) deadline_ms: f64,
    /// Longest silence that the client tolerates. With a finite value the client also disconnects
    /// at the deadline; with an infinite one it stays to the end.
    pub(crate) patience_ms: f64,
}

impl Prompt {
    /// Whether the client has disconnected, `silent_ms` after the last event.
    fn has_client_left(&self, now_ms: f64, silent_ms: f64) -> bool {
        let is_past_deadline = now_ms - self.arrival_ms > self.deadline_ms;
        self.patience_ms.is_finite() && (is_past_deadline || silent_ms > self.patience_ms)
    }
}

/// The result of a prompt.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outcome {
    /// Time from the arrival to the first token, if there was one.
    pub(crate) first_token_ms: Option<f64>,
    /// Longest pause between two events of the answer.
    pub(crate) longest_pause_ms: f64,
    /// Whether the whole answer arrived before the deadline.
    pub(crate) is_complete: bool,
    /// Time from the arrival until the gateway refused the prompt, if it did.
    pub(crate) refused_after_ms: Option<f64>,
}

impl Outcome {
    /// Whether the answer is complete and met the first-token target and the pause limit.
    pub(crate) fn is_on_time(&self, prompt: &Prompt) -> bool {
        let first_token_ms = self.first_token_ms.unwrap_or(f64::INFINITY);
        self.is_complete
            && first_token_ms <= prompt.ttft_target_ms
            && self.longest_pause_ms <= prompt.pause_ms
    }
}

/// Seeded xorshift random number generator: runs with the same seed get the same load.
pub(crate) struct Rng(u64);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Uniform from 0 up to, but not including, 1.
    pub(crate) fn uniform(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Exponentially distributed with this mean.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    /// Log-normally distributed with this mean; `sigma` is the standard deviation of the logarithm.
    pub(crate) fn log_normal(&mut self, mean: f64, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.uniform()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.uniform()).cos();
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }
}

/// The prefill of a prompt, or of one part of it, on an engine.
#[derive(Debug, Clone, Copy)]
struct PrefillJob {
    /// Index of the prompt.
    prompt: usize,
    is_part: bool,
    left_tokens: f64,
    ms_per_token: f64,
    /// Position in the order in which jobs reached the engines.
    arrival_sequence: u64,
}

/// A stream that an engine decodes.
#[derive(Debug, Clone, Copy)]
struct Stream {
    /// Index of its prompt.
    prompt: usize,
    events_left: u32,
    context_tokens: u64,
    last_event_ms: f64,
}

/// The state of an emulated engine.
#[derive(Debug, Default)]
struct Engine {
    /// Requests and parts that wait for a slot, in order of arrival.
    queued: VecDeque<PrefillJob>,
    prefills: Vec<PrefillJob>,
    streams: Vec<Stream>,
    /// Whether a pass is running.
    is_busy: bool,
}

/// An event of the simulation. The numbers are indices of prompts, engines, gateways or messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A prompt arrives at its gateway.
    Arrival(usize),
    /// All gateways decide again which of their waiting prompts to dispatch.
    DispatchRound,
    /// A gateway sends a prompt to its engines.
    Send(usize),
    /// A pass of an engine ends.
    PassEnd(usize),
    /// A gateway sends its peers a report of its load.
    SendReport(usize),
    /// The peers receive a report.
    ReceiveReport(usize),
}

/// An event of a stream, as its gateway receives it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamEvent {
    /// Index of the prompt.
    pub(crate) prompt: usize,
    /// Index of the engine.
    pub(crate) engine: usize,
    pub(crate) at_ms: f64,
}

/// What gateways observe of their prompts and streams.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    /// Prompts whose prefill is complete.
    pub(crate) started: Vec<usize>,
    /// Prompts whose answer is complete or whose client has disconnected.
    pub(crate) ended: Vec<usize>,
    pub(crate) stream_events: Vec<StreamEvent>,
}

/// Engines of one deployment, their prompts, a clock and the queue of events.
pub(crate) struct Emulator {
    pub(crate) model: EngineModel,
    pub(crate) now_ms: f64,
    /// Number of requests and parts that an engine runs at the same time.
    pub(crate) engine_slots: usize,
    /// The result of each prompt, in the order of `prompts`.
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) prompts: Vec<Prompt>,
    engines: Vec<Engine>,
    /// Number of unfinished parts of each prompt.
    parts_left: Vec<usize>,
    /// The engine that decodes each prompt's answer.
    leads: Vec<usize>,
    /// Events with their time in microseconds and a sequence number; the earliest comes first.
    event_queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Number of events scheduled and of parts sent so far.
    sequence: u64,
    /// What gateways can observe and haven't taken yet.
    pub(crate) observations: Observations,
}

impl Emulator {
    /// Creates idle engines and schedules the arrival of each prompt.
    pub(crate) fn new(model: EngineModel, engines: usize, prompts: Vec<Prompt>) -> Self {
        let mut emulator = Self {
            model,
            now_ms: 0.0,
            engine_slots: usize::MAX,
            outcomes: vec![Outcome::default(); prompts.len()],
            engines: (0..engines).map(|_| Engine::default()).collect(),
            parts_left: vec![0; prompts.len()],
            leads: vec![0; prompts.len()],
            event_queue: BinaryHeap::new(),
            sequence: 0,
            observations: Observations::default(),
            prompts,
        };
        for index in 0..emulator.prompts.len() {
            emulator.schedule(emulator.prompts[index].arrival_ms, Event::Arrival(index));
        }
        emulator
    }

    /// Schedules an event.
    pub(crate) fn schedule(&mut self, at_ms: f64, event: Event) {
        self.sequence += 1;
        let at_us = (at_ms * 1e3) as u64;
        self.event_queue
            .push(Reverse((at_us, self.sequence, event)));
    }

    /// Advances the clock to the next event for gateways; ends of passes are handled here.
    pub(crate) fn next(&mut self) -> Option<Event> {
        loop {
            let Reverse((at_us, _, event)) = self.event_queue.pop()?;
            self.now_ms = at_us as f64 / 1e3;
            match event {
                Event::PassEnd(engine) => self.end_pass(engine),
                event => return Some(event),
            }
        }
    }

    /// Sends a prompt: `prefill_engines` prefill equal parts of it, and the first of them decodes
    /// the answer.
    pub(crate) fn send(&mut self, prompt: usize, prefill_engines: &[usize]) {
        let tokens = self.prompts[prompt].prompt_tokens;
        let prefill_ms = self.prefill_without_steps_ms(tokens);
        self.parts_left[prompt] = prefill_engines.len();
        self.leads[prompt] = prefill_engines[0];
        for engine in prefill_engines {
            self.sequence += 1;
            let prefill = PrefillJob {
                prompt,
                is_part: prefill_engines.len() > 1,
                left_tokens: tokens as f64 / prefill_engines.len() as f64,
                ms_per_token: prefill_ms / tokens as f64,
                arrival_sequence: self.sequence,
            };
            self.engines[*engine].queued.push_back(prefill);
            self.start_pass(*engine);
        }
    }

    /// Records that a gateway refuses a prompt now.
    pub(crate) fn refuse(&mut self, prompt: usize) {
        // The clock counts whole microseconds, so an arrival may lie a fraction after it.
        let waited_ms = (self.now_ms - self.prompts[prompt].arrival_ms).max(0.0);
        self.outcomes[prompt].refused_after_ms = Some(waited_ms);
    }

    /// Time to prefill a prompt without the duration of its steps, which is added by each pass.
    fn prefill_without_steps_ms(&self, tokens: u64) -> f64 {
        let steps = tokens as f64 / self.model.chunk_tokens as f64;
        self.model.prefill_ms(tokens) - steps * self.model.step_ms
    }

    /// Starts the next pass of an engine that is idle and has work.
    fn start_pass(&mut self, index: usize) {
        let slots = self.engine_slots;
        let engine = &mut self.engines[index];
        while engine.prefills.len() + engine.streams.len() < slots {
            let Some(prefill) = engine.queued.pop_front() else {
                break;
            };
            engine.prefills.push(prefill);
        }
        let idle = engine.prefills.is_empty() && engine.streams.is_empty();
        if engine.is_busy || idle {
            return;
        }
        engine.is_busy = true;
        let steps = match engine.streams.len() {
            0 => 1,
            _ => self.model.stride_steps,
        };
        let context: u64 = engine
            .streams
            .iter()
            .map(|stream| stream.context_tokens)
            .sum();
        let context_ms = context as f64 / 1e3 * self.model.context_step_ms_per_1k;
        let streams_ms = engine.streams.len() as f64 * self.model.writer_step_ms;
        let mut pass_ms = f64::from(steps) * (self.model.step_ms + streams_ms + context_ms);
        let mut budget = f64::from(steps) * self.model.chunk_tokens as f64;
        // Parts are prefilled before whole prompts, and the newest part first.
        engine.prefills.sort_by_key(|prefill| {
            (
                !prefill.is_part,
                if prefill.is_part {
                    u64::MAX - prefill.arrival_sequence
                } else {
                    prefill.arrival_sequence
                },
            )
        });
        for prefill in &mut engine.prefills {
            let tokens = prefill.left_tokens.min(budget);
            prefill.left_tokens -= tokens;
            budget -= tokens;
            pass_ms += tokens * prefill.ms_per_token;
        }
        self.schedule(self.now_ms + pass_ms, Event::PassEnd(index));
    }

    /// Ends a pass: emits the events of its streams, starts those whose prefill is complete, and
    /// starts the next pass.
    fn end_pass(&mut self, index: usize) {
        self.engines[index].is_busy = false;
        self.emit_events(index);
        let finished: Vec<PrefillJob> = {
            let engine = &mut self.engines[index];
            let finished = engine
                .prefills
                .iter()
                .filter(|prefill| prefill.left_tokens < 0.5);
            let finished = finished.copied().collect();
            engine.prefills.retain(|prefill| prefill.left_tokens >= 0.5);
            finished
        };
        for prefill in finished {
            self.parts_left[prefill.prompt] -= 1;
            if self.parts_left[prefill.prompt] == 0 {
                self.start_stream(prefill.prompt);
            }
        }
        self.start_pass(index);
    }

    /// Emits the first token of a prompt and starts its stream, unless the client has
    /// disconnected.
    fn start_stream(&mut self, prompt: usize) {
        let request = self.prompts[prompt];
        let waited_ms = self.now_ms - request.arrival_ms;
        self.observations.started.push(prompt);
        if request.has_client_left(self.now_ms, waited_ms) {
            self.observations.ended.push(prompt);
            return;
        }
        self.outcomes[prompt].first_token_ms = Some(waited_ms);
        let engine = self.leads[prompt];
        self.engines[engine].streams.push(Stream {
            prompt,
            events_left: request.events.saturating_sub(1),
            context_tokens: request.prompt_tokens,
            last_event_ms: self.now_ms,
        });
        self.start_pass(engine);
    }

    /// Emits one event of each stream of an engine at the end of a pass.
    fn emit_events(&mut self, index: usize) {
        let now_ms = self.now_ms;
        for stream in &mut self.engines[index].streams {
            self.observations.stream_events.push(StreamEvent {
                prompt: stream.prompt,
                engine: index,
                at_ms: now_ms,
            });
            // A stream that started at this moment emits its next event after the next pass.
            if stream.last_event_ms >= now_ms {
                continue;
            }
            let since_event_ms = now_ms - stream.last_event_ms;
            let outcome = &mut self.outcomes[stream.prompt];
            outcome.longest_pause_ms = outcome.longest_pause_ms.max(since_event_ms);
            stream.last_event_ms = now_ms;
            let prompt = &self.prompts[stream.prompt];
            if prompt.has_client_left(now_ms, since_event_ms) {
                stream.events_left = 0;
                self.observations.ended.push(stream.prompt);
                continue;
            }
            stream.events_left = stream.events_left.saturating_sub(1);
            if stream.events_left == 0 {
                outcome.is_complete = now_ms - prompt.arrival_ms <= prompt.deadline_ms;
                self.observations.ended.push(stream.prompt);
            }
        }
        self.engines[index]
            .streams
            .retain(|stream| stream.events_left > 0);
    }
}

/// A phase of the load, with the rate at which prompts of each kind arrive.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Phase {
    pub(crate) duration_ms: f64,
    pub(crate) questions_per_s: f64,
    pub(crate) reviews_per_s: f64,
    pub(crate) audits_per_s: f64,
}

/// The distribution of a deployment's audits, its longest prompts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AuditDistribution {
    pub(crate) mean_tokens: f64,
    pub(crate) sigma: f64,
    pub(crate) max_tokens: f64,
    pub(crate) ttft_target_ms: f64,
}

/// The distribution of a deployment's questions, whose answers vary in length as prompts do.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QuestionDistribution {
    pub(crate) mean_tokens: f64,
    pub(crate) sigma: f64,
    pub(crate) max_tokens: f64,
    pub(crate) mean_events: f64,
    pub(crate) events_sigma: f64,
    pub(crate) max_events: f64,
    /// Spread of the expected answer length around the actual one.
    pub(crate) hint_sigma: f64,
    pub(crate) ttft_target_ms: f64,
    pub(crate) pause_ms: f64,
}

impl QuestionDistribution {
    /// Draws the questions of a generated load anew, since all their answers have the same length
    /// there. Clients of all prompts then have limited patience.
    pub(crate) fn redraw(&self, prompts: &mut [Prompt], seed: u64) {
        let mut rng = Rng::new(seed);
        let is_short = |prompt: &&mut Prompt| prompt.ttft_target_ms == QUESTION_TTFT_TARGET_MS;
        for prompt in prompts.iter_mut().filter(is_short) {
            let tokens = rng.log_normal(self.mean_tokens, self.sigma);
            let events = rng.log_normal(self.mean_events, self.events_sigma);
            let events = events.clamp(2.0, self.max_events);
            let expected = events * rng.log_normal(1.0, self.hint_sigma);
            prompt.prompt_tokens = tokens.clamp(400.0, self.max_tokens) as u64;
            prompt.events = events as u32;
            prompt.max_events = self.max_events as u32;
            prompt.expected_events = expected.clamp(1.0, self.max_events) as u32;
            prompt.ttft_target_ms = self.ttft_target_ms;
            prompt.pause_ms = self.pause_ms;
        }
        prompts.iter_mut().for_each(Prompt::set_patience);
    }
}

impl Prompt {
    /// Sets the patience of the client to that of the deployments' clients.
    pub(crate) fn set_patience(&mut self) {
        let patience_ms: f64 = 2_000.0;
        self.patience_ms = patience_ms
            .max(4.0 * self.ttft_target_ms)
            .max(8.0 * self.pause_ms);
    }

    /// Size of the prompt and its answer in prefill tokens: each answer token counts as ten.
    pub(crate) fn size_tokens(&self, stride: u32) -> u64 {
        self.prompt_tokens + 10 * u64::from(self.events * stride)
    }
}

/// First-token target of the questions of a generated load, in milliseconds.
const QUESTION_TTFT_TARGET_MS: f64 = 300.0;

/// Generates the prompts of successive phases, in order of arrival.
pub(crate) fn generate_prompts(
    phases: &[Phase],
    audits: &AuditDistribution,
    seed: u64,
) -> Vec<Prompt> {
    let mut rng = Rng::new(seed);
    let mut prompts = Vec::new();
    let mut start_ms = 0.0;
    for phase in phases {
        let end_ms = start_ms + phase.duration_ms;
        for (rate_per_s, kind) in [
            (phase.questions_per_s, 0),
            (phase.reviews_per_s, 1),
            (phase.audits_per_s, 2),
        ] {
            let mut arrival_ms = start_ms;
            loop {
                arrival_ms += rng.exponential(1e3 / rate_per_s);
                if arrival_ms >= end_ms {
                    break;
                }
                prompts.push(generate_prompt(&mut rng, audits, arrival_ms, kind));
            }
        }
        start_ms = end_ms;
    }
    prompts.sort_by(|a, b| a.arrival_ms.total_cmp(&b.arrival_ms));
    prompts
}

/// Generates a prompt; `kind` is 0 for a question, 1 for a review and 2 for an audit.
fn generate_prompt(
    rng: &mut Rng,
    audits: &AuditDistribution,
    arrival_ms: f64,
    kind: usize,
) -> Prompt {
    // Mean and spread of the prompt length, answer length and targets, as on the deployments'
    // specification sheets.
    let (mean_tokens, sigma, max_tokens, events, ttft_target_ms, pause_ms, deadline_ms) = [
        (
            4_960.0,
            0.8,
            23_800.0,
            33,
            QUESTION_TTFT_TARGET_MS,
            250.0,
            10_000.0,
        ),
        (45_000.0, 0.47, 110_000.0, 20, 1_500.0, 600.0, 10_000.0),
        (
            audits.mean_tokens,
            audits.sigma,
            audits.max_tokens,
            16,
            audits.ttft_target_ms,
            1_000.0,
            15_000.0,
        ),
    ][kind];
    Prompt {
        arrival_ms,
        prompt_tokens: rng
            .log_normal(mean_tokens, sigma)
            .min(max_tokens)
            .max(400.0) as u64,
        events,
        expected_events: events,
        max_events: events,
        ttft_target_ms,
        pause_ms,
        deadline_ms,
        patience_ms: f64::INFINITY,
    }
}
