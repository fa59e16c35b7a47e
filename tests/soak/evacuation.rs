//! Checks that gateways send nothing to the endpoints of evacuated zones.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::backpressure::EndpointArrival;
use crate::check::Observations;
use crate::check::UNDISTURBED_PERIOD;
use crate::clients::Record;
use crate::environment::zone_of;
use crate::history::Component;
use crate::history::Evacuation;

/// Time from the order until no gateway that is in touch with the store may send anything to the zone.
const BOUND: Duration = Duration::from_millis(5_000);

/// Time from the order until no gateway that has been undisturbed since before the order may send anything to the zone:
/// one second, and the time that a request is on its way.
const TARGET: Duration = Duration::from_millis(1_300);

impl Observations<'_> {
    /// Checks the arrivals at endpoints of evacuated zones; requests that the endpoint answers with 421 are excepted.
    pub(crate) fn check_evacuations(&self, found: &mut Vec<String>) {
        let by_id: HashMap<&str, &Record> =
            self.records.iter().map(|r| (r.id.as_str(), r)).collect();
        for arrival in self.arrivals.iter().filter(|a| !a.request.is_misdirected) {
            let Some(record) = by_id.get(arrival.request.request_id.as_str()) else {
                continue;
            };
            let in_zone = self.history.evacuations.iter();
            let in_zone = in_zone.filter(|evacuation| evacuation.zone == zone_of(arrival.slot));
            for evacuation in in_zone {
                self.check_arrival(arrival, record, evacuation, found);
            }
        }
    }

    fn check_arrival(
        &self,
        arrival: &EndpointArrival,
        record: &Record,
        evacuation: &Evacuation,
        found: &mut Vec<String>,
    ) {
        let at = arrival.request.at;
        let is_over = evacuation.until.is_some_and(|until| at > until);
        let is_undisturbed_since = |from: Instant| {
            let dependencies = [
                Component::Process(record.gateway),
                Component::StorePath(record.gateway),
                Component::Store,
                Component::EndpointPath(arrival.slot),
            ];
            !self.is_disrupted(&dependencies, from, at)
        };
        let is_beyond_bound =
            at > evacuation.from + BOUND && is_undisturbed_since(at - UNDISTURBED_PERIOD);
        let is_beyond_target = at > evacuation.from + TARGET
            && is_undisturbed_since(evacuation.from - UNDISTURBED_PERIOD);
        if !is_over && (is_beyond_bound || is_beyond_target) {
            found.push(format!(
                "{} reached {} {:?} after its zone was evacuated",
                record.id,
                arrival.id,
                at - evacuation.from
            ));
        }
    }
}
