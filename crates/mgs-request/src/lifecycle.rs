//! The state machine of one request, from its first dispatch to its outcome.

mod recover;
mod replies;
mod settle;

use mgs_schema::wire::FailureReason;
use mgs_schema::wire::RefusalReason;

use crate::attempt::Attempt;
use crate::attempt::State;
use crate::budget::RetryBudget;
use crate::event::Action;
use crate::event::AttemptNumber;
use crate::event::Event;
use crate::injected_bug::InjectedBug;
use crate::outcome::Refusal;
use crate::reorder::ReorderBuffer;

/// Settings of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Deadline of the request on the process's monotonic clock, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a slow attempt may be hedged by a second one; idempotent requests only.
    pub hedge: bool,
    /// Factor on the predicted time to first token after which a hedge is made.
    pub hedge_factor: u64,
    /// Minimum delay beyond the predicted time to first token before a hedge, in milliseconds.
    pub hedge_slack_ms: u64,
    /// Maximum number of attempts, including the first and hedges.
    pub attempts_max: usize,
    /// Delay before a failed withdraw or resume is sent again, in milliseconds.
    pub recovery_retry_ms: u64,
    /// Number of refused resumes after which a withdraw is sent instead.
    pub resumes_max: u32,
    /// Delay before an endpoint is chosen again when all are busy, in milliseconds.
    pub endpoint_retry_ms: u64,
    /// Deliberate bug, for tests.
    pub injected_bug: InjectedBug,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            deadline_ms: 0,
            idempotent: false,
            hedge: false,
            hedge_factor: 3,
            hedge_slack_ms: 500,
            attempts_max: 4,
            recovery_retry_ms: 100,
            resumes_max: 5,
            endpoint_retry_ms: 20,
            injected_bug: InjectedBug::None,
        }
    }
}

/// State of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestLifecycle {
    options: Options,
    attempts: Vec<Attempt>,
    /// The attempt whose response is delivered to the caller.
    winner: Option<AttemptNumber>,
    reorder_buffer: ReorderBuffer,
    /// The most recent refusal, reported if no attempt can have run.
    refusal: Option<Refusal>,
    /// Set by [`InjectedBug::AdmittedAndForgotten`]; later events are ignored.
    forgotten: bool,
    ended: bool,
}

impl RequestLifecycle {
    /// Creates the state of an admitted request and returns its first actions.
    ///
    /// ```
    /// use mgs_request::event::Action;
    /// use mgs_request::lifecycle::RequestLifecycle;
    /// use mgs_request::lifecycle::Options;
    ///
    /// let options = Options { deadline_ms: 1_000, ..Options::default() };
    /// let (lifecycle, actions) = RequestLifecycle::begin(options);
    /// assert_eq!(actions, [Action::Dispatch { attempt: 1, retry: None }]);
    /// assert_eq!(lifecycle.wake_ms(), 1_000);
    /// ```
    pub fn begin(options: Options) -> (Self, Vec<Action>) {
        let first = Action::Dispatch {
            attempt: 1,
            retry: None,
        };
        (Self::new(options, Attempt::new()), vec![first])
    }

    /// Creates the state of a request that another gateway dispatched, to fetch its response from
    /// the first frame. There are no further attempts, regardless of the options.
    ///
    /// ```
    /// use mgs_request::event::Action;
    /// use mgs_request::lifecycle::RequestLifecycle;
    /// use mgs_request::lifecycle::Options;
    ///
    /// let options = Options { deadline_ms: 1_000, ..Options::default() };
    /// let (_, actions) = RequestLifecycle::resume(options);
    /// assert_eq!(actions, [Action::Resume { attempt: 1, next_seq: 0 }]);
    /// ```
    pub fn resume(options: Options) -> (Self, Vec<Action>) {
        let options = Options {
            attempts_max: 1,
            hedge: false,
            ..options
        };
        let resume = Action::Resume {
            attempt: 1,
            next_seq: 0,
        };
        (Self::new(options, Attempt::resumed()), vec![resume])
    }

    fn new(options: Options, attempt: Attempt) -> Self {
        Self {
            options,
            attempts: vec![attempt],
            winner: None,
            reorder_buffer: ReorderBuffer::default(),
            refusal: None,
            forgotten: false,
            ended: false,
        }
    }

    /// Whether the outcome has been reported.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Time of the next required tick on the process's monotonic clock, in milliseconds.
    pub fn wake_ms(&self) -> u64 {
        let wakes = self.attempts.iter().filter_map(Attempt::wake_ms);
        wakes.fold(self.options.deadline_ms, u64::min)
    }

    /// Whether an attempt still waits to be dispatched.
    pub fn wants_dispatch(&self, number: AttemptNumber) -> bool {
        let index = (number as usize).checked_sub(1);
        let attempt = index.and_then(|index| self.attempts.get(index));
        let awaiting_endpoint =
            attempt.is_some_and(|a| matches!(a.state, State::AwaitingEndpoint { .. }));
        awaiting_endpoint && !self.ended && !self.forgotten
    }

    /// Applies an event and returns the resulting actions in order.
    pub fn handle_event(&mut self, now_ms: u64, event: Event, budget: &RetryBudget) -> Vec<Action> {
        let mut transition = Transition {
            now_ms,
            budget,
            actions: Vec::new(),
        };
        if self.ended || self.forgotten {
            return transition.actions;
        }
        // The event is applied before the deadline check, so that a response that completes at the
        // deadline is delivered.
        self.apply_event(&mut transition, event);
        if !self.ended && !self.forgotten && now_ms >= self.options.deadline_ms {
            self.end_without_response(
                &mut transition,
                FailureReason::Deadline,
                RefusalReason::Deadline,
            );
        }
        transition.actions
    }

    fn apply_event(&mut self, transition: &mut Transition<'_>, event: Event) {
        match event {
            Event::Tick => self.tick(transition),
            Event::CallerGone => {
                self.end_without_response(
                    transition,
                    FailureReason::Cancelled,
                    RefusalReason::Cancelled,
                );
            }
            Event::Sent {
                attempt,
                first_token_ms,
            } => self.sent(transition, attempt, first_token_ms),
            Event::NoEndpoint {
                attempt,
                refusal,
                busy,
            } => self.no_endpoint(transition, attempt, refusal, busy),
            Event::ReservingMemory { attempt } => {
                self.set_state(attempt, State::AwaitingEndpoint { at_ms: u64::MAX })
            }
            Event::MemoryReserved { attempt } => self.set_state(attempt, State::Dispatched),
            Event::NotSent { attempt } => self.not_sent(transition, attempt),
            Event::Accepted { attempt } => self.accepted(attempt),
            Event::Refused { attempt, refusal } => self.refused(transition, attempt, refusal),
            Event::Frame { attempt, frame } => self.frame(transition, attempt, frame),
            Event::Finished { attempt, finished } => self.finished(transition, attempt, finished),
            Event::ConnectionLost { attempt } => self.connection_lost(transition, attempt),
            Event::Withdrawn { attempt, state } => self.withdrawn(transition, attempt, state),
        }
    }

    fn attempt(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        let index = (number as usize).checked_sub(1)?;
        self.attempts.get_mut(index)
    }

    fn set_state(&mut self, number: AttemptNumber, state: State) {
        if let Some(attempt) = self.attempt(number) {
            attempt.state = state;
        }
    }

    /// The state of an attempt; `None` unless the attempt is open.
    fn open_state(&mut self, number: AttemptNumber) -> Option<State> {
        let attempt = self.attempt(number)?;
        attempt.is_open().then_some(attempt.state)
    }

    fn tick(&mut self, transition: &mut Transition<'_>) {
        for number in 1..=self.attempts.len() as AttemptNumber {
            match self.open_state(number) {
                Some(State::AwaitingEndpoint { at_ms }) if at_ms <= transition.now_ms => {
                    self.set_state(number, State::Dispatched);
                    transition.push_action(Action::Dispatch {
                        attempt: number,
                        retry: None,
                    });
                }
                Some(State::AwaitingRecovery { at_ms, resume }) if at_ms <= transition.now_ms => {
                    self.contact_sidecar(transition, number, resume);
                }
                Some(State::Dispatched | State::Running) => self.hedge_if_late(transition, number),
                _ => {}
            }
        }
    }
}

/// The time, retry budget and resulting actions of one event.
struct Transition<'a> {
    now_ms: u64,
    budget: &'a RetryBudget,
    actions: Vec<Action>,
}

impl Transition<'_> {
    fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }
}
