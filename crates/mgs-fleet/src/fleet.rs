//! The mutable state of the fleet, from which views are published.

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

/// Incarnations of one endpoint that are remembered as replaced.
const RETIRED_INCARNATIONS_MAX: usize = 8;

/// Settings of a [`Fleet`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the process, which determines its subset of a large fleet.
    pub process: String,
    /// Availability zone of the process.
    pub zone: String,
    /// Most endpoints tracked, shared evenly among the models.
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

/// State of an endpoint that isn't part of the view.
#[derive(Debug, Default)]
struct EndpointRecord {
    last_report_number: u64,
    retired_incarnations: Vec<u64>,
    declared_models: Vec<String>,
    is_started: bool,
    /// Whether the platform reports that its host is leaving.
    is_host_leaving: bool,
}

impl EndpointRecord {
    fn accepts_requests(&self) -> bool {
        self.is_started && !self.is_host_leaving
    }
}

/// The mutable state of the fleet in one process.
///
/// ```
/// use mgs_fleet::fleet::Fleet;
/// use mgs_fleet::fleet::Options;
/// use mgs_schema::settings::EndpointKind;
/// use mgs_schema::settings::EndpointRow;
/// use mgs_schema::settings::Snapshot;
///
/// let mut fleet = Fleet::new(Options::default());
/// fleet.apply_settings(&Snapshot {
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
    records: Vec<EndpointRecord>,
    view: View,
    published: Arc<View>,
    is_view_stale: bool,
    is_model_index_stale: bool,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            keys: HashMap::new(),
            records: Vec::new(),
            view: View::default(),
            published: Arc::new(View::default()),
            is_view_stale: false,
            is_model_index_stale: false,
        }
    }

    /// Applies the endpoints of new settings. A snapshot older than the current one is ignored.
    ///
    /// A stopped endpoint gets no new requests from the next view on. It stays in the view as
    /// leaving, so that its running requests can be followed. An endpoint without a row, or with an
    /// address that can't be parsed, is removed.
    pub fn apply_settings(&mut self, snapshot: &Snapshot) {
        if snapshot.version < self.view.settings_version {
            return;
        }
        let rows = subset::select(&self.options, &snapshot.endpoints);
        let names: HashSet<&str> = rows.iter().map(|row| row.name.as_str()).collect();
        for slot in &mut self.view.endpoints {
            slot.take_if(|endpoint| !names.contains(endpoint.name.as_str()));
        }
        for row in rows {
            self.apply_row(row);
        }
        self.view.settings_version = snapshot.version;
        self.is_model_index_stale = true;
        self.is_view_stale = true;
    }

    fn apply_row(&mut self, row: &EndpointRow) {
        let Ok(address) = row.sidecar_address.parse::<SocketAddr>() else {
            return;
        };
        let key = self.key_or_insert(&row.name);
        let record = &mut self.records[key.0 as usize];
        record.is_started = row.started;
        let slot = &mut self.view.endpoints[key.0 as usize];
        let is_same_endpoint = |e: &&mut Arc<Endpoint>| {
            e.sidecar_address == address && e.kind == row.kind() && e.zone == row.zone
        };
        if let Some(endpoint) = slot.as_mut().filter(is_same_endpoint) {
            let endpoint = Arc::make_mut(endpoint);
            endpoint.span = row.span;
            if record.declared_models != row.models {
                endpoint.models.clone_from(&row.models);
            }
            if !row.started && endpoint.state == EndpointState::Live {
                endpoint.state = EndpointState::Leaving;
            }
        } else {
            record.last_report_number = 0;
            *slot = Some(Arc::new(unreached_endpoint(key, row, address)));
        }
        record.declared_models.clone_from(&row.models);
    }

    fn key_or_insert(&mut self, name: &str) -> EndpointKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = EndpointKey(self.records.len() as u32);
        self.records.push(EndpointRecord::default());
        self.view.endpoints.push(None);
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// The key of the endpoint with this name, if the fleet has it.
    pub fn find(&self, name: &str) -> Option<EndpointKey> {
        let key = *self.keys.get(name)?;
        self.view.get(key).map(|endpoint| endpoint.key)
    }

    /// Applies the welcome message of a sidecar on a new connection. Returns whether it is
    /// accepted: an incarnation that another one has replaced isn't.
    pub fn apply_welcome(&mut self, key: EndpointKey, incarnation: u64, zone: &str) -> bool {
        let Some((endpoint, record)) = self.endpoint_mut(key) else {
            return false;
        };
        if record.retired_incarnations.contains(&incarnation) {
            return false;
        }
        if endpoint.incarnation != incarnation {
            retire_incarnation(record, endpoint.incarnation);
            record.last_report_number = 0;
            let endpoint = Arc::make_mut(endpoint);
            endpoint.incarnation = incarnation;
            endpoint.state = EndpointState::Down;
            endpoint.load = Load::default();
            endpoint.cached = Arc::default();
        }
        if !zone.is_empty() && endpoint.zone != zone {
            Arc::make_mut(endpoint).zone = zone.to_owned();
        }
        self.is_view_stale = true;
        true
    }

    /// Applies a load report. Returns whether it is accepted: reports of another incarnation than
    /// the one welcomed last, and those overtaken by a later report, are dropped.
    pub fn apply_report(&mut self, now_ms: u64, key: EndpointKey, report: &LoadReport) -> bool {
        let blocks_max = self.options.cached_blocks_max;
        let Some((endpoint, record)) = self.endpoint_mut(key) else {
            return false;
        };
        let is_stale = report.report <= record.last_report_number && record.last_report_number != 0;
        if endpoint.incarnation != report.incarnation || is_stale {
            return false;
        }
        record.last_report_number = report.report;
        let endpoint = Arc::make_mut(endpoint);
        let models_changed = report.models_known && endpoint.models != report.models;
        if models_changed {
            endpoint.models.clone_from(&report.models);
        }
        endpoint.state = match report.state() {
            EndpointState::Live if !record.accepts_requests() => EndpointState::Leaving,
            state => state,
        };
        endpoint.load = load_from_report(report);
        endpoint.reported_ms = now_ms;
        cache::apply_report(&mut endpoint.cached, report, blocks_max);
        self.is_model_index_stale |= models_changed;
        self.is_view_stale = true;
        true
    }

    /// Marks an endpoint as down, since the last connection to its sidecar is lost.
    pub fn mark_unreachable(&mut self, now_ms: u64, key: EndpointKey) {
        let Some((endpoint, _)) = self.endpoint_mut(key) else {
            return;
        };
        let endpoint = Arc::make_mut(endpoint);
        endpoint.state = EndpointState::Down;
        endpoint.reported_ms = now_ms;
        self.is_view_stale = true;
    }

    /// Sets the names of all endpoints whose host is leaving. They get no new requests from the
    /// next view on, and stay in it so that their running requests can be followed.
    pub fn set_leaving(&mut self, names: &[String]) {
        for endpoint in self.view.endpoints.iter_mut().flatten() {
            let record = &mut self.records[endpoint.key.0 as usize];
            let is_leaving = names.contains(&endpoint.name);
            if record.is_host_leaving == is_leaving {
                continue;
            }
            record.is_host_leaving = is_leaving;
            if is_leaving && endpoint.state == EndpointState::Live {
                Arc::make_mut(endpoint).state = EndpointState::Leaving;
            }
            self.is_model_index_stale = true;
            self.is_view_stale = true;
        }
    }

    /// The current view. Only pointers are copied, and nothing if nothing has changed.
    pub fn view(&mut self) -> Arc<View> {
        if self.is_model_index_stale {
            self.view.by_model = Arc::new(self.index_by_model());
            self.is_model_index_stale = false;
        }
        if self.is_view_stale {
            self.published = Arc::new(self.view.clone());
            self.is_view_stale = false;
        }
        Arc::clone(&self.published)
    }

    /// Maps each declared or loaded model to the started endpoints that can serve it now. A
    /// declared model that no endpoint serves maps to an empty list.
    fn index_by_model(&self) -> HashMap<String, Vec<EndpointKey>> {
        let mut index: HashMap<String, Vec<EndpointKey>> = HashMap::new();
        for endpoint in self.view.endpoints.iter().flatten() {
            let record = &self.records[endpoint.key.0 as usize];
            for model in &record.declared_models {
                index.entry(model.clone()).or_default();
            }
            if !record.accepts_requests() {
                continue;
            }
            for model in &endpoint.models {
                index.entry(model.clone()).or_default().push(endpoint.key);
            }
        }
        index
    }

    fn endpoint_mut(
        &mut self,
        key: EndpointKey,
    ) -> Option<(&mut Arc<Endpoint>, &mut EndpointRecord)> {
        let index = key.0 as usize;
        let endpoint = self.view.endpoints.get_mut(index)?.as_mut()?;
        Some((endpoint, &mut self.records[index]))
    }
}

fn unreached_endpoint(
    key: EndpointKey,
    row: &EndpointRow,
    sidecar_address: SocketAddr,
) -> Endpoint {
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

fn load_from_report(report: &LoadReport) -> Load {
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

fn retire_incarnation(record: &mut EndpointRecord, incarnation: u64) {
    if incarnation == 0 {
        return;
    }
    if record.retired_incarnations.len() == RETIRED_INCARNATIONS_MAX {
        record.retired_incarnations.remove(0);
    }
    record.retired_incarnations.push(incarnation);
}
