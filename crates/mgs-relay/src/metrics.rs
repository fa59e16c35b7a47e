//! Metrics of the request path.

use mgs_observe::metrics::Counter;
use mgs_observe::metrics::Counters;
use mgs_observe::metrics::Gauge;
use mgs_observe::metrics::Gauges;
use mgs_observe::metrics::HistogramMs;
use mgs_observe::metrics::HistogramsMs;
use mgs_observe::metrics::Registry;
use mgs_observe::metrics::TwoLabelCounters;

/// Buckets of prompt length for the time to the first token: exclusive upper bounds in tokens, with
/// their labels.
const LENGTH_BUCKETS: [(u64, &str); 4] = [
    (1, "none"),
    (16_000, "under_16k"),
    (100_000, "16k_to_100k"),
    (u64::MAX, "over_100k"),
];

/// Buckets of request size for outcomes: exclusive upper bounds in read tokens, with their labels.
/// Each bound is twice the one before, so that the longest requests of a kind are separate
/// from the others.
const SIZE_BUCKETS: [(u64, &str); 10] = [
    (4_000, "under_4k"),
    (8_000, "4k_to_8k"),
    (16_000, "8k_to_16k"),
    (32_000, "16k_to_32k"),
    (64_000, "32k_to_64k"),
    (128_000, "64k_to_128k"),
    (256_000, "128k_to_256k"),
    (512_000, "256k_to_512k"),
    (1_024_000, "512k_to_1024k"),
    (u64::MAX, "over_1024k"),
];

/// The metrics of one relay.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Requests by outcome.
    pub(crate) requests: Counters,
    /// Prompts by size and final outcome.
    pub(crate) outcomes: TwoLabelCounters,
    /// Requests that ended without an endpoint's answer, by reason.
    pub(crate) refusals: Counters,
    /// Prompts refused since the share of their organisation was used up, by organisation.
    pub(crate) share_refusals: Counters,
    /// Observations of engines' speeds, by what was observed and whether it was used.
    pub(crate) speed_observations: TwoLabelCounters,
    /// Engines that are estimated to be slow.
    pub(crate) slow_engines: Gauge,
    /// Retries, by reason.
    pub(crate) retries: Counters,
    /// Retries that the retry budget denied, by reason.
    pub(crate) denied_retries: Counters,
    /// Dispatches, by outcome.
    pub(crate) dispatches: Counters,
    /// Streams that broke off, by reason.
    pub(crate) broken_streams: Counters,
    /// Refusals of endpoints to help with a prompt, by their likely reason.
    pub(crate) help_refusals: Counters,
    /// Clients whose connection was closed since they read too slowly, by the bound.
    pub(crate) slow_clients: Counters,
    /// Used share of the link, in thousandths; 0 if its width isn't known.
    pub(crate) link_use_permille: Gauge,
    /// Connections that weren't taken for lack of memory.
    pub(crate) refused_connections: Counter,
    /// Bytes held for clients and endpoints, by what they are.
    pub(crate) held_bytes: Gauges,
    /// Changes of what endpoints ask of their senders, by kind.
    pub(crate) advice: Counters,
    /// Requests placed at an endpoint that must not be sent anything any more, by reason.
    pub(crate) blocked_before_dispatch: Counters,
    /// Zones that were evacuated or restored.
    pub(crate) zone_changes: Counters,
    /// Evacuated zones.
    pub(crate) evacuated_zones: Gauge,
    /// Requests to cold endpoints whose connections opened, by whether they were sent.
    pub(crate) cold_dispatches: Counters,
    /// Runs that returned no answer, by what became of their endpoint.
    pub(crate) lost_runs: Counters,
    /// Requests that were held or released.
    pub(crate) quarantine: Counters,
    /// Held requests.
    pub(crate) held_works: Gauge,
    /// Memory reservations, by outcome.
    pub(crate) reservations: Counters,
    /// Open requests.
    pub(crate) open_requests: Gauge,
    /// Open client connections.
    pub(crate) open_connections: Gauge,
    /// Peers heard recently.
    pub(crate) peers: Gauge,
    /// Gateways that share the retry budget; -1 while their number isn't known.
    pub(crate) gateways: Gauge,
    /// Version of the configuration in force.
    pub(crate) configuration_version: Gauge,
    /// Time since the configuration was last confirmed, in milliseconds; -1 if it never was.
    pub(crate) configuration_age_ms: Gauge,
    /// Time since the list of endpoints was last confirmed, in milliseconds; -1 if it never was.
    pub(crate) fleet_age_ms: Gauge,
    /// Known endpoints.
    pub(crate) endpoints: Gauge,
    /// Time to the first event or the answer, by prompt length.
    pub(crate) first_token_ms: HistogramsMs,
    /// Time by which the first token came later than predicted.
    pub(crate) late_by_ms: HistogramMs,
    /// Pauses between events.
    pub(crate) pause_ms: HistogramMs,
    /// Time to connect to an endpoint.
    pub(crate) connect_ms: HistogramMs,
    /// Bytes transferred, by purpose.
    pub(crate) bytes: Counters,
    /// Rows of the store that can't be used, by fault.
    pub bad_rows: Counters,
    /// Calls to the store, by topic and reason.
    pub store_calls: TwoLabelCounters,
    /// Detected restorations of the store from an older copy, by topic.
    pub store_rollbacks: Counters,
    /// Messages that couldn't be received, decoded or sent.
    pub(crate) peer_faults: Counter,
}

impl Metrics {
    /// Registers the metrics.
    pub fn new(registry: &Registry) -> Self {
        Self {
            requests: registry.counters("relay_requests", "Requests, by outcome", "outcome"),
            outcomes: registry.two_label_counters(
                "relay_outcomes",
                "Prompts, by size in read tokens and final outcome",
                ["size", "outcome"],
            ),
            refusals: registry.counters("relay_refusals", "Requests without an answer", "reason"),
            share_refusals: registry.counters(
                "relay_share_refusals",
                "Prompts refused since their organisation's share was used up, by organisation",
                "organisation",
            ),
            speed_observations: registry.two_label_counters(
                "relay_speed_observations",
                "Observations of engines' speeds, by kind and use",
                ["kind", "use"],
            ),
            slow_engines: registry.gauge("relay_slow_engines", "Engines estimated to be slow"),
            retries: registry.counters("relay_retries", "Second tries, by reason", "reason"),
            denied_retries: registry.counters(
                "relay_denied_retries",
                "Retries for which the budget had nothing left, by reason",
                "reason",
            ),
            dispatches: registry.counters("relay_dispatches", "Dispatches, by end", "end"),
            broken_streams: registry.counters(
                "relay_broken_streams",
                "Streams that broke off",
                "reason",
            ),
            help_refusals: registry.counters(
                "relay_help_refusals",
                "Refusals of endpoints to read a part of a prompt, by what they show",
                "reason",
            ),
            slow_clients: registry.counters(
                "relay_slow_clients",
                "Clients cut off since they read too slowly, by the bound",
                "bound",
            ),
            link_use_permille: registry.gauge(
                "relay_link_use_permille",
                "Used share of the link, in thousandths",
            ),
            refused_connections: registry.counter(
                "relay_refused_connections",
                "Connections that weren't taken for lack of memory",
            ),
            held_bytes: registry.gauges(
                "relay_held_bytes",
                "Bytes held for clients and endpoints, by what they are",
                "what",
            ),
            advice: registry.counters(
                "relay_endpoint_advice",
                "What endpoints newly asked of those that send them requests",
                "news",
            ),
            blocked_before_dispatch: registry.counters(
                "relay_shut_before_dispatch",
                "Requests placed at an endpoint that may not be sent anything any more",
                "reason",
            ),
            zone_changes: registry.counters(
                "relay_zone_changes",
                "Availability zones that were evacuated or restored",
                "change",
            ),
            evacuated_zones: registry.gauge("relay_evacuated_zones", "Zones that are evacuated"),
            cold_dispatches: registry.counters(
                "relay_cold_dispatches",
                "Requests to cold endpoints whose connections opened",
                "outcome",
            ),
            lost_runs: registry.counters(
                "relay_lost_runs",
                "Runs of which no answer came, by what became of their endpoint",
                "fate",
            ),
            quarantine: registry.counters(
                "relay_quarantine",
                "Works held as crashing endpoints, or let go",
                "turn",
            ),
            held_works: registry.gauge("relay_held_works", "Works that are held"),
            reservations: registry.counters("relay_reservations", "Reservations", "outcome"),
            open_requests: registry.gauge("relay_open_requests", "Open requests"),
            open_connections: registry.gauge("relay_open_connections", "Clients' connections"),
            peers: registry.gauge("relay_peers", "Peers heard of late"),
            gateways: registry.gauge("relay_gateways", "Gateways that share budgets"),
            configuration_version: registry.gauge("relay_configuration_version", "In force"),
            configuration_age_ms: registry.gauge("relay_configuration_age_ms", "Since confirmed"),
            fleet_age_ms: registry.gauge("relay_fleet_age_ms", "Since confirmed"),
            endpoints: registry.gauge("relay_endpoints", "Endpoints known"),
            first_token_ms: registry.histograms_ms(
                "relay_first_token_ms",
                "Time to the first event or the answer, by prompt length",
                "length",
            ),
            late_by_ms: registry.histogram_ms("relay_late_by_ms", "First token after prediction"),
            pause_ms: registry.histogram_ms("relay_pause_ms", "Pauses between events"),
            connect_ms: registry.histogram_ms("relay_connect_ms", "Connecting to an endpoint"),
            bytes: registry.counters("relay_bytes", "Bytes carried, by what they are for", "what"),
            bad_rows: registry.counters(
                "relay_bad_rows",
                "Rows of the store that name nothing to use",
                "fault",
            ),
            store_calls: registry.two_label_counters(
                "relay_store_calls",
                "Calls to the store, by topic and reason",
                ["topic", "reason"],
            ),
            store_rollbacks: registry.counters(
                "relay_store_rollbacks",
                "Times at which the store was found to have come back from an older copy",
                "topic",
            ),
            peer_faults: registry.counter("relay_peer_faults", "Unusable messages of peers"),
        }
    }
}

/// Label of a prompt's length.
pub(crate) fn length_label(prompt_tokens: u64) -> &'static str {
    bucket_label(&LENGTH_BUCKETS, prompt_tokens)
}

/// Label of a request's size.
pub(crate) fn size_label(size_tokens: u64) -> &'static str {
    bucket_label(&SIZE_BUCKETS, size_tokens)
}

/// Label of the first bucket whose bound exceeds `tokens`, or of the last bucket.
fn bucket_label(bounds: &[(u64, &'static str)], tokens: u64) -> &'static str {
    let fits = |(below, _): &&(u64, &'static str)| tokens < *below;
    let bucket = bounds.iter().find(fits).or(bounds.last());
    bucket.map_or("", |(_, label)| label)
}
