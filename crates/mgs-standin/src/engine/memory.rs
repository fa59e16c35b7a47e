//! An engine's KV memory: what streams and held KV reserve, and a cache of prompt blocks.
//!
//! A block that a stream uses is counted once, however many streams use it. A block that none uses
//! stays cached until its room is needed; the least recently used goes first.

use std::collections::BTreeMap;
use std::collections::HashMap;

use mgs_schema::prefix::BLOCK_TOKENS;

/// A change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Chained hash of the block.
    pub block: u64,
    /// Whether the block is now in the cache.
    pub cached: bool,
}

/// What one stream holds.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Hold {
    private_tokens: u64,
    blocks: Vec<u64>,
    cached_tokens: u64,
}

impl Hold {
    /// Memory that it holds, shared blocks included.
    pub fn tokens(&self) -> u64 {
        self.private_tokens + self.blocks.len() as u64 * BLOCK_TOKENS
    }

    /// Tokens that were found in the cache when it was reserved.
    pub fn cached_tokens(&self) -> u64 {
        self.cached_tokens
    }
}

#[derive(Debug)]
struct Block {
    users: u32,
    /// Its place in the order of idle blocks, if no stream uses it.
    stamp: u64,
}

/// The memory of one engine.
#[derive(Debug)]
pub struct Memory {
    capacity_tokens: u64,
    reserved_tokens: u64,
    blocks: HashMap<u64, Block>,
    idle: BTreeMap<u64, u64>,
    next_stamp: u64,
    peak_tokens: u64,
    changes: Vec<Change>,
}

impl Memory {
    /// Empty memory.
    ///
    /// ```
    /// use mgs_standin::engine::memory::Memory;
    ///
    /// let mut memory = Memory::new(1_000);
    /// let hold = memory.reserve(&[], 600).expect("room");
    /// assert!(memory.reserve(&[], 600).is_none());
    /// memory.release(hold);
    /// assert_eq!(memory.used_tokens(), 0);
    /// ```
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            reserved_tokens: 0,
            blocks: HashMap::new(),
            idle: BTreeMap::new(),
            next_stamp: 0,
            peak_tokens: 0,
            changes: Vec::new(),
        }
    }

    /// Memory in use by streams and held KV, the idle cache excluded.
    pub fn used_tokens(&self) -> u64 {
        let used = self.blocks.len() - self.idle.len();
        self.reserved_tokens + used as u64 * BLOCK_TOKENS
    }

    /// Memory of the idle cache.
    pub fn cached_tokens(&self) -> u64 {
        self.idle.len() as u64 * BLOCK_TOKENS
    }

    /// The most that was ever in use.
    pub fn peak_tokens(&self) -> u64 {
        self.peak_tokens
    }

    /// Takes the changes of the cache since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Reserves `total_tokens`, of which the leading `blocks` that are cached are shared; `None`
    /// if there is no room.
    pub fn reserve(&mut self, blocks: &[u64], total_tokens: u64) -> Option<Hold> {
        let shared = self.shared(blocks);
        let shared_tokens = shared.len() as u64 * BLOCK_TOKENS;
        let idle = shared.iter().filter(|block| self.is_idle(block)).count();
        let taken = self.used_tokens() + idle as u64 * BLOCK_TOKENS;
        let private_tokens = total_tokens.saturating_sub(shared_tokens);
        if private_tokens > self.capacity_tokens.saturating_sub(taken) {
            return None;
        }
        for block in shared {
            self.add_user(*block);
        }
        self.reserved_tokens += private_tokens;
        self.evict();
        self.peak_tokens = self.peak_tokens.max(self.used_tokens());
        Some(Hold {
            private_tokens,
            blocks: shared.to_vec(),
            cached_tokens: shared_tokens,
        })
    }

    /// Puts a stream's processed blocks into the cache; it keeps using them.
    pub fn publish(&mut self, hold: &mut Hold, blocks: &[u64]) {
        let shared = hold.blocks.len();
        for block in &blocks[shared.min(blocks.len())..] {
            let fits = hold.private_tokens >= BLOCK_TOKENS;
            if !fits || self.blocks.contains_key(block) {
                continue;
            }
            hold.private_tokens -= BLOCK_TOKENS;
            self.reserved_tokens -= BLOCK_TOKENS;
            hold.blocks.push(*block);
            self.blocks.insert(*block, Block { users: 1, stamp: 0 });
            self.changes.push(Change {
                block: *block,
                cached: true,
            });
        }
    }

    /// Gives back what a stream holds; its blocks stay cached while there is room.
    pub fn release(&mut self, hold: Hold) {
        self.reserved_tokens -= hold.private_tokens;
        // The end of a prompt is evicted before its beginning, on which it depends.
        for block in hold.blocks.iter().rev() {
            self.remove_user(*block);
        }
    }

    /// The leading blocks that are cached.
    fn shared<'a>(&self, blocks: &'a [u64]) -> &'a [u64] {
        let cached = blocks.iter().take_while(|b| self.blocks.contains_key(b));
        &blocks[..cached.count()]
    }

    fn is_idle(&self, block: &u64) -> bool {
        self.blocks.get(block).is_some_and(|block| block.users == 0)
    }

    fn add_user(&mut self, key: u64) {
        let block = self.blocks.get_mut(&key).expect("shared blocks are cached");
        if block.users == 0 {
            self.idle.remove(&block.stamp);
        }
        block.users += 1;
    }

    fn remove_user(&mut self, key: u64) {
        let block = self.blocks.get_mut(&key).expect("used blocks are cached");
        block.users -= 1;
        if block.users == 0 {
            block.stamp = self.next_stamp;
            self.idle.insert(block.stamp, key);
            self.next_stamp += 1;
        }
    }

    fn evict(&mut self) {
        while self.used_tokens() + self.cached_tokens() > self.capacity_tokens {
            let (_, block) = self.idle.pop_first().expect("what is used fits");
            self.blocks.remove(&block);
            self.changes.push(Change {
                block,
                cached: false,
            });
        }
    }
}
