//! Bringing faults about, and lifting them.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use mgs_platform::host::Host;
use mgs_platform::host::State;
use mgs_settings::row::RowValue;

use crate::chaos::schedule::Fault;
use crate::chaos::schedule::FaultKind;
use crate::cluster::Cluster;
use crate::cluster::Endpoint;
use crate::cluster::Error;
use crate::cluster::Member;
use crate::history;
use crate::history::Event;
use crate::history::Recorder;
use crate::history::PLATFORM;
use crate::proxy::Direction;
use crate::proxy::Faults;
use crate::proxy::Route;

/// Limit for a process to listen again, on a busy machine, in milliseconds.
const START_LIMIT_MS: u64 = 60_000;

/// Limit for a graceful stop, in milliseconds: more than any request is allotted.
const STOP_LIMIT_MS: u64 = 60_000;

/// Most bytes that still pass before a reset.
const CUT_BYTES_MAX: u64 = 4_000;

/// Most replies that are lost at once.
const LOST_REPLIES_MAX: u64 = 8;

/// Delays of a slow path and a slow platform, in milliseconds.
const SLOW_MS: u64 = 200;
const STORE_SLOW_MS: u64 = 600;

/// Brings faults about in a system and notes them.
pub(super) struct Injector<'a> {
    cluster: &'a Cluster,
    recorder: &'a Recorder,
    leaving_hosts: Mutex<BTreeSet<usize>>,
    /// Places that are asked to stop: a second signal would cut their work off.
    stopping: Mutex<BTreeSet<String>>,
    /// Edits are made one at a time.
    edits: Mutex<u64>,
    failures: Mutex<Vec<String>>,
}

impl<'a> Injector<'a> {
    pub(super) fn new(cluster: &'a Cluster, recorder: &'a Recorder) -> Self {
        let injector = Self {
            cluster,
            recorder,
            leaving_hosts: Mutex::default(),
            stopping: Mutex::default(),
            edits: Mutex::new(0),
            failures: Mutex::default(),
        };
        injector.publish_hosts();
        injector
    }

    /// What could not be done, for people.
    pub(super) fn failures(&self) -> Vec<String> {
        locked(&self.failures).clone()
    }

    /// Brings a fault about, waits, and lifts it.
    pub(super) fn inject(&self, fault: &Fault) {
        if let Err(error) = self.try_inject(fault) {
            let text = format!("{} {}: {error}", fault.kind.name(), fault.place);
            locked(&self.failures).push(text);
        }
    }

    fn try_inject(&self, fault: &Fault) -> Result<(), Error> {
        match fault.kind {
            FaultKind::KillGateway => self.kill(fault, self.gateway(fault)),
            FaultKind::KillSidecar => self.kill(fault, &self.endpoint(fault).sidecar),
            FaultKind::PauseGateway => self.pause(fault, self.gateway(fault)),
            FaultKind::PauseSidecar => self.pause(fault, &self.endpoint(fault).sidecar),
            FaultKind::StopGateway => self.stop(self.gateway(fault), None, fault),
            FaultKind::StopSidecar => self.stop_sidecar(fault),
            FaultKind::StopEndpoint => self.stop_endpoint(fault),
            FaultKind::HostLeaves => self.leave(fault),
            FaultKind::StoreDown | FaultKind::StoreSlow | FaultKind::StoreReplyLost => {
                self.disturb_store(fault);
                Ok(())
            }
            FaultKind::StoreUnreachable => self.cut_off_store(fault),
            FaultKind::EndpointCrash | FaultKind::EndpointFreeze => {
                self.disturb_endpoint(fault);
                Ok(())
            }
            _ => {
                self.disturb_path(fault);
                Ok(())
            }
        }
    }

    fn gateway(&self, fault: &Fault) -> &Member {
        &self.cluster.gateways[fault.place]
    }

    fn endpoint(&self, fault: &Fault) -> &Endpoint {
        &self.cluster.endpoints[fault.place]
    }

    /// Notes the beginning, waits as long as the fault lasts, lifts it and notes the end.
    fn during(
        &self,
        fault: &Fault,
        place: &str,
        begin: impl FnOnce() -> Result<(), Error>,
        end: impl FnOnce() -> Result<(), Error>,
    ) -> Result<(), Error> {
        let kind = fault.kind.name().to_string();
        let place = place.to_string();
        self.recorder.record(Event::FaultBegun {
            place: place.clone(),
            kind: kind.clone(),
        });
        let begun = begin();
        thread::sleep(Duration::from_millis(fault.lasts_ms));
        let ended = end();
        self.recorder.record(Event::FaultEnded { place, kind });
        begun.and(ended)
    }

    fn start(&self, member: &Member) -> Result<(), Error> {
        if member.is_running() {
            return Ok(());
        }
        member.start(START_LIMIT_MS)?;
        let process = member.process_name();
        self.recorder.record(Event::ProcessStarted { process });
        Ok(())
    }

    fn kill(&self, fault: &Fault, member: &Member) -> Result<(), Error> {
        let end = || self.start(member);
        self.during(fault, member.place(), || member.kill(), end)
    }

    fn pause(&self, fault: &Fault, member: &Member) -> Result<(), Error> {
        let begin = || member.pause();
        self.during(fault, member.place(), begin, || member.resume())
    }

    /// Stops a process gracefully and starts another, unless it is being stopped already.
    fn stop(&self, member: &Member, endpoint: Option<&str>, fault: &Fault) -> Result<(), Error> {
        let place = member.place().to_string();
        if !locked(&self.stopping).insert(place.clone()) {
            return Ok(());
        }
        let stopped = self.stop_alone(member, endpoint, fault);
        locked(&self.stopping).remove(&place);
        stopped
    }

    fn stop_alone(
        &self,
        member: &Member,
        endpoint: Option<&str>,
        fault: &Fault,
    ) -> Result<(), Error> {
        self.recorder.record(Event::StopAsked {
            place: member.place().to_string(),
            endpoint: endpoint.map(str::to_string),
        });
        member.terminate()?;
        let well = member.wait_exit(STOP_LIMIT_MS)?;
        if !well {
            let text = format!("{} didn't stop well", member.process_name());
            locked(&self.failures).push(text);
        }
        thread::sleep(Duration::from_millis(fault.lasts_ms));
        self.start(member)
    }

    fn stop_sidecar(&self, fault: &Fault) -> Result<(), Error> {
        let endpoint = self.endpoint(fault);
        self.note_leaving(endpoint);
        let stopped = self.stop(&endpoint.sidecar, Some(&endpoint.name), fault);
        self.note_returned(endpoint);
        stopped
    }

    fn stop_endpoint(&self, fault: &Fault) -> Result<(), Error> {
        let endpoint = self.endpoint(fault);
        self.edit(endpoint, false)?;
        self.note_leaving(endpoint);
        thread::sleep(Duration::from_millis(fault.lasts_ms));
        self.note_returned(endpoint);
        self.edit(endpoint, true)
    }

    fn edit(&self, endpoint: &Endpoint, started: bool) -> Result<(), Error> {
        let mut edits = locked(&self.edits);
        *edits += 1;
        let row = RowValue::Endpoint(endpoint.row(started));
        let edit_id = format!("edit-{}", *edits);
        let version = self.cluster.edit(&edit_id, vec![row])?;
        self.recorder.record(Event::Accepted { version });
        Ok(())
    }

    fn leave(&self, fault: &Fault) -> Result<(), Error> {
        let endpoint = self.endpoint(fault);
        locked(&self.leaving_hosts).insert(fault.place);
        self.publish_hosts();
        self.note_leaving(endpoint);
        thread::sleep(Duration::from_millis(fault.lasts_ms));
        self.note_returned(endpoint);
        locked(&self.leaving_hosts).remove(&fault.place);
        self.publish_hosts();
        Ok(())
    }

    fn publish_hosts(&self) {
        let leaving = locked(&self.leaving_hosts);
        let places = self.cluster.endpoints.iter().enumerate();
        let hosts = places.map(|(place, endpoint)| Host {
            address: endpoint.sidecar.front().address().to_string(),
            zone: "zone-1".to_string(),
            state: match leaving.contains(&place) {
                true => State::Leaving,
                false => State::Live,
            },
        });
        self.cluster.platform.memory().set_hosts(hosts.collect());
    }

    fn note_leaving(&self, endpoint: &Endpoint) {
        let endpoint = endpoint.name.clone();
        self.recorder.record(Event::Leaving { endpoint });
    }

    fn note_returned(&self, endpoint: &Endpoint) {
        let endpoint = endpoint.name.clone();
        self.recorder.record(Event::Returned { endpoint });
    }

    fn disturb_store(&self, fault: &Fault) {
        let faults = self.cluster.platform.faults();
        let set = |on: bool| {
            let mut settings = faults.settings();
            match fault.kind {
                FaultKind::StoreDown => settings.outage = on,
                FaultKind::StoreSlow => settings.reply_delay_ms = STORE_SLOW_MS * u64::from(on),
                _ if on => settings.lose_next_replies = 1 + fault.variant % LOST_REPLIES_MAX,
                _ => settings.lose_next_replies = 0,
            }
            faults.set(settings);
            Ok(())
        };
        // Setting faults of a stand-in can't fail.
        let _ = self.during(fault, PLATFORM, || set(true), || set(false));
    }

    fn cut_off_store(&self, fault: &Fault) -> Result<(), Error> {
        let mut members = self.cluster.members();
        let Some(member) = members.nth(fault.place) else {
            return Ok(());
        };
        let place = history::platform_path_of(member.place());
        let route = member.platform();
        let begin = || {
            route.refuse(fault.variant.is_multiple_of(2))?;
            route.set_all(Faults::silent());
            Ok(())
        };
        let end = || {
            route.set_all(Faults::default());
            route.refuse(false)?;
            Ok(())
        };
        self.during(fault, &place, begin, end)
    }

    fn disturb_endpoint(&self, fault: &Fault) {
        let endpoint = self.endpoint(fault);
        let set = |on: bool| {
            match fault.kind {
                FaultKind::EndpointFreeze => endpoint.standin.freeze(on),
                _ if on => endpoint.standin.crash(),
                _ => {}
            }
            Ok(())
        };
        // Disturbing a stand-in can't fail.
        let _ = self.during(fault, &endpoint.name, || set(true), || set(false));
    }

    fn disturb_path(&self, fault: &Fault) {
        let count = self.cluster.endpoints.len();
        let endpoint = &self.cluster.endpoints[fault.place % count];
        let (route, place) = match fault.place < count {
            true => (endpoint.sidecar.front(), endpoint.sidecar.place()),
            false => (&endpoint.engine_route, endpoint.name.as_str()),
        };
        let begin = || {
            begin_on_path(route, fault);
            Ok(())
        };
        let end = || {
            route.set_new(Faults::default());
            // Connections that have lost their way stay silent for good.
            if fault.kind != FaultKind::HalfDead {
                route.set_existing(Faults::default());
            }
            Ok(())
        };
        // Disturbing a route can't fail.
        let _ = self.during(fault, &history::path_to(place), begin, end);
    }
}

fn begin_on_path(route: &Route, fault: &Fault) {
    let direction = match fault.variant % 2 {
        0 => Direction::ToTarget,
        _ => Direction::ToCaller,
    };
    match fault.kind {
        FaultKind::Cut => {
            route.cut();
        }
        FaultKind::CutAfterBytes => {
            let bytes = fault.variant / 2 % CUT_BYTES_MAX;
            route.set_existing(Faults::cut_after(direction, bytes));
        }
        FaultKind::HalfDead => route.set_existing(Faults::silent()),
        FaultKind::Silent => route.set_all(Faults::silent()),
        FaultKind::SilentOneWay => route.set_all(Faults::silent_towards(direction)),
        FaultKind::HeldBack => {
            route.set_existing(Faults::silent_towards(Direction::ToTarget));
        }
        FaultKind::HoldOne => hold_one(route, fault.variant / 2),
        _ => route.set_all(Faults::delayed(SLOW_MS)),
    }
}

fn hold_one(route: &Route, variant: u64) {
    let connections = route.connections();
    if connections.is_empty() {
        return;
    }
    let count = connections.len() as u64;
    let chosen = (variant % count) as usize;
    route.set_connection(connections[chosen].id, Faults::silent());
}

/// A panic while the lock was held leaves a value that is still whole.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
