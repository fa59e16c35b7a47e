//! Finds out whether the endpoint of a lost run has crashed or only its connection was lost.
//!
//! A run that is cut off proves little: endpoints reset connections, links lose packets, hosts are
//! stopped. Only an endpoint whose process *ended* under a run may have been crashed by it.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mgs_fleet::view::EndpointKey;
use mgs_quarantine::shared::PlacedPart;
use tokio::sync::OnceCell;
use tokio::time::sleep;

use crate::connection::CallError;
use crate::connection::Connection;
use crate::connection::LossCause;
use crate::core::Core;
use crate::crash_keys::CrashKeys;
use crate::view::Endpoint;

/// Timeout of a connection attempt that probes whether an endpoint still listens.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Delays between further probes of an endpoint. One that still listens after a second has only cut
/// connections.
const REPROBE_DELAYS: [Duration; 3] = [
    Duration::from_millis(50),
    Duration::from_millis(200),
    Duration::from_millis(750),
];

/// Events of a run that is only beginning to write. An endpoint that ends as it begins may have sent
/// one.
pub(crate) const BEGINNING_EVENTS: u32 = 1;

/// What became of the endpoint of a lost run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndpointFate {
    /// Its process has ended: nothing listens at its address any more.
    Ended,
    /// It accepts connections.
    Alive,
    /// It was leaving or no longer listed, so its end was expected.
    Left,
    /// It can't be determined whether it has ended.
    Unclear,
}

impl EndpointFate {
    /// Name in logs and counters.
    fn name(self) -> &'static str {
        match self {
            Self::Ended => "endpoint_ended",
            Self::Alive => "endpoint_lives",
            Self::Left => "endpoint_left",
            Self::Unclear => "unclear",
        }
    }
}

/// A run without a usable response.
#[derive(Debug, Clone)]
pub(crate) struct LostRun {
    pub(crate) request_id: String,
    /// Name of the request's route.
    pub(crate) route: String,
    /// Name of the caller's organisation, if callers are identified.
    pub(crate) organisation: String,
    /// Keys under which the crash of its endpoint counts.
    pub(crate) keys: CrashKeys,
    pub(crate) endpoint: Arc<Endpoint>,
    /// Endpoints that prefill parts of its prompt.
    pub(crate) helpers: Vec<Arc<Endpoint>>,
    /// Number of events that it had produced.
    pub(crate) reached: u32,
}

impl LostRun {
    /// The parts of its prompt that may have crashed the endpoint when the run began to write.
    pub(crate) fn suspected_parts(&self) -> &[PlacedPart] {
        match self.reached <= BEGINNING_EVENTS {
            true => &self.keys.parts,
            false => &[],
        }
    }
}

/// Probes in flight, by endpoint: all runs that an endpoint loses at once share one.
pub(crate) type EndpointProbes = HashMap<EndpointKey, Rc<OnceCell<EndpointFate>>>;

/// Finds out what became of the endpoint of a lost run, and logs and records it.
pub(crate) async fn record_lost_run(core: Rc<Core>, run: LostRun, lost: LossCause) -> EndpointFate {
    let fate = match lost {
        LossCause::BrokenOff => endpoint_fate(&core, &run.endpoint).await,
        LossCause::PathLost | LossCause::Silent | LossCause::Unusable => EndpointFate::Unclear,
    };
    core.metrics.lost_runs.inc(fate.name());
    log::info!(
        request_id = run.request_id, work:% = run.keys.request,
        endpoint = run.endpoint.facts.incarnation.id, fate = fate.name(), lost:? = lost,
        reached = run.reached, route = run.route, organisation = run.organisation,
        parts = run.keys.part_names();
        "run lost"
    );
    if lost == LossCause::BrokenOff {
        let at_ms = core.now_ms();
        if matches!(fate, EndpointFate::Alive | EndpointFate::Unclear) {
            tokio::task::spawn_local(reprobe(core.clone(), run.clone(), at_ms));
        }
        core.record_loss(run.clone(), fate, at_ms);
        if fate == EndpointFate::Ended {
            tokio::task::spawn_local(probe_helpers(core.clone(), run, at_ms));
        }
    }
    fate
}

/// Finds out which helpers of a run have crashed with its endpoint.
async fn probe_helpers(core: Rc<Core>, run: LostRun, at_ms: f64) {
    for helper in &run.helpers {
        if self::endpoint_fate(&core, helper).await == EndpointFate::Ended {
            core.record_helper_crash(run.keys.request, helper, at_ms);
        }
    }
}

/// Probes an endpoint again that accepted a connection. A process that ends closes its sockets one
/// after the other, so its clients may notice before it stops listening.
async fn reprobe(core: Rc<Core>, run: LostRun, at_ms: f64) {
    for pause in REPROBE_DELAYS {
        sleep(pause).await;
        if core.is_unresolved(&run)
            && shared_probe(&core, &run.endpoint).await == EndpointFate::Ended
        {
            core.record_loss(run, EndpointFate::Ended, at_ms);
            return;
        }
    }
}

async fn endpoint_fate(core: &Rc<Core>, endpoint: &Arc<Endpoint>) -> EndpointFate {
    if !is_present(core, endpoint) {
        return EndpointFate::Left;
    }
    if core.has_crashed(endpoint) {
        return EndpointFate::Ended;
    }
    shared_probe(core, endpoint).await
}

/// Probes an endpoint once for all callers that ask at the same time.
async fn shared_probe(core: &Core, endpoint: &Endpoint) -> EndpointFate {
    let pending = {
        let mut probes = core.endpoint_probes.borrow_mut();
        probes.entry(endpoint.key).or_default().clone()
    };
    let fate = *pending.get_or_init(|| probe(core, endpoint)).await;
    core.endpoint_probes.borrow_mut().remove(&endpoint.key);
    fate
}

/// Whether an endpoint is listed and not leaving.
fn is_present(core: &Core, endpoint: &Endpoint) -> bool {
    let fleet = core.published.fleet();
    let listed = fleet.by_key.get(&endpoint.key);
    listed.is_some_and(|listed| !listed.facts.is_leaving)
}

async fn probe(core: &Core, endpoint: &Endpoint) -> EndpointFate {
    match Connection::open(endpoint.facts.address, PROBE_TIMEOUT).await {
        Ok(_) => EndpointFate::Alive,
        Err(CallError::Refused(_)) => {
            core.record_connection_refused(endpoint.key);
            EndpointFate::Ended
        }
        Err(error) => {
            log::debug!(error:% = error; "endpoint probe was inconclusive");
            EndpointFate::Unclear
        }
    }
}
