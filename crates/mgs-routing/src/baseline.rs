//! Simple routing policies that serve as baselines in measurements.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use mgs_fleet::view::Endpoint;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::View;
use mgs_schema::wire::Outcome;

use crate::candidate;
use crate::outstanding::EndpointTable;
use crate::outstanding::Outstanding;
use crate::policy::Choice;
use crate::policy::Policy;
use crate::policy::RoutingError;
use crate::policy::RoutingRequest;

/// Number of outstanding requests by which an endpoint with a cached prefix may exceed the least
/// loaded endpoint and still be chosen.
const AFFINITY_EXCESS_REQUESTS_MAX: u32 = 8;

fn candidates<'a>(
    view: &'a View,
    request: &RoutingRequest<'_>,
) -> Result<Vec<&'a Endpoint>, RoutingError> {
    let mut candidates = Vec::new();
    candidate::for_each(view, request, |endpoint| candidates.push(endpoint))?;
    Ok(candidates)
}

fn choice(best: &Endpoint, second: Option<&Endpoint>, request: &RoutingRequest<'_>) -> Choice {
    Choice {
        endpoint: best.key,
        second: second.map(|endpoint| endpoint.key),
        first_token_ms: 0,
        cached_tokens: candidate::cached_tokens(best, request),
    }
}

/// Chooses the candidates in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    position: AtomicUsize,
}

impl Policy for RoundRobin {
    fn choose(
        &self,
        view: &View,
        request: &RoutingRequest<'_>,
        _random: u64,
    ) -> Result<Choice, RoutingError> {
        let candidates = candidates(view, request)?;
        let position = self.position.fetch_add(1, Ordering::Relaxed);
        let best = candidates[position % candidates.len()];
        let second = (candidates.len() > 1).then(|| candidates[(position + 1) % candidates.len()]);
        Ok(choice(best, second, request))
    }

    fn dispatched(&self, _endpoint: EndpointKey, _request: &RoutingRequest<'_>) {}

    fn first_token(
        &self,
        _endpoint: EndpointKey,
        _request: &RoutingRequest<'_>,
        _predicted_ms: u64,
        _took_ms: u64,
    ) {
    }

    fn finished(&self, _endpoint: EndpointKey, _request: &RoutingRequest<'_>, _outcome: Outcome) {}
}

/// Chooses the endpoint with the fewest outstanding requests of this process; ties are broken at
/// random.
#[derive(Debug, Default)]
pub struct LeastOutstanding {
    outstanding: EndpointTable<Outstanding>,
}

impl LeastOutstanding {
    /// Candidates by outstanding requests, fewest first; ties start at a random position.
    fn ranked<'a>(
        &self,
        view: &'a View,
        request: &RoutingRequest<'_>,
        random: u64,
    ) -> Result<Vec<&'a Endpoint>, RoutingError> {
        let mut candidates = candidates(view, request)?;
        let position = random as usize % candidates.len();
        candidates.rotate_left(position);
        candidates.sort_by_key(|endpoint| self.outstanding.get(endpoint.key).requests());
        Ok(candidates)
    }
}

impl Policy for LeastOutstanding {
    fn choose(
        &self,
        view: &View,
        request: &RoutingRequest<'_>,
        random: u64,
    ) -> Result<Choice, RoutingError> {
        let candidates = self.ranked(view, request, random)?;
        Ok(choice(candidates[0], candidates.get(1).copied(), request))
    }

    fn dispatched(&self, endpoint: EndpointKey, request: &RoutingRequest<'_>) {
        self.outstanding.get(endpoint).add(request.prompt_tokens);
    }

    fn first_token(
        &self,
        _endpoint: EndpointKey,
        _request: &RoutingRequest<'_>,
        _predicted_ms: u64,
        _took_ms: u64,
    ) {
    }

    fn finished(&self, endpoint: EndpointKey, request: &RoutingRequest<'_>, _outcome: Outcome) {
        self.outstanding.get(endpoint).remove(request.prompt_tokens);
    }
}

/// Chooses the endpoint with the longest cached prefix among those whose outstanding requests
/// exceed the fewest of any candidate by at most `AFFINITY_EXCESS_REQUESTS_MAX`.
#[derive(Debug, Default)]
pub struct PrefixAffinity {
    least_outstanding: LeastOutstanding,
}

impl Policy for PrefixAffinity {
    fn choose(
        &self,
        view: &View,
        request: &RoutingRequest<'_>,
        random: u64,
    ) -> Result<Choice, RoutingError> {
        let candidates = self.least_outstanding.ranked(view, request, random)?;
        let requests = |endpoint: &Endpoint| {
            self.least_outstanding
                .outstanding
                .get(endpoint.key)
                .requests()
        };
        let requests_max = requests(candidates[0]) + AFFINITY_EXCESS_REQUESTS_MAX;
        let mut best = candidates[0];
        let mut best_cached = candidate::cached_tokens(best, request);
        for endpoint in candidates
            .iter()
            .copied()
            .take_while(|e| requests(e) <= requests_max)
        {
            let cached = candidate::cached_tokens(endpoint, request);
            if cached > best_cached {
                best = endpoint;
                best_cached = cached;
            }
        }
        let second = candidates.iter().copied().find(|e| e.key != best.key);
        Ok(choice(best, second, request))
    }

    fn dispatched(&self, endpoint: EndpointKey, request: &RoutingRequest<'_>) {
        self.least_outstanding.dispatched(endpoint, request);
    }

    fn first_token(
        &self,
        _endpoint: EndpointKey,
        _request: &RoutingRequest<'_>,
        _predicted_ms: u64,
        _took_ms: u64,
    ) {
    }

    fn finished(&self, endpoint: EndpointKey, request: &RoutingRequest<'_>, outcome: Outcome) {
        self.least_outstanding.finished(endpoint, request, outcome);
    }
}
