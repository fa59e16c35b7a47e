//! What goes to sidecars: dispatches, withdraws, resumes and cancels.

use mgs_durable::entry::Target;
use mgs_durable::executor::Permit;
use mgs_fleet::view::EndpointKey;
use mgs_request::event::AttemptNumber;
use mgs_request::event::Event;
use mgs_request::outcome::Refusal;
use mgs_routing::policy::Choice;
use mgs_routing::policy::RoutingError;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Cancel;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::Resume;
use mgs_schema::wire::RetryReason;
use mgs_schema::wire::Withdraw;
use mgs_transport::client::Call;

use super::attempt::Attempt;
use super::gather::Carried;
use super::Drive;
use super::Sink;
use crate::session::Session;

/// How long an admitted request waits for a session when no endpoint can be chosen, in
/// milliseconds.
const SESSION_PATIENCE_MS: u64 = 1_500;

/// Time that a tombstone outlives the request's deadline, in milliseconds.
const TOMBSTONE_SLACK_MS: u64 = 60_000;

impl<S: Sink> Drive<'_, S> {
    pub(super) fn dispatch(&mut self, number: AttemptNumber, retry: Option<RetryReason>) {
        if let Some(reason) = retry {
            self.core.metrics.retried(reason);
            log::info!(request_id:% = self.job.id, reason:? = reason; "attempt made again");
        }
        // A span of an earlier attempt isn't waited for.
        self.free_span();
        let event = match self.choose() {
            Ok(choice) => self.send(number, &choice, Carried::default()),
            Err(RoutingError::PromptExceedsMemory) => self.gather(number),
            Err(no_choice) => self.no_endpoint(number, no_choice),
        };
        self.events.push_back(event);
    }

    /// What it means that there is no choice. A request that was admitted waits a while for sessions
    /// that are being opened again.
    pub(super) fn no_endpoint(&mut self, number: AttemptNumber, no_choice: RoutingError) -> Event {
        let now_ms = self.core.now_ms();
        let since_ms = *self.no_endpoint_since_ms.get_or_insert(now_ms);
        let busy = match no_choice {
            RoutingError::AllBusy => true,
            RoutingError::NoEndpoint => {
                now_ms < since_ms + SESSION_PATIENCE_MS && self.has_untried_endpoint()
            }
            RoutingError::UnknownModel | RoutingError::PromptExceedsMemory => false,
        };
        let reason = match no_choice {
            RoutingError::UnknownModel => RefusalReason::UnknownModel,
            RoutingError::NoEndpoint => RefusalReason::NoEndpoint,
            RoutingError::PromptExceedsMemory => RefusalReason::PromptExceedsMemory,
            RoutingError::AllBusy => RefusalReason::Busy,
        };
        Event::NoEndpoint {
            attempt: number,
            refusal: Refusal::new(reason, &no_choice.to_string()),
            busy,
        }
    }

    /// Whether there is an endpoint that hasn't been tried, even if it can't be reached now. Those
    /// that refused the request aren't waited for.
    fn has_untried_endpoint(&self) -> bool {
        let view = self.core.view();
        let mut declared = view.by_model.get(&self.job.model).into_iter().flatten();
        declared.any(|endpoint| !self.excluded.contains(endpoint))
    }

    /// The choice made in the queue for the first attempt, and fresh ones from then on.
    fn choose(&mut self) -> Result<Choice, RoutingError> {
        if let Some(choice) = self.choice.take() {
            return Ok(choice);
        }
        let core = self.core;
        let ask = self
            .job
            .ask(&core.options.zone, &self.excluded, core.now_ms());
        let choice = core.policy.choose(&core.view(), &ask, rand::random())?;
        core.policy.dispatched(choice.endpoint, &ask);
        Ok(choice)
    }

    pub(super) fn send(
        &mut self,
        number: AttemptNumber,
        choice: &Choice,
        carried: Carried,
    ) -> Event {
        let core = self.core;
        let endpoint = choice.endpoint;
        self.excluded.push(endpoint);
        let slot = core.sessions.slot(endpoint);
        let session = slot.as_ref().and_then(|slot| slot.session());
        let now_ms = core.now_ms();
        let mut attempt = Attempt {
            endpoint,
            slot,
            call: None,
            incarnation: session.as_ref().map_or(0, |session| session.incarnation),
            session,
            predicted_ms: choice.first_token_ms,
            sent_ms: now_ms,
            // The policy chose no endpoint of a span.
            counted: carried.span == 0,
            first_seen: false,
        };
        let refusal = attempt.session.as_ref().and_then(|session| {
            let permit = self.permit(endpoint, session.incarnation);
            self.lost |= permit == Permit::Lost;
            refusal_of(permit)
        });
        if let Some(refusal) = refusal {
            self.put(number, attempt);
            return Event::NoEndpoint {
                attempt: number,
                refusal,
                busy: false,
            };
        }
        if let Some(session) = &attempt.session {
            let mut dispatch = self.job.dispatch(self.body.clone(), core.now_ms());
            let ask = self.job.ask(&core.options.zone, &[], core.now_ms());
            dispatch.priority = core.policy.engine_priority(&ask);
            dispatch.attempt = number;
            dispatch.sidecar_incarnation = session.incarnation;
            dispatch.session = session.number;
            dispatch.gateway_incarnation = core.incarnation;
            dispatch.span = carried.span;
            dispatch.kv = carried.kv;
            attempt.call = call(session, Body::Dispatch(dispatch));
        }
        let sent = attempt.call.is_some();
        self.put(number, attempt);
        match sent {
            true => Event::Sent {
                attempt: number,
                first_token_ms: choice.first_token_ms,
            },
            false => Event::NotSent { attempt: number },
        }
    }

    /// Asks whether the dispatch may go, and so writes down where it goes.
    fn permit(&self, endpoint: EndpointKey, sidecar_incarnation: u64) -> Permit {
        let Some(permits) = self.permits else {
            return Permit::Go;
        };
        let view = self.core.view();
        let name = view.get(endpoint).map(|endpoint| endpoint.name.clone());
        permits.before_dispatch(&Target {
            endpoint: name.unwrap_or_default(),
            sidecar_incarnation,
            request_origin: self.job.id.origin,
            request_serial: self.job.id.serial,
        })
    }

    /// Keeps an attempt under its number. One that found all endpoints busy was never kept.
    pub(super) fn put(&mut self, number: AttemptNumber, attempt: Attempt) {
        let index = number as usize - 1;
        while self.attempts.len() < index {
            self.attempts.push(Attempt {
                endpoint: attempt.endpoint,
                slot: None,
                call: None,
                session: None,
                incarnation: 0,
                predicted_ms: 0,
                sent_ms: 0,
                counted: false,
                first_seen: false,
            });
        }
        match self.attempts.get_mut(index) {
            Some(kept) => *kept = attempt,
            None => self.attempts.push(attempt),
        }
    }

    pub(super) fn withdraw(&mut self, number: AttemptNumber) {
        let left_ms = self.job.deadline_ms.saturating_sub(self.core.now_ms());
        let (origin, serial) = (self.job.id.origin, self.job.id.serial);
        self.ask(number, |attempt, _| {
            Body::Withdraw(Withdraw {
                request_origin: origin,
                request_serial: serial,
                sidecar_incarnation: attempt.incarnation,
                tombstone_ms: left_ms + TOMBSTONE_SLACK_MS,
                attempt: number,
            })
        });
    }

    pub(super) fn resume(&mut self, number: AttemptNumber, next_seq: u64) {
        self.core.metrics.resumes.inc();
        let (origin, serial) = (self.job.id.origin, self.job.id.serial);
        let gateway_incarnation = self.core.incarnation;
        let budget_ms = self.job.sidecar_budget_ms(self.core.now_ms());
        self.ask(number, |_, session| {
            Body::Resume(Resume {
                request_origin: origin,
                request_serial: serial,
                next_seq,
                session: session.number,
                gateway_incarnation,
                budget_ms,
            })
        });
    }

    /// Asks an attempt's sidecar over the present session with it.
    fn ask(&mut self, number: AttemptNumber, body: impl FnOnce(&Attempt, &Session) -> Body) {
        let asked = self.attempts.get_mut(number as usize - 1);
        let sent = asked.is_some_and(|attempt| {
            attempt.call = None;
            attempt.session = attempt.slot.as_ref().and_then(|slot| slot.session());
            if let Some(session) = &attempt.session {
                attempt.call = call(session, body(attempt, session));
            }
            attempt.call.is_some()
        });
        if !sent {
            self.events.push_back(Event::NotSent { attempt: number });
        }
    }

    /// Has an attempt ended. Without a session, the sidecar ends it when its lease runs out.
    pub(super) fn cancel(&mut self, number: AttemptNumber) {
        let Some(attempt) = self.attempts.get_mut(number as usize - 1) else {
            return;
        };
        attempt.call = None;
        let cancel = Cancel {
            request_origin: self.job.id.origin,
            request_serial: self.job.id.serial,
        };
        let session = attempt.slot.as_ref().and_then(|slot| slot.session());
        if let Some(call) = session.and_then(|session| call(&session, Body::Cancel(cancel))) {
            self.core.parting.keep(call);
        }
    }
}

fn refusal_of(permit: Permit) -> Option<Refusal> {
    let (reason, detail) = match permit {
        Permit::Go => return None,
        Permit::StoreUnavailable => (
            RefusalReason::StoreUnavailable,
            "the store can't be written",
        ),
        Permit::Lost => (
            RefusalReason::KeyConflict,
            "another gateway has the request",
        ),
        Permit::Cancelled => (RefusalReason::Cancelled, ""),
    };
    Some(Refusal::new(reason, detail))
}

/// Sends a message; `None` if the connection is known to be gone.
fn call(session: &Session, body: Body) -> Option<Call> {
    if !session.connection.is_open() {
        return None;
    }
    match session.connection.call(body) {
        Ok(call) => Some(call),
        Err(error) => {
            log::error!(error:% = error; "message can't be sent");
            None
        }
    }
}
