//! What a gateway takes from its peers while the store doesn't answer it.
//!
//! A rolling restart during an outage of the store would otherwise leave no gateway with a configuration,
//! and a store that turns some gateways away would leave these with keys that were taken back and endpoints
//! that have left. What a peer has may be older than what the store has: it never replaces a newer
//! configuration, and the first reading of the store goes before it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::belief::Belief;
use crate::follow::Options;
use crate::handover;
use crate::handover::Handover;
use crate::membership::Endpoints;
use crate::view::Configuration;
use crate::view::Published;

/// Time between two looks whether a peer knows better, while the store is lost.
const LOOK: Duration = Duration::from_millis(500);

/// Time between two rounds of questions at the start.
const START_PAUSE: Duration = Duration::from_millis(300);

/// Helps until the process ends.
pub(crate) async fn run(
    options: Options,
    published: Arc<Published>,
    endpoints: Rc<RefCell<Endpoints>>,
) {
    sleep(Duration::from_millis(options.start_patience_ms)).await;
    while !published.is_complete() {
        if let Some(handover) = handover::ask(&options.first_peers).await {
            take(&published, &endpoints, handover);
        }
        sleep(START_PAUSE).await;
    }
    loop {
        sleep(LOOK).await;
        if let Some(peer) = better_peer(&published) {
            if let Some(handover) = handover::ask(&[peer]).await {
                take(&published, &endpoints, handover);
            }
        }
    }
}

/// A peer that knows better of a topic for which this gateway has lost the store.
fn better_peer(published: &Published) -> Option<SocketAddr> {
    let better = |belief: &Belief| {
        belief.lost_since_ms()?;
        belief.better().map(|word| word.from)
    };
    better(published.configuration_belief()).or_else(|| better(published.endpoint_belief()))
}

fn take(published: &Published, endpoints: &RefCell<Endpoints>, handover: Handover) {
    let is_lost = |belief: &Belief| belief.lost_since_ms().is_some() || belief.content() == 0;
    if is_lost(published.configuration_belief()) {
        published.put_configuration(Configuration::clone(&handover.configuration));
    }
    if is_lost(published.endpoint_belief()) {
        let mut endpoints = endpoints.borrow_mut();
        endpoints.replace_by(handover.endpoints, published.now_ms());
        published.endpoint_belief().put(endpoints.content());
        published.put_fleet(endpoints.fleet());
    }
}
