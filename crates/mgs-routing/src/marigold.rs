//! The product's own policy: least predicted time to first token, with bounded affinity.

use mgs_fleet::view::Endpoint;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::View;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::Outcome;

use crate::candidate;
use crate::lane;
use crate::lane::Lane;
use crate::outlier;
use crate::outlier::Outliers;
use crate::outlier::Standing;
use crate::outstanding::Arena;
use crate::outstanding::Outstanding;
use crate::policy::Ask;
use crate::policy::Choice;
use crate::policy::NoChoice;
use crate::policy::Policy;
use crate::predict;
use crate::predict::Prediction;
use crate::predict::Since;
use crate::recent::Recent;

/// Settings of [`Marigold`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Price of leaving the availability zone, in milliseconds of time to first token.
    pub zone_cost_ms: f64,
    /// Price of processing that a cached prefix elsewhere would save the fleet, as a share of it.
    pub work_cost: f64,
    /// Wait at an endpoint beyond which a short prompt is kept in the gateway's queue.
    pub short_wait_max_ms: f64,
    /// The same at an endpoint that has a long prompt to process: short prompts go past it there,
    /// so they must leave it time.
    pub short_wait_beside_long_ms: f64,
    /// Work for other prompts from which an endpoint counts as having a long one, in milliseconds.
    pub long_work_ms: f64,
    /// Price of delaying the other prompts of an endpoint, as a share of the delay.
    pub delay_cost: f64,
    /// Wait beyond which other prompts are kept in the gateway's queue, counting all work at the
    /// endpoint; more than that of short prompts, which otherwise would keep them out.
    pub other_wait_max_ms: f64,
    /// Requests in flight from this process beyond which a plain service gets no more.
    pub service_requests_max: u32,
    /// Choices whose score is this close to the best, in milliseconds, count as equal.
    pub near_ms: f64,
    /// The same as a share of the best score.
    pub near_share: f64,
    /// Age of a report beyond which an endpoint is used only if no other is left.
    pub report_age_max_ms: u64,
    /// When endpoints are ejected.
    pub outlier: outlier::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            zone_cost_ms: 2.0,
            work_cost: 0.5,
            short_wait_max_ms: 400.0,
            short_wait_beside_long_ms: 1.0,
            long_work_ms: 1_000.0,
            delay_cost: 0.5,
            other_wait_max_ms: 600.0,
            service_requests_max: 256,
            near_ms: 2.0,
            near_share: 0.05,
            report_age_max_ms: 3_000,
            outlier: outlier::Options::default(),
        }
    }
}

/// What is learned of one endpoint.
#[derive(Debug, Default)]
struct Learned {
    outstanding: Outstanding,
    short: Recent,
    other: Recent,
}

/// One scored candidate.
#[derive(Debug, Clone, Copy)]
struct Scored {
    endpoint: EndpointKey,
    score_ms: f64,
    predicted: Prediction,
    cached_tokens: u64,
    requests: u32,
}

/// Usable candidates.
#[derive(Debug, Default)]
struct Usable {
    /// With a fresh report.
    fresh: Vec<Scored>,
    /// Without.
    stale: Vec<Scored>,
}

/// The product's policy. See the design note on routing for the reasons.
#[derive(Debug, Default)]
pub struct Marigold {
    options: Options,
    learned: Arena<Learned>,
    outliers: Outliers,
}

impl Marigold {
    /// A policy that has learned nothing yet.
    ///
    /// ```
    /// use mgs_routing::marigold::Marigold;
    /// use mgs_routing::marigold::Options;
    ///
    /// let policy = Marigold::new(Options { zone_cost_ms: 5.0, ..Options::default() });
    /// # let _ = policy;
    /// ```
    pub fn new(options: Options) -> Self {
        Self {
            options,
            learned: Arena::default(),
            outliers: Outliers::new(options.outlier),
        }
    }

    fn score(&self, endpoint: &Endpoint, ask: &Ask<'_>) -> Scored {
        let learned = self.learned.get(endpoint.key);
        let cached_tokens = candidate::cached_tokens(endpoint, ask);
        let since = Since {
            short_tokens: learned.short.since(endpoint.reported_ms, ask.now_ms),
            other_tokens: learned.other.since(endpoint.reported_ms, ask.now_ms),
            cached_tokens,
            slowness: self.outliers.slowness(endpoint.key),
        };
        let predicted = predict::predict(endpoint, ask, &since);
        let zone_ms = if endpoint.zone == ask.zone {
            0.0
        } else {
            self.options.zone_cost_ms
        };
        let passes_others = lane::of(ask.prompt_tokens) == Lane::Short && predicted.other_ms > 0.0;
        let delay_cost = if passes_others {
            self.options.delay_cost
        } else {
            0.0
        };
        let cost_ms = (self.options.work_cost + delay_cost) * predicted.own_ms;
        Scored {
            endpoint: endpoint.key,
            score_ms: predicted.first_token_ms() + cost_ms + zone_ms,
            predicted,
            cached_tokens,
            requests: learned.outstanding.requests(),
        }
    }

    /// Whether the endpoint has all the work that it should have ahead of the request.
    fn is_busy(&self, endpoint: &Endpoint, ask: &Ask<'_>, scored: &Scored) -> bool {
        if ask.kind == EndpointKind::Service {
            return scored.requests >= self.options.service_requests_max;
        }
        let predicted = &scored.predicted;
        let wait_is_long = match lane::of(ask.prompt_tokens) {
            Lane::Short if predicted.other_ms > self.options.long_work_ms => {
                predicted.wait_ms > self.options.short_wait_beside_long_ms
            }
            Lane::Short => predicted.wait_ms > self.options.short_wait_max_ms,
            Lane::Medium | Lane::Long => predicted.backlog_ms > self.options.other_wait_max_ms,
        };
        wait_is_long || memory_is_full(endpoint, ask)
    }

    fn is_ejected(&self, endpoint: &Endpoint, ask: &Ask<'_>, scored: &Scored) -> bool {
        match self.outliers.standing(endpoint.key, ask.now_ms) {
            Standing::Good => false,
            Standing::Trial => scored.requests > 0,
            Standing::Ejected => true,
        }
    }

    fn usable(&self, view: &View, ask: &Ask<'_>) -> Result<Usable, NoChoice> {
        let mut usable = Usable::default();
        let mut known = 0;
        candidate::for_each(view, ask, |endpoint| {
            known += 1;
            let scored = self.score(endpoint, ask);
            if self.is_ejected(endpoint, ask, &scored) || self.is_busy(endpoint, ask, &scored) {
                return;
            }
            let age_ms = ask.now_ms.saturating_sub(endpoint.reported_ms);
            if age_ms > self.options.report_age_max_ms {
                usable.stale.push(scored);
            } else {
                usable.fresh.push(scored);
            }
        })?;
        self.outliers.known(known);
        Ok(usable)
    }

    /// Of two drawn from those near the best, the one with fewer requests of this process: many
    /// processes that see the same reports don't all go to the same endpoint.
    fn pick(&self, scored: &[Scored], random: u64) -> Option<Choice> {
        let by_score = |a: &&Scored, b: &&Scored| a.score_ms.total_cmp(&b.score_ms);
        let best = scored.iter().min_by(by_score)?;
        let reach_ms = best.score_ms * (1.0 + self.options.near_share) + self.options.near_ms;
        let near = || scored.iter().filter(|s| s.score_ms <= reach_ms);
        let count = near().count() as u64;
        let first = near().nth((random % count) as usize)?;
        let other = near().nth((random.rotate_left(32) % count) as usize)?;
        let chosen = if other.requests < first.requests {
            other
        } else {
            first
        };
        let rest = scored.iter().filter(|s| s.endpoint != chosen.endpoint);
        Some(Choice {
            endpoint: chosen.endpoint,
            second: rest.min_by(by_score).map(|s| s.endpoint),
            first_token_ms: chosen.predicted.first_token_ms().ceil() as u64,
            cached_tokens: chosen.cached_tokens,
        })
    }
}

/// Whether prompt and answer must wait for memory that others hold.
fn memory_is_full(endpoint: &Endpoint, ask: &Ask<'_>) -> bool {
    let load = &endpoint.load;
    let wanted = ask.prompt_tokens + ask.max_tokens;
    load.kv_capacity_tokens > 0 && load.kv_used_tokens + wanted > load.kv_capacity_tokens
}

impl Policy for Marigold {
    fn choose(&self, view: &View, ask: &Ask<'_>, random: u64) -> Result<Choice, NoChoice> {
        let usable = self.usable(view, ask)?;
        self.pick(&usable.fresh, random)
            .or_else(|| self.pick(&usable.stale, random))
            .ok_or(NoChoice::AllBusy)
    }

    fn engine_priority(&self, ask: &Ask<'_>) -> u32 {
        lane::engine_priority(ask.priority, ask.prompt_tokens)
    }

    fn dispatched(&self, endpoint: EndpointKey, ask: &Ask<'_>) {
        let learned = self.learned.get(endpoint);
        learned.outstanding.add(ask.prompt_tokens);
        match lane::of(ask.prompt_tokens) {
            Lane::Short => learned.short.add(ask.now_ms, ask.prompt_tokens),
            Lane::Medium | Lane::Long => learned.other.add(ask.now_ms, ask.prompt_tokens),
        }
    }

    fn first_token(&self, endpoint: EndpointKey, ask: &Ask<'_>, predicted_ms: u64, took_ms: u64) {
        if predicted_ms > 0 {
            let now_ms = ask.now_ms;
            self.outliers
                .first_token(endpoint, now_ms, predicted_ms, took_ms);
        }
    }

    fn finished(&self, endpoint: EndpointKey, ask: &Ask<'_>, outcome: Outcome) {
        let learned = self.learned.get(endpoint);
        learned.outstanding.remove(ask.prompt_tokens);
        match outcome {
            Outcome::Answered => self.outliers.answered(endpoint),
            Outcome::Failed | Outcome::Unknown => self.outliers.failed(endpoint, ask.now_ms),
            Outcome::Refused | Outcome::Unspecified => {}
        }
    }
}
