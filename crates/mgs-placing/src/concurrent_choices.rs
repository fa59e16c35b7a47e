//! Choice among engines while other gateways make choices that aren't visible yet.
//!
//! A hundred gateways place 240 short prompts per second, and each learns of the others' placements
//! about 30 ms late, so about seven placements are unknown to it at any time. If all took the
//! engine that looks best, they would take the same one: before late first tokens, 1.9 other
//! prompts had been placed on the same engine within 20 ms, at a low load with two thirds of the
//! engines doing no prefill, and 20% of the short prompts were late.
//!
//! Each gateway therefore assumes that the others choose as it does. It spreads their unseen
//! placements over the engines by water-filling, until all engines used are equally good, and then
//! picks one of these at random, weighted by the placements that each received. Without unseen
//! placements the best engine is chosen.

/// Concurrent choices of other gateways, as far as they can be estimated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrentChoices {
    /// Expected number of prompts that others have placed and not yet reported.
    pub unseen_placements: f64,
    /// Added loss for each such prompt on the same engine, in units.
    pub collision_units: f64,
    /// Random number from 0 up to, but not including, 1, drawn for this choice; 0 picks the best
    /// engine.
    pub draw: f64,
}

/// Picks one of the engines that have these losses and returns its index; `None` if there are none.
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
    let mut remaining = others.draw * spread_units;
    for (index, loss) in order.iter().zip(&sorted) {
        remaining -= water_level - loss;
        if remaining < 0.0 {
            return Some(*index);
        }
        if *loss >= water_level {
            break;
        }
    }
    Some(best)
}

/// The loss to which the least losses rise, all to the same level, if `spread_units` is spread over
/// them.
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
