//! The state of one request from its first dispatch to its outcome.

use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::RetryReason;
use mgs_schema::wire::TokenFrame;
use mgs_schema::wire::WithdrawState;

use crate::attempt::Attempt;
use crate::attempt::State;
use crate::budget::Budget;
use crate::delivery::Delivery;
use crate::event::Action;
use crate::event::AttemptNumber;
use crate::event::Event;
use crate::outcome::End;
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

    fn sent(&mut self, step: &mut Step<'_>, number: AttemptNumber, first_token_ms: u64) {
        let patience_ms = (first_token_ms.saturating_mul(self.options.hedge_factor))
            .max(first_token_ms.saturating_add(self.options.hedge_slack_ms));
        let hedge = self.options.hedge && self.options.idempotent;
        let at_ms = step.now_ms.saturating_add(patience_ms);
        if let Some(attempt) = self.attempt(number) {
            attempt.hedge_at_ms = hedge.then_some(at_ms);
        }
    }

    /// Makes a second attempt beside one whose first token is late.
    fn hedge(&mut self, step: &mut Step<'_>, number: AttemptNumber) {
        let now_ms = step.now_ms;
        let Some(attempt) = self.attempt(number) else {
            return;
        };
        if attempt.hedge_at_ms.is_none_or(|at_ms| at_ms > now_ms) {
            return;
        }
        attempt.hedge_at_ms = None;
        let open = self.attempts.iter().filter(|attempt| attempt.is_open());
        if self.winner.is_none() && open.count() == 1 {
            self.again(step, RetryReason::Hedge);
        }
    }

    fn no_endpoint(
        &mut self,
        step: &mut Step<'_>,
        number: AttemptNumber,
        refusal: Refusal,
        busy: bool,
    ) {
        let others = self.attempts.iter().filter(|other| other.is_open()).count() > 1;
        if busy && !others {
            let at_ms = step.now_ms + self.options.choose_again_ms;
            self.set(number, State::Choosing { at_ms });
            return;
        }
        // A sidecar's own refusal says more than that there is no further endpoint.
        self.refusal.get_or_insert(refusal);
        self.set(number, State::NotRun);
        self.settle(step);
    }

    fn not_sent(&mut self, step: &mut Step<'_>, number: AttemptNumber) {
        match self.open_state(number) {
            Some(State::Dispatched) => {
                self.set(number, State::NotRun);
                let refusal = Refusal::new(RefusalReason::NoEndpoint, "no connection");
                self.refusal = Some(refusal);
                self.retry(step, RetryReason::Connect);
            }
            Some(State::Withdrawing) => self.asked_in_vain(step, number, false),
            Some(State::Resuming) => self.asked_in_vain(step, number, true),
            _ => {}
        }
    }

    fn accepted(&mut self, number: AttemptNumber) {
        let Some(attempt) = self.attempt(number) else {
            return;
        };
        if matches!(attempt.state, State::Dispatched | State::Resuming) {
            attempt.state = State::Running;
        }
    }

    fn refused(&mut self, step: &mut Step<'_>, number: AttemptNumber, refusal: Refusal) {
        let ran = self.attempt(number).is_some_and(|attempt| attempt.ran);
        match self.open_state(number) {
            // The request is known there: the refusal says nothing of the earlier dispatch.
            Some(State::Dispatched | State::Running)
                if ran || refusal.reason == RefusalReason::Duplicate =>
            {
                self.ask(step, number, true);
            }
            Some(State::Dispatched | State::Running) => {
                self.refusal = Some(refusal);
                self.set(number, State::NotRun);
                self.retry(step, RetryReason::Refused);
            }
            // A refused resume isn't a proof; a withdraw gives one, or says that there is none.
            Some(State::Resuming) => self.asked_in_vain(step, number, false),
            _ => {}
        }
    }

    fn frame(&mut self, step: &mut Step<'_>, number: AttemptNumber, frame: TokenFrame) {
        if self.open_state(number).is_none() {
            return;
        }
        if let Some(attempt) = self.attempt(number) {
            attempt.ran = true;
            attempt.state = State::Running;
        }
        if !self.wins(step, number) {
            return;
        }
        for frame in self.delivery.take(frame) {
            step.act(Action::Deliver(frame));
            self.progressed(number);
        }
        if self.delivery.announced().is_some() {
            self.check_whole(step, number);
        }
    }

    fn progressed(&mut self, number: AttemptNumber) {
        if let Some(attempt) = self.attempt(number) {
            attempt.asked = 0;
        }
    }

    /// Whether the answer of this attempt goes to the caller; the first to have one wins.
    fn wins(&mut self, step: &mut Step<'_>, number: AttemptNumber) -> bool {
        if self.winner.is_none() {
            self.winner = Some(number);
            self.cancel_others(step, number);
        }
        self.winner == Some(number)
    }

    fn cancel_others(&mut self, step: &mut Step<'_>, winner: AttemptNumber) {
        for number in 1..=self.attempts.len() as AttemptNumber {
            let open = self.open_state(number);
            if number == winner || open.is_none() {
                continue;
            }
            if self.attempts[number as usize - 1].may_run() {
                step.act(Action::Cancel { attempt: number });
                self.set(number, State::MayHaveRun);
            } else {
                self.set(number, State::NotRun);
            }
        }
    }

    fn finished(&mut self, step: &mut Step<'_>, number: AttemptNumber, finished: Finished) {
        if self.open_state(number).is_none() {
            return;
        }
        match finished.outcome() {
            Outcome::Answered => {
                if self.wins(step, number) {
                    self.delivery.announce(finished);
                    self.check_whole(step, number);
                }
            }
            Outcome::Failed => {
                let reason = finished.failure();
                if let Some(attempt) = self.attempt(number) {
                    attempt.state = State::Failed(reason);
                    attempt.ran = true;
                }
                match reason {
                    FailureReason::Deadline | FailureReason::Cancelled => self.settle(step),
                    _ => self.retry(step, RetryReason::Endpoint),
                }
            }
            _ => {
                self.set(number, State::MayHaveRun);
                self.retry(step, RetryReason::Endpoint);
            }
        }
    }

    /// Ends the request if its answer is whole, or asks for what is missing.
    fn check_whole(&mut self, step: &mut Step<'_>, number: AttemptNumber) {
        let whole = self.delivery.is_whole() || self.options.plant == Plant::TruncatedAnswer;
        match self.delivery.announced() {
            Some(end) if whole => {
                let end = End::Answered(end.clone());
                self.finish(step, end);
            }
            Some(_) if self.delivery.overran() => {
                let detail = "more frames than announced".to_string();
                self.finish(step, End::Failed(FailureReason::Incomplete, detail));
            }
            _ => self.asked_in_vain(step, number, true),
        }
    }

    fn path_lost(&mut self, step: &mut Step<'_>, number: AttemptNumber) {
        if self.options.plant == Plant::AdmittedAndForgotten {
            self.forgotten = true;
            return;
        }
        if self.options.plant == Plant::TruncatedAnswer && self.winner == Some(number) {
            let end = End::Answered(Finished::default());
            return self.finish(step, end);
        }
        match self.open_state(number) {
            Some(State::Dispatched) => self.ask(step, number, false),
            Some(State::Running) => self.ask(step, number, true),
            Some(State::Withdrawing) => self.asked_in_vain(step, number, false),
            Some(State::Resuming) => self.asked_in_vain(step, number, true),
            _ => {}
        }
    }

    /// Asks an attempt's sidecar for the rest of the answer, or to take the attempt back.
    fn ask(&mut self, step: &mut Step<'_>, number: AttemptNumber, resume: bool) {
        if resume {
            self.set(number, State::Resuming);
            step.act(Action::Resume {
                attempt: number,
                next_seq: self.delivery.next_seq(),
            });
        } else {
            self.set(number, State::Withdrawing);
            step.act(Action::Withdraw { attempt: number });
        }
    }

    /// Asks at once the first time, and after a pause from then on. An idempotent request of
    /// which the caller has seen nothing is attempted elsewhere instead of a further question.
    fn asked_in_vain(&mut self, step: &mut Step<'_>, number: AttemptNumber, resume: bool) {
        let Some(attempt) = self.attempt(number) else {
            return;
        };
        attempt.asked += 1;
        if attempt.asked == 1 {
            return self.ask(step, number, resume);
        }
        let at_ms = step.now_ms + self.options.ask_again_ms;
        self.set(number, State::Asking { at_ms, resume });
        let open = self.attempts.iter().filter(|attempt| attempt.is_open());
        let alone = open.count() == 1;
        if self.may_run_twice() && self.winner.is_none() && alone {
            self.again(step, RetryReason::Path);
        }
    }

    fn withdrawn(&mut self, step: &mut Step<'_>, number: AttemptNumber, state: WithdrawState) {
        if self.open_state(number) != Some(State::Withdrawing) {
            return;
        }
        let ran = self.attempt(number).is_some_and(|attempt| attempt.ran);
        match state {
            WithdrawState::NeverStarted if !ran => {
                self.set(number, State::NotRun);
                let refusal = Refusal::new(RefusalReason::NoEndpoint, "path to endpoint lost");
                self.refusal = Some(refusal);
                self.retry(step, RetryReason::Path);
            }
            WithdrawState::Running | WithdrawState::Finished => {
                let asked = self.attempt(number).map_or(0, |attempt| attempt.asked);
                if asked == 0 {
                    self.ask(step, number, true);
                } else {
                    self.asked_in_vain(step, number, true);
                }
            }
            _ => {
                self.set(number, State::MayHaveRun);
                self.retry(step, RetryReason::Path);
            }
        }
    }

    /// Attempts the request again where that is allowed, and settles it where it isn't.
    fn retry(&mut self, step: &mut Step<'_>, reason: RetryReason) {
        let open = self.attempts.iter().any(Attempt::is_open);
        if open || !self.again(step, reason) {
            self.settle(step);
        }
    }

    fn may_run_twice(&self) -> bool {
        self.options.idempotent || self.options.plant == Plant::RetryAfterUnknown
    }

    /// Makes one more attempt if the rules, the count and the budget allow it.
    fn again(&mut self, step: &mut Step<'_>, reason: RetryReason) -> bool {
        let may_have_run = self.attempts.iter().any(Attempt::may_run);
        let forbidden = self.winner.is_some() || (may_have_run && !self.may_run_twice());
        if forbidden
            || self.attempts.len() >= self.options.attempts_max
            || step.now_ms >= self.options.deadline_ms
            || !step.budget.spend()
        {
            return false;
        }
        self.attempts.push(Attempt::new());
        step.act(Action::Dispatch {
            attempt: self.attempts.len() as AttemptNumber,
            retry: Some(reason),
        });
        true
    }

    /// Ends the request when nothing more can come of any attempt.
    fn settle(&mut self, step: &mut Step<'_>) {
        let winner_open = self
            .winner
            .is_some_and(|winner| self.open_state(winner).is_some());
        let open = self.attempts.iter().any(Attempt::is_open);
        if winner_open || (self.winner.is_none() && open) {
            return;
        }
        let failure = self.failure().unwrap_or(FailureReason::Path);
        self.give_up(step, failure, RefusalReason::NoEndpoint);
    }

    /// The reason of the last attempt that is known to have failed.
    fn failure(&self) -> Option<FailureReason> {
        let failure = |attempt: &Attempt| match attempt.state {
            State::Failed(reason) => Some(reason),
            _ => None,
        };
        self.attempts.iter().rev().find_map(failure)
    }

    /// Ends the request now, with what is known of its attempts.
    fn give_up(&mut self, step: &mut Step<'_>, failure: FailureReason, refusal: RefusalReason) {
        let ran = self.attempts.iter().any(|attempt| attempt.ran);
        let may_have_run = self.attempts.iter().any(Attempt::may_run);
        let end = if ran {
            End::Failed(failure, String::new())
        } else if may_have_run {
            End::Unknown(failure, String::new())
        } else {
            let known = self.refusal.take();
            End::Refused(known.unwrap_or_else(|| Refusal::new(refusal, "")))
        };
        self.finish(step, end);
    }

    fn finish(&mut self, step: &mut Step<'_>, end: End) {
        self.ended = true;
        let answered = matches!(end, End::Answered(_));
        step.act(Action::Finish(end));
        for number in 1..=self.attempts.len() as AttemptNumber {
            let done = answered && self.winner == Some(number);
            let attempt = &self.attempts[number as usize - 1];
            if attempt.is_open() && attempt.may_run() && !done {
                step.act(Action::Cancel { attempt: number });
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
