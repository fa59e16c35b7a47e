//! Which peers a gateway asks that starts without the store. Guards against a search that is held up by peers whose
//! links are cut, and against one that asks so many peers that their snapshots fill its link.

use std::collections::HashSet;
use std::net::SocketAddr;

use mgs_relay::snapshot_search::SnapshotSearch;
use mgs_relay::snapshot_search::HEDGE_DELAY_MS;

/// Time that an unreachable peer takes to fail, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;

fn peers(ports: std::ops::Range<u16>) -> Vec<SocketAddr> {
    let peer = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    ports.map(peer).collect()
}

/// Time until the search asks a reachable peer, in milliseconds, where others fail after [`TIMEOUT_MS`].
fn found_after_ms(informed: &[SocketAddr], reachable: &[SocketAddr], seed: u64) -> Option<u64> {
    let mut search = SnapshotSearch::with_seed(seed);
    let mut failures_ms = Vec::new();
    for now_ms in (0..10_000).step_by(HEDGE_DELAY_MS as usize) {
        let in_progress = failures_ms.len();
        failures_ms.retain(|at_ms| *at_ms > now_ms);
        for _ in failures_ms.len()..in_progress {
            search.record_end();
        }
        match search.next_peer(informed, &[], now_ms) {
            Some(peer) if reachable.contains(&peer) => return Some(now_ms),
            Some(_) => failures_ms.push(now_ms + TIMEOUT_MS),
            None => {}
        }
    }
    None
}

#[test]
fn three_unreachable_peers_cost_three_delays_at_most() {
    let informed = peers(1..5);
    for seed in 0..20 {
        let found_ms = found_after_ms(&informed, &informed[3..], seed).expect("a peer");
        assert!(found_ms <= 3 * HEDGE_DELAY_MS, "{seed}: {found_ms}");
    }
}

/// A zone's gateways hear those of two others, of which they reach one. Four unreachable peers come first in one of
/// sixteen searches or fewer.
#[test]
fn one_reachable_zone_of_two_is_found_soon_by_nearly_all() {
    let informed = peers(1..21);
    let found = (0..100).map(|seed| found_after_ms(&informed, &informed[10..], seed));
    let found_ms: Vec<u64> = found.map(|found_ms| found_ms.expect("a peer")).collect();
    let soon = found_ms.iter().filter(|ms| **ms <= 3 * HEDGE_DELAY_MS);
    assert!(soon.count() >= 90, "{found_ms:?}");
    assert!(
        found_ms.iter().all(|ms| *ms <= 2 * TIMEOUT_MS),
        "{found_ms:?}"
    );
}

#[test]
fn few_peers_are_asked_at_the_same_time() {
    let informed = peers(1..100);
    let mut search = SnapshotSearch::default();
    let asked = (0..50).filter_map(|round| search.next_peer(&informed, &[], round * 10));
    assert_eq!(asked.count(), 4);
    search.record_end();
    assert!(search.next_peer(&informed, &[], 600).is_some());
}

#[test]
fn gateways_begin_with_different_peers() {
    let informed = peers(1..11);
    let first = |seed| SnapshotSearch::with_seed(seed).next_peer(&informed, &[], 0);
    let firsts: HashSet<SocketAddr> = (0..30).filter_map(first).collect();
    assert!(firsts.len() >= 7, "{firsts:?}");
}

#[test]
fn a_peer_is_asked_again_after_a_second() {
    let informed = peers(1..2);
    let mut search = SnapshotSearch::default();
    assert!(search.next_peer(&informed, &[], 0).is_some());
    search.record_end();
    assert!(search.next_peer(&informed, &[], 900).is_none());
    assert!(search.next_peer(&informed, &[], 1_000).is_some());
}
