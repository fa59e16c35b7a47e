//! Properties of the endpoints of a run, and of what the configuration says of them.

use std::time::Duration;

use serde_json::json;
use serde_json::Value;

use crate::environment::EVENTS;
use crate::environment::PLAIN_SERVICES;
use crate::standin::endpoint::Behaviour;
use crate::standin::endpoint::Endpoint;

/// Requests per second that cold endpoints tolerate, and the time for which they are cold after a start.
pub(crate) const COLD_PER_S: f64 = 10.0;
pub(crate) const COLD_START: Duration = Duration::from_secs(3);

/// API keys of the organisations that share the engines with the first one.
pub(crate) const ORGANISATION_KEYS: [&str; 3] = ["key-surging", "key-steady-1", "key-steady-2"];

/// Properties of the endpoints of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct EndpointTraits {
    /// Their rows in the store state when they started.
    pub(crate) reports_start_time: bool,
    /// They are in both zones, instead of all in the first one.
    pub(crate) has_two_zones: bool,
    /// Engines crash when they start to run a request whose body contains the crash marker.
    pub(crate) can_crash: bool,
    /// They are cold after each start, and the configuration limits requests to them meanwhile.
    pub(crate) are_cold_after_start: bool,
    /// There are several organisations, which are held to shares when engines are short.
    pub(crate) have_shares: bool,
}

impl EndpointTraits {
    /// Starts an endpoint of a slot.
    pub(crate) fn start_endpoint(self, id: &str, service: &str, number: usize) -> Endpoint {
        let endpoint = Endpoint::start(id, service, &[self.default_behaviour(number)]);
        if self.are_cold_after_start {
            endpoint.set_cold_for(COLD_START);
        }
        endpoint
    }

    /// How an endpoint behaves without faults.
    pub(crate) fn default_behaviour(self, number: usize) -> Behaviour {
        match number < PLAIN_SERVICES {
            true => Behaviour::AnswerAfter(15),
            false if self.can_crash => Behaviour::Crash(EVENTS),
            false => Behaviour::Stream(EVENTS),
        }
    }

    /// Adds to a configuration what these endpoints need.
    pub(crate) fn extend_configuration(self, all: &mut Value) {
        if self.have_shares {
            let tenants = all["tenants"].as_array_mut().expect("organisations");
            tenants.extend(
                ORGANISATION_KEYS.map(
                    |key| json!({"name": format!("of-{key}"), "apiKeys": [key], "priority": 1}),
                ),
            );
        }
        if self.are_cold_after_start {
            for service in all["services"].as_array_mut().expect("services") {
                service["coldPerS"] = json!(COLD_PER_S);
                service["coldStartS"] = json!(COLD_START.as_secs());
            }
        }
    }
}
