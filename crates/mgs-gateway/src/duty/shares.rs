//! Shares of limits: asked of each row's home, and granted for the rows whose home is here.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use mgs_admission::lease::home_gateway;
use mgs_admission::lease::LeaseGrantor;
use mgs_admission::lease::LeaseHolder;
use mgs_admission::lease::Limits;
use mgs_admission::lease::Options;
use mgs_admission::queue::Demand;
use mgs_schema::settings::LimitRow;
use mgs_schema::wire::envelope::Body;
use mgs_schema::wire::LimitLease;
use mgs_schema::wire::LimitLeaseRequest;

use crate::core::Core;
use crate::duty::links::Links;
use crate::duty::Duties;

/// Time between looks, in milliseconds.
const LOOK_MS: u64 = 500;

type RowName = (String, String);

/// The home's side.
#[derive(Debug, Default)]
pub(crate) struct Home {
    grantors: Mutex<BTreeMap<RowName, LeaseGrantor>>,
}

impl Home {
    /// Answers a wish for a share; `None` if this gateway isn't the row's home.
    pub(crate) fn lease(
        &self,
        core: &Core,
        links: &Links,
        request: &LimitLeaseRequest,
    ) -> Option<LimitLease> {
        let (organisation, kind) = (&request.organisation, &request.kind);
        let live = links.live();
        let names: Vec<&str> = live.iter().map(|gateway| gateway.name.as_str()).collect();
        if home_gateway(organisation, kind, &names) != Some(core.options.name.as_str()) {
            return None;
        }
        let table = core.settings.table();
        let limits = limits(table.limit(organisation, kind)?);
        let incarnations: Vec<u64> = live.iter().map(|gateway| gateway.incarnation).collect();
        let now_ms = core.now_ms();
        let mut grantors = self.grantors.lock().unwrap_or_else(PoisonError::into_inner);
        let grantor = grantors
            .entry((organisation.clone(), kind.clone()))
            .or_insert_with(|| LeaseGrantor::new(now_ms, Options::default()));
        Some(grantor.grant(now_ms, &limits, &incarnations, request))
    }
}

fn limits(row: &LimitRow) -> Limits {
    Limits {
        requests_per_s: row.requests_per_s,
        tokens_per_s: row.tokens_per_s,
        concurrent_requests: row.concurrent_requests,
    }
}

/// Asks for shares until the gateway stops.
pub(crate) fn run(duties: &Arc<Duties>) {
    let mut tenures = BTreeMap::new();
    while duties.core.pause(LOOK_MS) {
        look(duties, &mut tenures);
    }
}

fn look(duties: &Duties, tenures: &mut BTreeMap<RowName, LeaseHolder>) {
    let core = &duties.core;
    // A home that didn't answer isn't asked again before the next look.
    let mut silent = HashSet::new();
    for demand in core.hub.demands(core) {
        let name = (demand.organisation.clone(), demand.kind.clone());
        let tenure = tenures.entry(name).or_default();
        let asked_ms = core.now_ms();
        if !tenure.is_renewal_due(asked_ms, &Options::default()) {
            continue;
        }
        if let Some(lease) = ask(duties, &demand, &mut silent) {
            tenure.accept(asked_ms, &lease);
        }
    }
    let table = core.settings.table();
    let gateways = duties.links.gateways() as usize;
    for ((organisation, kind), tenure) in tenures {
        if let Some(row) = table.limit(organisation, kind) {
            let share = tenure.effective_limits(core.now_ms(), &limits(row), gateways);
            core.hub.set_share(core, organisation, kind, &share);
        }
    }
}

fn ask(duties: &Duties, demand: &Demand, silent: &mut HashSet<SocketAddr>) -> Option<LimitLease> {
    let core = &duties.core;
    let live = duties.links.live();
    let names: Vec<&str> = live.iter().map(|gateway| gateway.name.as_str()).collect();
    let at = home_gateway(&demand.organisation, &demand.kind, &names)?;
    let request = LimitLeaseRequest {
        organisation: demand.organisation.clone(),
        kind: demand.kind.clone(),
        gateway_incarnation: core.incarnation,
        wanted_requests_per_s: demand.requests_per_s,
        wanted_tokens_per_s: demand.tokens_per_s,
        concurrent_requests: demand.in_flight,
        settings_version: core.settings.version(),
    };
    if at == core.options.name {
        return duties.home.lease(core, &duties.links, &request);
    }
    let address = live.iter().find(|gateway| gateway.name == at)?.address?;
    if silent.contains(&address) {
        return None;
    }
    let answer = duties.links.ask(address, Body::LimitLeaseRequest(request));
    if let Some(Body::LimitLease(lease)) = answer {
        return Some(lease);
    }
    silent.insert(address);
    None
}
