//! Counters of the sidecar.

use mgs_observe::metrics::Counter;
use mgs_observe::metrics::Counters;
use mgs_observe::metrics::Gauge;
use mgs_observe::metrics::HistogramMs;
use mgs_observe::metrics::Registry;
use mgs_schema::name::Name;
use mgs_schema::wire::Outcome;
use mgs_schema::wire::RefusalReason;

/// Handles of the sidecar's metrics.
pub(crate) struct Metrics {
    refusals: Counters,
    ended: Counters,
    pub(crate) waiting: Gauge,
    pub(crate) running: Gauge,
    pub(crate) kv_used_tokens: Gauge,
    pub(crate) kv_capacity_tokens: Gauge,
    pub(crate) settings_version: Gauge,
    pub(crate) first_token_ms: HistogramMs,
    pub(crate) reopened: Counter,
    pub(crate) lost_starts: Counter,
}

impl Metrics {
    pub(crate) fn new(registry: &Registry) -> Self {
        Self {
            refusals: registry.counters(
                "sidecar_refusals",
                "Requests refused as not run, by reason",
                "reason",
            ),
            ended: registry.counters(
                "sidecar_requests_ended",
                "Requests that ended, by outcome",
                "outcome",
            ),
            waiting: registry.gauge("sidecar_waiting", "Requests that wait"),
            running: registry.gauge("sidecar_running", "Requests at the endpoint"),
            kv_used_tokens: registry
                .gauge("sidecar_kv_used_tokens", "Engine memory in use or reserved"),
            kv_capacity_tokens: registry
                .gauge("sidecar_kv_capacity_tokens", "Engine memory in all"),
            settings_version: registry.gauge(
                "sidecar_settings_version",
                "Version of the settings in force",
            ),
            first_token_ms: registry.histogram_ms(
                "sidecar_first_token_ms",
                "Time from the start at the endpoint to the first token",
            ),
            reopened: registry.counter(
                "sidecar_streams_reopened",
                "Streams read on over a new connection to the engine",
            ),
            lost_starts: registry.counter(
                "sidecar_starts_lost",
                "Starts whose answer was lost and looked up in the engine's list",
            ),
        }
    }

    pub(crate) fn refused(&self, reason: RefusalReason) {
        self.refusals.inc(&reason.name());
    }

    pub(crate) fn ended(&self, outcome: Outcome) {
        self.ended.inc(&outcome.name());
    }
}
