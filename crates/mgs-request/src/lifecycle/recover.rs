//! Recovery from lost connections: withdraws and resumes over a new connection.

use mgs_schema::wire::Finished;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::RetryReason;
use mgs_schema::wire::WithdrawState;

use super::RequestLifecycle;
use super::Transition;
use crate::attempt::State;
use crate::event::Action;
use crate::event::AttemptNumber;
use crate::injected_bug::InjectedBug;
use crate::outcome::End;
use crate::outcome::Refusal;

impl RequestLifecycle {
    pub(super) fn not_sent(&mut self, transition: &mut Transition<'_>, number: AttemptNumber) {
        match self.open_state(number) {
            Some(State::Dispatched) => {
                self.set_state(number, State::NotRun);
                let refusal = Refusal::new(RefusalReason::NoEndpoint, "no connection");
                self.refusal = Some(refusal);
                self.retry_or_settle(transition, RetryReason::Connect);
            }
            Some(State::Withdrawing) => self.recovery_failed(transition, number, false),
            Some(State::Resuming) => self.recovery_failed(transition, number, true),
            _ => {}
        }
    }

    pub(super) fn connection_lost(
        &mut self,
        transition: &mut Transition<'_>,
        number: AttemptNumber,
    ) {
        if self.options.injected_bug == InjectedBug::AdmittedAndForgotten {
            self.forgotten = true;
            return;
        }
        if self.options.injected_bug == InjectedBug::TruncatedAnswer && self.winner == Some(number)
        {
            let end = End::Answered(Finished::default());
            return self.finish(transition, end);
        }
        match self.open_state(number) {
            Some(State::Dispatched) => self.contact_sidecar(transition, number, false),
            Some(State::Running) => self.contact_sidecar(transition, number, true),
            Some(State::Withdrawing) => self.recovery_failed(transition, number, false),
            Some(State::Resuming) => self.recovery_failed(transition, number, true),
            _ => {}
        }
    }

    /// Sends a resume or a withdraw to the sidecar of an attempt.
    pub(super) fn contact_sidecar(
        &mut self,
        transition: &mut Transition<'_>,
        number: AttemptNumber,
        resume: bool,
    ) {
        if resume {
            self.set_state(number, State::Resuming);
            transition.push_action(Action::Resume {
                attempt: number,
                next_seq: self.reorder_buffer.next_seq(),
            });
        } else {
            self.set_state(number, State::Withdrawing);
            transition.push_action(Action::Withdraw { attempt: number });
        }
    }

    /// Repeats a failed resume or withdraw: at once after the first failure, with a delay after
    /// later ones. From the second failure on, an idempotent request without a delivered frame is
    /// also attempted at another endpoint, if no other attempt is open.
    pub(super) fn recovery_failed(
        &mut self,
        transition: &mut Transition<'_>,
        number: AttemptNumber,
        resume: bool,
    ) {
        let Some(attempt) = self.attempt(number) else {
            return;
        };
        attempt.recovery_failures += 1;
        if attempt.recovery_failures == 1 {
            return self.contact_sidecar(transition, number, resume);
        }
        let at_ms = transition.now_ms + self.options.recovery_retry_ms;
        self.set_state(number, State::AwaitingRecovery { at_ms, resume });
        let open = self.attempts.iter().filter(|attempt| attempt.is_open());
        let is_only_attempt = open.count() == 1;
        if self.may_run_twice() && self.winner.is_none() && is_only_attempt {
            self.try_new_attempt(transition, RetryReason::Path);
        }
    }

    pub(super) fn withdrawn(
        &mut self,
        transition: &mut Transition<'_>,
        number: AttemptNumber,
        state: WithdrawState,
    ) {
        if self.open_state(number) != Some(State::Withdrawing) {
            return;
        }
        let ran = self.attempt(number).is_some_and(|attempt| attempt.ran);
        match state {
            WithdrawState::NeverStarted if !ran => {
                self.set_state(number, State::NotRun);
                let refusal = Refusal::new(RefusalReason::NoEndpoint, "path to endpoint lost");
                self.refusal = Some(refusal);
                self.retry_or_settle(transition, RetryReason::Path);
            }
            WithdrawState::Running | WithdrawState::Finished => {
                let recovery_failures = self
                    .attempt(number)
                    .map_or(0, |attempt| attempt.recovery_failures);
                if recovery_failures == 0 {
                    self.contact_sidecar(transition, number, true);
                } else {
                    self.recovery_failed(transition, number, true);
                }
            }
            _ => {
                self.set_state(number, State::MayHaveRun);
                self.retry_or_settle(transition, RetryReason::Path);
            }
        }
    }
}
