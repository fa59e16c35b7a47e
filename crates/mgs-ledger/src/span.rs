//! Spans: prompts that exceed the memory of one engine, with their reservations and their exported
//! and imported KV.
//!
//! A gateway reserves memory at several endpoints, has all parts of the prompt but the last
//! processed and exported under the reservations, and dispatches the request to the endpoint of the
//! last part, which imports the others. Exported KV is owned by its reservation and imported KV by
//! the request; each is freed with its owner, however that ends.

use mgs_schema::key::RequestId;

use crate::ledger::Ledger;
use crate::memory::Allocation;
use crate::memory::AllocationKey;
use crate::memory::Owner;

impl Ledger {
    /// Reserves memory for a part of a prompt for `valid_ms`; a repeated call renews the
    /// reservation. Returns whether the memory is reserved.
    pub fn span_reserve(
        &mut self,
        now_ms: u64,
        span: u64,
        tokens: u64,
        valid_ms: u64,
        gateway: u64,
    ) -> bool {
        let expires_ms = now_ms + valid_ms;
        let key = AllocationKey::Span(span);
        if let Some(allocation) = self.memory.get_mut(&key) {
            allocation.expires_ms = expires_ms;
            return true;
        }
        if !self.memory.fits(tokens) || self.unavailable.leaving || self.unavailable.down {
            return false;
        }
        let allocation = Allocation {
            tokens,
            expires_ms,
            owner: Owner::Gateway(gateway),
            next_free_ms: None,
        };
        self.memory.insert(key, allocation);
        true
    }

    /// Releases a reservation, and frees the KV exported under it.
    pub fn span_release(&mut self, now_ms: u64, span: u64) {
        self.memory.free(&AllocationKey::Span(span));
        self.free_owned(now_ms, Owner::Span(span));
        self.schedule(now_ms);
    }

    /// Handles the start of an export of `tokens` as `kv`; returns whether the reservation covers
    /// it.
    pub fn span_export(&mut self, span: u64, kv: &str, tokens: u64) -> bool {
        let from = AllocationKey::Span(span);
        let to = AllocationKey::Kv(kv.to_string());
        if let Some(known) = self.memory.get(&to) {
            return known.owner == Owner::Span(span) && known.next_free_ms.is_none();
        }
        let room = self
            .memory
            .get(&from)
            .map_or(0, |allocation| allocation.tokens);
        if tokens > room {
            return false;
        }
        self.insert_kv(to.clone(), Owner::Span(span));
        self.memory.move_tokens(&from, &to, tokens);
        true
    }

    /// Handles the end of an export, after which the engine may hold `kv`. If its reservation was
    /// released during the export, the KV is freed.
    pub fn span_exported(&mut self, now_ms: u64, kv: &str, tokens: u64) {
        let key = AllocationKey::Kv(kv.to_string());
        if self.memory.get(&key).is_none() {
            self.insert_unowned(now_ms, key, tokens, true);
            self.retry_frees(now_ms);
        }
    }

    /// Handles the start of an import of `kv` by a request.
    pub fn importing(&mut self, id: RequestId, kv: &str) {
        self.insert_kv(AllocationKey::Kv(kv.to_string()), Owner::Request(id));
    }

    /// Handles the end of an import, for which the engine holds `tokens`.
    pub fn imported(&mut self, id: RequestId, attempt: u32, kv: &str, tokens: u64) {
        let from = AllocationKey::Stream { id, attempt };
        let to = AllocationKey::Kv(kv.to_string());
        self.memory.move_tokens(&from, &to, tokens);
    }

    fn insert_kv(&mut self, key: AllocationKey, owner: Owner) {
        let allocation = Allocation {
            tokens: 0,
            expires_ms: u64::MAX,
            owner,
            next_free_ms: None,
        };
        self.memory.insert(key, allocation);
    }

    /// Frees all KV of an owner at the engine.
    pub(crate) fn free_owned(&mut self, now_ms: u64, owner: Owner) {
        for key in self.memory.owned_by(owner) {
            if matches!(key, AllocationKey::Kv(_)) {
                self.schedule_free(now_ms, &key);
            }
        }
        self.retry_frees(now_ms);
    }

    /// Makes a request the owner of the KV exported under the reservation that it uses.
    pub(crate) fn transfer_span_kv(&mut self, span: u64, id: RequestId) {
        for key in self.memory.owned_by(Owner::Span(span)) {
            if let Some(allocation) = self.memory.get_mut(&key) {
                allocation.owner = Owner::Request(id);
            }
        }
    }
}
