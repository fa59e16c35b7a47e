//! Tokens asked for, by model, since the last look.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use mgs_settings::member;

const MS_PER_S: f64 = 1_000.0;

/// Counts what is asked for.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    tokens: Mutex<BTreeMap<String, u64>>,
}

impl Demand {
    /// Adds a request.
    pub(crate) fn add(&self, model: &str, tokens: u64) {
        let mut counted = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        match counted.get_mut(model) {
            Some(count) => *count += tokens,
            None => {
                counted.insert(model.to_string(), tokens);
            }
        }
    }

    /// Rates over the time since the last look, and what waits now.
    pub(crate) fn take(
        &self,
        over_ms: u64,
        waiting: &BTreeMap<String, u64>,
    ) -> BTreeMap<String, member::Demand> {
        let mut counted = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        let counted = std::mem::take(&mut *counted);
        let mut demand: BTreeMap<String, member::Demand> = BTreeMap::new();
        for (model, tokens) in counted {
            let entry = demand.entry(model).or_default();
            entry.tokens_per_s = tokens as f64 * MS_PER_S / over_ms.max(1) as f64;
        }
        for (model, tokens) in waiting {
            demand.entry(model.clone()).or_default().waiting_tokens = *tokens;
        }
        demand
    }
}
