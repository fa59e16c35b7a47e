//! Counters of the gateway.

use mgs_observe::metrics::Counter;
use mgs_observe::metrics::Counters;
use mgs_observe::metrics::Gauge;
use mgs_observe::metrics::Gauges;
use mgs_observe::metrics::HistogramsMs;
use mgs_observe::metrics::Registry;
use mgs_routing::lane;
use mgs_routing::lane::Lane;
use mgs_schema::name::Name;
use mgs_schema::wire::RetryReason;

use mgs_request::outcome::End;
use mgs_request::outcome::Refusal;

/// Handles of the gateway's metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Requests that were admitted.
    pub admitted: Counter,
    /// Admitted requests that ended, by outcome.
    pub outcomes: Counters,
    /// Requests refused, before admission or after, by reason.
    pub refused: Counters,
    /// Requests failed, by reason.
    pub failed: Counters,
    /// Requests whose outcome is unknown, by reason.
    pub unknown: Counters,
    /// Attempts made again, by reason.
    pub retries: Counters,
    /// Streams taken up again on a new connection.
    pub resumes: Counter,
    /// Requests open now.
    pub open: Gauge,
    /// Version of the settings in force.
    pub settings_version: Gauge,
    /// Sessions with sidecars that work now.
    pub sessions: Gauge,
    /// Sessions that were lost.
    pub sessions_lost: Counter,
    /// Listening sockets whose accept failed and was set up again.
    pub accept_failures: Counter,
    /// Callers whose connection can't be let go, because their announced body is absurd.
    pub callers_stuck: Counter,
    /// What keyed and durable requests did with the store, as counted so far.
    pub durable: Gauges,
    /// Prompts spread over several endpoints' memory.
    pub spans: Spans,
    /// Time to first token, by prompt length.
    pub first_token_ms: HistogramsMs,
}

/// Counts of spans. Those begun and not yet freed may hold memory.
#[derive(Debug, Clone)]
pub struct Spans {
    counts: Counters,
}

impl Spans {
    /// A span begins to reserve memory.
    pub fn begun(&self) {
        self.counts.inc("begun");
    }

    /// All parts were exported, and the request goes to the home.
    pub fn dispatched(&self) {
        self.counts.inc("dispatched");
    }

    /// An endpoint didn't hold its part, or the home refused; the request is planned anew.
    pub fn replanned(&self) {
        self.counts.inc("replanned");
    }

    /// Everything was freed.
    pub fn freed(&self) {
        self.counts.inc("freed");
    }
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// ```
    /// use mgs_gateway::metrics::Metrics;
    /// use mgs_observe::metrics::Registry;
    ///
    /// let registry = Registry::new();
    /// Metrics::new(&registry).admitted.inc();
    /// assert!(registry.encode().contains("mgs_gateway_admitted_total 1"));
    /// ```
    pub fn new(registry: &Registry) -> Self {
        Self {
            admitted: registry.counter("gateway_admitted", "Requests admitted"),
            outcomes: registry.counters(
                "gateway_ended",
                "Admitted requests ended, by outcome",
                "outcome",
            ),
            refused: registry.counters("gateway_refused", "Requests refused, by reason", "reason"),
            failed: registry.counters("gateway_failed", "Requests failed, by reason", "reason"),
            unknown: registry.counters(
                "gateway_unknown",
                "Requests of unknown outcome, by reason",
                "reason",
            ),
            retries: registry.counters("gateway_retries", "Attempts made again", "reason"),
            resumes: registry.counter("gateway_resumes", "Answers resumed on a new connection"),
            open: registry.gauge("gateway_open_requests", "Requests open now"),
            settings_version: registry.gauge(
                "gateway_settings_version",
                "Version of the settings in force",
            ),
            sessions: registry.gauge("gateway_sessions", "Sidecars connected now"),
            sessions_lost: registry.counter("gateway_sessions_lost", "Sessions lost"),
            accept_failures: registry.counter("gateway_accept_failures", "Accepts that failed"),
            callers_stuck: registry.counter(
                "gateway_callers_stuck",
                "Connections held by callers that announced an absurd body",
            ),
            durable: registry.gauges(
                "gateway_durable",
                "Keyed and durable requests and their writes, counted since the start",
                "count",
            ),
            spans: Spans {
                counts: registry.counters(
                    "gateway_spans",
                    "Spans over several endpoints' memory, by what became of them",
                    "event",
                ),
            },
            first_token_ms: registry.histograms_ms(
                "gateway_first_token_ms",
                "Time from arrival to the first token, by prompt length",
                "lane",
            ),
        }
    }

    /// Counts a refusal before admission.
    pub fn refused_early(&self, refusal: &Refusal) {
        self.refused.inc(&refusal.reason.name());
    }

    /// Counts the end of an admitted request: what was admitted and hasn't ended is open.
    pub fn ended(&self, end: &End) {
        self.outcomes.inc(&end.outcome().name());
        match end {
            End::Answered(_) => {}
            End::Refused(refusal) => self.refused.inc(&refusal.reason.name()),
            End::Failed(reason, _) => self.failed.inc(&reason.name()),
            End::Unknown(reason, _) => self.unknown.inc(&reason.name()),
        }
    }

    /// Counts an attempt made again.
    pub fn retried(&self, reason: RetryReason) {
        self.retries.inc(&reason.name());
    }

    /// Notes the time to the first token of a prompt.
    pub fn first_token(&self, prompt_tokens: u64, took_ms: u64) {
        let lane = match lane::for_prompt(prompt_tokens) {
            Lane::Short => "short",
            Lane::Medium => "medium",
            Lane::Long => "long",
        };
        self.first_token_ms.observe(lane, took_ms as f64);
    }
}
