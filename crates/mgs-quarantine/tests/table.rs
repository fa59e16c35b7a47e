//! Checks when requests are held and released, and that gateways converge in whatever order they
//! merge records.

use std::collections::BTreeSet;

use mgs_quarantine::fingerprint::Fingerprint;
use mgs_quarantine::options::Options;
use mgs_quarantine::shared::SharedRecord;
use mgs_quarantine::table::Quarantine;
use mgs_quarantine::verdict::Verdict;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::TestRunner;
use rstest::rstest;

const REQUEST: Fingerprint = Fingerprint(7);
const OTHER_REQUEST: Fingerprint = Fingerprint(8);

fn empty() -> Quarantine {
    Quarantine::new(Options::default())
}

/// Crashes under a fingerprint, each of another endpoint, one second apart.
fn crashed_times(times: u64) -> Quarantine {
    let mut quarantine = empty();
    for crash in 0..times {
        quarantine.record_crash(REQUEST, crash, 0, crash as f64 * 1_000.0);
    }
    quarantine
}

#[rstest]
#[case::once(1, Verdict::Allowed)]
#[case::twice(2, Verdict::Confined)]
#[case::three_times(3, Verdict::Held)]
fn each_crash_makes_the_verdict_stricter(#[case] times: u64, #[case] verdict: Verdict) {
    assert_eq!(crashed_times(times).verdict(REQUEST), verdict);
    assert_eq!(
        crashed_times(times).verdict(OTHER_REQUEST),
        Verdict::Allowed
    );
}

#[test]
fn an_endpoint_counts_once_however_often_its_end_is_seen() {
    let mut quarantine = empty();
    for at_ms in 0..5 {
        quarantine.record_crash(REQUEST, 1, 0, f64::from(at_ms));
    }
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Allowed);
}

#[test]
fn a_completed_run_releases_the_request() {
    let mut quarantine = crashed_times(3);
    quarantine.record_completion(REQUEST, 3_000.0);
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Allowed);
    assert_eq!(
        quarantine.take_hold_changes(),
        [(REQUEST, true), (REQUEST, false)]
    );
}

/// A new engine version may crash on a request that an earlier version completed.
#[test]
fn crashes_after_a_completed_run_count_again() {
    let mut quarantine = empty();
    quarantine.record_crash(REQUEST, 0, 0, 0.0);
    quarantine.record_completion(REQUEST, 10.0);
    for crash in 1..4_u32 {
        quarantine.record_crash(REQUEST, u64::from(crash), 0, f64::from(crash) * 1_000.0);
    }
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Held);
}

#[test]
fn a_stream_that_makes_more_progress_each_time_is_not_held_after_three_crashes() {
    let mut quarantine = empty();
    for crash in 0..3_u32 {
        quarantine.record_progress(REQUEST, crash * 5, f64::from(crash) * 1_000.0);
        quarantine.record_crash(
            REQUEST,
            u64::from(crash),
            crash * 5,
            f64::from(crash) * 1_000.0,
        );
    }
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Allowed);
}

#[test]
fn a_request_that_crashes_at_varying_progress_is_eventually_held() {
    let mut quarantine = empty();
    for (crash, events) in [3, 9, 5, 11, 2, 7].into_iter().enumerate() {
        let at_ms = crash as f64 * 1_000.0;
        quarantine.record_progress(REQUEST, events, at_ms);
        quarantine.record_crash(REQUEST, crash as u64, events, at_ms);
    }
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Held);
}

/// A rack loses power: seven endpoints end at once, and an often used path ran on three of them.
#[test]
fn simultaneous_ends_that_include_other_endpoints_count_once() {
    let mut quarantine = empty();
    for endpoint in 0..7_u32 {
        let fingerprint = if endpoint < 3 { REQUEST } else { OTHER_REQUEST };
        quarantine.record_crash(fingerprint, u64::from(endpoint), 0, f64::from(endpoint));
    }
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Allowed);
}

/// Copies of a request that are sent at once crash their endpoints at once, and no other endpoint
/// ends.
#[test]
fn simultaneous_ends_of_endpoints_that_all_ran_the_request_count_each() {
    let mut quarantine = empty();
    for endpoint in 0..3_u32 {
        quarantine.record_crash(REQUEST, u64::from(endpoint), 0, f64::from(endpoint));
        quarantine.record_crash(OTHER_REQUEST, u64::from(endpoint), 2, f64::from(endpoint));
        quarantine.record_progress(OTHER_REQUEST, 3, 100.0);
    }
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Held);
    assert_eq!(quarantine.verdict(OTHER_REQUEST), Verdict::Allowed);
}

/// A request that is repeated some time later without more progress isn't one that only ran beside
/// the crashing one.
#[test]
fn unrelated_ends_do_not_raise_the_threshold_for_a_later_repetition() {
    let options = Options::default();
    let mut quarantine = empty();
    quarantine.record_crash(OTHER_REQUEST, 100, 0, 1_500.0);
    for crash in 0..3_u64 {
        quarantine.record_crash(REQUEST, crash, 0, 1_600.0 + crash as f64 * 100.0);
    }
    assert_eq!(
        quarantine.begin_request(REQUEST, 1_900.0),
        Verdict::Confined
    );
    let later_ms = 1_800.0 + options.recurrence_ms;
    assert_eq!(quarantine.begin_request(REQUEST, later_ms), Verdict::Held);
    // A peer that gets the record holds the request too.
    let shared = quarantine
        .shared_record(REQUEST, later_ms)
        .expect("the record exists");
    let mut peer = empty();
    peer.merge_shared(&shared, later_ms);
    assert_eq!(peer.verdict(REQUEST), Verdict::Held);
}

/// The engines that prefill parts of a long prompt end together with the one that generates.
#[test]
fn helpers_that_end_with_the_writer_are_one_crash_and_no_unrelated_ends() {
    let mut quarantine = empty();
    for crash in 0..3_u64 {
        let at_ms = crash as f64 * 1_000.0;
        for helper in 0..4_u64 {
            let incarnation = 10 * (crash + 1) + helper;
            quarantine.record_crash(OTHER_REQUEST, incarnation, 3, at_ms);
            quarantine.record_helper_crash(REQUEST, incarnation, at_ms);
        }
        quarantine.record_progress(OTHER_REQUEST, 4, at_ms);
        assert_ne!(quarantine.verdict(REQUEST), Verdict::Held, "after {crash}");
        quarantine.record_crash(REQUEST, crash, 0, at_ms);
    }
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Held);
}

/// A request that ran on each endpoint crashed by another one isn't the cause if the other one has
/// more crashes.
#[test]
fn crashes_that_another_held_request_explains_do_not_count() {
    let mut quarantine = crashed_times(3);
    for crash in 0..3_u64 {
        quarantine.record_crash(OTHER_REQUEST, crash, 0, crash as f64 * 1_000.0);
    }
    quarantine.record_crash(REQUEST, 3, 0, 3_000.0);
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Held);
    assert_eq!(quarantine.verdict(OTHER_REQUEST), Verdict::Allowed);
}

/// Guards against holding an often used path that ran on each endpoint that another request crashed:
/// it has as many crashes, and whichever of them is recorded first.
#[rstest]
#[case::path_first(true, 3)]
#[case::path_last(false, 3)]
#[case::path_first_and_more_crashes(true, 5)]
#[case::path_last_and_more_crashes(false, 5)]
fn a_request_that_completed_before_is_not_held_with_one_that_never_did(
    #[case] is_path_first: bool,
    #[case] path_crashes: u64,
) {
    let mut quarantine = empty();
    quarantine.record_completion(OTHER_REQUEST, 0.0);
    let order = match is_path_first {
        true => [OTHER_REQUEST, REQUEST],
        false => [REQUEST, OTHER_REQUEST],
    };
    for crash in 0..3_u64 {
        for fingerprint in order {
            quarantine.record_crash(fingerprint, crash, 0, 100.0 + crash as f64 * 200.0);
        }
    }
    for crash in 3..path_crashes {
        quarantine.record_crash(OTHER_REQUEST, crash, 0, 700.0);
    }
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Held);
    assert_ne!(quarantine.verdict(OTHER_REQUEST), Verdict::Held);
    let changes = quarantine.take_hold_changes();
    assert_eq!(changes, [(REQUEST, true)]);
}

/// A request that begins to crash endpoints is held even if others that were lost with it have never
/// completed.
#[test]
fn a_request_that_completed_before_is_held_after_enough_crashes() {
    let mut quarantine = empty();
    quarantine.record_completion(REQUEST, 0.0);
    for crash in 0..6_u64 {
        let at_ms = 100.0 + crash as f64 * 200.0;
        quarantine.record_crash(REQUEST, crash, 0, at_ms);
        quarantine.record_crash(Fingerprint(100 + u128::from(crash / 2)), crash, 0, at_ms);
    }
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Held);
}

/// A gateway may find out only later that the endpoint of a lost run has ended; other runs of the
/// request that have completed since count all the same.
#[test]
fn a_run_that_completed_after_the_loss_clears_a_crash_that_is_reported_later() {
    let mut quarantine = empty();
    quarantine.record_completion(REQUEST, 900.0);
    for crash in 0..3_u64 {
        quarantine.record_crash(REQUEST, crash, 0, 100.0 + crash as f64 * 200.0);
    }
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Allowed);
}

/// As above, where a peer reports the crashes; the gateway that knows better tells the others.
#[test]
fn a_run_that_completed_here_clears_crashes_that_a_peer_reports_later() {
    let mut peer = crashed_times(3);
    let mut quarantine = empty();
    quarantine.record_completion(REQUEST, 2_500.0);
    let reported = peer.shared_record(REQUEST, 3_000.0).expect("a record");
    quarantine.merge_shared(&reported, 3_000.0);
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Allowed);
    assert_eq!(quarantine.take_unknown_to_peers(), [REQUEST]);
    let known_better = quarantine.shared_record(REQUEST, 3_010.0);
    peer.merge_shared(&known_better.expect("a record"), 3_020.0);
    assert_eq!(peer.verdict(REQUEST), Verdict::Allowed);
}

/// Where endpoints end for other reasons, some request runs on three of them by chance.
#[rstest]
#[case::no_unrelated_end(0, 3)]
#[case::one_unrelated_end(1, 4)]
#[case::a_third_of_the_fleet(7, 5)]
fn more_crashes_are_required_where_unrelated_endpoints_end(
    #[case] others: u64,
    #[case] required_crashes: u64,
) {
    let mut quarantine = empty();
    for other in 0..others {
        quarantine.record_crash(
            OTHER_REQUEST,
            100 + other,
            other as u32,
            other as f64 * 100.0,
        );
        quarantine.record_progress(OTHER_REQUEST, other as u32 + 1, other as f64 * 100.0);
    }
    for crash in 0..required_crashes {
        assert_ne!(quarantine.verdict(REQUEST), Verdict::Held, "after {crash}");
        quarantine.record_crash(REQUEST, crash, 0, 2_000.0 + crash as f64 * 200.0);
    }
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Held);
}

#[test]
fn a_held_request_gets_one_trial_after_a_delay() {
    let options = Options::default();
    let mut quarantine = crashed_times(3);
    assert!(!quarantine.take_trial(REQUEST, 2_000.0));
    let due_ms = 2_000.0 + options.trial_after_ms;
    assert!(quarantine.take_trial(REQUEST, due_ms));
    assert!(!quarantine.take_trial(REQUEST, due_ms + 1e9));
    // A peer that gets the record of the trial grants none either.
    let shared = quarantine
        .shared_record(REQUEST, due_ms)
        .expect("the record exists");
    let mut peer = crashed_times(3);
    peer.merge_shared(&shared, due_ms);
    assert!(!peer.take_trial(REQUEST, due_ms + 1e9));
}

#[test]
fn old_records_are_removed_unless_they_are_held() {
    let options = Options::default();
    let mut quarantine = crashed_times(3);
    quarantine.record_crash(OTHER_REQUEST, 9, 0, 2_500.0);
    quarantine.prune(options.retention_ms * 10.0);
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Held);
    assert_eq!(quarantine.len(), 1);
}

/// Thousands of different requests on endpoints that end must neither exhaust memory nor evict held
/// ones.
#[test]
fn the_least_relevant_records_are_evicted_first() {
    let options = Options {
        suspects_max: 100,
        held_max: 2,
        ..Options::default()
    };
    let mut quarantine = Quarantine::new(options);
    for crash in 0..3_u64 {
        quarantine.record_crash(REQUEST, crash, 0, crash as f64 * 1_000.0);
    }
    for crash in 0..2_u64 {
        quarantine.record_crash(OTHER_REQUEST, 50 + crash, 0, 3_000.0 + crash as f64 * 100.0);
    }
    for other in 1_600..10_000_u64 {
        // Many share an endpoint.
        let fingerprint = Fingerprint(u128::from(other));
        quarantine.record_crash(fingerprint, other / 16, 0, 4_000.0 + other as f64);
    }
    quarantine.prune(20_000.0);
    assert_eq!(quarantine.len(), 101);
    assert_eq!(quarantine.verdict(REQUEST), Verdict::Held);
    assert_eq!(quarantine.verdict(OTHER_REQUEST), Verdict::Confined);
}

/// Something that one gateway observes.
#[derive(Debug, Clone)]
enum Observation {
    Crash {
        incarnation: u64,
        events: u32,
    },
    Progress(u32),
    Completed,
    /// Sends the record to another gateway, which receives it this many times.
    Shares {
        to: usize,
        times: usize,
    },
}

const GATEWAYS: usize = 3;

fn observation() -> impl Strategy<Value = Observation> {
    prop_oneof![
        4 => (0..6_u64, 0..4_u32).prop_map(|(incarnation, events)| Observation::Crash { incarnation, events }),
        1 => (0..4_u32).prop_map(Observation::Progress),
        1 => any::<()>().prop_map(|()| Observation::Completed),
        4 => (0..GATEWAYS, 0..3_usize).prop_map(|(to, times)| Observation::Shares { to, times }),
    ]
}

fn history() -> impl Strategy<Value = Vec<(usize, Observation)>> {
    prop::collection::vec((0..GATEWAYS, observation()), 0..40)
}

/// What a gateway concludes at the end.
#[derive(Debug, PartialEq)]
struct State {
    verdict: Verdict,
    crashed: BTreeSet<u64>,
}

impl State {
    fn of(gateway: &Quarantine) -> Self {
        let record = gateway.record(REQUEST);
        let crashes = record.iter().flat_map(|record| &record.crashes);
        Self {
            verdict: gateway.verdict(REQUEST),
            crashed: crashes.map(|crash| crash.incarnation).collect(),
        }
    }
}

/// Replays the observations, shares all records at the end, and returns whether all gateways reach
/// the same state and no observed crash is lost.
fn converge(
    history: &[(usize, Observation)],
    merge: fn(&mut Quarantine, &SharedRecord, f64),
) -> bool {
    let crash = |observation: &Observation| match observation {
        Observation::Crash { incarnation, .. } => Some(*incarnation),
        _ => None,
    };
    let seen: BTreeSet<u64> = history.iter().filter_map(|(_, s)| crash(s)).collect();
    let mut gateways: Vec<Quarantine> = (0..GATEWAYS).map(|_| empty()).collect();
    let mut now_ms = 0.0;
    for (index, observation) in history {
        now_ms += 200.0;
        let gateway = &mut gateways[*index];
        match observation {
            Observation::Crash {
                incarnation,
                events,
            } => {
                gateway.record_crash(REQUEST, *incarnation, *events, now_ms);
            }
            Observation::Progress(events) => gateway.record_progress(REQUEST, *events, now_ms),
            Observation::Completed => gateway.record_completion(REQUEST, now_ms),
            Observation::Shares { to, times } => {
                let shared = gateway.shared_record(REQUEST, now_ms);
                for shared in shared.iter().cycle().take(*times * shared.iter().count()) {
                    merge(&mut gateways[*to], shared, now_ms);
                }
            }
        }
    }
    for _ in 0..2 {
        for from in 0..GATEWAYS {
            let Some(shared) = gateways[from].shared_record(REQUEST, now_ms) else {
                continue;
            };
            for gateway in &mut gateways {
                merge(gateway, &shared, now_ms);
            }
        }
    }
    let first = State::of(&gateways[0]);
    first.crashed == seen && gateways.iter().all(|gateway| State::of(gateway) == first)
}

proptest! {
    #[test]
    fn gateways_converge_once_all_records_are_shared(history in history()) {
        prop_assert!(converge(&history, Quarantine::merge_shared));
    }
}

/// Keeps crashes at the gateway that observed them.
fn ignore_messages(_: &mut Quarantine, _: &SharedRecord, _: f64) {}

/// Replaces the record by the latest message, so that a late one undoes a cleared crash.
fn replace_with_latest(quarantine: &mut Quarantine, shared: &SharedRecord, now_ms: f64) {
    *quarantine = empty();
    quarantine.merge_shared(shared, now_ms);
}

#[rstest]
#[case::messages_ignored(ignore_messages)]
#[case::latest_message_replaces_the_record(replace_with_latest)]
fn the_property_detects_faulty_merges(#[case] merge: fn(&mut Quarantine, &SharedRecord, f64)) {
    let mut runner = TestRunner::new(Config {
        failure_persistence: None,
        ..Config::default()
    });
    let found = runner.run(&history(), |history| {
        prop_assert!(converge(&history, merge));
        Ok(())
    });
    assert!(found.is_err());
}
