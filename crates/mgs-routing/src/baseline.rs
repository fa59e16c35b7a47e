//! Simple policies to measure against.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use mgs_fleet::view::Endpoint;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::View;
use mgs_schema::wire::Outcome;

use crate::candidate;
use crate::outstanding::Arena;
use crate::outstanding::Outstanding;
use crate::policy::Ask;
use crate::policy::Choice;
use crate::policy::NoChoice;
use crate::policy::Policy;

/// Requests by which a prefix's endpoint may be ahead of the least loaded one.
const AFFINITY_SLACK_REQUESTS: u32 = 8;

fn candidates<'a>(view: &'a View, ask: &Ask<'_>) -> Result<Vec<&'a Endpoint>, NoChoice> {
    let mut all = Vec::new();
    candidate::for_each(view, ask, |endpoint| all.push(endpoint))?;
    Ok(all)
}

fn choice(best: &Endpoint, second: Option<&Endpoint>, ask: &Ask<'_>) -> Choice {
    Choice {
        endpoint: best.key,
        second: second.map(|endpoint| endpoint.key),
        first_token_ms: 0,
        cached_tokens: candidate::cached_tokens(best, ask),
    }
}

/// One endpoint after another.
#[derive(Debug, Default)]
pub struct RoundRobin {
    turn: AtomicUsize,
}

impl Policy for RoundRobin {
    fn choose(&self, view: &View, ask: &Ask<'_>, _random: u64) -> Result<Choice, NoChoice> {
        let all = candidates(view, ask)?;
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let best = all[turn % all.len()];
        let second = (all.len() > 1).then(|| all[(turn + 1) % all.len()]);
        Ok(choice(best, second, ask))
    }

    fn dispatched(&self, _endpoint: EndpointKey, _ask: &Ask<'_>) {}

    fn first_token(
        &self,
        _endpoint: EndpointKey,
        _ask: &Ask<'_>,
        _predicted_ms: u64,
        _took_ms: u64,
    ) {
    }

    fn finished(&self, _endpoint: EndpointKey, _ask: &Ask<'_>, _outcome: Outcome) {}
}

/// The endpoint with the fewest requests of this process; ties by chance.
#[derive(Debug, Default)]
pub struct LeastOutstanding {
    outstanding: Arena<Outstanding>,
}

impl LeastOutstanding {
    fn ranked<'a>(
        &self,
        view: &'a View,
        ask: &Ask<'_>,
        random: u64,
    ) -> Result<Vec<&'a Endpoint>, NoChoice> {
        let mut all = candidates(view, ask)?;
        let turn = random as usize % all.len();
        all.rotate_left(turn);
        all.sort_by_key(|endpoint| self.outstanding.get(endpoint.key).requests());
        Ok(all)
    }
}

impl Policy for LeastOutstanding {
    fn choose(&self, view: &View, ask: &Ask<'_>, random: u64) -> Result<Choice, NoChoice> {
        let all = self.ranked(view, ask, random)?;
        Ok(choice(all[0], all.get(1).copied(), ask))
    }

    fn dispatched(&self, endpoint: EndpointKey, ask: &Ask<'_>) {
        self.outstanding.get(endpoint).add(ask.prompt_tokens);
    }

    fn first_token(
        &self,
        _endpoint: EndpointKey,
        _ask: &Ask<'_>,
        _predicted_ms: u64,
        _took_ms: u64,
    ) {
    }

    fn finished(&self, endpoint: EndpointKey, ask: &Ask<'_>, _outcome: Outcome) {
        self.outstanding.get(endpoint).remove(ask.prompt_tokens);
    }
}

/// The endpoint with the longest cached prefix, unless it has many more requests than the one with
/// the fewest.
#[derive(Debug, Default)]
pub struct PrefixAffinity {
    least: LeastOutstanding,
}

impl Policy for PrefixAffinity {
    fn choose(&self, view: &View, ask: &Ask<'_>, random: u64) -> Result<Choice, NoChoice> {
        let all = self.least.ranked(view, ask, random)?;
        let requests = |endpoint: &Endpoint| self.least.outstanding.get(endpoint.key).requests();
        let most = requests(all[0]) + AFFINITY_SLACK_REQUESTS;
        let mut best = all[0];
        let mut cached = candidate::cached_tokens(best, ask);
        for endpoint in all.iter().copied().take_while(|e| requests(e) <= most) {
            let here = candidate::cached_tokens(endpoint, ask);
            if here > cached {
                best = endpoint;
                cached = here;
            }
        }
        let second = all.iter().copied().find(|e| e.key != best.key);
        Ok(choice(best, second, ask))
    }

    fn dispatched(&self, endpoint: EndpointKey, ask: &Ask<'_>) {
        self.least.dispatched(endpoint, ask);
    }

    fn first_token(
        &self,
        _endpoint: EndpointKey,
        _ask: &Ask<'_>,
        _predicted_ms: u64,
        _took_ms: u64,
    ) {
    }

    fn finished(&self, endpoint: EndpointKey, ask: &Ask<'_>, outcome: Outcome) {
        self.least.finished(endpoint, ask, outcome);
    }
}
