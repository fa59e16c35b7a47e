//! After a lost path: the sidecar is asked again, over a new connection.

use mgs_schema::wire::Finished;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::RetryReason;
use mgs_schema::wire::WithdrawState;

use super::Life;
use super::Step;
use crate::attempt::State;
use crate::event::Action;
use crate::event::AttemptNumber;
use crate::outcome::End;
use crate::outcome::Refusal;
use crate::plant::Plant;

impl Life {
    pub(super) fn not_sent(&mut self, step: &mut Step<'_>, number: AttemptNumber) {
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

    pub(super) fn path_lost(&mut self, step: &mut Step<'_>, number: AttemptNumber) {
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
    pub(super) fn ask(&mut self, step: &mut Step<'_>, number: AttemptNumber, resume: bool) {
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
    pub(super) fn asked_in_vain(
        &mut self,
        step: &mut Step<'_>,
        number: AttemptNumber,
        resume: bool,
    ) {
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

    pub(super) fn withdrawn(
        &mut self,
        step: &mut Step<'_>,
        number: AttemptNumber,
        state: WithdrawState,
    ) {
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
}
