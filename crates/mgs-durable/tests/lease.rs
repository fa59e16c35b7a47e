//! Leases, the shared clock and the shards.

use mgs_durable::clock::Clock;
use mgs_durable::clock::TICK_MS;
use mgs_durable::lease;
use mgs_durable::lease::Beat;
use mgs_durable::lease::Span;
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

/// A read that took no time.
fn at(now_ms: u64) -> Span {
    Span {
        began_ms: now_ms,
        ended_ms: now_ms,
    }
}

#[test]
fn a_lease_ends_by_the_observers_clock_only() {
    let mut watch = Watch::default();
    assert!(!watch.expired(7, 9_000));
    watch.scanned(&[beat(7, 1, 1_000)], at(10_000));
    watch.scanned(&[beat(7, 1, 1_000)], at(15_000));
    assert!(!watch.expired(7, 15_000));
    watch.scanned(&[beat(7, 1, 1_000)], at(15_001));
    assert!(watch.expired(7, 15_001));
    assert!(watch.live().is_empty());
    watch.scanned(&[beat(7, 2, 1_000)], at(15_500));
    watch.scanned(&[beat(7, 2, 1_000)], at(20_500));
    assert!(!watch.expired(7, 20_500));
    assert_eq!(watch.live(), vec![7]);
}

#[test]
fn time_without_a_read_ends_no_lease() {
    let mut watch = Watch::default();
    assert!(!watch.expired(7, 0));
    watch.scanned(&[beat(7, 1, 1_000)], at(1));
    assert!(!watch.expired(7, 60_000));
    watch.read(7, Some(&beat(7, 2, 1_000)), at(60_001));
    assert!(!watch.expired(7, 60_002));
    watch.read(7, Some(&beat(7, 2, 1_000)), at(65_002));
    assert!(watch.expired(7, 65_002));
}

#[test]
fn a_slow_read_doesnt_shorten_a_lease() {
    let mut watch = Watch::default();
    assert!(!watch.expired(7, 0));
    let slow = |began_ms, ended_ms| Span { began_ms, ended_ms };
    watch.read(7, Some(&beat(7, 1, 1_000)), slow(1, 3_000));
    watch.read(7, Some(&beat(7, 1, 1_000)), slow(7_000, 12_000));
    assert!(!watch.expired(7, 12_000));
}

#[test]
fn a_row_that_was_deleted_means_gone() {
    let mut watch = Watch::default();
    assert!(!watch.expired(7, 0));
    watch.scanned(&[beat(7, 1, 1_000)], at(1));
    assert!(!watch.expired(7, 50));
    watch.scanned(&[], at(100));
    assert!(watch.expired(7, 100));
}

#[test]
fn a_row_that_was_missing_before_the_question_says_nothing() {
    let mut watch = Watch::default();
    watch.scanned(&[], at(100));
    assert!(!watch.expired(7, 200));
    watch.scanned(&[], at(200));
    assert!(!watch.expired(7, 200));
    assert_eq!(watch.unread(), vec![7]);
    watch.read(7, None, at(201));
    assert!(watch.expired(7, 202));
    assert!(watch.unread().is_empty());
}

#[test]
fn a_gateway_is_followed_while_its_lease_is_asked_for() {
    let mut watch = Watch::default();
    watch.expired(7, 0);
    watch.expired(9, 20_000);
    assert_eq!(watch.followed(30_000), vec![7, 9]);
    assert_eq!(watch.followed(30_001), vec![9]);
    // What the scans show of it counts for a later question, which has it followed again.
    watch.scanned(&[beat(9, 1, 1_000)], at(30_002));
    assert!(watch.expired(7, 3_600_000));
    assert!(!watch.expired(9, 3_600_000));
    assert_eq!(watch.followed(3_600_001), vec![7, 9]);
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
fn claims_are_scanned_within_a_budget_unless_many_have_expired() {
    assert_eq!(shard::claims_wait_ms(100_000, 200, 0), 100_000);
    assert_eq!(shard::claims_wait_ms(100_000, 200, 19), 100_000);
    assert_eq!(shard::claims_wait_ms(100_000, 200, 20), 0);
    assert_eq!(shard::claims_wait_ms(0, 0, 0), 0);
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
