//! What sidecars say: acceptance, refusal, frames and ends.

use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::RetryReason;
use mgs_schema::wire::TokenFrame;

use super::Life;
use super::Step;
use crate::attempt::State;
use crate::event::Action;
use crate::event::AttemptNumber;
use crate::outcome::End;
use crate::outcome::Refusal;
use crate::plant::Plant;

impl Life {
    pub(super) fn sent(&mut self, step: &mut Step<'_>, number: AttemptNumber, first_token_ms: u64) {
        let patience_ms = (first_token_ms.saturating_mul(self.options.hedge_factor))
            .max(first_token_ms.saturating_add(self.options.hedge_slack_ms));
        let hedge = self.options.hedge && self.options.idempotent;
        let at_ms = step.now_ms.saturating_add(patience_ms);
        if let Some(attempt) = self.attempt(number) {
            attempt.hedge_at_ms = hedge.then_some(at_ms);
        }
    }

    /// Makes a second attempt beside one whose first token is late.
    pub(super) fn hedge(&mut self, step: &mut Step<'_>, number: AttemptNumber) {
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

    pub(super) fn no_endpoint(
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

    pub(super) fn accepted(&mut self, number: AttemptNumber) {
        let Some(attempt) = self.attempt(number) else {
            return;
        };
        if matches!(attempt.state, State::Dispatched | State::Resuming) {
            attempt.state = State::Running;
        }
    }

    pub(super) fn refused(&mut self, step: &mut Step<'_>, number: AttemptNumber, refusal: Refusal) {
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
            Some(State::Resuming) => self.resume_refused(step, number),
            _ => {}
        }
    }

    /// A sidecar that was started again finds its streams after a while. A refused resume isn't a
    /// proof; in the end a withdraw gives one, or says that there is none.
    fn resume_refused(&mut self, step: &mut Step<'_>, number: AttemptNumber) {
        let resumes_max = self.options.resumes_max;
        let Some(attempt) = self.attempt(number) else {
            return;
        };
        attempt.resumes_refused += 1;
        if attempt.resumes_refused > resumes_max {
            self.ask(step, number, false);
        } else {
            self.asked_in_vain(step, number, true);
        }
    }

    pub(super) fn frame(&mut self, step: &mut Step<'_>, number: AttemptNumber, frame: TokenFrame) {
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

    pub(super) fn progressed(&mut self, number: AttemptNumber) {
        if let Some(attempt) = self.attempt(number) {
            attempt.asked = 0;
            attempt.resumes_refused = 0;
        }
    }

    /// Whether the answer of this attempt goes to the caller; the first to have one wins.
    pub(super) fn wins(&mut self, step: &mut Step<'_>, number: AttemptNumber) -> bool {
        if self.winner.is_none() {
            self.winner = Some(number);
            self.cancel_others(step, number);
        }
        self.winner == Some(number)
    }

    pub(super) fn cancel_others(&mut self, step: &mut Step<'_>, winner: AttemptNumber) {
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

    pub(super) fn finished(
        &mut self,
        step: &mut Step<'_>,
        number: AttemptNumber,
        finished: Finished,
    ) {
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
    pub(super) fn check_whole(&mut self, step: &mut Step<'_>, number: AttemptNumber) {
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
}
