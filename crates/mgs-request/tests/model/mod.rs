//! A model of one request with its sidecars, the network and a clock of a few ticks.
//!
//! Each attempt has its own sidecar. Messages arrive in any order. A connection may break at any
//! time, and messages sent on it may still arrive later. Sidecars may restart.

use std::collections::HashSet;

use mgs_request::budget::RetryBudget;
use mgs_request::event::Action;
use mgs_request::event::AttemptNumber;
use mgs_request::event::Event;
use mgs_request::lifecycle::Options;
use mgs_request::lifecycle::RequestLifecycle;
use mgs_request::outcome::End;
use mgs_request::outcome::Refusal;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::TokenFrame;
use mgs_schema::wire::WithdrawState;

/// Number of frames of a complete response.
pub(crate) const FRAMES: u64 = 2;

/// Time of the last tick, which is the deadline of the request.
pub(crate) const DEADLINE_MS: u64 = 3;

/// Number of faults of each kind in one history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Faults {
    pub(crate) lost_connections: u8,
    pub(crate) crashes: u8,
    pub(crate) not_sent: u8,
    pub(crate) duplicate_frames: u8,
    pub(crate) engine_failures: u8,
    pub(crate) refusals: u8,
    pub(crate) caller_gone: u8,
    /// Attempts that first reserve memory at several endpoints.
    pub(crate) spans: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Dispatch { incarnation: u8 },
    Withdraw { incarnation: u8 },
    Resume { next_seq: u64 },
}

/// A message on its way to the sidecar of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct PendingMessage {
    attempt: usize,
    call: u8,
    message: Message,
}

/// State of the request at a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum SidecarState {
    Unknown,
    Tombstone,
    Queued,
    Running { produced: u64 },
    Answered,
    Failed,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Sidecar {
    incarnation: u8,
    state: SidecarState,
    /// Whether the request ever ran here, also before a restart of the sidecar.
    ran: bool,
    /// Whether a cancel was received.
    cancelled: bool,
    /// The call that reads the response.
    reader: Option<u8>,
    /// The current call of the gateway; replies to other calls are dropped.
    call: u8,
    /// Incarnation of the sidecar at the time of the dispatch.
    dispatch_incarnation: u8,
    /// Replies in flight to the current call, delivered in any order.
    replies: Vec<Event>,
    /// Whether memory for the attempt is being reserved.
    reserving_memory: bool,
}

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Model {
    lifecycle: RequestLifecycle,
    now_ms: u64,
    sidecars: Vec<Sidecar>,
    sent: Vec<PendingMessage>,
    faults: Faults,
    delivered: Vec<TokenFrame>,
    end: Option<End>,
    idempotent: bool,
}

/// A violated invariant.
pub(crate) type Violation = &'static str;

type Next = Result<Model, Violation>;

fn frame(attempt: usize, seq: u64) -> Event {
    Event::Frame {
        attempt: attempt as AttemptNumber + 1,
        frame: TokenFrame {
            seq,
            tokens: 1,
            text: format!("{attempt}/{seq}"),
        },
    }
}

fn finished(attempt: usize, outcome: Outcome) -> Event {
    let failure = match outcome {
        Outcome::Failed => FailureReason::Endpoint,
        _ => FailureReason::Unspecified,
    };
    Event::Finished {
        attempt: attempt as AttemptNumber + 1,
        finished: Finished {
            outcome: outcome.into(),
            failure: failure.into(),
            frames: FRAMES,
            ..Finished::default()
        },
    }
}

fn refused(attempt: usize, reason: RefusalReason) -> Event {
    Event::Refused {
        attempt: attempt as AttemptNumber + 1,
        refusal: Refusal::new(reason, ""),
    }
}

impl Model {
    pub(crate) fn begin(options: Options, faults: Faults, budget: &RetryBudget) -> Vec<Model> {
        let idempotent = options.idempotent;
        let (lifecycle, actions) = RequestLifecycle::begin(options);
        let model = Model {
            lifecycle,
            now_ms: 0,
            sidecars: Vec::new(),
            sent: Vec::new(),
            faults,
            delivered: Vec::new(),
            end: None,
            idempotent,
        };
        let started = model.perform_all(actions, budget);
        started.into_iter().map(|next| next.unwrap()).collect()
    }

    /// Delivers an event to the request and performs its actions with each possible result.
    fn deliver_event(mut self, event: Event, budget: &RetryBudget) -> Vec<Next> {
        let actions = self.lifecycle.handle_event(self.now_ms, event, budget);
        self.perform_all(actions, budget)
    }

    fn perform_all(self, actions: Vec<Action>, budget: &RetryBudget) -> Vec<Next> {
        let mut models = vec![(self, Vec::new())];
        for action in &actions {
            let mut after = Vec::new();
            for (model, events) in models {
                match model.perform(action, events) {
                    Ok(more) => after.extend(more),
                    Err(violation) => return vec![Err(violation)],
                }
            }
            models = after;
        }
        let mut successors = Vec::new();
        for (model, events) in models {
            successors.extend(model.deliver_events(events, budget));
        }
        successors
    }

    fn deliver_events(self, events: Vec<Event>, budget: &RetryBudget) -> Vec<Next> {
        let mut models = vec![Ok(self)];
        for event in events {
            let deliver_event = |next: Next| match next {
                Ok(model) => model.deliver_event(event.clone(), budget),
                Err(violation) => vec![Err(violation)],
            };
            models = models.into_iter().flat_map(deliver_event).collect();
        }
        models
    }

    /// Performs one action; returns the possible models with the events to deliver next.
    fn perform(
        mut self,
        action: &Action,
        mut events: Vec<Event>,
    ) -> Result<Vec<(Model, Vec<Event>)>, Violation> {
        if self.end.is_some() && !matches!(action, Action::Cancel { .. }) {
            return Err("acted after its end");
        }
        match action {
            Action::Deliver(frame) => self.delivered.push(frame.clone()),
            Action::Finish(end) => self.end = Some(end.clone()),
            Action::Cancel { attempt } => {
                self.sidecars[*attempt as usize - 1].cancelled = true;
            }
            Action::Dispatch { attempt, .. } => {
                let index = *attempt as usize - 1;
                if self.sidecars.len() == index {
                    self.sidecars.push(Sidecar {
                        incarnation: 0,
                        state: SidecarState::Unknown,
                        ran: false,
                        cancelled: false,
                        reader: None,
                        call: 0,
                        dispatch_incarnation: 0,
                        replies: Vec::new(),
                        reserving_memory: false,
                    });
                }
                let mut variants = self.reserve_memory(index, &events);
                let incarnation = self.sidecars[index].incarnation;
                self.sidecars[index].dispatch_incarnation = incarnation;
                variants.extend(self.send(index, Message::Dispatch { incarnation }, events));
                return Ok(variants);
            }
            Action::Withdraw { attempt } => {
                let index = *attempt as usize - 1;
                let incarnation = self.sidecars[index].dispatch_incarnation;
                return Ok(self.send(index, Message::Withdraw { incarnation }, events));
            }
            Action::Resume { attempt, next_seq } => {
                let index = *attempt as usize - 1;
                let next_seq = *next_seq;
                return Ok(self.send(index, Message::Resume { next_seq }, events));
            }
        }
        events.shrink_to_fit();
        Ok(vec![(self, events)])
    }

    /// Starts a reservation at several endpoints, for a prompt that exceeds one engine's memory.
    fn reserve_memory(&self, attempt: usize, events: &[Event]) -> Vec<(Model, Vec<Event>)> {
        if self.faults.spans == 0 {
            return Vec::new();
        }
        let mut model = self.clone();
        model.faults.spans -= 1;
        model.sidecars[attempt].reserving_memory = true;
        let number = attempt as AttemptNumber + 1;
        let mut events = events.to_vec();
        events.push(Event::ReservingMemory { attempt: number });
        vec![(model, events)]
    }

    /// Ends the reservation, with or without success.
    fn finish_reservation(&self, attempt: usize, budget: &RetryBudget) -> Vec<Next> {
        let number = attempt as AttemptNumber + 1;
        if !self.sidecars[attempt].reserving_memory || !self.lifecycle.wants_dispatch(number) {
            return Vec::new();
        }
        let mut model = self.clone();
        model.sidecars[attempt].reserving_memory = false;
        let mut successors = Vec::new();
        for busy in [false, true] {
            let refusal = Refusal::new(RefusalReason::NoEndpoint, "");
            let none = Event::NoEndpoint {
                attempt: number,
                refusal,
                busy,
            };
            successors.extend(model.clone().deliver_event(none, budget));
        }
        let incarnation = model.sidecars[attempt].incarnation;
        model.sidecars[attempt].dispatch_incarnation = incarnation;
        let reserved = vec![Event::MemoryReserved { attempt: number }];
        for (model, events) in model.send(attempt, Message::Dispatch { incarnation }, reserved) {
            successors.extend(model.deliver_events(events, budget));
        }
        successors
    }

    /// Sends a message on a new call, or fails to send it.
    fn send(
        mut self,
        attempt: usize,
        message: Message,
        events: Vec<Event>,
    ) -> Vec<(Model, Vec<Event>)> {
        let number = attempt as AttemptNumber + 1;
        let mut variants = Vec::new();
        if self.faults.not_sent > 0 {
            let mut other = self.clone();
            other.faults.not_sent -= 1;
            let mut events = events.clone();
            events.push(Event::NotSent { attempt: number });
            variants.push((other, events));
        }
        let sidecar = &mut self.sidecars[attempt];
        sidecar.call += 1;
        sidecar.replies.clear();
        let call = sidecar.call;
        self.sent.push(PendingMessage {
            attempt,
            call,
            message,
        });
        self.sent.sort();
        let mut events = events;
        if matches!(message, Message::Dispatch { .. }) {
            events.push(Event::Sent {
                attempt: number,
                first_token_ms: 0,
            });
        }
        variants.push((self, events));
        variants
    }

    /// All states that can follow this one.
    pub(crate) fn successors(&self, budget: &RetryBudget) -> Vec<Next> {
        let mut successors = Vec::new();
        for index in 0..self.sent.len() {
            successors.extend(self.arrive(index).into_iter().map(Ok));
        }
        for attempt in 0..self.sidecars.len() {
            successors.extend(self.state(attempt).into_iter().map(Ok));
            successors.extend(self.receive_reply(attempt, budget));
            successors.extend(self.break_connection(attempt, budget));
            successors.extend(self.finish_reservation(attempt, budget));
        }
        if self.now_ms < DEADLINE_MS {
            let mut later = self.clone();
            later.now_ms += 1;
            successors.extend(later.deliver_event(Event::Tick, budget));
        }
        if self.faults.caller_gone > 0 && self.end.is_none() {
            let mut gone = self.clone();
            gone.faults.caller_gone -= 1;
            successors.extend(gone.deliver_event(Event::CallerGone, budget));
        }
        successors
    }

    /// Delivers a message to its sidecar.
    fn arrive(&self, index: usize) -> Vec<Model> {
        let mut model = self.clone();
        let PendingMessage {
            attempt,
            call,
            message,
        } = model.sent.remove(index);
        let mut variants = Vec::new();
        let sidecar = &mut model.sidecars[attempt];
        match message {
            Message::Dispatch { incarnation } if incarnation != sidecar.incarnation => {
                sidecar.reply(call, refused(attempt, RefusalReason::StaleIncarnation));
            }
            Message::Dispatch { .. } => match sidecar.state {
                SidecarState::Unknown => {
                    if model.faults.refusals > 0 {
                        let mut other = model.clone();
                        other.faults.refusals -= 1;
                        let event = refused(attempt, RefusalReason::Busy);
                        other.sidecars[attempt].reply(call, event);
                        variants.push(other);
                    }
                    let sidecar = &mut model.sidecars[attempt];
                    sidecar.state = SidecarState::Queued;
                    sidecar.reader = Some(call);
                    let attempt = attempt as AttemptNumber + 1;
                    sidecar.reply(call, Event::Accepted { attempt });
                }
                SidecarState::Tombstone => {
                    sidecar.reply(call, refused(attempt, RefusalReason::Withdrawn));
                }
                _ => sidecar.reply(call, refused(attempt, RefusalReason::Duplicate)),
            },
            Message::Withdraw { incarnation } => {
                let state = sidecar.withdraw(incarnation);
                let attempt = attempt as AttemptNumber + 1;
                sidecar.reply(call, Event::Withdrawn { attempt, state });
            }
            Message::Resume { next_seq } => sidecar.resume(attempt, call, next_seq),
        }
        variants.push(model);
        variants
    }

    /// Advances the request at a sidecar by one step.
    fn state(&self, attempt: usize) -> Vec<Model> {
        let mut variants = Vec::new();
        let mut model = self.clone();
        let sidecar = &mut model.sidecars[attempt];
        match sidecar.state {
            SidecarState::Queued => {
                sidecar.state = SidecarState::Running { produced: 0 };
                sidecar.ran = true;
                variants.push(model);
            }
            SidecarState::Running { produced } => {
                if self.faults.engine_failures > 0 {
                    let mut failed = self.clone();
                    failed.faults.engine_failures -= 1;
                    let sidecar = &mut failed.sidecars[attempt];
                    sidecar.state = SidecarState::Failed;
                    sidecar.reply_to_reader(finished(attempt, Outcome::Failed));
                    variants.push(failed);
                }
                if produced < FRAMES {
                    sidecar.state = SidecarState::Running {
                        produced: produced + 1,
                    };
                    sidecar.reply_to_reader(frame(attempt, produced));
                } else {
                    sidecar.state = SidecarState::Answered;
                    sidecar.reply_to_reader(finished(attempt, Outcome::Answered));
                }
                variants.push(model);
            }
            _ => {}
        }
        variants
    }

    /// Delivers one of the replies in flight to the gateway.
    fn receive_reply(&self, attempt: usize, budget: &RetryBudget) -> Vec<Next> {
        let mut successors = Vec::new();
        for index in 0..self.sidecars[attempt].replies.len() {
            let mut model = self.clone();
            let event = model.sidecars[attempt].replies.remove(index);
            if self.faults.duplicate_frames > 0 && matches!(event, Event::Frame { .. }) {
                let mut duplicated = self.clone();
                duplicated.faults.duplicate_frames -= 1;
                successors.extend(duplicated.deliver_event(event.clone(), budget));
            }
            successors.extend(model.deliver_event(event, budget));
        }
        successors
    }

    /// Breaks the connection to a sidecar, with or without a restart of the sidecar.
    fn break_connection(&self, attempt: usize, budget: &RetryBudget) -> Vec<Next> {
        let mut successors = Vec::new();
        let number = attempt as AttemptNumber + 1;
        if self.faults.lost_connections > 0 {
            let mut lost = self.clone();
            lost.faults.lost_connections -= 1;
            lost.sidecars[attempt].disconnect();
            successors
                .extend(lost.deliver_event(Event::ConnectionLost { attempt: number }, budget));
        }
        if self.faults.crashes > 0 {
            let mut crashed = self.clone();
            crashed.faults.crashes -= 1;
            let sidecar = &mut crashed.sidecars[attempt];
            sidecar.disconnect();
            sidecar.incarnation += 1;
            sidecar.state = SidecarState::Unknown;
            successors
                .extend(crashed.deliver_event(Event::ConnectionLost { attempt: number }, budget));
        }
        successors
    }

    /// Checks the invariants of each state.
    pub(crate) fn check(&self) -> Result<(), Violation> {
        let ran = self.sidecars.iter().filter(|sidecar| sidecar.ran).count();
        if !self.idempotent && ran > 1 {
            return Err("a non-idempotent request ran twice");
        }
        let source = self.delivered.first().map(|frame| &frame.text[..1]);
        for (seq, frame) in self.delivered.iter().enumerate() {
            if frame.seq != seq as u64 || Some(&frame.text[..1]) != source {
                return Err("the answer was spliced or out of order");
            }
        }
        match &self.end {
            Some(End::Refused(_)) if ran > 0 => return Err("refused, and ran"),
            Some(End::Failed(..)) if ran == 0 => return Err("failed, and never ran"),
            Some(End::Answered(_)) if self.delivered.len() as u64 != FRAMES => {
                return Err("answered, and not whole");
            }
            Some(_) if self.sidecars.iter().any(Sidecar::is_left_running) => {
                return Err("ended, and left running");
            }
            None if self.now_ms >= DEADLINE_MS => return Err("no end by the deadline"),
            _ => {}
        }
        Ok(())
    }

    pub(crate) fn end(&self) -> Option<&End> {
        self.end.as_ref()
    }
}

impl Sidecar {
    fn reply(&mut self, call: u8, event: Event) {
        if call == self.call {
            self.replies.push(event);
        }
    }

    fn reply_to_reader(&mut self, event: Event) {
        if let Some(call) = self.reader {
            self.reply(call, event);
        }
    }

    fn disconnect(&mut self) {
        self.replies.clear();
        self.reader = None;
        self.call += 1;
    }

    /// Whether the request still runs here without a cancel.
    fn is_left_running(&self) -> bool {
        let is_active = matches!(
            self.state,
            SidecarState::Queued | SidecarState::Running { .. }
        );
        is_active && !self.cancelled
    }

    fn withdraw(&mut self, incarnation: u8) -> WithdrawState {
        if incarnation != self.incarnation {
            return WithdrawState::CannotTell;
        }
        match self.state {
            SidecarState::Unknown | SidecarState::Tombstone | SidecarState::Queued => {
                self.state = SidecarState::Tombstone;
                WithdrawState::NeverStarted
            }
            SidecarState::Running { .. } => WithdrawState::Running,
            SidecarState::Answered | SidecarState::Failed => WithdrawState::Finished,
        }
    }

    fn resume(&mut self, attempt: usize, call: u8, next_seq: u64) {
        self.reader = Some(call);
        let produced = match self.state {
            SidecarState::Unknown | SidecarState::Tombstone => {
                return self.reply(call, refused(attempt, RefusalReason::BadRequest));
            }
            SidecarState::Queued => 0,
            SidecarState::Running { produced } => produced,
            SidecarState::Answered => FRAMES,
            SidecarState::Failed => 0,
        };
        for seq in next_seq..produced {
            self.reply(call, frame(attempt, seq));
        }
        match self.state {
            SidecarState::Answered => self.reply(call, finished(attempt, Outcome::Answered)),
            SidecarState::Failed => self.reply(call, finished(attempt, Outcome::Failed)),
            _ => {}
        }
    }
}

/// Result of an exploration.
#[derive(Debug, Default)]
pub(crate) struct Exploration {
    pub(crate) states: usize,
    pub(crate) outcomes: HashSet<String>,
    pub(crate) violation: Option<Violation>,
}

/// Explores every order of events and visits each state once.
pub(crate) fn explore(options: Options, faults: Faults, budget: &RetryBudget) -> Exploration {
    let mut exploration = Exploration::default();
    let mut seen = HashSet::new();
    let mut unexplored = Model::begin(options, faults, budget);
    while let Some(model) = unexplored.pop() {
        if !seen.insert(model.clone()) {
            continue;
        }
        if let Some(end) = model.end() {
            exploration.outcomes.insert(format!("{:?}", end.outcome()));
        }
        if let Err(violation) = model.check() {
            exploration.violation = Some(violation);
            break;
        }
        for next in model.successors(budget) {
            match next {
                Ok(next) => unexplored.push(next),
                Err(violation) => {
                    exploration.violation = Some(violation);
                    return exploration;
                }
            }
        }
    }
    exploration.states = seen.len();
    exploration
}
