//! Handling of sidecar replies: acceptance, refusal, frames and ends; hedging.

use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Finished;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::RetryReason;
use mgs_schema::wire::TokenFrame;

use super::RequestLifecycle;
use super::Transition;
use crate::attempt::State;
use crate::event::Action;
use crate::event::AttemptNumber;
use crate::injected_bug::InjectedBug;
use crate::outcome::End;
use crate::outcome::Refusal;

impl RequestLifecycle {
    pub(super) fn sent(
        &mut self,
        transition: &mut Transition<'_>,
        number: AttemptNumber,
        first_token_ms: u64,
    ) {
        let hedge_delay_ms = (first_token_ms.saturating_mul(self.options.hedge_factor))
            .max(first_token_ms.saturating_add(self.options.hedge_slack_ms));
        let hedge = self.options.hedge && self.options.idempotent;
        let at_ms = transition.now_ms.saturating_add(hedge_delay_ms);
        if let Some(attempt) = self.attempt(number) {
            attempt.hedge_at_ms = hedge.then_some(at_ms);
        }
    }

    /// Makes a hedged second attempt if the first token is late.
    pub(super) fn hedge_if_late(&mut self, transition: &mut Transition<'_>, number: AttemptNumber) {
        let now_ms = transition.now_ms;
        let Some(attempt) = self.attempt(number) else {
            return;
        };
        if attempt.hedge_at_ms.is_none_or(|at_ms| at_ms > now_ms) {
            return;
        }
        attempt.hedge_at_ms = None;
        let open = self.attempts.iter().filter(|attempt| attempt.is_open());
        if self.winner.is_none() && open.count() == 1 {
            self.try_new_attempt(transition, RetryReason::Hedge);
        }
    }

    pub(super) fn no_endpoint(
        &mut self,
        transition: &mut Transition<'_>,
        number: AttemptNumber,
        refusal: Refusal,
        busy: bool,
    ) {
        let others = self.attempts.iter().filter(|other| other.is_open()).count() > 1;
        if busy && !others {
            let at_ms = transition.now_ms + self.options.endpoint_retry_ms;
            self.set_state(number, State::AwaitingEndpoint { at_ms });
            return;
        }
        // An earlier refusal by a sidecar is more specific than the lack of a further endpoint.
        self.refusal.get_or_insert(refusal);
        self.set_state(number, State::NotRun);
        self.settle(transition);
    }

    pub(super) fn accepted(&mut self, number: AttemptNumber) {
        let Some(attempt) = self.attempt(number) else {
            return;
        };
        if matches!(attempt.state, State::Dispatched | State::Resuming) {
            attempt.state = State::Running;
        }
    }

    pub(super) fn refused(
        &mut self,
        transition: &mut Transition<'_>,
        number: AttemptNumber,
        refusal: Refusal,
    ) {
        let ran = self.attempt(number).is_some_and(|attempt| attempt.ran);
        match self.open_state(number) {
            // The sidecar knows the request, so the refusal does not concern the earlier dispatch.
            Some(State::Dispatched | State::Running)
                if ran || refusal.reason == RefusalReason::Duplicate =>
            {
                self.contact_sidecar(transition, number, true);
            }
            Some(State::Dispatched | State::Running) => {
                self.refusal = Some(refusal);
                self.set_state(number, State::NotRun);
                self.retry_or_settle(transition, RetryReason::Refused);
            }
            Some(State::Resuming) => self.resume_refused(transition, number),
            _ => {}
        }
    }

    /// Retries a refused resume, since a restarted sidecar needs some time to recover its streams.
    /// The refusal doesn't prove that the attempt didn't run, so after [`Options::resumes_max`]
    /// refusals a withdraw is sent, whose reply is either that proof or the lack of it.
    ///
    /// [`Options::resumes_max`]: super::Options::resumes_max
    fn resume_refused(&mut self, transition: &mut Transition<'_>, number: AttemptNumber) {
        let resumes_max = self.options.resumes_max;
        let Some(attempt) = self.attempt(number) else {
            return;
        };
        attempt.resumes_refused += 1;
        if attempt.resumes_refused > resumes_max {
            self.contact_sidecar(transition, number, false);
        } else {
            self.recovery_failed(transition, number, true);
        }
    }

    pub(super) fn frame(
        &mut self,
        transition: &mut Transition<'_>,
        number: AttemptNumber,
        frame: TokenFrame,
    ) {
        if self.open_state(number).is_none() {
            return;
        }
        if let Some(attempt) = self.attempt(number) {
            attempt.ran = true;
            attempt.state = State::Running;
        }
        if !self.claim_winner(transition, number) {
            return;
        }
        for frame in self.reorder_buffer.push(frame) {
            transition.push_action(Action::Deliver(frame));
            self.reset_recovery_counters(number);
        }
        if self.reorder_buffer.end().is_some() {
            self.check_complete(transition, number);
        }
    }

    pub(super) fn reset_recovery_counters(&mut self, number: AttemptNumber) {
        if let Some(attempt) = self.attempt(number) {
            attempt.recovery_failures = 0;
            attempt.resumes_refused = 0;
        }
    }

    /// Returns whether the response of this attempt is delivered to the caller. The first attempt
    /// with a response becomes the winner, and the others are cancelled.
    pub(super) fn claim_winner(
        &mut self,
        transition: &mut Transition<'_>,
        number: AttemptNumber,
    ) -> bool {
        if self.winner.is_none() {
            self.winner = Some(number);
            self.cancel_others(transition, number);
        }
        self.winner == Some(number)
    }

    pub(super) fn cancel_others(&mut self, transition: &mut Transition<'_>, winner: AttemptNumber) {
        for number in 1..=self.attempts.len() as AttemptNumber {
            let open = self.open_state(number);
            if number == winner || open.is_none() {
                continue;
            }
            if self.attempts[number as usize - 1].may_run() {
                transition.push_action(Action::Cancel { attempt: number });
                self.set_state(number, State::MayHaveRun);
            } else {
                self.set_state(number, State::NotRun);
            }
        }
    }

    pub(super) fn finished(
        &mut self,
        transition: &mut Transition<'_>,
        number: AttemptNumber,
        finished: Finished,
    ) {
        if self.open_state(number).is_none() {
            return;
        }
        match finished.outcome() {
            Outcome::Answered => {
                if self.claim_winner(transition, number) {
                    self.reorder_buffer.set_end(finished);
                    self.check_complete(transition, number);
                }
            }
            Outcome::Failed => {
                let reason = finished.failure();
                if let Some(attempt) = self.attempt(number) {
                    attempt.state = State::Failed(reason);
                    attempt.ran = true;
                }
                match reason {
                    FailureReason::Deadline | FailureReason::Cancelled => self.settle(transition),
                    _ => self.retry_or_settle(transition, RetryReason::Endpoint),
                }
            }
            _ => {
                self.set_state(number, State::MayHaveRun);
                self.retry_or_settle(transition, RetryReason::Endpoint);
            }
        }
    }

    /// Ends the request if its response is complete, or requests the missing frames.
    pub(super) fn check_complete(
        &mut self,
        transition: &mut Transition<'_>,
        number: AttemptNumber,
    ) {
        let complete = self.reorder_buffer.is_complete()
            || self.options.injected_bug == InjectedBug::TruncatedAnswer;
        match self.reorder_buffer.end() {
            Some(end) if complete => {
                let end = End::Answered(end.clone());
                self.finish(transition, end);
            }
            Some(_) if self.reorder_buffer.has_excess_frames() => {
                let detail = "more frames than announced".to_string();
                self.finish(transition, End::Failed(FailureReason::Incomplete, detail));
            }
            _ => self.recovery_failed(transition, number, true),
        }
    }
}
