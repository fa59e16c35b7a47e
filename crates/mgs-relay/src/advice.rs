//! What endpoints ask in their answers, and what is sent to them for it.
//!
//! What may be sent where is asked twice: when endpoints are chosen, and right before a request is sent, since it may
//! have waited between.

use std::collections::HashMap;
use std::sync::Arc;

use http::response;
use mgs_backpressure::peer_update::LimitUpdate;
use mgs_backpressure::peer_update::PeerUpdate;
use mgs_backpressure::share::Gateways;
use mgs_backpressure::table::AdviceChange;
use mgs_backpressure::table::BlockReason;
use mgs_backpressure::table::Blocked;
use mgs_backpressure::table::IncarnationHash;
use mgs_fleet::view::EndpointKey;
use mgs_placing::share::AdviceAt;
use mgs_placing::share::Beacon;
use mgs_placing::share::LimitWord;

use crate::core::Core;
use crate::dialect::Ask;
use crate::drain::Phase;
use crate::fault::Fault;
use crate::fault::Refusal;
use crate::peers::ON_THE_WAY_MS;
use crate::place::RETRY_AFTER_NO_ENDPOINT_MS;
use crate::view::Endpoint;
use crate::wait::RETRY_AFTER_MAX_MS;
use crate::wait::RETRY_AFTER_MIN_MS;

/// Endpoints that may not be sent a request now.
#[derive(Debug, Default)]
pub(crate) struct ShutEndpoints(HashMap<EndpointKey, Blocked>);

impl ShutEndpoints {
    /// Whether it may get no request of its own.
    pub(crate) fn contains(&self, endpoint: &Endpoint) -> bool {
        self.0.contains_key(&endpoint.key)
    }

    /// Whether nothing at all may be asked of it, not even to help.
    pub(crate) fn bars_help(&self, endpoint: &Endpoint) -> bool {
        let shut = self.0.get(&endpoint.key);
        shut.is_some_and(|shut| shut.reason.blocks_helpers())
    }

    /// The refusal of a request for these endpoints, all of which are shut: its client may come back when the first opens, or
    /// sooner, since another gateway may have been asked for no rest.
    pub(crate) fn refusal<'a>(
        &self,
        endpoints: impl IntoIterator<Item = &'a Arc<Endpoint>>,
        request_id: &str,
    ) -> Refusal {
        let shuts = endpoints.into_iter().filter_map(|e| self.0.get(&e.key));
        let shuts: Vec<&Blocked> = shuts.collect();
        let count = |reason: BlockReason| shuts.iter().filter(|shut| shut.reason == reason).count();
        let opens_in_ms = shuts.iter().map(|shut| shut.blocked_for_ms);
        let opens_in_ms = opens_in_ms.fold(f64::INFINITY, f64::min);
        let retry_after_ms = match opens_in_ms.is_finite() {
            true => (opens_in_ms as u64).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS),
            false => RETRY_AFTER_NO_ENDPOINT_MS,
        };
        log::info!(
            request_id = request_id,
            leaving = count(BlockReason::Leaving),
            resting = count(BlockReason::Backoff),
            limited = count(BlockReason::Limit),
            retry_after_ms = retry_after_ms;
            "all endpoints are shut"
        );
        Refusal::after(Fault::Shut, retry_after_ms)
    }
}

impl Core {
    /// Takes what an answer to a request that was sent at `sent_ms` says of the endpoint that gave it.
    pub(crate) fn hear_advice(
        &self,
        endpoint: &Endpoint,
        ask: &Ask,
        head: &response::Parts,
        sent_ms: f64,
    ) {
        let advice = self.dialect.advice(ask, head);
        let now_ms = self.now_ms();
        let mut table = self.backpressure.borrow_mut();
        let news = table.apply_advice(life(endpoint), advice, sent_ms, now_ms);
        drop(table);
        for news in news {
            self.board_changed.notify_one();
            self.note_news(endpoint, ask, news);
        }
    }

    fn note_news(&self, endpoint: &Endpoint, ask: &Ask, news: AdviceChange) {
        self.metrics.advice.inc(news.name());
        let (limit_per_s, rest_ms) = match news {
            AdviceChange::Limited(per_s) => (per_s, 0.0),
            AdviceChange::BackoffRequested(rest_ms) => (0.0, rest_ms),
            _ => (0.0, 0.0),
        };
        log::info!(
            endpoint = endpoint.facts.incarnation.id,
            request_id = ask.request_id,
            news = news.name(),
            limit_per_s = limit_per_s,
            rest_ms = rest_ms;
            "an endpoint says of itself"
        );
    }

    /// Endpoints that may not be sent a request now.
    pub(crate) fn shut(&self) -> ShutEndpoints {
        if self.backpressure.borrow().is_empty() {
            return ShutEndpoints::default();
        }
        let by_hash = self.published.endpoint_hashes();
        let shut = self.backpressure.borrow_mut().blocked(self.now_ms());
        let keyed = |(life, shut): (IncarnationHash, Blocked)| Some((*by_hash.get(&life.0)?, shut));
        ShutEndpoints(shut.into_iter().filter_map(keyed).collect())
    }

    /// Permits a request to an endpoint right before it is sent, and counts it.
    pub(crate) fn permit_dispatch(&self, endpoint: &Endpoint) -> Result<(), Blocked> {
        let mut table = self.backpressure.borrow_mut();
        if table.is_empty() {
            return Ok(());
        }
        match table.permit(life(endpoint), self.now_ms()) {
            Ok(true) => self.board_changed.notify_one(),
            Ok(false) => {}
            Err(shut) => {
                self.metrics.shut.inc(shut.reason.name());
                return Err(shut);
            }
        }
        Ok(())
    }

    /// What the clock that gateways share shows, in milliseconds.
    pub(crate) fn shared_clock_ms(&self) -> u64 {
        let now_ms = self.now_ms();
        self.backpressure.borrow().clock_ms(now_ms) as u64
    }

    /// What peers are to be told of endpoints.
    pub(crate) fn advice_to_tell(&self, is_whole: bool) -> Vec<AdviceAt> {
        let now_ms = self.now_ms();
        let told = self
            .backpressure
            .borrow_mut()
            .take_peer_updates(is_whole, now_ms);
        let word_at = |word: LimitUpdate| LimitWord {
            per_s_thousandths: word.per_s.map(|per_s| (per_s * 1e3) as u64),
            age_ms: (now_ms - word.at_ms).max(0.0) as u32,
        };
        let advice_at = |(life, told): (IncarnationHash, PeerUpdate)| AdviceAt {
            endpoint: life.0,
            word: told.limit.map(word_at),
            sent: told.sent_requests,
            leaves: told.is_leaving,
        };
        told.into_iter().map(advice_at).collect()
    }

    /// Takes what a peer says of endpoints.
    pub(crate) fn hear_peer_advice(&self, beacon: &Beacon) {
        let now_ms = self.now_ms();
        let mut table = self.backpressure.borrow_mut();
        table.observe_peer_clock(beacon.clock_ms as f64, now_ms);
        for said in &beacon.advice {
            let told = PeerUpdate {
                limit: said.word.map(|word| heard_word(&word, now_ms)),
                sent_requests: said.sent,
                is_leaving: said.leaves,
            };
            table.apply_peer_update(beacon.from, IncarnationHash(said.endpoint), told, now_ms);
        }
    }

    /// Shares limits with these peers from now on, and forgets what isn't listed any more. A gateway that leaves takes no part.
    pub(crate) fn share_limits(&self, staying: Vec<u64>) {
        let is_leaving = self.drain.phase() != Phase::Serving;
        let is_known = self.gateways_sharing().is_some() && !is_leaving;
        let gateways = self.headcount.borrow().gateways();
        let by_hash = self.published.endpoint_hashes();
        let mut table = self.backpressure.borrow_mut();
        table.set_gateways(Gateways {
            own: self.incarnation,
            others: staying,
            count: is_known.then_some(gateways),
        });
        table.expire(self.now_ms(), |life| by_hash.contains_key(&life.0));
    }
}

/// A peer's word of a limit, by this process's clock.
fn heard_word(word: &LimitWord, now_ms: f64) -> LimitUpdate {
    let per_s = word.per_s_thousandths.map(|per_s| per_s as f64 / 1e3);
    // A limit that was heard while its end was on the way goes before that.
    let on_the_way_ms = if per_s.is_none() { ON_THE_WAY_MS } else { 0 };
    let at_ms = now_ms - f64::from(word.age_ms) - on_the_way_ms as f64;
    LimitUpdate { per_s, at_ms }
}

/// A request was placed at an endpoint that has come to be shut meanwhile.
pub(crate) fn note_shut(ask: &Ask, endpoint: &Endpoint, shut: Blocked) {
    log::info!(
        request_id = ask.request_id,
        endpoint = endpoint.facts.incarnation.id,
        reason = shut.reason.name(),
        opens_in_ms = shut.blocked_for_ms as u64;
        "an endpoint was shut before the dispatch"
    );
}

fn life(endpoint: &Endpoint) -> IncarnationHash {
    IncarnationHash(endpoint.facts.incarnation.hash_64())
}
