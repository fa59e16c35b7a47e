//! Reconstructs from the gateways' logs which engines were listed when, and when all hosts were down.

use std::collections::BTreeMap;
use std::collections::HashMap;

use mgs_placing::model::EngineModel;
use serde_json::Value;

use crate::explain::LogLine;

/// Shortest gap without any log line, followed by a host start, that counts as an outage of all hosts, in milliseconds.
const OUTAGE_MIN_SILENCE_MS: f64 = 300.0;

/// Interval in which one endpoint was listed, in milliseconds after the first line.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ListedInterval {
    from_ms: f64,
    until_ms: f64,
}

/// The engines that a set of logs mentions.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineHistory {
    /// Declared cost model of the engines, by service.
    models: BTreeMap<String, EngineModel>,
    /// Listed intervals by service and endpoint.
    listed: HashMap<String, HashMap<String, ListedInterval>>,
    /// Starts of the outages of all hosts, in milliseconds after the first line.
    outages_ms: Vec<f64>,
}

impl EngineHistory {
    pub(super) fn from_lines(lines: &[LogLine], start_ms: f64) -> Self {
        let mut history = Self::default();
        let mut sorted: Vec<&LogLine> = lines.iter().collect();
        sorted.sort_by(|a, b| a.time_of_day_ms.total_cmp(&b.time_of_day_ms));
        for line in &sorted {
            history.apply(line, line.time_of_day_ms - start_ms);
        }
        history.outages_ms = outage_starts_ms(&sorted, start_ms);
        history
    }

    fn apply(&mut self, line: &LogLine, at_ms: f64) {
        match line.text.as_str() {
            "engines declared" => self.add_model(line),
            "endpoint listed" => {
                let endpoints = self.listed.entry(line.field("service")).or_default();
                let interval = ListedInterval {
                    from_ms: at_ms,
                    until_ms: f64::INFINITY,
                };
                endpoints.entry(line.field("endpoint")).or_insert(interval);
            }
            "endpoint dropped" => {
                let id = line.field("endpoint");
                let listed = self
                    .listed
                    .values_mut()
                    .filter_map(|listed| listed.get_mut(&id));
                // The last host to drop the endpoint counts, since it may have served until then.
                listed.for_each(|interval| interval.until_ms = at_ms);
            }
            _ => {}
        }
    }

    fn add_model(&mut self, line: &LogLine) {
        let fields = Value::Object(line.fields.clone());
        match serde_json::from_value(fields) {
            Ok(model) => {
                self.models.insert(line.field("service"), model);
            }
            Err(error) => log::warn!(error:% = error; "declared engines can't be read"),
        }
    }

    /// The service with engines and their cost model. Of several services, the one with the most endpoints.
    pub fn model(&self) -> Option<(&String, &EngineModel)> {
        let endpoint_count = |service: &String| self.listed.get(service).map_or(0, HashMap::len);
        self.models
            .iter()
            .max_by_key(|(service, _)| endpoint_count(service))
    }

    /// Number of endpoints of a service that were listed at `at_ms` milliseconds after the first line.
    pub fn listed_count(&self, service: &str, at_ms: f64) -> usize {
        let listed = self
            .listed
            .get(service)
            .into_iter()
            .flat_map(HashMap::values);
        listed
            .filter(|interval| interval.from_ms <= at_ms && at_ms < interval.until_ms)
            .count()
    }

    /// Start of the first outage of all hosts at or after `at_ms`, in milliseconds after the first line.
    pub fn next_outage_ms(&self, at_ms: f64) -> Option<f64> {
        let mut outages_ms = self.outages_ms.iter().copied();
        outages_ms.find(|from_ms| *from_ms >= at_ms)
    }
}

/// Starts of the gaps in which no host logged anything and which end with the start of a host.
fn outage_starts_ms(sorted: &[&LogLine], start_ms: f64) -> Vec<f64> {
    let gaps = sorted.windows(2);
    let outages = gaps.filter(|gap| {
        gap[1].text == "started"
            && gap[1].time_of_day_ms - gap[0].time_of_day_ms > OUTAGE_MIN_SILENCE_MS
    });
    outages
        .map(|gap| gap[0].time_of_day_ms - start_ms)
        .collect()
}
