//! One request from its head to its answer.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request;
use http::response;
use http::uri::PathAndQuery;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::fingerprint::RequestIdentity;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::answer;
use crate::answer::Answer;
use crate::answer::AnswerBody;
use crate::core::Core;
use crate::dialect::Ask;
use crate::drain::Phase;
use crate::drain::RETRY_AFTER_LEAVING_MS;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::metrics;
use crate::progress::Progress;
use crate::pursue::Got;
use crate::pursue::Pursuit;
use crate::quarantine::Permission;
use crate::stream::Passing;
use crate::traffic::Carried;
use crate::view::Configuration;
use crate::view::Organisation;
use crate::view::Route;

/// A configuration that wasn't confirmed for this long is too old to refuse a route or a key by it, in
/// milliseconds: twice the longest time between two readings while the store works.
const CONFIGURATION_FRESH_MS: u64 = 4_000;

/// When a client may come back where this host knows too little, in milliseconds.
const RETRY_AFTER_UNKNOWING_MS: u64 = 400;

/// A process is starting for this long, in milliseconds: it has read the store or asked peers by then.
const START_MS: u64 = 1_500;

/// Longest wait of a request for a process that is starting, in milliseconds: the shortest time to an
/// answer that is on time on the deployments, which would be lost by coming back.
const START_PATIENCE_MS: u64 = 250;

/// Least status of an answer that is a failure.
const ERROR_STATUS_MIN: u16 = 400;

/// Counts a request as open while it lives.
struct Open {
    core: Rc<Core>,
}

impl Open {
    fn begin(core: &Rc<Core>) -> Self {
        core.drain.begin_request();
        core.metrics.open_requests.inc();
        Self { core: core.clone() }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.core.drain.end_request();
        self.core.metrics.open_requests.dec();
    }
}

/// Says that the client left, if the request is dropped before its outcome is known.
struct Watch {
    core: Rc<Core>,
    request_id: String,
    prompt_tokens: u64,
    size_tokens: u64,
    /// Names the work among all requests for the same; empty until its body is read.
    work: String,
    /// Its route, once it is known.
    route: Option<Arc<Route>>,
    arrived: Instant,
    /// Time that it has, in milliseconds; 0 while that isn't known.
    timeout_ms: u64,
    is_told: bool,
}

impl Watch {
    fn tell(&mut self, outcome: &str, status: u16, detail: &str) {
        self.is_told = true;
        self.core.metrics.requests.inc(outcome);
        self.count_size(outcome, status);
        let route = self.route.as_deref();
        log::info!(
            request_id = self.request_id,
            work = self.work,
            outcome = outcome,
            status = status,
            detail = detail,
            route = route.map_or("", |route| &route.name),
            kind = route.map_or("", |route| route.kind.name()),
            aim_ms = route.map_or(0, |route| route.aim_ms),
            pause_limit_ms = route.map_or(0, |route| route.pause_ms),
            timeout_ms = self.timeout_ms,
            prompt_tokens = self.prompt_tokens,
            size_tokens = self.size_tokens,
            total_ms = self.arrived.elapsed().as_millis() as u64,
            configuration = self.core.published.configuration().map_or(0, |c| c.version),
            configuration_age_ms = self.core.published.configuration_age_ms().unwrap_or(u64::MAX);
            "request ended"
        );
    }

    /// Counts a prompt by its size, unless a stream has begun, which counts itself when it ends.
    fn count_size(&self, outcome: &str, status: u16) {
        let has_begun = outcome == "answered" && status < ERROR_STATUS_MIN;
        if self.prompt_tokens > 0 && !has_begun {
            let size = metrics::size(self.size_tokens);
            self.core.metrics.outcomes.inc([size, outcome]);
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.is_told {
            self.tell("client_left", 0, "");
        }
    }
}

/// Answers one request.
pub(crate) async fn serve(
    core: Rc<Core>,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let open = Open::begin(&core);
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let ask = match core.dialect.ask(&head) {
        Ok(ask) => ask,
        Err(malformed) => {
            log::info!(reason:% = malformed; "request not understood");
            core.metrics.requests.inc("refused");
            core.metrics.refusals.inc(Fault::Malformed.name());
            let refusal = Refusal::of(Fault::Malformed);
            return Ok(answer::refusal(core.dialect.as_ref(), refusal, None));
        }
    };
    let mut watch = Watch {
        core: core.clone(),
        request_id: ask.request_id.clone(),
        prompt_tokens: ask.prompt_tokens,
        size_tokens: ask.size_tokens(),
        work: String::new(),
        route: None,
        arrived,
        timeout_ms: 0,
        is_told: false,
    };
    let request_id = ask.request_id.clone();
    let answered = handle(&core, ask, head, body, &mut watch, open).await;
    let mut answer = match answered {
        Ok(answer) => {
            watch.tell("answered", answer.status().as_u16(), "");
            answer
        }
        Err(refusal) => {
            let fault = refusal.fault;
            core.metrics.refusals.inc(fault.name());
            watch.tell("refused", fault.status().as_u16(), fault.name());
            answer::refusal(core.dialect.as_ref(), refusal, Some(&request_id))
        }
    };
    if core.drain.phase() != Phase::Serving {
        answer::close_after(&mut answer);
    }
    Ok(answer)
}

async fn handle(
    core: &Rc<Core>,
    ask: Ask,
    head: request::Parts,
    body: Incoming,
    watch: &mut Watch,
    open: Open,
) -> Result<Answer, Refusal> {
    let arrived = watch.arrived;
    if core.drain.phase() == Phase::Ending {
        return Err(Refusal::after(Fault::Leaving, RETRY_AFTER_LEAVING_MS));
    }
    let configuration = known_configuration(core)
        .await
        .ok_or_else(|| Refusal::after(Fault::NoConfiguration, RETRY_AFTER_UNKNOWING_MS))?;
    let admitted = admit(core, &configuration, &ask, &head)?;
    watch.route = Some(admitted.route.clone());
    let timeout_ms = ask.deadline_ms.map_or(admitted.route.timeout_ms, |d| {
        d.min(admitted.route.timeout_ms)
    });
    watch.timeout_ms = timeout_ms;
    let deadline = arrived + Duration::from_millis(timeout_ms);
    let body = read_body(body, configuration.limits.body_bytes, deadline).await?;
    core.traffic.add(Carried::Requests, body.len());
    let service = pick_service(core, &admitted.route);
    let model = configuration
        .services
        .get(&service)
        .and_then(|service| service.engine.clone());
    let work = work(&ask, &head, &body, &admitted, &service);
    watch.work = work.to_string();
    let mut pursuit = Pursuit {
        core: core.clone(),
        work,
        ask,
        head,
        body,
        route: admitted.route,
        organisation: admitted.organisation,
        service,
        model,
        arrived,
        deadline,
        progress: Progress::default(),
        permission: Permission::Free,
    };
    let got = match timeout_at(deadline, pursuit.run(None)).await {
        Ok(got) => got?,
        Err(_) => return Err(pursuit.timed_out()),
    };
    let took_ms = arrived.elapsed().as_secs_f64() * 1e3;
    let length = metrics::length(pursuit.ask.prompt_tokens);
    core.metrics.first_token_ms.observe(length, took_ms);
    Ok(pass_on(core, pursuit, got, open))
}

/// Names what the request is for. The caller is its organisation, whichever of its keys it uses.
fn work(
    ask: &Ask,
    head: &request::Parts,
    body: &Bytes,
    admitted: &Admitted,
    service: &str,
) -> Fingerprint {
    let organisation = admitted.organisation.as_ref();
    let caller = organisation.map_or("", |organisation| organisation.name.as_str());
    let target = head.uri.path_and_query();
    let work = RequestIdentity {
        service,
        host: &ask.host,
        method: head.method.as_str(),
        target: target.map_or("", PathAndQuery::as_str),
        caller,
        body,
    };
    work.fingerprint()
}

/// The configuration in force. A process that has just started gets a moment to learn it: when all hosts
/// start anew at once, the balancer sends them requests before they are ready, and the store answers within
/// a tenth of a second.
async fn known_configuration(core: &Core) -> Option<Arc<Configuration>> {
    if core.published.now_ms() < START_MS {
        let patience = Duration::from_millis(START_PATIENCE_MS);
        // Whether all is known or time is up shows below.
        let _ = timeout(patience, core.published.complete()).await;
    }
    core.published.configuration()
}

fn pass_on(core: &Rc<Core>, pursuit: Pursuit, got: Got, open: Open) -> Answer {
    match got {
        Got::Whole(whole) => endpoint_answer(core, &whole.head, answer::whole(whole.body)),
        Got::Stream(begun) => {
            let head = begun.head;
            let (passing, pieces) = Passing::new(pursuit, begun.stream, begun.placed);
            tokio::task::spawn_local(async move {
                passing.run().await;
                drop(open);
            });
            endpoint_answer(core, &head, answer::pieces(pieces))
        }
    }
}

fn endpoint_answer(core: &Core, head: &response::Parts, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = core.dialect.answer_fields(&head.headers);
    answer
}

struct Admitted {
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
}

/// Finds the route and the organisation. What isn't found is refused for good only if the configuration
/// is fresh: a newer one may have it.
fn admit(
    core: &Core,
    configuration: &Configuration,
    ask: &Ask,
    head: &request::Parts,
) -> Result<Admitted, Refusal> {
    let Some(route) = configuration.route(&ask.host, head.uri.path()) else {
        return Err(missing(core, Fault::NoRoute));
    };
    let mut admitted = Admitted {
        route: route.clone(),
        organisation: None,
    };
    let key = ask.api_key.as_deref();
    let known = key.and_then(|key| configuration.organisations.get(key));
    admitted.organisation = known.cloned();
    let needs_key = configuration.needs_keys && !route.is_public;
    if needs_key && known.is_none() {
        return Err(missing(core, Fault::UnknownKey));
    }
    Ok(admitted)
}

fn missing(core: &Core, fault: Fault) -> Refusal {
    let age_ms = core.published.configuration_age_ms();
    if age_ms.is_some_and(|age_ms| age_ms <= CONFIGURATION_FRESH_MS) {
        return Refusal::of(fault);
    }
    Refusal::after(Fault::StaleConfiguration, RETRY_AFTER_UNKNOWING_MS)
}

async fn read_body(body: Incoming, most: usize, deadline: Instant) -> Result<Bytes, Refusal> {
    let collecting = Limited::new(body, most).collect();
    let collected = match timeout_at(deadline, collecting).await {
        Ok(collected) => collected,
        Err(_) => return Err(Refusal::of(Fault::BodyTooSlow)),
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::of(Fault::BodyTooLong)),
        Err(error) => {
            log::info!(error:% = error; "a body can't be read");
            Err(Refusal::of(Fault::Malformed))
        }
    }
}

/// Draws one of the route's services by weight.
fn pick_service(core: &Core, route: &Route) -> String {
    let total: u32 = route.shares.iter().map(|share| share.weight).sum();
    let mut drawn = core.random_below(total);
    for share in &route.shares {
        if drawn < share.weight {
            return share.service.clone();
        }
        drawn -= share.weight;
    }
    let first = route.shares.first();
    first.map_or_else(String::new, |share| share.service.clone())
}
