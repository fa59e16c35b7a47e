//! The limit of one endpoint at one gateway: its last announced value, and the requests that may
//! still be sent under it.

use std::collections::HashMap;

use crate::options::Options;
use crate::peer_update::LimitUpdate;
use crate::peer_update::PeerUpdate;
use crate::share::Allocation;
use crate::share::Gateways;
use crate::table::IncarnationHash;

/// Requests that may be sent when a limit becomes known.
const FIRST_REQUESTS: f64 = 1.0;

/// An allocation and how long it is valid.
#[derive(Debug, Clone, Copy)]
struct CachedAllocation {
    /// [`SharingContext::allocation_version`] that it was computed for.
    allocation_version: u64,
    valid_until_ms: f64,
    allocation: Allocation,
}

/// The limit of one endpoint: a token bucket that is shared with the other gateways.
#[derive(Debug, Clone, Default)]
pub(crate) struct Limit {
    latest: Option<LimitUpdate>,
    /// Whether this gateway got `latest` from the endpoint rather than from a peer.
    is_first_hand: bool,
    /// When a limit became known that follows none, in milliseconds.
    limited_since_ms: f64,
    /// Requests that this gateway has sent under the limit.
    sent_requests: u32,
    /// Requests that other gateways report to have sent under it, by their incarnations.
    peer_sent_requests: HashMap<u64, u32>,
    /// Requests that all gateways together may send now; negative if they sent too many.
    available_requests: f64,
    /// When `available_requests` was last refilled, in milliseconds; `None` before the first limit.
    refilled_ms: Option<f64>,
    /// The last computed allocation, until it expires or the limit changes.
    cached_allocation: Option<CachedAllocation>,
}

impl Limit {
    /// Requests per second, if there is a limit.
    pub(crate) fn per_s(&self) -> Option<f64> {
        self.latest?.per_s
    }

    /// Applies an update if it is newer than the known one. Returns whether the limit changes.
    pub(crate) fn apply_update(
        &mut self,
        update: LimitUpdate,
        is_first_hand: bool,
        now_ms: f64,
    ) -> bool {
        if self
            .latest
            .is_some_and(|latest| !update.supersedes(&latest))
        {
            return false;
        }
        let is_changed = update.per_s != self.per_s();
        if self.per_s().is_none() {
            self.limited_since_ms = now_ms;
        }
        self.latest = Some(update);
        self.is_first_hand = is_first_hand;
        if is_changed {
            self.cached_allocation = None;
        }
        is_changed
    }

    /// Records the total that another gateway reports to have sent.
    pub(crate) fn record_peer_sent(&mut self, gateway: u64, sent_requests: u32) {
        let known = self.peer_sent_requests.entry(gateway).or_default();
        // A message that was overtaken carries a smaller total.
        let additional = sent_requests.saturating_sub(*known);
        *known += additional;
        self.available_requests -= f64::from(additional);
    }

    /// Forgets the totals of gateways that are no longer listed.
    pub(crate) fn retain_gateways(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.peer_sent_requests
            .retain(|gateway, _| is_listed(*gateway));
    }

    /// The update to send to peers.
    pub(crate) fn peer_update(&self) -> PeerUpdate {
        PeerUpdate {
            limit: self.latest.filter(|_| self.is_first_hand),
            sent_requests: self.sent_requests,
            is_leaving: false,
        }
    }

    /// Milliseconds until a request may be sent; 0 if it may be sent now.
    pub(crate) fn blocked_for_ms(
        &mut self,
        incarnation: IncarnationHash,
        context: &SharingContext<'_>,
    ) -> f64 {
        let Some(limit_per_s) = self.per_s() else {
            return 0.0;
        };
        let allocation = self.allocation(incarnation, limit_per_s, context);
        self.refill(limit_per_s, &allocation, context);
        let is_open = allocation.is_holder && self.available_requests >= 1.0;
        if is_open {
            return 0.0;
        }
        // A client that retries may reach any gateway, so the wait follows from the whole limit.
        let per_s = limit_per_s.max(context.options.min_per_s);
        (1.0 - self.available_requests).max(1.0) / per_s * 1e3
    }

    /// Records a request that is sent now. Returns whether it counts against a limit.
    pub(crate) fn record_sent(&mut self) -> bool {
        if self.per_s().is_none() {
            return false;
        }
        self.available_requests -= 1.0;
        self.sent_requests += 1;
        true
    }

    /// Records a request that was sent at `sent_ms` without being counted if no limit was known
    /// then. Returns whether it counts against a limit.
    pub(crate) fn record_sent_before(&mut self, sent_ms: f64) -> bool {
        if sent_ms >= self.limited_since_ms || self.per_s().is_none() {
            return false;
        }
        if self.refilled_ms.is_none() {
            self.refilled_ms = Some(self.limited_since_ms);
            self.available_requests = FIRST_REQUESTS;
        }
        self.record_sent()
    }

    fn allocation(
        &mut self,
        incarnation: IncarnationHash,
        limit_per_s: f64,
        context: &SharingContext<'_>,
    ) -> Allocation {
        let now_ms = context.now_ms;
        let is_valid = |cached_allocation: &CachedAllocation| {
            cached_allocation.allocation_version == context.allocation_version
                && now_ms < cached_allocation.valid_until_ms
        };
        if let Some(cached_allocation) = self.cached_allocation.filter(is_valid) {
            return cached_allocation.allocation;
        }
        let options = context.options;
        let allocation =
            context
                .gateways
                .allocation(incarnation, limit_per_s, context.clock_ms, options);
        self.cached_allocation = Some(CachedAllocation {
            allocation_version: context.allocation_version,
            valid_until_ms: now_ms + allocation.remaining_ms,
            allocation,
        });
        allocation
    }

    /// Adds the requests that have become available to all gateways since the last refill.
    fn refill(&mut self, limit_per_s: f64, allocation: &Allocation, context: &SharingContext<'_>) {
        let now_ms = context.now_ms;
        let Some(refilled_ms) = self.refilled_ms.replace(now_ms) else {
            self.available_requests = FIRST_REQUESTS;
            return;
        };
        let per_s = limit_per_s.max(context.options.min_per_s) * allocation.share;
        let capacity = (per_s * context.options.burst_ms / 1e3).max(1.0);
        let elapsed_ms = (now_ms - refilled_ms).max(0.0);
        // Bounds the debt: a gateway that starts late gets the totals of all requests ever sent.
        let floor = -(allocation.holders as f64);
        self.available_requests =
            (self.available_requests.max(floor) + per_s * elapsed_ms / 1e3).min(capacity);
    }
}

/// How a limit is shared at one moment.
#[derive(Debug)]
pub(crate) struct SharingContext<'a> {
    pub(crate) gateways: &'a Gateways,
    /// Changes whenever a cached allocation becomes invalid.
    pub(crate) allocation_version: u64,
    pub(crate) clock_ms: f64,
    pub(crate) now_ms: f64,
    pub(crate) options: &'a Options,
}
