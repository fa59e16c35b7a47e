//! Checks that gateways honour the draining, rate limits and back-off that endpoints announce in response headers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::check::Observations;
use crate::clients::Record;
use crate::history::Component;
use crate::standin::endpoint::Arrival;

/// Time from the `Server-Leaving` header of a response until its gateway must send the endpoint nothing.
const DRAIN_DELAY: Duration = Duration::from_secs(2);

/// Time from the first response with a limit until requests are checked against it.
const LIMIT_DELAY: Duration = Duration::from_secs(3);

/// Time from a response with a limit until its gateway must apply it.
const LIMIT_NOTICE_DELAY: Duration = Duration::from_millis(500);

/// Window in which requests are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Requests allowed in a window: what the limit amounts to times [`LIMIT_FACTOR`], plus [`LIMIT_EXTRA_REQUESTS`].
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_EXTRA_REQUESTS: f64 = 5.0;

/// Time from a refusal with `Retry-After` until its gateway must back off.
const BACK_OFF_DELAY: Duration = Duration::from_millis(500);

/// Requests of one gateway that may still arrive from then until the end of the back-off.
const IN_BACK_OFF_MAX: usize = 2;

/// A request that arrived at one incarnation of an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct EndpointArrival {
    pub(crate) slot: usize,
    pub(crate) id: String,
    /// Address behind the proxy; each incarnation listens on one of its own.
    pub(crate) incarnation_address: SocketAddr,
    pub(crate) request: Arrival,
}

/// An arrival and the client's record of the same request.
struct Exchange<'a> {
    arrival: &'a EndpointArrival,
    record: &'a Record,
}

impl Exchange<'_> {
    /// Value of an extra header of the response, if it is a number.
    fn header_value(&self, name: &str) -> Option<f64> {
        let mut lines = self.arrival.request.extra_headers.lines();
        let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))?;
        value.trim().parse().ok()
    }

    /// Whether the client got this endpoint's response, complete and with the draining header.
    fn is_forwarded(&self) -> bool {
        let response = self.record.response.as_ref();
        let is_complete =
            response.is_some_and(|response| response.status == 200 && response.is_complete);
        let drain_header = response.and_then(|response| response.head.header("server-leaving"));
        is_complete && drain_header.is_some()
    }
}

impl Observations<'_> {
    /// Checks the arrivals at each incarnation.
    pub(crate) fn check_backpressure(&self, found: &mut Vec<String>) {
        let by_id: HashMap<&str, &Record> =
            self.records.iter().map(|r| (r.id.as_str(), r)).collect();
        let mut by_incarnation: HashMap<SocketAddr, Vec<Exchange<'_>>> = HashMap::new();
        for arrival in self.arrivals {
            if let Some(record) = by_id.get(arrival.request.request_id.as_str()) {
                let of_incarnation = by_incarnation
                    .entry(arrival.incarnation_address)
                    .or_default();
                of_incarnation.push(Exchange { arrival, record });
            }
        }
        for exchanges in by_incarnation.values_mut() {
            exchanges.sort_by_key(|exchange| exchange.arrival.request.at);
            self.check_drain_headers(exchanges, found);
            self.check_limit(exchanges, found);
            self.check_back_off(exchanges, found);
        }
    }

    /// Whether the process of a gateway was undisturbed between two times.
    fn is_undisturbed(&self, gateway: usize, from: Instant, until: Instant) -> bool {
        !self.is_disrupted(&[Component::Process(gateway)], from, until)
    }

    fn check_drain_headers(&self, all: &[Exchange<'_>], found: &mut Vec<String>) {
        let mut notified: HashMap<usize, Instant> = HashMap::new();
        let forwarded = all.iter().filter(|exchange| exchange.is_forwarded());
        for exchange in
            forwarded.filter(|exchange| exchange.header_value("Server-Leaving").is_some())
        {
            let at = notified
                .entry(exchange.record.gateway)
                .or_insert(exchange.record.ended_at);
            *at = (*at).min(exchange.record.ended_at);
        }
        for exchange in all {
            let (gateway, at) = (exchange.record.gateway, exchange.arrival.request.at);
            let notified = notified.get(&gateway);
            let Some(notified) =
                notified.filter(|notified| exchange.record.sent_at > **notified + DRAIN_DELAY)
            else {
                continue;
            };
            if self.is_undisturbed(gateway, *notified, at) {
                let (id, request_id) = (&exchange.arrival.id, &exchange.record.id);
                found.push(format!(
                    "{request_id} reached {id}, which had announced that it is draining"
                ));
            }
        }
    }

    /// Counts the requests of gateways that knew the limit and have been undisturbed since then, as long as the endpoint
    /// announces the same limit.
    fn check_limit(&self, all: &[Exchange<'_>], found: &mut Vec<String>) {
        let has_limit = |exchange: &&Exchange<'_>| exchange.header_value("Server-Limit").is_some();
        let Some(first) = all.iter().find(has_limit) else {
            return;
        };
        let per_s = first.header_value("Server-Limit").unwrap_or(0.0);
        let since = first.arrival.request.at + LIMIT_DELAY;
        let limited = all.iter().filter(|exchange| {
            let at = exchange.arrival.request.at;
            let has_same_limit = exchange.header_value("Server-Limit") == Some(per_s);
            has_same_limit && at >= since && self.knows_limit(all, exchange)
        });
        let limited: Vec<Instant> = limited
            .map(|exchange| exchange.arrival.request.at)
            .collect();
        let window_counts = limited.iter().map(|from| {
            let in_window =
                |at: &&Instant| **at >= *from && at.duration_since(*from) < LIMIT_WINDOW;
            limited.iter().filter(in_window).count()
        });
        let busiest = window_counts.max().unwrap_or(0);
        let allowed = per_s * LIMIT_WINDOW.as_secs_f64() * LIMIT_FACTOR + LIMIT_EXTRA_REQUESTS;
        if busiest as f64 > allowed {
            let id = &first.arrival.id;
            found.push(format!(
                "{id} has a limit of {per_s} requests a second and got {busiest} in {LIMIT_WINDOW:?}"
            ));
        }
    }

    /// Whether the gateway of a request had received a response with a limit from that endpoint.
    fn knows_limit(&self, all: &[Exchange<'_>], exchange: &Exchange<'_>) -> bool {
        let (gateway, at) = (exchange.record.gateway, exchange.arrival.request.at);
        let carried_limit = |earlier: &&Exchange<'_>| {
            let ended_before = earlier.record.ended_at + LIMIT_NOTICE_DELAY < at;
            let is_answered = earlier
                .record
                .response
                .as_ref()
                .is_some_and(|a| a.status == 200);
            let is_same_gateway = earlier.record.gateway == gateway && ended_before && is_answered;
            is_same_gateway && earlier.header_value("Server-Limit").is_some()
        };
        let notified = all.iter().find(carried_limit);
        notified.is_some_and(|notified| self.is_undisturbed(gateway, notified.record.sent_at, at))
    }

    fn check_back_off(&self, all: &[Exchange<'_>], found: &mut Vec<String>) {
        for refused in all
            .iter()
            .filter(|exchange| exchange.arrival.request.is_refused)
        {
            let Some(back_off_s) = refused.header_value("Retry-After") else {
                continue;
            };
            let from = refused.arrival.request.at;
            let until = from + Duration::from_secs_f64(back_off_s);
            let disruptions = [
                Component::Process(refused.record.gateway),
                Component::EndpointPath(refused.arrival.slot),
            ];
            if self.is_disrupted(&disruptions, from, until) {
                continue;
            }
            let in_back_off = all.iter().filter(|exchange| {
                let is_in_back_off =
                    (from + BACK_OFF_DELAY..until).contains(&exchange.arrival.request.at);
                is_in_back_off && exchange.record.gateway == refused.record.gateway
            });
            let count = in_back_off.count();
            if count > IN_BACK_OFF_MAX {
                let id = &refused.arrival.id;
                found.push(format!(
                    "{id} asked for a back-off of {back_off_s} s and got {count} requests"
                ));
            }
        }
    }
}
