//! Dispatches that an endpoint refused for the sake of another one, which didn't help to read a prompt.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::explain::Line;

/// What one endpoint refused.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OfEndpoint {
    /// Dispatches that it refused to help with.
    pub times: usize,
    /// Hosts that it refused.
    pub hosts: BTreeSet<String>,
    /// Times at which it refused a host that it had refused before.
    pub again: usize,
    /// First and last of these, in seconds after the first line of the logs.
    pub from_s: f64,
    /// See `from_s`.
    pub to_s: f64,
}

/// All of them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Refusals {
    /// By the endpoint that refused to help: its identifier, or the address that was named.
    pub by_endpoint: BTreeMap<String, OfEndpoint>,
    /// By the number of the dispatch of its request that was refused.
    pub by_dispatch: BTreeMap<u64, usize>,
    /// Requests of which a dispatch was refused so.
    pub requests: BTreeSet<String>,
}

impl Refusals {
    pub(super) fn of(lines: &[Line], start_ms: f64) -> Self {
        let mut refusals = Self::default();
        let mut refused: Vec<&Line> = lines.iter().filter(|line| is_refused(line)).collect();
        refused.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        for line in refused {
            refusals.count(line, (line.at_ms - start_ms) / 1e3);
        }
        refusals
    }

    fn count(&mut self, line: &Line, at_s: f64) {
        let of_endpoint = self.by_endpoint.entry(line.field("at_fault")).or_default();
        if of_endpoint.times == 0 {
            of_endpoint.from_s = at_s;
        }
        of_endpoint.times += 1;
        of_endpoint.to_s = at_s;
        if !of_endpoint.hosts.insert(line.source.clone()) {
            of_endpoint.again += 1;
        }
        let dispatch = line.number("dispatch") as u64;
        *self.by_dispatch.entry(dispatch).or_default() += 1;
        self.requests.insert(line.request_id());
    }

    /// Dispatches refused so.
    pub fn times(&self) -> usize {
        self.by_endpoint.values().map(|one| one.times).sum()
    }

    /// Endpoints that refused most, the first with the most.
    pub fn most(&self) -> Vec<(&String, &OfEndpoint)> {
        let mut all: Vec<_> = self.by_endpoint.iter().collect();
        all.sort_by_key(|(name, one)| (std::cmp::Reverse(one.times), *name));
        all
    }
}

fn is_refused(line: &Line) -> bool {
    line.text == "dispatch ended" && !line.field("at_fault").is_empty()
}
