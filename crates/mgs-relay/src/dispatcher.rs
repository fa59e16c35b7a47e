//! Drives one request: dispatches it until an endpoint answers or no further attempt is allowed.

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
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::attempt;
use crate::attempt::DispatchResult;
use crate::attempt::EventStream;
use crate::client_connection::ClientConnection;
use crate::confinement::barred_endpoints;
use crate::confinement::Confinement;
use crate::connection::LossCause;
use crate::core::Core;
use crate::crash_keys::CrashKeys;
use crate::dialect::ClientRequest;
use crate::dialect::Dispatch;
use crate::dispatch_outcome::HELPER_REFUSED;
use crate::dispatch_outcome::NOT_HELD;
use crate::dispatch_outcome::PERMIT_EXPIRED;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::held_bytes::NoRoom;
use crate::lost_run;
use crate::lost_run::EndpointFate;
use crate::lost_run::LostRun;
use crate::organisation_shares::AdmittedPrompt;
use crate::organisation_shares::ShareRequest;
use crate::place;
use crate::place::PlacedRequest;
use crate::place::Prompt;
use crate::place::TriedEndpoints;
use crate::progress::DispatchError;
use crate::progress::DispatchProgress;
use crate::progress::FailedDispatch;
use crate::quarantine::CRASH_REPORT_DELAY;
use crate::traffic::TrafficKind;
use crate::view::Organisation;
use crate::view::Route;

/// Factor by which the first event may be later than predicted before the endpoint counts as
/// silent.
const SILENT_FACTOR: f64 = 3.0;

/// Least time without a first event before an endpoint counts as silent, in milliseconds. Engines
/// give up work that depends on a lost engine after 1.5 s, with proof that it didn't run, which is
/// better than a guess made here.
const SILENT_MIN_MS: f64 = 1_900.0;

/// Share of its remaining time that one dispatch of an idempotent call may take if another is
/// allowed, so that a dispatch that hangs leaves time for the next.
const DISPATCH_SHARE: f64 = 0.5;

/// Delay before a request is placed again after its endpoint was blocked, so that other requests
/// are served meanwhile.
const PLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Largest rank that engines accept; the largest rank is served last.
const RANK_MAX: u8 = 9;

/// One request and the state of its dispatches.
pub(crate) struct Dispatcher {
    pub(crate) core: Rc<Core>,
    pub(crate) client: Rc<ClientConnection>,
    pub(crate) client_request: ClientRequest,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    /// Keys under which crashes of its endpoints count.
    pub(crate) keys: CrashKeys,
    pub(crate) route: Arc<Route>,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) service: String,
    pub(crate) model: Option<Arc<EngineModel>>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) progress: DispatchProgress,
    /// What the quarantine allows for this request, since it may have crashed endpoints.
    pub(crate) confinement: Confinement,
}

/// A complete response of an endpoint.
pub(crate) struct FullResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: Bytes,
}

/// A stream that has delivered its first events, with the placement that serves it.
pub(crate) struct StartedStream {
    pub(crate) head: response::Parts,
    pub(crate) stream: EventStream,
    pub(crate) placed: PlacedRequest,
}

/// A response that can be forwarded to the client.
pub(crate) enum UsableResponse {
    Full(Box<FullResponse>),
    Stream(Box<StartedStream>),
}

impl Dispatcher {
    /// Time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The refusal to send if the deadline passes now.
    pub(crate) fn timed_out(&self) -> Refusal {
        let fault = match self.may_have_run() {
            true => Fault::TimeoutRunning,
            false => Fault::TimeoutBefore,
        };
        Refusal::of(fault)
    }

    /// The refusal to send if this host must stop now.
    pub(crate) fn stopped(&self) -> Refusal {
        match self.may_have_run() {
            true => Refusal::of(Fault::Stopped),
            false => Refusal::leaving(),
        }
    }

    fn may_have_run(&self) -> bool {
        self.progress.in_flight || self.progress.runs > 0
    }

    /// Dispatches until there is a response. `last_event_id` is the last event that was forwarded,
    /// if a stream is continued.
    pub(crate) async fn run(
        &mut self,
        last_event_id: Option<&str>,
    ) -> Result<UsableResponse, Refusal> {
        loop {
            let is_first = !std::mem::replace(&mut self.progress.is_admitted, true);
            self.check_quarantine(is_first)?;
            let admitted = match is_first {
                true => self.admit_by_share()?,
                false => None,
            };
            let placed = self
                .place_and_wait()
                .await
                .map_err(|refusal| self.unknown_if_run(refusal))?;
            if let Some(admitted) = admitted {
                admitted.record_placed();
            }
            // The request may have crashed other endpoints while this request waited.
            self.recheck_quarantine()?;
            let failed = match self.dispatch(placed, last_event_id).await {
                Ok(response) => return Ok(response),
                Err(DispatchError::Failed(failed)) => failed,
                // Nothing was sent, so placing the request again is no retry.
                Err(DispatchError::PermitExpired) => {
                    self.core.metrics.dispatches.inc(PERMIT_EXPIRED);
                    if self.time_left().is_zero() {
                        let unsent = FailedDispatch::not_run(PERMIT_EXPIRED);
                        return unsent.into_result(self.progress.runs);
                    }
                    sleep(PLACEMENT_RETRY_DELAY).await;
                    continue;
                }
            };
            self.core.metrics.dispatches.inc(failed.name);
            if self.may_try_again(&failed) {
                self.core.metrics.retries.inc(failed.name);
                continue;
            }
            return failed.into_result(self.progress.runs);
        }
    }

    /// Refuses a request that is held, and records what is allowed otherwise.
    fn check_quarantine(&mut self, is_first: bool) -> Result<(), Refusal> {
        if self.is_trial() {
            return Ok(());
        }
        let request_id = &self.client_request.request_id;
        let confinement = match is_first {
            true => self.core.confinement_at_start(request_id, &self.keys),
            false => self
                .core
                .confinement_before_dispatch(request_id, &self.keys),
        };
        self.confinement = confinement.map_err(|refusal| self.unknown_if_run(refusal))?;
        Ok(())
    }

    /// Refuses a prompt that arrives while its organisation's share is used up.
    fn admit_by_share(&self) -> Result<Option<AdmittedPrompt>, Refusal> {
        let Some(model) = &self.model else {
            return Ok(None);
        };
        self.core.admit_by_share(&ShareRequest {
            request_id: &self.client_request.request_id,
            organisation: self.organisation.as_deref(),
            model,
            need: self.need(),
        })
    }

    /// Refuses a request that was held after it was placed.
    fn recheck_quarantine(&self) -> Result<(), Refusal> {
        if self.is_trial() {
            return Ok(());
        }
        let request_id = &self.client_request.request_id;
        let confinement = self
            .core
            .confinement_before_dispatch(request_id, &self.keys);
        confinement
            .map(|_| ())
            .map_err(|refusal| self.unknown_if_run(refusal))
    }

    /// Replaces a refusal for lack of room by [`Fault::Unknown`] if an earlier dispatch may have
    /// run: a refusal would claim that the request did not run.
    fn unknown_if_run(&self, refusal: Refusal) -> Refusal {
        if self.progress.runs > 0 {
            return Refusal::of(Fault::Unknown);
        }
        refusal
    }

    /// Places the request and waits until its engines have finished what was placed before. If one
    /// of the chosen endpoints leaves or is blocked meanwhile, it gets nothing new and the request
    /// is placed again.
    async fn place_and_wait(&self) -> Result<PlacedRequest, Refusal> {
        loop {
            let mut placed = self.place().await?;
            if placed.hold_ms > 0.0 {
                sleep(Duration::from_secs_f64(placed.hold_ms / 1e3)).await;
            }
            if !placed.is_present(&self.core.published.fleet()) {
                log::info!(
                    request_id = self.client_request.request_id, endpoint = placed.endpoint.facts.incarnation.id;
                    "an endpoint began to leave before the dispatch"
                );
                continue;
            }
            match self.core.permit_dispatch(&placed, &self.client_request) {
                Ok(permit) => {
                    placed.permit = permit;
                    return Ok(placed);
                }
                Err(blocked) => blocked.log(&self.client_request),
            }
            drop(placed);
            sleep(PLACEMENT_RETRY_DELAY).await;
        }
    }

    async fn place(&self) -> Result<PlacedRequest, Refusal> {
        let Some(barred_endpoints) = self.barred_endpoints() else {
            return self.place_avoiding(&self.progress.tried).await;
        };
        let placed = self.place_avoiding(&barred_endpoints).await?;
        if !barred_endpoints.contains(&placed.endpoint.key) {
            return Ok(placed);
        }
        // Other requests may use avoided endpoints as a last resort, but not one that may have
        // crashed endpoints.
        let fleet = self.core.published.fleet();
        let present = place::active_endpoints(&self.core, &fleet, &self.service);
        let open = present
            .iter()
            .filter(|e| !barred_endpoints.contains(&e.key));
        Err(self
            .core
            .blocked_endpoints()
            .refusal(open, &self.client_request.request_id))
    }

    /// Places the request at an endpoint outside `avoided`, if there is one.
    async fn place_avoiding(&self, avoided: &TriedEndpoints) -> Result<PlacedRequest, Refusal> {
        let Some(model) = &self.model else {
            let request_id = &self.client_request.request_id;
            return place::place_call(&self.core, &self.service, avoided, request_id);
        };
        let prompt = Prompt {
            core: &self.core,
            request_id: &self.client_request.request_id,
            service: &self.service,
            model,
            tried: avoided,
        };
        place::place_prompt(&prompt, || self.need()).await
    }

    /// The endpoints barred to this request, if it is confined to a single one. A prompt that
    /// exceeds the memory of one engine needs several and isn't confined.
    fn barred_endpoints(&self) -> Option<TriedEndpoints> {
        let exceeds = |model: &Arc<EngineModel>| self.need().memory_tokens() > model.memory_tokens;
        let key = self.confinement.key()?;
        if self.model.as_ref().is_some_and(exceeds) {
            return None;
        }
        let fleet = self.core.published.fleet();
        let tried = &self.progress.tried;
        let zones = self.core.published.evacuations().zones();
        let service = &self.service;
        Some(barred_endpoints(
            &fleet,
            service,
            key,
            tried,
            &zones.evacuated,
        ))
    }

    fn need(&self) -> Need {
        let waited_ms = self.arrived.elapsed().as_secs_f64() * 1e3;
        let full_aim_ms = self.route.aim_ms as f64;
        Need {
            prompt_tokens: self.client_request.prompt_tokens,
            output_tokens: self.client_request.output_tokens,
            expected_tokens: self.expected_tokens(),
            pause_ms: self.route.pause_ms as f64,
            ttft_target_ms: full_aim_ms,
            ttft_left_ms: full_aim_ms - waited_ms,
            deadline_left_ms: self.time_left().as_secs_f64() * 1e3,
            patience_ms: self.route.patience_ms as f64,
        }
    }

    /// Expected answer length in tokens: as the client states it, else the usual length that the
    /// operator configured.
    fn expected_tokens(&self) -> u64 {
        let usual = self
            .model
            .as_ref()
            .map_or(0.0, |model| model.usual_answer_tokens);
        let expected = self.client_request.expected_tokens.unwrap_or(usual as u64);
        expected.min(self.client_request.output_tokens)
    }

    async fn dispatch(
        &mut self,
        mut placed: PlacedRequest,
        last_event_id: Option<&str>,
    ) -> Result<UsableResponse, DispatchError> {
        let request = self.build_request(&placed, last_event_id);
        let endpoint = placed.endpoint.clone();
        self.progress.in_flight = true;
        let start = Instant::now();
        let is_streaming = self.route.kind.is_streaming();
        let sending = attempt::send(
            &self.core,
            &endpoint,
            request,
            &self.client,
            &self.client_request,
            is_streaming,
            placed.permit,
        );
        let result = match self.first_response_timeout(&placed) {
            None => sending.await,
            Some(patience) => timeout(patience, sending)
                .await
                .unwrap_or_else(|_| silent_result()),
        };
        self.progress.in_flight = false;
        if result.is_sent() {
            let traffic = &self.core.traffic;
            traffic.add(TrafficKind::Dispatches, self.body.len());
        }
        let took_ms = start.elapsed().as_millis() as u64;
        let result = self.with_helper_at_fault(&placed, result);
        self.record_outcome(&placed, &result, took_ms);
        if !matches!(result, DispatchResult::PermitExpired) {
            self.progress.dispatches += 1;
        }
        match result {
            DispatchResult::Full { head, body } => {
                Ok(self.accept_full(head, body, endpoint.key)?)
            }
            DispatchResult::Started { head, stream } => {
                placed.load_guard.record_first_token();
                self.progress.runs += 1;
                Ok(UsableResponse::Stream(Box::new(StartedStream {
                    head,
                    stream,
                    placed,
                })))
            }
            DispatchResult::NotRun { why, .. } => {
                self.progress.tried.push(endpoint.key);
                Err(FailedDispatch::not_run(why).into())
            }
            DispatchResult::PermitExpired => Err(DispatchError::PermitExpired),
            // The answering engine isn't at fault and may be chosen again.
            DispatchResult::HelperRefused { helper, .. } => {
                self.progress.tried.push(helper.key);
                self.progress.helper_refusals += 1;
                Err(FailedDispatch::not_run(HELPER_REFUSED).into())
            }
            // The endpoint isn't at fault either, and has run the request.
            DispatchResult::NotHeld(no_room) => {
                self.progress.runs += 1;
                // What exceeds the bound of the connection has no room at the next try either.
                let failed = FailedDispatch {
                    is_final: no_room == NoRoom::Connection,
                    ..FailedDispatch::unknown(NOT_HELD)
                };
                Err(failed.into())
            }
            DispatchResult::Unknown { lost, .. } => {
                self.progress.runs += 1;
                self.progress.tried.push(endpoint.key);
                let run = self.lost_run(&placed, 0);
                drop(placed);
                self.investigate_loss(run, lost).await;
                Err(FailedDispatch::unknown("unknown").into())
            }
        }
    }

    /// Finds out whether the endpoint has crashed under the request, before another endpoint gets
    /// it.
    async fn investigate_loss(&self, run: LostRun, lost: LossCause) {
        let fate = lost_run::record_lost_run(self.core.clone(), run, lost);
        if !self.is_repeatable_route() {
            tokio::task::spawn_local(fate);
            return;
        }
        if fate.await == EndpointFate::Ended {
            sleep(CRASH_REPORT_DELAY).await;
        }
    }

    /// Forwards an endpoint's own error response, unless another endpoint may do better.
    fn accept_full(
        &mut self,
        head: response::Parts,
        body: Bytes,
        endpoint: EndpointKey,
    ) -> Result<UsableResponse, FailedDispatch> {
        self.progress.runs += 1;
        self.core.traffic.add(TrafficKind::Answers, body.len());
        if head.status.is_success() {
            self.core.record_completion(&self.keys);
        }
        if !head.status.is_server_error() {
            return Ok(UsableResponse::Full(Box::new(FullResponse { head, body })));
        }
        self.progress.tried.push(endpoint);
        Err(FailedDispatch {
            name: "endpoint_error",
            may_have_run: true,
            is_final: false,
            answer: Some(Box::new(FullResponse { head, body })),
        })
    }

    /// How long to wait for the first response data before another endpoint is tried; `None` if no
    /// other may be.
    fn first_response_timeout(&self, placed: &PlacedRequest) -> Option<Duration> {
        if !self.is_repeatable_route() || self.progress.runs + 1 >= self.route.attempts_max {
            return None;
        }
        let time_left = self.time_left();
        if self.route.kind.is_streaming() {
            let aim_ms = self.route.aim_ms as f64;
            let expected_ms = placed.first_token_ms.max(aim_ms);
            let silent_ms = (expected_ms * SILENT_FACTOR).max(SILENT_MIN_MS);
            let silent = Duration::from_secs_f64(silent_ms / 1e3);
            return Some(silent).filter(|silent| *silent < time_left);
        }
        Some(time_left.mul_f64(DISPATCH_SHARE))
    }

    fn is_trial(&self) -> bool {
        matches!(self.confinement, Confinement::Trial(_))
    }

    fn is_repeatable_route(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    fn may_try_again(&self, failed: &FailedDispatch) -> bool {
        if self.is_trial() || self.core.confinement(&self.keys).is_err() {
            return false;
        }
        if failed.is_final {
            return false;
        }
        if self.time_left().is_zero() || !self.progress.allows_another_dispatch() {
            return false;
        }
        if failed.may_have_run && !self.is_repeatable_route() {
            return false;
        }
        if self.progress.runs >= self.route.attempts_max {
            return false;
        }
        let request_id = &self.client_request.request_id;
        self.core.take_retry(&self.service, request_id, failed.name)
    }

    fn build_request(&self, placed: &PlacedRequest, last_event_id: Option<&str>) -> Request<Bytes> {
        let dispatch = Dispatch {
            endpoint_id: placed.endpoint.facts.incarnation.id.clone(),
            left_ms: self.time_left().as_millis() as u64,
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

    /// Rank at an engine, from the operators' priorities only. A rank by length would let short
    /// prompts repeatedly take the memory that a long one waits for.
    fn rank(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|o| o.priority);
        own.unwrap_or(self.route.priority).min(RANK_MAX)
    }

    /// Describes the run of a lost dispatch. `reached` is the number of events that it had
    /// produced.
    pub(crate) fn lost_run(&self, placed: &PlacedRequest, reached: u32) -> LostRun {
        let fleet = self.core.published.fleet();
        let helpers = placed.helper_keys.iter();
        let helpers = helpers.filter_map(|key| fleet.by_key.get(key).cloned());
        LostRun {
            helpers: helpers.collect(),
            request_id: self.client_request.request_id.clone(),
            route: self.route.name.clone(),
            organisation: self
                .organisation
                .as_ref()
                .map_or_else(String::new, |o| o.name.clone()),
            keys: self.keys.clone(),
            endpoint: placed.endpoint.clone(),
            reached,
        }
    }
}

fn silent_result() -> DispatchResult {
    DispatchResult::Unknown {
        lost: LossCause::Silent,
        why: "silent".to_string(),
    }
}

impl Dispatcher {
    /// Whether a stream that broke off may be continued elsewhere; takes a retry from the budget if
    /// so.
    pub(crate) fn may_resume(&mut self, broken_off: EndpointKey) -> bool {
        self.progress.tried.push(broken_off);
        let broken = FailedDispatch::unknown("stream_broke_off");
        let may = self.may_try_again(&broken);
        if may {
            self.core.metrics.retries.inc(broken.name);
        }
        may
    }
}
