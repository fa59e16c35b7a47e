//! The cache index with late, repeated and missing events.

use mgs_ledger::cache::Cache;
use mgs_ledger::cache::Change;
use mgs_ledger::cache::Options;

fn change(number: u64, block: u64, cached: bool) -> Change {
    Change {
        number,
        block,
        cached,
    }
}

#[test]
fn events_seen_before_change_nothing() {
    let mut cache = Cache::new(Options::default());
    cache.apply(&[change(1, 10, true), change(2, 10, false)]);
    cache.apply(&[change(1, 10, true)]);
    assert_eq!(cache.cached_blocks(&[10]), 0);
    assert_eq!(cache.seen(), 2);
}

#[test]
fn a_gap_resets_every_reader() {
    let mut cache = Cache::new(Options::default());
    cache.apply(&[change(1, 10, true)]);
    let (_, position) = cache.delta(0);
    cache.apply(&[change(3, 30, true)]);
    let (delta, position) = cache.delta(position);
    assert!(delta.reset);
    assert_eq!(delta.cached, [30]);
    cache.apply(&[change(4, 40, true)]);
    let (delta, _) = cache.delta(position);
    assert!(!delta.reset);
    assert_eq!(delta.cached, [40]);
}

#[test]
fn bounded_deltas_add_up_to_the_full_state() {
    let mut cache = Cache::new(Options {
        delta_max: 3,
        ..Options::default()
    });
    let changes: Vec<Change> = (1..=10).map(|n| change(n, n, true)).collect();
    cache.apply(&changes);
    let (mut received, mut position) = (Vec::new(), 0);
    loop {
        let (delta, next) = cache.delta(position);
        if next == position {
            break;
        }
        assert!(delta.cached.len() <= 3);
        received.extend(delta.cached);
        position = next;
    }
    assert_eq!(received, (1..=10).collect::<Vec<u64>>());
}

#[test]
fn truncating_the_log_resets_readers_to_the_current_state() {
    let mut cache = Cache::new(Options {
        blocks_max: 4,
        delta_max: 100,
    });
    for number in 1..=100 {
        cache.apply(&[change(number, 7, number % 2 == 1)]);
    }
    let (delta, _) = cache.delta(0);
    assert!(delta.reset);
    assert_eq!(delta.cached, Vec::<u64>::new());
}
