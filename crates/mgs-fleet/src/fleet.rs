//! The single writer of the fleet's view.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use mgs_schema::settings::EndpointKind;
use mgs_schema::settings::EndpointRow;
use mgs_schema::settings::Snapshot;
use mgs_schema::wire::EndpointState;
use mgs_schema::wire::LoadReport;

use crate::cache;
use crate::subset;
use crate::view::Endpoint;
use crate::view::EndpointKey;
use crate::view::Load;
use crate::view::View;

/// Incarnations of one endpoint that are remembered as over.
const RETIRED_MAX: usize = 8;

/// Settings of a [`Fleet`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the process, which decides its subset of a large fleet.
    pub process: String,
    /// Availability zone of the process.
    pub zone: String,
    /// Most endpoints held, shared evenly among the models.
    pub subset_max: usize,
    /// Most cached blocks remembered for each endpoint.
    pub cached_blocks_max: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            process: String::new(),
            zone: String::new(),
            subset_max: 96,
            cached_blocks_max: 8_192,
        }
    }
}

/// What the fleet must remember of an endpoint beside what its view shows.
#[derive(Debug, Default)]
struct Session {
    last_report: u64,
    retired: Vec<u64>,
    declared_models: Vec<String>,
    started: bool,
    /// The platform says that its host is leaving.
    host_leaving: bool,
}

impl Session {
    fn takes_work(&self) -> bool {
        self.started && !self.host_leaving
    }
}

/// What a process knows of the fleet.
///
/// ```
/// use mgs_fleet::fleet::Fleet;
/// use mgs_fleet::fleet::Options;
/// use mgs_schema::settings::EndpointKind;
/// use mgs_schema::settings::EndpointRow;
/// use mgs_schema::settings::Snapshot;
///
/// let mut fleet = Fleet::new(Options::default());
/// fleet.settings(&Snapshot {
///     version: 1,
///     endpoints: vec![EndpointRow {
///         name: "engine-1".into(),
///         kind: EndpointKind::Engine.into(),
///         sidecar_address: "127.0.0.1:7000".into(),
///         models: vec!["small".into()],
///         started: true,
///         ..EndpointRow::default()
///     }],
///     ..Snapshot::default()
/// });
/// assert_eq!(fleet.view().by_model["small"].len(), 1);
/// ```
#[derive(Debug)]
pub struct Fleet {
    options: Options,
    keys: HashMap<String, EndpointKey>,
    sessions: Vec<Session>,
    view: View,
    published: Arc<View>,
    changed: bool,
    models_changed: bool,
}

impl Fleet {
    /// A fleet of which nothing is known.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            keys: HashMap::new(),
            sessions: Vec::new(),
            view: View::default(),
            published: Arc::new(View::default()),
            changed: false,
            models_changed: false,
        }
    }

    /// Takes the endpoints of new settings. An older snapshot than the one in force is ignored.
    ///
    /// A stopped endpoint gets no new work from the next view on, and stays in it as leaving so
    /// that its running requests can be followed. An endpoint without a row, or with an address
    /// that can't be understood, is gone.
    pub fn settings(&mut self, snapshot: &Snapshot) {
        if snapshot.version < self.view.settings_version {
            return;
        }
        let rows = subset::choose(&self.options, &snapshot.endpoints);
        let names: HashSet<&str> = rows.iter().map(|row| row.name.as_str()).collect();
        for slot in &mut self.view.endpoints {
            slot.take_if(|endpoint| !names.contains(endpoint.name.as_str()));
        }
        for row in rows {
            self.declare(row);
        }
        self.view.settings_version = snapshot.version;
        self.models_changed = true;
        self.changed = true;
    }

    fn declare(&mut self, row: &EndpointRow) {
        let Ok(address) = row.sidecar_address.parse::<SocketAddr>() else {
            return;
        };
        let key = self.key(&row.name);
        let session = &mut self.sessions[key.0 as usize];
        session.started = row.started;
        let slot = &mut self.view.endpoints[key.0 as usize];
        let same_place = |e: &&mut Arc<Endpoint>| {
            e.sidecar_address == address && e.kind == row.kind() && e.zone == row.zone
        };
        if let Some(endpoint) = slot.as_mut().filter(same_place) {
            let endpoint = Arc::make_mut(endpoint);
            endpoint.span = row.span;
            if session.declared_models != row.models {
                endpoint.models.clone_from(&row.models);
            }
            if !row.started && endpoint.state == EndpointState::Live {
                endpoint.state = EndpointState::Leaving;
            }
        } else {
            session.last_report = 0;
            *slot = Some(Arc::new(unreached(key, row, address)));
        }
        session.declared_models.clone_from(&row.models);
    }

    fn key(&mut self, name: &str) -> EndpointKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = EndpointKey(self.sessions.len() as u32);
        self.sessions.push(Session::default());
        self.view.endpoints.push(None);
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// The key of an endpoint's name, if the fleet has it.
    pub fn find(&self, name: &str) -> Option<EndpointKey> {
        let key = *self.keys.get(name)?;
        self.view.get(key).map(|endpoint| endpoint.key)
    }

    /// A sidecar has answered on a new connection. Returns whether it is news: an incarnation
    /// that was followed by another one stays over.
    pub fn welcome(&mut self, key: EndpointKey, incarnation: u64, zone: &str) -> bool {
        let Some((endpoint, session)) = self.slot(key) else {
            return false;
        };
        if session.retired.contains(&incarnation) {
            return false;
        }
        if endpoint.incarnation != incarnation {
            retire(session, endpoint.incarnation);
            session.last_report = 0;
            let endpoint = Arc::make_mut(endpoint);
            endpoint.incarnation = incarnation;
            endpoint.state = EndpointState::Down;
            endpoint.load = Load::default();
            endpoint.cached = Arc::default();
        }
        if !zone.is_empty() && endpoint.zone != zone {
            Arc::make_mut(endpoint).zone = zone.to_owned();
        }
        self.changed = true;
        true
    }

    /// Takes a load report. Returns whether it was news: reports of another incarnation than the
    /// one welcomed last, and those that were overtaken by a later one, are dropped.
    pub fn report(&mut self, now_ms: u64, key: EndpointKey, report: &LoadReport) -> bool {
        let blocks_max = self.options.cached_blocks_max;
        let Some((endpoint, session)) = self.slot(key) else {
            return false;
        };
        let overtaken = report.report <= session.last_report && session.last_report != 0;
        if endpoint.incarnation != report.incarnation || overtaken {
            return false;
        }
        session.last_report = report.report;
        let endpoint = Arc::make_mut(endpoint);
        let models_changed = report.models_known && endpoint.models != report.models;
        if models_changed {
            endpoint.models.clone_from(&report.models);
        }
        endpoint.state = match report.state() {
            EndpointState::Live if !session.takes_work() => EndpointState::Leaving,
            state => state,
        };
        endpoint.load = load_of(report);
        endpoint.reported_ms = now_ms;
        cache::apply(&mut endpoint.cached, report, blocks_max);
        self.models_changed |= models_changed;
        self.changed = true;
        true
    }

    /// The connection to a sidecar is lost, and no other one works.
    pub fn lost(&mut self, now_ms: u64, key: EndpointKey) {
        let Some((endpoint, _)) = self.slot(key) else {
            return;
        };
        let endpoint = Arc::make_mut(endpoint);
        endpoint.state = EndpointState::Down;
        endpoint.reported_ms = now_ms;
        self.changed = true;
    }

    /// Takes the names of all endpoints whose host is leaving. They get no new work from the next
    /// view on, and stay in it so that their running requests can be followed.
    pub fn leaving(&mut self, names: &[String]) {
        for endpoint in self.view.endpoints.iter_mut().flatten() {
            let session = &mut self.sessions[endpoint.key.0 as usize];
            let leaves = names.contains(&endpoint.name);
            if session.host_leaving == leaves {
                continue;
            }
            session.host_leaving = leaves;
            if leaves && endpoint.state == EndpointState::Live {
                Arc::make_mut(endpoint).state = EndpointState::Leaving;
            }
            self.models_changed = true;
            self.changed = true;
        }
    }

    /// The view as of now; only pointers are copied, and nothing when nothing has changed.
    pub fn view(&mut self) -> Arc<View> {
        if self.models_changed {
            self.view.by_model = Arc::new(self.index());
            self.models_changed = false;
        }
        if self.changed {
            self.published = Arc::new(self.view.clone());
            self.changed = false;
        }
        Arc::clone(&self.published)
    }

    /// Each declared or loaded model with the started endpoints that can serve it now; a model
    /// that is declared and served nowhere keeps an empty list.
    fn index(&self) -> HashMap<String, Vec<EndpointKey>> {
        let mut index: HashMap<String, Vec<EndpointKey>> = HashMap::new();
        for endpoint in self.view.endpoints.iter().flatten() {
            let session = &self.sessions[endpoint.key.0 as usize];
            for model in &session.declared_models {
                index.entry(model.clone()).or_default();
            }
            if !session.takes_work() {
                continue;
            }
            for model in &endpoint.models {
                index.entry(model.clone()).or_default().push(endpoint.key);
            }
        }
        index
    }

    fn slot(&mut self, key: EndpointKey) -> Option<(&mut Arc<Endpoint>, &mut Session)> {
        let slot = key.0 as usize;
        let endpoint = self.view.endpoints.get_mut(slot)?.as_mut()?;
        Some((endpoint, &mut self.sessions[slot]))
    }
}

fn unreached(key: EndpointKey, row: &EndpointRow, sidecar_address: SocketAddr) -> Endpoint {
    Endpoint {
        key,
        name: row.name.clone(),
        kind: EndpointKind::try_from(row.kind).unwrap_or(EndpointKind::Unspecified),
        sidecar_address,
        zone: row.zone.clone(),
        models: row.models.clone(),
        span: row.span,
        incarnation: 0,
        state: EndpointState::Down,
        load: Load::default(),
        reported_ms: 0,
        cached: Arc::default(),
    }
}

fn load_of(report: &LoadReport) -> Load {
    Load {
        waiting_requests: report.waiting_requests,
        running_requests: report.running_requests,
        prefill_waiting_tokens: report.prefill_waiting_tokens,
        short_prefill_waiting_tokens: report.short_prefill_waiting_tokens,
        kv_used_tokens: report.kv_used_tokens,
        kv_capacity_tokens: report.kv_capacity_tokens,
        prefill_tokens_per_s: report.prefill_tokens_per_s,
        decode_step_ms: report.decode_step_ms,
    }
}

fn retire(session: &mut Session, incarnation: u64) {
    if incarnation == 0 {
        return;
    }
    if session.retired.len() == RETIRED_MAX {
        session.retired.remove(0);
    }
    session.retired.push(incarnation);
}
