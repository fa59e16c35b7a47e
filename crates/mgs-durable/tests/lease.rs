//! Leases, the shared clock and the shards.

use mgs_durable::clock::Clock;
use mgs_durable::clock::TICK_MS;
use mgs_durable::lease;
use mgs_durable::lease::Beat;
use mgs_durable::lease::Watch;
use mgs_durable::shard;
use mgs_platform::table::Row;

fn beat(gateway: u64, version: u64, period_ms: u64) -> Row {
    let beat = Beat {
        beat: version,
        period_ms,
    };
    Row {
        key: lease::key(gateway),
        value: serde_json::to_string(&beat).expect("plain types"),
        version,
    }
}

#[test]
fn a_lease_ends_by_the_observers_clock_only() {
    let mut watch = Watch::default();
    watch.scanned(&[beat(7, 1, 1_000)], 10_000);
    watch.scanned(&[beat(7, 1, 1_000)], 14_000);
    assert!(!watch.expired(7, 15_000));
    assert!(watch.expired(7, 15_001));
    watch.scanned(&[beat(7, 2, 1_000)], 15_500);
    assert!(!watch.expired(7, 20_500));
    assert_eq!(watch.live(20_500), vec![7]);
}

#[test]
fn a_row_that_was_deleted_means_gone() {
    let mut watch = Watch::default();
    watch.scanned(&[beat(7, 1, 1_000)], 0);
    watch.scanned(&[], 100);
    assert!(watch.expired(7, 100));
}

fn clock_row(value: u64, version: u64) -> Row {
    Row {
        key: "durable/clock".to_string(),
        value: value.to_string(),
        version,
    }
}

#[test]
fn the_shared_clock_never_runs_ahead_of_what_was_measured() {
    let mut clock = Clock::default();
    clock.read(Some(&clock_row(50_000, 3)), 1_000);
    assert_eq!(clock.due(0, 1_000 + TICK_MS - 1), None);
    assert_eq!(clock.due(1, 1_000 + TICK_MS), None);
    let tick = clock.due(0, 1_000 + TICK_MS).expect("a tick is due");
    assert_eq!(tick.version, 3);
    assert_eq!(tick.value, (50_000 + TICK_MS).to_string());
    // Another gateway was first, and has measured less; then one that has measured more.
    clock.read(Some(&clock_row(51_000, 4)), 7_000);
    assert_eq!(clock.now_ms(7_500), Some(56_500));
    clock.read(Some(&clock_row(60_000, 5)), 8_000);
    assert_eq!(clock.now_ms(8_500), Some(60_500));
}

#[test]
fn each_shard_has_one_scanner_and_few_move() {
    let live: Vec<u64> = (1..=9).collect();
    let mut fewer = live.clone();
    fewer.retain(|&gateway| gateway != 4);
    for number in 0..shard::SHARDS {
        let before = shard::scanner(number, &live);
        let after = shard::scanner(number, &fewer);
        assert!(before == after || before == Some(4));
    }
    let owned: usize = live.iter().map(|&g| shard::owned(g, &live).len()).sum();
    assert_eq!(owned, shard::SHARDS as usize);
}
