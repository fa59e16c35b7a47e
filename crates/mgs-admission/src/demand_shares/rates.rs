//! Rates of one gateway by organisation: cost asked for, cost admitted and usual cost.

use std::collections::HashMap;

use super::OrganisationDemand;
use super::OrganisationHash;

/// Time constant of the rates of asked and admitted cost, in milliseconds.
pub(super) const RATE_MS: f64 = 1_000.0;

/// Time constant of the usual cost, in milliseconds. A surge that lasts a few seconds hardly changes
/// it.
const USUAL_MS: f64 = 20_000.0;

/// Time constant of the usual cost of an organisation whose rate exceeds the usual by
/// [`SURGE_FACTOR`], in milliseconds. A surge of a minute then raises the weight of its organisation
/// by a fifth.
const SURGE_MS: f64 = 300_000.0;

/// Ratio of the rate to the usual cost from which on the usual cost grows slowly, and to which the
/// rate counts.
const SURGE_FACTOR: f64 = 2.0;

/// Time after the start of a gateway from which on its usual costs are reported and used, in
/// milliseconds. Until then the mean since the start is taken; ten seconds contain dozens of the
/// rarest prompts.
const LEARN_MS: f64 = 10_000.0;

/// Time constant of the mean cost of prompts, in milliseconds: long enough for a gateway that gets
/// one long prompt in ten seconds.
const MEAN_COST_MS: f64 = 60_000.0;

/// Time constant with which the cost of the largest prompt is forgotten, in milliseconds: long enough
/// for a gateway that gets one long prompt in a minute.
const LARGEST_COST_MS: f64 = 300_000.0;

/// Time constant of the share of its cost that engines refuse a gateway, in milliseconds: about as
/// long as a gateway of thirty takes to send thirty prompts.
const REFUSED_MS: f64 = 10_000.0;

/// Rates below this are dropped, in milliseconds of engine time per second.
const NEGLIGIBLE: f64 = 0.01;

/// Milliseconds in a second.
pub(super) const MS_PER_S: f64 = 1_000.0;

/// How the usual cost of an organisation follows its rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Growth {
    /// Part of the rate that counts.
    rate_share: f64,
    /// Time constant, in milliseconds.
    time_ms: f64,
}

impl Growth {
    /// Follows from the figures of all gateways, so that moving an organisation's requests from one
    /// gateway to another changes the sum of its usual costs by nothing. While capacity is short, a
    /// part of what is asked for are repetitions of what was refused, so all growth is slow.
    pub(super) fn of(asked: f64, usual: f64, is_doubtful: bool, is_short: bool) -> Self {
        let most = usual * SURGE_FACTOR;
        let is_slow = (is_doubtful && asked > most) || (is_short && asked > usual);
        match is_slow {
            true => Self {
                rate_share: (most / asked).min(1.0),
                time_ms: SURGE_MS,
            },
            false => Self::STEADY,
        }
    }

    /// The usual cost follows the rate.
    pub(super) const STEADY: Self = Self {
        rate_share: 1.0,
        time_ms: USUAL_MS,
    };
}

/// Rates of one organisation, in milliseconds of engine time per second.
#[derive(Debug, Clone, Copy)]
struct Rates {
    asked: f64,
    admitted: f64,
    usual: f64,
    /// Cost asked for since the start, in milliseconds; counted while the gateway learns.
    total_ms: f64,
    growth: Growth,
}

impl Rates {
    const NONE: Self = Self {
        asked: 0.0,
        admitted: 0.0,
        usual: 0.0,
        total_ms: 0.0,
        growth: Growth::STEADY,
    };
}

/// Rates of all organisations at this gateway.
#[derive(Debug)]
pub(super) struct OwnRates {
    by_organisation: HashMap<OrganisationHash, Rates>,
    /// Decayed sum of the costs of all prompts, in milliseconds.
    costs: f64,
    /// Decayed sum of their squares.
    squared_costs: f64,
    /// Cost of the largest prompt, which decays, in milliseconds.
    largest_cost_ms: f64,
    /// Decayed sums of the costs that were admitted and of those that engines then refused, in
    /// milliseconds.
    passed_ms: f64,
    refused_ms: f64,
    started_ms: f64,
    updated_ms: f64,
}

impl OwnRates {
    pub(super) fn started_at(now_ms: f64) -> Self {
        Self {
            by_organisation: HashMap::new(),
            costs: 0.0,
            squared_costs: 0.0,
            largest_cost_ms: 0.0,
            passed_ms: 0.0,
            refused_ms: 0.0,
            started_ms: now_ms,
            updated_ms: now_ms,
        }
    }

    /// Whether the usual costs are known.
    pub(super) fn is_learned(&self) -> bool {
        self.updated_ms - self.started_ms >= LEARN_MS
    }

    /// Brings all rates to the present.
    pub(super) fn advance(&mut self, now_ms: f64) {
        let elapsed_ms = now_ms - self.updated_ms;
        if elapsed_ms <= 0.0 {
            return;
        }
        let was_learned = self.is_learned();
        self.updated_ms = now_ms;
        let age_s = (now_ms - self.started_ms) / MS_PER_S;
        let kept_cost = (-elapsed_ms / MEAN_COST_MS).exp();
        self.costs *= kept_cost;
        self.squared_costs *= kept_cost;
        self.largest_cost_ms *= (-elapsed_ms / LARGEST_COST_MS).exp();
        let kept_refused = (-elapsed_ms / REFUSED_MS).exp();
        self.passed_ms *= kept_refused;
        self.refused_ms *= kept_refused;
        let kept = (-elapsed_ms / RATE_MS).exp();
        for rates in self.by_organisation.values_mut() {
            let mean = rates.asked * (1.0 - kept) * RATE_MS / elapsed_ms;
            rates.asked *= kept;
            rates.admitted *= kept;
            if was_learned {
                let target = mean * rates.growth.rate_share;
                let step = 1.0 - (-elapsed_ms / rates.growth.time_ms).exp();
                rates.usual += (target - rates.usual) * step;
            } else {
                rates.usual = rates.total_ms / age_s;
            }
        }
        self.by_organisation
            .retain(|_, rates| rates.asked.max(rates.usual) > NEGLIGIBLE);
    }

    /// Adds cost that an organisation asks for.
    pub(super) fn add_asked(&mut self, organisation: OrganisationHash, cost_ms: f64) {
        self.costs += cost_ms;
        self.squared_costs += cost_ms * cost_ms;
        self.largest_cost_ms = self.largest_cost_ms.max(cost_ms);
        let rates = self.rates_mut(organisation);
        rates.asked += cost_ms * MS_PER_S / RATE_MS;
        rates.total_ms += cost_ms;
    }

    /// Deviation of the rate of an organisation from its usual cost `usual` if its prompts arrive
    /// independently of each other, as those of [`RATE_MS`] with exponential decay.
    pub(super) fn deviation(&self, usual: f64) -> f64 {
        let mean_cost_ms = self.squared_costs / self.costs.max(f64::MIN_POSITIVE);
        (usual * mean_cost_ms * MS_PER_S / (2.0 * RATE_MS)).sqrt()
    }

    /// Cost of the largest prompts, in milliseconds of engine time.
    pub(super) fn largest_cost_ms(&self) -> f64 {
        self.largest_cost_ms
    }

    /// Takes back what is left in the rates of cost that was admitted `waited_ms` ago and that engines
    /// refused.
    pub(super) fn add_refused(
        &mut self,
        organisation: OrganisationHash,
        cost_ms: f64,
        waited_ms: f64,
    ) {
        self.refused_ms += cost_ms;
        let left = cost_ms * MS_PER_S / RATE_MS * (-waited_ms.max(0.0) / RATE_MS).exp();
        let rates = self.rates_mut(organisation);
        rates.admitted = (rates.admitted - left).max(0.0);
    }

    /// The share of what this gateway would have sent to engines that they refused.
    pub(super) fn refused_share(&self) -> f64 {
        (self.refused_ms / self.passed_ms.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Adds cost that is admitted.
    pub(super) fn add_admitted(&mut self, organisation: OrganisationHash, cost_ms: f64) {
        self.passed_ms += cost_ms;
        self.rates_mut(organisation).admitted += cost_ms * MS_PER_S / RATE_MS;
    }

    fn rates_mut(&mut self, organisation: OrganisationHash) -> &mut Rates {
        self.by_organisation
            .entry(organisation)
            .or_insert(Rates::NONE)
    }

    /// Sets how the usual costs follow the rates.
    pub(super) fn set_growth(&mut self, growth_of: impl Fn(OrganisationHash) -> Growth) {
        for (organisation, rates) in &mut self.by_organisation {
            rates.growth = growth_of(*organisation);
        }
    }

    /// The demand by organisation; usual costs are 0 while the gateway learns.
    pub(super) fn demands(&self) -> impl Iterator<Item = OrganisationDemand> + '_ {
        let is_learned = self.is_learned();
        let demand = move |(organisation, rates): (&OrganisationHash, &Rates)| OrganisationDemand {
            organisation: *organisation,
            asked: rates.asked as f32,
            admitted: rates.admitted as f32,
            usual: if is_learned { rates.usual as f32 } else { 0.0 },
        };
        self.by_organisation.iter().map(demand)
    }
}
