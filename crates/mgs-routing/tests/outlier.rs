//! Ejection by evidence, and the way back.

use mgs_fleet::view::EndpointKey;
use mgs_routing::outlier::Options;
use mgs_routing::outlier::Outliers;
use mgs_routing::outlier::Standing;

const A: EndpointKey = EndpointKey(0);

fn outliers() -> Outliers {
    let outliers = Outliers::new(Options::default());
    outliers.known(20);
    outliers
}

fn fail(outliers: &Outliers, endpoint: EndpointKey, now_ms: u64) {
    for _ in 0..Options::default().failures {
        outliers.failed(endpoint, now_ms);
    }
}

#[test]
fn failures_in_a_row_eject_and_answers_between_them_do_not() {
    let outliers = outliers();
    for _ in 0..20 {
        outliers.failed(A, 0);
        outliers.failed(A, 0);
        outliers.answered(A);
    }
    assert_eq!(outliers.standing(A, 0), Standing::Good);
    fail(&outliers, A, 0);
    assert_eq!(outliers.standing(A, 0), Standing::Ejected);
}

#[test]
fn a_trial_follows_and_its_answers_end_it() {
    let outliers = outliers();
    fail(&outliers, A, 0);
    let back_ms = Options::default().ejection_ms;
    assert_eq!(outliers.standing(A, back_ms), Standing::Trial);
    for _ in 0..Options::default().trial_answers {
        outliers.answered(A);
    }
    assert_eq!(outliers.standing(A, back_ms), Standing::Good);
}

#[test]
fn a_failed_trial_ejects_for_twice_as_long() {
    let outliers = outliers();
    fail(&outliers, A, 0);
    let back_ms = Options::default().ejection_ms;
    outliers.failed(A, back_ms);
    assert_eq!(outliers.standing(A, 2 * back_ms), Standing::Ejected);
    assert_eq!(outliers.standing(A, 3 * back_ms), Standing::Trial);
}

#[test]
fn no_more_than_a_share_is_ejected() {
    let outliers = outliers();
    for key in 0..20 {
        fail(&outliers, EndpointKey(key), 0);
    }
    let is_ejected = |key: &u32| outliers.standing(EndpointKey(*key), 0) == Standing::Ejected;
    assert_eq!((0..20).filter(is_ejected).count(), 5);
}

#[test]
fn an_endpoint_much_slower_than_the_fleet_is_ejected() {
    let outliers = outliers();
    for _ in 0..20 {
        for key in 1..20 {
            outliers.first_token(EndpointKey(key), 0, 100, 120);
        }
        outliers.first_token(A, 0, 100, 5_000);
    }
    assert_eq!(outliers.standing(A, 0), Standing::Ejected);
    assert_eq!(outliers.standing(EndpointKey(1), 0), Standing::Good);
}

#[test]
fn a_fleet_that_is_slow_as_a_whole_loses_nobody() {
    let outliers = outliers();
    for _ in 0..50 {
        for key in 0..20 {
            outliers.first_token(EndpointKey(key), 0, 100, 5_000);
        }
    }
    let is_good = |key: u32| outliers.standing(EndpointKey(key), 0) == Standing::Good;
    assert!((0..20).all(is_good));
}
