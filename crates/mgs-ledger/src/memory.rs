//! Accounting of the engine's memory: each allocation has one owner and one expiry.

use std::collections::BTreeMap;

use mgs_schema::key::RequestId;

/// Key of an allocation: what holds the memory.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AllocationKey {
    /// The stream of an attempt of a request.
    Stream {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: u32,
    },
    /// A span reservation, by the span's number.
    Span(u64),
    /// A stream that the engine lists and no known request owns, by its name.
    UnownedStream(String),
    /// Exported or imported KV outside of streams, by its name.
    Kv(String),
}

/// Owner of an allocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Owner {
    /// No known owner.
    Nobody,
    /// A request; the allocation ends with it.
    Request(RequestId),
    /// A span reservation; the allocation ends with it.
    Span(u64),
    /// A gateway incarnation; the allocation ends when its lease expires.
    Gateway(u64),
}

/// An allocation of engine memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Allocation {
    /// Size, in tokens.
    pub tokens: u64,
    /// Time at which it is freed at the latest.
    pub expires_ms: u64,
    /// Its owner.
    pub owner: Owner,
    /// When the next attempt to free it is due; `None` while it is in use.
    pub next_free_ms: Option<u64>,
}

/// Allocations by key, with their total size.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Memory {
    capacity_tokens: Option<u64>,
    /// Sum of the sizes of all allocations.
    used_tokens: u64,
    allocations: BTreeMap<AllocationKey, Allocation>,
}

impl Memory {
    /// Sets the capacity.
    pub fn set_capacity(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = Some(capacity_tokens);
    }

    /// Capacity in tokens, if known.
    pub fn capacity_tokens(&self) -> Option<u64> {
        self.capacity_tokens
    }

    /// Sum of all allocations, in tokens.
    pub fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Whether `tokens` more would fit. Anything fits while the capacity is unknown.
    ///
    /// ```
    /// use mgs_ledger::memory::Memory;
    ///
    /// let mut memory = Memory::default();
    /// memory.set_capacity(100);
    /// assert!(memory.fits(100));
    /// assert!(!memory.fits(101));
    /// ```
    pub fn fits(&self, tokens: u64) -> bool {
        match self.capacity_tokens {
            Some(capacity) => self.used_tokens.saturating_add(tokens) <= capacity,
            None => true,
        }
    }

    /// Inserts or replaces an allocation.
    pub fn insert(&mut self, key: AllocationKey, allocation: Allocation) {
        self.free(&key);
        self.used_tokens += allocation.tokens;
        self.allocations.insert(key, allocation);
    }

    /// Removes an allocation; removing an unknown one changes nothing.
    pub fn free(&mut self, key: &AllocationKey) -> Option<Allocation> {
        let allocation = self.allocations.remove(key)?;
        self.used_tokens -= allocation.tokens;
        Some(allocation)
    }

    /// Returns an allocation.
    pub fn get(&self, key: &AllocationKey) -> Option<&Allocation> {
        self.allocations.get(key)
    }

    /// Returns an allocation to change its owner or times; its size must not change.
    pub fn get_mut(&mut self, key: &AllocationKey) -> Option<&mut Allocation> {
        self.allocations.get_mut(key)
    }

    /// All allocations.
    pub fn iter(&self) -> impl Iterator<Item = (&AllocationKey, &Allocation)> {
        self.allocations.iter()
    }

    /// Moves up to `tokens` from one allocation to another, if both exist.
    pub fn move_tokens(&mut self, from: &AllocationKey, to: &AllocationKey, tokens: u64) {
        let available = self
            .allocations
            .get(from)
            .map_or(0, |allocation| allocation.tokens);
        let moved = available.min(tokens);
        if self.allocations.contains_key(to) {
            if let Some(allocation) = self.allocations.get_mut(from) {
                allocation.tokens -= moved;
            }
            if let Some(allocation) = self.allocations.get_mut(to) {
                allocation.tokens += moved;
            }
        }
    }

    /// Keys of the allocations of an owner.
    pub fn owned_by(&self, owner: Owner) -> Vec<AllocationKey> {
        let owned = self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.owner == owner);
        owned.map(|(key, _)| key.clone()).collect()
    }

    /// Sum of the span reservations in tokens, and the earliest expiry among them.
    pub fn reserved(&self) -> (u64, Option<u64>) {
        let spans = |(key, allocation): (&AllocationKey, &Allocation)| match key {
            AllocationKey::Span(_) => Some(*allocation),
            _ => None,
        };
        let tokens = self
            .allocations
            .iter()
            .filter_map(spans)
            .map(|a| a.tokens)
            .sum();
        let first_ms = self
            .allocations
            .iter()
            .filter_map(spans)
            .map(|a| a.expires_ms)
            .min();
        (tokens, first_ms)
    }
}
