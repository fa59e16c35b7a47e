//! Selects the endpoints of a large fleet that one process tracks.

use std::collections::HashMap;
use std::collections::HashSet;

use mgs_schema::settings::EndpointRow;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::Options;

/// Share of a subset that is reserved for other availability zones, as a divisor.
const OTHER_ZONES_DIVISOR: usize = 4;

/// Fewest endpoints selected for each model, however many models there are.
const ENDPOINTS_PER_MODEL_MIN: usize = 4;

/// The rows that the process tracks, in the order of `rows`. A fleet of at most
/// [`Options::subset_max`] endpoints is tracked completely. In a larger one, the models share that
/// bound evenly. The endpoints of each model are chosen by rendezvous hashing: from the process's
/// own availability zone first, and a quarter from other zones for spill-over. Stopped endpoints
/// don't count against the bound.
///
/// Each process selects its own subset, and adding or removing one row changes one member of it.
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
/// assert_eq!(subset::select(&options, &rows).len(), 20);
/// ```
pub fn select<'a>(options: &Options, rows: &'a [EndpointRow]) -> Vec<&'a EndpointRow> {
    if rows.len() <= options.subset_max {
        return rows.iter().collect();
    }
    let mut by_model: HashMap<&str, Vec<usize>> = HashMap::new();
    for (index, row) in rows.iter().enumerate() {
        for model in &row.models {
            by_model.entry(model).or_default().push(index);
        }
    }
    let share = (options.subset_max / by_model.len().max(1)).max(ENDPOINTS_PER_MODEL_MIN);
    let mut selected: HashSet<usize> = HashSet::new();
    for members in by_model.values() {
        select_for_model(options, share, rows, members, &mut selected);
    }
    let selected_row = |(index, row)| selected.contains(&index).then_some(row);
    rows.iter().enumerate().filter_map(selected_row).collect()
}

fn select_for_model(
    options: &Options,
    share: usize,
    rows: &[EndpointRow],
    members: &[usize],
    selected: &mut HashSet<usize>,
) {
    let seed = xxh3_64(options.process.as_bytes());
    let rank = |index: usize| xxh3_64_with_seed(rows[index].name.as_bytes(), seed);
    let started = members.iter().copied().filter(|i| rows[*i].started);
    let (mut own_zone, mut other_zones): (Vec<usize>, Vec<usize>) =
        started.partition(|i| rows[*i].zone == options.zone);
    own_zone.sort_by_key(|i| rank(*i));
    other_zones.sort_by_key(|i| rank(*i));
    let spill_over = share / OTHER_ZONES_DIVISOR;
    let reserved_own_zone = own_zone.len().min(share - spill_over);
    let from_other_zones = other_zones.len().min(share - reserved_own_zone);
    let from_own_zone = own_zone.len().min(share - from_other_zones);
    selected.extend(&own_zone[..from_own_zone]);
    selected.extend(&other_zones[..from_other_zones]);
}
