//! The state of one request from its first dispatch to its outcome.

mod hear;
mod recover;
mod settle;

use mgs_schema::wire::FailureReason;
use mgs_schema::wire::RefusalReason;

use crate::attempt::Attempt;
use crate::attempt::State;
use crate::budget::Budget;
use crate::delivery::Delivery;
use crate::event::Action;
use crate::event::AttemptNumber;
use crate::event::Event;
use crate::outcome::Refusal;
use crate::plant::Plant;

/// Settings of one request's life.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// When its allotted time ends, on the process's monotonic clock, in milliseconds.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether a second attempt may be made beside a slow one; idempotent requests only.
    pub hedge: bool,
    /// A second attempt is made when the first token is later than so many times its prediction.
    pub hedge_factor: u64,
    /// ... and later than its prediction by at least so many milliseconds.
    pub hedge_slack_ms: u64,
    /// Most attempts.
    pub attempts_max: usize,
    /// Pause before a sidecar that couldn't be asked is asked again, in milliseconds.
    pub ask_again_ms: u64,
    /// Refusals of a resume before the sidecar is asked to take the attempt back instead.
    pub resumes_max: u32,
    /// Pause before an endpoint is chosen again when all are busy, in milliseconds.
    pub choose_again_ms: u64,
    /// A deliberate bug.
    pub plant: Plant,
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
            ask_again_ms: 100,
            resumes_max: 5,
            choose_again_ms: 20,
            plant: Plant::None,
        }
    }
}

/// The life of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Life {
    options: Options,
    attempts: Vec<Attempt>,
    /// The attempt whose answer goes to the caller.
    winner: Option<AttemptNumber>,
    delivery: Delivery,
    refusal: Option<Refusal>,
    forgotten: bool,
    ended: bool,
}

impl Life {
    /// A request that has been admitted, and the actions to begin with.
    ///
    /// ```
    /// use mgs_request::event::Action;
    /// use mgs_request::life::Life;
    /// use mgs_request::life::Options;
    ///
    /// let (life, actions) = Life::begin(Options { deadline_ms: 1_000, ..Options::default() });
    /// assert_eq!(actions, [Action::Dispatch { attempt: 1, retry: None }]);
    /// assert_eq!(life.wake_ms(), 1_000);
    /// ```
    pub fn begin(options: Options) -> (Self, Vec<Action>) {
        let first = Action::Dispatch {
            attempt: 1,
            retry: None,
        };
        (Self::new(options, Attempt::new()), vec![first])
    }

    /// A request that another gateway dispatched, of which the whole answer is wanted. It is
    /// attempted nowhere else, whatever the options say.
    ///
    /// ```
    /// use mgs_request::event::Action;
    /// use mgs_request::life::Life;
    /// use mgs_request::life::Options;
    ///
    /// let (_, actions) = Life::resume(Options { deadline_ms: 1_000, ..Options::default() });
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
            delivery: Delivery::default(),
            refusal: None,
            forgotten: false,
            ended: false,
        }
    }

    /// Whether the outcome has been said.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// When the next tick is wanted, on the process's monotonic clock, in milliseconds.
    pub fn wake_ms(&self) -> u64 {
        let wakes = self.attempts.iter().filter_map(Attempt::wake_ms);
        wakes.fold(self.options.deadline_ms, u64::min)
    }

    /// Whether an attempt still waits for its dispatch.
    pub fn wants_dispatch(&self, number: AttemptNumber) -> bool {
        let index = (number as usize).checked_sub(1);
        let attempt = index.and_then(|index| self.attempts.get(index));
        let choosing = attempt.is_some_and(|a| matches!(a.state, State::Choosing { .. }));
        choosing && !self.ended && !self.forgotten
    }

    /// Takes an event; returns what is to be done, in order.
    pub fn on(&mut self, now_ms: u64, event: Event, budget: &Budget) -> Vec<Action> {
        let mut step = Step {
            now_ms,
            budget,
            actions: Vec::new(),
        };
        if self.ended || self.forgotten {
            return step.actions;
        }
        // What came is counted first, so that an answer that is whole at the deadline is given.
        self.take(&mut step, event);
        if !self.ended && !self.forgotten && now_ms >= self.options.deadline_ms {
            self.give_up(&mut step, FailureReason::Deadline, RefusalReason::Deadline);
        }
        step.actions
    }

    fn take(&mut self, step: &mut Step<'_>, event: Event) {
        match event {
            Event::Tick => self.tick(step),
            Event::CallerGone => {
                self.give_up(step, FailureReason::Cancelled, RefusalReason::Cancelled);
            }
            Event::Sent {
                attempt,
                first_token_ms,
            } => self.sent(step, attempt, first_token_ms),
            Event::NoEndpoint {
                attempt,
                refusal,
                busy,
            } => self.no_endpoint(step, attempt, refusal, busy),
            Event::Gathering { attempt } => self.set(attempt, State::Choosing { at_ms: u64::MAX }),
            Event::Gathered { attempt } => self.set(attempt, State::Dispatched),
            Event::NotSent { attempt } => self.not_sent(step, attempt),
            Event::Accepted { attempt } => self.accepted(attempt),
            Event::Refused { attempt, refusal } => self.refused(step, attempt, refusal),
            Event::Frame { attempt, frame } => self.frame(step, attempt, frame),
            Event::Finished { attempt, finished } => self.finished(step, attempt, finished),
            Event::PathLost { attempt } => self.path_lost(step, attempt),
            Event::Withdrawn { attempt, state } => self.withdrawn(step, attempt, state),
        }
    }

    fn attempt(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        let index = (number as usize).checked_sub(1)?;
        self.attempts.get_mut(index)
    }

    fn set(&mut self, number: AttemptNumber, state: State) {
        if let Some(attempt) = self.attempt(number) {
            attempt.state = state;
        }
    }

    /// The state of an attempt of which something may still come.
    fn open_state(&mut self, number: AttemptNumber) -> Option<State> {
        let attempt = self.attempt(number)?;
        attempt.is_open().then_some(attempt.state)
    }

    fn tick(&mut self, step: &mut Step<'_>) {
        for number in 1..=self.attempts.len() as AttemptNumber {
            match self.open_state(number) {
                Some(State::Choosing { at_ms }) if at_ms <= step.now_ms => {
                    self.set(number, State::Dispatched);
                    step.act(Action::Dispatch {
                        attempt: number,
                        retry: None,
                    });
                }
                Some(State::Asking { at_ms, resume }) if at_ms <= step.now_ms => {
                    self.ask(step, number, resume);
                }
                Some(State::Dispatched | State::Running) => self.hedge(step, number),
                _ => {}
            }
        }
    }
}

/// What one event leads to.
struct Step<'a> {
    now_ms: u64,
    budget: &'a Budget,
    actions: Vec<Action>,
}

impl Step<'_> {
    fn act(&mut self, action: Action) {
        self.actions.push(action);
    }
}
