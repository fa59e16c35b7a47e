//! The default policy: chooses by predicted time to first token, with bounded affinity to cached
//! prefixes.

use mgs_fleet::view::Endpoint;
use mgs_fleet::view::EndpointKey;
use mgs_fleet::view::View;
use mgs_schema::settings::EndpointKind;
use mgs_schema::wire::Outcome;

use crate::candidate;
use crate::lane;
use crate::lane::Lane;
use crate::outlier;
use crate::outlier::Health;
use crate::outlier::OutlierDetector;
use crate::outstanding::EndpointTable;
use crate::outstanding::Outstanding;
use crate::policy::Choice;
use crate::policy::Policy;
use crate::policy::RoutingError;
use crate::policy::RoutingRequest;
use crate::predict;
use crate::predict::LocalEstimate;
use crate::predict::Prediction;
use crate::recent::RecentWork;

/// Settings of [`Marigold`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Score penalty for an endpoint in another availability zone, in milliseconds.
    pub zone_cost_ms: f64,
    /// Score penalty for the prefill of uncached tokens, as a share of its duration: work that the
    /// fleet saves where the prefix is cached.
    pub prefill_cost_share: f64,
    /// Predicted wait above which an endpoint is busy for a short prompt. If all endpoints are
    /// busy, the prompt stays in the gateway's queue.
    pub short_wait_max_ms: f64,
    /// Replaces `short_wait_max_ms` at an endpoint with much work for longer prompts. Short prompts
    /// are served before them, so the limit is small to avoid starving the longer prompts.
    pub short_wait_beside_longer_max_ms: f64,
    /// Work for longer prompts above which `short_wait_beside_longer_max_ms` applies, in
    /// milliseconds.
    pub longer_backlog_min_ms: f64,
    /// Score penalty for delaying longer prompts that a short prompt overtakes, as a share of the
    /// delay.
    pub delay_cost_share: f64,
    /// Predicted time of the whole backlog above which an endpoint is busy for a longer prompt.
    /// Must exceed `short_wait_max_ms`, since otherwise short prompts would keep longer ones out.
    pub longer_wait_max_ms: f64,
    /// Number of outstanding requests of this process at which an endpoint of a service is busy.
    pub service_requests_max: u32,
    /// Candidates whose score exceeds the best by at most this, in milliseconds, plus `tie_share`,
    /// count as tied.
    pub tie_ms: f64,
    /// Part of the margin for tied candidates that is proportional to the best score.
    pub tie_share: f64,
    /// Age of the last report above which an endpoint is used only if no other is usable, in
    /// milliseconds.
    pub report_age_max_ms: u64,
    /// Settings of the outlier detection.
    pub outlier: outlier::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            zone_cost_ms: 2.0,
            prefill_cost_share: 0.5,
            short_wait_max_ms: 400.0,
            short_wait_beside_longer_max_ms: 1.0,
            longer_backlog_min_ms: 1_000.0,
            delay_cost_share: 0.5,
            longer_wait_max_ms: 600.0,
            service_requests_max: 256,
            tie_ms: 2.0,
            tie_share: 0.05,
            report_age_max_ms: 3_000,
            outlier: outlier::Options::default(),
        }
    }
}

/// Requests that this process dispatched to one endpoint.
#[derive(Debug, Default)]
struct EndpointHistory {
    outstanding: Outstanding,
    short_dispatches: RecentWork,
    longer_dispatches: RecentWork,
}

/// A candidate with its score; lower scores are better.
#[derive(Debug, Clone, Copy)]
struct ScoredCandidate {
    endpoint: EndpointKey,
    score_ms: f64,
    predicted: Prediction,
    cached_tokens: u64,
    requests: u32,
}

/// Candidates that are neither ejected nor busy.
#[derive(Debug, Default)]
struct UsableCandidates {
    /// Endpoints whose report is no older than [`Options::report_age_max_ms`].
    fresh: Vec<ScoredCandidate>,
    /// Endpoints whose report is older.
    stale: Vec<ScoredCandidate>,
}

/// Policy that chooses the endpoint with the lowest score: the predicted time to first token plus
/// penalties for uncached prefill work, for overtaken longer prompts and for leaving the zone. Its
/// name for [`by_name`](crate::policy::by_name) is `marigold`. The design note on routing gives the
/// reasons.
#[derive(Debug, Default)]
pub struct Marigold {
    options: Options,
    histories: EndpointTable<EndpointHistory>,
    outliers: OutlierDetector,
}

impl Marigold {
    /// Creates a policy with empty state.
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
            histories: EndpointTable::default(),
            outliers: OutlierDetector::new(options.outlier),
        }
    }

    /// Scores an endpoint for a request.
    fn score(&self, endpoint: &Endpoint, request: &RoutingRequest<'_>) -> ScoredCandidate {
        let history = self.histories.get(endpoint.key);
        let cached_tokens = candidate::cached_tokens(endpoint, request);
        let estimate = LocalEstimate {
            short_tokens: history
                .short_dispatches
                .since(endpoint.reported_ms, request.now_ms),
            longer_tokens: history
                .longer_dispatches
                .since(endpoint.reported_ms, request.now_ms),
            cached_tokens,
            slowness: self.outliers.slowness(endpoint.key),
        };
        let predicted = predict::predict(endpoint, request, &estimate);
        let zone_ms = if endpoint.zone == request.zone {
            0.0
        } else {
            self.options.zone_cost_ms
        };
        let overtakes_longer =
            lane::for_prompt(request.prompt_tokens) == Lane::Short && predicted.longer_ms > 0.0;
        let delay_cost_share = if overtakes_longer {
            self.options.delay_cost_share
        } else {
            0.0
        };
        let cost_ms = (self.options.prefill_cost_share + delay_cost_share) * predicted.own_ms;
        ScoredCandidate {
            endpoint: endpoint.key,
            score_ms: predicted.first_token_ms() + cost_ms + zone_ms,
            predicted,
            cached_tokens,
            requests: history.outstanding.requests(),
        }
    }

    /// Whether the endpoint already has as much work as it should have before it gets the request.
    fn is_busy(
        &self,
        endpoint: &Endpoint,
        request: &RoutingRequest<'_>,
        scored: &ScoredCandidate,
    ) -> bool {
        if request.kind == EndpointKind::Service {
            return scored.requests >= self.options.service_requests_max;
        }
        let predicted = &scored.predicted;
        let wait_is_long = match lane::for_prompt(request.prompt_tokens) {
            Lane::Short if predicted.longer_ms > self.options.longer_backlog_min_ms => {
                predicted.wait_ms > self.options.short_wait_beside_longer_max_ms
            }
            Lane::Short => predicted.wait_ms > self.options.short_wait_max_ms,
            Lane::Medium | Lane::Long => predicted.backlog_ms > self.options.longer_wait_max_ms,
        };
        wait_is_long || memory_is_full(endpoint, request)
    }

    /// Whether outlier detection keeps the request from the endpoint, which during probation gets
    /// one request of this process at a time.
    fn is_ejected(
        &self,
        endpoint: &Endpoint,
        request: &RoutingRequest<'_>,
        scored: &ScoredCandidate,
    ) -> bool {
        match self.outliers.health(endpoint.key, request.now_ms) {
            Health::Healthy => false,
            Health::Probation => scored.requests > 0,
            Health::Ejected => true,
        }
    }

    /// Collects the usable candidates and passes the number of all candidates to the outlier
    /// detection.
    fn usable(
        &self,
        view: &View,
        request: &RoutingRequest<'_>,
    ) -> Result<UsableCandidates, RoutingError> {
        let mut usable = UsableCandidates::default();
        let mut endpoint_count = 0;
        candidate::for_each(view, request, |endpoint| {
            endpoint_count += 1;
            let scored = self.score(endpoint, request);
            if self.is_ejected(endpoint, request, &scored)
                || self.is_busy(endpoint, request, &scored)
            {
                return;
            }
            let age_ms = request.now_ms.saturating_sub(endpoint.reported_ms);
            if age_ms > self.options.report_age_max_ms {
                usable.stale.push(scored);
            } else {
                usable.fresh.push(scored);
            }
        })?;
        self.outliers.set_endpoint_count(endpoint_count);
        Ok(usable)
    }

    /// Draws two of the candidates tied with the best and takes the one with fewer outstanding
    /// requests of this process (power of two choices), so that processes that see the same reports
    /// don't all choose the same endpoint.
    fn pick(&self, scored: &[ScoredCandidate], random: u64) -> Option<Choice> {
        let by_score =
            |a: &&ScoredCandidate, b: &&ScoredCandidate| a.score_ms.total_cmp(&b.score_ms);
        let best = scored.iter().min_by(by_score)?;
        let tie_limit_ms = best.score_ms * (1.0 + self.options.tie_share) + self.options.tie_ms;
        let tied = || scored.iter().filter(|s| s.score_ms <= tie_limit_ms);
        let count = tied().count() as u64;
        let first = tied().nth((random % count) as usize)?;
        let second = tied().nth((random.rotate_left(32) % count) as usize)?;
        let chosen = if second.requests < first.requests {
            second
        } else {
            first
        };
        let others = scored.iter().filter(|s| s.endpoint != chosen.endpoint);
        Some(Choice {
            endpoint: chosen.endpoint,
            second: others.min_by(by_score).map(|s| s.endpoint),
            first_token_ms: chosen.predicted.first_token_ms().ceil() as u64,
            cached_tokens: chosen.cached_tokens,
        })
    }
}

/// Whether prompt and answer don't fit into the endpoint's free KV memory. A capacity of 0 is
/// unknown and never full.
fn memory_is_full(endpoint: &Endpoint, request: &RoutingRequest<'_>) -> bool {
    let load = &endpoint.load;
    let needed_tokens = request.prompt_tokens + request.max_tokens;
    load.kv_capacity_tokens > 0 && load.kv_used_tokens + needed_tokens > load.kv_capacity_tokens
}

impl Policy for Marigold {
    fn choose(
        &self,
        view: &View,
        request: &RoutingRequest<'_>,
        random: u64,
    ) -> Result<Choice, RoutingError> {
        let usable = self.usable(view, request)?;
        self.pick(&usable.fresh, random)
            .or_else(|| self.pick(&usable.stale, random))
            .ok_or(RoutingError::AllBusy)
    }

    fn engine_priority(&self, request: &RoutingRequest<'_>) -> u32 {
        lane::engine_priority(request.priority, request.prompt_tokens)
    }

    fn dispatched(&self, endpoint: EndpointKey, request: &RoutingRequest<'_>) {
        let history = self.histories.get(endpoint);
        history.outstanding.add(request.prompt_tokens);
        match lane::for_prompt(request.prompt_tokens) {
            Lane::Short => history
                .short_dispatches
                .add(request.now_ms, request.prompt_tokens),
            Lane::Medium | Lane::Long => history
                .longer_dispatches
                .add(request.now_ms, request.prompt_tokens),
        }
    }

    fn first_token(
        &self,
        endpoint: EndpointKey,
        request: &RoutingRequest<'_>,
        predicted_ms: u64,
        took_ms: u64,
    ) {
        if predicted_ms > 0 {
            let now_ms = request.now_ms;
            self.outliers
                .record_first_token(endpoint, now_ms, predicted_ms, took_ms);
        }
    }

    fn finished(&self, endpoint: EndpointKey, request: &RoutingRequest<'_>, outcome: Outcome) {
        let history = self.histories.get(endpoint);
        history.outstanding.remove(request.prompt_tokens);
        match outcome {
            Outcome::Answered => self.outliers.record_answer(endpoint),
            Outcome::Failed | Outcome::Unknown => {
                self.outliers.record_failure(endpoint, request.now_ms)
            }
            Outcome::Refused | Outcome::Unspecified => {}
        }
    }
}
