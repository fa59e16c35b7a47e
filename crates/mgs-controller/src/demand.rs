//! Demand by model over all gateways, smoothed.

use std::collections::BTreeMap;

use mgs_settings::member::Demand;
use mgs_settings::member::Member;

/// Time in which waiting work is hoped to be done, in seconds: it turns a queue into a rate.
const QUEUE_HORIZON_S: f64 = 10.0;

/// Demand by model in tokens per second.
pub type Rates = BTreeMap<String, f64>;

/// Adds up what the live gateways say.
///
/// ```
/// use std::collections::BTreeMap;
/// use mgs_settings::member::Demand;
/// use mgs_settings::member::Member;
///
/// let demand = Demand { tokens_per_s: 10.0, waiting_tokens: 20 };
/// let member = Member { demand: BTreeMap::from([("m".into(), demand)]), ..Member::default() };
/// let rates = mgs_controller::demand::sum([&member, &member].into_iter());
/// assert_eq!(rates["m"], 24.0);
/// ```
pub fn sum<'a>(members: impl Iterator<Item = &'a Member>) -> Rates {
    let mut rates = Rates::new();
    for (model, demand) in members.flat_map(|member| &member.demand) {
        *rates.entry(model.clone()).or_default() += rate(demand);
    }
    rates
}

fn rate(demand: &Demand) -> f64 {
    demand.tokens_per_s + demand.waiting_tokens as f64 / QUEUE_HORIZON_S
}

/// Smooths rates, so that a burst alone moves nothing.
#[derive(Debug, Default)]
pub struct Smoothed {
    rates: Rates,
    updated_ms: Option<u64>,
}

impl Smoothed {
    /// Takes new rates; an old one loses half its weight in `half_life_ms`.
    pub fn update(&mut self, now_ms: u64, rates: &Rates, half_life_ms: u64) {
        let Some(updated_ms) = self.updated_ms.replace(now_ms) else {
            self.rates = rates.clone();
            return;
        };
        let halves = now_ms.saturating_sub(updated_ms) as f64 / half_life_ms.max(1) as f64;
        let keep = 0.5_f64.powf(halves);
        for (model, rate) in rates {
            self.rates.entry(model.clone()).or_insert(0.0);
            debug_assert!(rate.is_finite());
        }
        for (model, rate) in &mut self.rates {
            let new = rates.get(model).copied().unwrap_or(0.0);
            *rate = *rate * keep + new * (1.0 - keep);
        }
    }

    /// The smoothed rates.
    pub fn rates(&self) -> &Rates {
        &self.rates
    }
}
