//! Confirmations: few writes, and nobody forgotten.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use mgs_platform::table::Row;
use mgs_settings::confirm;
use mgs_settings::confirm::Confirmation;
use mgs_settings::confirm::Expected;
use mgs_settings::confirm::Options;
use mgs_settings::confirm::Process;
use mgs_settings::confirm::Reporter;
use rstest::rstest;

fn row(gateway: &str, incarnation: u64, version: u64, sidecars: &[(&str, u64)]) -> Row {
    let sidecars = sidecars.iter().map(|(name, v)| ((*name).to_string(), *v));
    let confirmation = Confirmation {
        incarnation,
        version,
        sidecars: sidecars.collect(),
    };
    Row {
        key: confirm::key(gateway),
        value: serde_json::to_string(&confirmation).unwrap(),
        version: 1,
    }
}

fn expected() -> Expected {
    Expected {
        gateways: BTreeMap::from([("g1".to_string(), 1), ("g2".to_string(), 2)]),
        sidecars: BTreeSet::from(["s1".to_string(), "s2".to_string()]),
    }
}

#[rstest]
#[case::all(&[row("g1", 1, 5, &[("s1", 5), ("s2", 4)]), row("g2", 2, 6, &[("s2", 5)])], vec![])]
#[case::one_gateway_late(
    &[row("g1", 1, 5, &[("s1", 5), ("s2", 5)]), row("g2", 2, 4, &[])],
    vec![Process::Gateway("g2".into())]
)]
#[case::an_earlier_incarnation_says_nothing(
    &[row("g1", 1, 5, &[("s1", 5)]), row("g2", 9, 5, &[("s2", 5)])],
    vec![Process::Gateway("g2".into()), Process::Sidecar("s2".into())]
)]
fn those_who_have_not_confirmed_are_named(#[case] rows: &[Row], #[case] late: Vec<Process>) {
    assert_eq!(confirm::waiting(5, &expected(), rows).unwrap(), late);
}

#[test]
fn one_write_an_interval_whatever_happens() {
    let mut reporter = Reporter::new(Options::default(), 1);
    let mut writes = 0;
    for now_ms in 0..10_000 {
        reporter.own(now_ms);
        reporter.sidecar("s1", now_ms);
        if let Some(due) = reporter.due(now_ms, 1) {
            reporter.written(due);
            writes += 1;
        }
    }
    assert_eq!(writes, 10);
}

#[test]
fn the_interval_grows_with_the_gateways() {
    let mut reporter = Reporter::new(Options::default(), 1);
    reporter.own(1);
    let due = reporter.due(0, 450).unwrap();
    reporter.written(due);
    reporter.own(2);
    assert!(reporter.due(4_499, 450).is_none());
    assert!(reporter.due(4_500, 450).is_some());
}

#[test]
fn a_failed_write_is_tried_again_and_a_lost_sidecar_left_out() {
    let mut reporter = Reporter::new(Options::default(), 1);
    reporter.own(1);
    reporter.sidecar("s1", 1);
    assert!(reporter.due(0, 1).is_some());
    reporter.lost("s1");
    let due = reporter.due(1_000, 1).unwrap();
    assert!(due.sidecars.is_empty());
}
