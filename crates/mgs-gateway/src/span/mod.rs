//! One prompt over the memory of several endpoints: what their sidecars are asked, and what they say.
//!
//! [`Span`] drives the machine of [`mgs_request::span`] over the sessions with sidecars. It never
//! waits: its owner polls it. After the request's first token, or its end, the [`keep::Keeper`]
//! polls it until everything is free.

pub(crate) mod keep;
mod part;

use std::collections::VecDeque;
use std::time::Instant;

use crossbeam::channel::Select;
use mgs_fleet::view::EndpointKey;
use mgs_request::span;
use mgs_request::span::Action;
use mgs_request::span::Event;
use mgs_routing::span::Part as Planned;
use mgs_schema::wire::KvPart;
use mgs_schema::wire::RefusalReason;

use self::part::Part;
use crate::core::Core;
use crate::job::Job;
use crate::metrics::Spans;

/// What a span wants of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum News {
    /// All parts are exported; dispatch at the home.
    Dispatch,
    /// It didn't run; plan again without this endpoint.
    Replan(EndpointKey),
    /// It didn't run and is to be refused.
    Refuse(RefusalReason),
}

/// What all messages of a span have in common.
#[derive(Debug)]
struct Common {
    id: u64,
    gateway_incarnation: u64,
    model: String,
    /// Priority by which engines work on the parts.
    priority: u32,
    deadline_ms: u64,
    /// A moment, and the process's clock then, in milliseconds.
    clock: (Instant, u64),
}

impl Common {
    fn now_ms(&self) -> u64 {
        let (moment, at_ms) = self.clock;
        at_ms + moment.elapsed().as_millis() as u64
    }
}

/// The span of one attempt.
#[derive(Debug)]
pub(crate) struct Span {
    common: Common,
    machine: span::Span,
    /// In the order of the plan; the last one is the home.
    parts: Vec<Part>,
    news: VecDeque<News>,
    wake_ms: Option<u64>,
    counts: Spans,
}

impl Span {
    /// Begins to reserve memory for a plan.
    pub(crate) fn begin(core: &Core, job: &Job, body: &[u8], plan: &[Planned]) -> Self {
        let ask = job.ask(&core.options.zone, &[], core.now_ms());
        let common = Common {
            id: rand::random_range(1..=u64::MAX),
            gateway_incarnation: core.incarnation,
            model: job.model.clone(),
            priority: core.policy.engine_priority(&ask),
            deadline_ms: job.deadline_ms,
            clock: (Instant::now(), core.now_ms()),
        };
        let mut parts = Vec::with_capacity(plan.len());
        let mut from = 0;
        for (number, planned) in plan.iter().enumerate() {
            let is_home = number + 1 == plan.len();
            let text = match is_home {
                true => &[],
                false => part::cut(&body[from..], planned.prompt_tokens),
            };
            from += text.len();
            let kv = format!("{}-{:x}-{number}", job.id, common.id);
            parts.push(Part::new(core, planned, kv, text.to_vec()));
        }
        let (machine, actions) = span::Span::start(span::Options {
            parts: plan.len(),
            deadline_ms: job.deadline_ms,
            ..span::Options::default()
        });
        let counts = core.metrics.spans.clone();
        counts.begun();
        let mut span = Self {
            common,
            machine,
            parts,
            news: VecDeque::new(),
            wake_ms: None,
            counts,
        };
        span.act(actions);
        span
    }

    /// Identifier of its reservations.
    pub(crate) fn id(&self) -> u64 {
        self.common.id
    }

    /// The endpoint that answers.
    pub(crate) fn home(&self) -> Option<EndpointKey> {
        self.parts.last().map(|part| part.endpoint)
    }

    /// The parts that the home imports, once they are exported.
    pub(crate) fn exported(&self) -> Vec<KvPart> {
        let exported = self.parts.iter().filter_map(Part::exported);
        exported.collect()
    }

    /// Whether nothing is held any more.
    pub(crate) fn is_over(&self) -> bool {
        self.machine.is_done()
    }

    /// When it must be polled even if nothing comes, on the process's clock, in milliseconds.
    pub(crate) fn wake_ms(&self) -> u64 {
        let parts = self.parts.iter().filter_map(Part::wake_ms);
        let wakes = parts.chain(self.wake_ms);
        wakes.fold(self.common.deadline_ms, u64::min)
    }

    /// Adds what it waits for.
    pub(crate) fn select<'a>(&'a self, select: &mut Select<'a>) {
        for part in &self.parts {
            part.select(select);
        }
    }

    /// Takes what has come.
    pub(crate) fn poll(&mut self) -> Option<News> {
        let now_ms = self.common.now_ms();
        for number in 0..self.parts.len() {
            if let Some(event) = self.parts[number].poll(&self.common, number) {
                self.tell(event);
            }
        }
        let due = self.wake_ms.is_some_and(|wake_ms| wake_ms <= now_ms);
        if due || now_ms >= self.common.deadline_ms {
            self.wake_ms = None;
            self.tell(Event::Wake);
        }
        self.news.pop_front()
    }

    /// Frees everything: the home has sent its first token, or the request has ended or goes on
    /// elsewhere.
    pub(crate) fn leave(&mut self) {
        // The one holds after the dispatch, the other before.
        self.tell(Event::HomeEnded);
        self.tell(Event::Cancelled);
        self.news.clear();
    }

    fn tell(&mut self, event: Event) {
        let actions = self.machine.handle_event(event, self.common.now_ms());
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Reserve(number) => self.parts[number].reserve(&self.common),
                Action::Export(number) => self.parts[number].export(&self.common),
                Action::Release(number) => self.parts[number].release(&self.common),
                Action::WakeAfter(wait_ms) => {
                    self.wake_ms = Some(self.common.now_ms() + wait_ms);
                }
                Action::Dispatch => {
                    self.counts.dispatched();
                    self.news.push_back(News::Dispatch);
                }
                Action::Replan(number) => {
                    self.counts.replanned();
                    let endpoint = self.parts[number].endpoint;
                    self.news.push_back(News::Replan(endpoint));
                }
                Action::Refuse(reason) => self.news.push_back(News::Refuse(reason)),
                Action::Done => self.counts.freed(),
            }
        }
    }
}
