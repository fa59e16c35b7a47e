//! An index of the blocks in the engine's prefix cache, built from its numbered cache events.
//!
//! Events may arrive late, twice or with gaps. A gap resets the index, since the missed changes
//! are unknown. Readers poll for deltas from a position of their own.

use std::collections::BTreeSet;

/// Limits of the index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of blocks in the index.
    pub blocks_max: usize,
    /// Maximum number of changes in one delta.
    pub delta_max: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            blocks_max: 1 << 16,
            delta_max: 512,
        }
    }
}

/// One cache event of the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Sequence number of the event; a missing number is a gap.
    pub number: u64,
    /// Chained hash of the block.
    pub block: u64,
    /// Whether the block is now in the cache.
    pub cached: bool,
}

/// Changes that a reader has not seen yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Delta {
    /// Whether the reader must discard its state before applying this delta.
    pub reset: bool,
    /// Blocks newly cached.
    pub cached: Vec<u64>,
    /// Blocks evicted.
    pub evicted: Vec<u64>,
}

/// Index of the blocks believed to be in the engine's cache.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cache {
    options: Options,
    /// Sequence number of the last event applied; 0 if none.
    seen: u64,
    blocks: BTreeSet<u64>,
    /// Recent changes (block, cached) in order, served to readers at an older position.
    log: Vec<(u64, bool)>,
    /// Position of the first entry of `log`; never decreases.
    log_start: u64,
    /// Readers at a position before this one must discard their state.
    reset_at: u64,
}

impl Cache {
    /// Creates an empty index.
    ///
    /// ```
    /// use mgs_ledger::cache::Cache;
    /// use mgs_ledger::cache::Change;
    ///
    /// let mut cache = Cache::new(Default::default());
    /// cache.apply(&[Change { number: 1, block: 7, cached: true }]);
    /// let (delta, position) = cache.delta(0);
    /// assert_eq!(delta.cached, [7]);
    /// assert_eq!(cache.delta(position).0, Default::default());
    /// ```
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Sequence number of the last event applied, from which the next events are requested.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Applies events. Those already seen are ignored, and a gap resets the index.
    pub fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            if change.number <= self.seen {
                continue;
            }
            if change.number != self.seen + 1 {
                self.reset();
            }
            self.seen = change.number;
            self.apply_one(change);
        }
    }

    /// Clears the index and makes every reader discard its state.
    pub fn reset(&mut self) {
        self.blocks.clear();
        self.log_start += self.log.len() as u64 + 1;
        self.log.clear();
        self.reset_at = self.log_start;
    }

    /// Clears the index after an engine restart, which numbers its events from 1 again.
    pub fn restart(&mut self) {
        self.reset();
        self.seen = 0;
    }

    fn apply_one(&mut self, change: &Change) {
        if change.cached && self.blocks.len() >= self.options.blocks_max {
            return;
        }
        let changed = match change.cached {
            true => self.blocks.insert(change.block),
            false => self.blocks.remove(&change.block),
        };
        if changed {
            self.log.push((change.block, change.cached));
        }
        if self.log.len() > 2 * self.options.blocks_max {
            let blocks = std::mem::take(&mut self.blocks);
            self.reset();
            self.log.extend(blocks.iter().map(|block| (*block, true)));
            self.blocks = blocks;
        }
    }

    /// Returns the next changes for a reader at `position`, at most [`Options::delta_max`], and
    /// the position to continue from.
    pub fn delta(&self, position: u64) -> (Delta, u64) {
        let reset = position < self.reset_at;
        let from = position.max(self.log_start);
        let skip = (from - self.log_start) as usize;
        let mut delta = Delta {
            reset,
            ..Delta::default()
        };
        let mut next = from;
        for (block, cached) in self.log.iter().skip(skip).take(self.options.delta_max) {
            next += 1;
            delta.record(*block, *cached);
        }
        (delta, next)
    }

    /// Length, in blocks, of the cached prefix of a prompt with these block hashes.
    pub fn cached_blocks(&self, hashes: &[u64]) -> usize {
        let cached = |hash: &&u64| self.blocks.contains(hash);
        hashes.iter().take_while(cached).count()
    }
}

impl Delta {
    /// Adds a change, which replaces an earlier one of the same block.
    fn record(&mut self, block: u64, cached: bool) {
        self.cached.retain(|known| *known != block);
        self.evicted.retain(|known| *known != block);
        match cached {
            true => self.cached.push(block),
            false => self.evicted.push(block),
        }
    }
}
