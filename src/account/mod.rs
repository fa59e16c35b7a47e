//! What a day of a deployment came to, from the logs of its gateways alone: what was lost, of which requests, when and
//! why, whom endpoints refused to help, and what was spent on the store and on messages.
//!
//! Requests are counted as gateways see them: a client that comes back is another request.

pub mod engines;
pub mod fluid;
pub mod outcome;
pub mod plot;
pub mod refusals;
pub mod sheet;
pub mod spent;
pub mod split;
mod table;

use std::collections::HashMap;

use crate::explain::Line;
use crate::explain::Story;

use engines::Engines;
use outcome::Outcome;
use refusals::Refusals;
use spent::Spent;
use split::Split;

/// The account of a day.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Account {
    /// What became of each request that was a gateway's to serve.
    pub outcomes: Vec<Outcome>,
    /// Requests that weren't: refused for their key or route, or left by their clients while all went well.
    pub not_owed: usize,
    /// Dispatches that were refused for the sake of another endpoint.
    pub refusals: Refusals,
    /// What of the loss can't be served, can't be known, and is ours.
    pub split: Split,
    /// Calls to the store and bytes.
    pub spent: Spent,
    /// Hosts that wrote the logs.
    pub hosts: usize,
}

impl Account {
    /// Draws it up from the lines of all gateways, in any order.
    ///
    /// ```
    /// use marigoldstage::account::Account;
    /// use marigoldstage::explain::Line;
    ///
    /// let text = r#"{"timestamp":"2026-05-30 03:20:24.5 +00:00","text":"request ended","kv":{"request_id":"a","kind":"idempotent","aim_ms":100,"outcome":"answered","total_ms":150}}"#;
    /// let account = Account::of(vec![Line::of_log(text, "front-1").unwrap()]);
    /// assert_eq!(account.outcomes.len(), 1);
    /// assert!(account.outcomes[0].lost_units > 0.0);
    /// ```
    pub fn of(lines: Vec<Line>) -> Self {
        let start_ms = lines.iter().map(|line| line.at_ms);
        let start_ms = start_ms.fold(f64::INFINITY, f64::min);
        let hosts = Hosts::of(&lines);
        let kinds = outcome::kinds_by_route(&lines);
        let refusals = Refusals::of(&lines, start_ms);
        let spent = Spent::of(&lines);
        let engines = Engines::of(&lines, start_ms);
        let of_requests = lines
            .into_iter()
            .filter(|line| !line.request_id().is_empty());
        let stories = Story::all_of(of_requests.collect());
        let ended: Vec<Outcome> = stories
            .iter()
            .filter_map(|story| Outcome::of(story, &kinds, &hosts.zones, start_ms))
            .collect();
        let all = ended.len();
        let mut outcomes: Vec<Outcome> = ended.into_iter().filter(|one| one.is_owed).collect();
        outcome::weigh(&mut outcomes);
        outcomes.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        Self {
            not_owed: all - outcomes.len(),
            split: Split::of(&outcomes, &engines),
            outcomes,
            refusals,
            spent,
            hosts: hosts.count,
        }
    }
}

/// The hosts of some logs.
struct Hosts {
    count: usize,
    /// Availability zones by host.
    zones: HashMap<String, String>,
}

impl Hosts {
    fn of(lines: &[Line]) -> Self {
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
