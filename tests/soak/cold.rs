//! Checks that all gateways together keep to the limit of cold endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::backpressure::EndpointArrival;
use crate::check::Observations;
use crate::clients::Record;
use crate::endpoint_traits::COLD_PER_S;
use crate::history::Component;

/// Factor of the limit and requests on top of it, as in the gateways' settings.
pub(crate) const COLD_OVERRUN: f64 = 1.5;
pub(crate) const COLD_SLACK: f64 = 5.0;

/// Most requests that may be sent to a cold endpoint and arrive there within [`WINDOW`].
const ALLOWED: f64 = COLD_PER_S * COLD_OVERRUN + COLD_SLACK;

const WINDOW: Duration = Duration::from_secs(1);

/// Time within which a row reaches the gateways that are in touch with the store. An endpoint that starts again under its
/// identifier is cold without any sign until then.
const NOTICE: Duration = Duration::from_millis(1_300);

impl Observations<'_> {
    /// Checks the arrivals at each incarnation while it is cold; requests that it answers with 421 are excepted.
    pub(crate) fn check_cold(&self, found: &mut Vec<String>) {
        let by_id: HashMap<&str, &Record> =
            self.records.iter().map(|r| (r.id.as_str(), r)).collect();
        let mut by_incarnation: HashMap<SocketAddr, Vec<&EndpointArrival>> = HashMap::new();
        for arrival in self.arrivals.iter().filter(|a| a.request.is_cold) {
            let record = by_id.get(arrival.request.request_id.as_str());
            if record.is_some_and(|record| self.had_notice(arrival, record)) {
                let of_incarnation = by_incarnation.entry(arrival.incarnation_address);
                of_incarnation.or_default().push(arrival);
            }
        }
        for arrivals in by_incarnation.values() {
            let times: Vec<Instant> = arrivals.iter().map(|a| a.request.at).collect();
            let count_from = |from: &Instant| {
                let in_window = |at: &&Instant| **at >= *from && **at < *from + WINDOW;
                times.iter().filter(in_window).count()
            };
            let most = times.iter().map(count_from).max().unwrap_or(0);
            if most as f64 > ALLOWED {
                let id = &arrivals[0].id;
                found.push(format!(
                    "{id} was cold and got {most} requests in {WINDOW:?}; {ALLOWED} are allowed"
                ));
            }
        }
    }

    /// Whether a request counts: the endpoint ran it, and its gateway could know that the endpoint is cold. Endpoints with
    /// a new identifier are known by their row alone, so all requests to them count.
    fn had_notice(&self, arrival: &EndpointArrival, record: &Record) -> bool {
        let at = arrival.request.at;
        if arrival.request.is_misdirected {
            return false;
        }
        let mut restarts = self.history.cold_restarts.iter();
        let restart = restarts.find(|(address, _)| *address == arrival.incarnation_address);
        let Some((_, restarted)) = restart else {
            return true;
        };
        let dependencies = [
            Component::Process(record.gateway),
            Component::StorePath(record.gateway),
            Component::Store,
        ];
        at > *restarted + NOTICE && !self.is_disrupted(&dependencies, *restarted - NOTICE, at)
    }
}
