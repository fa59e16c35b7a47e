//! What comes from sidecars, and what it means for a request's life.

use std::time::Duration;

use crossbeam::channel::Select;
use crossbeam::channel::TryRecvError;
use mgs_request::event::AttemptNumber;
use mgs_request::event::Event;
use mgs_request::outcome::End;
use mgs_request::outcome::Refusal;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::WithdrawState;
use mgs_transport::client::Error;

use super::Drive;
use super::Sink;

/// Longest wait without a look at the caller, in milliseconds.
const IDLE_MS: u64 = 5_000;

/// Time between two looks at the caller of a span, in milliseconds.
const SPAN_LOOK_MS: u64 = 1_000;

impl<S: Sink> Drive<'_, S> {
    /// Waits for the next message, lost session or tick.
    pub(super) fn wait(&mut self) {
        if self.poll() || self.poll_gather() {
            return;
        }
        let now_ms = self.core.now_ms();
        let span_wake_ms = self.gather.as_ref().map_or(u64::MAX, |g| g.span.wake_ms());
        let wake_ms = self.life.wake_ms().min(span_wake_ms);
        let idle_ms = match self.gather {
            Some(_) => SPAN_LOOK_MS,
            None => IDLE_MS,
        };
        let wake_ms = wake_ms.saturating_sub(now_ms).clamp(1, idle_ms);
        let mut select = Select::new();
        for attempt in &self.attempts {
            if let (Some(call), Some(session)) = (&attempt.call, &attempt.session) {
                select.recv(call.receiver());
                select.recv(&session.over);
            }
        }
        if let Some(gather) = &self.gather {
            gather.span.select(&mut select);
        }
        if select.ready_timeout(Duration::from_millis(wake_ms)).is_ok() {
            return;
        }
        let idle = wake_ms == IDLE_MS || self.span_look_due();
        if idle && self.sink.idle().is_err() {
            self.events.push_back(Event::CallerGone);
        }
        self.events.push_back(Event::Tick);
    }

    /// A span that waits often isn't idle, but its caller may have gone.
    fn span_look_due(&mut self) -> bool {
        let now_ms = self.core.now_ms();
        let due = self.gather.is_some() && now_ms >= self.looked_ms + SPAN_LOOK_MS;
        if due {
            self.looked_ms = now_ms;
        }
        due
    }

    /// Takes what has come; returns whether there was anything.
    fn poll(&mut self) -> bool {
        for index in 0..self.attempts.len() {
            let attempt = &mut self.attempts[index];
            let (Some(call), Some(session)) = (&attempt.call, &attempt.session) else {
                continue;
            };
            let message = match call.receiver().try_recv() {
                Ok(message) => message,
                Err(TryRecvError::Disconnected) => Err(Error::Ended),
                Err(TryRecvError::Empty) if session.is_over() => Err(Error::Silent),
                Err(TryRecvError::Empty) => continue,
            };
            if let Some(event) = self.event(index, message) {
                self.events.push_back(event);
                return true;
            }
        }
        false
    }

    /// What a message means for the request's life.
    fn event(&mut self, index: usize, message: Result<Body, Error>) -> Option<Event> {
        let number = index as AttemptNumber + 1;
        let event = match message {
            Ok(Body::Accepted(_)) => Event::Accepted { attempt: number },
            Ok(Body::TokenFrame(frame)) => {
                self.first_token(index);
                Event::Frame {
                    attempt: number,
                    frame,
                }
            }
            Ok(Body::Refused(refused)) => {
                self.attempts[index].call = None;
                let refusal = Refusal {
                    reason: refused.reason(),
                    retry_after_ms: refused.retry_after_ms,
                    detail: refused.detail,
                };
                self.refused(index, refusal.reason);
                Event::Refused {
                    attempt: number,
                    refusal,
                }
            }
            Ok(Body::Finished(finished)) => {
                self.attempts[index].call = None;
                self.attempt_ended(index, finished.outcome());
                Event::Finished {
                    attempt: number,
                    finished,
                }
            }
            Ok(Body::WithdrawReply(reply)) => {
                let state = reply.state();
                self.attempts[index].call = None;
                if state == WithdrawState::NeverStarted && self.is_first_at_its_endpoint(index) {
                    // Its path was at fault, and a new one has just been used. Allowed each time, an endpoint that
                    // seems the better one takes all attempts within 25 ms.
                    self.allow_again(index);
                }
                Event::Withdrawn {
                    attempt: number,
                    state,
                }
            }
            Ok(other) => {
                log::warn!(message:? = other; "message that a gateway doesn't expect");
                return None;
            }
            Err(error) => {
                self.attempts[index].call = None;
                log::info!(request_id:% = self.job.id, error:% = error; "path lost");
                Event::ConnectionLost { attempt: number }
            }
        };
        Some(event)
    }

    fn first_token(&mut self, index: usize) {
        let (core, job) = (self.core, self.job);
        let attempt = &mut self.attempts[index];
        if std::mem::replace(&mut attempt.first_seen, true) {
            return;
        }
        let now_ms = core.now_ms();
        if attempt.counted {
            let ask = job.ask(&core.options.zone, &[], now_ms);
            let took_ms = now_ms.saturating_sub(attempt.sent_ms);
            core.policy
                .first_token(attempt.endpoint, &ask, attempt.predicted_ms, took_ms);
        }
        core.metrics
            .first_token(job.prompt_tokens, now_ms.saturating_sub(job.arrived_ms));
        // The home has imported the parts.
        self.free_span();
    }

    /// A sidecar that was started again, or that has a newer session, may be asked again.
    fn refused(&mut self, index: usize, reason: RefusalReason) {
        if matches!(
            reason,
            RefusalReason::StaleIncarnation | RefusalReason::StaleSession
        ) {
            self.allow_again(index);
        }
        self.attempt_ended(index, Outcome::Refused);
    }

    /// Whether no earlier attempt was made at an attempt's endpoint.
    fn is_first_at_its_endpoint(&self, index: usize) -> bool {
        let endpoint = self.attempts[index].endpoint;
        let mut earlier = self.attempts[..index].iter();
        earlier.all(|attempt| attempt.endpoint != endpoint)
    }

    /// Lets an attempt's endpoint be chosen again.
    fn allow_again(&mut self, index: usize) {
        let endpoint = self.attempts[index].endpoint;
        self.excluded.retain(|excluded| *excluded != endpoint);
    }

    /// Tells the policy, once, how an attempt ended.
    fn attempt_ended(&mut self, index: usize, outcome: Outcome) {
        let core = self.core;
        let attempt = &mut self.attempts[index];
        if std::mem::replace(&mut attempt.counted, false) {
            let ask = self.job.ask(&core.options.zone, &[], core.now_ms());
            core.policy.finished(attempt.endpoint, &ask, outcome);
        }
    }

    /// Tells the policy of the attempts that have no end of their own.
    pub(super) fn tell_policy(&mut self, end: &End) {
        let lost = match end {
            End::Failed(reason, _) | End::Unknown(reason, _) => *reason == FailureReason::Path,
            End::Answered(_) | End::Refused(_) => false,
        };
        let outcome = match lost {
            true => Outcome::Failed,
            false => Outcome::Unspecified,
        };
        for index in 0..self.attempts.len() {
            self.attempt_ended(index, outcome);
        }
    }
}
