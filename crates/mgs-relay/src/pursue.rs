//! The pursuit of one request: dispatches until one is answered or nothing may be tried any more.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request;
use http::response;
use http::Request;
use mgs_fleet::view::EndpointKey;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_quarantine::fingerprint::Fingerprint;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::advice;
use crate::attempt;
use crate::attempt::Ended;
use crate::attempt::Stream;
use crate::connect::Lost;
use crate::core::Core;
use crate::crash;
use crate::crash::Fate;
use crate::crash::LostRun;
use crate::dialect::Ask;
use crate::dialect::Dispatch;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::place;
use crate::place::Placed;
use crate::place::Prompt;
use crate::place::Tried;
use crate::progress::Failed;
use crate::progress::Progress;
use crate::quarantine;
use crate::quarantine::Permission;
use crate::quarantine::SETTLE;
use crate::shown::HELPER_REFUSED;
use crate::traffic::Carried;
use crate::view::Organisation;
use crate::view::Route;

/// An endpoint whose first event is this much later than predicted, as a factor, is silent.
const SILENT_FACTOR: f64 = 3.0;

/// And at least this much later, in milliseconds: work that depends on a lost engine is given up by the
/// engines after 1.5 s, with a proof; that is better than our guess.
const SILENT_MIN_MS: f64 = 1_900.0;

/// Share of what is left of its time that one dispatch of an idempotent call may take, if there may be
/// another one: a dispatch that hangs leaves time for it.
const DISPATCH_SHARE: f64 = 0.5;

/// Pause before a request is placed again whose endpoint has come to be shut: others are served meanwhile.
const PLACE_AGAIN: Duration = Duration::from_millis(2);

/// Lowest rank that engines know.
const RANK_MAX: u8 = 9;

/// One request and what has been tried.
pub(crate) struct Pursuit {
    pub(crate) core: Rc<Core>,
    pub(crate) ask: Ask,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    /// Names the work among all requests for the same.
    pub(crate) work: Fingerprint,
    pub(crate) route: Arc<Route>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) service: String,
    pub(crate) model: Option<Arc<EngineModel>>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) progress: Progress,
    /// What may be done with it, since requests like it may have crashed endpoints.
    pub(crate) permission: Permission,
}

/// A whole answer.
pub(crate) struct WholeAnswer {
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
}

/// A stream whose first events have come.
pub(crate) struct Begun {
    pub(crate) head: response::Parts,
    pub(crate) stream: Stream,
    pub(crate) placed: Placed,
}

/// A usable answer.
pub(crate) enum Got {
    Whole(Box<WholeAnswer>),
    Stream(Box<Begun>),
}

impl Pursuit {
    /// What is left of the time.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The fault if the time is up now.
    pub(crate) fn timed_out(&self) -> Refusal {
        let may_have_run = self.progress.in_flight || self.progress.runs > 0;
        let fault = match may_have_run {
            true => Fault::TimeoutRunning,
            false => Fault::TimeoutBefore,
        };
        Refusal::of(fault)
    }

    /// Dispatches until there is an answer. `last_event_id`: the last event passed on, if a stream
    /// is continued.
    pub(crate) async fn run(&mut self, last_event_id: Option<&str>) -> Result<Got, Refusal> {
        loop {
            self.admit()?;
            let placed = self.hold().await.map_err(|refusal| self.honest(refusal))?;
            // It may have crashed others while it waited.
            self.admit_again()?;
            let failed = match self.dispatch(placed, last_event_id).await {
                Ok(got) => return Ok(got),
                Err(failed) => failed,
            };
            self.core.metrics.dispatches.inc(failed.name);
            if self.may_try_again(&failed) {
                self.core.metrics.retries.inc(failed.name);
                continue;
            }
            return failed.end(self.progress.runs);
        }
    }

    /// Refuses at once what is held.
    fn admit(&mut self) -> Result<(), Refusal> {
        let permission = match self.progress.dispatches {
            0 => self.core.permission_to_begin(self.work),
            _ => self.core.permission(self.work),
        };
        self.permission = permission.map_err(|refusal| self.honest(refusal))?;
        Ok(())
    }

    /// Refuses what has come to be held since it was placed.
    fn admit_again(&self) -> Result<(), Refusal> {
        if self.permission == Permission::Trial {
            return Ok(());
        }
        let permission = self.core.permission(self.work);
        permission
            .map(|_| ())
            .map_err(|refusal| self.honest(refusal))
    }

    /// A refusal for lack of room after an earlier dispatch may have run isn't one.
    fn honest(&self, refusal: Refusal) -> Refusal {
        if self.progress.runs > 0 {
            return Refusal::of(Fault::Unknown);
        }
        refusal
    }

    /// Places the request and holds it as long as its engines need for what was placed before. An engine that
    /// begins to leave meanwhile gets nothing new; then the request is placed again.
    async fn hold(&self) -> Result<Placed, Refusal> {
        loop {
            let placed = self.place().await?;
            if placed.hold_ms > 0.0 {
                sleep(Duration::from_secs_f64(placed.hold_ms / 1e3)).await;
            }
            if !placed.is_present(&self.core.published.fleet()) {
                log::info!(
                    request_id = self.ask.request_id, endpoint = placed.endpoint.facts.incarnation.id;
                    "an engine began to leave before the dispatch"
                );
                continue;
            }
            match self.core.permit_dispatch(&placed.endpoint) {
                Ok(()) => return Ok(placed),
                Err(shut) => advice::note_shut(&self.ask, &placed.endpoint, shut),
            }
            drop(placed);
            sleep(PLACE_AGAIN).await;
        }
    }

    async fn place(&self) -> Result<Placed, Refusal> {
        let Some(closed) = self.closed() else {
            return self.place_but(&self.progress.tried).await;
        };
        let placed = self.place_but(&closed).await?;
        if !closed.contains(&placed.endpoint.key) {
            return Ok(placed);
        }
        // What is avoided is the last resort of others, not of a request that may have crashed endpoints.
        let fleet = self.core.published.fleet();
        let present = place::present(&self.core, &fleet, &self.service);
        let open = present.iter().filter(|e| !closed.contains(&e.key));
        Err(self.core.shut().refusal(open, &self.ask.request_id))
    }

    /// Places it at an endpoint that isn't to be avoided, if there is one.
    async fn place_but(&self, avoided: &Tried) -> Result<Placed, Refusal> {
        let Some(model) = &self.model else {
            let request_id = &self.ask.request_id;
            return place::plain(&self.core, &self.service, avoided, request_id);
        };
        let prompt = Prompt {
            core: &self.core,
            request_id: &self.ask.request_id,
            service: &self.service,
            model,
            tried: avoided,
        };
        place::prompt(&prompt, || self.need()).await
    }

    /// The endpoints at which it may not run, if there is only one at which it may. A prompt that exceeds the
    /// memory of one engine needs several anyway.
    fn closed(&self) -> Option<Tried> {
        let exceeds = |model: &Arc<EngineModel>| self.need().memory_tokens() > model.memory_tokens;
        if self.permission == Permission::Free || self.model.as_ref().is_some_and(exceeds) {
            return None;
        }
        let fleet = self.core.published.fleet();
        let tried = &self.progress.tried;
        Some(quarantine::closed_to(
            &fleet,
            &self.service,
            self.work,
            tried,
        ))
    }

    fn need(&self) -> Need {
        let waited_ms = self.arrived.elapsed().as_secs_f64() * 1e3;
        let full_aim_ms = self.route.aim_ms as f64;
        Need {
            prompt_tokens: self.ask.prompt_tokens,
            output_tokens: self.ask.output_tokens,
            expected_tokens: self.expected_tokens(),
            pause_ms: self.route.pause_ms as f64,
            full_aim_ms,
            aim_ms: full_aim_ms - waited_ms,
            left_ms: self.left().as_secs_f64() * 1e3,
            patience_ms: self.route.patience_ms as f64,
        }
    }

    /// Tokens that the answer should have: by the client's word, else as many as the operator expects.
    fn expected_tokens(&self) -> u64 {
        let usual = self
            .model
            .as_ref()
            .map_or(0.0, |model| model.usual_answer_tokens);
        let expected = self.ask.expected_tokens.unwrap_or(usual as u64);
        expected.min(self.ask.output_tokens)
    }

    async fn dispatch(
        &mut self,
        mut placed: Placed,
        last_event_id: Option<&str>,
    ) -> Result<Got, Failed> {
        let request = self.request(&placed, last_event_id);
        let endpoint = placed.endpoint.clone();
        self.progress.dispatches += 1;
        self.progress.in_flight = true;
        if self.progress.dispatches == 1 {
            let now_ms = self.core.now_ms();
            let live = self.core.published.live();
            let mut budget = self.core.budget.borrow_mut();
            budget.first(&live.budget, &self.service, now_ms);
        }
        self.core.traffic.add(Carried::Dispatches, self.body.len());
        let start = Instant::now();
        let is_streaming = self.route.kind.is_streaming();
        let sending = attempt::send(&self.core, &endpoint, request, &self.ask, is_streaming);
        let ended = match self.patience(&placed) {
            None => sending.await,
            Some(patience) => timeout(patience, sending)
                .await
                .unwrap_or_else(|_| silent()),
        };
        self.progress.in_flight = false;
        let took_ms = start.elapsed().as_millis() as u64;
        let ended = self.with_helper_at_fault(&placed, ended);
        self.note(&placed, &ended, took_ms);
        match ended {
            Ended::Whole { head, body } => self.judge_whole(head, body, endpoint.key),
            Ended::Started { head, stream } => {
                placed.grant.first_token();
                self.progress.runs += 1;
                Ok(Got::Stream(Box::new(Begun {
                    head,
                    stream,
                    placed,
                })))
            }
            Ended::NotRun { why, .. } => {
                self.progress.tried.push(endpoint.key);
                Err(Failed::not_run(why))
            }
            // The engine that answers is as good as before.
            Ended::Unhelped { helper, .. } => {
                self.progress.tried.push(helper.key);
                self.progress.unhelped += 1;
                Err(Failed::not_run(HELPER_REFUSED))
            }
            Ended::Unknown { lost, .. } => {
                self.progress.runs += 1;
                self.progress.tried.push(endpoint.key);
                let run = self.lost_run(&placed, 0);
                drop(placed);
                self.look_into(run, lost).await;
                Err(Failed::unknown("unknown"))
            }
        }
    }

    /// Finds out whether an endpoint has ended under the request, before another one gets it.
    async fn look_into(&self, run: LostRun, lost: Lost) {
        let fate = crash::note(self.core.clone(), run, lost);
        if !self.may_repeat() {
            tokio::task::spawn_local(fate);
            return;
        }
        if fate.await == Fate::Ended {
            sleep(SETTLE).await;
        }
    }

    /// A failure that the endpoint itself answers is passed on, unless another one may do better.
    fn judge_whole(
        &mut self,
        head: response::Parts,
        body: Bytes,
        endpoint: EndpointKey,
    ) -> Result<Got, Failed> {
        self.progress.runs += 1;
        self.core.traffic.add(Carried::Answers, body.len());
        if head.status.is_success() {
            self.core.run_ended_whole(self.work);
        }
        if !head.status.is_server_error() {
            return Ok(Got::Whole(Box::new(WholeAnswer { head, body })));
        }
        self.progress.tried.push(endpoint);
        Err(Failed {
            name: "endpoint_error",
            may_have_run: true,
            answer: Some(Box::new(WholeAnswer { head, body })),
        })
    }

    /// How long to wait for the first sign of an answer before another endpoint is asked; `None` if no
    /// other may be.
    fn patience(&self, placed: &Placed) -> Option<Duration> {
        if !self.may_repeat() || self.progress.runs + 1 >= self.route.attempts_max {
            return None;
        }
        let left = self.left();
        if self.route.kind.is_streaming() {
            let aim_ms = self.route.aim_ms as f64;
            let expected_ms = placed.first_token_ms.max(aim_ms);
            let silent_ms = (expected_ms * SILENT_FACTOR).max(SILENT_MIN_MS);
            let silent = Duration::from_secs_f64(silent_ms / 1e3);
            return Some(silent).filter(|silent| *silent < left);
        }
        Some(left.mul_f64(DISPATCH_SHARE))
    }

    fn may_repeat(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    fn may_try_again(&self, failed: &Failed) -> bool {
        if self.permission == Permission::Trial || self.core.permission(self.work).is_err() {
            return false;
        }
        if self.left().is_zero() || !self.progress.may_go_on() {
            return false;
        }
        if failed.may_have_run && !self.may_repeat() {
            return false;
        }
        if self.progress.runs >= self.route.attempts_max {
            return false;
        }
        self.core.may_try_again(&self.service)
    }

    fn request(&self, placed: &Placed, last_event_id: Option<&str>) -> Request<Bytes> {
        let dispatch = Dispatch {
            endpoint_id: placed.endpoint.facts.incarnation.id.clone(),
            left_ms: self.left().as_millis() as u64,
            organisation: self.organisation.as_ref().map(|o| o.name.clone()),
            rank: self.model.as_ref().map(|_| self.rank()),
            helpers: placed.helpers.clone(),
            last_event_id: last_event_id.map(str::to_string),
        };
        let fields = self
            .core
            .dialect
            .dispatch_fields(&self.head.headers, &dispatch);
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = fields;
        request
    }

    /// Rank at an engine: the operators' priorities only. A rank by length would let short prompts take
    /// the memory that a long one waits for, again and again.
    fn rank(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|o| o.priority);
        own.unwrap_or(self.route.priority).min(RANK_MAX)
    }

    /// The run that a dispatch was, once it is lost. `reached`: events that it had made.
    pub(crate) fn lost_run(&self, placed: &Placed, reached: u32) -> LostRun {
        let fleet = self.core.published.fleet();
        let helpers = placed.helper_keys.iter();
        let helpers = helpers.filter_map(|key| fleet.by_key.get(key).cloned());
        LostRun {
            helpers: helpers.collect(),
            request_id: self.ask.request_id.clone(),
            work: self.work,
            endpoint: placed.endpoint.clone(),
            reached,
        }
    }
}

fn silent() -> Ended {
    Ended::Unknown {
        lost: Lost::Silent,
        why: "silent".to_string(),
    }
}

impl Pursuit {
    /// Whether a stream that broke off may be continued elsewhere; takes a second try if so.
    pub(crate) fn may_resume(&mut self, broken_off: EndpointKey) -> bool {
        self.progress.tried.push(broken_off);
        let broken = Failed::unknown("stream_broke_off");
        let may = self.may_try_again(&broken);
        if may {
            self.core.metrics.retries.inc(broken.name);
        }
        may
    }
}
