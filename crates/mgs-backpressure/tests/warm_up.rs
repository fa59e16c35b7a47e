//! The sum of the requests to a cold endpoint, over all gateways and any history of faults.

mod warm_up_fleet;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop_oneof;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::proptest;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use warm_up_fleet::play;
use warm_up_fleet::Event;
use warm_up_fleet::Fault;
use warm_up_fleet::History;
use warm_up_fleet::COLD_PER_S;
use warm_up_fleet::LIMIT;

const DURATION_MS: f64 = 75_000.0;

/// Most gateways that start at once in a random history; more only take longer to simulate.
const JOINING_MAX: usize = 60;

fn event(gateways: usize) -> impl Strategy<Value = Event> {
    let share = prop_oneof![0.05..0.95, Just(1.0)];
    let lasts_ms = prop_oneof![200.0..4_000.0, 4_000.0..30_000.0];
    let within_ms = prop_oneof![100.0..3_000.0, Just(1.0)];
    let age_ms = prop_oneof![1_000.0..20_000.0, Just(1e9)];
    prop_oneof![
        3 => (share.clone(), lasts_ms.clone())
            .prop_map(|(share, lasts_ms)| Event::CutStore { share, lasts_ms }),
        1 => (2_u64..4, lasts_ms.clone())
            .prop_map(|(groups, lasts_ms)| Event::CutPeers { groups, lasts_ms }),
        3 => (1..=gateways.min(JOINING_MAX)).prop_map(|gateways| Event::Join { gateways }),
        1 => (share.clone(), within_ms)
            .prop_map(|(share, within_ms)| Event::Restart { share, within_ms }),
        1 => (share.clone(), lasts_ms)
            .prop_map(|(share, lasts_ms)| Event::Pause { share, lasts_ms }),
        1 => Just(Event::Touch),
        1 => age_ms.prop_map(|age_ms| Event::RollBack { age_ms }),
        1 => share.prop_map(|share| Event::RemoveEntries { share }),
    ]
}

fn history(gateways: usize) -> impl Strategy<Value = History> {
    let at_ms = prop_oneof![2 => 0.0..DURATION_MS, 1 => 24_000.0..27_000.0];
    let events = vec((at_ms, event(gateways)), 0..9);
    (any::<u64>(), events).prop_map(move |(seed, events)| History {
        seed,
        gateways,
        duration_ms: DURATION_MS,
        events,
    })
}

fn check(history: &History) {
    let outcome = play(history, Fault::None);
    assert!(outcome.max_per_s as f64 <= LIMIT, "{outcome:?} {history:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    #[test]
    fn four_gateways_never_exceed_the_limit(history in history(4)) {
        check(&history);
    }

    #[test]
    fn thirty_gateways_never_exceed_the_limit(history in history(30)) {
        check(&history);
    }

    #[test]
    fn forty_eight_gateways_never_exceed_the_limit(history in history(48)) {
        check(&history);
    }
}

// Histories of many gateways take a second each.
proptest! {
    #![proptest_config(ProptestConfig { cases: 16, ..ProptestConfig::default() })]

    #[test]
    fn a_hundred_gateways_never_exceed_the_limit(history in history(103)) {
        check(&history);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 6, ..ProptestConfig::default() })]

    #[test]
    fn three_hundred_gateways_never_exceed_the_limit(history in history(300)) {
        check(&history);
    }
}

fn calm(gateways: usize, events: Vec<(f64, Event)>) -> History {
    History {
        seed: 1,
        gateways,
        duration_ms: DURATION_MS,
        events,
    }
}

/// Events under which each injected fault must exceed the limit.
fn revealing_events(fault: Fault, gateways: usize) -> Vec<(f64, Event)> {
    let join = Event::Join { gateways };
    let cut_store = |share| Event::CutStore {
        share,
        lasts_ms: 40_000.0,
    };
    match fault {
        Fault::None | Fault::WholeLimit => Vec::new(),
        Fault::JoinsAtOnce | Fault::EndlessLease => {
            vec![(25_000.0, cut_store(1.0)), (26_000.0, join)]
        }
        Fault::RankOverHeard => {
            let cut_peers = Event::CutPeers {
                groups: 3,
                lasts_ms: 20_000.0,
            };
            vec![(25_000.0, cut_peers)]
        }
        // Right before they are cut off, all gateways begin a call and receive its answer. They send
        // without knowing the new ones until these begin to send.
        Fault::NoEntryMargin => {
            let touch = |number| (24_000.0 + 100.0 * f64::from(number), Event::Touch);
            let join = Event::Join {
                gateways: 6 * gateways,
            };
            let last = [(25_200.0, join), (25_400.0, cut_store(1.0))];
            (0..14).map(touch).chain(last).collect()
        }
        Fault::IgnoresLostEntry => {
            let roll_back = Event::RollBack { age_ms: 1e9 };
            vec![(25_000.0, roll_back), (26_000.0, join)]
        }
        Fault::ForgetsNames => {
            let remove = Event::RemoveEntries { share: 0.0 };
            vec![(25_000.0, cut_store(0.5)), (25_500.0, remove)]
        }
        Fault::EndlessPermits => {
            let pause = Event::Pause {
                share: 1.0,
                lasts_ms: 1_600.0,
            };
            let times = (0..20).map(|number| 25_000.0 + 1_700.0 * f64::from(number));
            times.map(|at_ms| (at_ms, pause.clone())).collect()
        }
    }
}

/// Each fault is tried with this many seeds, and as many phases of a window of 1.5 s.
const SEEDS: u64 = 15;

fn check_is_found(fault: Fault, gateways: usize) {
    let mut highest = 0;
    for number in 0..SEEDS {
        let mut events = revealing_events(fault, gateways);
        // Gateways that started together send together, each window at the same phase.
        for (at_ms, _) in &mut events {
            *at_ms += 100.0 * number as f64;
        }
        let history = History {
            // With these, no entries from earlier runs are listed.
            seed: 3 * number,
            ..calm(gateways, events)
        };
        check(&history);
        highest = highest.max(play(&history, fault).max_per_s);
        if highest as f64 > LIMIT {
            return;
        }
    }
    panic!("{fault:?} isn't found: {highest}");
}

/// Number of random histories among which each fault must be found.
const RANDOM_HISTORIES: usize = 60;

#[rstest]
fn injected_faults_exceed_the_limit(
    #[values(
        Fault::WholeLimit,
        Fault::JoinsAtOnce,
        Fault::EndlessLease,
        Fault::RankOverHeard,
        Fault::IgnoresLostEntry,
        Fault::ForgetsNames,
        Fault::EndlessPermits
    )]
    fault: Fault,
    #[values(4, 30, 48, 103, 300)] gateways: usize,
) {
    check_is_found(fault, gateways);
}

/// The new gateways must be many, since they know the old ones and so divide the limit with them.
#[rstest]
fn an_entry_that_entitles_at_the_age_of_the_lease_exceeds_the_limit(
    #[values(4, 30)] gateways: usize,
) {
    check_is_found(Fault::NoEntryMargin, gateways);
}

/// The random histories themselves find the faults, without events chosen for them.
#[rstest]
fn random_histories_find_the_injected_faults(
    #[values(
        Fault::WholeLimit,
        Fault::JoinsAtOnce,
        Fault::EndlessLease,
        Fault::RankOverHeard,
        Fault::IgnoresLostEntry,
        Fault::ForgetsNames
    )]
    fault: Fault,
    #[values(4, 30)] gateways: usize,
) {
    let mut runner = TestRunner::deterministic();
    let histories = history(gateways);
    let exceeds = |runner: &mut TestRunner| {
        let tree = histories.new_tree(runner).expect("a history");
        play(&tree.current(), fault).max_per_s as f64 > LIMIT
    };
    assert!((0..RANDOM_HISTORIES).any(|_| exceeds(&mut runner)));
}

/// Guards against quotas that leave much of the limit to nobody, as equal shares that are rounded
/// down do at 14 gateways (18.7 of 26 per second).
#[rstest]
fn most_of_the_rate_is_used_on_demand(
    #[values(1, 2, 4, 5, 10, 14, 15, 18, 19, 20, 30, 48, 103, 300)] gateways: usize,
) {
    let outcome = play(&calm(gateways, Vec::new()), Fault::None);
    assert!(outcome.last_per_s >= 0.8 * COLD_PER_S, "{outcome:?}");
    assert!(outcome.max_per_s as f64 <= LIMIT, "{outcome:?}");
}
