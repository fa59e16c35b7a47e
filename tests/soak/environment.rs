//! The environment of a run: gateway processes, stand-ins for the store and the endpoints, and the faults of both.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use mgs_testing::proxy::Direction;
use mgs_testing::proxy::Faults;
use mgs_testing::proxy::Route;
use rustix::process::kill_process;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::json;
use serde_json::Value;

use crate::backpressure::EndpointArrival;
use crate::endpoint_traits::EndpointTraits;
use crate::history::Component;
use crate::history::Crash;
use crate::history::Drain;
use crate::history::Evacuation;
use crate::history::History;
use crate::history::ProcessLifetime;
use crate::host::ip;
use crate::host::Host;
use crate::host::GRACE_S;
use crate::plan::PathFault;
use crate::plan::Step;
use crate::standin::endpoint::Behaviour;
use crate::standin::endpoint::Endpoint;
use crate::standin::endpoint::Run;
use crate::standin::gateway::configuration;
use crate::standin::store::Mode;
use crate::standin::store::Store;

/// Number of gateways.
pub(crate) const GATEWAYS: usize = 3;

/// Number of endpoints: [`PLAIN_SERVICES`] plain services, then engines.
pub(crate) const ENDPOINTS: usize = 7;

/// Availability zones of the endpoints; the gateways are in the first one.
pub(crate) const ZONES: [&str; 2] = ["north", "south"];

/// Number of endpoints that are plain services.
pub(crate) const PLAIN_SERVICES: usize = 3;

/// Number of events of a complete stream.
pub(crate) const EVENTS: u32 = 15;

/// Start time of the first incarnations, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_790_000_000_000;

/// Time for which the store is unavailable before it is restored from an older copy.
const STORE_RESTORE_TIME: Duration = Duration::from_millis(150);

/// Time from the crash of an engine until it is replaced.
const ENGINE_REPLACE_DELAY: Duration = Duration::from_millis(1_500);

/// Delay of a slow path in each direction, in milliseconds; a response takes twice that.
const PATH_DELAY_MS: u64 = 250;

/// A fixed endpoint address behind a proxy, with the current incarnation and the previous ones.
struct EndpointSlot {
    path: Route,
    current: Endpoint,
    previous: Vec<Endpoint>,
    /// Whether its row says that it is draining.
    is_draining: bool,
    /// Start time of the current incarnation, in Unix milliseconds.
    started_ms: u64,
    /// Whether its row was removed from the store.
    is_row_removed: bool,
    /// When it was crashed by a request; `None` while it runs.
    crashed_at: Option<Instant>,
}

/// All processes and stand-ins of a run.
pub(crate) struct Environment {
    store: Store,
    hosts: Vec<Host>,
    slots: Vec<EndpointSlot>,
    configuration_version: u64,
    incarnations: u64,
    endpoint_traits: EndpointTraits,
    /// When the writes that the store lost in a rollback are repeated.
    rewrite_at: Option<Instant>,
    /// Whether one organisation sends more than usual.
    pub(crate) is_surging: Arc<AtomicBool>,
    pub(crate) history: History,
}

impl Environment {
    /// Starts all processes and stand-ins; settings and logs are written to `folder`.
    pub(crate) fn start(
        folder: &std::path::Path,
        port: u16,
        endpoint_traits: EndpointTraits,
    ) -> Self {
        let store = Store::start();
        store.send_era();
        let mut environment = Self {
            slots: Vec::new(),
            hosts: Vec::new(),
            configuration_version: 0,
            incarnations: 0,
            endpoint_traits,
            rewrite_at: None,
            is_surging: Arc::default(),
            history: History::default(),
            store,
        };
        environment.publish_configuration();
        for number in 0..ENDPOINTS {
            let current = environment.start_endpoint(number);
            let path = Route::start(current.address).expect("a proxy");
            environment.slots.push(EndpointSlot {
                path,
                current,
                previous: Vec::new(),
                is_draining: false,
                started_ms: FIRST_START_MS,
                is_row_removed: false,
                crashed_at: None,
            });
            environment.write_endpoint_row(number, "ready");
        }
        for number in 0..GATEWAYS {
            let host = Host {
                number,
                ip: ip(number),
                ports: [port, port + 1, port + 2, port + 3],
                settings: folder.join(format!("gateway-{number}.toml")),
                log: folder.join(format!("gateway-{number}.log")),
                has_shares: endpoint_traits.have_shares,
                store_path: Route::start(environment.store.address).expect("a proxy"),
                child: None,
                terminated_at: None,
            };
            host.write_settings();
            environment.hosts.push(host);
            environment.start_gateway(number);
        }
        environment
    }

    /// Addresses that clients connect to, one a gateway.
    pub(crate) fn client_addresses(&self) -> Vec<SocketAddr> {
        let address = |host: &Host| format!("{}:{}", host.ip, host.ports[0]);
        let addresses = self.hosts.iter().map(address);
        addresses
            .map(|text| text.parse().expect("an address"))
            .collect()
    }

    /// Waits until all gateways accept connections.
    pub(crate) fn wait_for_gateways(&self) {
        crate::common::wait_until("all gateways", || {
            let mut addresses = self.client_addresses().into_iter();
            addresses.all(|address| std::net::TcpStream::connect(address).is_ok())
        });
    }

    /// Requests that all incarnations of endpoints ran, with the identifiers of the endpoints.
    pub(crate) fn runs(&self) -> Vec<(String, Run)> {
        let runs_of = |endpoint: &Endpoint| {
            let id = endpoint.id.clone();
            let runs = endpoint.runs();
            runs.into_iter().map(move |run| (id.clone(), run))
        };
        let slots = self.slots.iter();
        let all = slots.flat_map(|slot| slot.previous.iter().chain([&slot.current]));
        all.flat_map(runs_of).collect()
    }

    /// Requests that arrived at all incarnations of endpoints.
    pub(crate) fn arrivals(&self) -> Vec<EndpointArrival> {
        let arrivals_of = |slot: usize, endpoint: &Endpoint| {
            let id = endpoint.id.clone();
            let incarnation_address = endpoint.address;
            endpoint
                .arrivals()
                .into_iter()
                .map(move |request| EndpointArrival {
                    slot,
                    id: id.clone(),
                    incarnation_address,
                    request,
                })
        };
        let mut all = Vec::new();
        for (number, slot) in self.slots.iter().enumerate() {
            for endpoint in slot.previous.iter().chain([&slot.current]) {
                all.extend(arrivals_of(number, endpoint));
            }
        }
        all
    }

    /// The newest version of the configuration.
    pub(crate) fn configuration_version(&self) -> u64 {
        self.configuration_version
    }

    /// Starts an incarnation of an endpoint, with an identifier of its own.
    fn start_endpoint(&mut self, number: usize) -> Endpoint {
        self.incarnations += 1;
        let id = format!("i-{number}-{}", self.incarnations);
        let service = match number < PLAIN_SERVICES {
            true => "desk",
            false => "model",
        };
        self.endpoint_traits.start_endpoint(&id, service, number)
    }

    /// Writes the row of an endpoint to the store, with this state.
    fn write_endpoint_row(&self, number: usize, state: &str) {
        let slot = &self.slots[number];
        let mut entry = slot.current.entry(state);
        entry["address"] = json!(slot.path.address().to_string());
        if self.endpoint_traits.has_two_zones {
            entry["zone"] = json!(ZONES[zone_of(number)]);
        }
        if self.endpoint_traits.reports_start_time {
            entry["born"] = json!(slot.started_ms);
        }
        self.store.put("servers", &slot.current.id, &entry);
    }

    /// Writes a new version of the configuration and records it.
    fn publish_configuration(&mut self) {
        self.configuration_version += 1;
        self.write_configuration();
        self.history
            .versions
            .push((self.configuration_version, Instant::now()));
    }

    fn write_configuration(&self) {
        let mut all: Value = configuration(self.configuration_version);
        // The name of the organisation tells which version a request was served under.
        all["tenants"][0]["name"] = json!(format!("nursery-{}", self.configuration_version));
        self.endpoint_traits.extend_configuration(&mut all);
        self.store.put("op", "config", &all);
    }

    /// Starts the process of a gateway unless it runs.
    fn start_gateway(&mut self, number: usize) {
        self.reap_gateway(number);
        let host = &mut self.hosts[number];
        if host.child.is_some() {
            return;
        }
        host.terminated_at = None;
        host.child = Some(host.spawn());
        self.history.process_lifetimes.push(ProcessLifetime {
            gateway: number,
            from: Instant::now(),
            until: None,
        });
        self.history.end_disruption(Component::Process(number));
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(child) = &self.hosts[number].child {
            // It may have ended, but its PID isn't reused before it is reaped.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Reaps a process that ended by itself, as one started with invalid settings does.
    fn reap_gateway(&mut self, number: usize) {
        let Some(child) = &mut self.hosts[number].child else {
            return;
        };
        if child.try_wait().expect("our own process").is_some() {
            self.hosts[number].child = None;
            self.record_process_end(number);
        }
    }

    /// Records the end of a process.
    fn record_process_end(&mut self, number: usize) {
        let open = self.history.process_lifetimes.iter_mut();
        for lifetime in
            open.filter(|lifetime| lifetime.gateway == number && lifetime.until.is_none())
        {
            lifetime.until = Some(Instant::now());
        }
    }

    fn kill_gateway(&mut self, number: usize) {
        self.history.begin_disruption(Component::Process(number));
        if let Some(mut child) = self.hosts[number].child.take() {
            child.kill().expect("our own process");
            child.wait().expect("our own process");
        }
        self.record_process_end(number);
    }

    fn terminate_gateway(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        if host.child.is_some() && host.terminated_at.is_none() {
            host.terminated_at = Some(Instant::now());
            self.history.begin_disruption(Component::Process(number));
            self.signal(number, Signal::TERM);
        }
    }

    /// Starts a gateway again. One that was terminated must have ended within its grace period.
    fn restart_gateway(&mut self, number: usize) {
        let Some(terminated_at) = self.hosts[number].terminated_at else {
            self.start_gateway(number);
            return;
        };
        let is_due = terminated_at.elapsed() >= Duration::from_secs(GRACE_S);
        let Some(child) = &mut self.hosts[number].child else {
            self.start_gateway(number);
            return;
        };
        match child.try_wait().expect("our own process") {
            Some(status) if status.success() => {}
            Some(status) => self.add_violation(format!("gateway {number} ended with {status}")),
            None if !is_due => return,
            None if self.was_paused_since(number, terminated_at) => {}
            None => self.add_violation(format!(
                "gateway {number} still runs after its grace period"
            )),
        }
        self.kill_gateway(number);
        self.start_gateway(number);
    }

    fn was_paused_since(&self, number: usize, since: Instant) -> bool {
        let mut disruptions = self.history.disruptions.iter();
        disruptions.any(|disruption| {
            disruption.component == Component::Process(number) && disruption.from > since
        })
    }

    fn add_violation(&mut self, text: String) {
        self.history.violations.push(text);
    }

    /// Applies one step of the plan.
    pub(crate) fn apply(&mut self, step: &Step) {
        match step {
            Step::BreakStorePath(number, fault) => {
                self.history.begin_disruption(Component::StorePath(*number));
                break_path(&self.hosts[*number].store_path, *fault);
            }
            Step::HealStorePath(number) => {
                heal_path(&self.hosts[*number].store_path);
                self.history.end_disruption(Component::StorePath(*number));
            }
            Step::SetStoreMode(mode) => {
                self.store.set_mode(*mode);
                match mode {
                    Mode::Up => self.history.end_disruption(Component::Store),
                    _ => self.history.begin_disruption(Component::Store),
                }
            }
            Step::DropStoreHistory => self.store.drop_history(),
            Step::BreakEndpointPath(number, fault) => {
                self.history
                    .begin_disruption(Component::EndpointPath(*number));
                break_path(&self.slots[*number].path, *fault);
            }
            Step::HealEndpointPath(number) => {
                self.history
                    .end_disruption(Component::EndpointPath(*number));
                let slot = &self.slots[*number];
                heal_path(&slot.path);
                // Nothing listens behind the proxy as long as the engine is down.
                let is_down = slot.crashed_at.is_some();
                slot.path.refuse(is_down).expect("a listener");
            }
            Step::SetEndpointBehaviour(number, behaviour) => {
                self.slots[*number].current.set_behaviour(behaviour.clone())
            }
            Step::ResetEndpointBehaviour(number) => {
                let default_behaviour = self.endpoint_traits.default_behaviour(*number);
                self.slots[*number].current.set_behaviour(default_behaviour);
            }
            Step::DrainEndpoint(number) => {
                self.write_endpoint_row(*number, "draining");
                self.slots[*number].is_draining = true;
                let id = self.slots[*number].current.id.clone();
                let at = Instant::now();
                self.history.drains.push(Drain { id, at });
            }
            Step::SetEndpointHeaders(number, headers) => {
                self.slots[*number].current.set_extra_headers(headers)
            }
            Step::RollBackStore(age_ms, rewrite_after_ms) => {
                self.history.begin_disruption(Component::Store);
                self.store.set_mode(Mode::Unavailable);
                std::thread::sleep(STORE_RESTORE_TIME);
                self.store.roll_back_by(Duration::from_millis(*age_ms));
                self.store.set_mode(Mode::Up);
                let after = Duration::from_millis(*rewrite_after_ms);
                self.rewrite_at = Some(Instant::now() + after);
            }
            Step::RemoveEndpointRow(number) => {
                self.slots[*number].is_row_removed = true;
                self.store
                    .remove("servers", &self.slots[*number].current.id);
            }
            Step::ReplaceEndpoint(number) => self.replace_endpoint(*number),
            Step::RemoveStaleRows(number) => self.remove_stale_rows(*number),
            Step::RestartEndpoint(number) => self.restart_endpoint(*number),
            Step::RewriteEndpointRow(number) => self.rewrite_endpoint_row(*number),
            Step::CorruptEndpointRow(number) => {
                let id = &self.slots[*number].current.id;
                self.store.put_text("servers", id, "{\"state\": 7");
            }
            Step::PauseGateway(number) => {
                self.history.begin_disruption(Component::Process(*number));
                self.signal(*number, Signal::STOP);
            }
            Step::ResumeGateway(number) => {
                self.signal(*number, Signal::CONT);
                let host = &self.hosts[*number];
                if host.child.is_some() && host.terminated_at.is_none() {
                    self.history.end_disruption(Component::Process(*number));
                }
            }
            Step::KillGateway(number) => self.kill_gateway(*number),
            Step::TerminateGateway(number) => self.terminate_gateway(*number),
            Step::StartGateway(number) => self.restart_gateway(*number),
            Step::HangUpGateway(number) => self.signal(*number, Signal::HUP),
            Step::CorruptSettings(number) => {
                let path = &self.hosts[*number].settings;
                std::fs::write(path, "zone = 7\n[listen").expect("a temporary file");
            }
            Step::RestoreSettings(number) => self.hosts[*number].write_settings(),
            Step::PublishConfiguration => self.publish_configuration(),
            Step::EvacuateZone(zone) => self.evacuate_zone(*zone),
            Step::RestoreZone(zone) => self.restore_zone(*zone),
            Step::RestartColdEndpoint(number) => {
                // The row says so before requests can reach the new process.
                self.restart_endpoint(*number);
                self.rewrite_endpoint_row(*number);
            }
            Step::BeginSurge => {
                for number in PLAIN_SERVICES..ENDPOINTS {
                    self.slots[number].current.set_behaviour(Behaviour::Hang);
                }
                self.is_surging.store(true, Ordering::Relaxed);
                self.history.begin_surge();
            }
            Step::EndSurge => {
                self.is_surging.store(false, Ordering::Relaxed);
                for number in PLAIN_SERVICES..ENDPOINTS {
                    self.apply(&Step::ResetEndpointBehaviour(number));
                }
                self.history.end_surge();
            }
        }
    }

    /// Orders the evacuation of a zone, unless it is evacuated already.
    fn evacuate_zone(&mut self, zone: usize) {
        if self.is_evacuated(zone) {
            return;
        }
        self.write_zone_row(zone, true);
        self.history.evacuations.push(Evacuation {
            zone,
            from: Instant::now(),
            until: None,
        });
    }

    /// Withdraws the order for a zone.
    fn restore_zone(&mut self, zone: usize) {
        let evacuations = self.history.evacuations.iter_mut();
        for evacuation in evacuations.filter(|e| e.zone == zone && e.until.is_none()) {
            evacuation.until = Some(Instant::now());
        }
        self.write_zone_row(zone, false);
    }

    fn is_evacuated(&self, zone: usize) -> bool {
        let mut evacuations = self.history.evacuations.iter();
        evacuations.any(|evacuation| evacuation.zone == zone && evacuation.until.is_none())
    }

    fn write_zone_row(&self, zone: usize, is_evacuated: bool) {
        let key = format!("evacuate/{}", ZONES[zone]);
        match is_evacuated {
            true => self.store.put("op", &key, &json!({})),
            false => self.store.remove("op", &key),
        }
    }

    /// Repeats the writes of operators and endpoints that the store lost, once they are due.
    pub(crate) fn rewrite_lost_writes(&mut self) {
        if self.rewrite_at.is_none_or(|at| Instant::now() < at) {
            return;
        }
        self.rewrite_at = None;
        self.write_configuration();
        if self.endpoint_traits.has_two_zones {
            for zone in 0..ZONES.len() {
                self.write_zone_row(zone, self.is_evacuated(zone));
            }
        }
        for number in 0..ENDPOINTS {
            let slot = &self.slots[number];
            match (slot.is_row_removed, slot.is_draining) {
                (true, _) => self.store.remove("servers", &slot.current.id),
                (false, true) => self.write_endpoint_row(number, "draining"),
                (false, false) => self.write_endpoint_row(number, "ready"),
            }
            self.remove_stale_rows(number);
        }
        self.history.end_disruption(Component::Store);
    }

    /// Records engines that were crashed by a request, and replaces them after [`ENGINE_REPLACE_DELAY`].
    pub(crate) fn replace_crashed_engines(&mut self) {
        for number in 0..ENDPOINTS {
            let slot = &mut self.slots[number];
            let Some(crashed_at) = slot.crashed_at else {
                if slot.current.has_terminated() {
                    slot.path.refuse(true).expect("a listener");
                    slot.path.cut();
                    slot.crashed_at = Some(Instant::now());
                    self.history.crashes.push(Crash {
                        id: slot.current.id.clone(),
                        slot: number,
                        at: Instant::now(),
                    });
                }
                continue;
            };
            if crashed_at.elapsed() > ENGINE_REPLACE_DELAY {
                let id = slot.current.id.clone();
                heal_path(&slot.path);
                self.store.remove("servers", &id);
                self.replace_endpoint(number);
            }
        }
    }

    /// Starts another incarnation of an endpoint and writes its row; the row of the previous one stays.
    fn replace_endpoint(&mut self, number: usize) {
        let next = self.start_endpoint(number);
        let slot = &mut self.slots[number];
        slot.path.set_target(next.address);
        let previous = std::mem::replace(&mut slot.current, next);
        slot.previous.push(previous);
        slot.is_draining = false;
        slot.is_row_removed = false;
        slot.started_ms += 1;
        slot.crashed_at = None;
        self.write_endpoint_row(number, "ready");
    }

    /// Crashes an endpoint and starts it under the same identifier, unless it is draining.
    fn restart_endpoint(&mut self, number: usize) {
        let slot = &mut self.slots[number];
        if slot.is_draining {
            return;
        }
        let current = &slot.current;
        let (id, service) = (&current.id, &current.service);
        let next = self.endpoint_traits.start_endpoint(id, service, number);
        let restart = (next.address, Instant::now());
        self.history.cold_restarts.push(restart);
        if slot.crashed_at.take().is_some() {
            heal_path(&slot.path);
        }
        slot.path.cut();
        slot.path.set_target(next.address);
        let previous = std::mem::replace(&mut slot.current, next);
        slot.previous.push(previous);
        slot.started_ms += 1;
    }

    /// Writes the row of an endpoint again, unless it is draining.
    fn rewrite_endpoint_row(&self, number: usize) {
        if !self.slots[number].is_draining {
            self.write_endpoint_row(number, "ready");
        }
    }

    /// Removes the rows of previous incarnations, as the store does with rows that nobody renews.
    fn remove_stale_rows(&mut self, number: usize) {
        let slot = &self.slots[number];
        for previous in slot
            .previous
            .iter()
            .filter(|previous| previous.id != slot.current.id)
        {
            self.store.remove("servers", &previous.id);
        }
    }

    /// Repairs all faults.
    pub(crate) fn repair_all(&mut self) {
        self.apply(&Step::SetStoreMode(Mode::Up));
        if self.rewrite_at.is_some() {
            self.rewrite_at = Some(Instant::now());
            self.rewrite_lost_writes();
        }
        for zone in 0..ZONES.len() {
            if self.is_evacuated(zone) {
                self.restore_zone(zone);
            }
        }
        for number in 0..ENDPOINTS {
            heal_path(&self.slots[number].path);
            self.apply(&Step::ResetEndpointBehaviour(number));
            self.apply(&Step::SetEndpointHeaders(number, String::new()));
            self.history.end_disruption(Component::EndpointPath(number));
            let slot = &self.slots[number];
            match slot.is_draining || slot.crashed_at.is_some() {
                true => self.replace_endpoint(number),
                false if self.endpoint_traits.reports_start_time => {
                    self.write_endpoint_row(number, "ready")
                }
                false => {}
            }
            self.remove_stale_rows(number);
        }
        for number in 0..GATEWAYS {
            self.hosts[number].write_settings();
            self.apply(&Step::HealStorePath(number));
            self.apply(&Step::ResumeGateway(number));
            if self.hosts[number].terminated_at.is_some() {
                self.kill_gateway(number);
            }
            self.start_gateway(number);
            self.history.end_disruption(Component::Process(number));
        }
    }
}

/// Zone of an endpoint slot, if the endpoints are in both zones.
pub(crate) fn zone_of(number: usize) -> usize {
    number % ZONES.len()
}

/// Injects a fault into a path.
fn break_path(path: &Route, fault: PathFault) {
    match fault {
        PathFault::Delayed => path.set_all(Faults::delayed(PATH_DELAY_MS)),
        PathFault::Refused => path.refuse(true).expect("a listener"),
        PathFault::Cut => {
            path.cut();
        }
        PathFault::Silent => path.set_all(Faults::silent()),
        PathFault::SilentOneWay => path.set_all(Faults::silent_towards(Direction::ToCaller)),
        PathFault::OpenConnectionsSilent => path.set_existing(Faults::silent()),
        PathFault::RepliesLost => path.set_all(Faults::reply_lost()),
    }
}

/// Makes new connections work again. Silent ones stay silent, like those whose state a middlebox has lost.
fn heal_path(path: &Route) {
    path.set_new(Faults::default());
    path.refuse(false).expect("a listener");
}
