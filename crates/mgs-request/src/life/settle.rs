//! Attempts made again, and the one outcome.

use mgs_schema::wire::FailureReason;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::RetryReason;

use super::Life;
use super::Step;
use crate::attempt::Attempt;
use crate::attempt::State;
use crate::event::Action;
use crate::event::AttemptNumber;
use crate::outcome::End;
use crate::outcome::Refusal;
use crate::plant::Plant;

impl Life {
    /// Attempts the request again where that is allowed, and settles it where it isn't.
    pub(super) fn retry(&mut self, step: &mut Step<'_>, reason: RetryReason) {
        let open = self.attempts.iter().any(Attempt::is_open);
        if open || !self.again(step, reason) {
            self.settle(step);
        }
    }

    pub(super) fn may_run_twice(&self) -> bool {
        self.options.idempotent || self.options.plant == Plant::RetryAfterUnknown
    }

    /// Makes one more attempt if the rules, the count and the budget allow it.
    pub(super) fn again(&mut self, step: &mut Step<'_>, reason: RetryReason) -> bool {
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
    pub(super) fn settle(&mut self, step: &mut Step<'_>) {
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
    pub(super) fn failure(&self) -> Option<FailureReason> {
        let failure = |attempt: &Attempt| match attempt.state {
            State::Failed(reason) => Some(reason),
            _ => None,
        };
        self.attempts.iter().rev().find_map(failure)
    }

    /// Ends the request now, with what is known of its attempts.
    pub(super) fn give_up(
        &mut self,
        step: &mut Step<'_>,
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
        self.finish(step, end);
    }

    pub(super) fn finish(&mut self, step: &mut Step<'_>, end: End) {
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
