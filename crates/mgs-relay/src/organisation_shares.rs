//! Shares of organisations when engines are short: asks [`DemandShares`] when a prompt arrives, and
//! exchanges demand with peers. Does nothing while the part is off.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use mgs_admission::demand_shares::DemandShares;
use mgs_admission::demand_shares::EnginePressure;
use mgs_admission::demand_shares::OrganisationDemand;
use mgs_admission::demand_shares::OrganisationHash;
use mgs_admission::demand_shares::ShareRefusal;
use mgs_admission::demand_shares::ShortageChange;
use mgs_placing::load_table::PeerKey;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_routing::outlier::Health;

use crate::core::Core;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::peers::Datagram;
use crate::view::Configuration;
use crate::view::Endpoint;
use crate::view::Organisation;

/// Prefill that is still to be done at an engine from which on all its time counts as in use, in
/// milliseconds: about the first-token target of short prompts, which would miss it there.
const FULL_BACKLOG_MS: f64 = 300.0;

/// Most organisations with a counter of their own; the others are counted together.
const LABELS_MAX: usize = 64;

/// Label of organisations beyond [`LABELS_MAX`].
const OTHER_LABEL: &str = "other";

/// Label of requests without an organisation.
const NONE_LABEL: &str = "none";

/// A prompt that asks for its organisation's share.
pub(crate) struct ShareRequest<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) organisation: Option<&'a Organisation>,
    pub(crate) model: &'a EngineModel,
    pub(crate) need: Need,
}

impl ShareRequest<'_> {
    fn name(&self) -> &str {
        self.organisation.map_or("", |o| o.name.as_str())
    }

    /// Engine time that the prompt takes, in milliseconds: its prefill, and its decode time divided by
    /// the slots that an engine runs at once.
    fn cost_ms(&self) -> f64 {
        let model = self.model;
        let passes = model.passes_for(self.need.expected_tokens) as f64;
        let decode_ms = passes * model.usual_pass_ms();
        model.prefill_ms(self.need.prompt_tokens) + decode_ms / f64::from(model.slots.max(1))
    }
}

/// Shares of one relay.
#[derive(Debug, Default)]
pub(crate) struct OrganisationShares {
    /// The figures while the part is on.
    demand: Option<DemandShares>,
    /// Version of the configuration that the priorities are from.
    configuration_version: Option<u64>,
    /// Sequence number of the last report.
    sequence: u64,
    /// Organisations with a counter of their own.
    labels: HashSet<String>,
}

impl OrganisationShares {
    /// Label of an organisation in counters.
    fn label<'a>(&mut self, name: &'a str) -> &'a str {
        if name.is_empty() {
            return NONE_LABEL;
        }
        if !self.labels.contains(name) {
            if self.labels.len() >= LABELS_MAX {
                return OTHER_LABEL;
            }
            self.labels.insert(name.to_string());
        }
        name
    }

    /// The figures, which begin now if there are none. Takes the priorities of organisations if they are
    /// from another configuration. An organisation without a priority has the highest: nobody asked for
    /// less.
    fn take_up(&mut self, configuration: &Configuration, now_ms: f64) -> &mut DemandShares {
        let demand = self
            .demand
            .get_or_insert_with(|| DemandShares::started_at(now_ms));
        if self.configuration_version != Some(configuration.version) {
            self.configuration_version = Some(configuration.version);
            let organisations = configuration.organisations.values();
            let with_priority = organisations.filter_map(|organisation| {
                let name = OrganisationHash::of(&organisation.name);
                Some((name, organisation.priority?))
            });
            demand.set_priorities(with_priority.collect::<HashMap<OrganisationHash, u8>>());
        }
        demand
    }
}

/// A prompt that was admitted and isn't placed yet. Counts as refused by the engines if it is dropped
/// before [`Self::record_placed`].
pub(crate) struct AdmittedPrompt {
    core: Rc<Core>,
    organisation: OrganisationHash,
    cost_ms: f64,
    admitted_ms: f64,
    is_placed: bool,
}

impl AdmittedPrompt {
    /// Leaves the prompt counted as admitted.
    pub(crate) fn record_placed(mut self) {
        self.is_placed = true;
    }
}

impl Drop for AdmittedPrompt {
    fn drop(&mut self) {
        if self.is_placed {
            return;
        }
        let now_ms = self.core.now_ms();
        let mut shares = self.core.shares.borrow_mut();
        if let Some(demand) = &mut shares.demand {
            let waited_ms = now_ms - self.admitted_ms;
            demand.record_refused(now_ms, self.organisation, self.cost_ms, waited_ms);
        }
    }
}

impl Core {
    /// The configuration if shares are in use: the settings ask for them, and there are
    /// organisations. Forgets all figures otherwise, since they would be outdated later.
    fn configuration_with_shares(&self) -> Option<Arc<Configuration>> {
        let is_asked_for = self.published.live_settings().organisation_shares;
        let configuration = self.published.configuration().filter(|_| is_asked_for);
        let configuration = configuration.filter(|c| !c.organisations.is_empty());
        if configuration.is_none() {
            let mut shares = self.shares.borrow_mut();
            shares.demand = None;
            shares.configuration_version = None;
        }
        configuration
    }

    /// Counts a prompt that arrives for its organisation, and refuses it if the organisation's share
    /// of a capacity that is short is used up. Returns `None` if shares aren't in use.
    pub(crate) fn admit_by_share(
        self: &Rc<Self>,
        request: &ShareRequest<'_>,
    ) -> Result<Option<AdmittedPrompt>, Refusal> {
        let Some(configuration) = self.configuration_with_shares() else {
            return Ok(None);
        };
        let now_ms = self.now_ms();
        let organisation = OrganisationHash::of(request.name());
        let cost_ms = request.cost_ms();
        let draw = self.random_unit();
        let mut shares = self.shares.borrow_mut();
        let demand = shares.take_up(&configuration, now_ms);
        if demand.is_refresh_due(now_ms) {
            let pressure = self.engine_pressure(&configuration, now_ms);
            if let Some(change) = demand.refresh(now_ms, &pressure) {
                log_change(&change, &pressure, demand.peer_count());
            }
        }
        let admitted = demand.admit(now_ms, organisation, cost_ms, draw);
        match admitted {
            Ok(()) => Ok(Some(AdmittedPrompt {
                core: self.clone(),
                organisation,
                cost_ms,
                admitted_ms: now_ms,
                is_placed: false,
            })),
            Err(refused) => {
                self.metrics
                    .share_refusals
                    .inc(shares.label(request.name()));
                log_refusal(request, cost_ms, &refused);
                Err(Refusal::after(Fault::OverShare, refused.retry_after_ms))
            }
        }
    }

    /// The usable engines of all services, and how much of their time is in use as the load table
    /// shows it.
    fn engine_pressure(&self, configuration: &Configuration, now_ms: f64) -> EnginePressure {
        let fleet = self.published.fleet();
        let blocked = self.blocked_endpoints();
        let is_usable = |endpoint: &&Arc<Endpoint>| {
            let health = self.outliers.health(endpoint.key, now_ms as u64);
            !endpoint.facts.is_leaving
                && !blocked.blocks_help(endpoint)
                && health != Health::Ejected
                && !self.refuses_connections(endpoint.key)
        };
        let with_engines = configuration.services.iter();
        let with_engines = with_engines.filter(|(_, service)| service.engine.is_some());
        let mut pressure = EnginePressure {
            wait_ms: FULL_BACKLOG_MS,
            ..EnginePressure::default()
        };
        for (name, _) in with_engines {
            for endpoint in fleet.of_service(name).iter().filter(is_usable) {
                pressure.engines += 1;
                pressure.busy_share += self.busy_share(endpoint, now_ms);
                pressure.wait_ms = pressure.wait_ms.min(self.wait_at_ms(endpoint, now_ms));
            }
        }
        pressure.busy_share /= pressure.engines.max(1) as f64;
        pressure
    }

    /// Share of an engine's time in use: that of prefill, and that of slots that are taken.
    fn busy_share(&self, endpoint: &Endpoint, now_ms: f64) -> f64 {
        let load_table = self.load_table.borrow();
        let recent = load_table.recent_prefill_share(endpoint.key, now_ms);
        let due = load_table.backlog_ms(endpoint.key, now_ms, 0.0) / FULL_BACKLOG_MS;
        let running = f64::from(load_table.load(endpoint.key).running());
        let slots_taken = running / f64::from(endpoint.facts.slots.max(1));
        (recent.max(due) + slots_taken).min(1.0)
    }

    /// Time until an engine begins with a prompt that arrives now, in milliseconds: the prefill that
    /// is due there, and [`FULL_BACKLOG_MS`] without a free slot.
    fn wait_at_ms(&self, endpoint: &Endpoint, now_ms: f64) -> f64 {
        let load_table = self.load_table.borrow();
        let running = load_table.load(endpoint.key).running();
        match running < endpoint.facts.slots {
            true => load_table.backlog_ms(endpoint.key, now_ms, 0.0).max(0.0),
            false => FULL_BACKLOG_MS,
        }
    }

    /// The datagram with this gateway's demand; `None` while shares aren't in use or there is no
    /// demand.
    pub(crate) fn demand_datagram(&self) -> Option<Datagram> {
        self.configuration_with_shares()?;
        let mut shares = self.shares.borrow_mut();
        let demands = shares.demand.as_mut()?.report(self.now_ms());
        if demands.is_empty() {
            return None;
        }
        shares.sequence += 1;
        Some(Datagram::Demand {
            from: self.incarnation,
            sequence: shares.sequence,
            demands,
        })
    }

    /// Takes a peer's demand.
    pub(crate) fn record_peer_demand(
        &self,
        address: SocketAddr,
        peer: u64,
        sequence: u64,
        demands: &[OrganisationDemand],
    ) {
        let is_peer = self.load_table.borrow().knows_peer(PeerKey(peer));
        let Some(configuration) = self.configuration_with_shares().filter(|_| is_peer) else {
            return;
        };
        let now_ms = self.now_ms();
        let mut shares = self.shares.borrow_mut();
        let demand = shares.take_up(&configuration, now_ms);
        if demand.record_peer(now_ms, peer, sequence, demands) {
            self.metrics.peer_faults.inc();
            log::warn!(peer:% = address; "a peer's demand has figures that aren't usable");
        }
    }

    /// Forgets the demand of a peer that fell silent.
    pub(crate) fn drop_peer_demand(&self, peer: PeerKey) {
        if let Some(demand) = &mut self.shares.borrow_mut().demand {
            demand.drop_peer(peer.0);
        }
    }
}

fn log_change(change: &ShortageChange, pressure: &EnginePressure, peers: usize) {
    log::info!(
        is_short = change.is_short,
        asked_ms_per_s = change.asked as u64,
        admitted_ms_per_s = change.admitted as u64,
        capacity_ms_per_s = change.capacity as u64,
        engines = pressure.engines,
        busy_permille = (pressure.busy_share * 1e3) as u64,
        wait_ms = pressure.wait_ms as u64,
        peers = peers;
        "whether engines are short for all organisations has changed"
    );
}

fn log_refusal(request: &ShareRequest<'_>, cost_ms: f64, refused: &ShareRefusal) {
    log::info!(
        request_id = request.request_id,
        organisation = request.name(),
        cost_ms = cost_ms as u64,
        asked_ms_per_s = refused.asked as u64,
        allowed_ms_per_s = refused.allowed as u64,
        usual_ms_per_s = refused.usual as u64,
        asked_by_all_ms_per_s = refused.asked_by_all as u64,
        capacity_ms_per_s = refused.capacity as u64,
        peers = refused.peers,
        oldest_report_ms = refused.oldest_report_ms as u64,
        retry_after_ms = refused.retry_after_ms;
        "refused since its organisation's share is used up"
    );
}
