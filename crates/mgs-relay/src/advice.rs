//! Backpressure: what endpoints ask for in their responses, and which of them may be sent requests.
//!
//! This is checked twice, when endpoints are chosen and right before a request is sent, since the
//! request may have waited in between.

use std::collections::HashMap;
use std::sync::Arc;

use http::response;
use mgs_backpressure::advice::Field;
use mgs_backpressure::peer_update::LimitUpdate;
use mgs_backpressure::peer_update::PeerUpdate;
use mgs_backpressure::share::Gateways;
use mgs_backpressure::table::AdviceChange;
use mgs_backpressure::table::BlockReason;
use mgs_backpressure::table::Blocked;
use mgs_backpressure::table::IncarnationHash;
use mgs_backpressure::warm_up::Permit;
use mgs_fleet::view::EndpointKey;
use mgs_placing::peer_message::AdviceAt;
use mgs_placing::peer_message::LimitStatement;
use mgs_placing::peer_message::PeerMessage;

use crate::core::Core;
use crate::dialect::ClientRequest;
use crate::drain::Phase;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::peers::TRANSIT_MS;
use crate::place::PlacedRequest;
use crate::place::RETRY_AFTER_NO_ENDPOINT_MS;
use crate::view::Endpoint;
use crate::wait::RETRY_AFTER_MAX_MS;
use crate::wait::RETRY_AFTER_MIN_MS;

/// `Retry-After` if all endpoints are in evacuated zones, in milliseconds: no gateway knows when the
/// operators will withdraw an order.
const RETRY_AFTER_EVACUATED_MS: u64 = 1_000;

/// An endpoint in an evacuated zone.
const EVACUATED: Blocked = Blocked {
    reason: BlockReason::Evacuated,
    blocked_for_ms: f64::INFINITY,
};

/// Endpoints that may not be sent a request now, because they leave, asked for a backoff, reached a
/// limit or are in an evacuated zone.
#[derive(Debug, Default)]
pub(crate) struct BlockedEndpoints(HashMap<EndpointKey, Blocked>);

impl BlockedEndpoints {
    /// Whether the endpoint may get no request of its own.
    pub(crate) fn contains(&self, endpoint: &Endpoint) -> bool {
        self.0.contains_key(&endpoint.key)
    }

    /// Whether the endpoint may get nothing at all, not even a request to help.
    pub(crate) fn blocks_help(&self, endpoint: &Endpoint) -> bool {
        let blocked = self.0.get(&endpoint.key);
        blocked.is_some_and(|blocked| blocked.reason.blocks_helpers())
    }

    /// Builds the refusal of a request whose endpoints are all blocked. The client may retry when
    /// the first of them isn't blocked any more, or sooner, since the backoff may have been asked of
    /// this gateway only.
    pub(crate) fn refusal<'a>(
        &self,
        endpoints: impl IntoIterator<Item = &'a Arc<Endpoint>>,
        request_id: &str,
    ) -> Refusal {
        let checked = endpoints.into_iter().map(|e| self.0.get(&e.key));
        let checked: Vec<Option<&Blocked>> = checked.collect();
        let blocked: Vec<&Blocked> = checked.iter().copied().flatten().collect();
        let count = |reason: BlockReason| {
            blocked
                .iter()
                .filter(|blocked| blocked.reason == reason)
                .count()
        };
        let blocked_for_ms = blocked.iter().map(|blocked| blocked.blocked_for_ms);
        let blocked_for_ms = blocked_for_ms.fold(f64::INFINITY, f64::min);
        let evacuated = count(BlockReason::Evacuated);
        let fault = match evacuated == checked.len() && evacuated > 0 {
            true => Fault::ZonesEvacuated,
            false => Fault::Blocked,
        };
        let retry_after_ms = match (fault, blocked_for_ms.is_finite()) {
            (Fault::ZonesEvacuated, _) => RETRY_AFTER_EVACUATED_MS,
            (_, true) => (blocked_for_ms as u64).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS),
            (_, false) => RETRY_AFTER_NO_ENDPOINT_MS,
        };
        log::info!(
            request_id = request_id,
            leaving = count(BlockReason::Leaving),
            resting = count(BlockReason::Backoff),
            limited = count(BlockReason::Limit),
            evacuated = evacuated,
            warming = count(BlockReason::WarmUp),
            retry_after_ms = retry_after_ms;
            "all endpoints are shut"
        );
        Refusal::after(fault, retry_after_ms)
    }
}

impl Core {
    /// Takes the advice in a response to a request that was sent at `sent_ms`.
    pub(crate) fn apply_advice(
        &self,
        endpoint: &Endpoint,
        client_request: &ClientRequest,
        head: &response::Parts,
        sent_ms: f64,
    ) {
        self.first_answers
            .borrow_mut()
            .record_answer(incarnation(endpoint));
        let mut advice = self.dialect.advice(client_request, head);
        if !self.has_warm_up_limit(endpoint) {
            advice.cold_ms = Field::Unknown;
        }
        let time = self.check_time();
        let mut table = self.backpressure.borrow_mut();
        let mut changes = table.apply_advice(incarnation(endpoint), advice, sent_ms, time.now_ms);
        let prefers_answered = self.published.live_settings().prefer_answered;
        if prefers_answered && table.record_uncounted(incarnation(endpoint), sent_ms) {
            self.broadcast_wanted.notify_one();
        }
        if let Field::Value(cold_ms) = advice.cold_ms {
            let warm_up = table.warm_up();
            if warm_up.extend_cold(incarnation(endpoint), cold_ms, time.boot_ms) {
                changes.push(AdviceChange::Cold(cold_ms));
            }
        }
        drop(table);
        for change in changes {
            self.broadcast_wanted.notify_one();
            self.record_advice(endpoint, client_request, change);
        }
    }

    /// Whether requests to the endpoint are limited while it is cold.
    fn has_warm_up_limit(&self, endpoint: &Endpoint) -> bool {
        let configuration = self.published.configuration();
        let limit = configuration
            .as_ref()
            .and_then(|c| c.services.get(&endpoint.facts.service)?.warm_up);
        limit.is_some()
    }

    fn record_advice(
        &self,
        endpoint: &Endpoint,
        client_request: &ClientRequest,
        change: AdviceChange,
    ) {
        self.metrics.advice.inc(change.name());
        let (limit_per_s, backoff_ms, cold_ms) = match change {
            AdviceChange::Limited(per_s) => (per_s, 0.0, 0.0),
            AdviceChange::BackoffRequested(backoff_ms) => (0.0, backoff_ms, 0.0),
            AdviceChange::Cold(cold_ms) => (0.0, 0.0, cold_ms),
            _ => (0.0, 0.0, 0.0),
        };
        log::info!(
            endpoint = endpoint.facts.incarnation.id,
            request_id = client_request.request_id,
            news = change.name(),
            limit_per_s = limit_per_s,
            rest_ms = backoff_ms,
            cold_ms = cold_ms;
            "an endpoint says of itself"
        );
    }

    /// Endpoints that may not be sent a request now.
    pub(crate) fn blocked_endpoints(&self) -> BlockedEndpoints {
        let mut blocked = self.endpoints_blocked_by_advice();
        blocked.0.extend(self.evacuated_endpoints());
        blocked
    }

    /// Endpoints in evacuated zones.
    fn evacuated_endpoints(&self) -> Vec<(EndpointKey, Blocked)> {
        let zones = self.published.evacuations().zones();
        if zones.evacuated.is_empty() {
            return Vec::new();
        }
        let fleet = self.published.fleet();
        let endpoints = fleet.by_key.values();
        let evacuated = endpoints.filter(|endpoint| zones.evacuated.contains(&endpoint.facts.zone));
        evacuated.map(|e| (e.key, EVACUATED)).collect()
    }

    fn endpoints_blocked_by_advice(&self) -> BlockedEndpoints {
        let time = self.check_time();
        if self.backpressure.borrow().is_empty() {
            return BlockedEndpoints::default();
        }
        let by_hash = self.published.endpoint_keys_by_hash();
        let blocked = self.backpressure.borrow_mut().blocked(time);
        let keyed = |(incarnation, blocked): (IncarnationHash, Blocked)| {
            Some((*by_hash.get(&incarnation.0)?, blocked))
        };
        BlockedEndpoints(blocked.into_iter().filter_map(keyed).collect())
    }

    /// Checks right before a dispatch whether its endpoint may get it and its helpers may be asked,
    /// and counts it.
    pub(crate) fn permit_dispatch(
        &self,
        placed: &PlacedRequest,
        client_request: &ClientRequest,
    ) -> Result<Permit, BlockedDispatch> {
        let permitted = self.check_evacuated(placed).and_then(|()| {
            let advice = self.permit_by_advice(&placed.endpoint, client_request);
            advice.map_err(|blocked| BlockedDispatch {
                endpoint: placed.endpoint.clone(),
                blocked,
            })
        });
        if let Err(BlockedDispatch { blocked, .. }) = &permitted {
            let reason = blocked.reason.name();
            self.metrics.blocked_before_dispatch.inc(reason);
        }
        permitted
    }

    /// Fails if the endpoint or a helper of a placed request is in an evacuated zone.
    fn check_evacuated(&self, placed: &PlacedRequest) -> Result<(), BlockedDispatch> {
        let zones = self.published.evacuations().zones();
        if zones.evacuated.is_empty() {
            return Ok(());
        }
        let fleet = self.published.fleet();
        let helpers = placed.helper_keys.iter();
        let helpers = helpers.filter_map(|key| fleet.by_key.get(key));
        let mut all = std::iter::once(&placed.endpoint).chain(helpers);
        match all.find(|endpoint| zones.evacuated.contains(&endpoint.facts.zone)) {
            None => Ok(()),
            Some(endpoint) => Err(BlockedDispatch {
                endpoint: endpoint.clone(),
                blocked: EVACUATED,
            }),
        }
    }

    fn permit_by_advice(
        &self,
        endpoint: &Endpoint,
        client_request: &ClientRequest,
    ) -> Result<Permit, Blocked> {
        let time = self.check_time();
        let mut table = self.backpressure.borrow_mut();
        if table.is_empty() {
            return Ok(Permit::default());
        }
        let permitted = table.permit(incarnation(endpoint), time);
        drop(table);
        match permitted {
            Ok(permission) => {
                if permission.is_news {
                    self.broadcast_wanted.notify_one();
                }
                Ok(permission.warm_up)
            }
            Err(blocked) => {
                if blocked.reason == BlockReason::WarmUp {
                    self.log_cold(endpoint, client_request, "blocked", time);
                }
                Err(blocked)
            }
        }
    }

    /// Time on the clock that the gateways share, in milliseconds.
    pub(crate) fn shared_clock_ms(&self) -> u64 {
        let now_ms = self.now_ms();
        self.backpressure.borrow().clock_ms(now_ms) as u64
    }

    /// Advice about endpoints to send to peers.
    pub(crate) fn take_peer_advice(&self, is_full: bool) -> Vec<AdviceAt> {
        let now_ms = self.now_ms();
        let updates = self
            .backpressure
            .borrow_mut()
            .take_peer_updates(is_full, now_ms);
        let limit_at = |limit: LimitUpdate| LimitStatement {
            per_s_thousandths: limit.per_s.map(|per_s| (per_s * 1e3) as u64),
            age_ms: (now_ms - limit.at_ms).max(0.0) as u32,
        };
        let advice_at = |(incarnation, update): (IncarnationHash, PeerUpdate)| AdviceAt {
            endpoint: incarnation.0,
            word: update.limit.map(limit_at),
            sent: update.sent_requests,
            leaves: update.is_leaving,
        };
        updates.into_iter().map(advice_at).collect()
    }

    /// Takes the advice about endpoints in a peer's message.
    pub(crate) fn apply_peer_advice(&self, message: &PeerMessage) {
        let now_ms = self.now_ms();
        let mut table = self.backpressure.borrow_mut();
        table.observe_peer_clock(message.clock_ms as f64, now_ms);
        for advice in &message.advice {
            let update = PeerUpdate {
                limit: advice.word.map(|limit| limit_from_peer(&limit, now_ms)),
                sent_requests: advice.sent,
                is_leaving: advice.leaves,
            };
            table.apply_peer_update(
                message.from,
                IncarnationHash(advice.endpoint),
                update,
                now_ms,
            );
        }
    }

    /// Sets the peers that share the endpoints' limits and drops endpoints that are no longer
    /// listed. A gateway that is leaving takes no share.
    pub(crate) fn share_limits(&self, staying: Vec<u64>) {
        let is_leaving = self.drain.phase() != Phase::Serving;
        let is_known = self.gateways_sharing().is_some() && !is_leaving;
        let gateways = self.gateway_count.borrow().heard_gateways();
        let by_hash = self.published.endpoint_keys_by_hash();
        let mut table = self.backpressure.borrow_mut();
        table.set_gateways(Gateways {
            own: self.incarnation,
            others: staying,
            count: is_known.then_some(gateways),
        });
        table.expire(self.now_ms(), |incarnation| {
            by_hash.contains_key(&incarnation.0)
        });
        self.first_answers
            .borrow_mut()
            .retain_listed(|incarnation| by_hash.contains_key(&incarnation.0));
    }
}

/// Converts a peer's report of a limit to this process's clock.
fn limit_from_peer(limit: &LimitStatement, now_ms: f64) -> LimitUpdate {
    let per_s = limit.per_s_thousandths.map(|per_s| per_s as f64 / 1e3);
    // A limit that was learned while its withdrawal was in transit takes precedence over the
    // withdrawal.
    let transit_ms = if per_s.is_none() { TRANSIT_MS } else { 0 };
    let at_ms = now_ms - f64::from(limit.age_ms) - transit_ms as f64;
    LimitUpdate { per_s, at_ms }
}

/// An endpoint of a placed request that was blocked before the dispatch.
pub(crate) struct BlockedDispatch {
    /// The endpoint or one of the helpers.
    endpoint: Arc<Endpoint>,
    blocked: Blocked,
}

impl BlockedDispatch {
    /// Logs that an endpoint was blocked after a request had been placed there.
    pub(crate) fn log(&self, client_request: &ClientRequest) {
        log::info!(
            request_id = client_request.request_id,
            endpoint = self.endpoint.facts.incarnation.id,
            zone = self.endpoint.facts.zone,
            reason = self.blocked.reason.name(),
            opens_in_ms = self.blocked.blocked_for_ms as u64;
            "an endpoint was shut before the dispatch"
        );
    }
}

pub(crate) fn incarnation(endpoint: &Endpoint) -> IncarnationHash {
    IncarnationHash(endpoint.facts.incarnation.hash_64())
}
