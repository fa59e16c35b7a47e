//! The estimated content of an endpoint's prefix cache, from cache events that arrive late or get
//! lost.

use std::sync::Arc;

use mgs_schema::wire::LoadReport;

use crate::block::BlockSet;

/// Applies the cache events of a report to `cached`, which never grows beyond `blocks_max`.
///
/// Assuming a block to be cached that isn't costs prompt processing. So at the bound new blocks are
/// dropped until evictions or a reset make room.
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
/// cache::apply_report(&mut cached, &report, 2);
/// assert_eq!(cached.len(), 2);
/// ```
pub fn apply_report(cached: &mut Arc<BlockSet>, report: &LoadReport, blocks_max: usize) {
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

/// Number of leading `hashes` that are in `cached`.
///
/// Hashes are chained, so an engine that has a block almost always has all blocks before it. The
/// search doubles its step and then halves it, which looks up only a few blocks of a long prompt.
///
/// ```
/// use mgs_fleet::block::BlockSet;
///
/// let cached = BlockSet::from_iter([1, 2, 3]);
/// assert_eq!(mgs_fleet::cache::cached_prefix_len(&cached, &[1, 2, 3, 9]), 3);
/// ```
pub fn cached_prefix_len(cached: &BlockSet, hashes: &[u64]) -> usize {
    if cached.is_empty() || hashes.first().is_none_or(|first| !cached.contains(first)) {
        return 0;
    }
    let mut prefix_len = 1;
    let mut step = 1;
    while prefix_len + step <= hashes.len() && cached.contains(&hashes[prefix_len + step - 1]) {
        prefix_len += step;
        step *= 2;
    }
    while step > 0 {
        if prefix_len + step <= hashes.len() && cached.contains(&hashes[prefix_len + step - 1]) {
            prefix_len += step;
        }
        step /= 2;
    }
    prefix_len
}
