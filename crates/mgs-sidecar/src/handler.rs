//! What the sidecar answers to each message. Runs on transport threads and never blocks.

use std::sync::Arc;
use std::sync::Mutex;

use mgs_ledger::job::Job;
use mgs_ledger::job::Sender;
use mgs_ledger::ledger::DispatchResult;
use mgs_ledger::ledger::ResumeResult;
use mgs_schema::key::RequestId;
use mgs_schema::prefix::BLOCK_TOKENS;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::Accepted;
use mgs_schema::wire::Dispatch;
use mgs_schema::wire::FailureReason;
use mgs_schema::wire::Hello;
use mgs_schema::wire::Order;
use mgs_schema::wire::OrderReply;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::Pong;
use mgs_schema::wire::Probe;
use mgs_schema::wire::Quote;
use mgs_schema::wire::RefusalReason;
use mgs_schema::wire::Resume;
use mgs_schema::wire::SettingsConfirm;
use mgs_schema::wire::SettingsReply;
use mgs_schema::wire::Welcome;
use mgs_schema::wire::Withdraw;
use mgs_schema::wire::WithdrawReply;
use mgs_schema::wire::WithdrawState;
use mgs_transport::server::Handler;
use mgs_transport::server::Incoming;
use mgs_transport::server::Reply;

use crate::answer::Answer;
use crate::span;
use crate::state::failed;
use crate::state::locked;
use crate::state::refused;
use crate::state::Shared;
use crate::state::Work;
use crate::stream;

/// The sidecar as the transport sees it.
pub(crate) struct CallHandler {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for CallHandler {
    fn handle(&self, incoming: Incoming) {
        let Incoming {
            body,
            reply,
            connection,
        } = incoming;
        match body {
            Body::Hello(hello) => self.hello(&hello, connection, reply),
            Body::Dispatch(dispatch) => self.dispatch(dispatch, connection, reply),
            Body::Withdraw(withdraw) => self.withdraw(&withdraw, &reply),
            Body::Resume(resume) => self.resume(&resume, connection, reply),
            Body::Cancel(cancel) => self.cancel(cancel.request_id(), &reply),
            Body::Probe(probe) => answer(&reply, Body::Quote(self.quote(&probe))),
            Body::Ping(ping) => answer(&reply, Body::Pong(Pong { nonce: ping.nonce })),
            Body::SpanReserve(span) => span::reserve(&self.shared, &span, &reply),
            Body::SpanRelease(span) => span::release(&self.shared, &span, &reply),
            Body::SpanExport(export) => span::export(&self.shared, export, reply),
            Body::Order(order) => self.order(order, reply),
            Body::SettingsReply(settings) => self.settings(settings, &reply),
            other => log::warn!(message:? = other; "message that a sidecar doesn't serve"),
        }
    }

    fn closed(&self, connection: u64) {
        self.shared
            .tell(|ledger, now_ms| ledger.connection_closed(now_ms, connection));
    }
}

/// A caller that has gone needs no answer.
pub(crate) fn answer(reply: &Reply, body: Body) {
    if reply.send(body).is_err() {
        log::debug!("the caller has gone");
    }
}

fn answer_state(reply: &Reply, state: WithdrawState) {
    let state = state.into();
    answer(reply, Body::WithdrawReply(WithdrawReply { state }));
}

/// The end of a request whose answer can't be read on.
fn dropped() -> Body {
    let detail = "the answer is no longer kept";
    failed(Outcome::Failed, FailureReason::Incomplete, detail)
}

impl CallHandler {
    fn hello(&self, hello: &Hello, connection: u64, reply: Reply) {
        let shared = &self.shared;
        let sender = Sender {
            gateway: hello.incarnation,
            session: hello.session,
            connection,
        };
        if !shared.tell(|ledger, _| ledger.message_received(&sender)) {
            log::debug!(gateway = hello.process; "a session that a newer one has closed");
            return;
        }
        let welcome = Welcome {
            incarnation: shared.incarnation,
            process: shared.options.name.clone(),
            settings_version: shared.settings.version(),
            zone: shared.options.zone.clone(),
        };
        answer(&reply, Body::Welcome(welcome));
        shared.reporter.subscribe(reply, hello.report_interval_ms);
    }

    fn dispatch(&self, dispatch: Dispatch, connection: u64, reply: Reply) {
        let job = self.job(&dispatch, connection);
        // The answer must know its reader before the request can start, and the reader must hear
        // of the acceptance before anything else.
        let reply = Mutex::new(Some(reply));
        let verdict = self.shared.tell_of_work(|ledger, now_ms| {
            let verdict = ledger.dispatch(now_ms, &job);
            let DispatchResult::Queued { first_token_ms } = verdict else {
                return (verdict, None);
            };
            let work = Work {
                id: job.id,
                attempt: job.attempt,
                model: dispatch.model.clone(),
                answer: Answer::new(),
                deadline_ms: now_ms.saturating_add(job.budget_ms),
                dispatch: Mutex::new(Some(dispatch)),
            };
            if let Some(reply) = locked(&reply).take() {
                let Ok(()) = work.answer.attach(reply, 0) else {
                    unreachable!("a new answer starts at frame 0");
                };
            }
            work.answer
                .tell(Body::Accepted(Accepted { first_token_ms }));
            (verdict, Some(Arc::new(work)))
        });
        let is_long = job.prefill_tokens() >= self.shared.options.ledger.long_prompt_tokens;
        if is_long && matches!(verdict, DispatchResult::Queued { .. }) {
            self.shared.reporter.hasten();
        }
        let reply = locked(&reply).take();
        if let (
            DispatchResult::Refused {
                reason,
                retry_after_ms,
            },
            Some(reply),
        ) = (verdict, reply)
        {
            self.shared.metrics.refused(reason);
            answer(&reply, refused(reason, retry_after_ms, ""));
        }
    }

    fn job(&self, dispatch: &Dispatch, connection: u64) -> Job {
        Job {
            id: dispatch.request_id(),
            attempt: dispatch.attempt,
            sender: Sender {
                gateway: dispatch.gateway_incarnation,
                session: dispatch.session,
                connection,
            },
            sidecar_incarnation: dispatch.sidecar_incarnation,
            organisation: self.shared.organisation(&dispatch.organisation),
            weight: dispatch.weight,
            priority: dispatch.priority,
            prompt_tokens: dispatch.prompt_tokens,
            cached_tokens: self.known_tokens(dispatch),
            max_tokens: dispatch.max_tokens,
            budget_ms: dispatch.budget_ms,
            orphan_ms: dispatch.orphan_ms,
            idempotent: dispatch.idempotent,
            span: dispatch.span,
            unloading: self.is_unloading(&dispatch.model),
        }
    }

    fn is_unloading(&self, model: &str) -> bool {
        let now_ms = self.shared.now_ms();
        self.shared.orders.is_unloading(now_ms, model)
    }

    /// Prompt tokens that the engine needn't process: imported or cached.
    fn known_tokens(&self, dispatch: &Dispatch) -> u64 {
        let imported: u64 = dispatch.kv.iter().map(|part| part.kv_tokens).sum();
        let cached = self.cached_tokens(&dispatch.prefix_hashes, dispatch.prompt_tokens);
        imported.max(cached).min(dispatch.prompt_tokens)
    }

    fn cached_tokens(&self, hashes: &[u64], prompt_tokens: u64) -> u64 {
        let blocks = locked(&self.shared.cache).cached_blocks(hashes);
        (blocks as u64 * BLOCK_TOKENS).min(prompt_tokens)
    }

    fn withdraw(&self, withdraw: &Withdraw, reply: &Reply) {
        let state = self.shared.tell(|ledger, now_ms| {
            ledger.withdraw(
                now_ms,
                withdraw.request_id(),
                withdraw.attempt,
                withdraw.sidecar_incarnation,
                withdraw.tombstone_ms,
            )
        });
        answer_state(reply, state);
    }

    fn cancel(&self, id: RequestId, reply: &Reply) {
        let state = self.shared.tell(|ledger, now_ms| ledger.cancel(now_ms, id));
        answer_state(reply, state);
    }

    fn resume(&self, resume: &Resume, connection: u64, reply: Reply) {
        let id = resume.request_id();
        let sender = Sender {
            gateway: resume.gateway_incarnation,
            session: resume.session,
            connection,
        };
        let (resumed, work) = self.shared.tell_of_work(|ledger, now_ms| {
            let resumed = ledger.resume(now_ms, id, &sender, resume.budget_ms);
            let ResumeResult::Adopt { attempt, .. } = resumed else {
                return ((resumed, None), None);
            };
            let work = Arc::new(Work {
                id,
                attempt,
                model: String::new(),
                answer: Answer::starting_at(resume.next_seq),
                dispatch: Mutex::new(None),
                deadline_ms: now_ms.saturating_add(resume.budget_ms),
            });
            ((resumed, Some(work.clone())), Some(work))
        });
        match resumed {
            ResumeResult::Attach => self.attach(id, reply, resume.next_seq),
            ResumeResult::Adopt { stream, .. } => {
                log::info!(request_id:% = id, stream; "stream of an earlier incarnation adopted");
                self.attach(id, reply, resume.next_seq);
                if let Some(work) = work {
                    self.read_adopted(work);
                }
            }
            ResumeResult::Dropped => answer(&reply, dropped()),
            ResumeResult::NeverStarted => answer(&reply, refused(RefusalReason::Withdrawn, 0, "")),
            ResumeResult::Stale => answer(&reply, refused(RefusalReason::StaleSession, 0, "")),
            ResumeResult::Unknown => answer(
                &reply,
                refused(RefusalReason::BadRequest, 0, "unknown request"),
            ),
        }
    }

    fn attach(&self, id: RequestId, reply: Reply, next_seq: u64) {
        let left_over = match self.shared.work(id) {
            Some(work) => work.answer.attach(reply, next_seq),
            // It ended, and its answer was dropped, between the ledger's word and this one.
            None => Err(reply),
        };
        if let Err(reply) = left_over {
            answer(&reply, dropped());
        }
    }

    fn read_adopted(&self, work: Arc<Work>) {
        let id = work.id;
        if let Err(error) = stream::spawn(&self.shared, work) {
            log::error!(error:% = error, request_id:% = id; "no thread for an adopted stream");
            self.shared.tell(|ledger, now_ms| ledger.cancel(now_ms, id));
        }
    }

    fn quote(&self, probe: &Probe) -> Quote {
        let cached_tokens = self.cached_tokens(&probe.prefix_hashes, probe.prompt_tokens);
        let asked = Dispatch {
            prompt_tokens: probe.prompt_tokens,
            prefix_hashes: probe.prefix_hashes.clone(),
            max_tokens: probe.max_tokens,
            priority: probe.priority,
            budget_ms: u64::MAX,
            ..Dispatch::default()
        };
        let job = self.job(&asked, 0);
        let now_ms = self.shared.now_ms();
        let (first_token_ms, would_accept) = self.shared.look(|ledger| ledger.quote(now_ms, &job));
        Quote {
            first_token_ms,
            cached_tokens,
            would_accept,
        }
    }

    /// Orders are rare and slow, and get a thread each.
    fn order(&self, order: Order, reply: Reply) {
        let shared = self.shared.clone();
        let spawned = std::thread::Builder::new()
            .name("sidecar-order".to_string())
            .spawn(move || {
                let result = match shared.engine() {
                    Some(engine) => shared.orders.obey(&shared, engine, &order),
                    None => OrderReply {
                        detail: "a plain service takes no orders".to_string(),
                        ..OrderReply::default()
                    },
                };
                log::info!(
                    order = order.order_id, fencing = order.fencing, done = result.done,
                    detail = result.detail; "order"
                );
                answer(&reply, Body::OrderReply(result));
            });
        if let Err(error) = spawned {
            log::error!(error:% = error; "no thread for an order");
        }
    }

    /// A gateway sends what is newer than the version that the sidecar reports; the answer says
    /// what is then in force.
    fn settings(&self, settings: SettingsReply, reply: &Reply) {
        let shared = &self.shared;
        match shared.settings.adopt_reply(settings) {
            Ok(true) => {
                let table = shared.settings.table();
                let row = table.endpoint(&shared.options.name);
                let stopped = row.is_some_and(|row| !row.started);
                shared.set_leaving(|leaving| leaving.stopped = stopped);
            }
            Ok(false) => {}
            // The confirmation names the older version, and the gateway sends the whole table.
            Err(error) => log::debug!(error:% = error; "settings with a gap"),
        }
        let version = shared.settings.version();
        shared.metrics.settings_version.set(version as i64);
        answer(
            reply,
            Body::SettingsConfirm(SettingsConfirm {
                process: shared.options.name.clone(),
                version,
                incarnation: shared.incarnation,
            }),
        );
    }
}
