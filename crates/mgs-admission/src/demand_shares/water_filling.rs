//! Water-filling: the level at which weighted demands together use up a capacity.

/// Demand on a shared capacity, and its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightedDemand {
    /// What is asked for.
    pub asked: f64,
    /// Part of the capacity at level 1; must be above 0.
    pub weight: f64,
}

impl WeightedDemand {
    /// What the demand gets at a level.
    pub fn at_level(&self, level: f64) -> f64 {
        self.asked.min(level * self.weight)
    }
}

/// Returns the level at which the demands get `capacity` together, each the lesser of what it asks
/// and the level times its weight; infinite if everything that is asked fits.
///
/// ```
/// use mgs_admission::demand_shares::water_level;
/// use mgs_admission::demand_shares::WeightedDemand;
///
/// let demand = |asked, weight| WeightedDemand { asked, weight };
/// let demands = [demand(10.0, 10.0), demand(90.0, 10.0)];
/// let level = water_level(60.0, &demands);
/// assert_eq!(demands.map(|d| d.at_level(level)), [10.0, 50.0]);
/// assert_eq!(water_level(100.0, &demands), f64::INFINITY);
/// ```
pub fn water_level(capacity: f64, demands: &[WeightedDemand]) -> f64 {
    let mut by_ratio: Vec<&WeightedDemand> = demands.iter().collect();
    let ratio = |demand: &WeightedDemand| demand.asked / demand.weight;
    by_ratio.sort_by(|a, b| ratio(a).total_cmp(&ratio(b)));
    let mut left = capacity.max(0.0);
    for (index, demand) in by_ratio.iter().enumerate() {
        // Summed anew, since subtraction may leave a weight of 0 or less to the last ones.
        let weights: f64 = by_ratio[index..].iter().map(|other| other.weight).sum();
        let level = left / weights;
        if ratio(demand) > level {
            return level;
        }
        left = (left - demand.asked).max(0.0);
    }
    f64::INFINITY
}
