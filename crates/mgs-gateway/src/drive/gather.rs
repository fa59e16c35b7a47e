//! A request whose prompt exceeds one engine's memory: its span, from the plan to the first token.

use mgs_request::event::AttemptNumber;
use mgs_request::event::Event;
use mgs_request::outcome::Refusal;
use mgs_routing::policy::Choice;
use mgs_routing::span;
use mgs_schema::wire::KvPart;
use mgs_schema::wire::RefusalReason;

use super::Drive;
use super::Sink;
use crate::span::News;
use crate::span::Span;

/// Plans that one request may make beyond its first.
const REPLANS_MAX: u32 = 8;

/// The span of the present attempt.
pub(super) struct Gather {
    attempt: AttemptNumber,
    pub(super) span: Span,
}

/// What a dispatch at a span's home has beside the request.
#[derive(Debug, Default)]
pub(super) struct Carried {
    /// Identifier of the reservation; 0 without a span.
    pub(super) span: u64,
    pub(super) kv: Vec<KvPart>,
}

impl<S: Sink> Drive<'_, S> {
    /// Plans a span and begins to reserve memory. A prompt for which there is no room now waits
    /// with nothing held.
    pub(super) fn gather(&mut self, number: AttemptNumber) -> Event {
        let core = self.core;
        let ask = self
            .job
            .ask(&core.options.zone, &self.excluded, core.now_ms());
        let plan = match span::plan(&core.view(), &ask, &core.options.spans) {
            Ok(plan) => plan,
            Err(no_choice) => return self.no_endpoint(number, no_choice),
        };
        let span = Span::begin(core, self.job, &self.body, &plan);
        log::info!(request_id:% = self.job.id, span = span.id(), parts = plan.len(); "span begun");
        self.gather = Some(Gather {
            attempt: number,
            span,
        });
        Event::ReservingMemory { attempt: number }
    }

    /// Takes what has come for the span; returns whether there was anything for the request.
    pub(super) fn poll_gather(&mut self) -> bool {
        let Some(gather) = &mut self.gather else {
            return false;
        };
        let number = gather.attempt;
        let Some(news) = gather.span.poll() else {
            return false;
        };
        match news {
            News::Dispatch if self.life.wants_dispatch(number) => self.dispatch_home(number),
            News::Dispatch => self.free_span(),
            News::Replan(endpoint) => {
                self.excluded.push(endpoint);
                self.replans += 1;
                let detail = "an endpoint didn't hold its part of the prompt";
                let refusal = Refusal::new(RefusalReason::NoEndpoint, detail);
                let busy = self.replans <= REPLANS_MAX;
                self.give_up_span(number, refusal, busy);
            }
            News::Refuse(reason) => self.give_up_span(number, Refusal::new(reason, ""), false),
        }
        true
    }

    fn give_up_span(&mut self, number: AttemptNumber, refusal: Refusal, busy: bool) {
        self.free_span();
        self.events.push_back(Event::NoEndpoint {
            attempt: number,
            refusal,
            busy,
        });
    }

    /// All parts are exported: the request goes to the home.
    fn dispatch_home(&mut self, number: AttemptNumber) {
        let Some(Gather { span, .. }) = &self.gather else {
            return;
        };
        let Some(home) = span.home() else {
            return;
        };
        let carried = Carried {
            span: span.id(),
            kv: span.exported(),
        };
        let choice = Choice {
            endpoint: home,
            second: None,
            // A second span beside the first would only take memory: it is never hedged.
            first_token_ms: u64::MAX,
            cached_tokens: 0,
        };
        self.events
            .push_back(Event::MemoryReserved { attempt: number });
        let event = self.send(number, &choice, carried);
        self.events.push_back(event);
    }

    /// The span isn't needed any more.
    pub(super) fn free_span(&mut self) {
        if let Some(gather) = self.gather.take() {
            self.core.spans.free(gather.span);
        }
    }
}
