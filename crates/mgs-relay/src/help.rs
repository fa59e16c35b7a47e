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

use crate::follow::Options;
use crate::freshness::Freshness;
use crate::membership::Endpoints;
use crate::peer_snapshot;
use crate::peer_snapshot::PeerSnapshot;
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
    sleep(Duration::from_millis(options.bootstrap_delay_ms)).await;
    while !published.is_complete() {
        if let Some(handover) = peer_snapshot::fetch_first(&options.seed_peers).await {
            take(&published, &endpoints, handover);
        }
        sleep(START_PAUSE).await;
    }
    let mut ahead = Ahead::default();
    loop {
        sleep(LOOK).await;
        let peer = better_peer(&published).or_else(|| ahead.peer(&published));
        if let Some(peer) = peer {
            if let Some(handover) = peer_snapshot::fetch_first(&[peer]).await {
                take(&published, &endpoints, handover);
            }
        }
    }
}

/// Looks for which a peer must know a newer configuration before it is asked: usually the store tells sooner.
const LOOKS_AHEAD: u32 = 2;

/// For how long peers have known a newer configuration than this gateway, although the store answers it. A store that came
/// back from an older copy has an older one, until the operators write again; a gateway that starts meanwhile reads
/// that.
#[derive(Debug, Default)]
struct Ahead {
    content: u64,
    looks: u32,
}

impl Ahead {
    /// A peer that has known a newer configuration for some looks.
    fn peer(&mut self, published: &Published) -> Option<SocketAddr> {
        let word = published.configuration_freshness().newer_report();
        let Some(word) = word else {
            *self = Self::default();
            return None;
        };
        if word.content_id != self.content {
            *self = Self {
                content: word.content_id,
                looks: 0,
            };
        }
        self.looks += 1;
        Some(word.from).filter(|_| self.looks > LOOKS_AHEAD)
    }
}

/// A peer that knows better of a topic for which this gateway has lost the store.
fn better_peer(published: &Published) -> Option<SocketAddr> {
    let better = |belief: &Freshness| {
        belief.store_lost_since_ms()?;
        belief.newer_report().map(|word| word.from)
    };
    better(published.configuration_freshness()).or_else(|| better(published.endpoint_freshness()))
}

fn take(published: &Published, endpoints: &RefCell<Endpoints>, handover: PeerSnapshot) {
    let is_lost =
        |belief: &Freshness| belief.store_lost_since_ms().is_some() || belief.content_id() == 0;
    // An older one isn't taken.
    published.put_configuration(Configuration::clone(&handover.configuration));
    if is_lost(published.endpoint_freshness()) {
        let mut endpoints = endpoints.borrow_mut();
        endpoints.replace_all(handover.endpoints, published.now_ms());
        published
            .endpoint_freshness()
            .set_content_id(endpoints.content_hash());
        published.put_fleet(endpoints.fleet());
    }
}
