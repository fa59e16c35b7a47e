//! Shares of organisations: the first deployment's load on 30 gateways, and each failure that the
//! part must bear. `-- --nocapture` prints the figures.

#![allow(
    clippy::print_stdout,
    reason = "the tests report shares by organisation"
)]

#[allow(dead_code, reason = "shared with the tests of ordinary traffic")]
mod share_fleet;

use std::collections::HashMap;

use mgs_admission::demand_shares::DemandShares;
use mgs_admission::demand_shares::EnginePressure;
use mgs_admission::demand_shares::OrganisationDemand;
use mgs_admission::demand_shares::OrganisationHash;
use mgs_admission::demand_shares::REPORTED_ORGANISATIONS_MAX;
use rstest::rstest;
use share_fleet::hash;
use share_fleet::jain_index;
use share_fleet::learned_shares;
use share_fleet::others_on_time;
use share_fleet::outcomes_under;
use share_fleet::print_outcomes;
use share_fleet::usual_load_share;
use share_fleet::Conditions;
use share_fleet::Fleet;
use share_fleet::Outcomes;
use share_fleet::GATEWAYS;
use share_fleet::LEARN_S;
use share_fleet::MEASURE_S;
use share_fleet::ORGANISATIONS;
use share_fleet::SETTLE_S;

/// Most that the on-time share of the others may fall beside one organisation's surge.
const LOSS_MAX: f64 = 0.03;
/// The same if the engines' figures are wrong.
const LOSS_MAX_SLOW: f64 = 0.1;

fn surge(organisation: usize, factor: f64) -> [f64; ORGANISATIONS] {
    let mut load = [1.0; ORGANISATIONS];
    load[organisation] = factor;
    load
}

fn share_refusals(outcomes: &[Outcomes; ORGANISATIONS]) -> f64 {
    outcomes.iter().map(|row| row.share_refusals).sum()
}

// Guards against an organisation that takes the others' capacity by sending nine times as much.
#[rstest]
fn others_keep_their_on_time_share_beside_a_surge(
    #[values(0, 1, 2)] organisation: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let conditions = Conditions::default();
    let off = Conditions {
        is_on: false,
        ..conditions.clone()
    };
    let load = surge(organisation, 9.0);
    let quiet = outcomes_under(seed, conditions.clone(), [1.0; ORGANISATIONS]);
    let beside = outcomes_under(seed, conditions, load);
    let unprotected = outcomes_under(seed, off, load);
    let on_time = [quiet, beside, unprotected].map(|o| others_on_time(&o, organisation));
    println!("on time without a surge, beside it, without shares: {on_time:.3?}");
    print_outcomes("beside the surge", &beside);
    assert!(on_time[1] >= on_time[0] - LOSS_MAX, "{on_time:?}");
}

// Guards against a capacity that is taken from the engines' figures although they are slower. They
// need some seconds for what came before the surge was noticed.
#[rstest]
fn others_keep_most_of_their_on_time_share_at_slow_engines(#[values(1, 2, 3)] seed: u64) {
    let conditions = Conditions {
        engine_speed: 0.7,
        ..Conditions::default()
    };
    let quiet = outcomes_under(seed, conditions.clone(), [1.0; ORGANISATIONS]);
    let mut fleet = Fleet::new(seed, conditions);
    fleet.run(LEARN_S);
    fleet.conditions.load = surge(0, 9.0);
    fleet.run(8.0);
    let beside = fleet.run(MEASURE_S);
    let on_time = [quiet, beside].map(|outcomes| others_on_time(&outcomes, 0));
    println!("slow engines, on time without a surge, beside it: {on_time:.3?}");
    assert!(on_time[1] >= on_time[0] - LOSS_MAX_SLOW, "{on_time:?}");
}

// Guards against a small organisation that loses more than the mean of the others.
#[test]
fn no_small_organisation_loses_a_tenth_beside_a_surge() {
    let quiet = outcomes_under(4, Conditions::default(), [1.0; ORGANISATIONS]);
    let beside = outcomes_under(4, Conditions::default(), surge(0, 9.0));
    for organisation in 1..ORGANISATIONS {
        let (before, after) = (
            quiet[organisation].on_time_share(),
            beside[organisation].on_time_share(),
        );
        assert!(after >= before - 0.1, "{organisation}: {before} {after}");
    }
}

// Guards against large organisations being served less of what they ask than small ones, or the
// reverse, when all ask for more than there is.
#[rstest]
fn all_get_about_the_same_part_when_all_overload_alike(
    #[values(0.9, 1.1)] usual: f64,
    #[values(1, 2)] seed: u64,
) {
    let load = usual / usual_load_share();
    let conditions = Conditions {
        load: [load; ORGANISATIONS],
        ..Conditions::default()
    };
    let outcomes = outcomes_under(seed, conditions, [load * 1.5; ORGANISATIONS]);
    print_outcomes("all at 1.5 times", &outcomes);
    let index = jain_index(&outcomes.map(|row| row.served_share()));
    println!("Jain's index {index:.3}");
    assert!(index >= 0.9, "{index}");
}

// Guards against throttling in ordinary busy periods, and of a surge that the engines can serve.
#[rstest]
#[case::usual(1.0, 1.0)]
#[case::small_surge(1.0, 3.0)]
#[case::busy(0.75 / usual_load_share(), 1.0)]
fn nobody_is_throttled_when_nothing_is_short(
    #[case] load: f64,
    #[case] factor: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let conditions = Conditions {
        load: [load; ORGANISATIONS],
        ..Conditions::default()
    };
    let mut surged = [load; ORGANISATIONS];
    surged[3] *= factor;
    let outcomes = outcomes_under(seed, conditions, surged);
    let by_engines: f64 = outcomes.iter().map(|row| row.engine_refusals).sum();
    assert_eq!([by_engines, share_refusals(&outcomes)], [0.0, 0.0]);
}

// Guards against capacity that is kept for organisations that don't use it.
#[test]
fn what_others_leave_unused_may_be_borrowed() {
    let mut load = surge(0, 9.0);
    load[1..].fill(0.1);
    let outcomes = outcomes_under(1, Conditions::default(), load);
    let engine_time_ms = 69.0 * MEASURE_S * 1e3;
    let used = outcomes[0].served_ms / engine_time_ms;
    println!("used by one organisation: moved {used:.3}");
    assert!(used >= 0.6, "{used}");
}

// Guards against gateways that go on counting peers that have fallen silent, and against starvation
// on either side of a partition.
#[test]
fn silent_peers_are_dropped_and_nobody_starves() {
    let mut fleet = Fleet::new(1, Conditions::default());
    fleet.run(LEARN_S);
    fleet.conditions.load = surge(0, 9.0);
    fleet.run(SETTLE_S);
    fleet.conditions.cut_off_from = GATEWAYS / 2;
    fleet.run(SETTLE_S);
    let outcomes = fleet.run(MEASURE_S);
    print_outcomes("half of the gateways cut off from each other", &outcomes);
    for row in &outcomes {
        assert!(row.served_share() > 0.1, "{row:?}");
    }
}

// Guards against a dropped peer whose figures still count.
#[test]
fn a_dropped_peer_counts_no_longer() {
    let mut shares = learned_shares(1);
    let busy = EnginePressure {
        engines: 1,
        busy_share: 1.0,
        wait_ms: 1_000.0,
    };
    let surge = OrganisationDemand {
        organisation: hash(0),
        asked: 9_000.0,
        admitted: 500.0,
        usual: 100.0,
    };
    shares.record_peer(20_000.0, 7, 1, &[surge]);
    shares.refresh(20_000.0, &busy);
    assert!(shares.admit(20_000.0, hash(0), 1.0, 0.99).is_err());
    shares.drop_peer(7);
    shares.refresh(20_100.0, &busy);
    assert!(shares.admit(20_100.0, hash(0), 1.0, 0.99).is_ok());
}

// Guards against figures of a gateway that is heard but doesn't use shares any more.
#[test]
fn a_report_that_is_not_renewed_expires() {
    let mut shares = learned_shares(1);
    let calm = EnginePressure {
        engines: 10,
        busy_share: 0.1,
        wait_ms: 0.0,
    };
    let demand = OrganisationDemand {
        organisation: hash(0),
        asked: 9_000.0,
        admitted: 9_000.0,
        usual: 100.0,
    };
    shares.record_peer(20_000.0, 7, 1, &[demand]);
    shares.refresh(20_000.0, &calm);
    assert_eq!(shares.peer_count(), 1);
    shares.refresh(25_000.0, &calm);
    assert_eq!(shares.peer_count(), 0);
}

// Guards against a start of all gateways that throttles by usual costs that nobody knows.
#[test]
fn nobody_is_throttled_until_usual_costs_are_known_again() {
    let mut fleet = Fleet::new(1, Conditions::default());
    fleet.run(LEARN_S);
    fleet.conditions.load = surge(0, 9.0);
    fleet.run(SETTLE_S);
    fleet.restart_gateways();
    let unlearned = fleet.run(9.0);
    assert_eq!(share_refusals(&unlearned), 0.0);
    fleet.conditions.load = [1.0; ORGANISATIONS];
    fleet.run(60.0);
    fleet.conditions.load = surge(0, 9.0);
    fleet.run(SETTLE_S);
    let learned = fleet.run(10.0);
    assert!(learned[0].share_refusals > 0.0);
}

// Guards against an organisation without usual costs that gets nothing, or as much as it asks for.
#[test]
fn a_new_organisation_gets_a_minimum_during_a_shortage() {
    let mut before = [1.0; ORGANISATIONS];
    before[2] = 0.0;
    let conditions = Conditions {
        load: before,
        ..Conditions::default()
    };
    let mut fleet = Fleet::new(1, conditions);
    fleet.run(LEARN_S);
    fleet.conditions.load[0] = 9.0;
    fleet.run(SETTLE_S);
    fleet.conditions.load[2] = 9.0;
    fleet.run(SETTLE_S);
    let outcomes = fleet.run(10.0);
    print_outcomes("a new organisation, 2, beside a surge of 0", &outcomes);
    let new = outcomes[2].served_share();
    assert!(new > 0.02, "{new}");
    assert!(new < 0.6, "{new}");
}

// Guards against a surge that passes because one gateway alone sees it, and against an organisation
// that counts as new where its requests come to another gateway.
#[test]
fn one_gateway_that_gets_all_requests_of_an_organisation_decides_as_all_do() {
    let pinned = HashMap::from([(0, 3)]);
    let conditions = Conditions {
        pinned,
        ..Conditions::default()
    };
    let quiet = outcomes_under(1, Conditions::default(), [1.0; ORGANISATIONS]);
    let beside = outcomes_under(1, conditions, surge(0, 9.0));
    let on_time = [quiet, beside].map(|outcomes| others_on_time(&outcomes, 0));
    println!("on time without a surge, beside one at a single gateway: {on_time:.3?}");
    assert!(on_time[1] >= on_time[0] - LOSS_MAX, "{on_time:?}");

    let mut fleet = Fleet::new(2, Conditions::default());
    fleet.run(LEARN_S);
    fleet.conditions.load = surge(0, 9.0);
    fleet.run(SETTLE_S);
    fleet.conditions.pinned = HashMap::from([(5, 3)]);
    let moved = fleet.run(MEASURE_S);
    let (requests, refusals) = (moved[5].requests, moved[5].share_refusals);
    println!("moved to one gateway: {refusals} of {requests} refused");
    assert!(refusals <= LOSS_MAX * requests, "{refusals} {requests}");
}

// Guards against a low priority that gets nothing, or as much as a high one.
#[test]
fn a_lower_priority_keeps_a_little() {
    let load = 0.9 / usual_load_share();
    let conditions = Conditions {
        load: [load; ORGANISATIONS],
        ..Conditions::default()
    };
    let mut fleet = Fleet::new(1, conditions);
    fleet.set_priorities(&HashMap::from([(hash(1), 9)]));
    fleet.run(LEARN_S);
    fleet.conditions.load = [load * 2.0; ORGANISATIONS];
    fleet.run(SETTLE_S);
    let outcomes = fleet.run(10.0);
    let (low, same_size) = (outcomes[1].served_share(), outcomes[2].served_share());
    println!("served of a low priority {low:.3}, of a high one {same_size:.3}");
    assert!(low > 0.02 && low < same_size / 2.0, "{low} {same_size}");
}

// Guards against an organisation that gains by sending refused requests again at once.
#[test]
fn retries_count_as_load_of_their_organisation() {
    let mut shares = learned_shares(2);
    let before = asked(&mut shares, 20_000.0);
    for _ in 0..10 {
        let _ = shares.admit(20_000.0, hash(0), 50.0, 0.99);
    }
    let after = asked(&mut shares, 20_000.0);
    assert!((after - before - 500.0).abs() < 1.0, "{before} {after}");
}

// Guards against a `Retry-After` that leads to another refusal, and against the refusal of an
// organisation that asks for no more than usual.
#[test]
fn the_refusal_says_when_the_excess_will_have_passed() {
    let mut shares = learned_shares(2);
    let busy = EnginePressure {
        engines: 1,
        busy_share: 1.0,
        wait_ms: 1_000.0,
    };
    for _ in 0..60 {
        let _ = shares.admit(20_000.0, hash(0), 50.0, 0.0);
    }
    shares.refresh(20_000.0, &busy);
    let refusal = shares.admit(20_000.0, hash(0), 50.0, 0.99).unwrap_err();
    assert!(
        (150..=3_000).contains(&refusal.retry_after_ms),
        "{refusal:?}"
    );
    let then_ms = 20_000.0 + refusal.retry_after_ms as f64;
    let calm = EnginePressure {
        engines: 1,
        busy_share: 0.75,
        wait_ms: 0.0,
    };
    for step in 1..=60 {
        let now_ms = 20_000.0 + f64::from(step) * 50.0;
        shares.refresh(now_ms.min(then_ms), &calm);
    }
    assert!(shares.admit(then_ms, hash(0), 50.0, 0.99).is_ok());
    assert!(shares.admit(20_000.0, hash(1), 50.0, 0.99).is_ok());
}

// Guards against reports that exceed a datagram, are late, or hold what isn't a number.
#[test]
fn reports_are_bounded_and_bad_or_old_ones_are_left_out() {
    let mut shares = learned_shares(60);
    assert_eq!(shares.report(20_000.0).len(), REPORTED_ORGANISATIONS_MAX);
    let demand = |asked: f32| OrganisationDemand {
        organisation: hash(99),
        asked,
        admitted: 0.0,
        usual: 1.0,
    };
    assert!(shares.record_peer(20_000.0, 7, 5, &[demand(f32::NAN), demand(-1.0)]));
    assert!(
        !shares.record_peer(20_000.0, 7, 4, &[demand(f32::NAN)]),
        "older"
    );
    let engines = EnginePressure {
        engines: 4,
        busy_share: 1.0,
        wait_ms: 1_000.0,
    };
    shares.refresh(20_000.0, &engines);
    assert!(shares
        .admit(20_000.0, OrganisationHash::of("x"), 1.0, 0.99)
        .is_ok());
}

/// What the organisation 0 asks for.
fn asked(shares: &mut DemandShares, now_ms: f64) -> f64 {
    let report = shares.report(now_ms);
    let own = report.iter().find(|row| row.organisation == hash(0));
    own.map_or(0.0, |row| f64::from(row.asked))
}
