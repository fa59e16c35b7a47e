//! Choosing among engines while others choose too, and can't be seen yet.
//!
//! The load that this answers: a hundred gateways place 240 short prompts a second. Each hears of the others' choices
//! some 30 ms late, so at any moment seven prompts are on their way that it doesn't know of. Where all take the engine
//! that looks best, they take the same one: late first tokens found 1.9 other prompts placed on their engine within the
//! 20 ms before them, on a calm day with two thirds of the engines reading nothing, and 20% of the short prompts were
//! late.
//!
//! So each gateway takes the others to choose as it does. What they may have placed is spread over the engines
//! as they would spread it, until all that are taken are equally good, and its own prompt goes to one of these by lot,
//! with the weight that they have in it. Without others, that is the best engine.

/// Others that choose at the same moment, as far as they can be told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrentChoices {
    /// Prompts that others may have placed since they were last heard, on average.
    pub unseen_placements: f64,
    /// What the choice costs more for each of them on the same engine, in units.
    pub collision_units: f64,
    /// A number from 0 up to 1, drawn for this choice; 0 takes the best engine.
    pub draw: f64,
}

/// Which of the engines whose losses are these is taken; `None` if there are none.
///
/// ```
/// use mgs_placing::concurrent_choices::pick_engine;
/// use mgs_placing::concurrent_choices::ConcurrentChoices;
///
/// let losses = [0.5, 0.1, 0.12];
/// let alone = ConcurrentChoices { unseen_placements: 0.0, collision_units: 0.1, draw: 0.9 };
/// assert_eq!(pick_engine(&losses, &alone), Some(1));
///
/// let others = ConcurrentChoices { unseen_placements: 4.0, ..alone };
/// assert_eq!(pick_engine(&losses, &others), Some(2));
/// assert_eq!(pick_engine(&losses, &ConcurrentChoices { draw: 0.2, ..others }), Some(1));
/// ```
pub fn pick_engine(losses: &[f64], others: &ConcurrentChoices) -> Option<usize> {
    let mut order: Vec<usize> = (0..losses.len()).collect();
    order.sort_by(|a, b| losses[*a].total_cmp(&losses[*b]));
    let best = *order.first()?;
    let spread_units = others.unseen_placements * others.collision_units;
    if spread_units <= 0.0 {
        return Some(best);
    }
    let sorted: Vec<f64> = order.iter().map(|index| losses[*index]).collect();
    let water_level = water_level(&sorted, spread_units);
    let mut left = others.draw * spread_units;
    for (index, loss) in order.iter().zip(&sorted) {
        left -= water_level - loss;
        if left < 0.0 {
            return Some(*index);
        }
        if *loss >= water_level {
            break;
        }
    }
    Some(best)
}

/// The loss to which the least of some losses rise, all to the same, if `poured` is spread over them.
fn water_level(sorted: &[f64], spread_units: f64) -> f64 {
    let mut sum = 0.0;
    let mut water_level = f64::INFINITY;
    for (count, loss) in sorted.iter().enumerate() {
        if *loss >= water_level {
            break;
        }
        sum += loss;
        water_level = (sum + spread_units) / (count + 1) as f64;
    }
    water_level
}
