//! What holds a work and what lets it go, and that gateways agree whatever they hear in which order.

use std::collections::BTreeSet;

use mgs_quarantine::key::WorkKey;
use mgs_quarantine::options::Options;
use mgs_quarantine::table::Quarantine;
use mgs_quarantine::table::Told;
use mgs_quarantine::table::Verdict;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::TestRunner;
use rstest::rstest;

const WORK: WorkKey = WorkKey(7);
const OTHER: WorkKey = WorkKey(8);

fn none() -> Quarantine {
    Quarantine::new(Options::default())
}

/// Crashes under a work, each of another endpoint, a second apart.
fn crashed(times: u64) -> Quarantine {
    let mut quarantine = none();
    for crash in 0..times {
        quarantine.crashed(WORK, crash, 0, crash as f64 * 1_000.0);
    }
    quarantine
}

#[rstest]
#[case::once(1, Verdict::Free)]
#[case::twice(2, Verdict::Confined)]
#[case::three_times(3, Verdict::Held)]
fn each_crash_makes_the_verdict_graver(#[case] times: u64, #[case] verdict: Verdict) {
    assert_eq!(crashed(times).verdict(WORK), verdict);
    assert_eq!(crashed(times).verdict(OTHER), Verdict::Free);
}

#[test]
fn the_same_endpoint_counts_once_whoever_sees_its_end() {
    let mut quarantine = none();
    for seen in 0..5 {
        quarantine.crashed(WORK, 1, 0, f64::from(seen));
    }
    assert_eq!(quarantine.verdict(WORK), Verdict::Free);
}

#[test]
fn a_run_that_ends_whole_speaks_for_its_work() {
    let mut quarantine = crashed(3);
    quarantine.ended_whole(WORK, 3_000.0);
    assert_eq!(quarantine.verdict(WORK), Verdict::Free);
    assert_eq!(quarantine.take_turned(), [(WORK, true), (WORK, false)]);
}

/// Another version of an engine may crash by what an earlier one served.
#[test]
fn crashes_after_a_whole_run_count_anew() {
    let mut quarantine = none();
    quarantine.crashed(WORK, 0, 0, 0.0);
    quarantine.ended_whole(WORK, 10.0);
    for crash in 1..4_u32 {
        quarantine.crashed(WORK, u64::from(crash), 0, f64::from(crash) * 1_000.0);
    }
    assert_eq!(quarantine.verdict(WORK), Verdict::Held);
}

#[test]
fn a_stream_that_gets_further_each_time_is_not_held_by_three_crashes() {
    let mut quarantine = none();
    for crash in 0..3_u32 {
        quarantine.reached(WORK, crash * 5, f64::from(crash) * 1_000.0);
        quarantine.crashed(
            WORK,
            u64::from(crash),
            crash * 5,
            f64::from(crash) * 1_000.0,
        );
    }
    assert_eq!(quarantine.verdict(WORK), Verdict::Free);
}

#[test]
fn a_work_that_crashes_now_sooner_and_now_later_is_held_in_the_end() {
    let mut quarantine = none();
    for (crash, reached) in [3, 9, 5, 11, 2, 7].into_iter().enumerate() {
        let at_ms = crash as f64 * 1_000.0;
        quarantine.reached(WORK, reached, at_ms);
        quarantine.crashed(WORK, crash as u64, reached, at_ms);
    }
    assert_eq!(quarantine.verdict(WORK), Verdict::Held);
}

/// A rack loses power: seven endpoints end at once, and a much used path ran on three of them.
#[test]
fn endpoints_that_end_together_without_the_work_make_one_crash() {
    let mut quarantine = none();
    for endpoint in 0..7_u32 {
        let work = if endpoint < 3 { WORK } else { OTHER };
        quarantine.crashed(work, u64::from(endpoint), 0, f64::from(endpoint));
    }
    assert_eq!(quarantine.verdict(WORK), Verdict::Free);
}

/// Copies of a request that are sent at once crash their endpoints at once, and nothing else ends.
#[test]
fn endpoints_that_end_together_with_the_work_on_each_count_each() {
    let mut quarantine = none();
    for endpoint in 0..3_u32 {
        quarantine.crashed(WORK, u64::from(endpoint), 0, f64::from(endpoint));
        quarantine.crashed(OTHER, u64::from(endpoint), 2, f64::from(endpoint));
        quarantine.reached(OTHER, 3, 100.0);
    }
    assert_eq!(quarantine.verdict(WORK), Verdict::Held);
    assert_eq!(quarantine.verdict(OTHER), Verdict::Free);
}

/// What comes again some time later, and hasn't got any further meanwhile, isn't a neighbour.
#[test]
fn other_ends_make_no_difference_to_what_comes_again_later() {
    let options = Options::default();
    let mut quarantine = none();
    quarantine.crashed(OTHER, 100, 0, 1_500.0);
    for crash in 0..3_u64 {
        quarantine.crashed(WORK, crash, 0, 1_600.0 + crash as f64 * 100.0);
    }
    assert_eq!(quarantine.begin(WORK, 1_900.0), Verdict::Confined);
    let later_ms = 1_800.0 + options.settled_ms;
    assert_eq!(quarantine.begin(WORK, later_ms), Verdict::Held);
    // A peer that hears of it holds it too.
    let told = quarantine.told(WORK, later_ms).expect("it is known");
    let mut peer = none();
    peer.hear(&told, later_ms);
    assert_eq!(peer.verdict(WORK), Verdict::Held);
}

/// The engines that read parts of a long prompt end with the one that writes.
#[test]
fn what_ended_beside_the_writer_makes_one_crash_and_no_other_end() {
    let mut quarantine = none();
    for crash in 0..3_u64 {
        let at_ms = crash as f64 * 1_000.0;
        for helper in 0..4_u64 {
            let incarnation = 10 * (crash + 1) + helper;
            quarantine.crashed(OTHER, incarnation, 3, at_ms);
            quarantine.crashed_beside(WORK, incarnation, at_ms);
        }
        quarantine.reached(OTHER, 4, at_ms);
        assert_ne!(quarantine.verdict(WORK), Verdict::Held, "after {crash}");
        quarantine.crashed(WORK, crash, 0, at_ms);
    }
    assert_eq!(quarantine.verdict(WORK), Verdict::Held);
}

/// What was on each endpoint that another work crashed is its neighbour, if that other one has crashed more.
#[test]
fn crashes_that_another_held_work_explains_do_not_count() {
    let mut quarantine = crashed(3);
    for crash in 0..3_u64 {
        quarantine.crashed(OTHER, crash, 0, crash as f64 * 1_000.0);
    }
    quarantine.crashed(WORK, 3, 0, 3_000.0);
    assert_eq!(quarantine.verdict(WORK), Verdict::Held);
    assert_eq!(quarantine.verdict(OTHER), Verdict::Free);
}

/// Where endpoints end by themselves, some work runs on three of them by chance.
#[rstest]
#[case::none_else(0, 3)]
#[case::one_else(1, 4)]
#[case::a_third_of_the_fleet(7, 5)]
fn more_crashes_are_wanted_where_other_endpoints_end(#[case] others: u64, #[case] wanted: u64) {
    let mut quarantine = none();
    for other in 0..others {
        quarantine.crashed(OTHER, 100 + other, other as u32, other as f64 * 100.0);
        quarantine.reached(OTHER, other as u32 + 1, other as f64 * 100.0);
    }
    for crash in 0..wanted {
        assert_ne!(quarantine.verdict(WORK), Verdict::Held, "after {crash}");
        quarantine.crashed(WORK, crash, 0, 2_000.0 + crash as f64 * 200.0);
    }
    assert_eq!(quarantine.verdict(WORK), Verdict::Held);
}

#[test]
fn a_held_work_is_tried_once_and_not_soon() {
    let options = Options::default();
    let mut quarantine = crashed(3);
    assert!(!quarantine.take_trial(WORK, 2_000.0));
    let due_ms = 2_000.0 + options.trial_after_ms;
    assert!(quarantine.take_trial(WORK, due_ms));
    assert!(!quarantine.take_trial(WORK, due_ms + 1e9));
    // Nor is it by a peer that has heard of that trial.
    let told = quarantine.told(WORK, due_ms).expect("it is known");
    let mut peer = crashed(3);
    peer.hear(&told, due_ms);
    assert!(!peer.take_trial(WORK, due_ms + 1e9));
}

#[test]
fn what_is_not_held_is_forgotten_and_what_is_held_is_not() {
    let options = Options::default();
    let mut quarantine = crashed(3);
    quarantine.crashed(OTHER, 9, 0, 2_500.0);
    quarantine.tidy(options.kept_ms * 10.0);
    assert_eq!(quarantine.verdict(WORK), Verdict::Held);
    assert_eq!(quarantine.len(), 1);
}

/// Thousands of different requests on endpoints that end must fill no memory, and not push out what is held.
#[test]
fn the_weakest_goes_first_under_pressure() {
    let options = Options {
        suspects_max: 100,
        held_max: 2,
        ..Options::default()
    };
    let mut quarantine = Quarantine::new(options);
    for crash in 0..3_u64 {
        quarantine.crashed(WORK, crash, 0, crash as f64 * 1_000.0);
    }
    for crash in 0..2_u64 {
        quarantine.crashed(OTHER, 50 + crash, 0, 3_000.0 + crash as f64 * 100.0);
    }
    for other in 1_600..10_000_u64 {
        // Many share an endpoint.
        let key = WorkKey(u128::from(other));
        quarantine.crashed(key, other / 16, 0, 4_000.0 + other as f64);
    }
    quarantine.tidy(20_000.0);
    assert_eq!(quarantine.len(), 101);
    assert_eq!(quarantine.verdict(WORK), Verdict::Held);
    assert_eq!(quarantine.verdict(OTHER), Verdict::Confined);
}

/// Something that one gateway sees.
#[derive(Debug, Clone)]
enum Sight {
    Crash {
        incarnation: u64,
        reached: u32,
    },
    Reached(u32),
    Whole,
    /// It tells another gateway, whom the message reaches so many times.
    Tells {
        to: usize,
        times: usize,
    },
}

const GATEWAYS: usize = 3;

fn sight() -> impl Strategy<Value = Sight> {
    prop_oneof![
        4 => (0..6_u64, 0..4_u32).prop_map(|(incarnation, reached)| Sight::Crash { incarnation, reached }),
        1 => (0..4_u32).prop_map(Sight::Reached),
        1 => any::<()>().prop_map(|()| Sight::Whole),
        4 => (0..GATEWAYS, 0..3_usize).prop_map(|(to, times)| Sight::Tells { to, times }),
    ]
}

fn history() -> impl Strategy<Value = Vec<(usize, Sight)>> {
    prop::collection::vec((0..GATEWAYS, sight()), 0..40)
}

/// What a gateway believes in the end.
#[derive(Debug, PartialEq)]
struct Belief {
    verdict: Verdict,
    crashed: BTreeSet<u64>,
}

impl Belief {
    fn of(gateway: &Quarantine) -> Self {
        let record = gateway.record(WORK);
        let crashes = record.iter().flat_map(|record| &record.crashes);
        Self {
            verdict: gateway.verdict(WORK),
            crashed: crashes.map(|crash| crash.incarnation).collect(),
        }
    }
}

/// Plays what gateways see, has them tell each other all at the end, and answers whether each believes the same then,
/// and nothing that one saw is lost.
fn agree(history: &[(usize, Sight)], hear: fn(&mut Quarantine, &Told, f64)) -> bool {
    let crash = |sight: &Sight| match sight {
        Sight::Crash { incarnation, .. } => Some(*incarnation),
        _ => None,
    };
    let seen: BTreeSet<u64> = history.iter().filter_map(|(_, s)| crash(s)).collect();
    let mut gateways: Vec<Quarantine> = (0..GATEWAYS).map(|_| none()).collect();
    let mut now_ms = 0.0;
    for (at, sight) in history {
        now_ms += 200.0;
        let gateway = &mut gateways[*at];
        match sight {
            Sight::Crash {
                incarnation,
                reached,
            } => {
                gateway.crashed(WORK, *incarnation, *reached, now_ms);
            }
            Sight::Reached(events) => gateway.reached(WORK, *events, now_ms),
            Sight::Whole => gateway.ended_whole(WORK, now_ms),
            Sight::Tells { to, times } => {
                let told = gateway.told(WORK, now_ms);
                for told in told.iter().cycle().take(*times * told.iter().count()) {
                    hear(&mut gateways[*to], told, now_ms);
                }
            }
        }
    }
    for _ in 0..2 {
        for from in 0..GATEWAYS {
            let Some(told) = gateways[from].told(WORK, now_ms) else {
                continue;
            };
            for gateway in &mut gateways {
                hear(gateway, &told, now_ms);
            }
        }
    }
    let first = Belief::of(&gateways[0]);
    first.crashed == seen && gateways.iter().all(|gateway| Belief::of(gateway) == first)
}

proptest! {
    #[test]
    fn gateways_agree_once_all_is_told(history in history()) {
        prop_assert!(agree(&history, Quarantine::hear));
    }
}

/// Keeps evidence to the gateway that saw it.
fn hear_nothing(_: &mut Quarantine, _: &Told, _: f64) {}

/// Takes the latest message for all there is, so that a late one takes back what was cleared.
fn hear_the_latest_only(quarantine: &mut Quarantine, told: &Told, now_ms: f64) {
    *quarantine = none();
    quarantine.hear(told, now_ms);
}

#[rstest]
#[case::evidence_kept_by_one_gateway(hear_nothing)]
#[case::the_latest_message_replaces_what_is_known(hear_the_latest_only)]
fn the_property_finds_wrong_ways_of_hearing(#[case] hear: fn(&mut Quarantine, &Told, f64)) {
    let mut runner = TestRunner::new(Config {
        failure_persistence: None,
        ..Config::default()
    });
    let found = runner.run(&history(), |history| {
        prop_assert!(agree(&history, hear));
        Ok(())
    });
    assert!(found.is_err());
}
