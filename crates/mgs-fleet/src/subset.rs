//! Which endpoints of a large fleet one process holds.

use std::collections::HashMap;
use std::collections::HashSet;

use mgs_schema::settings::EndpointRow;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::Options;

/// Share of a subset that is kept for other availability zones, as a divisor.
const OTHER_ZONES_DIVISOR: usize = 4;

/// Fewest endpoints held for each model, however many models there are.
const MODEL_MIN: usize = 4;

/// The rows that the process holds, in the order of `rows`. A fleet of at most
/// [`Options::subset_max`] is held whole. Of a larger one, the models share that bound evenly, and
/// each one's share is drawn by rendezvous hashing, from the process's own zone first and a quarter
/// from other zones for spill-over. Stopped endpoints don't count against the bound.
///
/// Each process draws its own subset, and one row more or less changes one member of it.
///
/// ```
/// use mgs_fleet::fleet::Options;
/// use mgs_fleet::subset;
/// use mgs_schema::settings::EndpointRow;
///
/// let row = |number: u32| EndpointRow {
///     name: format!("engine-{number}"),
///     models: vec!["model-1".to_string()],
///     started: true,
///     ..EndpointRow::default()
/// };
/// let rows: Vec<EndpointRow> = (0..200).map(row).collect();
/// let options = Options { subset_max: 20, ..Options::default() };
/// assert_eq!(subset::choose(&options, &rows).len(), 20);
/// ```
pub fn choose<'a>(options: &Options, rows: &'a [EndpointRow]) -> Vec<&'a EndpointRow> {
    if rows.len() <= options.subset_max {
        return rows.iter().collect();
    }
    let mut by_model: HashMap<&str, Vec<usize>> = HashMap::new();
    for (index, row) in rows.iter().enumerate() {
        for model in &row.models {
            by_model.entry(model).or_default().push(index);
        }
    }
    let share = (options.subset_max / by_model.len().max(1)).max(MODEL_MIN);
    let mut kept: HashSet<usize> = HashSet::new();
    for members in by_model.values() {
        keep(options, share, rows, members, &mut kept);
    }
    let member = |(index, row)| kept.contains(&index).then_some(row);
    rows.iter().enumerate().filter_map(member).collect()
}

fn keep(
    options: &Options,
    share: usize,
    rows: &[EndpointRow],
    members: &[usize],
    kept: &mut HashSet<usize>,
) {
    let seed = xxh3_64(options.process.as_bytes());
    let draw = |index: usize| xxh3_64_with_seed(rows[index].name.as_bytes(), seed);
    let started = members.iter().copied().filter(|i| rows[*i].started);
    let (mut own, mut other): (Vec<usize>, Vec<usize>) =
        started.partition(|i| rows[*i].zone == options.zone);
    own.sort_by_key(|i| draw(*i));
    other.sort_by_key(|i| draw(*i));
    let spill = share / OTHER_ZONES_DIVISOR;
    let from_own = own.len().min(share - spill);
    let from_other = other.len().min(share - from_own);
    let more_own = own.len().min(share - from_other);
    kept.extend(&own[..more_own]);
    kept.extend(&other[..from_other]);
}
