//! Dispatches that an endpoint refused because another endpoint didn't help with the prefill of the prompt.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::explain::LogLine;

/// Refusals to help by one endpoint.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointRefusals {
    /// Number of dispatches that it refused to help with.
    pub count: usize,
    /// Hosts whose dispatches it refused.
    pub hosts: BTreeSet<String>,
    /// Number of refusals of a host that it had refused before.
    pub repeats: usize,
    /// Time of the first refusal, in seconds after the first line of the logs.
    pub first_s: f64,
    /// Time of the last refusal, in seconds after the first line of the logs.
    pub last_s: f64,
}

/// Refusals to help in a set of logs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HelpRefusals {
    /// By the endpoint that refused to help: its identifier, or its address as logged.
    pub by_endpoint: BTreeMap<String, EndpointRefusals>,
    /// Number of refusals by the ordinal of the dispatch within its request.
    pub by_dispatch: BTreeMap<u64, usize>,
    /// Identifiers of the requests with such a refused dispatch.
    pub requests: BTreeSet<String>,
}

impl HelpRefusals {
    pub(super) fn from_lines(lines: &[LogLine], start_ms: f64) -> Self {
        let mut refusals = Self::default();
        let mut refused: Vec<&LogLine> =
            lines.iter().filter(|line| is_help_refusal(line)).collect();
        refused.sort_by(|a, b| a.time_of_day_ms.total_cmp(&b.time_of_day_ms));
        for line in refused {
            refusals.add(line, (line.time_of_day_ms - start_ms) / 1e3);
        }
        refusals
    }

    fn add(&mut self, line: &LogLine, at_s: f64) {
        let endpoint_refusals = self.by_endpoint.entry(line.field("at_fault")).or_default();
        if endpoint_refusals.count == 0 {
            endpoint_refusals.first_s = at_s;
        }
        endpoint_refusals.count += 1;
        endpoint_refusals.last_s = at_s;
        if !endpoint_refusals.hosts.insert(line.source.clone()) {
            endpoint_refusals.repeats += 1;
        }
        let dispatch = line.number("dispatch") as u64;
        *self.by_dispatch.entry(dispatch).or_default() += 1;
        self.requests.insert(line.request_id());
    }

    /// Total number of refused dispatches.
    pub fn count(&self) -> usize {
        self.by_endpoint
            .values()
            .map(|endpoint| endpoint.count)
            .sum()
    }

    /// Endpoints in descending order of their refusals.
    pub fn by_count(&self) -> Vec<(&String, &EndpointRefusals)> {
        let mut all: Vec<_> = self.by_endpoint.iter().collect();
        all.sort_by_key(|(name, endpoint)| (std::cmp::Reverse(endpoint.count), *name));
        all
    }
}

fn is_help_refusal(line: &LogLine) -> bool {
    line.text == "dispatch ended" && !line.field("at_fault").is_empty()
}
