//! What the sidecar answers to each message. Runs on transport threads and never blocks.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use mgs_schema::key::RequestId;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Accepted;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::Hello;
use mgs_schema::wire::Pong;
use mgs_schema::wire::Quote;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::Resume;
use mgs_schema::wire::Welcome;
use mgs_schema::wire::Withdraw;
use mgs_schema::wire::WithdrawReply;
use mgs_schema::wire::WithdrawState;
use mgs_transport::server::Handler;
use mgs_transport::server::Incoming;
use mgs_transport::server::Reply;

use crate::answer::Answer;
use crate::state::stream_name;
use crate::state::Endpoint;
use crate::state::Entry;
use crate::state::Shared;
use crate::stream;

/// The sidecar as the transport sees it.
pub(crate) struct Door {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for Door {
    fn handle(&self, incoming: Incoming) {
        let Incoming { body, reply, .. } = incoming;
        match body {
            Body::Hello(hello) => self.hello(&hello, reply),
            Body::Dispatch(dispatch) => self.dispatch(dispatch, reply),
            Body::Withdraw(withdraw) => self.withdraw(&withdraw, &reply),
            Body::Resume(resume) => self.resume(&resume, reply),
            Body::Cancel(cancel) => self.cancel(cancel.request_id(), &reply),
            Body::Probe(_) => answer(&reply, Body::Quote(self.quote())),
            Body::Ping(ping) => answer(&reply, Body::Pong(Pong { nonce: ping.nonce })),
            other => log::warn!(message:? = other; "message that a sidecar doesn't serve"),
        }
    }
}

/// A caller that has gone needs no answer.
fn answer(reply: &Reply, body: Body) {
    if reply.send(body).is_err() {
        log::debug!("the caller has gone");
    }
}

impl Door {
    fn hello(&self, hello: &Hello, reply: Reply) {
        let shared = &self.shared;
        let welcome = Welcome {
            incarnation: shared.incarnation,
            process: shared.options.name.clone(),
            settings_version: shared.settings_version.load(Ordering::Acquire),
            zone: shared.options.zone.clone(),
        };
        answer(&reply, Body::Welcome(welcome));
        shared.reporter.subscribe(reply, hello.report_interval_ms);
    }

    fn dispatch(&self, dispatch: Dispatch, reply: Reply) {
        let shared = &self.shared;
        if let Some(reason) = self.refusal(&dispatch) {
            return answer(&reply, stream::refused(reason, String::new()));
        }
        let kept = Arc::new(Answer::new());
        kept.attach(reply, 0);
        kept.tell(Body::Accepted(Accepted { first_token_ms: 0 }));
        let entry = Entry {
            answer: kept.clone(),
            prompt_tokens: dispatch.prompt_tokens,
        };
        shared.entries().insert(dispatch.request_id(), entry);
        let shared = shared.clone();
        std::thread::spawn(move || stream::run(&shared, &dispatch, &kept));
    }

    fn refusal(&self, dispatch: &Dispatch) -> Option<RefusalReason> {
        if dispatch.sidecar_incarnation != self.shared.incarnation {
            return Some(RefusalReason::StaleIncarnation);
        }
        if self.shared.is_leaving() {
            return Some(RefusalReason::Leaving);
        }
        if self.shared.entries().contains_key(&dispatch.request_id()) {
            return Some(RefusalReason::Duplicate);
        }
        None
    }

    fn withdraw(&self, withdraw: &Withdraw, reply: &Reply) {
        let entries = self.shared.entries();
        let state = match entries.get(&withdraw.request_id()) {
            Some(entry) if entry.answer.is_ended() => WithdrawState::Finished,
            Some(_) => WithdrawState::Running,
            None => WithdrawState::CannotTell,
        };
        let state = state.into();
        answer(reply, Body::WithdrawReply(WithdrawReply { state }));
    }

    fn resume(&self, resume: &Resume, reply: Reply) {
        let known = self.shared.entries();
        let known = known.get(&resume.request_id()).map(|e| e.answer.clone());
        match known {
            Some(kept) => kept.attach(reply, resume.next_seq),
            None => answer(
                &reply,
                stream::refused(RefusalReason::BadRequest, "unknown request".to_string()),
            ),
        }
    }

    fn cancel(&self, id: RequestId, reply: &Reply) {
        let shared = self.shared.clone();
        let ended = match shared.entries().get(&id) {
            Some(entry) => entry.answer.is_ended(),
            None => true,
        };
        let state = match ended {
            true => WithdrawState::Finished,
            false => WithdrawState::Running,
        };
        let state = state.into();
        answer(reply, Body::WithdrawReply(WithdrawReply { state }));
        let stream = stream_name(&Dispatch {
            request_origin: id.origin,
            request_serial: id.serial,
            attempt: 1,
            ..Dispatch::default()
        });
        std::thread::spawn(move || {
            if let Endpoint::Engine(engine) = &shared.endpoint {
                if let Err(error) = engine.cancel(&stream) {
                    log::debug!(error:% = error; "cancel failed");
                }
            }
        });
    }

    fn quote(&self) -> Quote {
        Quote {
            would_accept: !self.shared.is_leaving(),
            ..Quote::default()
        }
    }
}
