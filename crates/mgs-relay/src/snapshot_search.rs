//! Decides which peers a gateway that starts without the store asks for a snapshot, and when.
//!
//! Peers are asked side by side: a peer may be unreachable for as long as its links are cut, and a
//! gateway that waits for its timeout refuses all requests meanwhile. Peers that report to know a
//! configuration go before those in the settings, which may have started at the same moment and
//! know nothing.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

/// Time after which a further peer is asked beside those that haven't answered, in milliseconds.
/// Most snapshots arrive sooner, also on a narrow link.
pub const HEDGE_DELAY_MS: u64 = 100;

/// Time after which the same peer is asked again, in milliseconds.
const ASK_AGAIN_MS: u64 = 1_000;

/// Most peers that are asked at the same time. Each may send a whole snapshot over a narrow link.
const IN_PROGRESS_MAX: usize = 4;

/// The peers that were asked.
#[derive(Debug, Default)]
pub struct SnapshotSearch {
    /// Decides the order in which peers are asked, so that gateways that start together ask
    /// different ones, and peers of one zone aren't asked in a row.
    seed: u64,
    asked: HashMap<SocketAddr, Asked>,
    in_progress: usize,
}

/// How often a peer was asked.
#[derive(Debug, Clone, Copy, Default)]
struct Asked {
    times: u32,
    last_ms: u64,
}

impl SnapshotSearch {
    /// A search in an order that depends on `seed`.
    pub fn with_seed(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// The peer to ask now, if any: one of the `informed` peers, which report to know a
    /// configuration, else one of the `seeds`. It counts as asked until [`Self::record_end`].
    ///
    /// ```
    /// use mgs_relay::snapshot_search::SnapshotSearch;
    ///
    /// let peer = |port: u16| ([127, 0, 0, 1], port).into();
    /// let mut search = SnapshotSearch::with_seed(0);
    /// let (informed, seeds) = ([peer(7)], [peer(1)]);
    /// assert_eq!(search.next_peer(&informed, &seeds, 0), Some(peer(7)));
    /// assert_eq!(search.next_peer(&informed, &seeds, 100), Some(peer(1)));
    /// assert_eq!(search.next_peer(&informed, &seeds, 200), None);
    /// assert_eq!(search.next_peer(&informed, &seeds, 1_000), Some(peer(7)));
    /// ```
    pub fn next_peer(
        &mut self,
        informed: &[SocketAddr],
        seeds: &[SocketAddr],
        now_ms: u64,
    ) -> Option<SocketAddr> {
        if self.in_progress >= IN_PROGRESS_MAX {
            return None;
        }
        let is_due = |peer: &&SocketAddr| self.is_due(peer, now_ms);
        let first = |peers: &[SocketAddr]| {
            let due = peers.iter().filter(is_due);
            due.min_by_key(|peer| self.rank(peer)).copied()
        };
        let peer = first(informed).or_else(|| first(seeds))?;
        let asked = self.asked.entry(peer).or_default();
        asked.times += 1;
        asked.last_ms = now_ms;
        self.in_progress += 1;
        Some(peer)
    }

    fn is_due(&self, peer: &SocketAddr, now_ms: u64) -> bool {
        let asked = self.asked.get(peer);
        asked.is_none_or(|asked| now_ms.saturating_sub(asked.last_ms) >= ASK_AGAIN_MS)
    }

    /// Position in the order: peers that were asked less often come first.
    fn rank(&self, peer: &SocketAddr) -> (u32, u64) {
        let mut hasher = DefaultHasher::new();
        (self.seed, peer).hash(&mut hasher);
        let times = self.asked.get(peer).map_or(0, |asked| asked.times);
        (times, hasher.finish())
    }

    /// Records that a peer has answered, or that its timeout has passed.
    pub fn record_end(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }
}
