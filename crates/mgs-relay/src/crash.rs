//! What became of an endpoint whose run was lost: whether its process has ended, or only the connection.
//!
//! A run that is cut off says little by itself: endpoints reset connections, links lose packets, hosts are stopped. Only an
//! endpoint that has *ended* under a run may have been crashed by it.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mgs_fleet::view::EndpointKey;
use mgs_quarantine::fingerprint::Fingerprint;
use tokio::sync::OnceCell;
use tokio::time::sleep;

use crate::connect::CallError;
use crate::connect::Connection;
use crate::connect::Lost;
use crate::core::Core;
use crate::view::Endpoint;

/// Longest wait for a connection that shows whether an endpoint still listens.
const LOOK: Duration = Duration::from_millis(150);

/// Times between looks at an endpoint. One that is still there after a second has only cut connections.
const LOOK_AGAIN: [Duration; 3] = [
    Duration::from_millis(50),
    Duration::from_millis(200),
    Duration::from_millis(750),
];

/// What became of the endpoint of a lost run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    /// Its process has ended: nobody listens there any more.
    Ended,
    /// It takes connections.
    Lives,
    /// It was leaving, or listed no more: it was to end.
    Left,
    /// Nothing shows whether it has ended.
    Unclear,
}

impl Fate {
    /// Name in logs and counters.
    fn name(self) -> &'static str {
        match self {
            Self::Ended => "endpoint_ended",
            Self::Lives => "endpoint_lives",
            Self::Left => "endpoint_left",
            Self::Unclear => "unclear",
        }
    }
}

/// A run of which no answer came.
#[derive(Debug, Clone)]
pub(crate) struct LostRun {
    pub(crate) request_id: String,
    pub(crate) work: Fingerprint,
    pub(crate) endpoint: Arc<Endpoint>,
    /// Endpoints that had read parts of its prompt.
    pub(crate) helpers: Vec<Arc<Endpoint>>,
    /// Events that it had made.
    pub(crate) reached: u32,
}

/// Looks under way, by endpoint: all runs that an endpoint loses at once need one only.
pub(crate) type Looks = HashMap<EndpointKey, Rc<OnceCell<Fate>>>;

/// Finds out what became of the endpoint of a lost run, and says so.
pub(crate) async fn note(core: Rc<Core>, run: LostRun, lost: Lost) -> Fate {
    let fate = match lost {
        Lost::BrokenOff => fate(&core, &run.endpoint).await,
        Lost::PathLost | Lost::Silent | Lost::Unusable => Fate::Unclear,
    };
    core.metrics.lost_runs.inc(fate.name());
    log::info!(
        request_id = run.request_id, work:% = run.work,
        endpoint = run.endpoint.facts.incarnation.id, fate = fate.name(), lost:? = lost,
        reached = run.reached;
        "run lost"
    );
    if lost == Lost::BrokenOff {
        let at_ms = core.now_ms();
        if matches!(fate, Fate::Lives | Fate::Unclear) {
            tokio::task::spawn_local(look_again(core.clone(), run.clone(), at_ms));
        }
        core.run_lost(run.clone(), fate, at_ms);
        if fate == Fate::Ended {
            tokio::task::spawn_local(look_beside(core.clone(), run, at_ms));
        }
    }
    fate
}

/// Looks which helpers of a run have ended with its endpoint.
async fn look_beside(core: Rc<Core>, run: LostRun, at_ms: f64) {
    for helper in &run.helpers {
        if self::fate(&core, helper).await == Fate::Ended {
            core.crashed_beside(run.work, helper, at_ms);
        }
    }
}

/// Looks a few times more at an endpoint that took a connection: a process that ends closes its sockets one after the
/// other, and whom it served may hear of it before it stops to listen.
async fn look_again(core: Rc<Core>, run: LostRun, at_ms: f64) {
    for pause in LOOK_AGAIN {
        sleep(pause).await;
        if core.is_doubted(&run) && shared_look(&core, &run.endpoint).await == Fate::Ended {
            core.run_lost(run, Fate::Ended, at_ms);
            return;
        }
    }
}

async fn fate(core: &Rc<Core>, endpoint: &Arc<Endpoint>) -> Fate {
    if !is_present(core, endpoint) {
        return Fate::Left;
    }
    if core.has_crashed(endpoint) {
        return Fate::Ended;
    }
    shared_look(core, endpoint).await
}

/// One look for all that ask at the same time.
async fn shared_look(core: &Core, endpoint: &Endpoint) -> Fate {
    let look = {
        let mut looks = core.looks.borrow_mut();
        looks.entry(endpoint.key).or_default().clone()
    };
    let fate = *look.get_or_init(|| look_at(core, endpoint)).await;
    core.looks.borrow_mut().remove(&endpoint.key);
    fate
}

/// Whether it is listed and not leaving.
fn is_present(core: &Core, endpoint: &Endpoint) -> bool {
    let fleet = core.published.fleet();
    let listed = fleet.by_key.get(&endpoint.key);
    listed.is_some_and(|listed| !listed.facts.is_leaving)
}

async fn look_at(core: &Core, endpoint: &Endpoint) -> Fate {
    match Connection::open(endpoint.facts.address, LOOK).await {
        Ok(_) => Fate::Lives,
        Err(CallError::Refused(_)) => {
            core.refused_connection(endpoint.key);
            Fate::Ended
        }
        Err(error) => {
            log::debug!(error:% = error; "an endpoint's end can't be told");
            Fate::Unclear
        }
    }
}
