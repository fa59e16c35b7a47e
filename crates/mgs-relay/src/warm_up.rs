//! Limits of cold endpoints: passes to `mgs-backpressure` which endpoints are cold, and acts on its
//! answers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use mgs_backpressure::table::CheckTime;
use mgs_backpressure::table::IncarnationHash;
use mgs_backpressure::warm_up::ColdEndpoint;
use mgs_backpressure::warm_up::ColdLimit;
use mgs_backpressure::warm_up::Permit;
use mgs_fleet::view::EndpointKey;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::advice::incarnation;
use crate::connection::Connection;
use crate::core::Core;
use crate::dialect::ClientRequest;
use crate::evacuation_state::Zones;
use crate::lost_run::PROBE_TIMEOUT;
use crate::view::Configuration;
use crate::view::Endpoint;
use crate::view::Fleet;
use crate::view::LiveSettings;
use crate::view::Published;

/// How many requests the endpoints of a service tolerate while they are cold.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServiceWarmUp {
    /// Requests per second, above 0.
    pub per_s: f64,
    /// How long an endpoint is cold after its start, in milliseconds.
    pub start_ms: u64,
}

/// By how much the limit of cold endpoints may be exceeded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Factor of the limit.
    pub overrun: f64,
    /// Requests on top of it.
    pub slack_requests: f64,
}

impl Default for Bounds {
    /// The limit itself.
    fn default() -> Self {
        Self {
            overrun: 1.0,
            slack_requests: 0.0,
        }
    }
}

/// When an endpoint was or will be cold by its entry in the store, on the process's clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdSigns {
    /// Until when it is cold by its entry, in milliseconds.
    pub entry_until_ms: u64,
    /// When its incarnation was first listed, if that was by a change, in milliseconds.
    pub listed_ms: Option<u64>,
}

/// Until when an endpoint is cold by the store and the operators, in milliseconds on the process's
/// clock.
fn cold_until_ms(endpoint: &Endpoint, zones: &Zones, warm_up: &ServiceWarmUp) -> u64 {
    let restored_ms = zones.restored_ms.get(&endpoint.facts.zone).copied();
    let starts_ms = endpoint.cold.listed_ms.into_iter().chain(restored_ms);
    let starts_ms = starts_ms.map(|at_ms| at_ms + warm_up.start_ms);
    starts_ms
        .max()
        .unwrap_or(0)
        .max(endpoint.cold.entry_until_ms)
}

/// What gateways tell a starting peer about cold endpoints.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct WarmUpSnapshot {
    /// Limits by service.
    services: Vec<(String, ServiceWarmUp)>,
    /// Cold endpoints with the time for which they stay cold, in milliseconds.
    cold: Vec<(String, u32)>,
}

impl WarmUpSnapshot {
    /// What this gateway knows; `None` if no service has a limit.
    pub(crate) fn of(published: &Published) -> Option<Self> {
        let configuration = published.configuration()?;
        let services = configuration.services.iter();
        let services = services.filter_map(|(name, s)| Some((name.clone(), s.warm_up?)));
        let services: Vec<(String, ServiceWarmUp)> = services.collect();
        if services.is_empty() {
            return None;
        }
        let now_ms = published.now_ms();
        let zones = published.evacuations().zones();
        let mut cold = Vec::new();
        for (name, warm_up) in &services {
            for endpoint in published.fleet().of_service(name) {
                let until_ms = cold_until_ms(endpoint, &zones, warm_up);
                if until_ms > now_ms {
                    let id = endpoint.facts.incarnation.id.clone();
                    cold.push((id, u32::try_from(until_ms - now_ms).unwrap_or(u32::MAX)));
                }
            }
        }
        Some(Self { services, cold })
    }

    /// Adds the limits to a configuration that was received without them.
    pub(crate) fn add_limits(&self, configuration: &mut Configuration) {
        for (name, warm_up) in &self.services {
            if let Some(service) = configuration.services.get_mut(name) {
                service.warm_up = Some(*warm_up);
            }
        }
    }

    /// Identifiers of cold endpoints and for how long they stay cold, in milliseconds.
    pub(crate) fn cold(&self) -> impl Iterator<Item = (&str, u64)> {
        self.cold.iter().map(|(id, ms)| (id.as_str(), (*ms).into()))
    }
}

/// State of the limits of cold endpoints outside of the table.
#[derive(Debug, Default)]
pub(crate) struct WarmUpState {
    /// What the cold endpoints were last derived from.
    inputs: RefCell<Option<Inputs>>,
    /// Whether probes of endpoints that ended are in flight.
    is_probing: Cell<bool>,
}

/// What the cold endpoints are derived from.
#[derive(Debug)]
struct Inputs {
    fleet: Arc<Fleet>,
    configuration: Arc<Configuration>,
    live_settings: Arc<LiveSettings>,
    zones: Arc<Zones>,
}

impl Inputs {
    fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.fleet, &other.fleet)
            && Arc::ptr_eq(&self.configuration, &other.configuration)
            && Arc::ptr_eq(&self.live_settings, &other.live_settings)
            && Arc::ptr_eq(&self.zones, &other.zones)
    }

    /// All endpoints with a limit.
    fn endpoints(&self, now_ms: f64, boot_ms: f64) -> Vec<ColdEndpoint> {
        let bounds = self.live_settings.warm_up;
        let mut endpoints = Vec::new();
        for (name, service) in &self.configuration.services {
            let Some(warm_up) = service.warm_up else {
                continue;
            };
            let limit = ColdLimit {
                requests_per_s: warm_up.per_s * bounds.overrun + bounds.slack_requests,
                start_ms: warm_up.start_ms as f64,
            };
            for endpoint in self.fleet.of_service(name) {
                let until_ms = cold_until_ms(endpoint, &self.zones, &warm_up);
                endpoints.push(ColdEndpoint {
                    incarnation: incarnation(endpoint),
                    identifier: xxh3_64(endpoint.facts.incarnation.id.as_bytes()),
                    limit,
                    // The process's clock stops while the host is suspended, so the end is never
                    // too early.
                    cold_until_ms: until_ms as f64 - now_ms + boot_ms,
                });
            }
        }
        endpoints
    }
}

impl Core {
    /// The time of a check of backpressure, with current knowledge of cold endpoints.
    pub(crate) fn check_time(&self) -> CheckTime {
        let time = CheckTime {
            now_ms: self.now_ms(),
            boot_ms: self.published.boot_ms(),
        };
        self.update_warm_up(time);
        time
    }

    /// Passes on which endpoints have a limit and who the gateways are, where that has changed.
    fn update_warm_up(&self, time: CheckTime) {
        let configuration = self.published.configuration();
        let Some(configuration) = configuration.filter(|c| c.has_warm_up_limits()) else {
            if self.warm_up.inputs.take().is_some() {
                let mut table = self.backpressure.borrow_mut();
                table.warm_up().set_endpoints(Vec::new(), time.boot_ms);
            }
            return;
        };
        let inputs = Inputs {
            fleet: self.published.fleet(),
            configuration,
            live_settings: self.published.live_settings(),
            zones: self.published.evacuations().zones(),
        };
        let mut table = self.backpressure.borrow_mut();
        let warm_up = table.warm_up();
        warm_up.set_gateways(self.published.gateway_list());
        let mut known = self.warm_up.inputs.borrow_mut();
        if known.as_ref().is_some_and(|known| known.is_same(&inputs)) {
            return;
        }
        let cold_before = warm_up.cold_endpoints(time.boot_ms);
        warm_up.set_endpoints(inputs.endpoints(time.now_ms, time.boot_ms), time.boot_ms);
        let cold = warm_up.cold_endpoints(time.boot_ms);
        for incarnation in cold.iter().filter(|cold| !cold_before.contains(cold)) {
            let cold_for_ms = warm_up.basis(*incarnation, time.boot_ms);
            let cold_for_ms = cold_for_ms.map_or(0.0, |basis| basis.cold_for_ms);
            let listed = inputs.fleet.by_key.values();
            let mut listed = listed.filter(|e| self::incarnation(e) == *incarnation);
            let id = listed.next().map_or("", |e| &e.facts.incarnation.id);
            log::info!(endpoint = id, cold_for_ms = cold_for_ms as u64; "an endpoint is cold");
        }
        *known = Some(inputs);
    }

    /// Keys of the cold endpoints with a limit.
    pub(crate) fn cold_endpoints(&self) -> HashSet<EndpointKey> {
        let time = self.check_time();
        let mut table = self.backpressure.borrow_mut();
        let cold = table.warm_up().cold_endpoints(time.boot_ms);
        if cold.is_empty() {
            return HashSet::new();
        }
        let by_hash = self.published.endpoint_keys_by_hash();
        let key = |incarnation: IncarnationHash| by_hash.get(&incarnation.0).copied();
        cold.into_iter().filter_map(key).collect()
    }

    /// Moves cold endpoints behind the others, which are then preferred among equally good ones.
    pub(crate) fn put_cold_last(&self, endpoints: &mut [Arc<Endpoint>]) {
        let cold = self.cold_endpoints();
        if !cold.is_empty() {
            endpoints.sort_by_key(|endpoint| cold.contains(&endpoint.key));
        }
    }

    /// Checks right before a request is sent, when its connection is open, whether its permit is
    /// still valid and its endpoint's zone isn't evacuated.
    pub(crate) fn confirm_send(
        &self,
        endpoint: &Endpoint,
        permit: Permit,
        client_request: &ClientRequest,
    ) -> bool {
        let zones = self.published.evacuations().zones();
        if zones.evacuated.contains(&endpoint.facts.zone) {
            return false;
        }
        let time = self.check_time();
        let mut table = self.backpressure.borrow_mut();
        if table.warm_up().is_empty() {
            return true;
        }
        let incarnation = incarnation(endpoint);
        let is_cold = table.warm_up().is_cold(incarnation, time.boot_ms);
        let may_send = table
            .warm_up()
            .confirm_send(incarnation, permit, time.boot_ms);
        drop(table);
        if is_cold || !may_send {
            let outcome = if may_send { "sent" } else { "expired" };
            self.metrics.cold_dispatches.inc(outcome);
            self.log_cold(endpoint, client_request, outcome, time);
        }
        may_send
    }

    /// Logs what was decided about a request to a cold endpoint, and by what.
    pub(crate) fn log_cold(
        &self,
        endpoint: &Endpoint,
        client_request: &ClientRequest,
        outcome: &str,
        time: CheckTime,
    ) {
        let mut table = self.backpressure.borrow_mut();
        let basis = table.warm_up().basis(incarnation(endpoint), time.boot_ms);
        let Some(basis) = basis else {
            return;
        };
        let age = |age_ms: Option<f64>| age_ms.map_or(-1, |age_ms| age_ms as i64);
        log::info!(
            request_id = client_request.request_id,
            endpoint = endpoint.facts.incarnation.id,
            outcome = outcome,
            cold_for_ms = basis.cold_for_ms as u64,
            quota = basis.quota,
            sent_in_window = basis.sent,
            rank = basis.rank,
            listed_gateways = basis.gateways,
            list_age_ms = age(basis.list_age_ms),
            entry_age_ms = age(basis.entry_age_ms),
            fleet_age_ms = self.published.fleet_age_ms().unwrap_or(u64::MAX);
            "request to a cold endpoint"
        );
    }

    /// Records that an endpoint's process has ended or refuses connections.
    pub(crate) fn record_end(&self, endpoint: &Endpoint) {
        let time = self.check_time();
        let mut table = self.backpressure.borrow_mut();
        if table
            .warm_up()
            .record_end(incarnation(endpoint), time.boot_ms)
        {
            log::info!(
                endpoint = endpoint.facts.incarnation.id;
                "an endpoint has ended and counts as cold"
            );
        }
    }

    /// Records that an endpoint that had ended accepts connections.
    fn record_listening(&self, endpoint: &Endpoint) {
        log::info!(
            endpoint = endpoint.facts.incarnation.id;
            "an endpoint that had ended listens again"
        );
        let time = self.check_time();
        let mut table = self.backpressure.borrow_mut();
        table
            .warm_up()
            .record_listening(incarnation(endpoint), time.boot_ms);
    }
}

/// Probes endpoints that had ended, unless earlier probes are in flight.
pub(crate) fn probe_ended_endpoints(core: &Rc<Core>) {
    let ended = core.backpressure.borrow_mut().warm_up().ended_endpoints();
    if !ended.is_empty() && !core.warm_up.is_probing.replace(true) {
        tokio::task::spawn_local(probe_all(core.clone(), ended));
    }
}

/// Finds out which endpoints that had ended listen again. A gateway without a right to send to cold
/// endpoints would otherwise never use them again. Nothing is sent.
async fn probe_all(core: Rc<Core>, ended: Vec<IncarnationHash>) {
    let fleet = core.published.fleet();
    let ended = |endpoint: &&Arc<Endpoint>| ended.contains(&incarnation(endpoint));
    for endpoint in fleet.by_key.values().filter(ended) {
        let opened = Connection::open(endpoint.facts.address, PROBE_TIMEOUT).await;
        if opened.is_ok() {
            core.record_listening(endpoint);
        }
    }
    core.warm_up.is_probing.set(false);
}
