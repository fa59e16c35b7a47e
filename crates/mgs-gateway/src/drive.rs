//! Drives the life of one request over the sessions with sidecars.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Select;
use crossbeam::channel::TryRecvError;
use mgs_fleet::view::EndpointKey;
use mgs_request::event::Action;
use mgs_request::event::AttemptNumber;
use mgs_request::event::Event;
use mgs_request::life;
use mgs_request::life::Life;
use mgs_request::outcome::End;
use mgs_request::outcome::Refusal;
use mgs_routing::policy::Choice;
use mgs_routing::policy::NoChoice;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Cancel;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::Resume;
use mgs_schema::wire::RetryReason;
use mgs_schema::wire::TokenFrame;
use mgs_schema::wire::Withdraw;
use mgs_transport::client::Call;
use mgs_transport::client::Error;

use crate::core::Core;
use crate::job::Job;
use crate::session::Session;
use crate::session::Slot;

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

/// Longest wait without a look at the caller, in milliseconds.
const IDLE_MS: u64 = 5_000;

/// Time that a tombstone outlives the request's deadline, in milliseconds.
const TOMBSTONE_SLACK_MS: u64 = 60_000;

/// Room for the policy's word on each attempt.
#[derive(Debug)]
struct Attempt {
    endpoint: EndpointKey,
    slot: Option<Arc<Slot>>,
    call: Option<Call>,
    session: Option<Arc<Session>>,
    /// Incarnation that the dispatch was meant for.
    incarnation: u64,
    predicted_ms: u64,
    sent_ms: u64,
    /// The policy was told of the dispatch and not yet of its end.
    counted: bool,
    first_seen: bool,
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
    life: Life,
    choice: Option<Choice>,
    end: Option<End>,
}

impl<'a, S: Sink> Drive<'a, S> {
    /// Runs a request that was admitted, to its end.
    pub(crate) fn run(
        core: &'a Core,
        job: &'a Job,
        body: Vec<u8>,
        choice: Option<Choice>,
        sink: &'a mut S,
    ) -> Report {
        core.budget.earn();
        let (life, actions) = Life::begin(life::Options {
            deadline_ms: job.deadline_ms,
            idempotent: job.idempotent,
            hedge: core.options.hedge,
            plant: core.options.plant,
            ..life::Options::default()
        });
        let mut drive = Self {
            core,
            job,
            body,
            sink,
            attempts: Vec::new(),
            excluded: Vec::new(),
            events: VecDeque::new(),
            life,
            choice,
            end: None,
        };
        drive.act(actions);
        drive.finish()
    }

    fn finish(mut self) -> Report {
        loop {
            while let Some(event) = self.events.pop_front() {
                let actions = self.life.on(self.core.now_ms(), event, &self.core.budget);
                self.act(actions);
            }
            if let Some(end) = self.end.take() {
                self.tell_policy(&end);
                return self.report(end);
            }
            self.wait();
        }
    }

    fn report(&self, end: End) -> Report {
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

    fn dispatch(&mut self, number: AttemptNumber, retry: Option<RetryReason>) {
        if let Some(reason) = retry {
            self.core.metrics.retried(reason);
            log::info!(request_id:% = self.job.id, reason:? = reason; "attempt made again");
        }
        let event = match self.choose() {
            Ok(choice) => self.send(number, &choice),
            Err(no_choice) => no_endpoint(number, no_choice),
        };
        self.events.push_back(event);
    }

    /// The choice made in the queue for the first attempt, and fresh ones from then on.
    fn choose(&mut self) -> Result<Choice, NoChoice> {
        if let Some(choice) = self.choice.take() {
            return Ok(choice);
        }
        let core = self.core;
        let ask = self
            .job
            .ask(&core.options.zone, &self.excluded, core.now_ms());
        let choice = core.policy.choose(&core.view(), &ask, rand::random())?;
        core.policy.dispatched(choice.endpoint, &ask);
        Ok(choice)
    }

    fn send(&mut self, number: AttemptNumber, choice: &Choice) -> Event {
        let core = self.core;
        let endpoint = choice.endpoint;
        self.excluded.push(endpoint);
        let slot = core.sessions.slot(endpoint);
        let session = slot.as_ref().and_then(|slot| slot.session());
        let now_ms = core.now_ms();
        let mut attempt = Attempt {
            endpoint,
            slot,
            call: None,
            incarnation: session.as_ref().map_or(0, |session| session.incarnation),
            session,
            predicted_ms: choice.first_token_ms,
            sent_ms: now_ms,
            counted: true,
            first_seen: false,
        };
        if let Some(session) = &attempt.session {
            let mut dispatch = self.job.dispatch(self.body.clone(), now_ms);
            dispatch.attempt = number;
            dispatch.sidecar_incarnation = session.incarnation;
            dispatch.session = session.number;
            dispatch.gateway_incarnation = core.incarnation;
            attempt.call = call(session, Body::Dispatch(dispatch));
        }
        let sent = attempt.call.is_some();
        self.put(number, attempt);
        match sent {
            true => Event::Sent {
                attempt: number,
                first_token_ms: choice.first_token_ms,
            },
            false => Event::NotSent { attempt: number },
        }
    }

    /// Keeps an attempt under its number. One that found all endpoints busy was never kept.
    fn put(&mut self, number: AttemptNumber, attempt: Attempt) {
        let index = number as usize - 1;
        while self.attempts.len() < index {
            self.attempts.push(Attempt {
                endpoint: attempt.endpoint,
                slot: None,
                call: None,
                session: None,
                incarnation: 0,
                predicted_ms: 0,
                sent_ms: 0,
                counted: false,
                first_seen: false,
            });
        }
        match self.attempts.get_mut(index) {
            Some(kept) => *kept = attempt,
            None => self.attempts.push(attempt),
        }
    }

    fn withdraw(&mut self, number: AttemptNumber) {
        let left_ms = self.job.deadline_ms.saturating_sub(self.core.now_ms());
        let (origin, serial) = (self.job.id.origin, self.job.id.serial);
        self.ask(number, |attempt, _| {
            Body::Withdraw(Withdraw {
                request_origin: origin,
                request_serial: serial,
                sidecar_incarnation: attempt.incarnation,
                tombstone_ms: left_ms + TOMBSTONE_SLACK_MS,
                attempt: number,
            })
        });
    }

    fn resume(&mut self, number: AttemptNumber, next_seq: u64) {
        self.core.metrics.resumes.inc();
        let (origin, serial) = (self.job.id.origin, self.job.id.serial);
        let gateway_incarnation = self.core.incarnation;
        let budget_ms = self.job.sidecar_budget_ms(self.core.now_ms());
        self.ask(number, |_, session| {
            Body::Resume(Resume {
                request_origin: origin,
                request_serial: serial,
                next_seq,
                session: session.number,
                gateway_incarnation,
                budget_ms,
            })
        });
    }

    /// Asks an attempt's sidecar over the present session with it.
    fn ask(&mut self, number: AttemptNumber, body: impl FnOnce(&Attempt, &Session) -> Body) {
        let asked = self.attempts.get_mut(number as usize - 1);
        let sent = asked.is_some_and(|attempt| {
            attempt.call = None;
            attempt.session = attempt.slot.as_ref().and_then(|slot| slot.session());
            if let Some(session) = &attempt.session {
                attempt.call = call(session, body(attempt, session));
            }
            attempt.call.is_some()
        });
        if !sent {
            self.events.push_back(Event::NotSent { attempt: number });
        }
    }

    /// Has an attempt ended. Without a session, the sidecar ends it when its lease runs out.
    fn cancel(&mut self, number: AttemptNumber) {
        let Some(attempt) = self.attempts.get_mut(number as usize - 1) else {
            return;
        };
        attempt.call = None;
        let cancel = Cancel {
            request_origin: self.job.id.origin,
            request_serial: self.job.id.serial,
        };
        let session = attempt.slot.as_ref().and_then(|slot| slot.session());
        if let Some(call) = session.and_then(|session| call(&session, Body::Cancel(cancel))) {
            self.core.parting.keep(call);
        }
    }

    /// Waits for the next message, lost session or tick.
    fn wait(&mut self) {
        if self.poll() {
            return;
        }
        let now_ms = self.core.now_ms();
        let wake_ms = self.life.wake_ms().saturating_sub(now_ms).clamp(1, IDLE_MS);
        let mut select = Select::new();
        for attempt in &self.attempts {
            if let (Some(call), Some(session)) = (&attempt.call, &attempt.session) {
                select.recv(call.receiver());
                select.recv(&session.over);
            }
        }
        if select.ready_timeout(Duration::from_millis(wake_ms)).is_ok() {
            return;
        }
        if wake_ms == IDLE_MS && self.sink.idle().is_err() {
            self.events.push_back(Event::CallerGone);
        }
        self.events.push_back(Event::Tick);
    }

    /// Takes what has come; returns whether there was anything.
    fn poll(&mut self) -> bool {
        for index in 0..self.attempts.len() {
            let attempt = &mut self.attempts[index];
            let (Some(call), Some(session)) = (&attempt.call, &attempt.session) else {
                continue;
            };
            let message = match call.receiver().try_recv() {
                Ok(message) => message,
                Err(TryRecvError::Disconnected) => Err(Error::Ended),
                Err(TryRecvError::Empty) if is_over(&session.over) => Err(Error::Silent),
                Err(TryRecvError::Empty) => continue,
            };
            if let Some(event) = self.event(index, message) {
                self.events.push_back(event);
                return true;
            }
        }
        false
    }

    /// What a message means for the request's life.
    fn event(&mut self, index: usize, message: Result<Body, Error>) -> Option<Event> {
        let number = index as AttemptNumber + 1;
        let event = match message {
            Ok(Body::Accepted(_)) => Event::Accepted { attempt: number },
            Ok(Body::TokenFrame(frame)) => {
                self.first_token(index);
                Event::Frame {
                    attempt: number,
                    frame,
                }
            }
            Ok(Body::Refused(refused)) => {
                self.attempts[index].call = None;
                let refusal = Refusal {
                    reason: refused.reason(),
                    retry_after_ms: refused.retry_after_ms,
                    detail: refused.detail,
                };
                self.refused(index, refusal.reason);
                Event::Refused {
                    attempt: number,
                    refusal,
                }
            }
            Ok(Body::Finished(finished)) => {
                self.attempts[index].call = None;
                self.attempt_ended(index, finished.outcome());
                Event::Finished {
                    attempt: number,
                    finished,
                }
            }
            Ok(Body::WithdrawReply(reply)) => {
                self.attempts[index].call = None;
                Event::Withdrawn {
                    attempt: number,
                    state: reply.state(),
                }
            }
            Ok(other) => {
                log::warn!(message:? = other; "message that a gateway doesn't expect");
                return None;
            }
            Err(error) => {
                self.attempts[index].call = None;
                log::info!(request_id:% = self.job.id, error:% = error; "path lost");
                Event::PathLost { attempt: number }
            }
        };
        Some(event)
    }

    fn first_token(&mut self, index: usize) {
        let (core, job) = (self.core, self.job);
        let attempt = &mut self.attempts[index];
        if std::mem::replace(&mut attempt.first_seen, true) {
            return;
        }
        let now_ms = core.now_ms();
        let ask = job.ask(&core.options.zone, &[], now_ms);
        let took_ms = now_ms.saturating_sub(attempt.sent_ms);
        core.policy
            .first_token(attempt.endpoint, &ask, attempt.predicted_ms, took_ms);
        core.metrics
            .first_token(job.prompt_tokens, now_ms.saturating_sub(job.arrived_ms));
    }

    /// A sidecar that was started again, or that has a newer session, may be asked again.
    fn refused(&mut self, index: usize, reason: RefusalReason) {
        let endpoint = self.attempts[index].endpoint;
        if matches!(
            reason,
            RefusalReason::StaleIncarnation | RefusalReason::StaleSession
        ) {
            self.excluded.retain(|excluded| *excluded != endpoint);
        }
        self.attempt_ended(index, Outcome::Refused);
    }

    /// Tells the policy, once, how an attempt ended.
    fn attempt_ended(&mut self, index: usize, outcome: Outcome) {
        let core = self.core;
        let attempt = &mut self.attempts[index];
        if std::mem::replace(&mut attempt.counted, false) {
            let ask = self.job.ask(&core.options.zone, &[], core.now_ms());
            core.policy.finished(attempt.endpoint, &ask, outcome);
        }
    }

    /// Tells the policy of the attempts that have no end of their own.
    fn tell_policy(&mut self, end: &End) {
        let lost = match end {
            End::Failed(reason, _) | End::Unknown(reason, _) => *reason == FailureReason::Path,
            End::Answered(_) | End::Refused(_) => false,
        };
        let outcome = match lost {
            true => Outcome::Failed,
            false => Outcome::Unspecified,
        };
        for index in 0..self.attempts.len() {
            self.attempt_ended(index, outcome);
        }
    }
}

fn no_endpoint(number: AttemptNumber, no_choice: NoChoice) -> Event {
    let reason = match no_choice {
        NoChoice::UnknownModel => RefusalReason::UnknownModel,
        NoChoice::NoEndpoint => RefusalReason::NoEndpoint,
        NoChoice::PromptExceedsMemory => RefusalReason::PromptExceedsMemory,
        NoChoice::AllBusy => RefusalReason::Busy,
    };
    Event::NoEndpoint {
        attempt: number,
        refusal: Refusal::new(reason, &no_choice.to_string()),
        busy: no_choice == NoChoice::AllBusy,
    }
}

/// Sends a message; `None` if the connection is known to be gone.
fn call(session: &Session, body: Body) -> Option<Call> {
    if !session.connection.is_open() {
        return None;
    }
    match session.connection.call(body) {
        Ok(call) => Some(call),
        Err(error) => {
            log::error!(error:% = error; "message can't be sent");
            None
        }
    }
}

fn is_over(over: &Receiver<()>) -> bool {
    over.try_recv() == Err(TryRecvError::Disconnected)
}
