//! Retries and the outcome.

use mgs_schema::wire::FailureReason;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::RetryReason;

use super::RequestLifecycle;
use super::Transition;
use crate::attempt::Attempt;
use crate::attempt::State;
use crate::event::Action;
use crate::event::AttemptNumber;
use crate::injected_bug::InjectedBug;
use crate::outcome::End;
use crate::outcome::Refusal;

impl RequestLifecycle {
    /// Makes another attempt if that is allowed, and otherwise settles the request.
    pub(super) fn retry_or_settle(&mut self, transition: &mut Transition<'_>, reason: RetryReason) {
        let open = self.attempts.iter().any(Attempt::is_open);
        if open || !self.try_new_attempt(transition, reason) {
            self.settle(transition);
        }
    }

    pub(super) fn may_run_twice(&self) -> bool {
        self.options.idempotent || self.options.injected_bug == InjectedBug::RetryAfterUnknown
    }

    /// Makes another attempt if idempotency, the attempt limit, the deadline and the retry budget
    /// allow it; returns whether it did.
    pub(super) fn try_new_attempt(
        &mut self,
        transition: &mut Transition<'_>,
        reason: RetryReason,
    ) -> bool {
        let may_have_run = self.attempts.iter().any(Attempt::may_run);
        let forbidden = self.winner.is_some() || (may_have_run && !self.may_run_twice());
        if forbidden
            || self.attempts.len() >= self.options.attempts_max
            || transition.now_ms >= self.options.deadline_ms
            || !transition.budget.try_spend()
        {
            return false;
        }
        self.attempts.push(Attempt::new());
        transition.push_action(Action::Dispatch {
            attempt: self.attempts.len() as AttemptNumber,
            retry: Some(reason),
        });
        true
    }

    /// Ends the request if no open attempt can still provide its response.
    pub(super) fn settle(&mut self, transition: &mut Transition<'_>) {
        let winner_open = self
            .winner
            .is_some_and(|winner| self.open_state(winner).is_some());
        let open = self.attempts.iter().any(Attempt::is_open);
        if winner_open || (self.winner.is_none() && open) {
            return;
        }
        let failure = self.last_failure().unwrap_or(FailureReason::Path);
        self.end_without_response(transition, failure, RefusalReason::NoEndpoint);
    }

    /// The reason of the last failed attempt.
    pub(super) fn last_failure(&self) -> Option<FailureReason> {
        let failure = |attempt: &Attempt| match attempt.state {
            State::Failed(reason) => Some(reason),
            _ => None,
        };
        self.attempts.iter().rev().find_map(failure)
    }

    /// Ends the request without a complete response; the outcome follows from the state of its
    /// attempts.
    pub(super) fn end_without_response(
        &mut self,
        transition: &mut Transition<'_>,
        failure: FailureReason,
        refusal: RefusalReason,
    ) {
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
        self.finish(transition, end);
    }

    pub(super) fn finish(&mut self, transition: &mut Transition<'_>, end: End) {
        self.ended = true;
        let answered = matches!(end, End::Answered(_));
        transition.push_action(Action::Finish(end));
        for number in 1..=self.attempts.len() as AttemptNumber {
            let done = answered && self.winner == Some(number);
            let attempt = &self.attempts[number as usize - 1];
            if attempt.is_open() && attempt.may_run() && !done {
                transition.push_action(Action::Cancel { attempt: number });
            }
        }
    }
}
