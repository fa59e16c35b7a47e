//! The schedule of faults: a pure function of its seed, within its bounds.

use std::collections::BTreeSet;

use rstest::rstest;

use mgs_testing::chaos::schedule;
use mgs_testing::chaos::Fault;
use mgs_testing::chaos::FaultKind;
use mgs_testing::chaos::Scenario;
use mgs_testing::chaos::Sizes;

const SIZES: Sizes = Sizes {
    gateways: 2,
    endpoints: 5,
};

const TOTAL_MS: u64 = 20_000;

fn of(scenario: Scenario, seed: u64) -> Vec<Fault> {
    schedule(seed, &scenario.faults(), &SIZES, TOTAL_MS)
}

#[test]
fn calm_has_no_faults() {
    assert_eq!(of(Scenario::Calm, 1), vec![]);
}

#[rstest]
#[case::kill(Scenario::Kill)]
#[case::pause(Scenario::Pause)]
#[case::silence(Scenario::Silence)]
#[case::store(Scenario::Store)]
#[case::engine(Scenario::Engine)]
#[case::leave(Scenario::Leave)]
#[case::mixed(Scenario::Mixed)]
fn draws_every_kind_in_order_and_again_for_the_same_seed(#[case] scenario: Scenario) {
    let mut seen: BTreeSet<FaultKind> = BTreeSet::new();
    for seed in 0..50 {
        let faults = of(scenario, seed);
        assert_eq!(faults, of(scenario, seed));
        assert!(faults.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms));
        assert!(faults.iter().all(|fault| fault.lasts_ms > 0));
        seen.extend(faults.iter().map(|fault| fault.kind));
    }
    assert_eq!(seen, scenario.faults().into_iter().collect());
}

/// Some faults come alone, some with another, some twice in one place.
#[test]
fn faults_come_alone_together_and_twice() {
    let faults: Vec<Fault> = (0..20).flat_map(|seed| of(Scenario::Kill, seed)).collect();
    let apart_ms = |pair: &[Fault]| pair[1].at_ms.saturating_sub(pair[0].at_ms);
    assert!(faults.windows(2).any(|pair| apart_ms(pair) <= 150));
    assert!(faults.windows(2).any(|pair| apart_ms(pair) > 1_000));
    let twice = |one: &Fault| {
        let again = |other: &&Fault| other.variant == one.variant && other.at_ms > one.at_ms;
        faults.iter().any(|other| again(&other))
    };
    assert!(faults.iter().any(twice));
}
