//! What is believed of an endpoint's prefix cache, from late events with gaps.

use std::sync::Arc;

use mgs_schema::wire::LoadReport;

use crate::block::BlockSet;

/// Applies the cache events of a report to `cached`, which never grows past `blocks_max`.
///
/// A block that is believed cached and isn't costs a prompt some processing; so a full set drops
/// what comes next until evictions or a reset make room.
///
/// ```
/// use std::sync::Arc;
///
/// use mgs_fleet::block::BlockSet;
/// use mgs_fleet::cache;
/// use mgs_schema::wire::LoadReport;
///
/// let mut cached: Arc<BlockSet> = Arc::default();
/// let report = LoadReport { cached_hashes: vec![1, 2, 3], ..LoadReport::default() };
/// cache::apply(&mut cached, &report, 2);
/// assert_eq!(cached.len(), 2);
/// ```
pub fn apply(cached: &mut Arc<BlockSet>, report: &LoadReport, blocks_max: usize) {
    if report.cache_reset {
        *cached = Arc::default();
    }
    if report.cached_hashes.is_empty() && report.evicted_hashes.is_empty() {
        return;
    }
    let cached = Arc::make_mut(cached);
    for hash in &report.evicted_hashes {
        cached.remove(hash);
    }
    for hash in &report.cached_hashes {
        if cached.len() >= blocks_max {
            break;
        }
        cached.insert(*hash);
    }
}

/// Count of leading `hashes` that are in `cached`.
///
/// Hashes are chained, so an engine that has a block almost always has those before it; the
/// search doubles its step and then halves it, which looks at a handful of blocks of a long prompt.
///
/// ```
/// use mgs_fleet::block::BlockSet;
///
/// let cached = BlockSet::from_iter([1, 2, 3]);
/// assert_eq!(mgs_fleet::cache::leading(&cached, &[1, 2, 3, 9]), 3);
/// ```
pub fn leading(cached: &BlockSet, hashes: &[u64]) -> usize {
    if cached.is_empty() || hashes.first().is_none_or(|first| !cached.contains(first)) {
        return 0;
    }
    let mut known = 1;
    let mut step = 1;
    while known + step <= hashes.len() && cached.contains(&hashes[known + step - 1]) {
        known += step;
        step *= 2;
    }
    while step > 0 {
        if known + step <= hashes.len() && cached.contains(&hashes[known + step - 1]) {
            known += step;
        }
        step /= 2;
    }
    known
}
