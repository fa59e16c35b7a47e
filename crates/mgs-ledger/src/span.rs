//! Prompts that exceed one engine's memory: reservations, exported and imported KV.
//!
//! A gateway reserves memory at several endpoints, has all parts but one processed and exported
//! under the reservations, and dispatches to the endpoint of the last one, which imports them. The
//! exported KV belongs to its reservation, the imported KV to the request: each ends with its owner,
//! on every way out.

use mgs_schema::key::RequestId;

use crate::ledger::Ledger;
use crate::memory::Allocation;
use crate::memory::Holding;
use crate::memory::Owner;

impl Ledger {
    /// Reserves memory for a part of a prompt; repeating it prolongs the reservation.
    pub fn span_reserve(
        &mut self,
        now_ms: u64,
        span: u64,
        tokens: u64,
        valid_ms: u64,
        gateway: u64,
    ) -> bool {
        let expires_ms = now_ms + valid_ms;
        let holding = Holding::Span(span);
        if let Some(held) = self.memory.get_mut(&holding) {
            held.expires_ms = expires_ms;
            return true;
        }
        if !self.memory.fits(tokens) || self.closed.leaving || self.closed.down {
            return false;
        }
        let allocation = Allocation {
            tokens,
            expires_ms,
            owner: Owner::Gateway(gateway),
            freeing_ms: None,
        };
        self.memory.hold(holding, allocation);
        true
    }

    /// Frees a reservation and the KV exported under it.
    pub fn span_release(&mut self, now_ms: u64, span: u64) {
        self.memory.free(&Holding::Span(span));
        self.free_owned(now_ms, Owner::Span(span));
        self.schedule(now_ms);
    }

    /// A part of `tokens` is to be exported as `kv`; returns whether the reservation holds it.
    pub fn span_export(&mut self, span: u64, kv: &str, tokens: u64) -> bool {
        let from = Holding::Span(span);
        let to = Holding::Kv(kv.to_string());
        if let Some(known) = self.memory.get(&to) {
            return known.owner == Owner::Span(span) && known.freeing_ms.is_none();
        }
        let room = self.memory.get(&from).map_or(0, |held| held.tokens);
        if tokens > room {
            return false;
        }
        self.hold_kv(to.clone(), Owner::Span(span));
        self.memory.move_tokens(&from, &to, tokens);
        true
    }

    /// The export has ended, and the engine may hold `kv`. Its owner may have gone meanwhile.
    pub fn span_exported(&mut self, now_ms: u64, kv: &str, tokens: u64) {
        let holding = Holding::Kv(kv.to_string());
        if self.memory.get(&holding).is_none() {
            self.note_ownerless(now_ms, holding, tokens, true);
            self.drive_freeing(now_ms);
        }
    }

    /// A request is about to import `kv`.
    pub fn importing(&mut self, id: RequestId, kv: &str) {
        self.hold_kv(Holding::Kv(kv.to_string()), Owner::Request(id));
    }

    /// The import has ended, and the engine holds `tokens` for it.
    pub fn imported(&mut self, id: RequestId, attempt: u32, kv: &str, tokens: u64) {
        let from = Holding::Stream { id, attempt };
        let to = Holding::Kv(kv.to_string());
        self.memory.move_tokens(&from, &to, tokens);
    }

    fn hold_kv(&mut self, holding: Holding, owner: Owner) {
        let allocation = Allocation {
            tokens: 0,
            expires_ms: u64::MAX,
            owner,
            freeing_ms: None,
        };
        self.memory.hold(holding, allocation);
    }

    /// Frees all that an owner answered for.
    pub(crate) fn free_owned(&mut self, now_ms: u64, owner: Owner) {
        for holding in self.memory.owned_by(owner) {
            if matches!(holding, Holding::Kv(_)) {
                self.free_soon(now_ms, &holding);
            }
        }
        self.drive_freeing(now_ms);
    }

    /// What was exported here under a reservation that a request now uses belongs to the request.
    pub(crate) fn hand_over_span(&mut self, span: u64, id: RequestId) {
        for holding in self.memory.owned_by(Owner::Span(span)) {
            if let Some(held) = self.memory.get_mut(&holding) {
                held.owner = Owner::Request(id);
            }
        }
    }
}
