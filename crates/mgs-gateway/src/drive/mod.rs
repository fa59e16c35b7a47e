//! Drives the life of one request over the sessions with sidecars.

mod attempt;
mod gather;
mod hear;
mod send;

use std::collections::VecDeque;

use mgs_durable::entry::Target;
use mgs_durable::executor::Permits;
use mgs_fleet::view::EndpointKey;
use mgs_request::event::Action;
use mgs_request::event::Event;
use mgs_request::lifecycle;
use mgs_request::lifecycle::RequestLifecycle;
use mgs_request::outcome::End;
use mgs_request::outcome::Refusal;
use mgs_routing::policy::Choice;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::TokenFrame;

use self::attempt::Attempt;
use self::gather::Gather;
use crate::core::Core;
use crate::job::Job;

/// The caller can't be written to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerGone;

/// How a request ended, and where.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) end: End,
    /// Name of the endpoint of its last attempt; empty if there was none.
    pub(crate) endpoint: String,
    /// Attempts made.
    pub(crate) attempts: usize,
}

impl Report {
    /// A request that was refused before any attempt.
    pub(crate) fn refused(refusal: Refusal) -> Self {
        Self {
            end: End::Refused(refusal),
            endpoint: String::new(),
            attempts: 0,
        }
    }
}

/// Where an answer goes.
pub(crate) trait Sink {
    /// Takes the next piece.
    fn deliver(&mut self, frame: &TokenFrame) -> Result<(), CallerGone>;

    /// Called now and then while there is no piece, to find out whether the caller is there.
    fn idle(&mut self) -> Result<(), CallerGone>;
}

/// A request that was admitted.
pub(crate) struct Admitted<'a> {
    pub(crate) job: &'a Job,
    /// Prompt, or body of a plain service's call.
    pub(crate) body: Vec<u8>,
    /// The choice that was made in the queue.
    pub(crate) choice: Option<Choice>,
    /// Asked before each dispatch, if someone must be.
    pub(crate) permits: Option<&'a dyn Permits>,
}

/// One request on its way.
pub(crate) struct Drive<'a, S: Sink> {
    core: &'a Core,
    job: &'a Job,
    body: Vec<u8>,
    sink: &'a mut S,
    /// By number, from 1.
    attempts: Vec<Attempt>,
    excluded: Vec<EndpointKey>,
    events: VecDeque<Event>,
    life: RequestLifecycle,
    choice: Option<Choice>,
    permits: Option<&'a dyn Permits>,
    /// Another gateway has the request, and may run it.
    lost: bool,
    /// When no endpoint could be chosen for the first time.
    no_endpoint_since_ms: Option<u64>,
    end: Option<End>,
    /// The span of the present attempt, until its first token.
    gather: Option<Gather>,
    /// Plans of spans made again.
    replans: u32,
    /// When the caller of a span was last looked at.
    looked_ms: u64,
}

fn options(core: &Core, job: &Job, hedge: bool) -> lifecycle::Options {
    lifecycle::Options {
        deadline_ms: job.deadline_ms,
        idempotent: job.idempotent,
        hedge,
        injected_bug: core.options.plant,
        ..lifecycle::Options::default()
    }
}

impl<'a, S: Sink> Drive<'a, S> {
    /// Runs a request that was admitted, to its end.
    pub(crate) fn run(core: &'a Core, admitted: Admitted<'a>, sink: &'a mut S) -> Report {
        core.budget.add_first_attempt();
        // Each dispatch needs a permit of its own, so there is one at a time.
        let hedge = core.options.hedge && admitted.permits.is_none();
        let (life, actions) = RequestLifecycle::begin(options(core, admitted.job, hedge));
        let mut drive = Self::new(core, admitted, life, sink);
        drive.act(actions);
        drive.finish()
    }

    /// Reads the whole answer of a request that another gateway dispatched to `target`.
    pub(crate) fn resume_at(
        core: &'a Core,
        job: &'a Job,
        target: &Target,
        sink: &'a mut S,
    ) -> Report {
        let (life, actions) = RequestLifecycle::resume(options(core, job, false));
        let admitted = Admitted {
            job,
            body: Vec::new(),
            choice: None,
            permits: None,
        };
        let mut drive = Self::new(core, admitted, life, sink);
        let Some(attempt) = Attempt::at(core, target) else {
            let detail = format!("{} is gone", target.endpoint);
            let end = End::Unknown(FailureReason::Path, detail);
            return drive.report(end);
        };
        drive.put(1, attempt);
        drive.act(actions);
        drive.finish()
    }

    fn new(
        core: &'a Core,
        admitted: Admitted<'a>,
        life: RequestLifecycle,
        sink: &'a mut S,
    ) -> Self {
        Self {
            core,
            job: admitted.job,
            body: admitted.body,
            permits: admitted.permits,
            choice: admitted.choice,
            sink,
            attempts: Vec::new(),
            excluded: Vec::new(),
            events: VecDeque::new(),
            life,
            lost: false,
            no_endpoint_since_ms: None,
            end: None,
            gather: None,
            replans: 0,
            looked_ms: core.now_ms(),
        }
    }

    fn finish(mut self) -> Report {
        loop {
            while let Some(event) = self.events.pop_front() {
                let actions = self
                    .life
                    .handle_event(self.core.now_ms(), event, &self.core.budget);
                self.act(actions);
            }
            if let Some(end) = self.end.take() {
                self.free_span();
                self.tell_policy(&end);
                return self.report(end);
            }
            self.wait();
        }
    }

    fn report(&self, end: End) -> Report {
        let end = match end {
            // Not run from here; what the other gateway does is its word to say.
            End::Refused(_) if self.lost => {
                let detail = "another gateway has the request; ask again under its key";
                End::Unknown(FailureReason::Unspecified, detail.to_string())
            }
            end => end,
        };
        let view = self.core.view();
        let last = self.attempts.last();
        let endpoint = last.and_then(|attempt| view.get(attempt.endpoint));
        Report {
            end,
            endpoint: endpoint.map_or_else(String::new, |endpoint| endpoint.name.clone()),
            attempts: self.attempts.len(),
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { attempt, retry } => self.dispatch(attempt, retry),
                Action::Withdraw { attempt } => self.withdraw(attempt),
                Action::Resume { attempt, next_seq } => self.resume(attempt, next_seq),
                Action::Cancel { attempt } => self.cancel(attempt),
                Action::Deliver(frame) => self.deliver(&frame),
                Action::Finish(end) => self.end = Some(end),
            }
        }
    }

    fn deliver(&mut self, frame: &TokenFrame) {
        // From here on the request can't be dispatched again.
        self.body = Vec::new();
        if self.sink.deliver(frame).is_err() {
            self.events.push_back(Event::CallerGone);
        }
    }
}
