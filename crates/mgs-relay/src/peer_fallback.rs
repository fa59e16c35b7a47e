//! Takes configuration and endpoints from peers while the store is unreachable.
//!
//! Otherwise, a rolling restart during an outage of the store would leave no gateway with a
//! configuration, and a store that rejects some gateways would leave these with revoked keys and
//! endpoints that have left. A peer's data may be older than what is known here: it never replaces a
//! newer configuration, nor a list of endpoints that was read at a later revision of the store.

use std::cell::RefCell;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::evacuation_state::OrderOrigin;
use crate::follow::Options;
use crate::freshness::Freshness;
use crate::membership::Endpoints;
use crate::peer_snapshot;
use crate::peer_snapshot::PeerSnapshot;
use crate::snapshot_search::SnapshotSearch;
use crate::snapshot_search::HEDGE_DELAY_MS;
use crate::view::Configuration;
use crate::view::Published;
use crate::warm_up::WarmUpSnapshot;

/// Interval between checks whether a peer has newer data while the store is unreachable.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Takes data from peers when needed, until the process ends.
pub(crate) async fn run(
    options: Options,
    published: Arc<Published>,
    endpoints: Rc<RefCell<Endpoints>>,
) {
    sleep(Duration::from_millis(options.informed_peer_delay_ms)).await;
    fetch_first_snapshot(&options, &published, &endpoints).await;
    let mut ahead = NewerPeer::default();
    loop {
        sleep(PEER_CHECK_INTERVAL).await;
        let peer = fresher_peer(&published).or_else(|| ahead.peer(&published));
        if let Some(peer) = peer {
            if let Some(handover) = peer_snapshot::fetch(peer).await {
                apply_handover(&published, &endpoints, peer, handover);
            }
        }
        drop_expired(&published, &endpoints);
    }
}

/// Asks peers until everything is known that serving needs, from the store or from one of them.
async fn fetch_first_snapshot(
    options: &Options,
    published: &Published,
    endpoints: &RefCell<Endpoints>,
) {
    let mut search = SnapshotSearch::with_seed(search_seed(options));
    let mut fetches = JoinSet::new();
    while !published.is_complete() {
        let informed = published.informed_peers();
        let now_ms = published.now_ms();
        let seeds = match now_ms >= options.bootstrap_delay_ms {
            true => options.seed_peers.as_slice(),
            false => &[],
        };
        let peer = search.next_peer(&informed, seeds, now_ms);
        if let Some(peer) = peer {
            fetches.spawn_local(async move { (peer, peer_snapshot::fetch(peer).await) });
        }
        let Some(ended) = next_end(&mut fetches).await else {
            continue;
        };
        search.record_end();
        if let Some((peer, handover)) = ended {
            apply_handover(published, endpoints, peer, handover);
        }
    }
}

/// A peer that was asked, and its snapshot if it had one.
type Fetched = (SocketAddr, Option<PeerSnapshot>);

/// The peer and snapshot of the next fetch that ends, or `Some(None)` if its peer had none; `None`
/// once it is time to ask a further peer.
async fn next_end(fetches: &mut JoinSet<Fetched>) -> Option<Option<(SocketAddr, PeerSnapshot)>> {
    let delay = Duration::from_millis(HEDGE_DELAY_MS);
    if fetches.is_empty() {
        sleep(delay).await;
        return None;
    }
    let ended = timeout(delay, fetches.join_next()).await.ok()??;
    match ended {
        Ok((peer, handover)) => Some(handover.map(|handover| (peer, handover))),
        Err(error) => {
            log::error!(error:% = error; "the task that asks a peer has failed");
            Some(None)
        }
    }
}

/// A number that differs between gateways.
fn search_seed(options: &Options) -> u64 {
    let mut hasher = DefaultHasher::new();
    options.peer_address.hash(&mut hasher);
    hasher.finish()
}

/// Checks during which a peer must have a newer configuration before it is asked; usually the store
/// delivers it sooner.
const CHECKS_BEFORE_ASKING: u32 = 2;

/// Counts for how long peers have had a newer configuration although the store answers. A store
/// restored from an older copy serves an older configuration until the operators write again, and a
/// gateway that starts meanwhile reads that.
#[derive(Debug, Default)]
struct NewerPeer {
    content: u64,
    checks: u32,
}

impl NewerPeer {
    /// A peer that has had a newer configuration for more than [`CHECKS_BEFORE_ASKING`] checks.
    fn peer(&mut self, published: &Published) -> Option<SocketAddr> {
        let word = published.configuration_freshness().newer_report();
        let Some(word) = word else {
            *self = Self::default();
            return None;
        };
        if word.content_id != self.content {
            *self = Self {
                content: word.content_id,
                checks: 0,
            };
        }
        self.checks += 1;
        Some(word.from).filter(|_| self.checks > CHECKS_BEFORE_ASKING)
    }
}

/// A peer with newer data on a topic for which this gateway can't reach the store.
fn fresher_peer(published: &Published) -> Option<SocketAddr> {
    let better = |belief: &Freshness| {
        belief.store_lost_since_ms()?;
        belief.newer_report().map(|word| word.from)
    };
    better(published.configuration_freshness()).or_else(|| better(published.endpoint_freshness()))
}

fn apply_handover(
    published: &Published,
    endpoints: &RefCell<Endpoints>,
    peer: SocketAddr,
    mut handover: PeerSnapshot,
) {
    let now_ms = published.now_ms();
    // Before the configuration, without which no request is served.
    published.update_evacuations(OrderOrigin::Snapshot, |evacuations| {
        evacuations.merge(&handover.orders, now_ms)
    });
    let mut configuration = Configuration::clone(&handover.configuration);
    if let Some(warm_up) = &handover.warm_up {
        warm_up.add_limits(&mut configuration);
    }
    // `put_configuration` ignores an older configuration.
    published.put_configuration(configuration);
    let mut endpoints = endpoints.borrow_mut();
    published.apply_services(&mut endpoints);
    let freshness = published.endpoint_freshness();
    let is_lost = freshness.store_lost_since_ms().is_some();
    if !is_lost && !endpoints.is_provisional() {
        return;
    }
    let is_reported_newer = freshness.newer_report().is_some_and(|r| r.from == peer);
    // Any endpoint of the first list may have run for long; the peer tells which are cold.
    let listed_ms = (!endpoints.is_empty()).then_some(now_ms);
    let list = handover.take_endpoints(now_ms);
    if !endpoints.take_list(list, is_reported_newer, now_ms) {
        log::info!(peer:% = peer; "a peer's list of endpoints isn't newer than the own one");
        return;
    }
    endpoints.date_new(listed_ms);
    for (id, remaining_ms) in handover.warm_up.iter().flat_map(WarmUpSnapshot::cold) {
        endpoints.extend_cold(id, now_ms + remaining_ms);
    }
    endpoints.take_changed();
    published.put_endpoints(&endpoints, true);
}

/// Drops endpoints whose entry may have expired in an outage and wasn't written again in time, also
/// while no read of the store does it.
fn drop_expired(published: &Published, endpoints: &RefCell<Endpoints>) {
    let mut endpoints = endpoints.borrow_mut();
    endpoints.drop_missing(published.now_ms());
    if endpoints.take_changed() {
        published.put_endpoints(&endpoints, true);
    }
}
