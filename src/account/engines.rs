//! Which engines there were, and when all hosts were without power, as gateways' logs tell it.

use std::collections::BTreeMap;
use std::collections::HashMap;

use mgs_placing::model::EngineModel;
use serde_json::Value;

use crate::explain::Line;

/// A silence of all hosts before they start again counts as a loss of power if it is longer, in milliseconds.
const DARK_MIN_MS: f64 = 300.0;

/// When one endpoint was listed, in milliseconds after the first line.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Life {
    from_ms: f64,
    until_ms: f64,
}

/// The engines of a day.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Engines {
    /// Declared figures by service.
    models: BTreeMap<String, EngineModel>,
    /// Lives of endpoints by service.
    lives: HashMap<String, HashMap<String, Life>>,
    /// When all hosts lost their power.
    dark_ms: Vec<f64>,
}

impl Engines {
    pub(super) fn of(lines: &[Line], start_ms: f64) -> Self {
        let mut engines = Self::default();
        let mut sorted: Vec<&Line> = lines.iter().collect();
        sorted.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        for line in &sorted {
            engines.note(line, line.at_ms - start_ms);
        }
        engines.dark_ms = dark(&sorted, start_ms);
        engines
    }

    fn note(&mut self, line: &Line, at_ms: f64) {
        match line.text.as_str() {
            "engines declared" => self.declare(line),
            "endpoint listed" => {
                let of_service = self.lives.entry(line.field("service")).or_default();
                let life = Life {
                    from_ms: at_ms,
                    until_ms: f64::INFINITY,
                };
                of_service.entry(line.field("endpoint")).or_insert(life);
            }
            "endpoint dropped" => {
                let id = line.field("endpoint");
                let lives = self
                    .lives
                    .values_mut()
                    .filter_map(|lives| lives.get_mut(&id));
                // The last host to drop it counts: until then it may have served.
                lives.for_each(|life| life.until_ms = at_ms);
            }
            _ => {}
        }
    }

    fn declare(&mut self, line: &Line) {
        let figures = Value::Object(line.fields.clone());
        match serde_json::from_value(figures) {
            Ok(model) => {
                self.models.insert(line.field("service"), model);
            }
            Err(error) => log::warn!(error:% = error; "declared engines can't be read"),
        }
    }

    /// The engines' figures, if any service has engines. Of several services, the one with most endpoints.
    pub fn model(&self) -> Option<(&String, &EngineModel)> {
        let count = |service: &String| self.lives.get(service).map_or(0, HashMap::len);
        self.models.iter().max_by_key(|(service, _)| count(service))
    }

    /// How many endpoints of a service were listed at a time, in milliseconds after the first line.
    pub fn count(&self, service: &str, at_ms: f64) -> usize {
        let lives = self
            .lives
            .get(service)
            .into_iter()
            .flat_map(HashMap::values);
        lives
            .filter(|life| life.from_ms <= at_ms && at_ms < life.until_ms)
            .count()
    }

    /// The first time after `at_ms` at which all hosts lost their power, in milliseconds.
    pub fn next_dark_ms(&self, at_ms: f64) -> Option<f64> {
        let mut dark_ms = self.dark_ms.iter().copied();
        dark_ms.find(|from_ms| *from_ms >= at_ms)
    }
}

/// Begins of spans in which no host said anything, at whose end hosts start again.
fn dark(sorted: &[&Line], start_ms: f64) -> Vec<f64> {
    let pairs = sorted.windows(2);
    let spans = pairs
        .filter(|pair| pair[1].text == "started" && pair[1].at_ms - pair[0].at_ms > DARK_MIN_MS);
    spans.map(|pair| pair[0].at_ms - start_ms).collect()
}
