//! The engine's cache events, which come late and with gaps.

use std::collections::BTreeSet;

/// Settings of the index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Most blocks remembered.
    pub blocks_max: usize,
    /// Most blocks in one delta.
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

/// One change, as the engine numbers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Number of the event; a missing number is a gap.
    pub number: u64,
    /// Chained hash of the block.
    pub block: u64,
    /// Whether the block is now in the cache.
    pub cached: bool,
}

/// What is new for gateways.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Delta {
    /// Whether they must forget what they knew.
    pub reset: bool,
    /// Blocks newly cached.
    pub cached: Vec<u64>,
    /// Blocks evicted.
    pub evicted: Vec<u64>,
}

/// Blocks believed to be in the engine's cache.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cache {
    options: Options,
    seen: u64,
    blocks: BTreeSet<u64>,
    /// Changes that every reader with an older position still has to learn.
    log: Vec<(u64, bool)>,
    /// Position of the first entry of `log`; grows for ever.
    log_start: u64,
    /// Position before which every reader must forget what it knew.
    reset_at: u64,
}

impl Cache {
    /// An empty index.
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

    /// Number of the last event seen, to ask for those after it.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Takes events; those seen before are dropped, and a gap makes the index start anew.
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

    /// Forgets everything (a gap, or another start of the engine that counts anew).
    pub fn reset(&mut self) {
        self.blocks.clear();
        self.log_start += self.log.len() as u64 + 1;
        self.log.clear();
        self.reset_at = self.log_start;
    }

    /// As [`Cache::reset`], and events are numbered from 1 again.
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

    /// What a reader at `position` has to learn, a bounded part of it, and its next position.
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
            delta.note(*block, *cached);
        }
        (delta, next)
    }

    /// Blocks of a prompt that are cached, counted from its start.
    pub fn cached_blocks(&self, hashes: &[u64]) -> usize {
        let cached = |hash: &&u64| self.blocks.contains(hash);
        hashes.iter().take_while(cached).count()
    }
}

impl Delta {
    /// The later change of a block counts.
    fn note(&mut self, block: u64, cached: bool) {
        self.cached.retain(|known| *known != block);
        self.evicted.retain(|known| *known != block);
        match cached {
            true => self.cached.push(block),
            false => self.evicted.push(block),
        }
    }
}
