//! The gateways as processes, the outside systems as stand-ins, and what goes wrong with them.

use std::net::SocketAddr;
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

use crate::asked::Came;
use crate::history::Crash;
use crate::history::History;
use crate::history::Leave;
use crate::history::Life;
use crate::history::What;
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

/// Gateways.
pub(crate) const GATEWAYS: usize = 3;

/// Endpoints: plain ones, then engines.
pub(crate) const ENDPOINTS: usize = 7;

const PLAIN_ENDPOINTS: usize = 3;

/// Events of a stream.
pub(crate) const EVENTS: u32 = 15;

/// When the first incarnations started, in Unix milliseconds.
const BORN_MS: u64 = 1_790_000_000_000;

/// Time for which the store is away before it comes back from an older copy.
const AWAY_FOR_A_MOMENT: Duration = Duration::from_millis(150);

/// Time for which an engine is away after a deadly request.
const AWAY: Duration = Duration::from_millis(1_500);

/// Delay of a slow path, in milliseconds: an answer takes twice that.
const SLOW_MS: u64 = 250;

/// What kind of endpoints there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Nature {
    /// They tell when they started.
    pub(crate) tells_starts: bool,
    /// Engines end when they begin with a deadly request.
    pub(crate) is_mortal: bool,
}

struct Place {
    path: Route,
    present: Endpoint,
    past: Vec<Endpoint>,
    /// Whether it has said that it leaves.
    is_leaving: bool,
    /// When its process started, in Unix milliseconds.
    born_ms: u64,
    /// Whether its entry has gone.
    is_gone: bool,
    /// When a deadly request ended it, if it isn't back yet.
    crashed: Option<Instant>,
}

/// All of it.
pub(crate) struct World {
    store: Store,
    hosts: Vec<Host>,
    places: Vec<Place>,
    version: u64,
    incarnations: u64,
    nature: Nature,
    /// When what the store has lost is written again.
    write_again_at: Option<Instant>,
    pub(crate) history: History,
}

impl World {
    /// Starts everything; files go below `folder`.
    pub(crate) fn start(folder: &std::path::Path, port: u16, nature: Nature) -> Self {
        let store = Store::start();
        store.send_era();
        let mut world = Self {
            places: Vec::new(),
            hosts: Vec::new(),
            version: 0,
            incarnations: 0,
            nature,
            write_again_at: None,
            history: History::default(),
            store,
        };
        world.configure();
        for number in 0..ENDPOINTS {
            let present = world.endpoint(number);
            let path = Route::start(present.address).expect("a proxy");
            world.places.push(Place {
                path,
                present,
                past: Vec::new(),
                is_leaving: false,
                born_ms: BORN_MS,
                is_gone: false,
                crashed: None,
            });
            world.list(number, "ready");
        }
        for number in 0..GATEWAYS {
            let host = Host {
                number,
                ip: ip(number),
                ports: [port, port + 1, port + 2, port + 3],
                settings: folder.join(format!("gateway-{number}.toml")),
                log: folder.join(format!("gateway-{number}.log")),
                store_path: Route::start(world.store.address).expect("a proxy"),
                child: None,
                terminated: None,
            };
            host.write_settings();
            world.hosts.push(host);
            world.launch(number);
        }
        world
    }

    /// Where clients connect.
    pub(crate) fn client_addresses(&self) -> Vec<SocketAddr> {
        let address = |host: &Host| format!("{}:{}", host.ip, host.ports[0]);
        let addresses = self.hosts.iter().map(address);
        addresses
            .map(|text| text.parse().expect("an address"))
            .collect()
    }

    /// Waits until all take connections.
    pub(crate) fn wait_for_all(&self) {
        crate::common::wait_until("all gateways", || {
            let mut addresses = self.client_addresses().into_iter();
            addresses.all(|address| std::net::TcpStream::connect(address).is_ok())
        });
    }

    /// What all incarnations of endpoints ran, with their identifiers.
    pub(crate) fn runs(&self) -> Vec<(String, Run)> {
        let of = |endpoint: &Endpoint| {
            let id = endpoint.id.clone();
            let runs = endpoint.runs();
            runs.into_iter().map(move |run| (id.clone(), run))
        };
        let places = self.places.iter();
        let all = places.flat_map(|place| place.past.iter().chain([&place.present]));
        all.flat_map(of).collect()
    }

    /// What came to all incarnations of endpoints.
    pub(crate) fn came(&self) -> Vec<Came> {
        let of = |place: usize, endpoint: &Endpoint| {
            let id = endpoint.id.clone();
            let life = endpoint.address;
            endpoint.arrivals().into_iter().map(move |arrival| Came {
                place,
                id: id.clone(),
                life,
                arrival,
            })
        };
        let mut all = Vec::new();
        for (number, place) in self.places.iter().enumerate() {
            for endpoint in place.past.iter().chain([&place.present]) {
                all.extend(of(number, endpoint));
            }
        }
        all
    }

    /// The newest version of the configuration.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    fn endpoint(&mut self, number: usize) -> Endpoint {
        self.incarnations += 1;
        let id = format!("i-{number}-{}", self.incarnations);
        let service = match number < PLAIN_ENDPOINTS {
            true => "desk",
            false => "model",
        };
        Endpoint::start(&id, service, &[self.nature.well(number)])
    }

    fn list(&self, number: usize, state: &str) {
        let place = &self.places[number];
        let mut entry = place.present.entry(state);
        entry["address"] = json!(place.path.address().to_string());
        if self.nature.tells_starts {
            entry["born"] = json!(place.born_ms);
        }
        self.store.put("servers", &place.present.id, &entry);
    }

    fn configure(&mut self) {
        self.version += 1;
        self.write_configuration();
        self.history.versions.push((self.version, Instant::now()));
    }

    fn write_configuration(&self) {
        let mut all: Value = configuration(self.version);
        // The organisation's name tells which version was in force.
        all["tenants"][0]["name"] = json!(format!("nursery-{}", self.version));
        self.store.put("op", "config", &all);
    }

    fn launch(&mut self, number: usize) {
        self.note_end(number);
        let host = &mut self.hosts[number];
        if host.child.is_some() {
            return;
        }
        host.terminated = None;
        host.child = Some(host.spawn());
        self.history.lives.push(Life {
            gateway: number,
            from: Instant::now(),
            until: None,
        });
        self.history.ends(What::Process(number));
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(child) = &self.hosts[number].child {
            // It may have ended, but its number is ours until it is waited for.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// A process that ended by itself, as one that was started with spoiled settings does.
    fn note_end(&mut self, number: usize) {
        let Some(child) = &mut self.hosts[number].child else {
            return;
        };
        if child.try_wait().expect("our own process").is_some() {
            self.hosts[number].child = None;
            self.buried(number);
        }
    }

    /// Takes note of the end of a process.
    fn buried(&mut self, number: usize) {
        let open = self.history.lives.iter_mut();
        for life in open.filter(|life| life.gateway == number && life.until.is_none()) {
            life.until = Some(Instant::now());
        }
    }

    fn kill(&mut self, number: usize) {
        self.history.upset(What::Process(number));
        if let Some(mut child) = self.hosts[number].child.take() {
            child.kill().expect("our own process");
            child.wait().expect("our own process");
        }
        self.buried(number);
    }

    fn terminate(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        if host.child.is_some() && host.terminated.is_none() {
            host.terminated = Some(Instant::now());
            self.history.upset(What::Process(number));
            self.signal(number, Signal::TERM);
        }
    }

    /// Starts a process again; one that was told to end must have done so.
    fn start_again(&mut self, number: usize) {
        let Some(terminated) = self.hosts[number].terminated else {
            self.launch(number);
            return;
        };
        let is_due = terminated.elapsed() >= Duration::from_secs(GRACE_S);
        let Some(child) = &mut self.hosts[number].child else {
            self.launch(number);
            return;
        };
        match child.try_wait().expect("our own process") {
            Some(status) if status.success() => {}
            Some(status) => self.violation(format!("gateway {number} ended with {status}")),
            None if !is_due => return,
            None if self.was_paused_since(number, terminated) => {}
            None => self.violation(format!("gateway {number} lives on after its grace")),
        }
        self.kill(number);
        self.launch(number);
    }

    fn was_paused_since(&self, number: usize, since: Instant) -> bool {
        let mut upsets = self.history.upsets.iter();
        upsets.any(|upset| upset.what == What::Process(number) && upset.from > since)
    }

    fn violation(&mut self, text: String) {
        self.history.violations.push(text);
    }

    /// Does one step.
    pub(crate) fn apply(&mut self, step: &Step) {
        match step {
            Step::StorePath(number, fault) => {
                self.history.upset(What::StorePath(*number));
                harm(&self.hosts[*number].store_path, *fault);
            }
            Step::StorePathHealed(number) => {
                heal(&self.hosts[*number].store_path);
                self.history.ends(What::StorePath(*number));
            }
            Step::StoreMode(mode) => {
                self.store.set_mode(*mode);
                match mode {
                    Mode::Up => self.history.ends(What::Store),
                    _ => self.history.upset(What::Store),
                }
            }
            Step::HistoryDropped => self.store.drop_history(),
            Step::EndpointPath(number, fault) => {
                self.history.upset(What::EndpointPath(*number));
                harm(&self.places[*number].path, *fault);
            }
            Step::EndpointPathHealed(number) => {
                self.history.ends(What::EndpointPath(*number));
                let place = &self.places[*number];
                heal(&place.path);
                // Nobody listens behind it as long as the engine is away.
                let is_away = place.crashed.is_some();
                place.path.refuse(is_away).expect("a listener");
            }
            Step::EndpointActs(number, act) => {
                self.places[*number].present.set_behaviour(act.clone())
            }
            Step::EndpointWell(number) => {
                let well = self.nature.well(*number);
                self.places[*number].present.set_behaviour(well);
            }
            Step::EndpointLeaves(number) => {
                self.list(*number, "draining");
                self.places[*number].is_leaving = true;
                let id = self.places[*number].present.id.clone();
                let at = Instant::now();
                self.history.leaves.push(Leave { id, at });
            }
            Step::EndpointSays(number, says) => {
                self.places[*number].present.set_extra_headers(says)
            }
            Step::StoreRolledBack(age_ms, write_again_ms) => {
                self.history.upset(What::Store);
                self.store.set_mode(Mode::Unavailable);
                std::thread::sleep(AWAY_FOR_A_MOMENT);
                self.store.roll_back_by(Duration::from_millis(*age_ms));
                self.store.set_mode(Mode::Up);
                let after = Duration::from_millis(*write_again_ms);
                self.write_again_at = Some(Instant::now() + after);
            }
            Step::EndpointGone(number) => {
                self.places[*number].is_gone = true;
                self.store
                    .remove("servers", &self.places[*number].present.id);
            }
            Step::EndpointBack(number) => self.bring_back(*number),
            Step::EndpointLapsed(number) => self.lapse(*number),
            Step::EndpointStartsAgain(number) => self.start_under_its_id(*number),
            Step::EndpointListed(number) => self.list_again(*number),
            Step::EndpointRowSpoilt(number) => {
                let id = &self.places[*number].present.id;
                self.store.put_text("servers", id, "{\"state\": 7");
            }
            Step::Paused(number) => {
                self.history.upset(What::Process(*number));
                self.signal(*number, Signal::STOP);
            }
            Step::Continued(number) => {
                self.signal(*number, Signal::CONT);
                let host = &self.hosts[*number];
                if host.child.is_some() && host.terminated.is_none() {
                    self.history.ends(What::Process(*number));
                }
            }
            Step::Killed(number) => self.kill(*number),
            Step::Terminated(number) => self.terminate(*number),
            Step::Started(number) => self.start_again(*number),
            Step::HungUp(number) => self.signal(*number, Signal::HUP),
            Step::SettingsSpoiled(number) => {
                let path = &self.hosts[*number].settings;
                std::fs::write(path, "zone = 7\n[listen").expect("a temporary file");
            }
            Step::SettingsMended(number) => self.hosts[*number].write_settings(),
            Step::Configured => self.configure(),
        }
    }

    /// The operators and the endpoints write again what the store has lost.
    pub(crate) fn write_again(&mut self) {
        if self.write_again_at.is_none_or(|at| Instant::now() < at) {
            return;
        }
        self.write_again_at = None;
        self.write_configuration();
        for number in 0..ENDPOINTS {
            let place = &self.places[number];
            match (place.is_gone, place.is_leaving) {
                (true, _) => self.store.remove("servers", &place.present.id),
                (false, true) => self.list(number, "draining"),
                (false, false) => self.list(number, "ready"),
            }
            self.lapse(number);
        }
        self.history.ends(What::Store);
    }

    /// Takes note of engines that a deadly request has ended, and starts others in their places some time later.
    pub(crate) fn tend_crashed(&mut self) {
        for number in 0..ENDPOINTS {
            let place = &mut self.places[number];
            let Some(crashed) = place.crashed else {
                if place.present.has_terminated() {
                    place.path.refuse(true).expect("a listener");
                    place.path.cut();
                    place.crashed = Some(Instant::now());
                    self.history.crashes.push(Crash {
                        id: place.present.id.clone(),
                        place: number,
                        at: Instant::now(),
                    });
                }
                continue;
            };
            if crashed.elapsed() > AWAY {
                let id = place.present.id.clone();
                heal(&place.path);
                self.store.remove("servers", &id);
                self.bring_back(number);
            }
        }
    }

    fn bring_back(&mut self, number: usize) {
        let next = self.endpoint(number);
        let place = &mut self.places[number];
        place.path.set_target(next.address);
        let past = std::mem::replace(&mut place.present, next);
        place.past.push(past);
        place.is_leaving = false;
        place.is_gone = false;
        place.born_ms += 1;
        place.crashed = None;
        self.list(number, "ready");
    }

    /// A crash and another start under the same identifier; one that leaves stays away.
    fn start_under_its_id(&mut self, number: usize) {
        let place = &mut self.places[number];
        if place.is_leaving {
            return;
        }
        let present = &place.present;
        let next = Endpoint::start(&present.id, &present.service, &[self.nature.well(number)]);
        if place.crashed.take().is_some() {
            heal(&place.path);
        }
        place.path.cut();
        place.path.set_target(next.address);
        let past = std::mem::replace(&mut place.present, next);
        place.past.push(past);
        place.born_ms += 1;
    }

    fn list_again(&self, number: usize) {
        if !self.places[number].is_leaving {
            self.list(number, "ready");
        }
    }

    /// The entries of incarnations that are gone are removed, as nobody renews them.
    fn lapse(&mut self, number: usize) {
        let place = &self.places[number];
        for past in place.past.iter().filter(|past| past.id != place.present.id) {
            self.store.remove("servers", &past.id);
        }
    }

    /// Ends all disturbances.
    pub(crate) fn heal_all(&mut self) {
        self.apply(&Step::StoreMode(Mode::Up));
        if self.write_again_at.is_some() {
            self.write_again_at = Some(Instant::now());
            self.write_again();
        }
        for number in 0..ENDPOINTS {
            heal(&self.places[number].path);
            self.apply(&Step::EndpointWell(number));
            self.apply(&Step::EndpointSays(number, String::new()));
            self.history.ends(What::EndpointPath(number));
            let place = &self.places[number];
            match place.is_leaving || place.crashed.is_some() {
                true => self.bring_back(number),
                false if self.nature.tells_starts => self.list(number, "ready"),
                false => {}
            }
            self.lapse(number);
        }
        for number in 0..GATEWAYS {
            self.hosts[number].write_settings();
            self.apply(&Step::StorePathHealed(number));
            self.apply(&Step::Continued(number));
            if self.hosts[number].terminated.is_some() {
                self.kill(number);
            }
            self.launch(number);
            self.history.ends(What::Process(number));
        }
    }
}

impl Nature {
    /// What an endpoint does when all is well.
    fn well(self, number: usize) -> Behaviour {
        match number < PLAIN_ENDPOINTS {
            true => Behaviour::AnswerAfter(15),
            false if self.is_mortal => Behaviour::Crash(EVENTS),
            false => Behaviour::Stream(EVENTS),
        }
    }
}

fn harm(path: &Route, fault: PathFault) {
    match fault {
        PathFault::Delayed => path.set_all(Faults::delayed(SLOW_MS)),
        PathFault::Refused => path.refuse(true).expect("a listener"),
        PathFault::Cut => {
            path.cut();
        }
        PathFault::Silent => path.set_all(Faults::silent()),
        PathFault::SilentOneWay => path.set_all(Faults::silent_towards(Direction::ToCaller)),
        PathFault::Forgotten => path.set_existing(Faults::silent()),
        PathFault::RepliesLost => path.set_all(Faults::reply_lost()),
    }
}

/// New connections work again; those that had fallen silent stay so, as nobody on the way remembers them.
fn heal(path: &Route) {
    path.set_new(Faults::default());
    path.refuse(false).expect("a listener");
}
