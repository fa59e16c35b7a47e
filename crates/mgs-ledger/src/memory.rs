//! The engine's memory: one owner and one expiry for each allocation.

use std::collections::BTreeMap;

use mgs_schema::key::RequestId;

/// What holds memory.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Holding {
    /// The stream of an attempt of a request.
    Stream {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: u32,
    },
    /// A reservation.
    Span(u64),
    /// A stream that the engine lists and no request here owns.
    Foreign(String),
    /// KV outside streams.
    Kv(String),
}

/// Who answers for an allocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Owner {
    /// Nobody known here.
    Nobody,
    /// A request; it ends with it.
    Request(RequestId),
    /// A reservation; it ends with it.
    Span(u64),
    /// A gateway; it ends with its lease.
    Gateway(u64),
}

/// Memory that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Allocation {
    /// How much.
    pub tokens: u64,
    /// When it is to be freed at the latest.
    pub expires_ms: u64,
    /// Who answers for it.
    pub owner: Owner,
    /// When the next attempt to free it is due; `None` while it is wanted.
    pub freeing_ms: Option<u64>,
}

/// Allocations by what holds them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Memory {
    capacity_tokens: Option<u64>,
    used_tokens: u64,
    held: BTreeMap<Holding, Allocation>,
}

impl Memory {
    /// Sets how much there is.
    pub fn set_capacity(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = Some(capacity_tokens);
    }

    /// How much there is, if known.
    pub fn capacity_tokens(&self) -> Option<u64> {
        self.capacity_tokens
    }

    /// How much is held.
    pub fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Whether `tokens` more would fit. Unknown capacity holds anything.
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

    /// Takes or replaces an allocation.
    pub fn hold(&mut self, holding: Holding, allocation: Allocation) {
        self.free(&holding);
        self.used_tokens += allocation.tokens;
        self.held.insert(holding, allocation);
    }

    /// Frees an allocation; freeing an unknown one changes nothing.
    pub fn free(&mut self, holding: &Holding) -> Option<Allocation> {
        let allocation = self.held.remove(holding)?;
        self.used_tokens -= allocation.tokens;
        Some(allocation)
    }

    /// An allocation.
    pub fn get(&self, holding: &Holding) -> Option<&Allocation> {
        self.held.get(holding)
    }

    /// An allocation, to change its times.
    pub fn get_mut(&mut self, holding: &Holding) -> Option<&mut Allocation> {
        self.held.get_mut(holding)
    }

    /// All allocations.
    pub fn iter(&self) -> impl Iterator<Item = (&Holding, &Allocation)> {
        self.held.iter()
    }

    /// Moves up to `tokens` from one allocation to another.
    pub fn move_tokens(&mut self, from: &Holding, to: &Holding, tokens: u64) {
        let available = self.held.get(from).map_or(0, |held| held.tokens);
        let moved = available.min(tokens);
        if self.held.contains_key(to) {
            if let Some(held) = self.held.get_mut(from) {
                held.tokens -= moved;
            }
            if let Some(held) = self.held.get_mut(to) {
                held.tokens += moved;
            }
        }
    }

    /// What an owner answers for.
    pub fn owned_by(&self, owner: Owner) -> Vec<Holding> {
        let owned = self.held.iter().filter(|(_, held)| held.owner == owner);
        owned.map(|(holding, _)| holding.clone()).collect()
    }

    /// Memory that reservations hold, and when the first of them ends.
    pub fn reserved(&self) -> (u64, Option<u64>) {
        let spans = |(holding, allocation): (&Holding, &Allocation)| match holding {
            Holding::Span(_) => Some(*allocation),
            _ => None,
        };
        let tokens = self.held.iter().filter_map(spans).map(|a| a.tokens).sum();
        let first_ms = self
            .held
            .iter()
            .filter_map(spans)
            .map(|a| a.expires_ms)
            .min();
        (tokens, first_ms)
    }
}
