//! Loss accounting from the logs of a deployment's gateways: how much was lost, by which requests, when and why, which
//! endpoints refused to help others, and how many store calls and message bytes were used.
//!
//! Requests are counted as gateways see them: a retry by a client is another request.

pub mod breakdown;
pub mod capacity_bound;
pub mod csv_export;
mod display;
pub mod engines;
pub mod outcome;
pub mod plot;
pub mod refusals;
pub mod share_refusals;
pub mod usage;

use std::collections::HashMap;

use crate::explain::LogLine;
use crate::explain::RequestTrace;

use breakdown::LossBreakdown;
use engines::EngineHistory;
use outcome::Outcome;
use refusals::HelpRefusals;
use share_refusals::ShareRefusals;
use usage::ResourceUsage;

/// Loss and resource usage of the requests in a set of logs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Account {
    /// Outcome of each eligible request, in order of arrival.
    pub outcomes: Vec<Outcome>,
    /// Requests left out of `outcomes`: refused for their key, route or body, or cancelled by their client.
    pub ineligible: usize,
    /// Dispatches that were refused since another endpoint didn't help.
    pub refusals: HelpRefusals,
    /// Prompts that were refused since the share of their organisation was used up.
    pub share_refusals: ShareRefusals,
    /// Loss that was unservable, unforeseeable or avoidable.
    pub breakdown: LossBreakdown,
    /// Store calls and message bytes.
    pub usage: ResourceUsage,
    /// Number of hosts that wrote the logs.
    pub hosts: usize,
}

impl Account {
    /// Computes the account from the lines of all gateways, in any order.
    ///
    /// ```
    /// use marigoldstage::account::Account;
    /// use marigoldstage::explain::LogLine;
    ///
    /// let text = r#"{"timestamp":"2026-05-30 03:20:24.5 +00:00","text":"request ended","kv":{"request_id":"a","kind":"idempotent","aim_ms":100,"outcome":"answered","total_ms":150}}"#;
    /// let account = Account::from_lines(vec![LogLine::parse(text, "front-1").unwrap()]);
    /// assert_eq!(account.outcomes.len(), 1);
    /// assert!(account.outcomes[0].lost_units > 0.0);
    /// ```
    pub fn from_lines(lines: Vec<LogLine>) -> Self {
        let start_ms = lines.iter().map(|line| line.time_of_day_ms);
        let start_ms = start_ms.fold(f64::INFINITY, f64::min);
        let hosts = Hosts::from_lines(&lines);
        let kinds = outcome::kinds_by_route(&lines);
        let refusals = HelpRefusals::from_lines(&lines, start_ms);
        let share_refusals = ShareRefusals::from_lines(&lines);
        let usage = ResourceUsage::from_lines(&lines);
        let engines = EngineHistory::from_lines(&lines, start_ms);
        let request_lines = lines
            .into_iter()
            .filter(|line| !line.request_id().is_empty());
        let traces = RequestTrace::group_by_request(request_lines.collect());
        let all_outcomes: Vec<Outcome> = traces
            .iter()
            .filter_map(|trace| Outcome::from_trace(trace, &kinds, &hosts.zones, start_ms))
            .collect();
        let total = all_outcomes.len();
        let mut outcomes: Vec<Outcome> = all_outcomes
            .into_iter()
            .filter(|outcome| outcome.is_eligible)
            .collect();
        outcome::assign_worth(&mut outcomes);
        outcomes.sort_by(|a, b| a.arrived_s.total_cmp(&b.arrived_s));
        Self {
            ineligible: total - outcomes.len(),
            breakdown: LossBreakdown::new(&outcomes, &engines),
            outcomes,
            refusals,
            share_refusals,
            usage,
            hosts: hosts.count,
        }
    }
}

/// The hosts that wrote a set of logs.
struct Hosts {
    count: usize,
    /// Availability zones by host.
    zones: HashMap<String, String>,
}

impl Hosts {
    fn from_lines(lines: &[LogLine]) -> Self {
        let mut zones = HashMap::new();
        for line in lines {
            let zone = zones.entry(line.source.clone()).or_insert_with(String::new);
            if line.text == "started" {
                *zone = line.field("zone");
            }
        }
        Self {
            count: zones.len(),
            zones,
        }
    }
}
