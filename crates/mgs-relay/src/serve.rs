//! Handles one client request from its head to its response.

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
use hyper::body::Incoming;
use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::fingerprint::RequestIdentity;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::client_connection::ClientConnection;
use crate::client_response;
use crate::client_response::ClientResponse;
use crate::client_response::ResponseBody;
use crate::confinement::Confinement;
use crate::core::Core;
use crate::crash_keys::CrashKeys;
use crate::delivery::OpenRequest;
use crate::dialect::ClientRequest;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::UsableResponse;
use crate::drain::Phase;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::metrics;
use crate::progress::DispatchProgress;
use crate::request_body;
use crate::stream::StreamForwarder;
use crate::view::Configuration;
use crate::view::Organisation;
use crate::view::Route;

/// Age from which an unconfirmed configuration is too old to reject a route or a key by it, in
/// milliseconds: twice the longest interval between two reads while the store works.
const CONFIGURATION_FRESH_MS: u64 = 4_000;

/// `Retry-After` while this host lacks a sufficiently fresh configuration, in milliseconds.
const RETRY_AFTER_NO_DATA_MS: u64 = 400;

/// Lowest status code that counts as an error.
const ERROR_STATUS_MIN: u16 = 400;

/// Settings for requests that arrive while the process starts.
///
/// ```
/// use mgs_relay::relay::StartOptions;
///
/// let options = StartOptions::default();
/// assert!(options.wait_ms < options.phase_ms);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartOptions {
    /// How long a process counts as starting, in milliseconds; it has read the store or asked peers
    /// by then.
    pub phase_ms: u64,
    /// Longest wait of a request for a process that is starting, in milliseconds: the shortest time
    /// to an answer that is on time on the deployments, which a retry by the client would exceed.
    pub wait_ms: u64,
}

impl Default for StartOptions {
    fn default() -> Self {
        Self {
            phase_ms: 1_500,
            wait_ms: 250,
        }
    }
}

/// Logs and counts the outcome of a request; reports that the client left if dropped before an
/// outcome is known.
struct OutcomeLog {
    core: Rc<Core>,
    request_id: String,
    prompt_tokens: u64,
    size_tokens: u64,
    /// Fingerprint of the request, in hexadecimal digits; empty until the body is read.
    fingerprint: String,
    /// The route, once it is known.
    route: Option<Arc<Route>>,
    arrived: Instant,
    /// Time allowed for the request, in milliseconds; 0 until it is known.
    timeout_ms: u64,
    is_logged: bool,
}

impl OutcomeLog {
    fn log_outcome(&mut self, outcome: &str, status: u16, detail: &str) {
        self.is_logged = true;
        self.core.metrics.requests.inc(outcome);
        self.count_size(outcome, status);
        let route = self.route.as_deref();
        log::info!(
            request_id = self.request_id,
            work = self.fingerprint,
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

    /// Counts a prompt by its size, unless a stream has started, which is counted when it ends.
    fn count_size(&self, outcome: &str, status: u16) {
        let has_begun = outcome == "answered" && status < ERROR_STATUS_MIN;
        if self.prompt_tokens > 0 && !has_begun {
            let size = metrics::size_label(self.size_tokens);
            self.core.metrics.outcomes.inc([size, outcome]);
        }
    }
}

impl Drop for OutcomeLog {
    fn drop(&mut self) {
        if !self.is_logged {
            self.log_outcome("client_left", 0, "");
        }
    }
}

/// Handles one request; every outcome becomes a response.
pub(crate) async fn serve(
    core: Rc<Core>,
    client: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Result<ClientResponse, Infallible> {
    let open_request = OpenRequest::begin(&core);
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let client_request = match core.dialect.parse_request(&head) {
        Ok(client_request) => client_request,
        Err(malformed) => {
            log::info!(reason:% = malformed; "request head can't be parsed");
            core.metrics.requests.inc("refused");
            core.metrics.refusals.inc(Fault::Malformed.name());
            let refusal = Refusal::of(Fault::Malformed);
            let mut response = client_response::refusal(core.dialect.as_ref(), refusal, None);
            response.body_mut().keep_open(open_request, &client);
            return Ok(response);
        }
    };
    let mut outcome_log = OutcomeLog {
        core: core.clone(),
        request_id: client_request.request_id.clone(),
        prompt_tokens: client_request.prompt_tokens,
        size_tokens: client_request.size_tokens(),
        fingerprint: String::new(),
        route: None,
        arrived,
        timeout_ms: 0,
        is_logged: false,
    };
    let request_id = client_request.request_id.clone();
    client.begin_request(&request_id);
    let result = handle(
        &core,
        &client,
        client_request,
        head,
        body,
        &mut outcome_log,
        &open_request,
    )
    .await;
    let mut response = match result {
        Ok(response) => {
            outcome_log.log_outcome("answered", response.status().as_u16(), "");
            response
        }
        Err(refusal) => {
            let fault = refusal.fault;
            core.metrics.refusals.inc(fault.name());
            outcome_log.log_outcome("refused", fault.status().as_u16(), fault.name());
            client_response::refusal(core.dialect.as_ref(), refusal, Some(&request_id))
        }
    };
    if core.drain.phase() != Phase::Serving {
        client_response::close_after(&mut response);
    }
    response.body_mut().keep_open(open_request, &client);
    Ok(response)
}

/// Refuses a request since there is no memory for its connection.
pub(crate) async fn refuse(
    core: Rc<Core>,
    client: Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Result<ClientResponse, Infallible> {
    let open_request = OpenRequest::begin(&core);
    let (head, body) = request.into_parts();
    let most = core.published.client_limits().body_bytes;
    request_body::discard_in_background(&core, &head, body, most);
    let parsed = core.dialect.parse_request(&head).ok();
    let request_id = parsed.as_ref().map(|parsed| parsed.request_id.as_str());
    let refusal = request_body::no_memory();
    let fault = refusal.fault;
    core.metrics.requests.inc("refused");
    core.metrics.refusals.inc(fault.name());
    log::info!(
        request_id = request_id.unwrap_or(""),
        outcome = "refused",
        status = fault.status().as_u16(),
        detail = fault.name(),
        total_ms = 0;
        "request ended"
    );
    let mut response = client_response::refusal(core.dialect.as_ref(), refusal, request_id);
    client_response::close_after(&mut response);
    response.body_mut().keep_open(open_request, &client);
    Ok(response)
}

async fn handle(
    core: &Rc<Core>,
    client: &Rc<ClientConnection>,
    client_request: ClientRequest,
    head: request::Parts,
    body: Incoming,
    outcome_log: &mut OutcomeLog,
    open_request: &Rc<OpenRequest>,
) -> Result<ClientResponse, Refusal> {
    let arrived = outcome_log.arrived;
    if core.drain.phase() == Phase::Ending {
        return Err(Refusal::leaving());
    }
    let configuration = known_configuration(core)
        .await
        .ok_or_else(|| Refusal::after(Fault::NoConfiguration, RETRY_AFTER_NO_DATA_MS))?;
    let admitted = admit(core, &configuration, &client_request, &head)?;
    outcome_log.route = Some(admitted.route.clone());
    let timeout_ms = client_request
        .deadline_ms
        .map_or(admitted.route.timeout_ms, |d| {
            d.min(admitted.route.timeout_ms)
        });
    outcome_log.timeout_ms = timeout_ms;
    let deadline = arrived + Duration::from_millis(timeout_ms);
    let most = configuration.limits.body_bytes;
    let reading = request_body::read(core, client, &client_request, &head, body, most, deadline);
    let body = tokio::select! {
        body = reading => body?,
        () = core.drain.until_last_answers() => return Err(Refusal::leaving()),
    };
    check_stop(core, &admitted.route, deadline)?;
    let service = pick_service(core, &admitted.route);
    let model = configuration
        .services
        .get(&service)
        .and_then(|service| service.engine.clone());
    let fingerprint = fingerprint(&client_request, &head, &body, &admitted, &service);
    outcome_log.fingerprint = fingerprint.to_string();
    core.earn_retries(&service);
    let keys = CrashKeys::new(fingerprint, &service, &client_request.shared_parts);
    let mut dispatcher = Dispatcher {
        core: core.clone(),
        client: client.clone(),
        keys,
        client_request,
        head,
        body,
        route: admitted.route,
        organisation: admitted.organisation,
        service,
        model,
        arrived,
        deadline,
        progress: DispatchProgress::default(),
        confinement: Confinement::None,
    };
    let response = tokio::select! {
        response = timeout_at(deadline, dispatcher.run(None)) => Some(response),
        () = core.drain.until_last_answers() => None,
    };
    let response = match response {
        Some(Ok(response)) => response?,
        Some(Err(_)) => return Err(dispatcher.timed_out()),
        None => return Err(dispatcher.stopped()),
    };
    let took_ms = arrived.elapsed().as_secs_f64() * 1e3;
    let length = metrics::length_label(dispatcher.client_request.prompt_tokens);
    core.metrics.first_token_ms.observe(length, took_ms);
    Ok(into_response(core, dispatcher, response, open_request))
}

/// Refuses a request that must not run twice if its body has arrived so late in a stop that its
/// endpoint may be at work until the end: another host can still run it whole.
fn check_stop(core: &Core, route: &Route, deadline: Instant) -> Result<(), Refusal> {
    let longest = deadline.saturating_duration_since(Instant::now());
    match !route.kind.is_repeatable() && core.drain.may_abort(longest) {
        true => Err(Refusal::leaving()),
        false => Ok(()),
    }
}

/// Computes the fingerprint of a request. The caller is its organisation, whichever of its API keys
/// it uses.
fn fingerprint(
    client_request: &ClientRequest,
    head: &request::Parts,
    body: &Bytes,
    admitted: &Admitted,
    service: &str,
) -> Fingerprint {
    let organisation = admitted.organisation.as_ref();
    let caller = organisation.map_or("", |organisation| organisation.name.as_str());
    let target = head.uri.path_and_query();
    let identity = RequestIdentity {
        service,
        host: &client_request.host,
        method: head.method.as_str(),
        target: target.map_or("", PathAndQuery::as_str),
        caller,
        body,
    };
    identity.fingerprint()
}

/// The current configuration. A process that has just started waits a moment for it and for an
/// endpoint: when all hosts start at once, the balancer sends them requests before they are ready,
/// the endpoints are only being listed, and the store answers within a tenth of a second.
async fn known_configuration(core: &Core) -> Option<Arc<Configuration>> {
    let start = core.options.start;
    if core.published.now_ms() < start.phase_ms {
        let patience = Duration::from_millis(start.wait_ms);
        // Whether the configuration arrived or the wait timed out shows in the value returned
        // below; without an endpoint, the request is refused when it is placed.
        let _ = timeout(patience, core.published.until_usable()).await;
    }
    core.published.configuration()
}

fn into_response(
    core: &Rc<Core>,
    dispatcher: Dispatcher,
    response: UsableResponse,
    open_request: &Rc<OpenRequest>,
) -> ClientResponse {
    match response {
        UsableResponse::Full(whole) => {
            forwarded_response(core, &whole.head, ResponseBody::whole(whole.body))
        }
        UsableResponse::Stream(started) => {
            let head = started.head;
            let (forwarder, body) =
                StreamForwarder::new(dispatcher, started.stream, started.placed);
            // A shutdown waits until the outcome is recorded.
            let open_request = open_request.clone();
            tokio::task::spawn_local(async move {
                forwarder.run().await;
                drop(open_request);
            });
            forwarded_response(core, &head, body)
        }
    }
}

fn forwarded_response(core: &Core, head: &response::Parts, body: ResponseBody) -> ClientResponse {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = core.dialect.response_fields(&head.headers);
    response
}

struct Admitted {
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
}

/// Finds the route and the organisation. A missing one is a permanent error only if the
/// configuration is fresh, since a newer one may have it.
fn admit(
    core: &Core,
    configuration: &Configuration,
    client_request: &ClientRequest,
    head: &request::Parts,
) -> Result<Admitted, Refusal> {
    let Some(route) = configuration.route(&client_request.host, head.uri.path()) else {
        return Err(not_found(core, Fault::NoRoute));
    };
    let mut admitted = Admitted {
        route: route.clone(),
        organisation: None,
    };
    let key = client_request.api_key.as_deref();
    let known = key.and_then(|key| configuration.organisations.get(key));
    admitted.organisation = known.cloned();
    let needs_key = configuration.needs_keys && !route.is_public;
    if needs_key && known.is_none() {
        return Err(not_found(core, Fault::UnknownKey));
    }
    Ok(admitted)
}

fn not_found(core: &Core, fault: Fault) -> Refusal {
    let age_ms = core.published.configuration_age_ms();
    if age_ms.is_some_and(|age_ms| age_ms <= CONFIGURATION_FRESH_MS) {
        return Refusal::of(fault);
    }
    Refusal::after(Fault::StaleConfiguration, RETRY_AFTER_NO_DATA_MS)
}

/// Picks one of the route's services at random, by weight.
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
